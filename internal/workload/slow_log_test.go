package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// minLeaseMargin is the time that must be left on a lease when it is renewed, a fifth of it. A request that is lost takes
// more than half of a lease, also beside a log that is fast, and must leave minRepeatedMargin.
const (
	minLeaseMargin    = 960 * time.Millisecond
	minRepeatedMargin = 600 * time.Millisecond
)

// Guards against leases that wait for the log because ends of runs are in it on their way.
func TestLeasesAreRenewedWhileLogIsSlow(t *testing.T) {
	for _, tt := range []struct {
		name string
		// fault disturbs a worker once; it may be nil.
		fault  func(s *sim, w *fakeWorker)
		margin time.Duration
		// repeated is how often an end is proposed again because its command was rejected.
		repeated int
	}{
		{"sound", nil, minLeaseMargin, 0},
		{"heartbeats-lost", func(s *sim, w *fakeWorker) {
			w.mute = true
			s.scheduleLasting(2*time.Second, func() { w.mute = false })
		}, minLeaseMargin, 0},
		{"request-lost", func(s *sim, w *fakeWorker) {
			s.intercept = func(a kernel.Action) bool {
				h, ok := a.(workload.RenewLease)
				if !ok || h.ID != w.m.Id {
					return false
				}
				s.intercept = nil
				sent := s.now
				s.schedule(h.Wait+workload.RequestTimeout, func() { s.fail(a, workload.NoAnswer, sent) })
				return true
			}
		}, minRepeatedMargin, 0},
		{"answer-late", func(s *sim, w *fakeWorker) {
			s.requestDelay = func(a kernel.Action) time.Duration {
				if h, ok := a.(workload.RenewLease); ok && h.ID == w.m.Id {
					s.requestDelay = nil
					return 700 * time.Millisecond
				}
				return 0
			}
		}, minLeaseMargin, 0},
		{"ends-rejected", func(s *sim, _ *fakeWorker) {
			usual := s.rejectCommand
			s.rejectCommand = func(m *workloadpb.Command) bool {
				if m.GetEnds() != nil {
					s.rejectCommand = usual
				}
				return usual(m) || m.GetEnds() != nil
			}
		}, minLeaseMargin, 4},
	} {
		for _, delay := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond,
			3500 * time.Millisecond} {
			for _, calm := range []time.Duration{0, 10 * time.Second} {
				t.Run(fmt.Sprintf("%s/%v_%v", tt.name, delay, calm), func(t *testing.T) {
					margin, proposals := playSlowLog(t, delay, calm, tt.fault)
					assert.Assert(t, margin >= tt.margin, "a lease was renewed %v before it expired", margin)
					assert.Assert(t, proposals <= 1+tt.repeated+int(delay/(3*time.Second)),
						"an end was proposed %d times", proposals)
				})
			}
		}
	}
}

// playSlowLog runs ordinary tasks that end all the time beside long-running ones, at first with a fast log. It returns the
// shortest time that was left on a lease, and how often an end was proposed at most.
func playSlowLog(
	t *testing.T, delay, calm time.Duration, fault func(s *sim, w *fakeWorker),
) (margin time.Duration, proposals int) {
	t.Helper()
	const workers = 4
	s := newSim(t)
	s.configure(1, nil, "glass")
	list := s.addWorkers("glass", workers)
	longRunning := step(2*workers, 4000, 1000, 0)
	longRunning.Lasting, longRunning.MaxPerWorker = true, 2
	s.submit("glass", "last", longRunning)
	s.run(3 * time.Second)
	assert.Equal(t, s.running("last"), 2*workers)
	for i := range 200 {
		s.submit("glass", fmt.Sprint("short-", i), step(8, 1000, 500, int64(100+370*(i%5))))
	}
	s.run(calm)
	s.commitDelay = func() time.Duration { return delay }
	proposed := map[string]int{}
	s.rejectCommand = func(m *workloadpb.Command) bool {
		if m.GetEnds() != nil {
			for _, ends := range append(m.GetEnds().More, m.GetEnds()) {
				for _, end := range ends.Ends {
					proposed[fmt.Sprint(end.Subtask, end.Run)]++
				}
			}
		}
		return false
	}
	if fault != nil {
		for i, w := range list {
			s.schedule(4*time.Second+time.Duration(i)*6100*time.Millisecond, func() { fault(s, w) })
		}
	}
	margin = s.maxLease
	for end := s.now + 30*time.Second; s.now < end; s.run(simStep) {
		assert.Equal(t, s.running("last"), 2*workers)
		for _, w := range list {
			margin = min(margin, time.Duration(w.leaseExpiryMs-w.clockMs())*time.Millisecond)
			for _, r := range w.ended {
				assert.Assert(t, r.How != workloadpb.How_HOW_LAPSED, "%v lapsed", r.Name)
			}
		}
	}
	for _, n := range proposed {
		proposals = max(proposals, n)
	}
	return margin, proposals
}
