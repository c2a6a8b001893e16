package caller

import (
	"slices"
	"time"
)

const (
	// initialCostSeconds is the run time in seconds that a flow is charged before any of its requests ended.
	initialCostSeconds = 0.05
	// costSmoothing is the weight of the newest run time in the estimate.
	costSmoothing = 0.2
	// minRateGrants is the number of starts after which the pace of a flow is taken as known.
	minRateGrants = 16
)

// poolQueue orders the requests that compete for the slots of one pool: urgent ones first, then by start-time fair
// queueing between teams. The cost of a request is the slot time that it takes divided by the share of its team.
type poolQueue struct {
	name    string
	waiting int
	classes [2]priorityClass // urgent, others
}

// priorityClass holds the flows of one urgency and their virtual time.
type priorityClass struct {
	flows       map[string]*flow
	virtualTime float64
}

// flow is the requests of one team in order of arrival.
type flow struct {
	team           string
	weight         float64
	queued         []*waiter
	retries        []*waiter // go before the list
	virtualStart   float64   // virtual start time of the next request
	estimatedCost  float64   // estimated run time in seconds
	running        int       // charged and not yet settled
	blocked        bool      // in the current pass
	retriesStalled bool      // in the current pass: no slot of another endpoint for the first retry
	blockReason    string    // the first request did not start

	periodStart  time.Time // start of the period for which pace is measured
	periodGrants int       // in that period
}

func newPoolQueue(name string) *poolQueue {
	p := &poolQueue{name: name}
	for k := range p.classes {
		p.classes[k].flows = map[string]*flow{}
	}
	return p
}

// ensureFlow returns the ensureFlow of a team. One that was idle starts at the current virtual time and so gets no credit for it.
func (p *poolQueue) ensureFlow(urgent bool, team string, weight float64, now time.Time) *flow {
	c := &p.classes[1]
	if urgent {
		c = &p.classes[0]
	}
	f := c.flows[team]
	if f == nil {
		f = &flow{team: team, estimatedCost: initialCostSeconds}
		c.flows[team] = f
	}
	f.weight = max(weight, 1)
	if f.isEmpty() {
		f.virtualStart = max(f.virtualStart, c.virtualTime)
		f.periodStart, f.periodGrants = now, 0
	}
	return f
}

func (p *poolQueue) allFlows() []*flow {
	var list []*flow
	for _, c := range p.classes {
		for _, f := range c.flows {
			list = append(list, f)
		}
	}
	return list
}

// setBlockReason notes why no request of the pool starts.
func (p *poolQueue) setBlockReason(reason string) {
	for _, f := range p.allFlows() {
		if !f.blocked {
			f.blockReason = reason
		}
	}
}

// poolDemand is the waiting requests of a pool, with those that avoid instances apart.
type poolDemand struct {
	waiting int
	avoid   [][]string
}

func (p *poolQueue) demand() *poolDemand {
	d := &poolDemand{waiting: p.waiting}
	for _, f := range p.allFlows() {
		for _, w := range f.retries {
			d.avoid = append(d.avoid, w.avoid)
			d.waiting--
		}
	}
	return d
}

func (p *poolQueue) unblockFlows() {
	for _, c := range p.classes {
		for _, f := range c.flows {
			f.blocked, f.retriesStalled = false, false
		}
	}
}

// nextFlow returns the flow whose turn it is, or nil.
func (p *poolQueue) nextFlow() *flow {
	for _, c := range p.classes {
		var best *flow
		for _, f := range c.flows {
			if f.blocked || f.nextWaiter() == nil {
				continue
			}
			if best == nil || f.virtualStart < best.virtualStart || f.virtualStart == best.virtualStart && f.team < best.team {
				best = f
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// nextWaiter returns the request of the flow that starts next, or nil. A retry that finds no slot of another endpoint
// doesn't hold up the others, which may use any.
func (f *flow) nextWaiter() *waiter {
	switch {
	case len(f.retries) > 0 && !f.retriesStalled:
		return f.retries[0]
	case len(f.queued) > 0:
		return f.queued[0]
	}
	return nil
}

func (f *flow) isEmpty() bool { return len(f.queued)+len(f.retries) == 0 }

// removeWaiter takes a request out of the flow; it is false when the request is not in it.
func (f *flow) removeWaiter(w *waiter) bool {
	for _, queue := range []*[]*waiter{&f.retries, &f.queued} {
		if k := slices.Index(*queue, w); k == 0 {
			*queue = (*queue)[1:]
			return true
		} else if k > 0 {
			*queue = slices.Delete(*queue, k, k+1)
			return true
		}
	}
	return false
}

// chargeFlow moves the virtual time to the flow's start and returns the estimated cost that the flow was charged.
func (p *poolQueue) chargeFlow(f *flow, now time.Time) float64 {
	for k := range p.classes {
		if c := &p.classes[k]; c.flows[f.team] == f {
			c.virtualTime = max(c.virtualTime, f.virtualStart)
		}
	}
	f.virtualStart += f.estimatedCost / f.weight
	f.running++
	f.periodGrants++
	if f.periodGrants >= 16*minRateGrants {
		f.periodStart = now.Add(-now.Sub(f.periodStart) / 2)
		f.periodGrants /= 2
	}
	return f.estimatedCost
}

// correctCharge replaces the charged estimate by the time that a request took, so that wrong estimates don't earn a team more
// than its share.
func (f *flow) correctCharge(charged float64, runTime time.Duration) {
	f.running--
	f.virtualStart += (runTime.Seconds() - charged) / f.weight
	f.estimatedCost += costSmoothing * (runTime.Seconds() - f.estimatedCost)
}

// estimateWait returns how long a request that joins the flow now would wait, or 0 while the pace is unknown.
func (f *flow) estimateWait(now time.Time) time.Duration {
	if len(f.queued) == 0 || f.periodGrants < minRateGrants {
		return 0
	}
	return now.Sub(f.periodStart) / time.Duration(f.periodGrants) * time.Duration(len(f.queued))
}

// pruneFlows drops idle flows that the virtual time has passed, which are the same as new ones.
func (p *poolQueue) pruneFlows() {
	for _, c := range p.classes {
		for team, f := range c.flows {
			if f.isEmpty() && f.running == 0 && f.virtualStart <= c.virtualTime {
				delete(c.flows, team)
			}
		}
	}
}
