package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// Guards against a task that starts elsewhere beside a late start, because a late renewal lets its run last for longer than a
// lease.
func TestLateStartWithLateRenewalRunsOnce(t *testing.T) {
	s := newPinnedSim(t, step(1, 12000, 1000, 30_000))
	s.run(500 * time.Millisecond)
	between := s.restartLost(1)
	s.runUntil(5*time.Second, func() bool { return len(between.runs) == 1 })
	s.run(s.late.sent + 8500*time.Millisecond - s.now)
	var renewal workload.RenewLease
	sent := time.Duration(0)
	s.intercept = func(a kernel.Action) bool {
		h, ok := a.(workload.RenewLease)
		if !ok || h.ID != between.m.Id || sent > 0 {
			return false
		}
		renewal, sent = h, s.sentAt
		s.schedule(h.Wait+time.Second, func() { s.fail(h, workload.NoAnswer, sent) })
		return true
	}
	s.runUntil(2*time.Second, func() bool { return sent > 0 })
	assert.Assert(t, renewal.LeaseExpiryMs > 0)
	between.dead = true
	s.run(s.late.sent + 11500*time.Millisecond - s.now)
	later := s.restartLost(0)
	later.unreachable = true
	assert.Equal(t, len(later.runs), 1)
	s.run(later.startedAt + 5800*time.Millisecond - s.now)
	assert.Assert(t, s.now < sent+ledger.MaxRequestDelay)
	later.execute(renewal, sent)
	s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
	assert.Equal(t, s.done["job.0.0.0"], 1)
}
