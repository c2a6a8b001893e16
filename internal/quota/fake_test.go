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
	// limitName is a plug-in that sets the upper limit of a team without a document, which takes long to parse.
	limitName = "limit-test"
	// jobName is a plug-in that stands in for the job plug-in: it reserves and unreserves units by command.
	jobName = "quota-test-job"
	maxRun  = time.Minute
	team    = "team/a"
)

type limits struct {
	cfg     *configuration.State
	version uint64
	limit   int
}

func (l *limits) set(limit int) {
	l.limit = limit
	doc := l.cfg.Current()
	doc.Teams = []fleet.Team{{Name: "a", UpperLimit: limit}}
	doc.Queues = []fleet.Queue{{MaxRun: fleet.Duration(maxRun)}}
}

func init() {
	kernel.Register(limitName, []string{configuration.Name}, func(k *kernel.Kernel) kernel.Plugin {
		cfg, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
		l := &limits{cfg: cfg}
		k.Provide(limitName, l)
		return kernel.Plugin{
			View: true,
			Apply: func(c kernel.Command) ([]byte, error) {
				l.version++
				l.set(int(c.Body[0]))
				s, _ := kernel.Lookup[*State](k, Name)
				s.loadCapacities()
				return nil, nil
			},
			Snapshot: func() ([]byte, error) { return []byte{byte(l.version), byte(l.limit)}, nil },
			Restore: func(data []byte) error {
				if l.version = uint64(data[0]); l.version > 0 {
					l.set(int(data[1]))
				}
				return nil
			},
		}
	})
	kernel.Register(jobName, []string{Name}, func(k *kernel.Kernel) kernel.Plugin {
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

// document returns a configuration with one team of each upper limit (0: no team) and some instances of 8 slots.
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

type update struct {
	index   uint64
	command *kernel.Command
	changes []*kernelpb.Section
}

// unit is one unit in use, started while a process had applied a version of the configuration.
type unit struct {
	member   string
	resource string
	version  uint64
	until    time.Duration
	permit   *Permit
}

type lease struct {
	index uint64
	until time.Duration
}

type process struct {
	g       *group
	name    string
	id      string
	runs    int
	k       *kernel.Kernel
	state   *State
	holder  *Holder
	full    bool
	term    int
	pending []lease
	until   time.Duration
	units   []unit
	short   bool
}

// group is the control group reduced to its leader and its log, with the processes that follow it.
type group struct {
	now       time.Duration
	k         *kernel.Kernel
	state     *State
	cfg       *configuration.State
	members   *member.State
	term      int
	updates   []update // the update at position i has index i+1
	flight    []kernel.Command
	processes []*process
	// For each version of the capacities: its index, the capacity by resource and the members that had expired before.
	changedAt  []uint64
	capacities []map[string]uint64
	expired    []map[string]bool
	bytes      int // of the changes of quotas
	changes    int // of allocations
}

func newGroup(processes int, start func(g *group)) *group {
	g := &group{now: time.Hour, capacities: []map[string]uint64{{}}, changedAt: []uint64{0}, expired: []map[string]bool{{}}}
	g.use(newKernel(false))
	start(g)
	for i := range processes {
		p := &process{g: g, name: fmt.Sprintf("p%d", i)}
		g.processes = append(g.processes, p)
		p.restart()
	}
	return g
}

// restart starts the process anew; what an earlier run of it started goes on at the endpoints.
func (p *process) restart() {
	p.holder = NewHolder(HolderConfig{
		HasLease:      func() bool { return p.g.now < p.until },
		Now:           func() time.Duration { return p.g.now },
		RequestReport: func() { p.short = true },
	})
	p.join()
	p.reload()
}

// leave ends the membership of an idle process.
func (p *process) leave() {
	p.until, p.pending = 0, nil
	_ = p.g.apply(must(member.RemoveCommand(p.id))) // Refused when the control group has removed the process already.
}

func newKernel(viewOnly bool) *kernel.Kernel {
	return must(kernel.New(kernel.Config{ViewOnly: viewOnly, Log: logr.Discard()}))
}

func (g *group) use(k *kernel.Kernel) {
	g.k = k
	g.state, _ = kernel.Lookup[*State](k, Name)
	g.cfg, _ = kernel.Lookup[*configuration.State](k, configuration.Name)
	g.members, _ = kernel.Lookup[*member.State](k, member.Name)
	g.term++
	k.Lead(g.now)
}

// replaceLeader lets another replica lead; commands that were not committed are lost.
func (g *group) replaceLeader() {
	k := newKernel(false)
	if err := k.Restore(must(g.k.Snapshot(false))); err != nil {
		panic(err)
	}
	g.flight = nil
	g.use(k)
}

// version counts the changes of capacities up to an index of the log.
func (g *group) version(index uint64) uint64 {
	n := 0
	for n < len(g.changedAt) && g.changedAt[n] <= index {
		n++
	}
	return uint64(n - 1)
}

func (g *group) apply(c kernel.Command) error {
	u := update{index: g.k.Applied() + 1}
	r := g.k.Apply(u.index, c)
	sections, ship, err := g.k.Changes(c.Plugin)
	if err != nil {
		return err
	}
	u.changes = sections
	if ship {
		u.command = &c
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
	g.updates = append(g.updates, u)
	if newest := len(g.capacities) - 1; !maps.Equal(g.capacities[newest], g.state.capacities) {
		g.changedAt = append(g.changedAt, u.index)
		g.capacities = append(g.capacities, maps.Clone(g.state.capacities))
		gone := map[string]bool{}
		for _, m := range g.members.Members() {
			gone[m.Id] = m.Expired
		}
		g.expired = append(g.expired, gone)
	}
	return r.Err
}

func (g *group) configure(doc []byte) {
	c := must(configuration.SubmitCommand("", g.cfg.Version(), doc))
	if err := g.apply(c); err != nil {
		panic(err)
	}
}

func limit(n int) func(g *group) { return func(g *group) { g.limit(n) } }

func (g *group) limit(n int) {
	if err := g.apply(kernel.Command{Plugin: limitName, Body: []byte{byte(n)}}); err != nil {
		panic(err)
	}
}

func (g *group) job(op string) error {
	return g.apply(kernel.Command{Plugin: jobName, Body: []byte(op)})
}

func (g *group) decide() { g.flight = append(g.flight, g.k.Decide(g.now).Commands...) }

// commit applies the oldest command that the leader proposed.
func (g *group) commit() {
	if len(g.flight) == 0 {
		return
	}
	c := g.flight[0]
	g.flight = g.flight[1:]
	_ = g.apply(c) // An outdated command, such as the removal of a process that has left, is refused.
}

func (g *group) settle() {
	g.decide()
	for len(g.flight) > 0 {
		g.commit()
	}
}

// pass lets time go by and ends all units that reach the longest run time.
func (g *group) pass(d time.Duration) {
	g.now += d
	for _, p := range g.processes {
		p.end(func(u unit) bool { return u.until <= g.now })
	}
}

func (p *process) join() {
	p.runs++
	p.id = member.ID(p.name, fmt.Sprint(p.runs))
	c := must(member.JoinCommand(&memberpb.Member{Id: p.id, Name: p.name, PeerAddress: "127.0.0.1:1"}))
	if err := p.g.apply(c); err != nil {
		panic(err)
	}
	p.full, p.pending, p.until = true, nil, 0
	p.holder.Reset(p.id)
}

// reload replaces the view by a snapshot of the leader.
func (p *process) reload() {
	p.k = newKernel(true)
	if err := p.k.Restore(must(p.g.k.Snapshot(true))); err != nil {
		panic(err)
	}
	p.state, _ = kernel.Lookup[*State](p.k, Name)
	p.publish()
}

// deliver applies the updates that the process has not seen.
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
	p.publish()
}

// publish takes the newest view and the answered renewals whose index it has reached.
func (p *process) publish() {
	p.holder.Update(p.state)
	p.pending = slices.DeleteFunc(p.pending, func(l lease) bool {
		ok := l.index <= p.k.Applied()
		if ok {
			p.until = max(p.until, l.until)
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

// renew sends a renewal and takes its answer at once.
func (p *process) renew() { p.receive(p.g.serve(p.send())) }

func (p *process) send() request {
	demands, returned := p.holder.Report(p.full)
	p.full, p.short = false, false
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

// receive takes an answer as the follower does; one for an earlier membership is ignored.
func (p *process) receive(a answer) {
	if a.request.id != p.id {
		return
	}
	if a.rejoin {
		p.until, p.pending = 0, nil
		return
	}
	if p.term != a.term {
		p.term, p.full = a.term, true
	}
	p.holder.SetRecalls(a.recalls)
	p.pending = append(p.pending, lease{a.commit, a.request.sent + member.LeaseDuration})
	p.publish()
}

func (p *process) acquire(resource string, run time.Duration) bool {
	permit, ok := p.holder.TryAcquire(resource)
	if ok {
		p.units = append(p.units, unit{p.id, resource, p.g.version(p.k.Applied()), p.g.now + run, permit})
	}
	return ok
}

func (p *process) end(ended func(unit) bool) {
	p.units = slices.DeleteFunc(p.units, func(u unit) bool {
		if ended(u) {
			u.permit.Release()
			return true
		}
		return false
	})
}

// check compares the units in use, also those of expired processes, with the replicated state and the capacities. Units
// that were started under an earlier capacity may exceed a lowered one until they end, and only they.
func (g *group) check() error {
	if len(g.k.Halted()) > 0 {
		return errorx.IllegalState.New("halted: %v", g.k.Halted())
	}
	running := map[allocationKey]uint64{}
	for _, p := range g.processes {
		if len(p.k.Halted()) > 0 {
			return errorx.IllegalState.New("%s halted: %v", p.name, p.k.Halted())
		}
		for _, u := range p.units {
			k := allocationKey{u.resource, u.member}
			running[k]++
			if charged := g.state.resource(k.resource).allocations[k.holder].units(); running[k] > charged {
				return errorx.IllegalState.New("%s runs %d of %s but %d are charged", k.holder, running[k], k.resource, charged)
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

func (g *group) checkVersions(name string) error {
	var capacity uint64
	for w := len(g.capacities) - 1; w > 0; w-- {
		capacity = max(capacity, g.capacities[w][name])
		var started, charged uint64
		for _, p := range g.processes {
			for _, u := range p.units {
				switch {
				case u.resource != name:
				case u.version >= uint64(w):
					started++
				case g.expired[w][u.member]:
					charged++
				}
			}
		}
		charged += g.state.resource(name).reserved
		if started > 0 && started+charged > capacity {
			return errorx.IllegalState.New("%d units of %s started since version %d and %d others, above the capacity %d",
				started, name, w, charged, capacity)
		}
	}
	return nil
}

// fingerprint encodes what decides how the group goes on, without the time.
func (g *group) fingerprint() string {
	s := string(must(g.state.encode())) + fmt.Sprint(g.members.Members(), g.state.leader, g.state.capacities, len(g.flight))
	for _, c := range g.flight {
		s += c.Plugin + string(c.Body)
	}
	for _, m := range g.members.Members() {
		s += fmt.Sprint(g.members.Renewable(m.Id))
	}
	for _, p := range g.processes {
		s += string(must(p.state.encode())) + fmt.Sprint(p.id, p.state.capacities, len(g.updates)-int(p.k.Applied()), p.full, p.until > g.now)
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
