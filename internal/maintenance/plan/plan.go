// Package plan orders the instances of a maintenance wave by failure domain and computes how long a wave takes.
package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// StepDurations are the expected durations of the maintenance steps of one instance.
type StepDurations struct {
	Drain, Boot, SlowStart time.Duration
}

// Plan is the schedule of a wave when nothing fails.
type Plan struct {
	// Batches lists the instances that are stopped together.
	Batches [][]string
	// Duration is how long the wave takes.
	Duration time.Duration
}

// Compute returns the plan of a wave over the given instances and pools. Instances of a pool whose budget allows no
// planned stop are in no batch.
func Compute(w fleet.Wave, pools []fleet.Pool, instances []fleet.Instance, times StepDurations) Plan {
	size, headroom := map[string]int{}, map[string]int{}
	for i := range instances {
		size[instances[i].Pool]++
	}
	for _, p := range pools {
		headroom[p.Name] = size[p.Name]
		if p.Budget.MaxUnavailable > 0 {
			headroom[p.Name] = min(headroom[p.Name], p.Budget.MaxUnavailable)
		}
		if p.Budget.MaxUnavailablePercent > 0 {
			headroom[p.Name] = min(headroom[p.Name], size[p.Name]*p.Budget.MaxUnavailablePercent/100)
		}
	}
	var pending []*fleet.Instance
	for i := range instances {
		if slices.Contains(w.Pools, instances[i].Pool) {
			pending = append(pending, &instances[i])
		}
	}
	SortByDomain(pending, w.Order)
	var p Plan
	for {
		next := Batch(pending, w.MaxParallel, func(pool string) int { return headroom[pool] })
		if len(next) == 0 {
			return p
		}
		names := make([]string, 0, len(next))
		for _, in := range next {
			names = append(names, in.Name)
		}
		pending = slices.DeleteFunc(pending, func(in *fleet.Instance) bool { return slices.Contains(names, in.Name) })
		p.Batches = append(p.Batches, names)
		p.Duration += times.Drain + times.Boot + times.SlowStart
	}
}

// SortByDomain sorts instances by failure domain: by zone in the given order, with other zones last, then by rack.
func SortByDomain(list []*fleet.Instance, order []string) {
	rank := func(zone string) int {
		if i := slices.Index(order, zone); i >= 0 {
			return i
		}
		return len(order)
	}
	slices.SortFunc(list, func(a, b *fleet.Instance) int {
		return cmp.Or(cmp.Compare(rank(a.AvailabilityZone), rank(b.AvailabilityZone)),
			cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})
}

// Batch returns the next instances to stop together: all in one zone, at most maxParallel (at least 1), and at most
// headroom(pool) of each pool. It skips the instances of pools without headroom.
func Batch(pending []*fleet.Instance, maxParallel int, headroom func(pool string) int) []*fleet.Instance {
	var list []*fleet.Instance
	taken := map[string]int{}
	for _, in := range pending {
		if len(list) > 0 && (len(list) >= max(1, maxParallel) || in.AvailabilityZone != list[0].AvailabilityZone) {
			break
		}
		if taken[in.Pool] < headroom(in.Pool) {
			taken[in.Pool]++
			list = append(list, in)
		}
	}
	return list
}
