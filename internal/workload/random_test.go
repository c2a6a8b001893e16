package workload_test

import (
	"cmp"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// The defaults keep the test short; other seeds are run by hand.
var (
	firstSeed  = flag.Uint64("workload.seed", 1, "first seed of the random test")
	randomRuns = flag.Uint64("workload.runs", 30, "seeds of the random test")
	shrinkRuns = flag.Bool("workload.shrink", false, "shorten the script of a failing seed")
	leaseFlag  = flag.Duration("workload.lease", 0, "longest lease in the random test, 0 draws it")
	moreDeadly = flag.Int("workload.deadly", 0, "adds events with tasks that crash workers, by this weight")
	traceRuns  = flag.Bool("workload.trace", false, "add the lines of the leader and all starts to the log of a failing seed")
	skipKinds  = flag.String("workload.skip", "", "kinds of events, or advice, to leave out, separated by commas")
)

// action is an event of a script. n selects what it applies to.
type action struct {
	at, d time.Duration
	kind  string
	n     uint64
}

func (a action) String() string { return fmt.Sprintf("%v %s for %v, n %d", a.at, a.kind, a.d, a.n) }

// script is what happens in a run. It holds no reference to workers, so that it stays valid when events are left out.
type script struct {
	seed    uint64
	lease   time.Duration
	pools   []int // number of workers
	spare   int   // instances in the spare pool, -1 for none
	advice  []bool
	cap     []int64       // of the account of each pool's queue, in thousandths of a core, 0 for a public queue
	delay   time.Duration // longest time that a request or a commit takes, 0 if they take none
	startup time.Duration // time until a long-running task is ready
	stop    time.Duration // time that a run takes to stop
	// operations is set in scripts of operations on instances, whose workers keep their IDs. All waves have to be completed.
	operations bool
	// operationDelay is the longest time by which operations without an answer are late, 0 for the usual times.
	operationDelay time.Duration
	actions        []action
	end            time.Duration
}

// disturbances are the kinds of events that the calm phases don't have.
var disturbances = []string{
	"crash", "gone", "silent", "deaf", "mute", "unhealthy", "drain", "late", "unanswered", "fail", "done", "leader",
	"platform", "adviser", "configure", "queue-moves", "stale-report", "deadly", "deadly-lasting",
}

// usual are the kinds of events that are no disturbance.
var usual = []string{"wave", "cancel", "lasting", "stream", "burst", "fail"}

func newScript(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 17))
	sc := script{seed: seed, lease: []time.Duration{6 * time.Second, 10 * time.Second}[r.IntN(2)], spare: -1}
	if *leaseFlag > 0 {
		sc.lease = *leaseFlag
	}
	for range 1 + r.IntN(4) {
		sc.pools = append(sc.pools, 2+r.IntN(7))
		sc.advice = append(sc.advice, r.IntN(3) == 0)
		sc.cap = append(sc.cap, []int64{0, 0, 24000, 60000, 120000}[r.IntN(5)])
	}
	if r.IntN(2) == 0 {
		sc.spare = r.IntN(4)
	}
	sc.delay = []time.Duration{0, 3 * simStep, 10 * simStep}[r.IntN(3)]
	add := func(kind string, at, d time.Duration) {
		sc.actions = append(sc.actions, action{at: at, d: d, kind: kind, n: r.Uint64()})
	}
	between := func(a, b time.Duration) time.Duration {
		return (a + time.Duration(r.Int64N(int64(b-a)))).Round(simStep)
	}
	for range 1 + r.IntN(3*len(sc.pools)) {
		add("lasting", between(0, 2*time.Second), 0)
	}
	kinds := slices.Concat(disturbances, slices.Repeat([]string{"deadly", "deadly-lasting"}, *moreDeadly))
	now := 3 * time.Second
	for range 2 + r.IntN(3) {
		span := between(time.Second, 8*time.Second)
		for range 1 + r.IntN([]int{4, 8, 24}[r.IntN(3)]) {
			add(kinds[r.IntN(len(kinds))], now+between(0, span), between(200*time.Millisecond, 9*time.Second))
		}
		calm := between(12*time.Second, 18*time.Second)
		for range r.IntN(6) {
			add(usual[r.IntN(len(usual))], now+between(0, span+calm), between(time.Second, 15*time.Second))
		}
		now += span + calm
	}
	slices.SortStableFunc(sc.actions, func(a, b action) int { return int(a.at - b.at) })
	sc.skip()
	sc.end = now + 12*time.Second
	return sc
}

