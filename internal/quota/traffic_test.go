package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	loadStep = 50 * time.Millisecond
	// The follower renews each 500 ms, and after 50 ms when it is short.
	renewInterval = 500 * time.Millisecond
	earlyRenewal  = 50 * time.Millisecond
	// runSteps is the mean run time of a request in steps.
	runSteps = 4
)

type kind int

const (
	hysteresis kind = iota
	recallAlways
	equalSplit
)

// load drives the processes of a group with demand by process and resource.
type load struct {
	g       *group
	kind    kind
	idle    bool // requests are not run, only asked for
	rand    *rand.Rand
	names   []string
	demand  []map[string]int // by process
	renewed []time.Duration
	decided time.Duration
	decides int
	got     float64
	wanted  float64
}

func newLoad(g *group, k kind) *load {
	l := &load{g: g, kind: k, rand: rand.New(rand.NewPCG(1, 2)), renewed: make([]time.Duration, len(g.processes))}
	for i := range g.processes {
		l.demand = append(l.demand, map[string]int{})
		l.renewed[i] = g.now - time.Duration(i)*loadStep
	}
	l.step()
	l.step()
	for name := range g.state.capacities {
		l.names = append(l.names, name)
	}
	slices.Sort(l.names)
	return l
}

// run lets time pass in steps, each after a call of vary.
func (l *load) run(d time.Duration, vary func(step int)) {
	for i := range int(d / loadStep) {
		if vary != nil {
			vary(i)
		}
		l.step()
		for _, name := range l.names {
			var demand, running int
			capacity := int(l.g.state.capacities[name])
			for j, p := range l.g.processes {
				demand += l.demand[j][name]
				if l.kind == equalSplit {
					running += min(l.demand[j][name], capacity/len(l.g.processes))
				} else {
					running += p.holder.InUse(name)
				}
			}
			l.got += float64(min(running, demand, capacity))
			l.wanted += float64(min(demand, capacity))
		}
	}
}

func (l *load) step() {
	l.g.pass(loadStep)
	if l.kind == equalSplit {
		return
	}
	for i, p := range l.g.processes {
		p.end(func(unit) bool { return l.rand.IntN(runSteps) == 0 })
		for _, name := range l.names {
			want, ok := l.demand[i][name]
			if ok {
				p.holder.SetDemand(name, want)
			}
			for n := p.holder.InUse(name); !l.idle && n < want && p.acquire(name, maxRun); n++ {
			}
		}
		if since := l.g.now - l.renewed[i]; since >= renewInterval || p.short && since >= earlyRenewal {
			l.renewed[i] = l.g.now
			l.renew(p)
		}
	}
	started := time.Now()
	l.g.decide()
	l.decided += time.Since(started)
	l.decides++
	for len(l.g.flight) > 0 {
		l.g.commit()
	}
	for _, p := range l.g.processes {
		p.deliver()
	}
}

// renew reports demand; without hysteresis it reports the present one and recalls all units above the targets.
func (l *load) renew(p *process) {
	s := l.g.state
	if l.kind == recallAlways {
		for _, r := range p.holder.resources {
			r.peakDemand = r.demand
		}
		holders := l.g.members.LiveIDs()
		for _, name := range l.names {
			r := s.resource(name)
			targets, _ := computeTargets(name, s.capacities[name], r.reserved, s.leader.demand[name], holders)
			if r.allocations[p.id].units() > targets[p.id] {
				setNested(s.leader.recalls, p.id, name, targets[p.id])
			}
		}
	}
	p.renew()
}

// running returns the units of the team in use by each process.
func (l *load) running() (list []int) {
	for _, p := range l.g.processes {
		list = append(list, p.holder.InUse(team))
	}
	return list
}

// Guards against a process that gets all calls of a team but can use only a part of its limit.
func TestOneProcessGetsWholeLimit(t *testing.T) {
	var took time.Duration
	l := newLoad(newGroup(9, limit(90)), hysteresis)
	l.run(5*time.Second, nil)
	l.demand[4][team] = 90
	l.run(time.Second, nil)
	assert.DeepEqual(t, l.running(), []int{0, 0, 0, 0, 90, 0, 0, 0, 0})
	// The demand moves to a process that has to wait for the work of the first one to end.
	l.demand[4][team], l.demand[7][team] = 0, 90
	for l.running()[7] < 90 {
		l.run(loadStep, nil)
		took += loadStep
	}
	t.Logf("a moved demand got the whole limit after %v", took)
	assert.Assert(t, took <= 2*time.Second)
}

// Guards against allocations that move with each burst although all bursts fit, or several times for one that does not.
func TestAlternatingDemandMovesFewUnits(t *testing.T) {
	for _, tt := range []struct{ mean, moves int }{{8, 0}, {16, 6}} {
		l := newLoad(newGroup(2, limit(100)), hysteresis)
		alternate := func(step int) {
			for i := range 2 {
				l.demand[i][team] = max(tt.mean/20, 1)
				if step/60%2 == i {
					l.demand[i][team] = 5 * tt.mean
				}
			}
		}
		l.run(12*time.Second, alternate)
		before := l.g.changes
		l.run(60*time.Second, alternate) // 20 bursts of 3 s
		t.Logf("mean %d: %d changes in 20 bursts, %.3f usable", tt.mean, l.g.changes-before, l.got/l.wanted)
		assert.Assert(t, l.g.changes-before <= 20*tt.moves)
	}
}

