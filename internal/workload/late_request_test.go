package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

// holdUpRequests keeps the requests to a worker from arriving until it is dead, and returns a function that lets them arrive
// at the latest incarnation with its ID.
func (s *sim) holdUpRequests(w *fakeWorker) (release func()) {
	type request struct {
		a    kernel.Action
		sent time.Duration
	}
	var held []request
	s.intercept = func(a kernel.Action) bool {
		h, ok := targetOf(a)
		if !ok || h.ID != w.m.Id || w.dead {
			return false
		}
		r := request{a, s.sentAt}
		held = append(held, r)
		s.schedule(time.Second, func() { s.fail(r.a, workload.NoAnswer, r.sent) })
		return true
	}
	return func() {
		for _, r := range held {
			s.workers[w.m.Id].execute(r.a, r.sent)
		}
		held = nil
	}
}

// newLateRequestSim returns a simulation with a worker, whose first incarnation has recorded ends, then runs the task of a
// job and gets no requests any more, and crashes. The later incarnation has its ID and its address.
func newLateRequestSim(t *testing.T, taskTime time.Duration) (s *sim, later *fakeWorker, release func()) {
	t.Helper()
	s, w := newRecordedEndsSim(t, 14)
	s.submit("p", "job", step(1, 12000, 1000, taskTime.Milliseconds()))
	s.run(500 * time.Millisecond)
	release = s.holdUpRequests(w)
	s.run(1500 * time.Millisecond)
	w.dead = true
	s.run(700 * time.Millisecond)
	return s, s.startWorkerAs("m-p-0", w.m.Id, w.m.Address), release
}

// newRecordedEndsSim returns a simulation in which the only worker of a pool has recorded ends, and its instance m-p-1 is down.
func newRecordedEndsSim(t *testing.T, ends int32) (*sim, *fakeWorker) {
	t.Helper()
	s := newSim(t)
	workers := s.addWorkers("p", 2)
	workers[1].dead = true
	s.configure(1, nil, "p")
	s.submit("p", "first", step(ends, 12000, 1000, 1000))
	s.runUntil(time.Duration(ends+2)*time.Second, func() bool { return s.jobState("p", "first") == "completed" })
	s.run(time.Second)
	return s, workers[0]
}

// runUntil advances the virtual time until a condition holds.
func (s *sim) runUntil(timeout time.Duration, condition func() bool) {
	s.t.Helper()
	for end := s.now + timeout; !condition(); {
		assert.Assert(s.t, s.now < end, "timeout")
		s.run(simStep)
	}
}

// Guards against a lease renewal for an earlier incarnation that makes the lease of a later one last longer than the
// leader knows, so that a task starts elsewhere while it still runs.
func TestLateRenewalForEarlierIncarnationLetsNoTaskRunTwice(t *testing.T) {
	for _, test := range []struct {
		name string
		// early lets the renewal arrive before the first request for the later incarnation.
		early bool
		// newLeader changes the leader after the later incarnation has started a run.
		newLeader bool
	}{
		{"after the first request", false, false},
		{"after the first request, another leader", false, true},
		{"before the first request", true, false},
		{"before the first request, another leader", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, later, release := newLateRequestSim(t, 20*time.Second)
			if test.early {
				release()
			}
			s.runUntil(5*time.Second, func() bool { return len(later.runs) == 1 })
			s.run(100 * time.Millisecond)
			later.unreachable = true
			if test.newLeader {
				s.startTerm()
			}
			s.startWorker("m-p-1")
			if !test.early {
				s.run(3500 * time.Millisecond)
				release()
			}
			s.run(15 * time.Second)
			assert.Equal(t, s.running("job"), 1, "the task runs elsewhere")
		})
	}
}

// newLateStartSim returns a simulation with a worker that has crashed before a start arrived, and has started again under its
// ID and with its address.
func newLateStartSim(t *testing.T) (s *sim, later *fakeWorker, release func()) {
	t.Helper()
	s = newSim(t)
	workers := s.addWorkers("p", 2)
	workers[1].dead = true
	s.configure(1, nil, "p")
	s.run(2 * time.Second)
	release = s.holdUpRequests(workers[0])
	s.submit("p", "job", step(1, 12000, 1000, 20_000))
	s.run(500 * time.Millisecond)
	workers[0].dead = true
	s.run(700 * time.Millisecond)
	return s, s.startWorkerAs("m-p-0", workers[0].m.Id, workers[0].m.Address), release
}

// Guards against a worker that started again and gets no runs until its second heartbeat, if a start was on its way.
func TestLaterIncarnationTakesRunsAtOnce(t *testing.T) {
	s, later, _ := newLateStartSim(t)
	s.run(500 * time.Millisecond)
	assert.Equal(t, len(later.runs), 1)
}

