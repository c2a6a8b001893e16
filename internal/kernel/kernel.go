package kernel

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kernelpb"
)

// maxStoredOutcomes limits the number of stored results of operations with an identifier. Operators retry within
// minutes; at 940 configuration changes a day the limit covers more than four days.
const maxStoredOutcomes = 4096

// Config holds the settings of a kernel.
type Config struct {
	// ViewOnly restricts the kernel to the plug-ins whose commands entry processes apply.
	ViewOnly bool
	// OnViolation is called with each invariant violation; it may be nil.
	OnViolation func(plugin string, err error)
	// Log receives invariant violations.
	Log logr.Logger
}

// Kernel owns the control state; it must be used from one goroutine only.
type Kernel struct {
	cfg      Config
	plugins  []Plugin
	byName   map[string]*Plugin
	provided map[string]any
	halted   map[string]error
	outcomes outcomes
	applied  uint64
}

// New builds a kernel with all registered plug-ins.
func New(cfg Config) (*Kernel, error) {
	order, err := buildOrder()
	if err != nil {
		return nil, err
	}
	k := &Kernel{
		cfg:      cfg,
		byName:   map[string]*Plugin{},
		provided: map[string]any{},
		halted:   map[string]error{},
		outcomes: newOutcomes(maxStoredOutcomes),
	}
	for _, r := range order {
		p := r.build(k)
		p.Name = r.name
		if cfg.ViewOnly && !p.InView {
			delete(k.provided, r.name)
			continue
		}
		k.plugins = append(k.plugins, p)
	}
	for i := range k.plugins {
		k.byName[k.plugins[i].Name] = &k.plugins[i]
	}
	return k, nil
}

// Provide makes the state object of a plug-in available to Lookup; plug-ins call it while the kernel is built.
func (k *Kernel) Provide(name string, state any) { k.provided[name] = state }

// ViewOnly reports whether the kernel belongs to an entry process, which merges the changes of some plug-ins.
func (k *Kernel) ViewOnly() bool { return k.cfg.ViewOnly }

// Lookup returns the state object that a plug-in provided.
func Lookup[T any](k *Kernel, name string) (T, bool) {
	state, ok := k.provided[name].(T)
	return state, ok
}

// Applied returns the index of the last applied command.
func (k *Kernel) Applied() uint64 { return k.applied }

// Changes returns the changes that entry processes must merge after the last applied command, which belongs to plugin,
// and whether they must apply the command itself too.
func (k *Kernel) Changes(plugin string) (sections []*kernelpb.Section, applyCommand bool, err error) {
	for i := range k.plugins {
		p := &k.plugins[i]
		if !p.InView {
			continue
		}
		if p.Changes == nil {
			applyCommand = applyCommand || p.Name == plugin
			continue
		}
		data, err := p.Changes()
		if err != nil {
			return nil, false, errorx.Decorate(err, "changes of plug-in %s", p.Name)
		}
		if data != nil {
			sections = append(sections, &kernelpb.Section{Plugin: p.Name, Data: data})
		}
	}
	return sections, applyCommand, nil
}

// Merge applies changes that Changes returned on another process.
func (k *Kernel) Merge(sections []*kernelpb.Section) error {
	for _, sec := range sections {
		p, ok := k.byName[sec.Plugin]
		if !ok || p.Merge == nil {
			continue
		}
		if err := p.Merge(sec.Data); err != nil {
			return errorx.Decorate(err, "merge changes of plug-in %s", sec.Plugin)
		}
	}
	return nil
}

// Skip marks the log entry at index as applied because it holds no command for this kernel.
func (k *Kernel) Skip(index uint64) {
	if index > k.applied {
		k.applied = index
	}
}

// Apply applies the committed command at index. For a repeated operation identifier it returns the stored result.
func (k *Kernel) Apply(index uint64, c Command) Result {
	if index <= k.applied {
		return Result{Index: index, Err: errorx.IllegalState.New("command %d was already applied", index)}
	}
	k.applied = index
	if c.ID != "" {
		if r, ok := k.outcomes.get(c.Plugin, c.ID); ok {
			return r
		}
	}
	r := k.apply(index, c)
	if c.ID != "" {
		k.outcomes.put(c.Plugin, c.ID, r)
	}
	return r
}