// skip leaves out the kinds of events of the flag.
func (sc *script) skip() {
	for _, k := range strings.Split(*skipKinds, ",") {
		sc.actions = slices.DeleteFunc(sc.actions, func(a action) bool { return a.kind == k })
		if k == "advice" {
			clear(sc.advice)
		}
	}
}

// newResizingScript returns the script of a seed with workers that shrink and grow.
func newResizingScript(seed uint64) script {
	sc := newScript(seed)
	r := rand.New(rand.NewPCG(seed, 18))
	for range 1 + r.IntN([]int{4, 24}[r.IntN(2)]) {
		sc.actions = append(sc.actions, action{
			at: time.Duration(r.Int64N(int64(sc.end))).Round(simStep), kind: "resize", n: r.Uint64(),
			d: (200*time.Millisecond + time.Duration(r.Int64N(int64(15*time.Second)))).Round(simStep),
		})
	}
	slices.SortStableFunc(sc.actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	sc.skip()
	return sc
}

// player plays a script.
type player struct {
	*sim
	script  script
	check   *lostCheck
	doc     *workloadpb.Document
	jobs    []string          // active jobs with long-running tasks
	deadly  map[string]bool   // jobs whose first task crashes each worker that starts it
	queue   map[string]string // by job
	removed map[string]bool   // queues that the configuration lacks
	// cancelled holds the jobs that clients have cancelled.
	cancelled map[string]bool
	streams   []stream
	// Faults that are on until a time.
	lateUntil, unansweredUntil, platformUntil, adviserUntil time.Duration

	adviserFreeAt time.Duration
	attempts      map[string]int
	aloneSince    map[string]time.Duration
	nextJob       int
	// heldUntil is until when most requests for a worker are held up, by ID; held holds these requests.
	heldUntil map[string]time.Duration
	held      []*lateRequest
	// suspected tells of jobs whether a task of theirs has lost workers so often that the leader may give it up.
	suspected map[string]bool
	nextWave  int64
	waveCaps  map[int64]int32 // by the number of the wave
	// maintained tells when each instance was maintained for a wave.
	maintained map[maintenance]time.Duration
	out        *strings.Builder
}

type stream struct {
	until, next, period time.Duration
	pool                int
	n                   uint64
}

// draw returns a number below n that depends only on the seed, what it is for, and how often it was drawn for it.
func (p *player) draw(n int, what ...any) int {
	key := fmt.Sprint(what...)
	p.attempts[key]++
	return p.fixed(n, key, p.attempts[key])
}

// fixed returns a number below n that depends only on the seed and on what it is for.
func (p *player) fixed(n int, what ...any) int {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, append([]any{p.script.seed}, what...)...)
	return int(rand.New(rand.NewPCG(h.Sum64(), 1)).Uint64N(uint64(n)))
}

// identity names a request; delays depend on it.
func (p *player) identity(a kernel.Action) string {
	h, _ := targetOf(a)
	switch a := a.(type) {
	case workload.StartRun:
		return fmt.Sprint("start", h.Incarnation, a.Name)
	case workload.StopRun:
		return fmt.Sprint("stop", h.Incarnation, a.Name)
	}
	return fmt.Sprintf("%T %d", a, h.Incarnation)
}

// drawDelay draws the time that a request or a commit takes.
func (p *player) drawDelay(what string) time.Duration {
	return time.Duration(p.draw(int(p.script.delay/simStep)+1, what)) * simStep
}

func (p *player) logf(format string, args ...any) {
	fmt.Fprintf(p.out, "%8v  ", p.now)
	fmt.Fprintf(p.out, format+"\n", args...)
}

func poolName(i int) string { return fmt.Sprintf("p%d", i) }

