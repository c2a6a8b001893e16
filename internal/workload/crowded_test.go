package workload_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// crowdedEvents are the kinds of events of crowded scripts that are no disturbance, crowdedFaults those that are.
var (
	crowdedEvents = []string{
		"wave", "waves", "long", "long", "stuck", "burst", "stream", "fail", "done", "cancel", "lasting-apart", "quota",
		"queue-off",
	}
	crowdedFaults = []string{
		"crash", "gone", "gone", "drain", "drain", "silent", "mute", "leader", "restore", "late", "unanswered", "platform",
		"queue-moves",
	}
)

// The random tests of crowded pools and of capacities play fewer seeds by default, by these divisors.
const (
	crowdedCost    = 5
	capacitiesCost = 3
)

// newCrowdedScript returns a script in which ordinary tasks that take long fill small pools, long-running tasks have a
// maximum per worker, and waves, quotas and queues change. It has few faults, so that most of the time is calm.
func newCrowdedScript(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 23))
	sc := script{
		seed: seed, lease: []time.Duration{6 * time.Second, 10 * time.Second}[r.IntN(2)], spare: r.IntN(5) - 1,
		startup: time.Duration(r.IntN(3)) * 500 * time.Millisecond, stop: time.Duration(r.IntN(3)) * 10 * simStep,
	}
	for range 1 + r.IntN(3) {
		sc.pools = append(sc.pools, 1+r.IntN(7))
		sc.advice = append(sc.advice, r.IntN(8) == 0)
		sc.cap = append(sc.cap, []int64{0, 0, 12000, 32000, 120000}[r.IntN(5)])
	}
	sc.delay = []time.Duration{0, 3 * simStep, 10 * simStep}[r.IntN(3)]
	between := func(a, b time.Duration) time.Duration {
		return (a + time.Duration(r.Int64N(int64(b-a)))).Round(simStep)
	}
	add := func(kind string, at, d time.Duration) {
		sc.actions = append(sc.actions, action{at: at, d: d, kind: kind, n: r.Uint64()})
	}
	for range 1 + r.IntN(3*len(sc.pools)) {
		add("lasting-apart", between(0, 2*time.Second), 0)
	}
	now := 3 * time.Second
	for range 2 + r.IntN(3) {
		span := between(15*time.Second, 25*time.Second)
		for range 2 * len(sc.pools) {
			add("long", now+between(0, time.Second), between(8*time.Second, 20*time.Second))
		}
		add("lasting-apart", now+between(time.Second, 2*time.Second), 0)
		for range 2 + r.IntN(8) {
			add(crowdedEvents[r.IntN(len(crowdedEvents))], now+between(0, span), between(time.Second, 20*time.Second))
		}
		for range r.IntN(5) {
			add(crowdedFaults[r.IntN(len(crowdedFaults))], now+between(2*time.Second, 5*time.Second),
				between(200*time.Millisecond, 4*time.Second))
		}
		now += span
	}
	slices.SortStableFunc(sc.actions, func(a, b action) int { return int(a.at - b.at) })
	sc.skip()
	sc.end = now + 15*time.Second
	return sc
}

// drawApart draws a job with long-running tasks that are kept apart. Large ones need most of a worker.
func drawApart(r *rand.Rand, mayBeLarge bool) []*workloadpb.Step {
	st := step(1+r.Int32N(6), 250*(1+r.Int64N(12)), 500*(1+r.Int64N(16)), 0)
	if mayBeLarge && r.IntN(3) == 0 {
		st.Need.Cpu = 500 * (17 + r.Int64N(14))
	}
	st.Lasting, st.MaxPerWorker = true, 1+r.Int32N(2)
	if r.IntN(2) == 0 {
		st.MayMiss = 1
	}
	if r.IntN(2) == 0 {
		st.TargetMs = 100
	}
	if r.IntN(2) == 0 {
		return []*workloadpb.Step{st}
	}
	fill := step(1+r.Int32N(4), 500*(1+r.Int64N(6)), 1000*(1+r.Int64N(12)), 0)
	fill.Lasting, fill.Fills = true, true
	return []*workloadpb.Step{st, fill}
}

// submitLong submits jobs with tasks that take long, and fill some of the workers.
func (p *player) submitLong(pool int, d time.Duration, r *rand.Rand) {
	for range 1 + r.IntN(6) {
		st := step(1+r.Int32N(12), 1000*(1+r.Int64N(12)), 1000*(1+r.Int64N(24)), d.Milliseconds()*(1+r.Int64N(4)))
		p.submitJob(pool, st)
	}
}

// applyCrowded applies an event that only crowded scripts have, and reports whether it is one.
func (p *player) applyCrowded(a action, pool int, r *rand.Rand) bool {
	switch a.kind {
	case "lasting-apart":
		p.submitLasting(pool, drawApart(r, p.script.cap[pool] == 0))
	case "waves":
		for range 2 + r.IntN(2) {
			p.startWave(r)
		}
	case "long":
		p.logf("long jobs to %s", poolName(pool))
		p.submitLong(pool, a.d, r)
	case "stuck":
		ids := sortedIDs(p.workers)
		w := p.workers[ids[r.IntN(len(ids))]]
		p.logf("ordinary tasks on %s stand still for %v", w.m.Id, a.d)
		w.stuck = true
		p.scheduleLasting(a.d, func() { w.stuck = false })
	case "quota":
		if len(p.doc.Accounts) > 0 {
			account := p.doc.Accounts[r.IntN(len(p.doc.Accounts))]
			was := account.Allowance.Cpu
			account.Allowance.Cpu = []int64{0, 12000, 24000, 60000}[r.IntN(4)]
			p.configureAll()
			p.logf("quota of %s is %d for %v", account.Name, account.Allowance.Cpu, a.d)
			p.scheduleLasting(a.d, func() { p.restoreQuota(account.Name, was) })
		}
	case "queue-off":
		name := poolName(pool)
		p.removed[name] = true
		p.configureAll()
		p.logf("queue %s is removed for %v", name, a.d)
		p.scheduleLasting(a.d, func() {
			p.removed[name] = false
			p.configureAll()
			p.logf("queue %s is added again", name)
		})
	default:
		return false
	}
	return true
}

func (p *player) restoreQuota(account string, cpu int64) {
	for _, a := range p.doc.Accounts {
		if a.Name == account {
			a.Allowance.Cpu = cpu
		}
	}
	p.configureAll()
	p.logf("quota of %s is %d again", account, cpu)
}
