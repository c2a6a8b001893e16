package ledger

import (
	"maps"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// MaxRequestDelay is how late a request without an answer may be carried out.
const MaxRequestDelay = 12 * time.Second

// lateStartsAfterEnd is how long after the end of a run its start may be carried out late, on the ledger's clock: a deposed
// leader may still send for 2 s, and heartbeats, which may end an incarnation, don't advance the clock.
const lateStartsAfterEnd = MaxRequestDelay + 4*time.Second

// AwaitsLateStarts reports whether tasks of a step wait as long as a start of an ended run may be carried out late.
// Speculative ones don't, as they may run twice.
func AwaitsLateStarts(step *workloadpb.Step) bool { return !step.Speculative }

// setLateStart records that a start of a run of a task that has ended on a worker may be carried out late.
func (s *State) setLateStart(t *Task, w *Worker, end *workloadpb.End) {
	if t.Done || !AwaitsLateStarts(t.step.Step) {
		return
	}
	last, endMs := t.lateStart, s.clockMs+end.LateStartRemainingMs
	isRepeated := last.GetWorker() == w.ID() && last.GetEndMs()+lateStartsAfterEnd.Milliseconds() > s.clockMs
	if isRepeated {
		endMs = max(endMs, last.EndMs) // A start of a former run may be carried out later than one of this run.
	}
	t.lateStart = &workloadpb.LateStart{
		Worker: w.ID(), Address: w.Address(), StartedMs: w.StartedMs(), EndMs: endMs,
		Blocked: isRepeated || end.StartIgnored, LaterKnown: end.LaterKnown,
	}
}

// setLateStarts records the starts without an answer of the runs of a worker that leaves by itself.
func (s *State) setLateStarts(w *Worker) {
	for _, t := range w.runs {
		if r := t.RunOn(w); !s.IsStartResolved(r) || w.MayRunLate(r) {
			s.setLateStart(t, w, &workloadpb.End{LateStartRemainingMs: lateStartsAfterEnd.Milliseconds()})
		}
	}
}

// IsStartResolved reports whether leaders know that no start of a run is on its way without a record of it, see MayRunLate.
func (s *State) IsStartResolved(r ActiveRun) bool {
	return r.assignNumber > 0 && r.assignNumber <= s.resolvedAssigns
}

// IsListed reports whether leaders know that the incarnation to which a run is assigned, and no later one, has started it.
func (s *State) IsListed(r ActiveRun) bool {
	return r.started || r.assignNumber > 0 && r.assignNumber <= s.listedAssigns
}

// MayRunLate reports whether a leader has recorded a start for the worker without an answer since a run was assigned to it.
func (w *Worker) MayRunLate(r ActiveRun) bool {
	return w.info.UnansweredStartMs > 0 && w.info.UnansweredStartMs >= r.assignedMs
}

// LateStarts returns the IDs with starts that may be carried out late, each with the time, in milliseconds on the ledger's
// clock, when none is any more.
func (s *State) LateStarts() map[string]int64 {
	ends := map[string]int64{}
	for _, w := range s.workerList {
		ends[w.ID()] = w.info.LateStartsEndMs
	}
	for id, w := range s.endedWorkers {
		ends[id] = w.LateStartsEndMs
	}
	maps.DeleteFunc(ends, func(_ string, end int64) bool { return end <= s.clockMs })
	return ends
}

// recordUnansweredStarts records the starts for an ID that a leader got no answer to.
func (s *State) recordUnansweredStarts(id string, remainingMs int64) {
	s.recordLateStarts(id, remainingMs)
	if w := s.workersByID[id]; w != nil {
		w.info.UnansweredStartMs = max(s.clockMs, 1)
	}
}

// recordStarted records that the only start of a run was carried out.
func (s *State) recordStarted(m *workloadpb.StartedRun) {
	t := s.findTask(RunKeyOf(m.Subtask, m.Run))
	if t == nil {
		return
	}
	for i := range t.ActiveRuns {
		if a := &t.ActiveRuns[i]; a.Run == m.Run && a.Worker.Number() == m.Worker {
			a.started = true
		}
	}
}

// recordLateStarts records that starts for an ID may be carried out late.
func (s *State) recordLateStarts(id string, remainingMs int64) {
	end := s.clockMs + remainingMs
	if w := s.workersByID[id]; w != nil {
		w.info.LateStartsEndMs = max(w.info.LateStartsEndMs, end)
	} else if w := s.endedWorkers[id]; w != nil {
		w.LateStartsEndMs = max(w.LateStartsEndMs, end)
	}
}
