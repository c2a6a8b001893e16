package pool

import (
	"maps"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
)

// syncConfiguration adds new instances of the configuration and marks removed ones. A removed instance keeps its pool,
// so that adding it again in another pool is an ordinary move.
func (s *State) syncConfiguration() {
	x := s.refreshIndex()
	for i := range x.current.Instances {
		cfg := &x.current.Instances[i]
		in, ok := s.instances[cfg.Name]
		if !ok {
			in = &poolpb.Instance{Name: cfg.Name, Pool: cfg.Pool}
			s.instances[cfg.Name] = in
			s.advanceEpoch(in)
		} else if in.Removed {
			in.Removed = false
			s.advanceEpoch(in)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.instances)) { // sorted, because epochs are assigned in this order
		in := s.instances[name]
		if _, ok := x.instances[name]; !ok && !in.Removed {
			in.Removed, in.Requested, in.RequestedOver = true, "", ""
			in.Move, in.To, in.Stop = poolpb.Move_MOVE_NONE, "", poolpb.Stop_STOP_NONE
			s.advanceEpoch(in)
		}
	}
}

// Synced reports whether the configuration lists the same instances as the state.
func (s *State) Synced() bool {
	x := s.refreshIndex()
	n := 0
	for name, in := range s.instances {
		if _, ok := x.instances[name]; ok == in.Removed {
			return false
		}
		if !in.Removed {
			n++
		}
	}
	return n == len(x.instances)
}

func (s *State) requestMove(m *poolpb.Request) error {
	in, err := s.lookup(m.Instance)
	if err != nil {
		return err
	}
	x := s.refreshIndex()
	if _, ok := x.pools[m.Pool]; !ok {
		return kernel.ErrNotFound.New("no pool %q", m.Pool)
	}
	cfg, ok := x.instances[m.Instance]
	if !ok {
		return kernel.ErrNotFound.New("no instance %q in the configuration", m.Instance)
	}
	in.Requested, in.RequestedOver = m.Pool, cfg.Pool
	return nil
}

// targetPool returns the pool in which the instance should be. An operator's request holds until the configured pool
// differs from the one at the time of the request.
func (s *State) targetPool(in *poolpb.Instance) string {
	cfg, ok := s.refreshIndex().instances[in.Name]
	if !ok || in.Removed {
		return in.Pool
	}
	if in.Requested != "" && in.RequestedOver == cfg.Pool {
		if _, ok := s.index.pools[in.Requested]; ok {
			return in.Requested
		}
	}
	return cfg.Pool
}

// canGiveUpInstance reports whether the pool can give up one serving instance.
func (s *State) canGiveUpInstance(pool string) bool {
	c := s.Summary(pool)
	return c.Headroom() >= 1 && c.Serving-1 >= s.minInstances(pool)
}

// canRelease reports whether the pool can do without the draining instance; losses since the drain began count.
func (s *State) canRelease(in *poolpb.Instance) bool {
	c := s.Summary(in.Pool)
	return c.Serving >= s.minInstances(in.Pool) && (c.Allowed < 0 || c.Planned+c.Lost <= c.Allowed)
}

func (s *State) beginMove(m *poolpb.Step) error {
	in, err := s.lookupAtEpoch(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	switch {
	case in.Removed || !isServing(in):
		return kernel.ErrConflict.New("instance %s is %s", in.Name, Condition(in))
	case m.To == in.Pool || s.targetPool(in) != m.To:
		return kernel.ErrConflict.New("instance %s isn't wanted in pool %s", in.Name, m.To)
	case !s.canGiveUpInstance(in.Pool):
		return kernel.ErrConflict.New("pool %s can't give up an instance", in.Pool)
	}
	in.Move, in.To = poolpb.Move_MOVE_DRAINING, m.To
	s.advanceEpoch(in)
	return nil
}

func (s *State) releaseInstance(m *poolpb.Step) error {
	in, err := s.lookupAtEpoch(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	switch {
	case in.Move != poolpb.Move_MOVE_DRAINING:
		return kernel.ErrConflict.New("instance %s doesn't drain for a move", in.Name)
	case s.targetPool(in) != in.To:
		return kernel.ErrConflict.New("instance %s isn't wanted in pool %s any more", in.Name, in.To)
	case !s.canRelease(in):
		return kernel.ErrConflict.New("pool %s can't give up an instance", in.Pool)
	}
	in.Pool, in.To, in.Move = in.To, "", poolpb.Move_MOVE_RELEASED
	s.advanceEpoch(in)
	return nil
}

func (s *State) useInstance(m *poolpb.Step) error {
	in, err := s.lookupAtEpoch(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	if in.Move != poolpb.Move_MOVE_RELEASED {
		return kernel.ErrConflict.New("instance %s wasn't released", in.Name)
	}
	in.Move = poolpb.Move_MOVE_NONE
	s.advanceEpoch(in)
	return nil
}

func (s *State) cancelMove(m *poolpb.Step) error {
	in, err := s.lookupAtEpoch(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	if in.Move != poolpb.Move_MOVE_DRAINING {
		return kernel.ErrConflict.New("instance %s doesn't drain for a move", in.Name)
	}
	in.Move, in.To = poolpb.Move_MOVE_NONE, ""
	s.advanceEpoch(in)
	return nil
}

func (s *State) recordHealth(m *poolpb.Health) {
	for _, name := range m.Healthy {
		if in, ok := s.instances[name]; ok {
			in.Unhealthy = false
		}
	}
	for _, name := range m.Unhealthy {
		if in, ok := s.instances[name]; ok && !in.Unhealthy {
			in.Unhealthy = true
			in.Losses++
		}
	}
}

func (s *State) setQuarantine(m *poolpb.Quarantine) error {
	in, err := s.lookup(m.Instance)
	if err != nil {
		return err
	}
	if in.Quarantined == m.On {
		return nil
	}
	in.Quarantined, in.Reason = m.On, m.Reason
	if !m.On {
		in.Reason = ""
	}
	// The epoch of a planned stop fences its platform calls and must not change before its end.
	if in.Stop == poolpb.Stop_STOP_NONE {
		s.advanceEpoch(in)
	}
	return nil
}

func (s *State) forgetInstance(m *poolpb.Step) error {
	in, err := s.lookupAtEpoch(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	if _, ok := s.refreshIndex().instances[in.Name]; ok || !in.Removed {
		return kernel.ErrConflict.New("instance %s is configured", in.Name)
	}
	delete(s.instances, in.Name)
	return nil
}
