package workload_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// simStep is the resolution of the virtual time.
const simStep = 10 * time.Millisecond

// maintenanceTime is how long maintenance takes.
const maintenanceTime = 2 * time.Second

// sim simulates a leader with fake workers and a fake platform in virtual time, and checks what must never reach a
// worker: a start without a lease, more runs than fit, and a second run of a task.
type sim struct {
	t         testing.TB
	k         *kernel.Kernel
	e         *workload.Engine
	now       time.Duration
	index     uint64
	term      uint64
	workers   map[string]*fakeWorker
	instances map[string]*workload.Instance
	timers    []timer
	// done is how often each task has succeeded, and noted holds the tasks whose success the leader has acknowledged.
	done map[string]int
	// doneOn holds the IDs of the workers on which tasks have succeeded last.
	doneOn map[string]string
	noted  map[string]bool
	// rejectRequest rejects requests before they reach a worker or the platform; it may be nil.
	rejectRequest func(a kernel.Action) (workload.Outcome, bool)
	// onListInstances is called when the list of instances is read; it may be nil.
	onListInstances func()
	moves           int
	// zones are the availability zones over which instances are spread; without any, theirs are not known.
	zones []string
	// lastWave holds the wave of the last maintenance of each instance.
	lastWave map[string]int64
	// advisedWorker is the worker that the adviser allows.
	advisedWorker string
	requests      []kernel.Action
	// maxLease is the longest lease that workers accept.
	maxLease time.Duration
	// log gets the lines of the leader; its zero value discards them.
	log logr.Logger
	// steps holds the steps of each submitted job.
	steps map[string][]*workloadpb.Step
	// intercept handles a request instead of the fakes if it returns true; it may be nil.
	intercept func(a kernel.Action) bool
	// keepsID reports whether an instance starts its worker under the last ID after an operation; it may be nil.
	keepsID func(instance string) bool
	// keepsAllIDs makes each instance do so, also when it was off. parked holds the last workers of instances that are off.
	keepsAllIDs bool
	parked      map[string]*fakeWorker
	// operatedAt is when an operation last ended an incarnation with the ID of a worker, or followed it.
	operatedAt map[string]time.Duration
	// carryOut carries out an operation on an instance whose answer is lost; it may be nil.
	carryOut func(a kernel.Action)
	// poolsOfQueue holds the pools to which any configuration has sent a queue, by the path prefix of the queue.
	poolsOfQueue map[string]map[string]bool
	prefixes     map[string]string // of the queues of jobs
	// attributesAnswers makes the answers to all requests for workers tell the incarnation, not only lists of runs.
	attributesAnswers bool
	// startsMute reports whether a worker sends no heartbeats at first; it may be nil.
	startsMute func(w *fakeWorker) bool
	// clockGain returns the thousandths by which the clock of a worker is fast; it may be nil.
	clockGain func(w *fakeWorker) int64
	// requestDelay and commitDelay return how long a request and a command take; they may be nil.
	requestDelay func(a kernel.Action) time.Duration
	commitDelay  func() time.Duration
	uncommitted  []uncommitted
	leaderless   bool
	// leadersLost counts the leaders that have ended.
	leadersLost int
	// rejectCommand rejects commands of the leader, as the replicated log may do; it may be nil.
	rejectCommand func(m *workloadpb.Command) bool
	// sentAt is when the request that is being delivered was sent.
	sentAt time.Duration
	// isDeadly reports whether a task crashes its workers, which boot again after rebootTime; it may be nil. crashes counts
	// these crashes by task, and lateStarts the starts after too many of them.
	isDeadly            func(task string) bool
	rebootTime          time.Duration
	crashes, lateStarts map[string]int
	// rebootAs returns the ID and the address of the worker that an instance boots after a crash; if it is nil, the ID is
	// another one and the address stays.
	rebootAs func(instance string, crashed *fakeWorker) (id, address string)
	// onCrash is called when a task crashes its worker; it may be nil.
	onCrash func(task string)
	// startupTime is the time until a long-running task is ready, and stopTime the time that a run takes to stop.
	startupTime, stopTime time.Duration
	// checkTicket reports whether the ticket of a start is valid; it may be nil.
	checkTicket func(w *fakeWorker, a workload.StartRun) bool
	// slowdown returns how many times as long a run on a worker takes now; it may be nil.
	slowdown func(w *fakeWorker, r *fakeRun) float64
}

// uncommitted is a command that was proposed.
type uncommitted struct {
	at time.Duration
	c  kernel.Command
}

type timer struct {
	at time.Duration
	f  func()
	// outlivesTerm timers stay when the leader changes, because they don't concern the leader. The others belong to the
	// leader that follows leadersLost others.
	outlivesTerm bool
	leadersLost  int
}

