package pool

import (
	"maps"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
)

// Summary summarises the members of a pool. An instance that was released to the pool and isn't used yet is no member.
type Summary struct {
	// Members is the number of instances, Serving those of them that take new work.
	Members, Serving int
	// Planned is the number of instances that drain or are stopped by decision, Lost those that failed.
	Planned, Lost int
	// Quarantined is the number of lost instances that are quarantined.
	Quarantined int
	// PlannedTotal is the number of instances that drain or are stopped by decision, lost ones included.
	PlannedTotal int
	// Allowed is the availability budget, or -1 without one.
	Allowed int
}

// Headroom returns how many more instances may become unavailable by decision.
func (c Summary) Headroom() int {
	if c.Allowed < 0 {
		return c.Serving
	}
	return max(0, min(c.Serving, c.Allowed-c.Planned-c.Lost))
}

// Summary returns the summary of a pool.
func (s *State) Summary(pool string) Summary { return s.count()[pool] }

func (s *State) count() map[string]Summary {
	x := s.refresh()
	if x.counts != nil && x.counted == s.changed {
		return x.counts
	}
	counts := make(map[string]Summary, len(x.pools))
	for _, in := range s.instances {
		if in.Removed || in.Move == poolpb.Move_MOVE_RELEASED {
			continue
		}
		c := counts[in.Pool]
		c.Members++
		if in.Move == poolpb.Move_MOVE_DRAINING || in.Stop != poolpb.Stop_STOP_NONE {
			c.PlannedTotal++
		}
		switch Condition(in) {
		case "serving":
			c.Serving++
		case "draining", "stopped":
			c.Planned++
		case "quarantined":
			c.Lost++
			c.Quarantined++
		default:
			c.Lost++
		}
		counts[in.Pool] = c
	}
	for name, c := range counts {
		c.Allowed = s.allowed(name, c.Members)
		counts[name] = c
	}
	x.counts, x.counted = counts, s.changed
	return counts
}

// allowed returns the tighter bound of the pool's availability budget, -1 for none.
func (s *State) allowed(pool string, members int) int {
	p, ok := s.refresh().pools[pool]
	if !ok {
		return -1
	}
	n := -1
	if p.Budget.MaxUnavailable > 0 {
		n = p.Budget.MaxUnavailable
	}
	if p.Budget.MaxUnavailablePercent > 0 {
		if share := members * p.Budget.MaxUnavailablePercent / 100; n < 0 || share < n {
			n = share
		}
	}
	return n
}

func (s *State) minInstances(pool string) int {
	if p, ok := s.refresh().pools[pool]; ok {
		return p.MinInstances
	}
	return 0
}

// checked is the state at the last check, against which steps are compared.
type checked struct {
	valid   bool
	changed uint64
	places  map[string]place
	counts  map[string]Summary
}

type place struct {
	pool  string
	epoch uint64
	move  poolpb.Move
}

// check asserts single membership and budgets. Unplanned losses and a changed configuration may exceed a budget, so
// the rule is that no command takes another instance out by decision beyond the budget.
func (s *State) check() error {
	if s.checked.valid && s.checked.changed == s.Revision() {
		return nil
	}
	counts := s.count()
	places := make(map[string]place, len(s.instances))
	for name, in := range s.instances {
		now := place{pool: in.Pool, epoch: in.Epoch, move: in.Move}
		places[name] = now
		if err := s.checkInstance(name, in, now); err != nil {
			return err
		}
	}
	if s.checked.valid {
		for name, c := range counts {
			before := s.checked.counts[name]
			if c.PlannedTotal > before.PlannedTotal && c.Allowed >= 0 && c.Planned+c.Lost > c.Allowed {
				return errorx.IllegalState.New("pool %s: %d planned and %d unplanned losses exceed the budget of %d",
					name, c.Planned, c.Lost, c.Allowed)
			}
		}
	}
	s.checked = checked{valid: true, changed: s.Revision(), places: places, counts: maps.Clone(counts)}
	return nil
}

