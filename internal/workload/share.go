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
	switch b := s.bucketOf(state, j.Account, now); {
	case b == nil:
	case b.tokens < 1:
		s.beyondShare[j.Number] = true
	default:
		b.tokens--
	}
}

// bucketOf returns the token bucket of an account at a time, nil if the account has no share.
func (s *accountShares) bucketOf(state *ledger.State, account string, now time.Duration) *bucket {
	a := state.Account(account)
	if a == nil || a.Weight <= 0 {
		return nil
	}
	b := s.buckets[account]
	if b == nil {
		b = &bucket{tokens: a.Weight * shareBurstSeconds, updatedAt: now}
		s.buckets[account] = b
	}
	if now > b.updatedAt {
		b.tokens = min(b.tokens+a.Weight*(now-b.updatedAt).Seconds(), a.Weight*shareBurstSeconds)
		b.updatedAt = now
	}
	return b
}

// hasToken reports whether a new job of an account would be within its share.
func (s *accountShares) hasToken(state *ledger.State, account string, now time.Duration) bool {
	b := s.bucketOf(state, account, now)
	return b == nil || b.tokens >= 1
}

// restore charges the jobs of earlier leaders that have not ended, at the times when they were accepted.
func (s *accountShares) restore(state *ledger.State, now time.Duration, nowMs int64) {
	for _, j := range state.ActiveJobs() {
		s.chargeJob(state, j, now-millis(max(nowMs-j.AcceptedMs, 0)))
	}
}

// forgetJob removes an ended job.
func (s *accountShares) forgetJob(j *ledger.Job) { delete(s.beyondShare, j.Number) }

func (s *accountShares) isBeyondShare(j *ledger.Job) bool { return s.beyondShare[j.Number] }
