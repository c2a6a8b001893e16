package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

const (
	// maxRestartTimeAfterChange is the stated limit from the event that made the leader change.
	maxRestartTimeAfterChange = 7 * time.Second
	// maxElectionTime is how long after such an event the term of the next leader begins.
	maxElectionTime = time.Second
)

// takeoverTest loses the worker of a long-running task while the leader changes.
type takeoverTest struct {
	// events are the times of the events that made the leader change, relative to the loss of the worker.
	events       []time.Duration
	electionTime time.Duration
	// phase shifts the loss against the renewals of the lease.
	phase time.Duration
	// cutOff workers run on, and the first leader goes on renewing their leases for as long as it may.
	cutOff bool
}

// play returns how long after the limit the task runs again, negative if it does so in time.
func (tt takeoverTest) play(t *testing.T) time.Duration {
	s := newSim(t)
	s.setMaxLease(10 * time.Second)
	s.configure(1, nil, "glass")
	workers := s.addWorkers("glass", 4)
	longRunning := step(1, 4000, 1000, 0)
	longRunning.Lasting = true
	s.submit("glass", "last", longRunning)
	s.run(4*time.Second + tt.phase)
	var w *fakeWorker
	for _, o := range workers {
		o.clockGain = -20
		if len(o.runs) > 0 {
			w = o
		}
	}
	lostAt := s.now + time.Second
	lastRanAt, lastEventAt := lostAt, lostAt+tt.events[len(tt.events)-1]
	events, termsAt := tt.events, []time.Duration(nil)
	firstTermAt := lostAt + events[0] + tt.electionTime
	for end := lostAt + 30*time.Second; s.now < end; s.run(simStep) {
		if len(events) > 0 && s.now >= lostAt+events[0] {
			s.loseLeader()
			termsAt = append(termsAt, s.now+tt.electionTime)
			events = events[1:]
		}
		if len(termsAt) > 0 && s.now >= termsAt[0] {
			s.startTerm()
			termsAt = termsAt[1:]
		}
		if s.now < lostAt {
			continue
		}
		w.dead, w.unreachable = !tt.cutOff, true
		if tt.cutOff && s.now < firstTermAt+workload.MaxConfirmationAge {
			w.grant(workload.MaxGrantedLease, s.now-firstTermAt)
		}
		if s.running("last") == 0 {
			continue
		}
		if len(w.runs) == 0 || w.dead {
			return s.now - max(lastRanAt+maxRestartTime, lastEventAt+maxRestartTimeAfterChange)
		}
		lastRanAt = s.now
	}
	return 30 * time.Second
}

// Guards against changes of leader near the loss of a worker that keep its long-running tasks waiting, and against
// second runs of tasks while a deposed leader still grants leases.
func TestLeaderChangesNearLossDelayNoRestart(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		for changes := 1; changes <= 3; changes++ {
			for _, electionTime := range []time.Duration{500 * time.Millisecond, maxElectionTime} {
				t.Run(fmt.Sprintf("cut off %v, %d changes after %v", cutOff, changes, electionTime), func(t *testing.T) {
					latest, when := -time.Hour, takeoverTest{}
					last := 5 * time.Second
					if cutOff {
						last = 0 // A leader grants no leases to a worker that it can't reach.
					}
					for first := -time.Second; first <= last; first += 400 * time.Millisecond {
						for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 500 * time.Millisecond {
							for _, interval := range []time.Duration{1200 * time.Millisecond, 2300 * time.Millisecond} {
								tt := takeoverTest{electionTime: electionTime, phase: phase, cutOff: cutOff}
								for n := range changes {
									tt.events = append(tt.events, first+time.Duration(n)*interval)
								}
								if late := tt.play(t); late > latest {
									latest, when = late, tt
								}
							}
						}
					}
					t.Logf("at most %v after the limit, %+v", latest, when)
					assert.Assert(t, latest <= 0)
				})
			}
		}
	}
}