func (s *State) checkInstance(name string, in *poolpb.Instance, now place) error {
	switch {
	case in.Pool == "":
		return errorx.IllegalState.New("instance %s belongs to no pool", name)
	case in.Epoch == 0 || in.Epoch > s.lastEpoch:
		return errorx.IllegalState.New("instance %s has epoch %d; the last one drawn is %d", name, in.Epoch, s.lastEpoch)
	case in.Move != poolpb.Move_MOVE_NONE && in.Stop != poolpb.Stop_STOP_NONE:
		return errorx.IllegalState.New("instance %s moves and stops at once", name)
	case (in.Move == poolpb.Move_MOVE_DRAINING) != (in.To != ""):
		return errorx.IllegalState.New("instance %s has target pool %q in move step %v", name, in.To, in.Move)
	}
	before, ok := s.checked.places[name]
	if !s.checked.valid || !ok {
		return nil
	}
	if now.epoch < before.epoch {
		return errorx.IllegalState.New("epoch of instance %s went back from %d to %d", name, before.epoch, now.epoch)
	}
	if now.pool != before.pool && (before.move != poolpb.Move_MOVE_DRAINING || now.epoch == before.epoch) {
		return errorx.IllegalState.New("instance %s changed from pool %s to %s without a release",
			name, before.pool, now.pool)
	}
	return nil
}

// BeginStop starts the planned stop of a serving instance and charges it to the availability budget. It is called
// while a command of another view plug-in is applied, and fails with ErrNotFound or ErrConflict.
func (s *State) BeginStop(instance string) (epoch uint64, err error) {
	in, err := s.known(instance)
	if err != nil {
		return 0, err
	}
	if !available(in) {
		return 0, kernel.ErrConflict.New("instance %s is %s", instance, Condition(in))
	}
	if c := s.Summary(in.Pool); c.Headroom() < 1 {
		return 0, kernel.ErrConflict.New("pool %s has no room in its availability budget: %d planned, %d lost, %d allowed",
			in.Pool, c.Planned, c.Lost, c.Allowed)
	}
	in.Stop = poolpb.Stop_STOP_DRAINING
	s.touch(in)
	return in.Epoch, nil
}

// MarkStopped records that a drained instance is down by decision; the epoch must be that of its BeginStop.
func (s *State) MarkStopped(instance string, epoch uint64) error {
	in, err := s.at(instance, epoch)
	if err != nil {
		return err
	}
	if in.Stop != poolpb.Stop_STOP_DRAINING {
		return kernel.ErrConflict.New("instance %s doesn't drain for a stop", instance)
	}
	in.Stop = poolpb.Stop_STOP_STOPPED
	s.changed++
	return nil
}

// EndStop ends a planned stop and returns the new epoch, which fences off late calls. The instance is re-admitted
// slowly until EndRamp.
func (s *State) EndStop(instance string, epoch uint64) (next uint64, err error) {
	in, err := s.at(instance, epoch)
	if err != nil {
		return 0, err
	}
	if in.Stop == poolpb.Stop_STOP_NONE {
		return 0, kernel.ErrConflict.New("instance %s isn't stopped", instance)
	}
	in.Stop, in.Ramping = poolpb.Stop_STOP_NONE, true
	s.touch(in)
	return in.Epoch, nil
}

// EndRampUp ends the slow re-admission of an instance.
func (s *State) EndRampUp(instance string) {
	if in, ok := s.instances[instance]; ok {
		in.Ramping = false
		s.changed++
	}
}

// RampingUp reports whether an instance is being re-admitted slowly.
func (s *State) RampingUp(instance string) bool { return s.instances[instance].GetRamping() }

// PlannedStops returns the epochs of all instances with a planned stop.
func (s *State) PlannedStops() map[string]uint64 {
	stops := map[string]uint64{}
	for name, in := range s.instances {
		if in.Stop != poolpb.Stop_STOP_NONE {
			stops[name] = in.Epoch
		}
	}
	return stops
}

// touch gives the instance the next epoch.
func (s *State) touch(in *poolpb.Instance) {
	s.lastEpoch++
	in.Epoch = s.lastEpoch
	s.changed++
}

func (s *State) known(instance string) (*poolpb.Instance, error) {
	in, ok := s.instances[instance]
	if !ok || in.Removed {
		return nil, kernel.ErrNotFound.New("no instance %q", instance)
	}
	return in, nil
}

func (s *State) at(instance string, epoch uint64) (*poolpb.Instance, error) {
	in, ok := s.instances[instance]
	if !ok {
		return nil, kernel.ErrNotFound.New("no instance %q", instance)
	}
	if in.Epoch != epoch {
		return nil, kernel.ErrConflict.New("instance %s has epoch %d, not %d", instance, in.Epoch, epoch)
	}
	return in, nil
}
