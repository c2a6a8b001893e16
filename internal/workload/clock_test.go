package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a new leader that gives runs up while a lease lasts that was counted from an old reading of the clock.
func TestLeaderChangeKeepsRunsOfWorkerWithSlowClock(t *testing.T) {
	for _, gain := range []int64{0, -15, -19, -20} { // thousandths
		t.Run(fmt.Sprint(gain), func(t *testing.T) {
			s := newSim(t)
			s.setMaxLease(10 * time.Second)
			s.configure(1, nil, "glass")
			workers := s.addWorkers("glass", 2)
			for _, w := range workers {
				w.clockGain = gain
			}
			longRunning := step(1, 4000, 1000, 0)
			longRunning.Lasting = true
			s.submit("glass", "last", longRunning)
			s.run(2 * time.Second)
			// From now on, answers take 10 ms longer than the first ones did.
			for _, w := range workers {
				w.startedAt += 10 * time.Millisecond
			}
			s.run(4 * time.Minute)
			for _, w := range workers {
				w.unreachable = len(w.runs) > 0
				t.Logf("lease of %s ends in %d ms on its clock", w.m.Id, w.leaseExpiryMs-w.clockMs())
			}
			s.run(100 * time.Millisecond)
			s.startTerm()
			s.run(15 * time.Second)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against leases that grow with the age of a worker with a slow clock when its answers take longer than before.
func TestSlowClockAndLatencyKeepLeaseLength(t *testing.T) {
	for _, gain := range []int64{0, -15, -19, -20} { // thousandths
		t.Run(fmt.Sprint(gain), func(t *testing.T) {
			s := newSim(t)
			s.setMaxLease(10 * time.Second)
			s.configure(1, nil, "glass")
			workers := s.addWorkers("glass", 2)
			for _, w := range workers {
				w.clockGain = gain
			}
			longRunning := step(1, 4000, 1000, 0)
			longRunning.Lasting = true
			s.submit("glass", "last", longRunning)
			s.run(2 * time.Second)
			for _, w := range workers {
				w.startedAt += 10 * time.Millisecond
			}
			s.run(5 * time.Minute)
			for _, w := range workers {
				w.dead = len(w.runs) > 0
			}
			s.run(maxRestartTime)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}
