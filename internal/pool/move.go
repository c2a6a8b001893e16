package pool

import (
	"maps"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
)

// sync keeps the pool of a removed instance, so that adding it again in another pool is a move like any other.
func (s *State) sync() {
	x := s.refresh()
	for i := range x.current.Instances {
		cfg := &x.current.Instances[i]
		in, ok := s.instances[cfg.Name]
		if !ok {
			in = &poolpb.Instance{Name: cfg.Name, Pool: cfg.Pool}
			s.instances[cfg.Name] = in
			s.touch(in)
		} else if in.Removed {
			in.Removed = false
			s.touch(in)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.instances)) { // sorted, because epochs are drawn in this order
		in := s.instances[name]
		if _, ok := x.instances[name]; !ok && !in.Removed {
			in.Removed, in.Requested, in.RequestedOver = true, "", ""
			in.Move, in.To, in.Stop = poolpb.Move_MOVE_NONE, "", poolpb.Stop_STOP_NONE
			s.touch(in)
		}
	}
}

// Synced reports whether the configuration lists the same instances as the state.
func (s *State) Synced() bool {
	x := s.refresh()
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

func (s *State) request(m *poolpb.Request) error {
	in, err := s.known(m.Instance)
	if err != nil {
		return err
	}
	x := s.refresh()
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

// wanted returns the pool in which the instance should be. An operator's request holds until the configured pool
// differs from the one at the time of the request.
func (s *State) wanted(in *poolpb.Instance) string {
	cfg, ok := s.refresh().instances[in.Name]
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

// mayLeave reports whether the pool can give up one serving instance.
func (s *State) mayLeave(pool string) bool {
	c := s.Summary(pool)
	return c.Headroom() >= 1 && c.Serving-1 >= s.minInstances(pool)
}

// mayRelease reports whether the pool can do without the instance that drains; losses since the drain began count.
func (s *State) mayRelease(in *poolpb.Instance) bool {
	c := s.Summary(in.Pool)
	return c.Serving >= s.minInstances(in.Pool) && (c.Allowed < 0 || c.Planned+c.Lost <= c.Allowed)
}

func (s *State) begin(m *poolpb.Step) error {
	in, err := s.at(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	switch {
	case in.Removed || !available(in):
		return kernel.ErrConflict.New("instance %s is %s", in.Name, Condition(in))
	case m.To == in.Pool || s.wanted(in) != m.To:
		return kernel.ErrConflict.New("instance %s isn't wanted in pool %s", in.Name, m.To)
	case !s.mayLeave(in.Pool):
		return kernel.ErrConflict.New("pool %s can't give up an instance", in.Pool)
	}
	in.Move, in.To = poolpb.Move_MOVE_DRAINING, m.To
	s.touch(in)
	return nil
}

func (s *State) release(m *poolpb.Step) error {
	in, err := s.at(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	switch {
	case in.Move != poolpb.Move_MOVE_DRAINING:
		return kernel.ErrConflict.New("instance %s doesn't drain for a move", in.Name)
	case s.wanted(in) != in.To:
		return kernel.ErrConflict.New("instance %s isn't wanted in pool %s any more", in.Name, in.To)
	case !s.mayRelease(in):
		return kernel.ErrConflict.New("pool %s can't give up an instance", in.Pool)
	}
	in.Pool, in.To, in.Move = in.To, "", poolpb.Move_MOVE_RELEASED
	s.touch(in)
	return nil
}

func (s *State) use(m *poolpb.Step) error {
	in, err := s.at(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	if in.Move != poolpb.Move_MOVE_RELEASED {
		return kernel.ErrConflict.New("instance %s wasn't released", in.Name)
	}
	in.Move = poolpb.Move_MOVE_NONE
	s.touch(in)
	return nil
}

func (s *State) goBack(m *poolpb.Step) error {
	in, err := s.at(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	if in.Move != poolpb.Move_MOVE_DRAINING {
		return kernel.ErrConflict.New("instance %s doesn't drain for a move", in.Name)
	}
	in.Move, in.To = poolpb.Move_MOVE_NONE, ""
	s.touch(in)
	return nil
}

func (s *State) health(m *poolpb.Health) {
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

func (s *State) quarantine(m *poolpb.Quarantine) error {
	in, err := s.known(m.Instance)
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
		s.touch(in)
	}
	return nil
}

func (s *State) forget(m *poolpb.Step) error {
	in, err := s.at(m.Instance, m.Epoch)
	if err != nil {
		return err
	}
	if _, ok := s.refresh().instances[in.Name]; ok || !in.Removed {
		return kernel.ErrConflict.New("instance %s is configured", in.Name)
	}
	delete(s.instances, in.Name)
	return nil
}
