package workload_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

var operationDelay = flag.Duration("workload.operation-delay", 0,
	"longest time by which operations without an answer are late in the random test of late requests around operations")

// maintenance identifies the maintenance of an instance in a wave.
type maintenance struct {
	wave     int64
	instance string
}

// Guards against moves and maintenance that end an incarnation while requests for it are on their way, so that the next
// incarnation with its ID runs a task in a pool of other queues, or once more, and against waves that are never completed.
func TestRandomLateRequestsAroundOperations(t *testing.T) {
	playSeeds(t, newLateOperationScript, 2*(*randomRuns))
}

// newLateOperationScript returns the script of a seed in which the demand changes between pools and instances are maintained,
// while requests are late. All instances start their workers under the last ID.
func newLateOperationScript(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 29))
	sc := script{
		seed: seed, lease: []time.Duration{6 * time.Second, 10 * time.Second}[r.IntN(2)], spare: r.IntN(4),
		delay: []time.Duration{0, 3 * simStep, 10 * simStep}[r.IntN(3)], stop: time.Duration(r.IntN(3)) * 10 * simStep,
		operations: true, operationDelay: *operationDelay, end: 80 * time.Second,
	}
	for range 2 + r.IntN(3) {
		sc.pools, sc.advice, sc.cap = append(sc.pools, 1+r.IntN(3)), append(sc.advice, false), append(sc.cap, 0)
	}
	between := func(a, b time.Duration) time.Duration {
		return (a + time.Duration(r.Int64N(int64(b-a)))).Round(simStep)
	}
	add := func(kind string, at, d time.Duration) {
		sc.actions = append(sc.actions, action{at: at, d: d, kind: kind, n: r.Uint64()})
	}
	for range max(r.IntN(5)-2, 0) {
		add("lasting", between(0, 2*time.Second), 0)
	}
	for range 1 + r.IntN(3) {
		add("wave", between(4*time.Second, 40*time.Second), 0)
	}
	for range 1 + r.IntN(4) {
		add("platform", between(3*time.Second, 40*time.Second), between(time.Second, 8*time.Second))
	}
	for at := 3 * time.Second; at < 40*time.Second; at += between(2*time.Second, 9*time.Second) {
		add("demand", at, 0)
		if r.IntN(3) > 0 {
			add([]string{"late", "hold-up", "unanswered"}[r.IntN(3)], at, between(300*time.Millisecond, 3*time.Second))
		}
		if r.IntN(3) == 0 {
			add([]string{"leader", "leader", "restore"}[r.IntN(3)], at+between(0, 5*time.Second), 0)
		}
	}
	for range r.IntN(6) {
		kind := []string{"restart", "cut-off", "silent", "mute", "cancel", "queue-moves", "burst", "leader"}[r.IntN(8)]
		add(kind, between(3*time.Second, 45*time.Second), between(200*time.Millisecond, 5*time.Second))
	}
	slices.SortStableFunc(sc.actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	sc.skip()
	return sc
}

// applyDemand applies the event that makes a pool need more instances for a few seconds.
func (p *player) applyDemand(a action, pool int, r *rand.Rand) bool {
	if a.kind != "demand" {
		return false
	}
	st := step(4+r.Int32N(28), 2000*(1+r.Int64N(4)), 1000, 300+100*r.Int64N(12))
	p.logf("submit %s to %s: %v", p.submitJob(pool, st), poolName(pool), st)
	return true
}

// startUnknown lets most incarnations send their first heartbeats late, and late starts arrive before these.
func (p *player) startUnknown(w *fakeWorker) bool {
	if p.draw(4, "unknown", w.m.Id) == 0 {
		return false
	}
	d := time.Duration(5+p.draw(60, "unknown for", w.m.Id)) * simStep
	p.check.disturb(p.now + d)
	for _, q := range p.held {
		if q.h.ID == w.m.Id && p.now+d < q.sent+ledger.MaxRequestDelay && p.draw(2, "at start", w.m.Id) == 0 {
			p.scheduleLasting(time.Duration(1+p.draw(int(d/simStep), "at", w.m.Id))*simStep, func() { p.deliverLate(q) })
		}
	}
	p.scheduleLasting(d, func() {
		if w.mute = false; !w.dead {
			p.report(w)
		}
	})
	return true
}

// noteOperation logs the starts that are on their way to the instance of an operation.
func (p *player) noteOperation(instance string) {
	id := p.instances[instance].Worker
	if w := p.parked[instance]; id == "" && w != nil {
		id = w.m.Id
	}
	for _, q := range p.held {
		if start, ok := q.a.(workload.StartRun); ok && q.h.ID == id && !q.delivered {
			p.logf("operation on %s while the start of %s#%d, sent at %v, is on its way", instance, taskKey(start.Name),
				start.Name.Run, q.sent)
		}
	}
}

// noteMaintenance checks that maintenance that begins now leaves a wave within its cap.
func (p *player) noteMaintenance(a workload.MaintainInstance) {
	down := int32(1)
	for m, at := range p.maintained {
		if m.wave == a.Wave && p.now < at+maintenanceTime {
			down++
		}
	}
	assert.Assert(p.t, down <= p.waveCaps[a.Wave], "%d instances of wave %d are out of service", down, a.Wave)
	p.maintained[maintenance{a.Wave, a.Instance}] = p.now
}

// checkWaves returns what is wrong with the waves at the end of a script.
func (p *player) checkWaves() string {
	// Maintenance may wait for long for room for long-running tasks.
	mayWait := slices.ContainsFunc(p.script.actions, func(a action) bool { return a.kind == "lasting" })
	for _, w := range p.e.State().Waves() {
		for _, name := range w.Instances {
			_, maintained := p.maintained[maintenance{w.Number, name}]
			switch {
			case slices.Contains(w.Begun, name) && !maintained:
				return fmt.Sprintf("wave %v counts %s, which has not begun its maintenance", w, name)
			case p.script.operations && !maintained && !mayWait:
				return fmt.Sprintf("wave %v lacks %s", w, name)
			}
		}
	}
	return ""
}
