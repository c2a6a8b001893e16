package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// fixture is a ledger with a queue.
type fixture struct {
	t *testing.T
	*ledger.State
	nowMs int64
	jobs  int // number of submitted jobs
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, State: ledger.New()}
	f.apply(&workloadpb.Command{Term: 1, Change: &workloadpb.Command_LeaseBound{
		LeaseBound: &workloadpb.LeaseBound{LeaseMs: 4800},
	}})
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Document{Document: &workloadpb.Document{
		Version: 1, Pools: []*workloadpb.Pool{{Name: "glass"}},
		Queues: []*workloadpb.Queue{{Name: "glass", Host: "h", Prefix: "/", Pool: "glass", MaxAttempts: 3, Public: true}},
	}}})
	return f
}

func (f *fixture) apply(c *workloadpb.Command) *workloadpb.Response {
	f.nowMs++
	return f.Apply(c, f.nowMs)
}

func (f *fixture) submit(m *workloadpb.Submit) *ledger.Job {
	f.t.Helper()
	f.jobs++
	m.Host, m.Path, m.Spec = "h", "/"+m.Id, "spec"
	r := f.apply(&workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: m}})
	assert.Equal(f.t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
	return f.JobByID(m.Id)
}

func (f *fixture) report(id string, bornMs int64) *ledger.Worker {
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{Worker: &workloadpb.Worker{
		Id: id, Address: "a-" + id, BornMs: bornMs, Pool: "glass",
		Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
	}}}})
	return f.WorkerByID(id)
}

func (f *fixture) assign(k ledger.RunKey, w *ledger.Worker) {
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Assign{Assign: &workloadpb.Assign{
		Assignments: []*workloadpb.Assignment{{Subtask: k.TaskMessage(), Run: k.Run, Worker: w.Number()}},
	}}})
}

func (f *fixture) end(k ledger.RunKey, w *ledger.Worker, how workloadpb.How) {
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Ends{Ends: &workloadpb.Ends{
		Worker: w.Number(), Ends: []*workloadpb.End{{Subtask: k.TaskMessage(), Run: k.Run, How: how}},
	}}})
}

func newStep(count int32) *workloadpb.Step {
	return &workloadpb.Step{
		Count: count, Need: &workloadpb.Resources{Cpu: 500, MemoryMib: 64}, EstimateMs: 100,
	}
}

// Guards against a long-running task that never starts again, and its job shown as completed, after a run was done.
func TestLongRunningTaskWaitsHoweverItEnds(t *testing.T) {
	for how := range int32(len(workloadpb.How_name)) {
		for _, gang := range []bool{false, true} {
			name := workloadpb.How(how).String()
			t.Run(fmt.Sprintf("%s/gang=%t", name, gang), func(t *testing.T) {
				f := newFixture(t)
				w := f.report("w", 1)
				st := newStep(2)
				st.Lasting, st.Gang = true, gang
				j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{st}})
				step := j.Occurrences()[0].Steps[0]
				for run := int32(1); run < 6; run++ {
					for i := range step.Tasks {
						f.assign(step.Tasks[i].Key(run), w)
					}
					assert.Equal(t, step.Waiting(), 0, "run %d", run)
					for i := range step.Tasks {
						f.end(step.Tasks[i].Key(run), w, workloadpb.How(how))
						assert.Equal(t, step.Waiting(), i+1, "run %d", run)
					}
				}
				assert.Equal(t, j.State(), ledger.Running)
				assert.Equal(t, len(f.TakeStops()), 0)
			})
		}
	}
}

// Guards against counters that drift from the tasks and runs that they count, so that a task waits and isn't seen.
func TestCountersMatchTasks(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFixture(t)
			p := &player{fixture: f, r: rand.New(rand.NewPCG(seed, 1))}
			for range 300 {
				p.applyRandomCommand()
				f.checkCounters()
			}
		})
	}
}

// player applies random commands, valid and outdated ones.
type player struct {
	*fixture
	r    *rand.Rand
	keys []ledger.RunKey // all runs that were ever proposed
}

