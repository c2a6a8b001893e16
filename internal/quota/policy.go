package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/quota/quotapb"
)

// maxChangesPerCommand is the number of changes after which no further resource is added to a command, so that a burst
// can't fill the log or block heartbeats.
const maxChangesPerCommand = 256

// proposalRetryInterval is the time after which the leader proposes changes again that were not applied; the log
// rejects commands while it is full and during a transfer of leadership.
const proposalRetryInterval = time.Second

// Report is the event that a process reported its demand and the units that it has returned.
type Report struct {
	Holder   string
	Demands  []*quotapb.Demand
	Returned []*quotapb.Returned
}

// EventName identifies the event in logs.
func (Report) EventName() string { return "quota-report" }

// leaderState is the state of the leader that is not replicated.
type leaderState struct {
	dirty       map[string]bool              // resources to divide again
	proposedAt  map[string]time.Duration     // by resource, while its changes are proposed but not applied
	demand      map[string]map[string]uint64 // by resource and holder
	returned    map[string]map[string]uint64 // by resource and holder: the reported totals
	jobDemand   map[string]uint64            // by resource
	recalls     map[string]map[string]uint64 // by holder and resource: units to keep
	liveHolders string                       // identifiers of the live members at the last decision, one per line
}

func (l *leaderState) reset() {
	*l = leaderState{
		dirty:      map[string]bool{},
		proposedAt: map[string]time.Duration{},
		demand:     map[string]map[string]uint64{},
		returned:   map[string]map[string]uint64{},
		jobDemand:  map[string]uint64{},
		recalls:    map[string]map[string]uint64{},
	}
}

// startTerm resets the state of the leader. All resources are divided again, also those that are no longer configured,
// so that their units are recalled.
func (s *State) startTerm(time.Duration) {
	s.leader.reset()
	for name := range s.resources {
		s.leader.dirty[name] = true
	}
}

// setNested sets m[a][b] to v and reports whether this changed the map.
func setNested(m map[string]map[string]uint64, a, b string, v uint64) (changed bool) {
	inner, ok := m[a]
	if !ok {
		inner = map[string]uint64{}
		m[a] = inner
	}
	old, ok := inner[b]
	inner[b] = v
	return !ok || old != v
}

// SetJobDemand sets the number of units of each resource that running and waiting jobs could use. It is called on the
// leader; the demand is not replicated.
func (s *State) SetJobDemand(demand map[string]int) {
	for name := range s.leader.jobDemand {
		if _, ok := demand[name]; !ok {
			delete(s.leader.jobDemand, name)
			s.leader.dirty[name] = true
		}
	}
	for name, n := range demand {
		if units := uint64(max(n, 0)); s.leader.jobDemand[name] != units {
			s.leader.jobDemand[name] = units
			s.leader.dirty[name] = true
		}
	}
}

// Recalls returns the recalls for a holder: the number of units of each resource to which it should reduce its
// allocation.
func (s *State) Recalls(holder string) []*quotapb.Recall {
	recalls := s.leader.recalls[holder]
	list := make([]*quotapb.Recall, 0, len(recalls))
	for _, name := range slices.Sorted(maps.Keys(recalls)) {
		list = append(list, &quotapb.Recall{Resource: name, Target: recalls[name]})
	}
	return list
}

func (s *State) observe(_ time.Duration, ev kernel.Event) {
	r, ok := ev.(Report)
	if !ok || !s.members.Live(r.Holder) {
		return
	}
	for _, d := range r.Demands {
		if setNested(s.leader.demand, d.Resource, r.Holder, d.Units) {
			s.leader.dirty[d.Resource] = true
		}
	}
	for _, ret := range r.Returned {
		if setNested(s.leader.returned, ret.Resource, r.Holder, ret.Total) {
			s.leader.dirty[ret.Resource] = true
		}
	}
}

// decide divides the resources whose demand or allocations changed since the last call, and proposes the changes.
func (s *State) decide(now time.Duration) kernel.Decision {
	s.refreshCapacities()
	for name, at := range s.leader.proposedAt {
		if now-at >= proposalRetryInterval {
			s.leader.dirty[name] = true
		}
	}
	holders := s.members.LiveIDs()
	s.handleMemberChange(holders)
	m := &quotapb.Command{}
	for _, name := range slices.Sorted(maps.Keys(s.leader.dirty)) {
		if len(m.Changes) >= maxChangesPerCommand {
			break
		}
		delete(s.leader.dirty, name)
		delete(s.leader.proposedAt, name)
		if list := s.divide(name, holders); len(list) > 0 {
			s.leader.proposedAt[name] = now
			m.Changes = append(m.Changes, list...)
		}
	}
	if len(m.Changes) == 0 {
		return kernel.Decision{}
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return kernel.Decision{}
	}
	return kernel.Decision{Commands: []kernel.Command{{Plugin: Name, Body: body}}}
}

