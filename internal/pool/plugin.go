package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Name is the plug-in name in commands and snapshots.
const Name = "pool"

// State holds the pool and the condition of every instance; it is owned by the kernel's goroutine.
type State struct {
	cfg       *configuration.State
	instances map[string]*poolpb.Instance
	lastEpoch uint64
	revision  uint64 // counts changes, so that other plug-ins and check detect them cheaply

	index      index
	checked    checkedState
	published  publishedState
	busyChecks []func(instance string) bool
	soft       softState
}

// index is derived from the configuration in force, and the summaries from the instances too.
type index struct {
	current           *fleet.Configuration
	instances         map[string]*fleet.Instance
	pools             map[string]*fleet.Pool
	summaries         map[string]Summary
	summariesRevision uint64
}

func init() {
	kernel.Register(Name, []string{configuration.Name}, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	cfg, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
	s := &State{cfg: cfg, instances: map[string]*poolpb.Instance{}}
	s.resetLeaderState(0)
	s.resetPublished()
	k.Provide(Name, s)
	return kernel.Plugin{
		InView:       true,
		Changes:      s.changes,
		Merge:        s.merge,
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

// MoveCommand returns the command by which an operator moves an instance; naming its current pool cancels a move that
// was not released yet. The request holds until the configuration gives the instance another pool.
func MoveCommand(id, instance, pool string) (kernel.Command, error) {
	r := &poolpb.Request{Instance: instance, Pool: pool}
	return kernel.NewCommand(Name, id, &poolpb.Command{Change: &poolpb.Command_Request{Request: r}})
}

// QuarantineCommand returns the command that stops (on) or allows new work on an instance.
func QuarantineCommand(id, instance string, on bool, reason string) (kernel.Command, error) {
	q := &poolpb.Quarantine{Instance: instance, On: on, Reason: reason}
	return kernel.NewCommand(Name, id, &poolpb.Command{Change: &poolpb.Command_Quarantine{Quarantine: q}})
}

// DecodeState returns all instances, ordered by name.
func DecodeState(body []byte) ([]*poolpb.Instance, error) {
	m := &poolpb.State{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errorx.Decorate(err, "decode pools")
	}
	return m.Instances, nil
}

func (s *State) apply(c kernel.Command) ([]byte, error) {
	m := &poolpb.Command{}
	if err := proto.Unmarshal(c.Body, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode pool command: %v", err)
	}
	s.revision++
	switch change := m.Change.(type) {
	case *poolpb.Command_Sync:
		s.syncConfiguration()
		return nil, nil
	case *poolpb.Command_Request:
		return nil, s.requestMove(change.Request)
	case *poolpb.Command_Begin:
		return nil, s.beginMove(change.Begin)
	case *poolpb.Command_Release:
		return nil, s.releaseInstance(change.Release)
	case *poolpb.Command_Use:
		return nil, s.useInstance(change.Use)
	case *poolpb.Command_GoBack:
		return nil, s.cancelMove(change.GoBack)
	case *poolpb.Command_Health:
		s.recordHealth(change.Health)
		return nil, nil
	case *poolpb.Command_Quarantine:
		return nil, s.setQuarantine(change.Quarantine)
	case *poolpb.Command_Forget:
		return nil, s.forgetInstance(change.Forget)
	}
	return nil, kernel.ErrInvalid.New("empty pool command")
}

// Revision counts the changes of the state and of the configuration; equal revisions mean equal states.
func (s *State) Revision() uint64 { return s.revision + s.cfg.Version() }

// PoolOf returns the pool of an instance and whether new work may be sent to it.
func (s *State) PoolOf(instance string) (pool string, admitted bool) {
	in, ok := s.instances[instance]
	if !ok || in.Removed {
		return "", false
	}
	return in.Pool, isServing(in)
}

// Epoch returns the fencing epoch of an instance, 0 when it is unknown.
func (s *State) Epoch(instance string) uint64 { return s.instances[instance].GetEpoch() }

// Draining reports whether an instance drains for a move, a planned stop or its removal from the configuration.
func (s *State) Draining(instance string) bool {
	in, ok := s.instances[instance]
	return ok && (in.Removed || in.Move == poolpb.Move_MOVE_DRAINING || in.Stop == poolpb.Stop_STOP_DRAINING)
}

// Losses returns how often the instance became unhealthy, so that the caller detects even a short loss.
func (s *State) Losses(instance string) uint64 { return s.instances[instance].GetLosses() }

// Quarantined reports whether the instance is quarantined.
func (s *State) Quarantined(instance string) bool { return s.instances[instance].GetQuarantined() }

// Unreachable reports whether work on the instance can't be reached, because the instance is unhealthy, stopped or no
// longer configured.
func (s *State) Unreachable(instance string) bool {
	in, ok := s.instances[instance]
	return !ok || in.Removed || in.Unhealthy || in.Stop == poolpb.Stop_STOP_STOPPED
}

// Condition returns the state of an instance: serving, draining, stopped, unhealthy or quarantined. A planned stop
// hides that the instance is unhealthy, because a rebooting instance doesn't answer.
func Condition(in *poolpb.Instance) string {
	switch {
	case in.Stop == poolpb.Stop_STOP_STOPPED:
		return "stopped"
	case in.Unhealthy:
		return "unhealthy"
	case in.Quarantined:
		return "quarantined"
	case in.Stop == poolpb.Stop_STOP_DRAINING || in.Move != poolpb.Move_MOVE_NONE || in.Removed:
		return "draining"
	}
	return "serving"
}

func isServing(in *poolpb.Instance) bool { return Condition(in) == "serving" }

func (s *State) encode() ([]byte, error) {
	m := &poolpb.State{LastEpoch: s.lastEpoch}
	for _, name := range slices.Sorted(maps.Keys(s.instances)) {
		m.Instances = append(m.Instances, s.instances[name])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func (s *State) restore(data []byte) error {
	m := &poolpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode pools")
	}
	s.instances = make(map[string]*poolpb.Instance, len(m.Instances))
	for _, in := range m.Instances {
		s.instances[in.Name] = in
	}
	s.lastEpoch = m.LastEpoch
	s.revision++
	s.checked = checkedState{}
	s.resetPublished()
	return nil
}

// refreshIndex returns the index, which it rebuilds when another configuration came into force.
func (s *State) refreshIndex() *index {
	x := &s.index
	cfg := s.cfg.Current()
	if x.current == cfg {
		return x
	}
	x.current, x.summaries = cfg, nil
	x.instances = make(map[string]*fleet.Instance, len(cfg.Instances))
	for i := range cfg.Instances {
		x.instances[cfg.Instances[i].Name] = &cfg.Instances[i]
	}
	x.pools = make(map[string]*fleet.Pool, len(cfg.Pools))
	for i := range cfg.Pools {
		x.pools[cfg.Pools[i].Name] = &cfg.Pools[i]
	}
	return x
}

// Instance returns the configured instance, nil when there is none.
func (s *State) Instance(name string) *fleet.Instance { return s.refreshIndex().instances[name] }

// Members returns the configured instances that belong to the pool, in the order of the configuration.
func (s *State) Members(pool string) []*fleet.Instance {
	var list []*fleet.Instance
	cfg := s.cfg.Current()
	for i := range cfg.Instances {
		if in, ok := s.instances[cfg.Instances[i].Name]; ok && in.Pool == pool && !in.Removed {
			list = append(list, &cfg.Instances[i])
		}
	}
	return list
}

// leaseWait is how long after the start of a drain a process may still act on an older view: the configuration lease of
// 3 s plus the leader's margin of 0.1 s.
const leaseWait = 3100 * time.Millisecond