// play plays a script, and returns what it violates, a log and the requests of the leaders.
func play(t testing.TB, sc script) (violation, log string, requests []kernel.Action) {
	r := &recorder{TB: t}
	p := &player{
		script: sc, deadly: map[string]bool{}, queue: map[string]string{}, attempts: map[string]int{},
		aloneSince: map[string]time.Duration{}, removed: map[string]bool{}, cancelled: map[string]bool{},
		heldUntil: map[string]time.Duration{}, suspected: map[string]bool{},
		waveCaps: map[int64]int32{}, maintained: map[maintenance]time.Duration{},
		out: &strings.Builder{},
	}
	defer func() {
		requests = p.requests
		if e := recover(); e != nil {
			if e != errStopped {
				panic(e)
			}
			violation, log = fmt.Sprintf("at %v: %s", p.now, r.text.String()), p.out.String()
		}
	}()
	p.sim = newSim(r)
	if *traceRuns {
		p.log = funcr.New(func(_, args string) { p.logf("  %s", args) }, funcr.Options{})
	}
	p.setMaxLease(sc.lease)
	p.startupTime, p.stopTime = sc.startup, sc.stop
	p.check = &lostCheck{
		sim: p.sim, allowed: p.allows, accounts: map[string]string{},
		pool:    func(job string) string { return p.queueOf(job).GetPool() },
		account: func(job string) *workloadpb.Account { return p.e.State().Account(p.check.accounts[job]) },
	}
	p.intercept, p.checkTicket = p.handle, p.ticketIsValid
	p.isDeadly = func(task string) bool {
		job, ok := strings.CutSuffix(task, ".0.0.0")
		return ok && p.deadly[job]
	}
	p.onCrash = func(task string) {
		p.check.disturb(p.now + p.rebootTime)
		p.logf("%s crashes its worker", task)
	}
	p.keepsID = func(instance string) bool { return p.draw(2, "keeps", instance) == 0 }
	p.startsMute, p.carryOut, p.keepsAllIDs = p.startMute, p.carryOutUnanswered, sc.operations
	p.attributesAnswers = p.fixed(2, "attributes") == 0
	p.clockGain = func(w *fakeWorker) int64 { return int64(p.fixed(41, "clock", w.m.Id, w.m.BornMs)) - 20 }
	if sc.delay > 0 {
		p.requestDelay = func(a kernel.Action) time.Duration { return p.drawDelay(p.identity(a)) }
		p.commitDelay = func() time.Duration { return p.drawDelay("commit") }
	}
	p.configureAll()
	for i, n := range sc.pools {
		p.addWorkers(poolName(i), n)
	}
	if sc.spare >= 0 {
		p.addWorkers("spare", sc.spare)
	}
	actions := sc.actions
	for p.now < sc.end {
		for len(actions) > 0 && actions[0].at <= p.now {
			p.apply(actions[0])
			actions = actions[1:]
		}
		p.submitStreams()
		if p.now%(100*time.Millisecond) == 0 {
			p.breakGangs()
		}
		p.run(simStep)
		p.noteSettled(p.now - simStep) // The last decision was made then.
		p.noteLosses()
		if task, workers := p.check.check(); task != nil {
			return p.describe(task, workers), p.out.String(), nil
		}
	}
	for job := range p.queue {
		switch j := p.e.State().JobByID(job); {
		case j == nil:
			return fmt.Sprintf("job %s is unknown", job), p.out.String(), nil
		case j.State() == ledger.Failed && !p.deadly[job] && !p.suspected[job]:
			return fmt.Sprintf("job %s has failed without cause", job), p.out.String(), nil
		case j.State() == ledger.Cancelled && !p.cancelled[job]:
			return fmt.Sprintf("job %s is cancelled without cause", job), p.out.String(), nil
		}
	}
	return p.checkWaves(), p.out.String(), nil
}

func (p *player) describe(t *lastingTask, workers []*fakeWorker) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "at %v: task %s of a step %v doesn't run, last ran at %v, last disturbance until %v, lease %v\n",
		p.now, taskKey(t.name), t.step, t.ranAt, p.check.disturbedUntil, p.maxLease)
	fmt.Fprintf(b, "  ledger: %s\n", p.e.ExplainTask(t.name.Job, t.name.Step, t.name.Index))
	for _, w := range workers {
		fmt.Fprintf(b, "  room on %s (free %v, %d runs): %s\n", w.m.Id, w.free(), len(w.runs),
			p.e.Explain(w.m.Id, t.name.Job, t.name.Step))
	}
	return b.String()
}

// queueOf returns the queue of a job, nil if the configuration lacks it.
func (p *player) queueOf(job string) *workloadpb.Queue {
	for _, q := range p.e.State().Document().GetQueues() {
		if q.Name == p.queue[job] {
			return q
		}
	}
	return nil
}

