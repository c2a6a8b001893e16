package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// shareBurst is how many seconds of its weight a client account may hand in at once and still be within its share.
const shareBurst = 5

// share tells which jobs are beyond what their client account may expect: its weight in jobs per second.
type share struct {
	buckets map[string]*bucket
	beyond  map[uint64]bool
}

type bucket struct {
	tokens float64
	at     time.Duration
}

func (s *share) reset() { *s = share{buckets: map[string]*bucket{}, beyond: map[uint64]bool{}} }

// accepted charges a new job to its account.
func (s *share) accepted(state *ledger.State, j *ledger.Job, now time.Duration) {
	a := state.Account(j.Account)
	if a == nil || a.Weight <= 0 {
		return
	}
	b := s.buckets[j.Account]
	if b == nil {
		b = &bucket{tokens: a.Weight * shareBurst, at: now}
		s.buckets[j.Account] = b
	}
	b.tokens = min(b.tokens+a.Weight*(now-b.at).Seconds(), a.Weight*shareBurst)
	b.at = now
	if b.tokens < 1 {
		s.beyond[j.Number] = true
		return
	}
	b.tokens--
}

// ended forgets a job.
func (s *share) ended(j *ledger.Job) { delete(s.beyond, j.Number) }

func (s *share) excess(j *ledger.Job) bool { return s.beyond[j.Number] }
