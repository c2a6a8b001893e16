package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against runs that a new leader gives up by a recorded end of leases, although the worker got another lease
// since.
func TestAnswerAfterSuspensionKeepsRuns(t *testing.T) {
	for _, delay := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond} {
		for answers := time.Duration(0); answers < 2*time.Second; answers += 50 * time.Millisecond {
			t.Run(fmt.Sprintf("%v-%v", delay, answers), func(t *testing.T) {
				s := newSim(t)
				s.setMaxLease(10 * time.Second)
				s.commitDelay = func() time.Duration { return delay }
				s.configure(1, nil, "glass")
				workers := s.addWorkers("glass", 2)
				longRunning := step(1, 4000, 1000, 0)
				longRunning.Lasting = true
				s.submit("glass", "last", longRunning)
				s.run(4 * time.Second)
				cutOff := func(unreachable bool) {
					for _, w := range workers {
						w.unreachable = unreachable && len(w.runs) > 0
					}
				}
				cutOff(true)
				s.run(4 * time.Second)
				cutOff(false)
				s.run(answers)
				cutOff(true)
				s.startTerm()
				s.run(15 * time.Second)
				s.runUntil(maxLateStartWait-15*time.Second, func() bool { return s.running("last") == 1 })
			})
		}
	}
}

// Guards against a worker that gets no lease for good, because the end of the suspension was rejected by the log.
func TestRejectedEndOfSuspensionIsRepeated(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	longRunning := step(1, 4000, 1000, 0)
	longRunning.Lasting = true
	s.submit("glass", "last", longRunning)
	s.run(4 * time.Second)
	w.unreachable = true
	s.run(4 * time.Second)
	assert.Assert(t, s.e.State().WorkerByID(w.m.Id).LeasesEndMs() > 0)
	rejected := 0
	s.rejectCommand = func(m *workloadpb.Command) bool {
		if !m.GetLeaseSuspension().GetResumed() || rejected > 0 {
			return false
		}
		rejected++
		return true
	}
	w.unreachable = false
	s.run(6 * time.Second)
	assert.Equal(t, rejected, 1)
	assert.Equal(t, s.e.State().WorkerByID(w.m.Id).LeasesEndMs(), int64(0))
	assert.Equal(t, s.running("last"), 1)
}