func newSim(t testing.TB) *sim {
	t.Helper()
	k, err := kernel.New(kernel.Config{Log: logr.Discard()})
	assert.NilError(t, err)
	e, ok := kernel.Lookup[*workload.Engine](k, workload.Name)
	assert.Assert(t, ok)
	s := &sim{
		t: t, k: k, e: e, workers: map[string]*fakeWorker{}, instances: map[string]*workload.Instance{},
		done: map[string]int{}, doneOn: map[string]string{}, noted: map[string]bool{}, lastWave: map[string]int64{},
		steps: map[string][]*workloadpb.Step{}, crashes: map[string]int{}, lateStarts: map[string]int{},
		parked: map[string]*fakeWorker{}, poolsOfQueue: map[string]map[string]bool{}, prefixes: map[string]string{},
		operatedAt: map[string]time.Duration{}, rebootTime: 3300 * time.Millisecond,
	}
	s.setMaxLease(6 * time.Second)
	s.startTerm()
	return s
}

// loseLeader ends the leader, which gets no answer any more. Nothing is decided until the next term starts.
func (s *sim) loseLeader() {
	s.uncommitted = nil
	s.leadersLost++
	for _, w := range s.workers {
		w.renewal = nil
	}
	s.k.Observe(s.now, kernel.LeadershipLost{})
	s.leaderless = true
}

// setMaxLease sets the longest lease that workers accept.
func (s *sim) setMaxLease(d time.Duration) {
	s.maxLease = d
	s.e.Configure(workload.Config{
		WallClock: func() time.Time { return time.UnixMilli(1_000_000).Add(s.now) }, MaxLease: d, Log: s.log,
	})
}

// startTerm starts a term with a leader that has only the replicated state. Commands that are not committed are lost.
func (s *sim) startTerm() {
	s.loseLeader()
	previous := s.term
	s.term++
	s.leaderless = false
	for _, w := range s.workers {
		in := s.e.State().WorkerByID(w.m.Id)
		w.known = w.known && in != nil && in.StartedMs() == w.m.BornMs
	}
	s.k.BecomeLeader(s.now)
	s.k.Observe(s.now, kernel.LeadershipGained{Term: s.term, PreviousTerm: previous})
}

func (s *sim) call(m *workloadpb.Command) *workloadpb.Response {
	s.t.Helper()
	c, err := kernel.NewCommand(workload.Name, "", m)
	assert.NilError(s.t, err)
	body, how := s.k.Respond(s.now, c)
	if how == kernel.Replicate {
		s.applyCommitted(math.MaxInt64) // What was proposed earlier is committed earlier.
		body = s.apply(c)
	}
	r := &workloadpb.Response{}
	assert.NilError(s.t, proto.Unmarshal(body, r))
	if m := m.GetSubmit(); m != nil && r.Verdict == workloadpb.Verdict_VERDICT_DONE {
		s.steps[m.Id], s.prefixes[m.Id] = m.Steps, strings.TrimSuffix(m.Path, m.Id)
	}
	for _, q := range m.GetDocument().GetQueues() {
		if s.poolsOfQueue[q.Prefix] == nil {
			s.poolsOfQueue[q.Prefix] = map[string]bool{}
		}
		s.poolsOfQueue[q.Prefix][q.Pool] = true
	}
	return r
}

func (s *sim) apply(c kernel.Command) []byte {
	s.t.Helper()
	s.index++
	c.At = time.Duration(time.UnixMilli(1_000_000).Add(s.now).UnixNano())
	r := s.k.Apply(s.index, c)
	assert.NilError(s.t, r.Err)
	return r.Body
}

// configure applies a configuration with the given pools; each pool has a public queue of the same name.
func (s *sim) configure(version uint64, change func(d *workloadpb.Document), pools ...string) {
	s.t.Helper()
	d := &workloadpb.Document{Version: version}
	for _, p := range pools {
		d.Pools = append(d.Pools, &workloadpb.Pool{Name: p, Spare: p == "spare"})
		d.Queues = append(d.Queues, &workloadpb.Queue{
			Name: p, Host: "h", Prefix: "/" + p + "/", Pool: p, MaxAttempts: 3, Stretch: 1.5, SloMs: 600, Public: true,
		})
	}
	if change != nil {
		change(d)
	}
	assert.NilError(s.t, ledger.CheckDocument(d))
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Document{Document: d}})
}

func (s *sim) submit(pool, id string, steps ...*workloadpb.Step) {
	s.t.Helper()
	r := s.call(&workloadpb.Command{Change: &workloadpb.Command_Submit{
		Submit: &workloadpb.Submit{Host: "h", Path: "/" + pool + "/" + id, Id: id, Spec: "spec " + id, Steps: steps},
	}})
	assert.Equal(s.t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
}

func (s *sim) cancel(pool, id string) {
	s.t.Helper()
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Cancel{
		Cancel: &workloadpb.Cancel{Host: "h", Path: "/" + pool + "/" + id, Id: id},
	}})
}

