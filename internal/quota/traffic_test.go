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
	// The follower renews every 500 ms, and after 50 ms if the holder requests a report.
	renewInterval = 500 * time.Millisecond
	earlyRenewal  = 50 * time.Millisecond
	// meanRunSteps is the mean run time of a request in steps.
	meanRunSteps = 4
)

// policyKind is a policy for the division of capacities.
type policyKind int

const (
	// hysteresis is the policy of the plug-in: peak demand is reported, and units are recalled only during a shortage.
	hysteresis policyKind = iota
	// recallAlways reports the present demand instead of the peak, and recalls all units above the targets.
	recallAlways
	// equalSplit gives each process the same part of each capacity.
	equalSplit
)

// load simulates demand for the resources of a group by process and resource.
type load struct {
	g           *group
	policy      policyKind
	demandOnly  bool // demand is set, but no unit is acquired
	rand        *rand.Rand
	resources   []string
	demand      []map[string]int // by process
	renewedAt   []time.Duration
	decideTime  time.Duration
	decideCalls int
	used        float64 // sum of the units in use over all steps and resources
	demanded    float64 // sum of the demand, limited to the capacity
}

func newLoad(g *group, policy policyKind) *load {
	l := &load{g: g, policy: policy, rand: rand.New(rand.NewPCG(1, 2)), renewedAt: make([]time.Duration, len(g.processes))}
	for i := range g.processes {
		l.demand = append(l.demand, map[string]int{})
		l.renewedAt[i] = g.now - time.Duration(i)*loadStep
	}
	l.runStep()
	l.runStep()
	for name := range g.state.capacities {
		l.resources = append(l.resources, name)
	}
	slices.Sort(l.resources)
	return l
}

// run simulates d in steps, and calls vary, which may be nil, before each step.
func (l *load) run(d time.Duration, vary func(step int)) {
	for i := range int(d / loadStep) {
		if vary != nil {
			vary(i)
		}
		l.runStep()
		for _, name := range l.resources {
			var demand, running int
			capacity := int(l.g.state.capacities[name])
			for j, p := range l.g.processes {
				demand += l.demand[j][name]
				if l.policy == equalSplit {
					running += min(l.demand[j][name], capacity/len(l.g.processes))
				} else {
					running += p.holder.InUse(name)
				}
			}
			l.used += float64(min(running, demand, capacity))
			l.demanded += float64(min(demand, capacity))
		}
	}
}

func (l *load) runStep() {
	l.g.advance(loadStep)
	if l.policy == equalSplit {
		return
	}
	for i, p := range l.g.processes {
		p.releaseIf(func(runningUnit) bool { return l.rand.IntN(meanRunSteps) == 0 })
		for _, name := range l.resources {
			want, ok := l.demand[i][name]
			if ok {
				p.holder.SetDemand(name, want)
			}
			for n := p.holder.InUse(name); !l.demandOnly && n < want && p.acquire(name, maxRun); n++ {
			}
		}
		if since := l.g.now - l.renewedAt[i]; since >= renewInterval || p.reportRequested && since >= earlyRenewal {
			l.renewedAt[i] = l.g.now
			l.renew(p)
		}
	}
	started := time.Now()
	l.g.decide()
	l.decideTime += time.Since(started)
	l.decideCalls++
	for len(l.g.proposed) > 0 {
		l.g.commit()
	}
	for _, p := range l.g.processes {
		p.deliver()
	}
}

// renew renews the lease of a process, which reports its demand.
func (l *load) renew(p *process) {
	s := l.g.state
	if l.policy == recallAlways {
		for _, resource := range p.holder.resources {
			resource.peakDemand = resource.demand
		}
		holders := l.g.members.LiveIDs()
		for _, name := range l.resources {
			r := s.resource(name)
			targets, _ := computeTargets(name, s.capacities[name], r.reserved, s.leader.demand[name], holders)
			if r.allocations[p.id].units() > targets[p.id] {
				setNested(s.leader.recalls, p.id, name, targets[p.id])
			}
		}
	}
	p.renew()
}

// unitsInUse returns the number of units of the team that each process uses.
func (l *load) unitsInUse() (list []int) {
	for _, p := range l.g.processes {
		list = append(list, p.holder.InUse(team))
	}
	return list
}

// Guards against a process that gets all requests of a team but can use only a part of the team's limit.
func TestOneProcessGetsWholeLimit(t *testing.T) {
	var took time.Duration
	l := newLoad(newGroup(9, withLimit(90)), hysteresis)
	l.run(5*time.Second, nil)
	l.demand[4][team] = 90
	l.run(time.Second, nil)
	assert.DeepEqual(t, l.unitsInUse(), []int{0, 0, 0, 0, 90, 0, 0, 0, 0})
	// The demand moves to another process, which has to wait until the work of the first one ends.
	l.demand[4][team], l.demand[7][team] = 0, 90
	for l.unitsInUse()[7] < 90 {
		l.run(loadStep, nil)
		took += loadStep
	}
	t.Logf("a moved demand got the whole limit after %v", took)
	assert.Assert(t, took <= 2*time.Second)
}

