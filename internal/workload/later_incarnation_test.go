package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against ends that are never acknowledged, because the end of a doubtful run is missing in a full list.
func TestMoreEndsThanListHoldsAreAcknowledgedToNewLeader(t *testing.T) {
	s := newSim(t)
	s.addWorkers("p", 1)
	s.configure(1, nil, "p")
	s.run(2 * time.Second)
	s.submit("p", "job", step(maxListedEnds+100, 20, 10, 3000))
	s.run(1500 * time.Millisecond)
	s.leaderless = true
	s.run(3 * time.Second)
	s.leaderless = false
	s.startTerm()
	s.run(5 * time.Second)
	assert.Equal(t, s.jobState("p", "job"), "completed")
}

// Guards against an acknowledgement that a later incarnation gets after an answer that may be its own.
func TestAnswerWithoutIncarnationAllowsNoAcknowledgement(t *testing.T) {
	s, w := newRecordedEndsSim(t, 1)
	s.submit("p", "second", step(1, 2000, 1000, 1000))
	var later *fakeWorker
	s.intercept = func(a kernel.Action) bool {
		sent := s.sentAt
		switch a := a.(type) {
		case workload.RenewLease:
			if a.AckedEnd >= 2 && later == nil {
				later = s.restartSilently(w)
				s.submit("p", "job", step(1, 12000, 1000, 50))
				s.schedule(60*time.Millisecond, func() { s.fail(a, workload.NoAnswer, sent) })
				return true
			}
		case workload.StartRun:
			if later != nil && a.Name.Job == "job" && a.StartedMs == w.m.BornMs {
				s.schedule(50*time.Millisecond, func() {
					answer := later.answer(later.execute(a, sent), sent)
					answer.Unattributed = true
					s.schedule(60*time.Millisecond, func() { s.observeAnswer(a, answer) })
				})
				return true
			}
		}
		return false
	}
	s.run(4 * time.Second)
	assert.Assert(t, later != nil)
	later.mute = false
	s.run(8 * time.Second)
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// Guards against an acknowledgement without an answer that a later incarnation carries out after it has executed a start
// without an answer, so that a task that is done starts again.
func TestAcknowledgementSecondsLateForgetsNoEnd(t *testing.T) {
	s, w := newRecordedEndsSim(t, 1)
	s.submit("p", "second", step(1, 2000, 1000, 1000))
	var late *workload.RenewLease
	s.intercept = func(a kernel.Action) bool {
		sent := s.sentAt
		r, ok := a.(workload.RenewLease)
		if !ok || r.AckedEnd < 2 || late != nil {
			return false
		}
		late = &r
		s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, sent) })
		return true
	}
	s.run(2300 * time.Millisecond)
	assert.Assert(t, late != nil)
	s.report(w)
	s.run(20 * time.Millisecond)
	later := s.restartSilently(w)
	s.intercept = func(a kernel.Action) bool {
		if start, ok := a.(workload.StartRun); ok {
			later.execute(start, s.sentAt)
		}
		sent := s.sentAt
		s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, sent) })
		return true
	}
	s.submit("p", "job", step(1, 12000, 1000, 300))
	s.run(500 * time.Millisecond)
	assert.Equal(t, s.done["job.0.0.0"], 1)
	later.execute(*late, s.now)
	s.intercept, later.mute = nil, false
	s.run(8 * time.Second)
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// delayFirst lets the first request that matches reach a worker and get its answer only after a delay. It returns the
// acknowledgements of ends from a number on that are sent until then, and after it.
func (s *sim) delayFirst(w *fakeWorker, end int64, d time.Duration, matches func(a kernel.Action) bool) (before, after *[]uint64) {
	before, after = &[]uint64{}, &[]uint64{}
	delayed, answered := false, false
	s.intercept = func(a kernel.Action) bool {
		if ack, ok := a.(workload.RenewLease); ok && ack.AckedEnd >= end {
			list := before
			if answered {
				list = after
			}
			*list = append(*list, ack.FencingToken)
		}
		if delayed || !matches(a) {
			return false
		}
		delayed = true
		sent := s.sentAt
		s.schedule(d, func() {
			answered = true
			s.observeAnswer(a, w.answer(w.execute(a, sent), sent))
		})
		return true
	}
	return before, after
}

// Guards against an acknowledgement that a later incarnation may get after a start that was in flight when it was sent.
func TestAcknowledgementWaitsForStartInFlight(t *testing.T) {
	s, w := newRecordedEndsSim(t, 1)
	s.submit("p", "second", step(1, 2000, 1000, 1000))
	s.runUntil(time.Second, func() bool { return len(w.runs) == 1 })
	s.run(w.runs["second.0.0.0"].endsAt - 50*time.Millisecond - s.now)
	before, after := s.delayFirst(w, 2, 150*time.Millisecond, func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		return ok && start.Name.Job == "job"
	})
	s.submit("p", "job", step(1, 2000, 1000, 5000))
	s.run(300 * time.Millisecond)
	assert.Equal(t, s.jobState("p", "second"), "completed")
	assert.Equal(t, len(*before), 0)
	assert.Equal(t, len(*after), 1)
}

