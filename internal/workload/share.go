package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// shareBurstSeconds times its weight is the number of jobs that a client account may submit at once without exceeding
// its share.
const shareBurstSeconds = 5

// accountShares records which jobs exceed the share of their client account. The share is the account's weight, in jobs
// per second.
type accountShares struct {
	buckets     map[string]*bucket
	beyondShare map[uint64]bool
}

// bucket is the token bucket of a client account; a token stands for one job.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

func (s *accountShares) reset() {
	*s = accountShares{buckets: map[string]*bucket{}, beyondShare: map[uint64]bool{}}
}

// chargeJob charges a new job to the share of its account, and records it if it exceeds the share.
func (s *accountShares) chargeJob(state *ledger.State, j *ledger.Job, now time.Duration) {
	a := state.Account(j.Account)
	if a == nil || a.Weight <= 0 {
		return
	}
	b := s.buckets[j.Account]
	if b == nil {
		b = &bucket{tokens: a.Weight * shareBurstSeconds, updatedAt: now}
		s.buckets[j.Account] = b
	}
	b.tokens = min(b.tokens+a.Weight*(now-b.updatedAt).Seconds(), a.Weight*shareBurstSeconds)
	b.updatedAt = now
	if b.tokens < 1 {
		s.beyondShare[j.Number] = true
		return
	}
	b.tokens--
}

// forgetJob removes an ended job.
func (s *accountShares) forgetJob(j *ledger.Job) { delete(s.beyondShare, j.Number) }

func (s *accountShares) isBeyondShare(j *ledger.Job) bool { return s.beyondShare[j.Number] }