// handleMemberChange marks all configured resources for division, and deletes the reports and recalls of processes that
// are no longer live, if the set of live processes has changed since the last call.
func (s *State) handleMemberChange(holders []string) {
	key := ""
	for _, h := range holders {
		key += h + "\n"
	}
	if key == s.leader.liveHolders {
		return
	}
	s.leader.liveHolders = key
	for name := range s.capacities {
		s.leader.dirty[name] = true
	}
	for holder := range s.leader.recalls {
		if !s.members.Live(holder) {
			delete(s.leader.recalls, holder)
		}
	}
	for _, byHolder := range s.leader.demand {
		maps.DeleteFunc(byHolder, func(h string, _ uint64) bool { return !s.members.Live(h) })
	}
	for _, byHolder := range s.leader.returned {
		maps.DeleteFunc(byHolder, func(h string, _ uint64) bool { return !s.members.Live(h) })
	}
}

// divide computes the targets of the holders of a resource, updates its recalls, and returns the changes of allocations
// that are possible now: units that holders have returned, and grants of free units.
func (s *State) divide(name string, holders []string) []*quotapb.Change {
	r := s.resource(name)
	next := map[string]allocation{}
	for _, h := range holders {
		a := r.allocations[h]
		if t := s.leader.returned[name][h]; t > a.returned && t <= a.granted {
			a.returned = t
		}
		next[h] = a
	}
	used := r.used()
	for _, h := range holders {
		used -= r.allocations[h].units() - next[h].units()
	}
	capacity := s.capacities[name]
	targets, jobTarget := computeTargets(
		name, capacity, max(r.reserved, s.leader.jobDemand[name]), s.leader.demand[name], holders,
	)
	s.updateRecalls(name, holders, next, targets, jobTarget > r.reserved)

	// Units for waiting jobs stay free, so that the job plug-in can reserve them.
	freeForJobs := jobTarget - min(jobTarget, r.reserved)
	var free uint64
	if capacity > used+freeForJobs {
		free = capacity - used - freeForJobs
	}
	growTo := func(h string, to uint64) {
		a := next[h]
		n := min(free, to-min(to, a.units()))
		a.granted += n
		free -= n
		next[h] = a
	}
	// Demand is met before units that nobody demands are distributed.
	for _, h := range holders {
		growTo(h, min(targets[h], s.leader.demand[name][h]))
	}
	for _, h := range holders {
		growTo(h, targets[h])
	}
	var list []*quotapb.Change
	for _, h := range holders {
		if next[h] != r.allocations[h] {
			list = append(list, &quotapb.Change{
				Resource: name, Holder: h, Granted: next[h].granted, Returned: next[h].returned,
			})
		}
	}
	return list
}

// updateRecalls recalls units above the targets only while a process or a job has fewer units than its target, so that
// allocations do not move without need.
func (s *State) updateRecalls(
	name string, holders []string, next map[string]allocation, targets map[string]uint64, hasShortage bool,
) {
	var allocated uint64
	for _, h := range holders {
		allocated += next[h].units()
		if units := next[h].units(); units < min(s.leader.demand[name][h], targets[h]) {
			hasShortage = true
		}
	}
	// Units are also recalled after the capacity was lowered, and when an instance is drained.
	hasShortage = hasShortage || allocated > s.capacities[name]
	for _, h := range holders {
		if hasShortage && next[h].units() > targets[h] {
			setNested(s.leader.recalls, h, name, targets[h])
		} else {
			delete(s.leader.recalls[h], name)
		}
	}
}

// computeTargets divides a capacity between processes and jobs by max-min fairness of their demand. Units that nobody
// demands are distributed evenly among the processes, so that each can start work without a round trip to the leader.
// The order of the processes is rotated by a hash of the resource, so that not all small resources, such as the slots
// of an instance, go to the same processes.
func computeTargets(
	name string, capacity, jobDemand uint64, demand map[string]uint64, holders []string,
) (targets map[string]uint64, jobTarget uint64) {
	targets = make(map[string]uint64, len(holders))
	if len(holders) == 0 {
		return targets, min(jobDemand, capacity)
	}
	offset := int(xxhash.Sum64String(name) % uint64(len(holders)))
	rotated := append(slices.Clone(holders[offset:]), holders[:offset]...)
	// Jobs, with the empty name, come first, so that they get a remainder and no job waits forever for the last unit.
	order := append([]string{""}, rotated...)
	need := func(h string) uint64 {
		if h == "" {
			return jobDemand
		}
		return demand[h]
	}
	shares := maxMinShares(capacity, order, need)
	left := capacity
	for _, units := range shares {
		left -= units
	}
	for i, h := range rotated {
		extra := left / uint64(len(rotated))
		if uint64(i) < left%uint64(len(rotated)) {
			extra++
		}
		targets[h] = shares[h] + extra
	}
	return targets, shares[""]
}

// maxMinShares divides a capacity by max-min fairness: nobody gets more than it needs, and the rest of its fair share
// is divided between the others.
func maxMinShares(capacity uint64, order []string, need func(string) uint64) map[string]uint64 {
	shares := make(map[string]uint64, len(order))
	byNeed := slices.Clone(order)
	slices.SortStableFunc(byNeed, func(a, b string) int {
		if need(a) < need(b) {
			return -1
		}
		if need(a) > need(b) {
			return 1
		}
		return 0
	})
	left := capacity
	for i, h := range byNeed {
		remaining := uint64(len(byNeed) - i)
		shares[h] = min(need(h), (left+remaining-1)/remaining)
		left -= shares[h]
	}
	return shares
}