// Guards against allocations that move with each burst although all bursts fit the limit, or move too often during a
// burst that doesn't fit.
func TestAlternatingDemandMovesFewUnits(t *testing.T) {
	for _, tt := range []struct{ mean, moves int }{{8, 0}, {16, 6}} {
		l := newLoad(newGroup(2, withLimit(100)), hysteresis)
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
		t.Logf("mean %d: %d changes in 20 bursts, %.3f usable", tt.mean, l.g.changes-before, l.used/l.demanded)
		assert.Assert(t, l.g.changes-before <= 20*tt.moves)
	}
}

// Guards against a job that waits forever for a unit while processes have waiting requests.
func TestWaitingJobGetsUnit(t *testing.T) {
	l := newLoad(newGroup(3, withLimit(6)), hysteresis)
	for i := range 3 {
		l.demand[i][team] = 20
	}
	l.run(5*time.Second, nil)
	l.g.state.SetJobDemand(map[string]int{team: 1})
	l.run(1500*time.Millisecond, nil)
	assert.NilError(t, l.g.applyJobCommand("+"+team))
	assert.NilError(t, l.g.check())
}

// Guards against a lowered capacity that is exceeded, or not fully used, after earlier work has ended.
func TestLoweredCapacityIsMet(t *testing.T) {
	l := newLoad(newGroup(3, withLimit(30)), hysteresis)
	for i := range 3 {
		l.demand[i][team] = 20
	}
	l.run(5*time.Second, nil)
	l.g.setLimit(9)
	l.run(3*time.Second, nil)
	assert.Equal(t, l.g.state.used(team), uint64(9))
	assert.DeepEqual(t, l.unitsInUse(), []int{3, 3, 3})
}

// burstDemand returns a function that varies the demand of the teams. During a burst of 2 to 5 s a team demands 5 times
// its mean, which is 1.25 times its limit; in the pauses, which are 4.2 times as long, it demands 1/20 of its mean. In
// each burst three random processes get 60%, 30% and 10% of the demand. Demand varies by up to 50% every 200 ms.
func (l *load) burstDemand(teams []string) func(step int) {
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

// reportMetrics reports the metrics of a run; seconds is its simulated duration. The last of b.N runs counts.
func (l *load) reportMetrics(b *testing.B, seconds float64) {
	if !l.demandOnly {
		b.ReportMetric(l.used/l.demanded, "usable")
	}
	b.ReportMetric(float64(l.g.changes)/seconds, "changes/s")
	b.ReportMetric(float64(l.g.bytes)/seconds, "B/s")
	b.ReportMetric(float64(l.decideTime.Nanoseconds())/float64(max(l.decideCalls, 1)), "ns/decide")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCurrent compares the policy with simpler ones at the size of current deployments.
func BenchmarkCurrent(b *testing.B) {
	for _, bb := range []struct {
		name   string
		policy policyKind
	}{{"hysteresis", hysteresis}, {"recall-always", recallAlways}, {"equal-split", equalSplit}} {
		b.Run(bb.name, func(b *testing.B) {
			for b.Loop() {
				doc := document(0, 120, 80, 40, 24, 12, 8)
				l := newLoad(newGroup(9, func(g *group) { g.configure(doc) }), bb.policy)
				l.g.bytes, l.g.changes = 0, 0
				l.run(10*time.Minute, l.burstDemand(l.resources))
				l.reportMetrics(b, 600)
			}
		})
	}
}

// BenchmarkScale measures the policy with 170 teams, 1,000 instances and 9 processes. Each second 1% of the demands for
// slots change.
func BenchmarkScale(b *testing.B) {
	for _, bb := range []struct {
		name   string
		policy policyKind
	}{{"hysteresis", hysteresis}, {"recall-always", recallAlways}} {
		b.Run(bb.name, func(b *testing.B) {
			for b.Loop() {
				limits := slices.Repeat([]int{24}, 170)
				for i := range 10 {
					limits[i] = 400
				}
				doc := document(1000, limits...)
				l := newLoad(newGroup(9, func(g *group) { g.configure(doc) }), bb.policy)
				teams := slices.DeleteFunc(slices.Clone(l.resources), func(name string) bool { return name[0] != 't' })
				slots := slices.DeleteFunc(slices.Clone(l.resources), func(name string) bool { return name[0] == 't' })
				l.demandOnly = true
				bursts := l.burstDemand(teams)
				vary := func(step int) {
					bursts(step)
					for range len(slots) * len(l.demand) / 2000 {
						l.demand[l.rand.IntN(len(l.demand))][slots[l.rand.IntN(len(slots))]] = l.rand.IntN(4)
					}
				}
				l.run(10*time.Second, vary)
				l.g.bytes, l.g.changes, l.decideTime, l.decideCalls = 0, 0, 0, 0
				l.run(20*time.Second, vary)
				l.reportMetrics(b, 20)
			}
		})
	}
}