func (p *player) configureAll() {
	if p.doc == nil {
		p.doc = &workloadpb.Document{}
		for i := range p.script.pools {
			q := &workloadpb.Queue{
				Name: poolName(i), Host: "h", Prefix: "/" + poolName(i) + "/", Pool: poolName(i), MaxAttempts: 3, Stretch: 1.5,
				SloMs: 600, Public: p.script.cap[i] == 0,
			}
			if p.script.advice[i] {
				q.Advice = &workloadpb.Advice{DecideMs: 50, EachMs: 5, ValidityMs: 3000}
			}
			p.doc.Pools = append(p.doc.Pools, &workloadpb.Pool{Name: poolName(i)})
			p.doc.Queues = append(p.doc.Queues, q)
			if c := p.script.cap[i]; c > 0 {
				p.doc.Accounts = append(p.doc.Accounts, &workloadpb.Account{
					Name: "t" + poolName(i), Keys: []string{"k" + poolName(i)}, Weight: 5, Allowance: &workloadpb.Resources{Cpu: c},
				})
			}
		}
		if p.script.spare >= 0 {
			p.doc.Pools = append(p.doc.Pools, &workloadpb.Pool{Name: "spare", Spare: true})
		}
	}
	p.doc = proto.CloneOf(p.doc)
	p.doc.Version++
	d := proto.CloneOf(p.doc)
	d.Queues = slices.DeleteFunc(d.Queues, func(q *workloadpb.Queue) bool { return p.removed[q.Name] })
	p.call(&workloadpb.Command{Change: &workloadpb.Command_Document{Document: d}})
}

func (p *player) submitJob(i int, steps ...*workloadpb.Step) string {
	p.nextJob++
	id, q := fmt.Sprintf("j%d", p.nextJob), poolName(i)
	m := &workloadpb.Submit{Host: "h", Path: "/" + q + "/" + id, Id: id, Spec: "spec " + id, Steps: steps}
	if p.script.cap[i] > 0 {
		m.Key = "k" + q
		p.check.accounts[id] = "t" + q
	}
	p.queue[id] = q
	r := p.call(&workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: m}})
	assert.Equal(p.t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
	return id
}

// drawLasting draws a job with long-running tasks. A task needs at most half of the cap of any account.
func drawLasting(r *rand.Rand) []*workloadpb.Step {
	st := step(1+r.Int32N(5), 250*(1+r.Int64N(12)), 500*(1+r.Int64N(10)), 0)
	st.Lasting = true
	if r.IntN(3) == 0 {
		st.MaxPerWorker = 1 + r.Int32N(2)
	}
	if r.IntN(3) == 0 {
		st.MayMiss = 1 + r.Int32N(2)
	}
	if r.IntN(4) == 0 {
		st.Label = []string{"a", "r0", "r1"}[r.IntN(3)]
	}
	switch r.IntN(6) {
	case 0:
		st.Gang = true
		st.Need.Cpu = min(st.Need.Cpu, 2000)
	case 1, 2:
		st.TargetMs = 100
		fill := step(1+r.Int32N(4), 500*(1+r.Int64N(6)), 1000, 0)
		fill.Lasting, fill.Fills = true, true
		return []*workloadpb.Step{st, fill}
	}
	return []*workloadpb.Step{st}
}

func (p *player) submitSmall(i int, r *rand.Rand) {
	st := step(1+r.Int32N(8), 500*(1+r.Int64N(8)), 500*(1+r.Int64N(8)), 200+100*r.Int64N(30))
	if r.IntN(6) == 0 {
		st.Gang = true
		st.Count = min(st.Count, 4)
	}
	if r.IntN(3) == 0 {
		second := step(1+r.Int32N(4), 1000, 1000, 300)
		second.After = []int32{0}
		p.submitJob(i, st, second)
		return
	}
	p.submitJob(i, st)
}

func (p *player) submitStreams() {
	for i := range p.streams {
		st := &p.streams[i]
		for ; st.next <= p.now && st.next < st.until; st.next += st.period {
			if st.n++; p.removed[poolName(st.pool)] {
				continue
			}
			p.submitSmall(st.pool, rand.New(rand.NewPCG(st.n, 3)))
		}
	}
}