// Guards against a task that starts elsewhere while a later incarnation, which sends heartbeats and answers nothing, executes
// a late start for the earlier one.
func TestLateStartAtSilentIncarnationRunsOnce(t *testing.T) {
	s, later, release := newLateStartSim(t)
	later.deaf = true
	s.startWorker("m-p-1")
	s.run(5 * time.Second)
	release()
	assert.Equal(t, len(later.runs), 1)
	s.run(3 * time.Second)
	later.deaf = false
	s.run(5 * time.Second)
	assert.Equal(t, s.running("job"), 1)
}

// Guards against a lease renewal for an earlier incarnation that acknowledges ends of a later one which the leader doesn't
// know, so that a task that is done starts again.
func TestLateRenewalForEarlierIncarnationAcknowledgesNoEnd(t *testing.T) {
	s, later, release := newLateRequestSim(t, 3*time.Second)
	s.runUntil(5*time.Second, func() bool { return len(later.runs) == 1 })
	s.runUntil(5*time.Second, func() bool {
		if len(later.runs) == 0 {
			return true
		}
		later.unreachable = s.now > later.runs["job.0.0.0"].endsAt-500*time.Millisecond
		return false
	})
	release()
	later.unreachable = false
	s.run(10 * time.Second)
	assert.Equal(t, s.jobState("p", "job"), "completed")
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// Guards against a task that starts elsewhere while a later incarnation executes a late start of a deposed leader, whose
// successor has a run of the task on record as started.
func TestLateStartOfDeposedLeaderRunsOnce(t *testing.T) {
	s := newSim(t)
	s.addWorkers("p", 2)
	s.configure(1, nil, "p")
	s.run(2 * time.Second)
	var held []workload.StartRun
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if ok {
			held = append(held, start)
		}
		return ok
	}
	s.submit("p", "job", step(1, 12000, 1000, 10_000))
	s.run(100 * time.Millisecond)
	assert.Assert(t, len(held) > 0)
	s.intercept = nil
	s.startTerm()
	s.executeAtLaterIncarnation(held[0])
}

// executeAtLaterIncarnation restarts the worker of a start, whose run another copy has started, and carries the start out there
// before the first heartbeat.
func (s *sim) executeAtLaterIncarnation(start workload.StartRun) {
	s.t.Helper()
	w := s.workers[start.ID]
	s.run(2 * time.Second)
	assert.Equal(s.t, len(w.runs), 1)
	later := s.restartSilently(w)
	s.run(100 * time.Millisecond)
	assert.Equal(s.t, later.execute(start, s.now), workload.Accepted)
	s.run(20 * time.Millisecond)
	later.mute = false
	s.report(later)
	s.run(15 * time.Second)
	assert.Equal(s.t, s.done["job.0.0.0"], 1)
}

// Guards against a task that starts elsewhere while a later incarnation executes the first copy of a start, which got no answer
// and was repeated.
func TestFirstCopyOfRepeatedStartRunsOnce(t *testing.T) {
	s := newSim(t)
	s.addWorkers("p", 2)
	s.configure(1, nil, "p")
	s.run(2 * time.Second)
	held := s.answerFirstStart(func(start workload.StartRun) workload.Answer {
		w := s.workers[start.ID]
		return w.answer(w.execute(start, s.now), s.now)
	})
	s.submit("p", "job", step(1, 12000, 1000, 10_000))
	s.run(100 * time.Millisecond)
	s.executeAtLaterIncarnation(*held)
}

// answerFirstStart answers the first start as one that was repeated, and returns where its request will be stored.
func (s *sim) answerFirstStart(answer func(start workload.StartRun) workload.Answer) *workload.StartRun {
	held := &workload.StartRun{}
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if !ok || held.ID != "" {
			return false
		}
		*held = start
		r := answer(start)
		r.Repeated = true
		s.schedule(simStep, func() { s.observeAnswer(start, r) })
		return true
	}
	return held
}

// Guards against a lease renewal that is repeated after a lost answer and acknowledges the end of a run that a later
// incarnation has executed.
func TestRepeatedRenewalAcknowledgesNoEnd(t *testing.T) {
	s, w := newRecordedEndsSim(t, 14)
	later := s.restartSilently(w)
	s.run(100 * time.Millisecond)
	s.intercept = func(a kernel.Action) bool {
		if start, ok := a.(workload.StartRun); ok {
			later.execute(start, s.sentAt)
		}
		sent := s.sentAt
		s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, sent) })
		return true
	}
	s.submit("p", "job", step(1, 12000, 1000, 300))
	s.run(700 * time.Millisecond)
	assert.Equal(t, s.done["job.0.0.0"], 1)
	s.intercept = nil
	s.run(600 * time.Millisecond)
	later.mute = false
	s.run(8 * time.Second)
	assert.Equal(t, s.done["job.0.0.0"], 1)
}
