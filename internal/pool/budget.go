package pool

import (
	"maps"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
)

// Summary counts the members of a pool. An instance that was released to the pool and isn't used yet is no member.
type Summary struct {
	// Members is the number of instances, Serving the number of those that take new work.
	Members, Serving int
	// Planned is the number of instances that are draining or stopped on purpose, Lost the number of instances that
	// are unhealthy or quarantined. Each instance counts in one of Serving, Planned and Lost only.
	Planned, Lost int
	// Quarantined is the number of lost instances that are quarantined.
	Quarantined int
	// PlannedTotal is the number of instances that are draining or stopped on purpose, including lost ones.
	PlannedTotal int
	// Allowed is the number of instances that may be unavailable at once, or -1 without an availability budget.
	Allowed int
}

// Headroom returns how many more instances may be made unavailable on purpose.
func (c Summary) Headroom() int {
	if c.Allowed < 0 {
		return c.Serving
	}
	return max(0, min(c.Serving, c.Allowed-c.Planned-c.Lost))
}

// Summary returns the counts of a pool.
func (s *State) Summary(pool string) Summary { return s.summaries()[pool] }

func (s *State) summaries() map[string]Summary {
	x := s.refreshIndex()
	if x.summaries != nil && x.summariesRevision == s.revision {
		return x.summaries
	}
	summaries := make(map[string]Summary, len(x.pools))
	for _, in := range s.instances {
		if in.Removed || in.Move == poolpb.Move_MOVE_RELEASED {
			continue
		}
		c := summaries[in.Pool]
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
		summaries[in.Pool] = c
	}
	for name, c := range summaries {
		c.Allowed = s.allowed(name, c.Members)
		summaries[name] = c
	}
	x.summaries, x.summariesRevision = summaries, s.revision
	return summaries
}

// allowed returns the tighter bound of the pool's availability budget, or -1 without one.
func (s *State) allowed(pool string, members int) int {
	p, ok := s.refreshIndex().pools[pool]
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
	if p, ok := s.refreshIndex().pools[pool]; ok {
		return p.MinInstances
	}
	return 0
}

// checkedState is the state at the last check, with which the next check compares the current state.
type checkedState struct {
	valid      bool
	revision   uint64
	placements map[string]placement
	summaries  map[string]Summary
}

type placement struct {
	pool  string
	epoch uint64
	move  poolpb.Move
}

// check asserts that each instance belongs to one pool and that budgets are kept. Unplanned losses and a changed
// configuration may exceed a budget, so the invariant is that no command makes another instance unavailable on purpose
// beyond the budget.
func (s *State) check() error {
	if s.checked.valid && s.checked.revision == s.Revision() {
		return nil
	}
	summaries := s.summaries()
	placements := make(map[string]placement, len(s.instances))
	for name, in := range s.instances {
		current := placement{pool: in.Pool, epoch: in.Epoch, move: in.Move}
		placements[name] = current
		if err := s.checkInstance(name, in, current); err != nil {
			return err
		}
	}
	if s.checked.valid {
		for name, c := range summaries {
			previous := s.checked.summaries[name]
			if c.PlannedTotal > previous.PlannedTotal && c.Allowed >= 0 && c.Planned+c.Lost > c.Allowed {
				return errorx.IllegalState.New("pool %s: %d planned and %d unplanned losses exceed the budget of %d",
					name, c.Planned, c.Lost, c.Allowed)
			}
		}
	}
	s.checked = checkedState{valid: true, revision: s.Revision(), placements: placements, summaries: maps.Clone(summaries)}
	return nil
}

func (s *State) checkInstance(name string, in *poolpb.Instance, current placement) error {
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
	previous, ok := s.checked.placements[name]
	if !s.checked.valid || !ok {
		return nil
	}
	if current.epoch < previous.epoch {
		return errorx.IllegalState.New("epoch of instance %s went back from %d to %d", name, previous.epoch, current.epoch)
	}
	if current.pool != previous.pool && (previous.move != poolpb.Move_MOVE_DRAINING || current.epoch == previous.epoch) {
		return errorx.IllegalState.New("instance %s changed from pool %s to %s without a release",
			name, previous.pool, current.pool)
	}
	return nil
}

// BeginStop starts the planned stop of a serving instance and charges it to the availability budget. Another view
// plug-in calls it while it applies a command. It fails with ErrNotFound or ErrConflict.
func (s *State) BeginStop(instance string) (epoch uint64, err error) {
	in, err := s.lookup(instance)
	if err != nil {
		return 0, err
	}
	if !isServing(in) {
		return 0, kernel.ErrConflict.New("instance %s is %s", instance, Condition(in))
	}
	if c := s.Summary(in.Pool); c.Headroom() < 1 {
		return 0, kernel.ErrConflict.New("pool %s has no room in its availability budget: %d planned, %d lost, %d allowed",
			in.Pool, c.Planned, c.Lost, c.Allowed)
	}
	in.Stop = poolpb.Stop_STOP_DRAINING
	s.advanceEpoch(in)
	return in.Epoch, nil
}

// MarkStopped records that a drained instance is stopped; the epoch must be the one that BeginStop returned.
func (s *State) MarkStopped(instance string, epoch uint64) error {
	in, err := s.lookupAtEpoch(instance, epoch)
	if err != nil {
		return err
	}
	if in.Stop != poolpb.Stop_STOP_DRAINING {
		return kernel.ErrConflict.New("instance %s doesn't drain for a stop", instance)
	}
	in.Stop = poolpb.Stop_STOP_STOPPED
	s.revision++
	return nil
}

// EndStop ends a planned stop and returns the new epoch, which fences off late platform calls. The instance is in its
// slow start until EndRampUp.
func (s *State) EndStop(instance string, epoch uint64) (next uint64, err error) {
	in, err := s.lookupAtEpoch(instance, epoch)
	if err != nil {
		return 0, err
	}
	if in.Stop == poolpb.Stop_STOP_NONE {
		return 0, kernel.ErrConflict.New("instance %s isn't stopped", instance)
	}
	in.Stop, in.Ramping = poolpb.Stop_STOP_NONE, true
	s.advanceEpoch(in)
	return in.Epoch, nil
}

// EndRampUp ends the slow start of an instance.
func (s *State) EndRampUp(instance string) {
	if in, ok := s.instances[instance]; ok {
		in.Ramping = false
		s.revision++
	}
}

// RampingUp reports whether an instance is in its slow start after a planned stop.
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

// advanceEpoch gives the instance the next epoch.
func (s *State) advanceEpoch(in *poolpb.Instance) {
	s.lastEpoch++
	in.Epoch = s.lastEpoch
	s.revision++
}

func (s *State) lookup(instance string) (*poolpb.Instance, error) {
	in, ok := s.instances[instance]
	if !ok || in.Removed {
		return nil, kernel.ErrNotFound.New("no instance %q", instance)
	}
	return in, nil
}

func (s *State) lookupAtEpoch(instance string, epoch uint64) (*poolpb.Instance, error) {
	in, ok := s.instances[instance]
	if !ok {
		return nil, kernel.ErrNotFound.New("no instance %q", instance)
	}
	if in.Epoch != epoch {
		return nil, kernel.ErrConflict.New("instance %s has epoch %d, not %d", instance, in.Epoch, epoch)
	}
	return in, nil
}
