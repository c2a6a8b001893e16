package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/member"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/internal/quota/quotapb"
)

// Name is the plug-in name in commands and snapshots.
const Name = "quota"

const (
	teamPrefix = "team/"
	slotPrefix = "slot/"
)

// TeamResource returns the name of the resource that stands for a team's upper limit.
func TeamResource(team string) string { return teamPrefix + team }

// SlotResource returns the name of the resource that stands for the slots of an instance.
func SlotResource(instance string) string { return slotPrefix + instance }

// allocation is the number of units that a holder has of a resource, as the difference of two totals that only grow.
type allocation struct {
	granted, returned uint64
	// limit is the maximum number of units in use while limited is true, which is while the resource has more units
	// allocated and reserved than its lowered capacity.
	limit   uint64
	limited bool
}

func (a allocation) units() uint64 { return a.granted - a.returned }

func (a allocation) usable() uint64 {
	if a.limited {
		return min(a.units(), a.limit)
	}
	return a.units()
}

// resource holds the allocations and reservations of one resource.
type resource struct {
	allocations map[string]allocation
	reserved    uint64 // units that running jobs use
	// ceiling is the upper bound of used. It exceeds the capacity only after the capacity was lowered, and then only
	// falls.
	ceiling uint64
}

// used returns the number of allocated and reserved units.
func (r *resource) used() uint64 {
	used := r.reserved
	for _, a := range r.allocations {
		used += a.units()
	}
	return used
}

// State holds all allocations; it is owned by the kernel's goroutine.
type State struct {
	cfg           *configuration.State
	members       *member.State
	pools         *pool.State
	viewOnly      bool
	poolRevision  uint64 // of the pools from which capacities was computed
	resources     map[string]*resource
	capacities    map[string]uint64
	unchecked     map[string]bool // resources that changed since the last check
	unsentChanges changeSet
	leader        leaderState
}