// breakGangs ends the runs of gangs that have lacked members for a time.
func (p *player) breakGangs() {
	type gang struct {
		job                   string
		occurrence, step, run int32
	}
	of := func(n workload.RunName) gang { return gang{n.Job, n.Occurrence, n.Step, n.Run} }
	members := map[gang]int32{}
	isGang := func(r *fakeRun) bool { return p.steps[r.name.Job][r.name.Step].Gang }
	for _, w := range p.workers {
		for _, r := range w.runs {
			if !w.dead && isGang(r) {
				members[of(r.name)]++
			}
		}
	}
	if len(members) == 0 {
		return
	}
	for _, id := range sortedIDs(p.workers) {
		w := p.workers[id]
		if w.dead {
			continue
		}
		for _, r := range w.sortedRuns(isGang) {
			k := fmt.Sprint(of(r.name))
			switch {
			case members[of(r.name)] == p.steps[r.name.Job][r.name.Step].Count:
				delete(p.aloneSince, k)
			case p.aloneSince[k] == 0:
				p.aloneSince[k] = p.now
			case p.now-p.aloneSince[k] >= 3*time.Second:
				w.end(r, workloadpb.How_HOW_ALONE)
			}
		}
	}
}

// recorder records the failure of a test, and ends a run by a panic.
type recorder struct {
	testing.TB
	text strings.Builder
}

var errStopped = fmt.Errorf("stopped")

func (r *recorder) Helper()         {}
func (r *recorder) Log(args ...any) { fmt.Fprintln(&r.text, args...) }
func (r *recorder) FailNow()        { panic(errStopped) }
func (r *recorder) Fail()           { panic(errStopped) }

// shrink leaves out events as long as the script still fails in the same way.
func shrink(t testing.TB, sc script, violation string) (script, string, string) {
	log := ""
	kinds := []string{"doesn't run", "without cause", "configuration sends", "wave", "capacity"}
	kind := func(v string) int {
		return slices.IndexFunc(kinds, func(k string) bool { return strings.Contains(v, k) })
	}
	for again := true; again; {
		again = false
		for i := len(sc.actions) - 1; i >= 0; i-- {
			c := sc
			c.actions = slices.Delete(slices.Clone(sc.actions), i, i+1)
			if v, l, _ := play(t, c); v != "" && kind(v) == kind(violation) {
				sc, violation, log, again = c, v, l, true
			}
		}
	}
	return sc, violation, log
}

// Guards against long-running tasks that wait beside free capacity after disturbances that overlap, and against runs
// that are started twice, without a lease or beyond the capacity of a worker.
func TestRandomDisturbances(t *testing.T) { playSeeds(t, newScript, *randomRuns) }

// Guards against starts beyond the capacity of a worker that has shrunk, and tasks that wait beside one that has grown.
func TestRandomCapacities(t *testing.T) {
	playSeeds(t, newResizingScript, (*randomRuns+capacitiesCost-1)/capacitiesCost)
}

// Guards against long-running tasks that wait beside free capacity while ordinary tasks that take long fill the pools.
func TestRandomCrowdedPools(t *testing.T) {
	playSeeds(t, newCrowdedScript, (*randomRuns+crowdedCost-1)/crowdedCost)
}

// playSeeds plays the scripts of n seeds.
func playSeeds(t *testing.T, newScript func(seed uint64) script, n uint64) {
	name := t.Name()
	for seed := *firstSeed; seed < *firstSeed+n; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sc := newScript(seed)
			violation, log, _ := play(t, sc)
			if violation == "" {
				return
			}
			if *shrinkRuns {
				if s, v, l := shrink(t, sc, violation); l != "" {
					sc, violation, log = s, v, l
				}
			}
			t.Errorf("%s\nscript: lease %v, delay %v, pools %v, spare %d, advice %v, caps %v\n%s", violation, sc.lease,
				sc.delay, sc.pools, sc.spare, sc.advice, sc.cap, log)
			t.Errorf("run again: go test -run '%s$' ./internal/workload -workload.seed %d -workload.runs 1", name, seed)
		})
	}
}

// Guards against failures of a seed that can't be seen again, because the leader decides in the order of a map.
func TestRandomDisturbancesAreRepeatable(t *testing.T) {
	scripts := []script{newCrowdedScript(1)}
	for seed := range uint64(8) {
		scripts = append(scripts, newResizingScript(seed), newLateRequestScript(seed), newLateOperationScript(seed))
	}
	for i, sc := range scripts {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			_, _, first := play(t, sc)
			_, _, second := play(t, sc)
			assert.Equal(t, len(first), len(second))
			for i := range first {
				assert.DeepEqual(t, first[i], second[i])
			}
		})
	}
}
