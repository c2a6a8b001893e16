package backlog

import "time"

const (
	// minRetryAfter is the shortest time after which a rejected job returns. HTTP tells whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest one. The demand of a queue changes within about ten seconds, so a longer time would keep jobs
	// away from a pool that has become idle.
	maxRetryAfter = 10 * time.Second
)

// Returns spreads the rejected jobs of a pool over the time in which it can take them. The zero value expects none.
type Returns struct {
	next time.Duration // when the next one is due
}

// Schedule returns after which time a rejected job returns, at least after. The next one returns later by the time that the
// pool takes for this one.
func (r *Returns) Schedule(now, after, takes time.Duration) time.Duration {
	earliest := now + min(max(after, minRetryAfter), maxRetryAfter)
	if r.next < earliest || r.next > now+maxRetryAfter {
		// More jobs than the pool takes in this time start over, so they are spread over all of it.
		r.next = earliest
	}
	at := r.next
	r.next += takes
	return at - now
}
