package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

// Guards against a new leader that gives runs up while a lease lasts that the previous leader granted last.
func TestLeaseOfPreviousLeaderOutlivesChangeOfLeader(t *testing.T) {
	for _, maxLease := range []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		for _, gain := range []int64{0, -20} { // thousandths
			t.Run(fmt.Sprintf("%v-%v", maxLease, gain), func(t *testing.T) {
				s := newSim(t)
				s.setMaxLease(maxLease)
				s.configure(1, nil, "glass")
				workers := s.addWorkers("glass", 2)
				for _, w := range workers {
					w.clockGain = gain
				}
				longRunning := step(1, 4000, 1000, 0)
				longRunning.Lasting = true
				s.submit("glass", "last", longRunning)
				leaseMs := int64(0)
				s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
					if st, ok := a.(workload.StartRun); ok {
						leaseMs = st.LeaseExpiryMs - s.workers[st.ID].clockMs()
					}
					return workload.Accepted, false
				}
				s.run(4 * time.Second)
				assert.Assert(t, leaseMs > 0)
				for _, w := range workers {
					w.unreachable = len(w.runs) > 0
				}
				s.startTerm()
				changedAt := s.now
				for end := s.now + workload.MaxConfirmationAge; s.now < end; s.run(simStep) {
					for _, w := range workers {
						if w.unreachable {
							// The previous leader goes on granting.
							w.grant(time.Duration(leaseMs)*time.Millisecond, s.now-changedAt)
						}
					}
				}
				s.run(15 * time.Second)
				assert.Equal(t, s.running("last"), 1)
			})
		}
	}
}
