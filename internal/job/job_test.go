package job_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

var small = kerneltest.Shape{Pools: 2, PerPool: 6, Teams: 3, Processors: 16, MemoryMiB: 64 << 10}

const queue = "queue-0"

// Guards against a job that is lost, or a non-idempotent one that starts twice, when the leader changes or a command
// is lost at any step, with and without lost answers.
func TestStartSurvivesLeaderChangeAtEachStep(t *testing.T) {
	t.Parallel()
	for _, loss := range []float64{0, 0.5} {
		for at := uint64(1); at <= 14; at++ {
			for _, lose := range []bool{false, true} {
				w := newHarness(t, small)
				w.lose = lossy(int64(at), loss)
				if lose {
					w.LoseAt = w.Proposed + at
				} else {
					w.FailAfter = w.Proposed + at
				}
				for n := range 4 {
					w.submit(submission(n, 0, queue, n%2 == 0))
				}
				w.pass(90 * time.Second)
				assert.Equal(t, w.phases()[jobpb.Phase_PHASE_FINISHED], 4, "change at %d, loss %v: %v", at, loss, w.phases())
				w.once()
			}
		}
	}
}

// Guards against outcomes that change after they were committed, reservations that leak, and cancelled tasks that run
// on, when half of all jobs are cancelled at once while some of them end.
func TestCancelHalfOfAllJobs(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	w.lose = lossy(1, 0.3)
	var keys []string
	for n := range 200 {
		keys = append(keys, w.submit(submission(n, n%3, queue, true)))
		w.run[keys[n]] = time.Duration(n%20) * time.Second
	}
	w.pass(5 * time.Second)
	committed := map[string]jobpb.Phase{}
	for range 2 { // each cancellation is sent twice
		for n := 0; n < 200; n += 2 {
			res := w.Must(job.CancelCommand("", kerneltest.Team(n%3), uuidv7(n)))
			j, err := job.DecodeJob(res.Body)
			assert.NilError(t, err)
			if before, ok := committed[keys[n]]; ok {
				assert.Equal(t, j.Phase, before)
			}
			committed[keys[n]] = j.Phase
		}
	}
	w.pass(3 * time.Minute)
	for key, phase := range committed {
		assert.Equal(t, w.job(key).Phase, phase)
	}
	assert.Equal(t, len(w.tasks), 0)
	n := w.phases()
	assert.Equal(t, n[jobpb.Phase_PHASE_FINISHED]+n[jobpb.Phase_PHASE_CANCELLED], 200, "%v", n)
	for _, j := range w.jobs() {
		assert.Equal(t, j.Instance, "")
	}
}

// Guards against a cancellation that overturns a committed end, or a completion that overturns a cancellation.
func TestCancelRacesCompletion(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"cancel", "finish"} {
		w := newHarness(t, small)
		key := w.submit(submission(0, 0, queue, false))
		w.pass(time.Second)
		finish := job.TaskReport{Job: key, Epoch: 1, Outcome: jobpb.Outcome_OUTCOME_FINISHED}
		want := jobpb.Phase_PHASE_FINISHED
		if first == "cancel" {
			want = jobpb.Phase_PHASE_CANCELLED
		} else {
			w.Observe(finish)
		}
		w.Must(job.CancelCommand("", kerneltest.Team(0), uuidv7(0)))
		w.Observe(finish)
		w.Must(job.CancelCommand("", kerneltest.Team(0), uuidv7(0)))
		assert.Equal(t, w.job(key).Phase, want)
		assert.Equal(t, w.job(key).Instance, "")
	}
}

