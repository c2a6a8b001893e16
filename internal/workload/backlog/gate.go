package backlog

import (
	"maps"
	"time"
)

const (
	// minRetryAfter is the shortest time after which a rejected job returns. HTTP tells whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest one. The demand of a queue changes within about ten seconds, so a longer time would keep jobs
	// away from a pool that has become idle.
	maxRetryAfter = 10 * time.Second
)

// Gate decides on the new jobs of a queue one after the other, and spreads the rejected ones over the time in which the pool can
// take them. The zero value has rejected none.
type Gate struct {
	overloaded bool
	next       time.Duration            // when the next rejected job may return
	returns    map[string]time.Duration // when rejected jobs return, by ID
}

// Clone returns a copy of the gate, on which a decision without effect can be made.
func (g *Gate) Clone() *Gate {
	return &Gate{overloaded: g.overloaded, next: g.next, returns: maps.Clone(g.returns)}
}

// Decide is like the function Decide for the job with an ID. The time after which it returns is within the bounds of HTTP
// responses, and the next rejected job returns later by the time that the pool takes for this one.
func (g *Gate) Decide(now time.Duration, id string, in Input) (retryAfter time.Duration, reason string) {
	g.overloaded = g.overloaded && !in.isNearlyIdle()
	in.Overloaded = g.overloaded
	after, reason := Decide(in)
	if after <= 0 {
		return 0, ""
	}
	takes := in.Duration(in.New.Work)
	// A job that is rejected only because of its own limit doesn't show that the pool lacks time for others.
	in.New.Limit = 0
	if late, _ := Decide(in); late > 0 {
		g.overloaded = true
	}
	return g.schedule(now, id, after, takes), reason
}

func (g *Gate) schedule(now time.Duration, id string, after, takes time.Duration) time.Duration {
	if at, ok := g.returns[id]; ok && at-now > minRetryAfter/2 {
		return at - now // The same call is decided on twice, before and after the leader is confirmed.
	}
	earliest := now + min(max(after, minRetryAfter), maxRetryAfter)
	if g.next < earliest || g.next > now+maxRetryAfter {
		// If more jobs return than the pool can take, they are spread over all of this time.
		g.next = earliest
	}
	at := g.next
	g.next += takes
	if g.returns == nil {
		g.returns = map[string]time.Duration{}
	}
	g.returns[id] = at
	for other, at := range g.returns {
		if at <= now {
			delete(g.returns, other)
		}
	}
	return at - now
}
