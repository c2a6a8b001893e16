package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// crashAll crashes all workers at once. They boot again after d.
func (s *sim) crashAll(d time.Duration) {
	for _, id := range sortedIDs(s.workers) {
		s.crash(s.workers[id], d)
	}
}

// Guards against a job that is given up, because workers with and without its task crash together.
func TestCrashesOfAllWorkersAreNoEvidence(t *testing.T) {
	for _, tt := range []struct {
		name string
		step *workloadpb.Step
	}{
		{"ordinary", step(1, 1000, 1000, 9000)},
		{"long-running", lasting(1, 1000, 1000)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 12)
			s.run(time.Second)
			s.submit("glass", "innocent", tt.step)
			for round := range 6 {
				for end := s.now + 20*time.Second; s.now < end && s.running("innocent") == 0; {
					s.run(simStep)
				}
				s.run(500 * time.Millisecond)
				s.crashAll(2 * time.Second)
				s.run(2500 * time.Millisecond)
				assert.Assert(t, s.jobState("glass", "innocent") != string(ledger.Failed), "after %d crashes of each worker", round+1)
			}
		})
	}
}

// Guards against a job that is given up, because workers crash together that were told to start its task and never did.
func TestCrashesOfAllWorkersBeforeStartAreNoEvidence(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 12)
	s.run(time.Second)
	s.submit("glass", "innocent", step(1, 1000, 1000, 9000))
	requested := false
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		_, start := a.(workload.StartRun)
		requested = requested || start
		return workload.NoAnswer, start
	}
	for round := range 6 {
		requested = false
		for end := s.now + 20*time.Second; s.now < end && !requested; {
			s.run(simStep)
		}
		s.run(500 * time.Millisecond)
		s.crashAll(2 * time.Second)
		s.run(2500 * time.Millisecond)
		assert.Assert(t, s.jobState("glass", "innocent") != string(ledger.Failed), "after %d crashes of each worker", round+1)
	}
}

// Guards against tasks that are stopped beside absent tasks of their step, because their job is given up.
func TestGivingUpJobKeepsItsStepAvailable(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 9)
	s.run(time.Second)
	s.isDeadly = func(task string) bool { return task == "last.0.0.0" }
	st := lasting(4, 1000, 1000)
	st.MayMiss = 1
	s.submit("glass", "last", st)
	s.intercept = func(a kernel.Action) bool {
		if stop, ok := a.(workload.StopRun); ok && stop.Name.Job == "last" && stop.Name.Index > 0 {
			t.Fatalf("%v: %s is stopped while %d of 4 tasks run", s.now, taskKey(stop.Name), s.running("last"))
		}
		return false
	}
	s.run(60 * time.Second)
	assert.Equal(t, s.running("last"), 3)
}

// Guards against a long-running task without losses that waits beside room, because jobs that have lost workers for other
// reasons run isolated one after the other.
func TestIsolatedJobsLeaveRoomToTaskWithoutLosses(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	s.run(time.Second)
	for i := range 8 {
		s.submit("glass", fmt.Sprintf("lost-%d", i), lasting(1, 1000, 1000))
	}
	for range 3 {
		s.run(500 * time.Millisecond)
		s.crashAll(2 * time.Second)
		s.run(2*time.Second + simStep)
	}
	s.submit("glass", "last", lasting(1, 1000, 1000))
	s.run(lostGrace + lostWindow)
	assert.Equal(t, s.running("last"), 1)
}