// Guards against jobs that wait for ever because they can't run anywhere.
func TestJobsThatCanNeverRun(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	m := submission(0, 0, queue, true)
	m.Declared.MilliProcessors = 17000
	assert.Equal(t, w.job(w.submit(m)).Phase, jobpb.Phase_PHASE_FAILED)
	poison := w.submit(submission(1, 0, queue, true))
	w.fails = func(key, _ string) bool { return key == poison }
	w.pass(10 * time.Second)
	assert.Equal(t, w.job(poison).Phase, jobpb.Phase_PHASE_FAILED)
	assert.Equal(t, len(w.job(poison).FailedOn), 3)

	cfg := small.Configuration()
	for i := range cfg.Instances {
		cfg.Instances[i].Processors = 8
	}
	w.Configure(cfg)
	for i := range cfg.Instances {
		cfg.Instances[i].Processors = 16
	}
	large := submission(3, 0, kerneltest.Queue(1), true)
	large.Declared.MilliProcessors = 9000
	waiting := w.submit(large)
	assert.Equal(t, w.job(waiting).Phase, jobpb.Phase_PHASE_FAILED, "no instance is large enough")
	w.Configure(cfg)
	waiting = w.submit(submission(4, 0, kerneltest.Queue(1), true))
	for i := range cfg.Instances {
		cfg.Instances[i].Processors = 1
	}
	w.fails = func(string, string) bool { return true }
	w.Configure(cfg)
	w.pass(5 * time.Second)
	assert.Equal(t, w.job(waiting).Phase, jobpb.Phase_PHASE_FAILED, "workers became smaller")

	for _, change := range []func(cfg *fleet.Configuration){
		func(cfg *fleet.Configuration) { cfg.Queues = cfg.Queues[1:] },
		func(cfg *fleet.Configuration) { cfg.Teams = cfg.Teams[1:] },
	} {
		w := newHarness(t, small)
		waiting := submission(0, 0, queue, true)
		w.refuses = func(string, string) bool { return true }
		key := w.submit(waiting)
		cfg := small.Configuration()
		change(cfg)
		w.Configure(cfg)
		w.pass(5 * time.Second)
		assert.Equal(t, w.job(key).Phase, jobpb.Phase_PHASE_FAILED)
		assert.Assert(t, strings.HasSuffix(w.job(key).Reason, "no longer configured"), w.job(key).Reason)
	}
}

// Guards against a worker that takes jobs only to fail them, and against jobs that fail because of one bad worker.
func TestWorkerThatFailsEverything(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	bad := kerneltest.Worker(1)
	w.fails = func(_, instance string) bool { return instance == bad }
	for n := range 60 {
		w.submit(submission(n, n%3, queue, true))
	}
	w.pass(time.Minute)
	assert.Equal(t, w.phases()[jobpb.Phase_PHASE_FINISHED], 60, "%v", w.phases())
	for _, j := range w.jobs() {
		assert.Equal(t, len(j.FailedOn), 0)
	}
	pools, _ := kernel.Lookup[*pool.State](w.Kernel, pool.Name)
	assert.Equal(t, pools.Summary("pool-0").Quarantined, 1)
	w.fails = nil
	w.Must(pool.QuarantineCommand("", bad, false, ""))
	for n := range 30 {
		w.submit(submission(60+n, n%3, queue, true))
	}
	w.pass(time.Second)
	used := false
	for _, running := range w.tasks {
		used = used || running.instance == bad
	}
	assert.Assert(t, used, "the worker gets no work after its quarantine was lifted")
	w.pass(time.Minute)
	// Jobs that fail everywhere must not take out the whole pool.
	w.fails = func(string, string) bool { return true }
	for n := range 30 {
		w.submit(submission(100+n, n%3, queue, true))
	}
	w.pass(2 * time.Minute)
	assert.Equal(t, w.phases()[jobpb.Phase_PHASE_FAILED], 30)
	assert.Assert(t, pools.Summary("pool-0").Quarantined <= 2)
}

// Guards against jobs that fail, or workers that are quarantined, because a worker refused starts before the kernel knew
// of its loss, and against jobs that are refused for ever.
func TestRefusedStarts(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	poison := w.submit(submission(100, 0, queue, false))
	w.refuses = func(key, instance string) bool { return key == poison || instance < kerneltest.Worker(4) }
	for n := range 12 {
		w.submit(submission(n, 0, queue, n%2 == 0))
	}
	w.pass(2 * time.Minute)
	assert.Equal(t, w.phases()[jobpb.Phase_PHASE_FINISHED], 12, "%v", w.phases())
	assert.Equal(t, w.job(poison).Phase, jobpb.Phase_PHASE_FAILED)
	assert.Equal(t, w.starts[poison], 0)
	pools, _ := kernel.Lookup[*pool.State](w.Kernel, pool.Name)
	assert.Equal(t, pools.Summary("pool-0").Quarantined, 0)
}

