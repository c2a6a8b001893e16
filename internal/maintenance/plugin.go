package maintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/maintenancepb"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Name is the plug-in name in commands and snapshots.
const Name = "maintenance"

// State holds the waves; it is owned by the kernel's goroutine.
type State struct {
	cfg             *configuration.State
	pools           *pool.State
	waves           map[string]*maintenancepb.Wave
	permits         map[string]*maintenancepb.Permit // permits of all waves by instance
	revision        uint64
	checkedRevision uint64
	lastGranted     string // instance whose permit was granted since the last check
	soft            softState
}

func init() {
	kernel.Register(Name, []string{configuration.Name, pool.Name}, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	cfg, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
	pools, _ := kernel.Lookup[*pool.State](k, pool.Name)
	s := &State{
		cfg: cfg, pools: pools, waves: map[string]*maintenancepb.Wave{}, permits: map[string]*maintenancepb.Permit{},
	}
	s.resetLeaderState(0)
	k.Provide(Name, s)
	return kernel.Plugin{
		InView:       true, // permits change the pools' state, which is part of the view of entry processes
		Apply:        s.apply,
		Observe:      s.observe,
		Decide:       s.decide,
		BecomeLeader: s.resetLeaderState,
		Query:        func([]byte) ([]byte, error) { return s.encode() },
		Snapshot:     s.encode,
		Restore:      s.restore,
		Check:        s.check,
	}
}

// ControlCommand returns the command by which an operator starts, pauses, resumes or aborts a wave.
func ControlCommand(id, wave string, verb maintenancepb.Verb) (kernel.Command, error) {
	c := &maintenancepb.Control{Wave: wave, Verb: verb}
	return kernel.NewCommand(Name, id, &maintenancepb.Command{Change: &maintenancepb.Command_Control{Control: c}})
}

// DecideCommand returns the command with an operator's decision about a stuck instance.
func DecideCommand(id, instance string, choice maintenancepb.Choice) (kernel.Command, error) {
	d := &maintenancepb.Decide{Instance: instance, Choice: choice}
	return kernel.NewCommand(Name, id, &maintenancepb.Command{Change: &maintenancepb.Command_Decide{Decide: d}})
}

// DecodeState returns all waves, ordered by name.
func DecodeState(body []byte) ([]*maintenancepb.Wave, error) {
	m := &maintenancepb.State{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errorx.Decorate(err, "decode waves")
	}
	return m.Waves, nil
}

func (s *State) apply(c kernel.Command) ([]byte, error) {
	m := &maintenancepb.Command{}
	if err := proto.Unmarshal(c.Body, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode maintenance command: %v", err)
	}
	s.revision++
	switch change := m.Change.(type) {
	case *maintenancepb.Command_Control:
		return nil, s.controlWave(change.Control, c.At)
	case *maintenancepb.Command_Decide:
		return nil, s.resolveStuck(change.Decide)
	case *maintenancepb.Command_Permit:
		return nil, s.grantPermit(change.Permit)
	case *maintenancepb.Command_Stopped:
		return nil, s.markStopped(change.Stopped)
	case *maintenancepb.Command_Back:
		return nil, s.endReboot(change.Back)
	case *maintenancepb.Command_Done:
		return nil, s.endMaintenance(change.Done, c.At)
	case *maintenancepb.Command_Stuck:
		return nil, s.markStuck(change.Stuck)
	case *maintenancepb.Command_Drop:
		return nil, s.dropInstance(change.Drop, c.At)
	case *maintenancepb.Command_Halt:
		return nil, s.haltWave(change.Halt)
	}
	return nil, kernel.ErrInvalid.New("empty maintenance command")
}

func (s *State) encode() ([]byte, error) {
	m := &maintenancepb.State{}
	for _, name := range slices.Sorted(maps.Keys(s.waves)) {
		m.Waves = append(m.Waves, s.waves[name])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func (s *State) restore(data []byte) error {
	m := &maintenancepb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode waves")
	}
	s.waves, s.permits = map[string]*maintenancepb.Wave{}, map[string]*maintenancepb.Permit{}
	for _, w := range m.Waves {
		s.waves[w.Name] = w
		for _, p := range w.Permits {
			s.permits[p.Instance] = p
		}
	}
	s.revision++
	s.lastGranted = ""
	return nil
}

func (s *State) configuredWave(name string) (fleet.Wave, bool) {
	for _, w := range s.cfg.Current().Waves {
		if w.Name == name {
			return w, true
		}
	}
	return fleet.Wave{}, false
}

// check asserts that planned stops and permits match one to one, and that no wave has more permits than it may grant.
func (s *State) check() error {
	if revision := s.revision + s.pools.Revision(); s.checkedRevision != revision {
		s.checkedRevision = revision
	} else {
		return nil
	}
	stops := s.pools.PlannedStops()
	for name, epoch := range stops {
		if p := s.permits[name]; p == nil || p.Epoch != epoch || p.Stage == maintenancepb.Stage_STAGE_RETURNING {
			return errorx.IllegalState.New("instance %s has a planned stop without a permit", name)
		}
	}
	n := 0
	for _, w := range s.waves {
		for _, p := range w.Permits {
			n++
			if s.permits[p.Instance] != p {
				return errorx.IllegalState.New("instance %s has two permits", p.Instance)
			}
			if _, ok := stops[p.Instance]; !ok && p.Stage != maintenancepb.Stage_STAGE_RETURNING && !s.isVoid(p) {
				return errorx.IllegalState.New("permit of instance %s isn't charged to a budget", p.Instance)
			}
		}
		if err := s.checkGranted(w); err != nil {
			return err
		}
	}
	s.lastGranted = ""
	if n != len(s.permits) {
		return errorx.IllegalState.New("%d permits in waves, %d known", n, len(s.permits))
	}
	return nil
}

func (s *State) checkGranted(w *maintenancepb.Wave) error {
	if !slices.ContainsFunc(w.Permits, func(p *maintenancepb.Permit) bool { return p.Instance == s.lastGranted }) {
		return nil
	}
	cfg, ok := s.configuredWave(w.Name)
	if !ok || w.Phase != maintenancepb.Phase_PHASE_RUNNING || len(w.Permits) > max(1, cfg.MaxParallel) {
		return errorx.IllegalState.New("wave %s is %v and granted its permit number %d", w.Name, w.Phase, len(w.Permits))
	}
	return nil
}

// isVoid reports whether the planned stop of a permit has ended although the permit is left, because its instance was
// removed from the configuration.
func (s *State) isVoid(p *maintenancepb.Permit) bool { return s.pools.Epoch(p.Instance) != p.Epoch }

const (
	// slowStartDuration is how long an instance must be healthy before its maintenance ends.
	slowStartDuration = 30 * time.Second
	// rebootTimeout is the time after which a reboot counts as stuck.
	rebootTimeout = 15 * time.Minute
)
