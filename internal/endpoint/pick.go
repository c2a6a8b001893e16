package endpoint

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/view"
)

// Target is an endpoint chosen for one attempt; it holds a slot permit until Release.
type Target struct {
	registry    *Registry
	record      *instance
	view        *view.View
	instance    string
	pool        string
	zone        string
	rack        string
	address     string
	connections int
	release     func()
	releaseOnce sync.Once
}

// Instance returns the name of the instance.
func (t *Target) Instance() string { return t.instance }

// AvailabilityZone returns the availability zone of the instance.
func (t *Target) AvailabilityZone() string { return t.zone }

// Rack returns the rack of the instance.
func (t *Target) Rack() string { return t.rack }

// Release returns the slot permit; further calls do nothing.
func (t *Target) Release() {
	t.releaseOnce.Do(func() {
		t.release()
		r := t.registry
		r.mu.Lock()
		defer r.mu.Unlock()
		t.record.localRunning--
		r.notifyChanged()
	})
}

// candidate is a usable endpoint of the pool.
type candidate struct {
	vi     view.Instance
	record *instance
	load   float64
	limit  int // connections of this process
}

// Pick chooses a usable endpoint of the queue's pool and takes a slot permit of it. It never returns an instance named
// in avoid, and prefers another availability zone, then another rack, than theirs. It fails with ErrNoEndpoint or
// ErrNoSlot.
func (r *Registry) Pick(v *view.View, queue string, avoid []string) (*Target, error) {
	q, ok := v.Queue(queue)
	if !ok {
		return nil, ErrNoEndpoint.New("no queue %q", queue)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	list := r.candidates(v, q.Pool, now)
	usable := false
	for _, tier := range tiers(v, list, avoid) {
		usable = usable || len(tier) > 0
		if t := r.pickTarget(v, q.Pool, tier); t != nil {
			return t, nil
		}
	}
	if usable {
		return nil, ErrNoSlot.New("no free slot permit for queue %s", queue)
	}
	return nil, ErrNoEndpoint.New("no usable endpoint for queue %s", queue)
}

// candidates returns the usable endpoints of a pool. When more than a third of the live ones are ejected, because
// others vanished since, those whose ejection ends first are used again.
func (r *Registry) candidates(v *view.View, pool string, now time.Time) []candidate {
	processes := max(v.Configuration().Processes, 1)
	all := v.PoolInstances(pool)
	list := make([]candidate, 0, len(all))
	var ejected, ramping []candidate
	live := 0
	for _, vi := range all {
		i := r.instances[vi.Name]
		if i == nil || !vi.AcceptsWork || !i.isLive(now) {
			continue
		}
		live++
		c := candidate{vi: vi, record: i, limit: vi.Connections / processes}
		c.load = float64(i.localRunning+i.remoteRunning+1) / float64(max(vi.Slots, 1)) * (1 + failurePenalty*i.health.decayedFailureRate(now))
		switch {
		case c.limit == 0:
		case i.health.isEjected(now):
			ejected = append(ejected, c)
		case i.health.workShare(now) < float64(r.cfg.Rand(1000))/1000:
			ramping = append(ramping, c)
		default:
			list = append(list, c)
		}
	}
	if surplus := len(ejected) - live/ejectDivisor; surplus > 0 {
		slices.SortFunc(ejected, func(a, b candidate) int { return a.record.health.ejectedUntil.Compare(b.record.health.ejectedUntil) })
		list = append(list, ejected[:surplus]...)
	}
	if len(list) == 0 {
		return ramping
	}
	return list
}

// tiers splits the candidates into those in another zone than the avoided instances, in another rack, and the rest.
func tiers(v *view.View, list []candidate, avoid []string) [][]candidate {
	if len(avoid) == 0 {
		return [][]candidate{list}
	}
	split := make([][]candidate, 3)
	for _, c := range list {
		tier := 0
		for _, name := range avoid {
			other, ok := v.Instance(name)
			switch {
			case name == c.vi.Name:
				tier = len(split)
			case ok && other.AvailabilityZone == c.vi.AvailabilityZone && other.Rack == c.vi.Rack:
				tier = max(tier, 2)
			case ok && other.AvailabilityZone == c.vi.AvailabilityZone:
				tier = max(tier, 1)
			}
		}
		if tier < len(split) {
			split[tier] = append(split[tier], c)
		}
	}
	return split
}

// pickTarget chooses the less loaded of two random candidates until a slot permit is free. The second is drawn from
// another zone or rack than the first where there is one, which spreads the work over failure domains.
func (r *Registry) pickTarget(v *view.View, pool string, list []candidate) *Target {
	for len(list) > 0 {
		k := r.cfg.Rand(len(list))
		if o := r.drawSecond(list, k); o >= 0 && isPreferred(list, list[o], list[k]) {
			k = o
		}
		c := list[k]
		if c.record.localRunning < c.limit {
			if release, ok := r.cfg.TryAcquire(slotResourcePrefix + c.vi.Name); ok {
				c.record.localRunning++
				return &Target{
					registry: r, record: c.record, view: v, instance: c.vi.Name, pool: pool, zone: c.vi.AvailabilityZone,
					rack: c.vi.Rack, address: c.record.address, connections: c.limit, release: release,
				}
			}
		}
		list[k] = list[len(list)-1]
		list = list[:len(list)-1]
	}
	return nil
}

// isPreferred reports whether a is to be preferred to b: it is less loaded, or as loaded and in a zone that is less loaded.
func isPreferred(list []candidate, a, b candidate) bool {
	if a.load != b.load {
		return a.load < b.load
	}
	return zoneLoad(list, a.vi.AvailabilityZone) < zoneLoad(list, b.vi.AvailabilityZone)
}

// zoneLoad returns the mean load of the candidates in a zone.
func zoneLoad(list []candidate, zone string) float64 {
	sum, n := 0.0, 0
	for _, c := range list {
		if c.vi.AvailabilityZone == zone {
			sum += c.load
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// drawSecond draws a candidate other than k, from another zone first and another rack next; it is negative without one.
func (r *Registry) drawSecond(list []candidate, k int) int {
	best, bestRank, seen := -1, -1, 0
	for o := range list {
		if o == k {
			continue
		}
		rank := 0
		if list[o].vi.AvailabilityZone != list[k].vi.AvailabilityZone {
			rank = 2
		} else if list[o].vi.Rack != list[k].vi.Rack {
			rank = 1
		}
		switch {
		case rank > bestRank:
			best, bestRank, seen = o, rank, 1
		case rank == bestRank:
			seen++
			if r.cfg.Rand(seen) == 0 {
				best = o
			}
		}
	}
	return best
}

// ReportDemand reports to the quota holder how many slot permits of each usable instance of a pool this process could use:
// those in use and a part of the waiting requests. The parts add up to the waiting requests: if each instance were asked
// for one, a single waiting request of each process would make all slots of a pool move between many processes. The
// first instances to be asked differ between processes and stay the same for one. Each entry of avoid is a further
// waiting request with the instances that Pick must not return for it; it is asked for at another one.
func (r *Registry) ReportDemand(v *view.View, pool string, waiting int, avoid [][]string) {
	if r.cfg.SetDemand == nil {
		return
	}
	demand := map[string]int{}
	var usable []string
	r.mu.Lock()
	now := r.cfg.Now()
	for _, vi := range v.PoolInstances(pool) {
		i := r.instances[vi.Name]
		if i == nil {
			continue
		}
		demand[vi.Name] = i.localRunning
		if vi.AcceptsWork && i.isLive(now) && !i.health.isEjected(now) {
			usable = append(usable, vi.Name)
		}
	}
	r.mu.Unlock()
	if n := len(usable); n > 0 {
		first := int(r.incarnation % uint64(n))
		usable = append(usable[first:], usable[:first]...)
	}
	for k, name := range usable {
		demand[name] += waiting / len(usable)
		if k < waiting%len(usable) {
			demand[name]++
		}
	}
	for _, names := range avoid {
		k := slices.IndexFunc(usable, func(name string) bool { return !slices.Contains(names, name) })
		if k < 0 {
			continue // Only another endpoint that appears can serve the request.
		}
		demand[usable[k]]++
		usable = append(append(usable[:k:k], usable[k+1:]...), usable[k])
	}
	for name, n := range demand {
		r.cfg.SetDemand(slotResourcePrefix+name, n)
	}
}