// Guards against a non-idempotent job that runs again after its worker was lost, and an idempotent one that doesn't.
func TestWorkersLost(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	for n := range 12 {
		key := w.submit(submission(n, 0, queue, n%2 == 0))
		w.run[key] = time.Minute
	}
	w.pass(2 * time.Second)
	w.kill(kerneltest.Worker(0), kerneltest.Worker(3)) // a zone of pool-0
	w.kill(kerneltest.Worker(0))                       // the same fault twice
	w.pass(5 * time.Minute)
	n := w.phases()
	assert.Equal(t, n[jobpb.Phase_PHASE_FINISHED]+n[jobpb.Phase_PHASE_UNKNOWN], 12, "%v", n)
	assert.Equal(t, n[jobpb.Phase_PHASE_UNKNOWN], 2, "the two non-idempotent jobs in the lost zone")
	w.once()
}

// Guards against a team above its upper limit and jobs outside the pool of their queue; Check asserts both.
func TestUpperLimit(t *testing.T) {
	t.Parallel()
	cfg := small.Configuration()
	cfg.Teams[0].UpperLimit = 3
	w := newHarness(t, small)
	w.Configure(cfg)
	for n := range 30 {
		w.submit(submission(n, 0, kerneltest.Queue(n%2), true))
	}
	for range 60 {
		w.pass(time.Second)
		assert.Assert(t, len(w.tasks) <= 3)
	}
	assert.Assert(t, w.phases()[jobpb.Phase_PHASE_FINISHED] >= 15, "%v", w.phases())
}

// Guards against urgent work that starts late in a full pool, whichever means of preemption the platform answers to.
func TestUrgentStartsInTime(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name              string
		idempotent, stuck bool
	}{{"checkpoint", true, false}, {"stop", true, true}, {"throttle", false, true}} {
		w := newHarness(t, small)
		w.stuck = test.stuck
		for n := range 6 {
			m := submission(n, 0, queue, test.idempotent)
			m.Declared.MilliProcessors = 16000
			w.run[w.submit(m)] = time.Hour
		}
		w.pass(time.Minute)
		assert.Equal(t, len(w.tasks), 6)
		urgent := w.submit(submission(100, 1, kerneltest.UrgentQueue(0), false))
		w.pass(3300 * time.Millisecond)
		assert.Equal(t, w.job(urgent).Phase, jobpb.Phase_PHASE_RUNNING, test.name)
		w.pass(time.Minute)
		assert.Equal(t, w.job(urgent).Phase, jobpb.Phase_PHASE_FINISHED, test.name)
		assert.Equal(t, len(w.tasks), 6, test.name)
		w.once()
	}
}

// Guards against a large job that small ones overtake for ever.
func TestLargeJobStarts(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	n := 0
	fill := func() {
		for range 60 {
			m := submission(n, 0, queue, false)
			m.Declared.MilliProcessors = 4000
			w.run[w.submit(m)] = time.Duration(5+n%7) * time.Second
			n++
		}
	}
	fill()
	m := submission(10000, 0, queue, true)
	m.Declared.MilliProcessors = 16000
	large := w.submit(m)
	for range 12 {
		fill()
		w.pass(10 * time.Second)
	}
	assert.Equal(t, w.job(large).Phase, jobpb.Phase_PHASE_FINISHED)
}