func (p *player) applyRandomCommand() {
	r := p.r
	workers := p.Workers()
	id := fmt.Sprintf("w%d", r.IntN(4))
	switch n := r.IntN(100); {
	case n < 8:
		p.submitRandomJob()
	case n < 16 || len(workers) == 0:
		p.report(id, p.nowMs-int64(r.IntN(30)))
	case n < 19:
		w := workers[r.IntN(len(workers))]
		p.apply(&workloadpb.Command{Change: &workloadpb.Command_Leave{
			Leave: &workloadpb.Leave{Id: w.ID(), BornMs: w.StartedMs()},
		}})
	case n < 60:
		if k, ok := p.randomTask(); ok {
			p.keys = append(p.keys, k)
			p.assign(k, workers[r.IntN(len(workers))])
		}
	case n < 85:
		w := workers[r.IntN(len(workers))]
		for _, k := range p.keys {
			if w.Runs()[k] != nil && r.IntN(2) == 0 {
				p.end(k, w, p.randomHow())
				return
			}
		}
	case n < 90:
		if len(p.keys) > 0 {
			p.end(p.keys[r.IntN(len(p.keys))], workers[r.IntN(len(workers))], p.randomHow())
		}
	case n < 92:
		if jobs := p.ActiveJobs(); len(jobs) > 0 {
			id := jobs[r.IntN(len(jobs))].ID
			p.apply(&workloadpb.Command{Change: &workloadpb.Command_Cancel{
				Cancel: &workloadpb.Cancel{Host: "h", Path: "/" + id, Id: id},
			}})
		}
	case n < 96:
		m := &workloadpb.BeginOccurrences{}
		for _, j := range p.ActiveJobs() {
			if n, _, ok := j.NextDue(); ok {
				m.Jobs, m.Occurrences = append(m.Jobs, j.Number), append(m.Occurrences, n)
			}
		}
		p.apply(&workloadpb.Command{Change: &workloadpb.Command_Occur{Occur: m}})
	case n < 98:
		p.apply(&workloadpb.Command{Change: &workloadpb.Command_Expire{
			Expire: &workloadpb.Expire{Jobs: p.EndedJobs(p.nowMs)},
		}, Term: 1, SteadyMs: p.nowMs})
	default:
		p.restoreFromSnapshot()
	}
}

func (p *player) randomHow() workloadpb.How {
	return workloadpb.How(p.r.IntN(len(workloadpb.How_name)))
}

func (p *player) submitRandomJob() {
	m := &workloadpb.Submit{Id: fmt.Sprintf("j%d", p.jobs)}
	if p.r.IntN(3) == 0 {
		m.MaxRuns, m.IntervalMs = 3, 10
	}
	for i := range 1 + p.r.IntN(2) {
		st := newStep(int32(1 + p.r.IntN(4)))
		st.Gang, st.Speculative, st.Lasting = p.r.IntN(3) == 0, p.r.IntN(3) == 0, p.r.IntN(3) == 0
		if i > 0 && p.r.IntN(2) == 0 {
			st.After = []int32{0}
		}
		m.Steps = append(m.Steps, st)
	}
	p.submit(m)
}

// randomTask returns the key of the next run of a task.
func (p *player) randomTask() (ledger.RunKey, bool) {
	var list []*ledger.Task
	for _, j := range p.ActiveJobs() {
		for _, o := range j.Occurrences() {
			for _, st := range o.Steps {
				for i := range st.Tasks {
					list = append(list, &st.Tasks[i])
				}
			}
		}
	}
	if len(list) == 0 {
		return ledger.RunKey{}, false
	}
	t := list[p.r.IntN(len(list))]
	return t.Key(t.LastRun + int32(p.r.IntN(3))), true
}

// restoreFromSnapshot continues with a copy of the state, and checks that the copy has the same snapshot.
func (p *player) restoreFromSnapshot() {
	p.t.Helper()
	data, err := p.Snapshot()
	assert.NilError(p.t, err)
	other := ledger.New()
	assert.NilError(p.t, other.Restore(data))
	assert.Equal(p.t, other.JobBytes(), p.JobBytes())
	again, err := other.Snapshot()
	assert.NilError(p.t, err)
	assert.DeepEqual(p.t, data, again)
	p.State = other
}

