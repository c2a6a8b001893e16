package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

// Guards against a leader that starts runs on an instance whose move the former leader has announced. If it is carried out
// late, the next incarnation executes a late start in another pool.
func TestNextLeaderStartsNoRunsBeforeLateMove(t *testing.T) {
	s := newSim(t)
	s.keepsAllIDs = true
	s.configure(1, nil, "glass", "plates", "spare")
	w := s.addWorkers("glass", 2)[0]
	s.instances["m-glass-1"].Labels[0] = "b"
	s.addWorkers("plates", 1)
	busy := longRunningStep(1000)
	busy.Label = "b"
	s.submit("glass", "busy", busy)
	s.submit("plates", "large", step(60, 12000, 1000, 1000))
	l := newLateStart(s, w.m.Id)
	holdStart := s.intercept
	announced := false
	s.intercept = func(a kernel.Action) bool {
		move, ok := a.(workload.MoveInstance)
		if !ok || announced {
			return holdStart(a)
		}
		announced = true
		assert.Equal(t, move.Pool, "plates")
		s.scheduleLasting(2500*time.Millisecond, func() { s.restart(move.Instance, move.Pool, 1500*time.Millisecond) })
		return true
	}
	s.runUntil(5*time.Second, func() bool { return announced })
	s.startTerm()
	s.submit("glass", "job", step(1, 16000, 1000, 20_000))
	s.runUntil(30*time.Second, func() bool { return l.isOver })
	s.run(5 * time.Second)
}

// Guards against a move of an instance that left the spare pool after it was last listed: it ends the runs there, and the next
// incarnation executes starts for the one that the leader still takes for present.
func TestInstanceIsNotMovedByListFromBeforeItsMove(t *testing.T) {
	s := newSim(t)
	s.keepsAllIDs = true
	s.configure(1, nil, "glass", "plates", "spare")
	s.addWorkers("glass", 1)
	s.addWorkers("plates", 1)
	s.addWorkers("spare", 1)
	s.run(3 * time.Second)
	s.submit("glass", "job", step(4, 12000, 1000, 2000))
	in := s.instances["m-spare-0"]
	s.runUntil(5*time.Second, func() bool { return in.Pool == "glass" })
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		_, ok := a.(workload.ListInstances)
		return workload.Busy, ok
	}
	s.runUntil(5*time.Second, func() bool { return in.Up && len(s.workers[in.Worker].runs) > 0 })
	s.submit("plates", "job-2", step(20, 12000, 1000, 1000))
	w := s.workers[in.Worker]
	s.runUntil(10*time.Second, func() bool { return w.dead || len(w.runs) == 0 })
	assert.Assert(t, !w.dead, "the instance was moved to %s while it ran tasks", in.Pool)
}

// Guards against a task that starts elsewhere while it is being stopped on a later incarnation, which has executed a start
// whose answer isn't due yet, because the answer to the stop passes for that to the start.
func TestLateStartIsNotGivenUpOnceItsStopIsAnswered(t *testing.T) {
	s := newSim(t)
	s.stopTime = 200 * time.Millisecond
	workers := s.addWorkers("p", 2)
	workers[1].dead = true
	s.configure(1, nil, "p")
	s.run(2 * time.Second)
	release := s.holdUpRequests(workers[0])
	s.submit("p", "job", step(1, 12000, 1000, 20_000))
	s.run(100 * time.Millisecond)
	later := s.restartSilently(workers[0])
	s.run(100 * time.Millisecond)
	release()
	assert.Equal(t, len(later.runs), 1)
	s.startWorker("m-p-1")
	later.mute = false
	s.report(later)
	s.run(5 * time.Second)
	assert.Equal(t, s.running("job"), 1)
}