// Guards against a second start of a non-idempotent job whose first one got no answer before its worker was lost for a
// moment, and against tasks that run on after their start was given up.
func TestStartWithoutAnswer(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	w.lose = func() bool { return true }
	key := w.submit(submission(0, 0, queue, false))
	w.pass(kerneltest.Tick)
	assert.Equal(t, w.starts[key], 1)
	clear(w.late)
	instance := w.job(key).Instance
	w.kill(instance)
	delete(w.dead, instance)
	w.Observe(pool.InstanceReport{Instance: instance, Healthy: true})
	w.lose = nil
	w.pass(time.Minute)
	assert.Equal(t, w.job(key).Phase, jobpb.Phase_PHASE_UNKNOWN)
	w.once()

	stale := job.TaskRef{Job: key, Epoch: 1}
	w.tasks[key] = &task{ref: stale, instance: instance, end: w.Now + time.Hour}
	w.Observe(job.TaskReports{{Job: key, Epoch: 1, Outcome: jobpb.Outcome_OUTCOME_RUNNING}})
	w.pass(kerneltest.Tick)
	assert.Equal(t, len(w.tasks), 0)
}

// Guards against the start of a job that was cancelled while the start was on its way through the log.
func TestCancelRacesStart(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	w.Must(job.SubmitCommand("", submission(0, 0, queue, true)))
	d := w.Kernel.Decide(w.Now)
	assert.Equal(t, len(d.Commands), 1)
	w.Must(job.CancelCommand("", kerneltest.Team(0), uuidv7(0)))
	assert.ErrorContains(t, w.Apply(d.Commands[0]).Err, "CANCELLED")
	w.pass(time.Second)
	assert.Equal(t, len(w.starts), 0)
}

// Guards against a drain that aborts work whose checkpoint gets no answer.
func TestDrainWaitsForCheckpoint(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	for n := range 6 {
		w.run[w.submit(submission(n, 0, queue, true))] = time.Hour
	}
	w.pass(time.Second)
	w.stuck = true
	w.Must(pool.MoveCommand("", kerneltest.Worker(0), kerneltest.Spare))
	w.pass(5 * time.Minute)
	assert.Equal(t, len(w.tasks), 6)
	assert.Equal(t, w.preempt, 0)
}

// Guards against a drain that leaves idempotent jobs behind, or that interrupts others.
func TestDrainEmptiesInstance(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	for n := range 12 {
		w.run[w.submit(submission(n, 0, queue, n < 6))] = 40 * time.Second
	}
	w.pass(time.Second)
	w.Must(pool.MoveCommand("", kerneltest.Worker(0), kerneltest.Spare))
	w.pass(10 * time.Second)
	pools, _ := kernel.Lookup[*pool.State](w.Kernel, pool.Name)
	place, _ := pools.PoolOf(kerneltest.Worker(0))
	assert.Equal(t, place, "pool-0", "a non-idempotent job still runs")
	w.pass(time.Minute)
	place, _ = pools.PoolOf(kerneltest.Worker(0))
	assert.Equal(t, place, kerneltest.Spare)
	assert.Equal(t, w.phases()[jobpb.Phase_PHASE_FINISHED], 12, "%v", w.phases())
	w.once()
}

// Guards against identifiers that are accepted twice or with other content, and against jobs that must not be accepted.
func TestSubmit(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	m := submission(0, 0, queue, false)
	w.submit(m)
	w.submit(submission(0, 0, queue, false))
	assert.Equal(t, len(w.jobs()), 1)
	for _, test := range []struct {
		change func(m *jobpb.Submit)
		want   string
	}{
		{func(m *jobpb.Submit) { m.Payload = []byte("other") }, "other content"},
		{func(m *jobpb.Submit) { m.Id = "job-1" }, "must be a UUIDv7"},
		{func(m *jobpb.Submit) { m.Id = "a/b" }, "identifier"},
		{func(m *jobpb.Submit) { m.Id = "f" + m.Id[1:] }, "ahead"},
		{func(m *jobpb.Submit) { m.Payload = make([]byte, job.MaxPayloadBytes+1) }, "at most"},
		{func(m *jobpb.Submit) { m.Queue = "none" }, "no queue"},
		{func(m *jobpb.Submit) { m.Team = "none" }, "no team"},
		{func(m *jobpb.Submit) { m.Declared = nil }, "must declare"},
	} {
		m := submission(0, 0, queue, false)
		test.change(m)
		c, err := job.SubmitCommand("", m)
		assert.NilError(t, err)
		assert.ErrorContains(t, w.Apply(c).Err, test.want)
	}
}