// checkCounters compares counters with a recount.
func (f *fixture) checkCounters() {
	f.t.Helper()
	usage := map[string]ledger.Resources{}
	used := map[*ledger.Worker]ledger.Resources{}
	runs := map[*ledger.Worker]int{}
	for n := range f.jobs {
		j := f.Job(uint64(n + 1))
		if j == nil {
			continue
		}
		active := 0
		for _, o := range j.Occurrences() {
			for _, st := range o.Steps {
				waiting, done := 0, 0
				for i := range st.Tasks {
					task := &st.Tasks[i]
					if task.Done {
						done++
					} else if len(task.ActiveRuns) == 0 {
						waiting++
					}
					active += len(task.ActiveRuns)
					for _, a := range task.ActiveRuns {
						assert.Assert(f.t, !a.Worker.HasEnded(), "%v on an ended worker", task.Key(a.Run))
						assert.Assert(f.t, a.Worker.Runs()[task.Key(a.Run)] == task, "%v", task.Key(a.Run))
						runs[a.Worker]++
						used[a.Worker] = used[a.Worker].Plus(ledger.RequiredCapacity(st.Step))
						usage[j.Account] = usage[j.Account].Plus(ledger.ResourcesOf(st.Step.Need))
					}
				}
				assert.Equal(f.t, st.Waiting(), waiting, "job %s, step %d", j.ID, st.Number)
				assert.Equal(f.t, st.Done(), done == len(st.Tasks), "job %s, step %d", j.ID, st.Number)
				assert.Assert(f.t, !st.Step.Lasting || done == 0, "a long-running task of job %s is done", j.ID)
			}
		}
		assert.Equal(f.t, j.ActiveRuns(), active, "job %s", j.ID)
	}
	for _, w := range f.Workers() {
		assert.Equal(f.t, w.Used(), used[w], "worker %s", w.ID())
		assert.Equal(f.t, len(w.Runs()), runs[w], "worker %s", w.ID())
	}
	assert.Equal(f.t, f.Usage(""), usage[""])
}

// Guards against a bound of leases that is lost with a snapshot, or that a later leader who recorded none inherits.
func TestLeaseBoundBelongsToTerm(t *testing.T) {
	f := newFixture(t)
	bound := &workloadpb.Command_LeaseBound{LeaseBound: &workloadpb.LeaseBound{LeaseMs: 4800, FullLeaseAgeMs: 500}}
	f.apply(&workloadpb.Command{Change: bound, Term: 3, SteadyMs: 100})
	data, err := f.Snapshot()
	assert.NilError(t, err)
	restored := ledger.New()
	assert.NilError(t, restored.Restore(data))
	for _, s := range []*ledger.State{f.State, restored} {
		assert.Equal(t, s.ClockTerm(), uint64(3))
		assert.Equal(t, s.LeaseBound(3), int64(4800))
		assert.Equal(t, s.FullLeaseAge(3), int64(500))
		s.Apply(&workloadpb.Command{
			Change: &workloadpb.Command_Expire{Expire: &workloadpb.Expire{}}, Term: 4, SteadyMs: 200,
		}, f.nowMs)
		assert.Equal(t, s.ClockTerm(), uint64(4))
		assert.Equal(t, s.LeaseBound(4), int64(0))
		assert.Equal(t, s.FullLeaseAge(4), int64(0))
		s.Apply(&workloadpb.Command{
			Change: &workloadpb.Command_LeaseBound{LeaseBound: &workloadpb.LeaseBound{LeaseMs: 4800}}, Term: 5, SteadyMs: 300,
		}, f.nowMs)
		assert.Equal(t, s.LeaseBound(5), int64(4800))
		assert.Equal(t, s.FullLeaseAge(5), int64(0), "an earlier version records no age")
	}
	older, err := proto.Marshal(&workloadpb.State{ClockMs: 5, ClockTerm: 3, ClockSteadyMs: 100})
	assert.NilError(t, err)
	assert.NilError(t, restored.Restore(older))
	assert.Equal(t, restored.LeaseBound(3), int64(0))
}

// Guards against replicas that derive different states from entries of an earlier version, which ended long-running
// tasks.
func TestEarlierEntriesKeepTheirMeaning(t *testing.T) {
	s := ledger.New()
	f := &fixture{t: t, State: s}
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Document{Document: &workloadpb.Document{
		Version: 1, Pools: []*workloadpb.Pool{{Name: "glass"}},
		Queues: []*workloadpb.Queue{{Name: "glass", Host: "h", Prefix: "/", Pool: "glass", Public: true}},
	}}})
	w := f.report("w", 1)
	st := newStep(1)
	st.Lasting = true
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{st}})
	k := j.Occurrences()[0].Steps[0].Tasks[0].Key(1)
	f.assign(k, w)
	f.end(k, w, workloadpb.How_HOW_DONE)
	assert.Equal(t, j.State(), ledger.Completed)
}
