package workload

import (
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// maxPinListAge is the age from which a list of instances tells nothing of a worker that a long-running task is pinned to.
const maxPinListAge = 2 * time.Second

// unlistedRunWait is the shortest wait that the log can tell. A task also waits for the longest lease after the end of its wait.
const unlistedRunWait = time.Millisecond

// noWorker is the pin of a task that may start on no worker.
const noWorker = "\x00"

// remainingLateStart returns for how long the task of a run that ends now has to wait for a start of the run, 0 if it has not. If
// an incarnation that nobody knows may work on the run, the task has to wait for its lease.
func (e *Engine) remainingLateStart(s *session, r *run) time.Duration {
	switch remaining := r.lateStartUntil(e.now) - e.now; {
	case !ledger.AwaitsLateStarts(r.task.Step().Step):
		return 0
	case remaining > 0:
		return remaining
	case r.lost && s.successorMs == 0 && r.mayBeOfSuccessor():
		return unlistedRunWait
	}
	return 0
}

// hasLateStarts reports whether tasks of a session's runs have to wait for starts of these.
func (e *Engine) hasLateStarts(s *session) bool {
	for _, r := range s.runs {
		if e.remainingLateStart(s, r) > 0 {
			return true
		}
	}
	return false
}

// giveUpLateRuns gives up the runs of a worker that is lost whose tasks have to wait, so that the log tells of that.
func (e *Engine) giveUpLateRuns(s *session) {
	for _, r := range s.runs {
		if e.remainingLateStart(s, r) > 0 {
			r.giveUpAsLost()
		}
	}
	e.endGivenUpRuns(s)
}

// newPinnedTo returns a function that returns the ID of the only worker that a task may start on, see pinnedTo.
func (e *Engine) newPinnedTo() func(t *ledger.Task) string {
	ids := map[*workloadpb.LateStart]string{}
	return func(t *ledger.Task) string {
		l := t.LateStart()
		if l == nil {
			return ""
		}
		id, ok := ids[l]
		if !ok {
			id = e.pinnedTo(l, t)
			ids[l] = id
		}
		return id
	}
}

// pinnedTo returns the ID of the only worker that a task with a late start may start on, because an incarnation with the ID
// may still carry out that start, or work on its run. A later one with the ID can start the task, as a worker takes runs only
// once it rejects that start. If the worker seems to lose starts, or is lost again, the task waits instead: two late starts of
// different runs at one incarnation would both be carried out. The ID is empty if the task may start anywhere. A long-running one,
// which has to run again soon, waits only while the worker is listed as up and doesn't answer, so that an incarnation that nobody
// knows may have the ID. If one answers, a long-running task starts on it or, without room there, anywhere.
func (e *Engine) pinnedTo(l *workloadpb.LateStart, t *ledger.Task) string {
	step := t.Step().Step
	if e.isOutOfReach(l) || step.Lasting && e.isAnswering(l) && (l.Blocked || step.Gang || !e.hasRoomFor(l, step)) {
		return ""
	}
	over := millis(e.state.ClockAt(e.term, e.now.Milliseconds()) - l.EndMs)
	switch {
	case over <= 0:
		if step.Lasting && !e.hasLaterIncarnation(l) && !e.mayBeUp(l.Worker, e.now-maxPinListAge) {
			return ""
		}
	case over > worstCaseDuration(e.cfg.MaxLease): // Even a run that started last has ended.
		return ""
	case !e.hasLaterIncarnation(l) && !e.mayBeUp(l.Worker, e.now-over) || e.hasListedSince(l.Worker, e.now-over):
		// The task of a worker that is lost for good can't wait for the lease of one that never started.
		return ""
	}
	if l.Blocked {
		return noWorker
	}
	return l.Worker
}

// hasLaterIncarnation reports whether a later incarnation than that to which a late start was sent is known.
func (e *Engine) hasLaterIncarnation(l *workloadpb.LateStart) bool {
	w := e.state.WorkerByID(l.Worker)
	return l.LaterKnown || w != nil && (w.StartedMs() > l.StartedMs || e.sessions[w.Number()].successorMs > 0)
}

// isAnswering reports whether the incarnation that a late start was sent to, or a later one that rejects the start, answers and
// lists only runs that are assigned to it.
func (e *Engine) isAnswering(l *workloadpb.LateStart) bool {
	w := e.state.WorkerByID(l.Worker)
	if w == nil || w.StartedMs() < l.StartedMs {
		return false
	}
	s := e.sessions[w.Number()]
	return s.successorMs == 0 && s.failures == 0 && s.fenced && s.listedAt > 0 && !s.hasUnassignedRuns
}

// hasRoomFor reports whether the worker that a late start was sent to takes a task of a step at once.
func (e *Engine) hasRoomFor(l *workloadpb.LateStart, step *workloadpb.Step) bool {
	w := e.state.WorkerByID(l.Worker)
	return e.isUsable(e.sessions[w.Number()]) && ledger.RequiredCapacity(step).Within(w.Free())
}

// mayBeUp reports whether the instance of a worker may be up, by a list of instances that was requested after a time. If there is
// no such list, one is requested.
func (e *Engine) mayBeUp(id string, at time.Duration) bool {
	if e.fleet.listSentAt <= at {
		e.fleet.stale = true
		return true
	}
	in := e.fleet.byWorker[id]
	return in != nil && in.Up
}

// hasListedSince reports whether the incarnation with an ID has listed its runs since a time, all of them assigned to it. If not,
// it is asked for a list.
func (e *Engine) hasListedSince(id string, at time.Duration) bool {
	w := e.state.WorkerByID(id)
	if w == nil {
		return false
	}
	s := e.sessions[w.Number()]
	if s.listedAt <= at {
		s.mustList = true
		e.markDirty(s)
		return false
	}
	return !s.hasUnassignedRuns
}

// isOutOfReach reports whether no incarnation can carry out a late start: a later one with another ID has the address, or one
// with the ID has another address.
func (e *Engine) isOutOfReach(l *workloadpb.LateStart) bool {
	return slices.ContainsFunc(e.state.Workers(), func(w *ledger.Worker) bool {
		return w.StartedMs() > l.StartedMs && (w.ID() == l.Worker) != (w.Address() == l.Address)
	})
}