// Guards against a non-idempotent job that runs again because its record was dropped to bound the state.
func TestDroppedRecordsStayKnown(t *testing.T) {
	t.Parallel()
	w := newHarness(t, small)
	for n := range 4200 {
		w.Must(job.SubmitCommand("", submission(n, 0, queue, false)))
		w.Must(job.CancelCommand("", kerneltest.Team(0), uuidv7(n)))
	}
	assert.Equal(t, len(w.jobs()), 4096)
	w.FailOver()
	c, err := job.SubmitCommand("", submission(7, 0, queue, false))
	assert.NilError(t, err)
	assert.ErrorContains(t, w.Apply(c).Err, "outcome unknown")
	w.submit(submission(4200, 0, queue, false))
}

// Guards against any order of submissions, cancellations, losses, failing workers, moves, lost answers, stuck checkpoints and
// leader changes that loses a job, starts a non-idempotent one twice or makes replicas differ. Check runs after each
// command.
func TestRandomOrders(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(t, small)
		replica := w.Replicate(false)
		w.lose = lossy(rapid.Int64().Draw(t, "seed"), rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss"))
		n := 0
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				for range rapid.IntRange(1, 20).Draw(t, "jobs") {
					q := rapid.SampledFrom([]string{"queue-0", "urgent-0", "queue-1"}).Draw(t, "queue")
					m := submission(n, n%3, q, rapid.Bool().Draw(t, "idempotent"))
					m.Declared.MilliProcessors = rapid.Int64Range(500, 16000).Draw(t, "size")
					factor := rapid.SampledFrom([]int{1, 10, 100}).Draw(t, "factor") // of a tenth of the declared time
					w.run[w.submit(m)] = time.Duration(factor) * time.Second
					n++
				}
			case 3:
				if n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "job")
					w.Must(job.CancelCommand("", kerneltest.Team(i%3), uuidv7(i)))
				}
			case 4:
				w.kill(kerneltest.Worker(rapid.IntRange(0, 11).Draw(t, "worker")))
			case 5:
				for name := range w.dead {
					delete(w.dead, name)
					w.Observe(pool.InstanceReport{Instance: name, Healthy: true})
				}
			case 6:
				w.stuck = rapid.Bool().Draw(t, "stuck")
				w.FailOver()
			case 7:
				bad := kerneltest.Worker(rapid.IntRange(0, 11).Draw(t, "bad"))
				w.fails = func(_, instance string) bool { return instance == bad }
			case 8: // the other workers of each pool stay, so that every job can run
				name := kerneltest.Worker(rapid.SampledFrom([]int{0, 1, 6, 7}).Draw(t, "moved"))
				to := rapid.SampledFrom([]string{"pool-0", "pool-1", kerneltest.Spare}).Draw(t, "to")
				w.Must(pool.MoveCommand("", name, to))
			case 9:
				w.pass(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * kerneltest.Tick)
			}
			w.once()
		}
		for name := range w.dead {
			delete(w.dead, name)
			w.Observe(pool.InstanceReport{Instance: name, Healthy: true})
		}
		w.stuck, w.lose, w.fails = false, nil, nil
		for range 40 {
			w.pass(30 * time.Second)
			left := 0
			for phase, count := range w.phases() {
				if phase < jobpb.Phase_PHASE_FINISHED {
					left += count
				}
			}
			if left == 0 {
				break
			}
		}
		for _, j := range w.jobs() {
			assert.Assert(t, j.Phase >= jobpb.Phase_PHASE_FINISHED, "job %s is still %v: %s", j.Key, j.Phase, j.Reason)
		}
		w.once()
		w.Same(replica, false)
	})
}
