package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// shareBurstSeconds is how many seconds of its weight a client account may submit at once and still be within its
// share.
const shareBurstSeconds = 5

// accountShares tracks the jobs beyond the share of their client account, which is its weight in jobs per second.
type accountShares struct {
	buckets     map[string]*bucket
	beyondShare map[uint64]bool
}

type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

func (s *accountShares) reset() {
	*s = accountShares{buckets: map[string]*bucket{}, beyondShare: map[uint64]bool{}}
}

// chargeJob charges a new job to its account.
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