func (k *Kernel) apply(index uint64, c Command) Result {
	p, ok := k.byName[c.Plugin]
	if !ok || p.Apply == nil {
		return Result{Index: index, Err: ErrNotFound.New("no plug-in %q", c.Plugin)}
	}
	if err, ok := k.halted[c.Plugin]; ok {
		return Result{Index: index, Err: ErrHalted.New("plug-in %s is halted: %v", c.Plugin, err)}
	}
	body, err := p.Apply(c)
	k.check()
	return Result{Index: index, Body: body, Err: err}
}

// check halts each plug-in whose invariant is violated, so that a faulty state can't cause further changes.
func (k *Kernel) check() {
	for i := range k.plugins {
		p := &k.plugins[i]
		if p.Check == nil || k.halted[p.Name] != nil {
			continue
		}
		if err := p.Check(); err != nil {
			k.halted[p.Name] = err
			k.cfg.Log.Error(err, "invariant violated; plug-in halted", "plugin", p.Name, "index", k.applied)
			if k.cfg.OnViolation != nil {
				k.cfg.OnViolation(p.Name, err)
			}
		}
	}
}

// Halted returns the halted plug-ins with the invariant violation of each.
func (k *Kernel) Halted() map[string]error { return k.halted }

// Respond answers a command that need not be replicated; see Plugin.Respond.
func (k *Kernel) Respond(now time.Duration, c Command) ([]byte, ReplyMode) {
	p, ok := k.byName[c.Plugin]
	if !ok || p.Respond == nil || k.halted[c.Plugin] != nil {
		return nil, Replicate
	}
	return p.Respond(now, c)
}

// BecomeLeader resets the soft state of all plug-ins when this process becomes leader.
func (k *Kernel) BecomeLeader(now time.Duration) {
	for i := range k.plugins {
		if f := k.plugins[i].BecomeLeader; f != nil {
			f(now)
		}
	}
}

// Observe passes an event to every plug-in of the leader.
func (k *Kernel) Observe(now time.Duration, ev Event) {
	for i := range k.plugins {
		if f := k.plugins[i].Observe; f != nil {
			f(now, ev)
		}
	}
}

// Query answers a read from the state of a plug-in.
func (k *Kernel) Query(plugin string, req []byte) ([]byte, error) {
	p, ok := k.byName[plugin]
	if !ok || p.Query == nil {
		return nil, ErrNotFound.New("plug-in %q answers no queries", plugin)
	}
	return p.Query(req)
}

// Decide collects the commands and actions of the leader's plug-ins.
func (k *Kernel) Decide(now time.Duration) Decision {
	var d Decision
	for i := range k.plugins {
		p := &k.plugins[i]
		if p.Decide == nil || k.halted[p.Name] != nil {
			continue
		}
		part := p.Decide(now)
		for j := range part.Commands {
			part.Commands[j].Plugin = p.Name
		}
		d.Commands = append(d.Commands, part.Commands...)
		d.Actions = append(d.Actions, part.Actions...)
	}
	return d
}

// Snapshot encodes the state; with viewOnly it includes only the plug-ins whose commands entry processes apply.
func (k *Kernel) Snapshot(viewOnly bool) ([]byte, error) {
	s := &kernelpb.Snapshot{Index: k.applied}
	for i := range k.plugins {
		p := &k.plugins[i]
		if p.Snapshot == nil || viewOnly && !p.InView {
			continue
		}
		data, err := p.Snapshot()
		if err != nil {
			return nil, errorx.Decorate(err, "snapshot of plug-in %s", p.Name)
		}
		s.Sections = append(s.Sections, &kernelpb.Section{Plugin: p.Name, Data: data})
	}
	if !viewOnly {
		s.Outcomes = k.outcomes.encode()
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore replaces the state by a snapshot. It rejects a snapshot that is older than the state.
func (k *Kernel) Restore(data []byte) error {
	s := &kernelpb.Snapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return errorx.Decorate(err, "decode snapshot")
	}
	if s.Index < k.applied {
		return errorx.IllegalState.New("snapshot at %d is older than the state at %d", s.Index, k.applied)
	}
	for _, sec := range s.Sections {
		p, ok := k.byName[sec.Plugin]
		if !ok || p.Restore == nil {
			continue
		}
		if err := p.Restore(sec.Data); err != nil {
			return errorx.Decorate(err, "restore plug-in %s", sec.Plugin)
		}
	}
	k.outcomes.decode(s.Outcomes)
	k.applied = s.Index
	k.check()
	return nil
}
