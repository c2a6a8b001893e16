package endpoint

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/view"
)

// Target is an endpoint selected for one attempt. It holds a slot permit until Release.
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

// Release returns the slot permit. Further calls have no effect.
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

// candidate is a usable endpoint of a pool.
type candidate struct {
	vi     view.Instance
	record *instance
	load   float64
	limit  int // connections that this process may open to it
}

// Pick selects a usable endpoint of the queue's pool and acquires a slot permit of it. It never returns an instance
// that is listed in avoid. It prefers endpoints in other availability zones than the listed instances, then endpoints
// in other racks. It fails with ErrNoEndpoint or ErrNoSlot.
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

// candidates returns the usable endpoints of a pool. More than a third of the live endpoints can be ejected when others
// expired since; then the surplus whose ejection ends first is used again. Endpoints in their ramp are included at
// random by their share of work, or when there are no others.
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
		c.load = float64(i.localRunning+i.remoteRunning+1) / float64(max(vi.Slots, 1)) *
			(1 + failurePenalty*i.health.decayedFailureRate(now))
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
		slices.SortFunc(ejected, func(a, b candidate) int {
			return a.record.health.ejectedUntil.Compare(b.record.health.ejectedUntil)
		})
		list = append(list, ejected[:surplus]...)
	}
	if len(list) == 0 {
		return ramping
	}
	return list
}

// tiers splits the candidates by preference: in other zones than the avoided instances, in other racks, and the rest.
// The avoided instances themselves are left out.
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

// pickTarget selects the less loaded of two random candidates, and repeats this with the remaining candidates until a
// slot permit is free. The second candidate comes from another zone or rack than the first if possible, which spreads
// the work over failure domains.
func (r *Registry) pickTarget(v *view.View, pool string, list []candidate) *Target {
	for len(list) > 0 {
		k := r.cfg.Rand(len(list))
		if second := r.drawSecond(list, k); second >= 0 && isPreferred(list, list[second], list[k]) {
			k = second
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

// isPreferred reports whether a is preferred to b: it has less load, or the same load and is in a zone with less load.
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

// drawSecond returns the index of a random candidate other than k, or -1 without any. It prefers candidates in another
// zone than k, those in the zone with the least load first, then candidates in another rack.
func (r *Registry) drawSecond(list []candidate, k int) int {
	loads := map[string]float64{}
	best, bestRank, bestLoad, seen := -1, -1, 0.0, 0
	for other, c := range list {
		if other == k {
			continue
		}
		rank, load := 0, 0.0
		if zone := c.vi.AvailabilityZone; zone != list[k].vi.AvailabilityZone {
			if _, ok := loads[zone]; !ok {
				loads[zone] = zoneLoad(list, zone)
			}
			rank, load = 2, loads[zone]
		} else if c.vi.Rack != list[k].vi.Rack {
			rank = 1
		}
		switch order := cmp.Or(cmp.Compare(bestRank, rank), cmp.Compare(load, bestLoad)); {
		case order < 0:
			best, bestRank, bestLoad, seen = other, rank, load, 1
		case order == 0:
			seen++
			if r.cfg.Rand(seen) == 0 {
				best = other
			}
		}
	}
	return best
}

// ReportDemand reports to the quota holder how many slot permits of each instance of a pool this process can use: the
// permits in use, and a part of the waiting requests for each usable instance. The parts add up to the number of
// waiting requests. If a permit of every instance were requested for each, one waiting request per process would move
// all slots of a pool between the processes. The instance at which the distribution begins differs between processes
// and is constant within a process. Each entry of avoid is another waiting request, with the instances that Pick must
// not return for it; its permit is requested of another instance.
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
			continue // no endpoint that is usable now can serve the request
		}
		demand[usable[k]]++
		usable = append(append(usable[:k:k], usable[k+1:]...), usable[k])
	}
	for name, n := range demand {
		r.cfg.SetDemand(slotResourcePrefix+name, n)
	}
}