func (s *sim) jobState(pool, id string) string {
	s.t.Helper()
	return s.call(&workloadpb.Command{Change: &workloadpb.Command_Inspect{
		Inspect: &workloadpb.Inspect{Host: "h", Path: "/" + pool + "/" + id, Id: id},
	}}).State
}

func step(count int32, cpu, memory, estimateMs int64) *workloadpb.Step {
	return &workloadpb.Step{Count: count, Need: &workloadpb.Resources{Cpu: cpu, MemoryMib: memory}, EstimateMs: estimateMs}
}

// addWorkers starts n workers of 16 cores on instances of a pool.
func (s *sim) addWorkers(pool string, n int) []*fakeWorker {
	var list []*fakeWorker
	for i := range n {
		name := fmt.Sprintf("m-%s-%d", pool, i)
		s.instances[name] = &workload.Instance{
			Name: name, Pool: pool, Up: true, Zone: s.zoneOf(i), Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
			Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
		}
		if pool != "spare" {
			list = append(list, s.startWorker(name))
		}
	}
	return list
}

func (s *sim) zoneOf(instance int) string {
	if len(s.zones) == 0 {
		return ""
	}
	return s.zones[instance%len(s.zones)]
}

// startWorker starts the worker of an instance.
func (s *sim) startWorker(instance string) *fakeWorker {
	id := fmt.Sprintf("w-%s-%d", instance, s.now.Milliseconds())
	return s.startWorkerAs(instance, id, "a-"+id)
}

// startWorkerAs starts the worker of an instance with an ID and an address, which an earlier worker may have had.
func (s *sim) startWorkerAs(instance, id, address string) *fakeWorker {
	row := s.instances[instance]
	if old := s.workers[id]; old != nil && old.renewal != nil {
		h, sent := *old.renewal, old.renewalSentAt
		s.schedule(simStep, func() { s.fail(h, workload.NoAnswer, sent) })
	}
	w := &fakeWorker{
		sim: s, startedAt: s.now, runs: map[string]*fakeRun{}, highestRun: map[string]int32{}, how: workloadpb.How_HOW_DONE,
		m: &workloadpb.Worker{
			Id: id, BornMs: 1_000_000 + s.now.Milliseconds(), Address: address, Pool: row.Pool, Zone: row.Zone,
			Capacity: row.Capacity, Labels: row.Labels,
		},
	}
	s.workers[id] = w
	row.Worker = id
	if s.clockGain != nil {
		w.clockGain = s.clockGain(w)
	}
	if s.startsMute != nil && s.startsMute(w) {
		w.mute = true
		return w
	}
	s.report(w)
	return w
}

func (s *sim) report(w *fakeWorker) {
	m := s.heartbeat(w)
	if s.leaderless {
		return // Nobody takes the heartbeat.
	}
	w.markKnown()
	s.call(m)
}

// heartbeat returns the next heartbeat of a worker.
func (s *sim) heartbeat(w *fakeWorker) *workloadpb.Command {
	w.sequence++
	m := proto.CloneOf(w.m)
	m.Draining = w.draining
	leavesInMs := int64(5000)
	if w.leavesAt > 0 {
		leavesInMs = (w.leavesAt - s.now).Milliseconds()
	}
	return &workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{
		Worker: m, ClockMs: w.clockMs(), Sequence: w.sequence, LeavesInMs: leavesInMs,
	}}}
}

func (s *sim) schedule(d time.Duration, f func()) {
	s.timers = append(s.timers, timer{at: s.now + d, f: f, leadersLost: s.leadersLost})
}

// scheduleLasting schedules what happens whether the leader changes or not.
func (s *sim) scheduleLasting(d time.Duration, f func()) {
	s.timers = append(s.timers, timer{at: s.now + d, f: f, outlivesTerm: true})
}

// run advances the virtual time.
func (s *sim) run(d time.Duration) {
	s.t.Helper()
	for end := s.now + d; s.now < end; s.now += simStep {
		due := s.timers
		s.timers = nil
		for _, ev := range due {
			switch {
			case !ev.outlivesTerm && ev.leadersLost < s.leadersLost:
			case ev.at <= s.now:
				ev.f()
			default:
				s.timers = append(s.timers, ev)
			}
		}
		for _, id := range sortedIDs(s.workers) {
			s.tick(s.workers[id])
		}
		s.applyCommitted(s.now)
		for range 3 {
			dec := s.k.Decide(s.now)
			for _, c := range dec.Commands {
				s.commit(c)
			}
			for _, a := range dec.Actions {
				s.execute(a)
			}
		}
		assert.Equal(s.t, len(s.k.Halted()), 0)
	}
}