func init() {
	kernel.Register(Name, []string{configuration.Name, member.Name, pool.Name}, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	cfg, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
	members, _ := kernel.Lookup[*member.State](k, member.Name)
	pools, _ := kernel.Lookup[*pool.State](k, pool.Name)
	s := &State{
		cfg: cfg, members: members, pools: pools, viewOnly: k.ViewOnly(),
		resources: map[string]*resource{}, unchecked: map[string]bool{},
	}
	s.leader.reset()
	s.unsentChanges.reset()
	s.loadCapacities()
	cfg.OnChange(s.loadCapacities)
	// An instance counts as drained only when no process can still start work on it and no job runs there.
	pools.AddBusyCheck(func(instance string) bool { return s.used(SlotResource(instance)) > 0 })
	members.OnRemove(s.removeHolder)
	k.Provide(Name, s)
	return kernel.Plugin{
		InView:       true,
		Apply:        s.apply,
		Query:        func([]byte) ([]byte, error) { return s.query() },
		Changes:      s.changes,
		Merge:        s.merge,
		Observe:      s.observe,
		Decide:       s.decide,
		BecomeLeader: s.startTerm,
		Snapshot:     s.encode,
		Restore:      s.restore,
		Check:        s.check,
	}
}

// Capacity returns the number of units of a resource, 0 if it is not configured.
func (s *State) Capacity(name string) uint64 {
	s.refreshCapacities()
	return s.capacities[name]
}

// Granted returns the total number of units of each resource that a holder was granted so far, including returned ones.
func (s *State) Granted(holder string) map[string]uint64 {
	granted := map[string]uint64{}
	for name, r := range s.resources {
		if a, ok := r.allocations[holder]; ok {
			granted[name] = a.granted
		}
	}
	return granted
}

// UsableUnits returns the number of units that a holder may use at once: its allocation, or less while units are
// recalled because the capacity was lowered.
func (s *State) UsableUnits(name, holder string) uint64 {
	r, ok := s.resources[name]
	if !ok {
		return 0
	}
	return r.allocations[holder].usable()
}

// Reserve reserves one unit for a job, and reports whether one was free. It is called while a command is applied.
func (s *State) Reserve(name string) bool {
	s.refreshCapacities()
	r := s.resource(name)
	if r.used() >= s.capacities[name] {
		return false
	}
	r.reserved++
	s.unsentChanges.reservations[name] = true
	s.markChanged(name)
	return true
}

// Unreserve releases one reserved unit. It is called while a command is applied.
func (s *State) Unreserve(name string) {
	r, ok := s.resources[name]
	if !ok || r.reserved == 0 {
		return
	}
	r.reserved--
	s.unsentChanges.reservations[name] = true
	s.markChanged(name)
}

// resource returns the resource of the name, and adds it if it doesn't exist.
func (s *State) resource(name string) *resource {
	r, ok := s.resources[name]
	if !ok {
		r = &resource{allocations: map[string]allocation{}, ceiling: s.capacities[name]}
		s.resources[name] = r
	}
	return r
}

// markChanged marks a resource for the next check and division, and clears its limits if they are no longer needed.
func (s *State) markChanged(name string) {
	s.unchecked[name] = true
	s.leader.dirty[name] = true
	delete(s.leader.proposedAt, name)
	s.clearLimits(name)
}

// setLimits divides a lowered capacity between the live holders in proportion to the units that each may use. Reserved
// units and units of expired processes are subtracted first, because they may all be in use. A limit is never raised
// before the used units are within the capacity, because the additional units may still be in use by another holder.
func (s *State) setLimits(name string, r *resource) {
	capacity := s.capacities[name]
	if s.viewOnly || r.used() <= capacity {
		return
	}
	available := capacity - min(capacity, r.reserved)
	var total uint64
	for holder, a := range r.allocations {
		if s.members.Live(holder) {
			total += a.usable()
		} else {
			available -= min(available, a.units())
		}
	}
	var sum, divided uint64
	for _, holder := range slices.Sorted(maps.Keys(r.allocations)) {
		if !s.members.Live(holder) {
			continue
		}
		a := r.allocations[holder]
		sum += a.usable()
		upTo := sum
		if total > available {
			upTo = sum * available / total
		}
		if limit := upTo - divided; !a.limited || a.limit != limit {
			a.limited, a.limit = true, limit
			r.allocations[holder] = a
			s.unsentChanges.allocations[allocationKey{name, holder}] = true
		}
		divided = upTo
	}
}

// clearLimits removes the limits of a resource if its allocated and reserved units are within the capacity.
func (s *State) clearLimits(name string) {
	r, ok := s.resources[name]
	if s.viewOnly || !ok || r.used() > s.capacities[name] {
		return
	}
	for holder, a := range r.allocations {
		if a.limited {
			a.limited, a.limit = false, 0
			r.allocations[holder] = a
			s.unsentChanges.allocations[allocationKey{name, holder}] = true
		}
	}
}

func (s *State) used(name string) uint64 {
	r, ok := s.resources[name]
	if !ok {
		return 0
	}
	return r.used()
}

// refreshCapacities loads the capacities again if the pools have changed. It is called before each use of them.
func (s *State) refreshCapacities() {
	if s.poolRevision != s.pools.Revision() {
		s.loadCapacities()
	}
}

// loadCapacities computes the capacities from the configuration in force and the pools. An instance that takes no new
// work gets no slots, so that processes start no more work there and return idle slots.
func (s *State) loadCapacities() {
	s.poolRevision = s.pools.Revision()
	capacities := map[string]uint64{}
	for _, t := range s.cfg.Current().Teams {
		capacities[TeamResource(t.Name)] = uint64(max(t.UpperLimit, 0))
	}
	for _, in := range s.cfg.Current().Instances {
		if _, admit := s.pools.PoolOf(in.Name); admit {
			capacities[SlotResource(in.Name)] = uint64(max(in.Slots, 0))
		}
	}
	for name := range s.capacities {
		s.leader.dirty[name] = true
	}
	s.capacities = capacities
	for name := range capacities {
		s.leader.dirty[name] = true
	}
	for name, r := range s.resources {
		r.ceiling = max(capacities[name], r.used())
		s.setLimits(name, r)
		s.markChanged(name)
	}
}

func (s *State) apply(c kernel.Command) ([]byte, error) {
	m := &quotapb.Command{}
	if err := proto.Unmarshal(c.Body, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode quota command: %v", err)
	}
	s.refreshCapacities()
	for _, ch := range m.Changes {
		s.applyChange(ch)
	}
	return nil, nil
}

// applyChange raises the totals of an allocation. It ignores a grant to a process that is not live or beyond the
// capacity.
func (s *State) applyChange(ch *quotapb.Change) {
	r := s.resource(ch.Resource)
	a, ok := r.allocations[ch.Holder]
	if !ok && !s.members.Live(ch.Holder) {
		return
	}
	if ch.Returned > a.returned && ch.Returned <= a.granted {
		a.returned = ch.Returned
	}
	if ch.Granted > a.granted && s.members.Live(ch.Holder) {
		if r.used()-r.allocations[ch.Holder].units()+ch.Granted-a.returned <= s.capacities[ch.Resource] {
			a.granted = ch.Granted
		}
	}
	r.allocations[ch.Holder] = a
	s.unsentChanges.allocations[allocationKey{ch.Resource, ch.Holder}] = true
	s.markChanged(ch.Resource)
}

// removeHolder deletes the allocations of a removed member. The process and all work that it started have ended.
func (s *State) removeHolder(id string) {
	for name, r := range s.resources {
		if _, ok := r.allocations[id]; ok {
			delete(r.allocations, id)
			s.markChanged(name)
		}
	}
}

// check verifies the resources that changed since the last check.
func (s *State) check() error {
	s.refreshCapacities()
	for name := range s.unchecked {
		r := s.resources[name]
		used := r.used()
		if used > r.ceiling {
			return errorx.IllegalState.New("%d units of %s are in use, above %d", used, name, r.ceiling)
		}
		r.ceiling = max(s.capacities[name], used)
		for holder, a := range r.allocations {
			if a.returned > a.granted {
				return errorx.IllegalState.New("%s returned %d units of %s, granted %d", holder, a.returned, name, a.granted)
			}
		}
	}
	clear(s.unchecked)
	return nil
}

func (s *State) encode() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.toProto())
}

