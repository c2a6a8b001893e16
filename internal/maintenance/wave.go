package maintenance

import (
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/maintenancepb"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/plan"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

func isActive(w *maintenancepb.Wave) bool {
	return w.GetPhase() == maintenancepb.Phase_PHASE_RUNNING || w.GetPhase() == maintenancepb.Phase_PHASE_PAUSED ||
		w.GetPhase() == maintenancepb.Phase_PHASE_HALTED
}

func (s *State) controlWave(m *maintenancepb.Control, at time.Duration) error {
	w := s.waves[m.Wave]
	if m.Verb == maintenancepb.Verb_VERB_START {
		return s.startWave(m.Wave, at)
	}
	if !isActive(w) {
		return kernel.ErrConflict.New("wave %q isn't under way", m.Wave)
	}
	switch m.Verb {
	case maintenancepb.Verb_VERB_PAUSE:
		if w.Phase == maintenancepb.Phase_PHASE_RUNNING {
			w.Phase, w.Reason = maintenancepb.Phase_PHASE_PAUSED, "paused by an operator"
		}
	case maintenancepb.Verb_VERB_RESUME:
		w.Phase, w.Reason = maintenancepb.Phase_PHASE_RUNNING, ""
		s.soft.recentLosses = nil // the operator knows of them; unhealthy maintained instances halt the wave again
	case maintenancepb.Verb_VERB_ABORT:
		w.Phase, w.Reason, w.EndedAt, w.Pending = maintenancepb.Phase_PHASE_ABORTED, "aborted by an operator", int64(at), nil
		for _, p := range w.Permits { // an instance that already reboots keeps its permit until it is back
			if p.Stage == maintenancepb.Stage_STAGE_DRAINING && !s.isVoid(p) {
				if err := s.endStop(p); err != nil {
					return err
				}
			}
		}
	default:
		return kernel.ErrInvalid.New("unknown verb %v", m.Verb)
	}
	return nil
}

func (s *State) startWave(name string, at time.Duration) error {
	cfg, ok := s.configuredWave(name)
	if !ok {
		return kernel.ErrNotFound.New("no wave %q in the configuration", name)
	}
	if !s.pools.Synced() {
		return kernel.ErrConflict.New("instances of the newest configuration aren't in their pools yet; try again")
	}
	for _, other := range s.waves {
		if !isActive(other) && len(other.Permits) == 0 {
			continue
		}
		if other.Name == name {
			return kernel.ErrConflict.New("wave %s is under way", name)
		}
		otherCfg, _ := s.configuredWave(other.Name)
		for _, p := range cfg.Pools {
			if slices.Contains(otherCfg.Pools, p) {
				return kernel.ErrConflict.New("wave %s is under way in pool %s", other.Name, p)
			}
		}
	}
	var list []*fleet.Instance
	for _, p := range cfg.Pools {
		list = append(list, s.pools.Members(p)...)
	}
	plan.SortByDomain(list, cfg.Order)
	w := &maintenancepb.Wave{Name: name, Phase: maintenancepb.Phase_PHASE_RUNNING, StartedAt: int64(at)}
	for _, in := range list {
		w.Pending = append(w.Pending, in.Name)
	}
	s.waves[name] = w
	s.endIfDone(w, at)
	return nil
}

// endIfDone ends a wave that has no pending instances and no permits left.
func (s *State) endIfDone(w *maintenancepb.Wave, at time.Duration) {
	if isActive(w) && len(w.Pending)+len(w.Permits) == 0 {
		w.Phase, w.Reason, w.EndedAt = maintenancepb.Phase_PHASE_DONE, "", int64(at)
	}
}

// grantPermit grants the permit for a pending instance and charges its stop to the availability budget of its pool.
func (s *State) grantPermit(m *maintenancepb.Step) error {
	w := s.waves[m.Wave]
	cfg, ok := s.configuredWave(m.Wave)
	i := slices.Index(w.GetPending(), m.Instance)
	switch {
	case !ok || w.GetPhase() != maintenancepb.Phase_PHASE_RUNNING:
		return kernel.ErrConflict.New("wave %s isn't running", m.Wave)
	case i < 0:
		return kernel.ErrConflict.New("instance %s isn't due in wave %s", m.Instance, m.Wave)
	case s.permits[m.Instance] != nil:
		return kernel.ErrConflict.New("instance %s has a permit", m.Instance)
	case len(w.Permits) >= max(1, cfg.MaxParallel):
		return kernel.ErrConflict.New("wave %s has %d permits", m.Wave, len(w.Permits))
	case !s.previousHealthy(w):
		return kernel.ErrConflict.New("previous instances of wave %s aren't healthy again", m.Wave)
	case s.pools.Epoch(m.Instance) != m.Epoch:
		return kernel.ErrConflict.New("instance %s has epoch %d", m.Instance, s.pools.Epoch(m.Instance))
	}
	epoch, err := s.pools.BeginStop(m.Instance)
	if err != nil {
		return err
	}
	p := &maintenancepb.Permit{Instance: m.Instance, Epoch: epoch, Stage: maintenancepb.Stage_STAGE_DRAINING}
	w.Pending = slices.Delete(w.Pending, i, i+1)
	w.Permits = append(w.Permits, p)
	s.permits[m.Instance], s.lastGranted = p, m.Instance
	return nil
}

// previousHealthy reports whether no instance of the wave is down, returning or stuck. A batch is closed once its first
// instance has stopped; the maintenance of the whole batch must end before the next batch begins.
func (s *State) previousHealthy(w *maintenancepb.Wave) bool {
	return !slices.ContainsFunc(w.Permits, func(p *maintenancepb.Permit) bool {
		return p.Stage != maintenancepb.Stage_STAGE_DRAINING || p.Stuck
	})
}

func (s *State) permitAt(m *maintenancepb.Step, stage maintenancepb.Stage) (*maintenancepb.Permit, error) {
	p := s.permits[m.Instance]
	if p == nil || p.Epoch != m.Epoch || stage != maintenancepb.Stage_STAGE_NONE && p.Stage != stage {
		return nil, kernel.ErrConflict.New("instance %s has no permit with epoch %d at %v", m.Instance, m.Epoch, stage)
	}
	return p, nil
}

func (s *State) markStopped(m *maintenancepb.Step) error {
	p, err := s.permitAt(m, maintenancepb.Stage_STAGE_DRAINING)
	if err != nil {
		return err
	}
	if err := s.pools.MarkStopped(p.Instance, p.Epoch); err != nil {
		return err
	}
	p.Stage, p.Stuck, p.Waits = maintenancepb.Stage_STAGE_REBOOTING, false, 0
	return nil
}

func (s *State) endReboot(m *maintenancepb.Step) error {
	p, err := s.permitAt(m, maintenancepb.Stage_STAGE_REBOOTING)
	if err != nil {
		return err
	}
	return s.endStop(p)
}

// endStop ends the planned stop of an instance; its permit stays until the instance has been healthy for the whole slow
// start.
func (s *State) endStop(p *maintenancepb.Permit) error {
	epoch, err := s.pools.EndStop(p.Instance, p.Epoch)
	if err != nil {
		return err
	}
	p.Epoch, p.Stage, p.Stuck = epoch, maintenancepb.Stage_STAGE_RETURNING, false
	return nil
}

func (s *State) endMaintenance(m *maintenancepb.Step, at time.Duration) error {
	p, err := s.permitAt(m, maintenancepb.Stage_STAGE_RETURNING)
	if err != nil {
		return err
	}
	s.pools.EndRampUp(p.Instance)
	w := s.removePermit(p)
	if w.Phase != maintenancepb.Phase_PHASE_ABORTED {
		w.Maintained = append(w.Maintained, p.Instance)
	}
	s.endIfDone(w, at)
	return nil
}

func (s *State) removePermit(p *maintenancepb.Permit) *maintenancepb.Wave {
	delete(s.permits, p.Instance)
	for _, w := range s.waves {
		if i := slices.Index(w.Permits, p); i >= 0 {
			w.Permits = slices.Delete(w.Permits, i, i+1)
			return w
		}
	}
	return nil
}

func (s *State) markStuck(m *maintenancepb.Step) error {
	p, err := s.permitAt(m, maintenancepb.Stage_STAGE_NONE)
	if err != nil {
		return err
	}
	p.Stuck = p.Stage != maintenancepb.Stage_STAGE_RETURNING
	return nil
}

// dropInstance removes an instance from the wave that the configuration no longer lists, or removes a void permit.
func (s *State) dropInstance(m *maintenancepb.Step, at time.Duration) error {
	w := s.waves[m.Wave]
	if w == nil {
		return kernel.ErrNotFound.New("no wave %q", m.Wave)
	}
	poolName, _ := s.pools.PoolOf(m.Instance)
	if p := s.permits[m.Instance]; p != nil && slices.Contains(w.Permits, p) {
		if !s.isVoid(p) {
			return kernel.ErrConflict.New("permit of instance %s is in force", m.Instance)
		}
		s.removePermit(p)
		s.pools.EndRampUp(p.Instance)
		if poolName != "" && isActive(w) {
			w.Pending = append(w.Pending, m.Instance)
		}
	} else if poolName == "" {
		w.Pending = slices.DeleteFunc(w.Pending, func(name string) bool { return name == m.Instance })
	}
	s.endIfDone(w, at)
	return nil
}

func (s *State) haltWave(m *maintenancepb.Halt) error {
	w := s.waves[m.Wave]
	if w.GetPhase() != maintenancepb.Phase_PHASE_RUNNING {
		return kernel.ErrConflict.New("wave %s isn't running", m.Wave)
	}
	w.Phase, w.Reason = maintenancepb.Phase_PHASE_HALTED, m.Reason
	return nil
}

func (s *State) resolveStuck(m *maintenancepb.Decide) error {
	p := s.permits[m.Instance]
	if p == nil || !p.Stuck {
		return kernel.ErrConflict.New("instance %s isn't stuck", m.Instance)
	}
	switch {
	case m.Choice == maintenancepb.Choice_CHOICE_WAIT:
		p.Stuck = false
		p.Waits++
	case m.Choice == maintenancepb.Choice_CHOICE_FORCE && p.Stage == maintenancepb.Stage_STAGE_DRAINING:
		p.Stuck, p.Forced = false, true
	case m.Choice == maintenancepb.Choice_CHOICE_GIVE_UP && p.Stage == maintenancepb.Stage_STAGE_REBOOTING:
		if !s.isVoid(p) {
			if _, err := s.pools.EndStop(p.Instance, p.Epoch); err != nil {
				return err
			}
			s.pools.EndRampUp(p.Instance)
		}
		w := s.removePermit(p)
		if isActive(w) {
			w.Phase, w.Reason = maintenancepb.Phase_PHASE_PAUSED, "instance "+p.Instance+" was given up"
		}
	default:
		return kernel.ErrInvalid.New("instance %s is at %v, where %v has no meaning", m.Instance, p.Stage, m.Choice)
	}
	return nil
}
