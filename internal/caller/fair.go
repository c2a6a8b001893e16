package caller

import (
	"slices"
	"time"
)

const (
	// initialCostSeconds is the estimated run time of a flow's requests before one of them has ended.
	initialCostSeconds = 0.05
	// costSmoothing is the weight of the newest run time in the moving average of a flow's run times.
	costSmoothing = 0.2
	// minRateGrants is the number of grants from which the rate of a flow's grants is known well enough to estimate
	// waits.
	minRateGrants = 16
)

// poolQueue orders the requests that compete for the slots of one pool: urgent requests come first, and start-time fair
// queueing divides the slots between teams. The cost of a request is its run time on a slot, divided by the share of
// its team.
type poolQueue struct {
	name    string
	waiting int
	classes [2]priorityClass // urgent requests, other requests
}

// priorityClass holds the flows of the urgent or of the other requests, and their virtual time.
type priorityClass struct {
	flows       map[string]*flow
	virtualTime float64
}

// flow holds the waiting requests of one team in one priority class, in order of arrival.
type flow struct {
	team           string
	weight         float64
	queued         []*waiter
	retries        []*waiter // start before the queued requests
	virtualStart   float64   // virtual start time of the next request
	estimatedCost  float64   // estimated run time in seconds
	running        int       // requests that were charged and have not ended
	blocked        bool      // skipped in the current pass
	retriesStalled bool      // in the current pass, no slot of another endpoint is free for the first retry
	blockReason    string    // why the first request did not start

	periodStart  time.Time // start of the period over which the rate of grants is measured
	periodGrants int       // grants in that period
}

func newPoolQueue(name string) *poolQueue {
	p := &poolQueue{name: name}
	for k := range p.classes {
		p.classes[k].flows = map[string]*flow{}
	}
	return p
}

// ensureFlow returns the flow of a team and creates it if needed. An empty flow restarts at the current virtual time,
// so that a team gets no credit for the time in which it had no requests.
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

// setBlockReason sets the reason why no request of the pool starts on all flows that are not blocked by their team.
func (p *poolQueue) setBlockReason(reason string) {
	for _, f := range p.allFlows() {
		if !f.blocked {
			f.blockReason = reason
		}
	}
}

// poolDemand describes the waiting requests of a pool.
type poolDemand struct {
	waiting int        // requests that can use any instance
	avoid   [][]string // for each retry, the instances that it avoids
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

// unblockFlows prepares the flows for the next pass over the pool.
func (p *poolQueue) unblockFlows() {
	for _, c := range p.classes {
		for _, f := range c.flows {
			f.blocked, f.retriesStalled = false, false
		}
	}
}

// nextFlow returns the flow from which the next request starts, or nil. Within a class it is the flow with the lowest
// virtual start time.
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
// doesn't block the queued requests, which may use any endpoint.
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

// removeWaiter removes a request from the flow and reports whether it was in it.
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

// chargeFlow advances the virtual time to the flow's virtual start time, charges the flow the estimated cost of one
// request and returns that cost. It halves the period of the rate when it has many grants, so that the rate follows
// changes.
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

// correctCharge replaces the charged estimate by the measured run time, so that wrong estimates don't give a team more
// than its share, and updates the estimate.
func (f *flow) correctCharge(charged float64, runTime time.Duration) {
	f.running--
	f.virtualStart += (runTime.Seconds() - charged) / f.weight
	f.estimatedCost += costSmoothing * (runTime.Seconds() - f.estimatedCost)
}

// estimateWait returns the expected wait of a request that joins the flow now, or 0 while the rate of grants is
// unknown.
func (f *flow) estimateWait(now time.Time) time.Duration {
	if len(f.queued) == 0 || f.periodGrants < minRateGrants {
		return 0
	}
	return now.Sub(f.periodStart) / time.Duration(f.periodGrants) * time.Duration(len(f.queued))
}

// pruneFlows removes empty flows whose virtual start time has passed; a new flow would be the same.
func (p *poolQueue) pruneFlows() {
	for _, c := range p.classes {
		for team, f := range c.flows {
			if f.isEmpty() && f.running == 0 && f.virtualStart <= c.virtualTime {
				delete(c.flows, team)
			}
		}
	}
}
