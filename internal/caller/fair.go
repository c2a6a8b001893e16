package caller

import (
	"slices"
	"time"
)

const (
	// firstCost is the run time in seconds that a flow is charged before any of its requests ended.
	firstCost = 0.05
	// costSmoothing is the weight of the newest run time in the estimate.
	costSmoothing = 0.2
	// estimateGrants is the number of starts after which the pace of a flow is taken as known.
	estimateGrants = 16
)

// poolQueue orders the requests that compete for the slots of one pool: urgent ones first, then by start-time fair
// queueing between teams. The cost of a request is the slot time that it takes divided by the share of its team.
type poolQueue struct {
	name    string
	waiting int
	classes [2]class // urgent, others
}

// class holds the flows of one urgency and their virtual time.
type class struct {
	flows   map[string]*flow
	virtual float64
}

// flow is the requests of one team in order of arrival.
type flow struct {
	team    string
	weight  float64
	list    []*waiter
	retries []*waiter // go before the list
	start   float64   // virtual start time of the next request
	cost    float64   // estimated run time in seconds
	running int       // charged and not yet settled
	blocked bool      // in the current pass
	stalled bool      // in the current pass: no slot of another endpoint for the first retry
	why     string    // the first request did not start

	since  time.Time // start of the period for which pace is measured
	grants int       // in that period
}

func newPoolQueue(name string) *poolQueue {
	p := &poolQueue{name: name}
	for k := range p.classes {
		p.classes[k].flows = map[string]*flow{}
	}
	return p
}

// flow returns the flow of a team. One that was idle starts at the current virtual time and so gets no credit for it.
func (p *poolQueue) flow(urgent bool, team string, weight float64, now time.Time) *flow {
	c := &p.classes[1]
	if urgent {
		c = &p.classes[0]
	}
	f := c.flows[team]
	if f == nil {
		f = &flow{team: team, cost: firstCost}
		c.flows[team] = f
	}
	f.weight = max(weight, 1)
	if f.idle() {
		f.start = max(f.start, c.virtual)
		f.since, f.grants = now, 0
	}
	return f
}

func (p *poolQueue) all() []*flow {
	var list []*flow
	for _, c := range p.classes {
		for _, f := range c.flows {
			list = append(list, f)
		}
	}
	return list
}

// explain notes why no request of the pool starts.
func (p *poolQueue) explain(why string) {
	for _, f := range p.all() {
		if !f.blocked {
			f.why = why
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
	for _, f := range p.all() {
		for _, w := range f.retries {
			d.avoid = append(d.avoid, w.avoid)
			d.waiting--
		}
	}
	return d
}

func (p *poolQueue) unblock() {
	for _, c := range p.classes {
		for _, f := range c.flows {
			f.blocked, f.stalled = false, false
		}
	}
}

// next returns the flow whose turn it is, or nil.
func (p *poolQueue) next() *flow {
	for _, c := range p.classes {
		var best *flow
		for _, f := range c.flows {
			if f.blocked || f.head() == nil {
				continue
			}
			if best == nil || f.start < best.start || f.start == best.start && f.team < best.team {
				best = f
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// head returns the request of the flow that starts next, or nil. A retry that finds no slot of another endpoint
// doesn't hold up the others, which may use any.
func (f *flow) head() *waiter {
	switch {
	case len(f.retries) > 0 && !f.stalled:
		return f.retries[0]
	case len(f.list) > 0:
		return f.list[0]
	}
	return nil
}

func (f *flow) idle() bool { return len(f.list)+len(f.retries) == 0 }

// remove takes a request out of the flow; it is false when the request is not in it.
func (f *flow) remove(w *waiter) bool {
	for _, list := range []*[]*waiter{&f.retries, &f.list} {
		if k := slices.Index(*list, w); k == 0 {
			*list = (*list)[1:]
			return true
		} else if k > 0 {
			*list = slices.Delete(*list, k, k+1)
			return true
		}
	}
	return false
}

// charge moves the virtual time to the flow's start and returns the estimated cost that the flow was charged.
func (p *poolQueue) charge(f *flow, now time.Time) float64 {
	for k := range p.classes {
		if c := &p.classes[k]; c.flows[f.team] == f {
			c.virtual = max(c.virtual, f.start)
		}
	}
	f.start += f.cost / f.weight
	f.running++
	f.grants++
	if f.grants >= 16*estimateGrants {
		f.since = now.Add(-now.Sub(f.since) / 2)
		f.grants /= 2
	}
	return f.cost
}

// settle replaces the charged estimate by the time that a request took, so that wrong estimates don't earn a team more
// than its share.
func (f *flow) settle(charged float64, took time.Duration) {
	f.running--
	f.start += (took.Seconds() - charged) / f.weight
	f.cost += costSmoothing * (took.Seconds() - f.cost)
}

// estimate returns how long a request that joins the flow now would wait, or 0 while the pace is unknown.
func (f *flow) estimate(now time.Time) time.Duration {
	if len(f.list) == 0 || f.grants < estimateGrants {
		return 0
	}
	return now.Sub(f.since) / time.Duration(f.grants) * time.Duration(len(f.list))
}

// prune drops idle flows that the virtual time has passed, which are the same as new ones.
func (p *poolQueue) prune() {
	for _, c := range p.classes {
		for team, f := range c.flows {
			if f.idle() && f.running == 0 && f.start <= c.virtual {
				delete(c.flows, team)
			}
		}
	}
}