// commit applies a command of the leader, possibly later.
func (s *sim) commit(c kernel.Command) {
	if s.rejectCommand != nil {
		m := &workloadpb.Command{}
		assert.NilError(s.t, proto.Unmarshal(c.Body, m))
		if s.rejectCommand(m) {
			return
		}
	}
	if s.commitDelay == nil {
		s.apply(c)
		return
	}
	at := s.now + s.commitDelay()
	if n := len(s.uncommitted); n > 0 {
		at = max(at, s.uncommitted[n-1].at)
	}
	s.uncommitted = append(s.uncommitted, uncommitted{at, c})
}

// applyCommitted applies the commands that are committed by a time.
func (s *sim) applyCommitted(by time.Duration) {
	s.t.Helper()
	for len(s.uncommitted) > 0 && s.uncommitted[0].at <= by {
		c := s.uncommitted[0].c
		s.uncommitted = s.uncommitted[1:]
		s.apply(c)
	}
}

func sortedIDs(m map[string]*fakeWorker) []string {
	var ids []string
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *sim) tick(w *fakeWorker) {
	if h := w.renewal; h != nil && (w.dead || w.unreachable || w.deaf) && s.now >= w.renewalDeadline+time.Second {
		w.renewal = nil
		s.fail(*h, workload.NoAnswer, w.renewalSentAt)
	}
	if w.dead {
		return
	}
	if s.slowdown != nil {
		for _, r := range w.runs {
			r.endsAt += time.Duration((1 - 1/s.slowdown(w, r)) * float64(simStep))
		}
	}
	for _, r := range w.sortedRuns(func(r *fakeRun) bool { return s.now >= r.endsAt && !r.longRunning && !w.stuck }) {
		w.end(r, w.how)
	}
	if w.clockMs() > w.leaseExpiryMs {
		w.successes = nil
		for _, r := range w.sortedRuns(nil) {
			w.end(r, workloadpb.How_HOW_LAPSED)
		}
	}
	if !w.unreachable && !w.mute && (s.now-w.startedAt)%(1500*time.Millisecond) == 0 {
		s.report(w)
	}
	if h := w.renewal; h != nil && !w.unreachable && !w.deaf && (len(w.ended) > 0 || s.now >= w.renewalDeadline) {
		w.renewal = nil
		s.k.Observe(s.now, w.list(*h))
	}
}

// maintain restarts an instance unless the maintenance of the wave was done before.
func (s *sim) maintain(a workload.MaintainInstance) {
	if s.lastWave[a.Instance] != a.Wave {
		s.lastWave[a.Instance] = a.Wave
		s.restart(a.Instance, s.instances[a.Instance].Pool, maintenanceTime)
	}
}

// restart ends the worker of an instance, and starts another one in a pool after d.
func (s *sim) restart(instance, pool string, d time.Duration) {
	row := s.instances[instance]
	old := s.workers[row.Worker]
	if old != nil {
		old.dead = true
	}
	former := cmp.Or(old, s.parked[instance])
	if former != nil {
		s.operatedAt[former.m.Id] = s.now
	}
	row.Up, row.Pool, row.Worker = false, pool, ""
	s.scheduleLasting(d, func() {
		row.Up = true
		switch {
		case pool == "spare":
			s.parked[instance] = former
		case s.keepsAllIDs && former != nil || old != nil && s.keepsID != nil && s.keepsID(instance):
			s.startWorkerAs(instance, former.m.Id, former.m.Address)
		default:
			s.startWorker(instance)
		}
	})
}

// crash ends a worker without notice. Its instance boots another one with the same address after d.
func (s *sim) crash(w *fakeWorker, d time.Duration) {
	if w.dead {
		return
	}
	w.dead = true
	for name, row := range s.instances {
		if row.Worker == w.m.Id {
			row.Up = false
			s.scheduleLasting(d, func() {
				if s.workers[row.Worker] == w { // An operation may have started another one meanwhile, even with its ID.
					row.Up = true
					id, address := fmt.Sprintf("w-%s-%d", name, s.now.Milliseconds()), w.m.Address
					if s.rebootAs != nil {
						id, address = s.rebootAs(name, w)
					}
					s.startWorkerAs(name, id, address)
				}
			})
		}
	}
}

// running counts the runs of a job on live workers.
func (s *sim) running(job string) int {
	n := 0
	for _, w := range s.workers {
		for task := range w.runs {
			if !w.dead && strings.HasPrefix(task, job+".") {
				n++
			}
		}
	}
	return n
}
