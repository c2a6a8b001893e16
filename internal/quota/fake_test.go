package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kernelpb"
	"github.com/hibiscusroute/hibiscusroute/internal/member"
	"github.com/hibiscusroute/hibiscusroute/internal/member/memberpb"
	"github.com/hibiscusroute/hibiscusroute/internal/quota/quotapb"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

const (
	// limitPlugin is a plug-in that sets the upper limit of a team without a document, which would take long to parse.
	limitPlugin = "limit-test"
	// jobPlugin is a substitute for the job plug-in. It reserves and unreserves units by command.
	jobPlugin = "quota-test-job"
	maxRun    = time.Minute
	team      = "team/a"
)

// teamLimit is the state of the plug-in limitPlugin.
type teamLimit struct {
	cfg     *configuration.State
	version uint64
	limit   int
}

func (l *teamLimit) setLimit(limit int) {
	l.limit = limit
	doc := l.cfg.Current()
	doc.Teams = []fleet.Team{{Name: "a", UpperLimit: limit}}
	doc.Queues = []fleet.Queue{{MaxRun: fleet.Duration(maxRun)}}
}

func init() {
	kernel.Register(limitPlugin, []string{configuration.Name}, func(k *kernel.Kernel) kernel.Plugin {
		cfg, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
		l := &teamLimit{cfg: cfg}
		k.Provide(limitPlugin, l)
		return kernel.Plugin{
			InView: true,
			Apply: func(c kernel.Command) ([]byte, error) {
				l.version++
				l.setLimit(int(c.Body[0]))
				s, _ := kernel.Lookup[*State](k, Name)
				s.loadCapacities()
				return nil, nil
			},
			Snapshot: func() ([]byte, error) { return []byte{byte(l.version), byte(l.limit)}, nil },
			Restore: func(data []byte) error {
				if l.version = uint64(data[0]); l.version > 0 {
					l.setLimit(int(data[1]))
				}
				return nil
			},
		}
	})
	kernel.Register(jobPlugin, []string{Name}, func(k *kernel.Kernel) kernel.Plugin {
		s, _ := kernel.Lookup[*State](k, Name)
		return kernel.Plugin{Apply: func(c kernel.Command) ([]byte, error) {
			switch {
			case c.Body[0] == '-':
				s.Unreserve(string(c.Body[1:]))
			case !s.Reserve(string(c.Body[1:])):
				return nil, kernel.ErrConflict.New("no unit is free")
			}
			return nil, nil
		}}
	})
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func teamName(i int) string {
	return strings.TrimLeft(string([]byte{'`' + byte(i/26), 'a' + byte(i%26)}), "`")
}

// document returns a configuration with one team of each upper limit (0: no team) and some instances with 8 slots each.
func document(instances int, limits ...int) []byte {
	f := fleet.New(fleet.Config{Processes: 1})
	f.AddPool(fleet.Pool{Name: "spare", Spare: true})
	f.AddPool(fleet.Pool{Name: "pool"})
	f.AddZones("region", "zone")
	if instances > 0 {
		f.AddRack(fleet.Rack{
			Name: "rack", AvailabilityZone: "zone", Pools: slices.Repeat([]string{"pool"}, instances),
			Size: fleet.Size{Processors: 16, MemoryMiB: 1 << 16, Slots: 8, Connections: 64},
		})
	}
	for i, limit := range limits {
		if limit > 0 {
			f.AddTeam(fleet.Team{Name: teamName(i), Share: 1, UpperLimit: limit})
		}
	}
	f.AddQueue(fleet.Queue{
		Name: "queue", Pool: "pool", MaxRun: fleet.Duration(maxRun), MaxWaiting: 1, MaxWait: fleet.Duration(time.Second),
	})
	return must(must(f.Build()).Print())
}

// logUpdate is what processes apply of one log entry.
type logUpdate struct {
	index   uint64
	command *kernel.Command
	changes []*kernelpb.Section
}

// runningUnit is one unit in use.
type runningUnit struct {
	member   string
	resource string
	version  uint64        // of the capacities that the process had applied when it acquired the unit
	until    time.Duration // when the work that uses the unit ends
	permit   *Permit
}

// pendingLease is a renewed lease that takes effect once the process has applied the log up to index.
type pendingLease struct {
	index uint64
	until time.Duration
}

// process models a process that follows the control group.
type process struct {
	g               *group
	name            string
	id              string
	incarnations    int
	k               *kernel.Kernel
	state           *State
	holder          *Holder
	full            bool // the next report contains all demands
	term            int
	pending         []pendingLease
	leaseUntil      time.Duration
	units           []runningUnit
	reportRequested bool
}

// group models the control group as its leader and its log, with the processes that follow it.
type group struct {
	now       time.Duration
	k         *kernel.Kernel
	state     *State
	cfg       *configuration.State
	members   *member.State
	term      int
	updates   []logUpdate      // the update at position i has index i+1
	proposed  []kernel.Command // not yet committed
	processes []*process
	// For each version of the capacities: its index in the log, the capacity by resource, and the members whose lease had
	// expired before.
	versionIndex []uint64
	capacities   []map[string]uint64
	expired      []map[string]bool
	bytes        int // total size of the encoded changes of quotas
	changes      int // number of changes of allocations
}

func newGroup(processes int, start func(g *group)) *group {
	g := &group{
		now: time.Hour, capacities: []map[string]uint64{{}}, versionIndex: []uint64{0}, expired: []map[string]bool{{}},
	}
	g.setLeader(newKernel(false))
	start(g)
	for i := range processes {
		p := &process{g: g, name: fmt.Sprintf("p%d", i)}
		g.processes = append(g.processes, p)
		p.restart()
	}
	return g
}

// restart starts a new incarnation of the process. Work that an earlier incarnation started continues at the endpoints.
func (p *process) restart() {
	p.holder = NewHolder(HolderConfig{
		HasLease:      func() bool { return p.g.now < p.leaseUntil },
		Now:           func() time.Duration { return p.g.now },
		RequestReport: func() { p.reportRequested = true },
	})
	p.join()
	p.restoreSnapshot()
}

// leave ends the membership of an idle process.
func (p *process) leave() {
	p.leaseUntil, p.pending = 0, nil
	_ = p.g.apply(must(member.RemoveCommand(p.id))) // Rejected if the control group has already removed the process.
}

func newKernel(viewOnly bool) *kernel.Kernel {
	return must(kernel.New(kernel.Config{ViewOnly: viewOnly, Log: logr.Discard()}))
}

func (g *group) setLeader(k *kernel.Kernel) {
	g.k = k
	g.state, _ = kernel.Lookup[*State](k, Name)
	g.cfg, _ = kernel.Lookup[*configuration.State](k, configuration.Name)
	g.members, _ = kernel.Lookup[*member.State](k, member.Name)
	g.term++
	k.BecomeLeader(g.now)
}

// replaceLeader makes another replica the leader; commands that were not committed are lost.
func (g *group) replaceLeader() {
	k := newKernel(false)
	if err := k.Restore(must(g.k.Snapshot(false))); err != nil {
		panic(err)
	}
	g.proposed = nil
	g.setLeader(k)
}

// version returns the version of the capacities at an index of the log.
func (g *group) version(index uint64) uint64 {
	n := 0
	for n < len(g.versionIndex) && g.versionIndex[n] <= index {
		n++
	}
	return uint64(n - 1)
}

func (g *group) apply(c kernel.Command) error {
	logged := logUpdate{index: g.k.Applied() + 1}
	r := g.k.Apply(logged.index, c)
	sections, ship, err := g.k.Changes(c.Plugin)
	if err != nil {
		return err
	}
	logged.changes = sections
	if ship {
		logged.command = &c
	}
	for _, s := range sections {
		if s.Plugin == Name {
			m := &quotapb.State{}
			if err := proto.Unmarshal(s.Data, m); err != nil {
				return err
			}
			g.bytes += len(s.Data)
			g.changes += len(m.Allocations)
		}
	}
	g.updates = append(g.updates, logged)
	if newest := len(g.capacities) - 1; !maps.Equal(g.capacities[newest], g.state.capacities) {
		g.versionIndex = append(g.versionIndex, logged.index)
		g.capacities = append(g.capacities, maps.Clone(g.state.capacities))
		expired := map[string]bool{}
		for _, m := range g.members.Members() {
			expired[m.Id] = m.Expired
		}
		g.expired = append(g.expired, expired)
	}
	return r.Err
}

func (g *group) configure(doc []byte) {
	c := must(configuration.SubmitCommand("", g.cfg.Version(), doc))
	if err := g.apply(c); err != nil {
		panic(err)
	}
}

func withLimit(n int) func(g *group) { return func(g *group) { g.setLimit(n) } }

func (g *group) setLimit(n int) {
	if err := g.apply(kernel.Command{Plugin: limitPlugin, Body: []byte{byte(n)}}); err != nil {
		panic(err)
	}
}

func (g *group) applyJobCommand(op string) error {
	return g.apply(kernel.Command{Plugin: jobPlugin, Body: []byte(op)})
}

func (g *group) decide() { g.proposed = append(g.proposed, g.k.Decide(g.now).Commands...) }

// commit applies the oldest command that the leader proposed.
func (g *group) commit() {
	if len(g.proposed) == 0 {
		return
	}
	c := g.proposed[0]
	g.proposed = g.proposed[1:]
	_ = g.apply(c) // An outdated command, such as the removal of a process that has left, is rejected.
}

// commitAll lets the leader decide, and applies all commands that it proposed.
func (g *group) commitAll() {
	g.decide()
	for len(g.proposed) > 0 {
		g.commit()
	}
}

// advance advances the clock and releases the units whose run time has ended.
func (g *group) advance(d time.Duration) {
	g.now += d
	for _, p := range g.processes {
		p.releaseIf(func(u runningUnit) bool { return u.until <= g.now })
	}
}

func (p *process) join() {
	p.incarnations++
	p.id = member.ID(p.name, fmt.Sprint(p.incarnations))
	c := must(member.JoinCommand(&memberpb.Member{Id: p.id, Name: p.name, PeerAddress: "127.0.0.1:1"}))
	if err := p.g.apply(c); err != nil {
		panic(err)
	}
	p.full, p.pending, p.leaseUntil = true, nil, 0
	p.holder.Reset(p.id)
}

// restoreSnapshot replaces the state of the process by a snapshot of the leader.
func (p *process) restoreSnapshot() {
	p.k = newKernel(true)
	if err := p.k.Restore(must(p.g.k.Snapshot(true))); err != nil {
		panic(err)
	}
	p.state, _ = kernel.Lookup[*State](p.k, Name)
	p.updateHolder()
}

// deliver applies the updates that the process has not applied yet.
func (p *process) deliver() { p.deliverUpTo(len(p.g.updates)) }

func (p *process) deliverUpTo(index int) {
	for _, u := range p.g.updates[p.k.Applied():index] {
		if u.command != nil {
			p.k.Apply(u.index, *u.command)
		} else {
			p.k.Skip(u.index)
		}
		if err := p.k.Merge(u.changes); err != nil {
			panic(err)
		}
	}
	p.updateHolder()
}

// updateHolder passes the state to the holder, and extends the lease by the answered renewals whose index the process
// has applied.
func (p *process) updateHolder() {
	p.holder.Update(p.state)
	p.pending = slices.DeleteFunc(p.pending, func(l pendingLease) bool {
		ok := l.index <= p.k.Applied()
		if ok {
			p.leaseUntil = max(p.leaseUntil, l.until)
		}
		return ok
	})
}

type request struct {
	id       string
	sent     time.Duration
	demands  []*quotapb.Demand
	returned []*quotapb.Returned
}

type answer struct {
	request request
	rejoin  bool
	commit  uint64
	term    int
	recalls []*quotapb.Recall
}

// renew sends a renewal and handles its answer without delay.
func (p *process) renew() { p.receive(p.g.serve(p.send())) }

func (p *process) send() request {
	demands, returned := p.holder.Report(p.full)
	p.full, p.reportRequested = false, false
	return request{id: p.id, sent: p.g.now, demands: demands, returned: returned}
}

// serve handles a renewal on the leader as the control package does.
func (g *group) serve(r request) answer {
	a := answer{request: r, commit: g.k.Applied(), term: g.term}
	if a.rejoin = !g.members.Renewable(r.id); a.rejoin {
		return a
	}
	g.k.Observe(g.now, member.Renewal{ID: r.id})
	if len(r.demands)+len(r.returned) > 0 {
		g.k.Observe(g.now, Report{Holder: r.id, Demands: r.demands, Returned: r.returned})
	}
	a.recalls = g.state.Recalls(r.id)
	return a
}

// receive handles an answer as the follower does. It ignores an answer for an earlier membership.
func (p *process) receive(a answer) {
	if a.request.id != p.id {
		return
	}
	if a.rejoin {
		p.leaseUntil, p.pending = 0, nil
		return
	}
	if p.term != a.term {
		p.term, p.full = a.term, true
	}
	p.holder.SetRecalls(a.recalls)
	p.pending = append(p.pending, pendingLease{a.commit, a.request.sent + member.LeaseDuration})
	p.updateHolder()
}

func (p *process) acquire(resource string, run time.Duration) bool {
	permit, ok := p.holder.TryAcquire(resource)
	if ok {
		p.units = append(p.units, runningUnit{p.id, resource, p.g.version(p.k.Applied()), p.g.now + run, permit})
	}
	return ok
}

func (p *process) releaseIf(ended func(runningUnit) bool) {
	p.units = slices.DeleteFunc(p.units, func(u runningUnit) bool {
		if ended(u) {
			u.permit.Release()
			return true
		}
		return false
	})
}

// check compares the units in use, also those of expired processes, with the replicated state and the capacities. Only
// units that were acquired before the capacity was lowered may exceed it until they are released.
func (g *group) check() error {
	if len(g.k.Halted()) > 0 {
		return errorx.IllegalState.New("halted: %v", g.k.Halted())
	}
	inUse := map[allocationKey]uint64{}
	for _, p := range g.processes {
		if len(p.k.Halted()) > 0 {
			return errorx.IllegalState.New("%s halted: %v", p.name, p.k.Halted())
		}
		for _, u := range p.units {
			key := allocationKey{u.resource, u.member}
			inUse[key]++
			if allocated := g.state.resource(key.resource).allocations[key.holder].units(); inUse[key] > allocated {
				return errorx.IllegalState.New("%s uses %d units of %s but %d are allocated",
					key.holder, inUse[key], key.resource, allocated)
			}
		}
	}
	for name := range g.state.resources {
		if err := g.checkVersions(name); err != nil {
			return err
		}
	}
	return nil
}

// checkVersions compares the units that were acquired since each version of the capacities with the highest capacity
// since then. Reserved units and units of processes that had expired before the version count too.
func (g *group) checkVersions(name string) error {
	var capacity uint64
	for version := len(g.capacities) - 1; version > 0; version-- {
		capacity = max(capacity, g.capacities[version][name])
		var started, others uint64
		for _, p := range g.processes {
			for _, u := range p.units {
				switch {
				case u.resource != name:
				case u.version >= uint64(version):
					started++
				case g.expired[version][u.member]:
					others++
				}
			}
		}
		others += g.state.resource(name).reserved
		if started > 0 && started+others > capacity {
			return errorx.IllegalState.New("%d units of %s acquired since version %d and %d others exceed the capacity %d",
				started, name, version, others, capacity)
		}
	}
	return nil
}

// fingerprint encodes the state of the group that affects its further behavior, without the clock.
func (g *group) fingerprint() string {
	s := string(must(g.state.encode())) +
		fmt.Sprint(g.members.Members(), g.state.leader, g.state.capacities, len(g.proposed))
	for _, c := range g.proposed {
		s += c.Plugin + string(c.Body)
	}
	for _, m := range g.members.Members() {
		s += fmt.Sprint(g.members.Renewable(m.Id))
	}
	for _, p := range g.processes {
		s += string(must(p.state.encode())) +
			fmt.Sprint(p.id, p.state.capacities, len(g.updates)-int(p.k.Applied()), p.full, p.leaseUntil > g.now)
		for _, name := range slices.Sorted(maps.Keys(p.holder.resources)) {
			h := *p.holder.resources[name]
			h.peakAt = 0
			s += fmt.Sprint(name, h)
		}
		for _, u := range p.units {
			s += fmt.Sprint(u.member, u.version)
		}
	}
	return s
}