// Guards against an acknowledgement that is taken for a failure of the worker, because a later start overtakes it.
func TestOvertakenAcknowledgementIsSentAgain(t *testing.T) {
	s, w := newRecordedEndsSim(t, 1)
	s.submit("p", "second", step(1, 2000, 1000, 1000))
	before, after := s.delayFirst(w, 2, 100*time.Millisecond, func(a kernel.Action) bool {
		ack, ok := a.(workload.RenewLease)
		return ok && ack.AckedEnd >= 2
	})
	s.runUntil(3*time.Second, func() bool { return len(*before) == 1 })
	s.submit("p", "job", step(1, 2000, 1000, 5000))
	s.run(50 * time.Millisecond)
	assert.Equal(t, len(w.runs), 1)
	s.run(80 * time.Millisecond)
	assert.DeepEqual(t, *after, []uint64{w.fencingToken})
	assert.Assert(t, (*before)[0] < w.fencingToken)
}

// Guards against a run that is given up although the first copy of its start got no answer, because the second couldn't be
// sent.
func TestRepeatedStartIsNotReleased(t *testing.T) {
	s := newSim(t)
	s.addWorkers("p", 2)
	s.configure(1, nil, "p")
	s.run(2 * time.Second)
	held := s.answerFirstStart(func(workload.StartRun) workload.Answer {
		return workload.Answer{Outcome: workload.Withheld, SentAt: s.now}
	})
	s.submit("p", "job", step(1, 12000, 1000, 20_000))
	s.run(30 * time.Millisecond)
	w := s.workers[held.ID]
	w.draining = true
	s.report(w)
	s.run(60 * time.Millisecond)
	w.execute(*held, s.now)
	assert.Equal(t, s.running("job"), 1)
}

// Guards against a worker that waits although it started again at an address that no late request is sent to.
func TestLaterIncarnationAtAnotherAddressTakesRunsAtOnce(t *testing.T) {
	s := newSim(t)
	workers := s.addWorkers("p", 2)
	workers[1].dead = true
	s.configure(1, nil, "p")
	s.run(2 * time.Second)
	s.holdUpRequests(workers[0])
	s.submit("p", "job", step(1, 12000, 1000, 5000))
	s.run(500 * time.Millisecond)
	workers[0].dead = true
	s.run(700 * time.Millisecond)
	later := s.startWorkerAs("m-p-0", workers[0].m.Id, "another")
	s.intercept = func(a kernel.Action) bool {
		h, ok := targetOf(a)
		if !ok || h.Address != workers[0].m.Address {
			return false
		}
		sent := s.sentAt
		s.schedule(simStep, func() { s.fail(a, workload.Unreachable, sent) })
		return true
	}
	s.run(500 * time.Millisecond)
	assert.Equal(t, len(later.runs), 1)
}

// Guards against runs that wait with a doubtful one for a later incarnation that answers nothing.
func TestOtherRunsDoNotWaitForDoubtfulRun(t *testing.T) {
	s := newSim(t)
	workers := s.addWorkers("p", 2)
	workers[1].dead = true
	s.configure(1, nil, "p")
	s.submit("p", "sound", step(5, 1000, 1000, 60_000))
	s.run(4 * time.Second)
	s.holdUpRequests(workers[0])
	s.submit("p", "doubtful", step(1, 5000, 1000, 20_000))
	s.run(500 * time.Millisecond)
	workers[0].dead = true
	s.run(700 * time.Millisecond)
	s.startWorkerAs("m-p-0", workers[0].m.Id, workers[0].m.Address).deaf = true
	s.startWorker("m-p-1")
	s.run(500 * time.Millisecond)
	assert.Equal(t, s.running("sound"), 5)
	assert.Equal(t, s.running("doubtful"), 0)
}

// Guards against a worker that has left and is registered by a heartbeat that was held back.
func TestLaterIncarnationThatHasLeftIsNotRegistered(t *testing.T) {
	s, later, _ := newLateStartSim(t)
	later.deaf = true
	s.run(17 * time.Second)
	s.report(later)
	later.dead = true
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Leave{
		Leave: &workloadpb.Leave{Id: later.m.Id, BornMs: later.m.BornMs, Announced: true},
	}})
	s.run(8 * time.Second)
	assert.Assert(t, s.e.State().WorkerByID(later.m.Id) == nil)
}
