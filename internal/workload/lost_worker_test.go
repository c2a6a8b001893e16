package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

const (
	// maxRestartTime is the stated limit from the loss of a worker until its long-running tasks run again.
	maxRestartTime = 9 * time.Second
	// maxRestartTimeAfterElection is the stated limit from a change of leader, which leaves the control group unstable
	// for 3 s.
	maxRestartTimeAfterElection = 10 * time.Second
)

// Guards against long-running tasks that wait for the longest lease that workers accept after their workers are lost.
func TestLongRunningTasksOfLostWorkersRestartInTime(t *testing.T) {
	for _, tt := range []struct {
		name     string
		maxLease time.Duration
		// elections are the times between the loss of the workers and changes of leader.
		elections []time.Duration
	}{
		{"short lease", 6 * time.Second, nil},
		{"long lease", 10 * time.Second, nil},
		{"longer lease", 30 * time.Second, nil},
		{"short lease election", 6 * time.Second, []time.Duration{2 * time.Second}},
		{"long lease election", 10 * time.Second, []time.Duration{2 * time.Second}},
		{"long lease late election", 10 * time.Second, []time.Duration{7 * time.Second}},
		{"long lease elections", 10 * time.Second, []time.Duration{2 * time.Second, 5 * time.Second}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.setMaxLease(tt.maxLease)
			s.configure(1, nil, "glass")
			workers := s.addWorkers("glass", 8)
			longRunning := step(3, 4000, 1000, 0)
			longRunning.Lasting, longRunning.MaxPerWorker = true, 1
			s.submit("glass", "last", longRunning)
			jobs := 0
			runBusy := func(d time.Duration) {
				for end := s.now + d; s.now < end; s.run(100 * time.Millisecond) {
					jobs++
					s.submit("glass", fmt.Sprintf("small-%04d", jobs), step(2, 1000, 1000, 300))
				}
			}
			runBusy(4 * time.Second)
			for _, w := range workers {
				w.dead = w.runs["last.0.0.0"] != nil || w.runs["last.0.0.1"] != nil || w.runs["last.0.0.2"] != nil
			}
			lostAt := s.now
			assert.Equal(t, s.running("last"), 0)
			deadline := lostAt + maxRestartTime
			for _, d := range tt.elections {
				runBusy(lostAt + d - s.now)
				s.startTerm()
				deadline = max(deadline, s.now+maxRestartTimeAfterElection)
			}
			for s.now < deadline && s.running("last") < 3 {
				runBusy(100 * time.Millisecond)
			}
			assert.Equal(t, s.running("last"), 3, "%v after the loss", s.now-lostAt)
			t.Logf("all run %v after the loss", s.now-lostAt)
		})
	}
}

// Guards against leases that grow with the age of a worker whose clock is slow.
func TestSlowClockKeepsLeaseLength(t *testing.T) {
	for _, gain := range []int64{0, -10, -20} { // thousandths
		for _, lostAt := range []time.Duration{10 * time.Second, time.Minute, 5 * time.Minute} {
			t.Run(fmt.Sprintf("%v-%v", gain, lostAt), func(t *testing.T) {
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
				s.run(lostAt)
				for _, w := range workers {
					w.dead = len(w.runs) > 0
				}
				assert.Equal(t, s.running("last"), 0)
				s.run(maxRestartTime)
				assert.Equal(t, s.running("last"), 1)
			})
		}
	}
}

// Guards against a lease that is counted for a request which carries none.
func TestStopsAndThrottlesGrantNoLease(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	latencySensitive, bestEffort := step(1, 4000, 1000, 0), step(1, 6000, 1000, 0)
	latencySensitive.Lasting, latencySensitive.TargetMs = true, 100
	bestEffort.Lasting, bestEffort.Fills = true, true
	s.submit("glass", "serve", latencySensitive)
	s.submit("glass", "fill", bestEffort)
	s.run(time.Second)
	w.load = 150
	s.run(time.Second)
	s.cancel("glass", "fill")
	s.run(time.Second)
	stops, throttles := 0, 0
	for _, a := range s.requests {
		switch a := a.(type) {
		case workload.StopRun:
			stops++
			assert.Equal(t, a.LeaseExpiryMs, int64(0))
		case workload.ThrottleRun:
			throttles++
			assert.Equal(t, a.LeaseExpiryMs, int64(0))
		}
	}
	assert.Assert(t, stops > 0 && throttles > 0, "%d stops, %d throttles", stops, throttles)
}