// Guards against a job that waits for ever for a unit while processes have work waiting.
func TestWaitingJobGetsUnit(t *testing.T) {
	l := newLoad(newGroup(3, limit(6)), hysteresis)
	for i := range 3 {
		l.demand[i][team] = 20
	}
	l.run(5*time.Second, nil)
	l.g.state.SetJobDemand(map[string]int{team: 1})
	l.run(1500*time.Millisecond, nil)
	assert.NilError(t, l.g.job("+"+team))
	assert.NilError(t, l.g.check())
}

// Guards against a lowered capacity that is not met, or not used, after the work that ran before has ended.
func TestLoweredCapacityIsMet(t *testing.T) {
	l := newLoad(newGroup(3, limit(30)), hysteresis)
	for i := range 3 {
		l.demand[i][team] = 20
	}
	l.run(5*time.Second, nil)
	l.g.limit(9)
	l.run(3*time.Second, nil)
	assert.Equal(t, l.g.state.used(team), uint64(9))
	assert.DeepEqual(t, l.running(), []int{3, 3, 3})
}

// bursts lets each team ask for 5 times its mean, 1.25 times its limit, for 2 to 5 s and for 1/20 of the mean in pauses
// that are 4.2 times as long. In a burst three processes, drawn anew, get 60%, 30% and 10% of the calls. Demand varies
// by half up and down each 200 ms.
func (l *load) bursts(teams []string) func(step int) {
	until := map[string]int{}
	order := map[string][]int{}
	bursting := map[string]bool{}
	return func(step int) {
		for _, name := range teams {
			if step >= until[name] {
				bursting[name] = !bursting[name] && step > 0
				length := 40 + l.rand.IntN(61)
				if !bursting[name] {
					length = length * 42 / 10
				}
				if step == 0 {
					length = l.rand.IntN(length) // The teams start at different times.
				}
				until[name] = step + length
				order[name] = l.rand.Perm(len(l.demand))
			} else if step%4 > 0 {
				continue
			}
			limit := float64(l.g.state.capacities[name])
			for i, at := range order[name] {
				d := limit / 80 / float64(len(l.demand))
				if bursting[name] && i < 3 {
					d = limit * 1.25 * []float64{0.6, 0.3, 0.1}[i]
				}
				l.demand[at][name] = int(d*(0.5+l.rand.Float64()) + l.rand.Float64())
			}
		}
	}
}

// report adds the measures of a run of some virtual seconds, the last of b.N.
func (l *load) report(b *testing.B, seconds float64) {
	if !l.idle {
		b.ReportMetric(l.got/l.wanted, "usable")
	}
	b.ReportMetric(float64(l.g.changes)/seconds, "changes/s")
	b.ReportMetric(float64(l.g.bytes)/seconds, "B/s")
	b.ReportMetric(float64(l.decided.Nanoseconds())/float64(max(l.decides, 1)), "ns/decide")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCurrent compares the policy with plainer ones at the size of the current deployments.
func BenchmarkCurrent(b *testing.B) {
	for _, bb := range []struct {
		name string
		kind kind
	}{{"hysteresis", hysteresis}, {"recall-always", recallAlways}, {"equal-split", equalSplit}} {
		b.Run(bb.name, func(b *testing.B) {
			for b.Loop() {
				doc := document(0, 120, 80, 40, 24, 12, 8)
				l := newLoad(newGroup(9, func(g *group) { g.configure(doc) }), bb.kind)
				l.g.bytes, l.g.changes = 0, 0
				l.run(10*time.Minute, l.bursts(l.names))
				l.report(b, 600)
			}
		})
	}
}

// BenchmarkScale measures 170 teams and 1,000 instances, with 9 processes. Each second 1% of the slot demands change.
func BenchmarkScale(b *testing.B) {
	for _, bb := range []struct {
		name string
		kind kind
	}{{"hysteresis", hysteresis}, {"recall-always", recallAlways}} {
		b.Run(bb.name, func(b *testing.B) {
			for b.Loop() {
				limits := slices.Repeat([]int{24}, 170)
				for i := range 10 {
					limits[i] = 400
				}
				doc := document(1000, limits...)
				l := newLoad(newGroup(9, func(g *group) { g.configure(doc) }), bb.kind)
				teams := slices.DeleteFunc(slices.Clone(l.names), func(name string) bool { return name[0] != 't' })
				slots := slices.DeleteFunc(slices.Clone(l.names), func(name string) bool { return name[0] == 't' })
				l.idle = true
				bursts := l.bursts(teams)
				vary := func(step int) {
					bursts(step)
					for range len(slots) * len(l.demand) / 2000 {
						l.demand[l.rand.IntN(len(l.demand))][slots[l.rand.IntN(len(slots))]] = l.rand.IntN(4)
					}
				}
				l.run(10*time.Second, vary)
				l.g.bytes, l.g.changes, l.decided, l.decides = 0, 0, 0, 0
				l.run(20*time.Second, vary)
				l.report(b, 20)
			}
		})
	}
}