func (s *State) query() ([]byte, error) {
	s.refreshCapacities()
	m := s.toProto()
	for _, name := range slices.Sorted(maps.Keys(s.capacities)) {
		m.Capacities = append(m.Capacities, &quotapb.Reservation{Resource: name, Units: s.capacities[name]})
	}
	return proto.Marshal(m)
}

func (s *State) toProto() *quotapb.State {
	m := &quotapb.State{}
	for _, name := range slices.Sorted(maps.Keys(s.resources)) {
		r := s.resources[name]
		for _, holder := range slices.Sorted(maps.Keys(r.allocations)) {
			m.Allocations = append(m.Allocations, r.encodeAllocation(name, holder))
		}
		if r.reserved > 0 {
			m.Reservations = append(m.Reservations, &quotapb.Reservation{Resource: name, Units: r.reserved})
		}
	}
	return m
}

// encodeAllocation returns the allocation of a holder; name is the name of the resource.
func (r *resource) encodeAllocation(name, holder string) *quotapb.Change {
	a := r.allocations[holder]
	ch := &quotapb.Change{Resource: name, Holder: holder, Granted: a.granted, Returned: a.returned}
	if a.limited {
		ch.Limit = &a.limit
	}
	return ch
}

// setAllocation replaces an allocation by the encoded one.
func (r *resource) setAllocation(ch *quotapb.Change) {
	r.allocations[ch.Holder] = allocation{
		granted: ch.Granted, returned: ch.Returned, limit: ch.GetLimit(), limited: ch.Limit != nil,
	}
}

func (s *State) restore(data []byte) error {
	m := &quotapb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode quotas")
	}
	s.resources = map[string]*resource{}
	s.leader.reset()
	s.unsentChanges.reset()
	s.loadCapacities()
	for _, ch := range m.Allocations {
		s.resource(ch.Resource).setAllocation(ch)
	}
	for _, rv := range m.Reservations {
		s.resource(rv.Resource).reserved = rv.Units
	}
	for _, r := range s.resources {
		r.ceiling = max(r.ceiling, r.used())
	}
	return nil
}

// Usage holds the capacity of a resource and its allocated and reserved units, for operators.
type Usage struct {
	resource string
	capacity uint64
	reserved uint64
	holders  map[string]uint64
}

// Usage returns the usage of a resource.
func (s *State) Usage(name string) Usage {
	u := Usage{resource: name, capacity: s.Capacity(name), holders: map[string]uint64{}}
	if r, ok := s.resources[name]; ok {
		u.reserved = r.reserved
		for holder, a := range r.allocations {
			if a.units() > 0 {
				u.holders[holder] = a.units()
			}
		}
	}
	return u
}

// Used returns the number of units that are allocated or used by running jobs.
func (u Usage) Used() uint64 {
	used := u.reserved
	for _, units := range u.holders {
		used += units
	}
	return used
}

// Resource returns the name of the resource.
func (u Usage) Resource() string { return u.resource }

// Capacity returns the number of units of the resource.
func (u Usage) Capacity() uint64 { return u.capacity }

// Reserved returns the number of units that running jobs use.
func (u Usage) Reserved() uint64 { return u.reserved }

// Holders returns the number of units allocated to each process.
func (u Usage) Holders() map[string]uint64 { return u.holders }

// DecodeState decodes the answer to a query into the usage of all resources, ordered by name.
func DecodeState(body []byte) ([]Usage, error) {
	m := &quotapb.State{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errorx.Decorate(err, "decode quotas")
	}
	byName := map[string]*Usage{}
	get := func(name string) *Usage {
		u, ok := byName[name]
		if !ok {
			u = &Usage{resource: name, holders: map[string]uint64{}}
			byName[name] = u
		}
		return u
	}
	for _, ch := range m.Allocations {
		get(ch.Resource).holders[ch.Holder] = ch.Granted - ch.Returned
	}
	for _, rv := range m.Reservations {
		get(rv.Resource).reserved = rv.Units
	}
	for _, c := range m.Capacities {
		get(c.Resource).capacity = c.Units
	}
	var list []Usage
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list, nil
}

// String returns the reserved and allocated units of the resource on one line.
func (u Usage) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s reserved=%d", u.resource, u.reserved)
	for _, h := range slices.Sorted(maps.Keys(u.holders)) {
		fmt.Fprintf(&b, " %s=%d", h, u.holders[h])
	}
	return b.String()
}