// Guards against leases that lapse on a sound worker because a single renewal is lost.
func TestLostRenewalDoesntLapseLease(t *testing.T) {
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		t.Run(maxLease.String(), func(t *testing.T) {
			s := newSim(t)
			s.setMaxLease(maxLease)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			longRunning := step(1, 4000, 1000, 0)
			longRunning.Lasting = true
			s.submit("glass", "last", longRunning)
			s.run(4 * time.Second)
			sent, lease := w.renewalSentAt, w.leaseExpiryMs
			for w.renewalSentAt == sent {
				lease = w.leaseExpiryMs
				s.run(simStep)
			}
			// The renewal is lost on its way. Its timeout is the time that the worker may wait and 1 s.
			w.leaseExpiryMs, w.unreachable = lease, true
			for w.renewal != nil {
				s.run(simStep)
			}
			w.unreachable = false
			t.Logf("renewal timed out; lease ends in %d ms", w.leaseExpiryMs-w.clockMs())
			s.run(5 * time.Second)
			assert.Equal(t, w.lastEnd, int64(0), "the run has ended")
		})
	}
}

// Guards against tasks of a lost worker that are assigned to an idle worker that was lost with it.
func TestTasksOfLostWorkerAvoidIdleLostWorkers(t *testing.T) {
	for _, interval := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			longest := time.Duration(0)
			for submitAt := time.Duration(0); submitAt < 1500*time.Millisecond; submitAt += 100 * time.Millisecond {
				for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 100 * time.Millisecond {
					longest = max(longest, timeToRestart(t, interval, submitAt, 4*time.Second+phase))
				}
			}
			assert.Assert(t, longest <= maxRestartTime, "a task ran again %v after the loss", longest)
		})
	}
}

// timeToRestart returns the time from the loss of seven of eight workers until a long-running task of them runs again.
func timeToRestart(t *testing.T, heartbeatInterval, submitAt, lostAfter time.Duration) time.Duration {
	s := newSim(t)
	s.maxLease = 10 * time.Second
	s.e.Configure(workload.Config{
		WallClock: func() time.Time { return time.UnixMilli(1_000_000).Add(s.now) }, MaxLease: s.maxLease,
		HeartbeatInterval: heartbeatInterval,
	})
	s.configure(1, nil, "glass")
	workers := s.addWorkers("glass", 8)
	s.run(submitAt)
	longRunning := step(1, 4000, 1000, 0)
	longRunning.Lasting = true
	s.submit("glass", "last", longRunning)
	s.run(lostAfter)
	for _, w := range workers[:7] {
		w.dead = true
	}
	assert.Equal(t, s.running("last"), 0)
	lostAt := s.now
	for s.now < lostAt+20*time.Second && s.running("last") == 0 {
		s.run(simStep)
	}
	return s.now - lostAt
}

// Guards against changes of leader without a disturbance that begin the wait for a lost worker's leases anew.
func TestElectionWithoutDisturbanceDelaysNoRestart(t *testing.T) {
	for _, elections := range [][]time.Duration{
		{4 * time.Second}, {5 * time.Second}, {4 * time.Second, 5 * time.Second, 6 * time.Second},
	} {
		t.Run(fmt.Sprint(elections), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			workers := s.addWorkers("glass", 4)
			longRunning := step(1, 4000, 1000, 0)
			longRunning.Lasting = true
			s.submit("glass", "last", longRunning)
			s.run(4 * time.Second)
			for _, w := range workers {
				w.dead = len(w.runs) > 0
			}
			assert.Equal(t, s.running("last"), 0)
			lostAt := s.now
			for _, d := range elections {
				s.run(lostAt + d - s.now)
				s.startTerm()
			}
			for s.now < lostAt+20*time.Second && s.running("last") == 0 {
				s.run(simStep)
			}
			assert.Assert(t, s.now-lostAt <= maxRestartTime, "the task ran again %v after the loss", s.now-lostAt)
		})
	}
}
