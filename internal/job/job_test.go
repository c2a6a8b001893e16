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

var smallShape = kerneltest.FleetShape{Pools: 2, PerPool: 6, Teams: 3, Processors: 16, MemoryMiB: 64 << 10}

const firstQueue = "queue-0"

// Guards against a lost job, or a non-idempotent one that starts twice, when the leader changes or a command is lost
// after any number of commands, with and without lost reports.
func TestStartSurvivesLeaderChange(t *testing.T) {
	t.Parallel()
	for _, reportLoss := range []float64{0, 0.5} {
		for commandCount := uint64(1); commandCount <= 14; commandCount++ {
			for _, losesCommand := range []bool{false, true} {
				w := newHarness(t, smallShape)
				w.losesReport = randomLoss(int64(commandCount), reportLoss)
				if losesCommand {
					w.FailOverBefore = w.Proposed + commandCount
				} else {
					w.FailOverAfter = w.Proposed + commandCount
				}
				for n := range 4 {
					w.submit(submission(n, 0, firstQueue, n%2 == 0))
				}
				w.runFor(90 * time.Second)
				assert.Equal(t, w.countPhases()[jobpb.Phase_PHASE_FINISHED], 4,
					"change after %d commands, report loss %v: %v", commandCount, reportLoss, w.countPhases())
				w.checkStartedOnce()
			}
		}
	}
}

// Guards against outcomes that change after they were committed, leaked quota, and canceled tasks that keep running,
// when half of all jobs are canceled while some of them end.
func TestCancelHalfOfAllJobs(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	w.losesReport = randomLoss(1, 0.3)
	var keys []string
	for n := range 200 {
		keys = append(keys, w.submit(submission(n, n%3, firstQueue, true)))
		w.runTime[keys[n]] = time.Duration(n%20) * time.Second
	}
	w.runFor(5 * time.Second)
	committed := map[string]jobpb.Phase{}
	for range 2 { // each cancellation is sent twice
		for n := 0; n < 200; n += 2 {
			res := w.MustApply(job.CancelCommand("", kerneltest.Team(n%3), uuidv7(n)))
			j, err := job.DecodeJob(res.Body)
			assert.NilError(t, err)
			if before, ok := committed[keys[n]]; ok {
				assert.Equal(t, j.Phase, before)
			}
			committed[keys[n]] = j.Phase
		}
	}
	w.runFor(3 * time.Minute)
	for key, phase := range committed {
		assert.Equal(t, w.job(key).Phase, phase)
	}
	assert.Equal(t, len(w.tasks), 0)
	n := w.countPhases()
	assert.Equal(t, n[jobpb.Phase_PHASE_FINISHED]+n[jobpb.Phase_PHASE_CANCELLED], 200, "%v", n)
	for _, j := range w.allJobs() {
		assert.Equal(t, j.Instance, "")
	}
}

// Guards against a cancellation that replaces a committed outcome, and a completion that replaces a cancellation.
func TestCancelRacesCompletion(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"cancel", "finish"} {
		w := newHarness(t, smallShape)
		key := w.submit(submission(0, 0, firstQueue, false))
		w.runFor(time.Second)
		finishReport := job.TaskReport{Job: key, Epoch: 1, Outcome: jobpb.Outcome_OUTCOME_FINISHED}
		want := jobpb.Phase_PHASE_FINISHED
		if first == "cancel" {
			want = jobpb.Phase_PHASE_CANCELLED
		} else {
			w.Observe(finishReport)
		}
		w.MustApply(job.CancelCommand("", kerneltest.Team(0), uuidv7(0)))
		w.Observe(finishReport)
		w.MustApply(job.CancelCommand("", kerneltest.Team(0), uuidv7(0)))
		assert.Equal(t, w.job(key).Phase, want)
		assert.Equal(t, w.job(key).Instance, "")
	}
}

// Guards against jobs that wait forever because they can't run on any instance.
func TestJobsThatCanNeverRun(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	m := submission(0, 0, firstQueue, true)
	m.Declared.MilliProcessors = 17000
	assert.Equal(t, w.job(w.submit(m)).Phase, jobpb.Phase_PHASE_FAILED)
	failing := w.submit(submission(1, 0, firstQueue, true))
	w.failsTask = func(key, _ string) bool { return key == failing }
	w.runFor(10 * time.Second)
	assert.Equal(t, w.job(failing).Phase, jobpb.Phase_PHASE_FAILED)
	assert.Equal(t, len(w.job(failing).FailedOn), 3)

	cfg := smallShape.Configuration()
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
	w.failsTask = func(string, string) bool { return true }
	w.Configure(cfg)
	w.runFor(5 * time.Second)
	assert.Equal(t, w.job(waiting).Phase, jobpb.Phase_PHASE_FAILED, "workers became smaller")

	for _, change := range []func(cfg *fleet.Configuration){
		func(cfg *fleet.Configuration) { cfg.Queues = cfg.Queues[1:] },
		func(cfg *fleet.Configuration) { cfg.Teams = cfg.Teams[1:] },
	} {
		w := newHarness(t, smallShape)
		waiting := submission(0, 0, firstQueue, true)
		w.rejectsStart = func(string, string) bool { return true }
		key := w.submit(waiting)
		cfg := smallShape.Configuration()
		change(cfg)
		w.Configure(cfg)
		w.runFor(5 * time.Second)
		assert.Equal(t, w.job(key).Phase, jobpb.Phase_PHASE_FAILED)
		assert.Assert(t, strings.HasSuffix(w.job(key).Reason, "no longer configured"), w.job(key).Reason)
	}
}

// Guards against a worker that fails all jobs and still gets more, and against jobs that fail because of one such
// worker.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	bad := kerneltest.Worker(1)
	w.failsTask = func(_, instance string) bool { return instance == bad }
	for n := range 60 {
		w.submit(submission(n, n%3, firstQueue, true))
	}
	w.runFor(time.Minute)
	assert.Equal(t, w.countPhases()[jobpb.Phase_PHASE_FINISHED], 60, "%v", w.countPhases())
	for _, j := range w.allJobs() {
		assert.Equal(t, len(j.FailedOn), 0)
	}
	pools, _ := kernel.Lookup[*pool.State](w.Kernel, pool.Name)
	assert.Equal(t, pools.Summary("pool-0").Quarantined, 1)
	w.failsTask = nil
	w.MustApply(pool.QuarantineCommand("", bad, false, ""))
	for n := range 30 {
		w.submit(submission(60+n, n%3, firstQueue, true))
	}
	w.runFor(time.Second)
	isUsed := false
	for _, running := range w.tasks {
		isUsed = isUsed || running.instance == bad
	}
	assert.Assert(t, isUsed, "the worker gets no jobs after its quarantine ended")
	w.runFor(time.Minute)
	// Jobs that fail on every worker must not quarantine the whole pool.
	w.failsTask = func(string, string) bool { return true }
	for n := range 30 {
		w.submit(submission(100+n, n%3, firstQueue, true))
	}
	w.runFor(2 * time.Minute)
	assert.Equal(t, w.countPhases()[jobpb.Phase_PHASE_FAILED], 30)
	assert.Assert(t, pools.Summary("pool-0").Quarantined <= 2)
}

// Guards against jobs that fail and workers that are quarantined because a worker rejected starts before the kernel
// learned of its loss, and against a job whose start is rejected and retried forever.
func TestRejectedStarts(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	rejected := w.submit(submission(100, 0, firstQueue, false))
	w.rejectsStart = func(key, instance string) bool { return key == rejected || instance < kerneltest.Worker(4) }
	for n := range 12 {
		w.submit(submission(n, 0, firstQueue, n%2 == 0))
	}
	w.runFor(2 * time.Minute)
	assert.Equal(t, w.countPhases()[jobpb.Phase_PHASE_FINISHED], 12, "%v", w.countPhases())
	assert.Equal(t, w.job(rejected).Phase, jobpb.Phase_PHASE_FAILED)
	assert.Equal(t, w.startCount[rejected], 0)
	pools, _ := kernel.Lookup[*pool.State](w.Kernel, pool.Name)
	assert.Equal(t, pools.Summary("pool-0").Quarantined, 0)
}

// Guards against a non-idempotent job that runs again after its worker was lost, and an idempotent one that doesn't.
func TestLostWorkers(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	for n := range 12 {
		key := w.submit(submission(n, 0, firstQueue, n%2 == 0))
		w.runTime[key] = time.Minute
	}
	w.runFor(2 * time.Second)
	w.loseInstances(kerneltest.Worker(0), kerneltest.Worker(3)) // a zone of pool-0
	w.loseInstances(kerneltest.Worker(0))                       // reported twice
	w.runFor(5 * time.Minute)
	n := w.countPhases()
	assert.Equal(t, n[jobpb.Phase_PHASE_FINISHED]+n[jobpb.Phase_PHASE_UNKNOWN], 12, "%v", n)
	assert.Equal(t, n[jobpb.Phase_PHASE_UNKNOWN], 2, "the two non-idempotent jobs in the lost zone")
	w.checkStartedOnce()
}

// Guards against a team above its upper limit and jobs outside the pool of their queue. Check verifies both.
func TestUpperLimit(t *testing.T) {
	t.Parallel()
	cfg := smallShape.Configuration()
	cfg.Teams[0].UpperLimit = 3
	w := newHarness(t, smallShape)
	w.Configure(cfg)
	for n := range 30 {
		w.submit(submission(n, 0, kerneltest.Queue(n%2), true))
	}
	for range 60 {
		w.runFor(time.Second)
		assert.Assert(t, len(w.tasks) <= 3)
	}
	assert.Assert(t, w.countPhases()[jobpb.Phase_PHASE_FINISHED] >= 15, "%v", w.countPhases())
}

// Guards against an urgent job that starts late in a full pool, whichever means of preemption has an effect.
func TestUrgentJobStartsInTime(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name              string
		idempotent, stuck bool
	}{{"checkpoint", true, false}, {"stop", true, true}, {"throttle", false, true}} {
		w := newHarness(t, smallShape)
		w.ignoresCheckpoints = test.stuck
		for n := range 6 {
			m := submission(n, 0, firstQueue, test.idempotent)
			m.Declared.MilliProcessors = 16000
			w.runTime[w.submit(m)] = time.Hour
		}
		w.runFor(time.Minute)
		assert.Equal(t, len(w.tasks), 6)
		urgent := w.submit(submission(100, 1, kerneltest.UrgentQueue(0), false))
		w.runFor(3300 * time.Millisecond)
		assert.Equal(t, w.job(urgent).Phase, jobpb.Phase_PHASE_RUNNING, test.name)
		w.runFor(time.Minute)
		assert.Equal(t, w.job(urgent).Phase, jobpb.Phase_PHASE_FINISHED, test.name)
		assert.Equal(t, len(w.tasks), 6, test.name)
		w.checkStartedOnce()
	}
}

// Guards against a large job that never starts because small ones take all capacity that becomes free.
func TestLargeJobIsNotStarved(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	n := 0
	submitSmallJobs := func() {
		for range 60 {
			m := submission(n, 0, firstQueue, false)
			m.Declared.MilliProcessors = 4000
			w.runTime[w.submit(m)] = time.Duration(5+n%7) * time.Second
			n++
		}
	}
	submitSmallJobs()
	m := submission(10000, 0, firstQueue, true)
	m.Declared.MilliProcessors = 16000
	large := w.submit(m)
	for range 12 {
		submitSmallJobs()
		w.runFor(10 * time.Second)
	}
	assert.Equal(t, w.job(large).Phase, jobpb.Phase_PHASE_FINISHED)
}

// Guards against a second start of a non-idempotent job whose worker was lost briefly before the first start was
// acknowledged, and against tasks that keep running after their run was given up.
func TestStartWithoutResponse(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	w.losesReport = func() bool { return true }
	key := w.submit(submission(0, 0, firstQueue, false))
	w.runFor(kerneltest.Tick)
	assert.Equal(t, w.startCount[key], 1)
	clear(w.lateEvents)
	instance := w.job(key).Instance
	w.loseInstances(instance)
	delete(w.unreachable, instance)
	w.Observe(pool.InstanceReport{Instance: instance, Healthy: true})
	w.losesReport = nil
	w.runFor(time.Minute)
	assert.Equal(t, w.job(key).Phase, jobpb.Phase_PHASE_UNKNOWN)
	w.checkStartedOnce()

	stale := job.TaskRef{Job: key, Epoch: 1}
	w.tasks[key] = &task{ref: stale, instance: instance, endAt: w.Now + time.Hour}
	w.Observe(job.TaskReports{{Job: key, Epoch: 1, Outcome: jobpb.Outcome_OUTCOME_RUNNING}})
	w.runFor(kerneltest.Tick)
	assert.Equal(t, len(w.tasks), 0)
}

// Guards against the start of a job that was canceled after the start was proposed and before it was applied.
func TestCancelRacesStart(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	w.MustApply(job.SubmitCommand("", submission(0, 0, firstQueue, true)))
	d := w.Kernel.Decide(w.Now)
	assert.Equal(t, len(d.Commands), 1)
	w.MustApply(job.CancelCommand("", kerneltest.Team(0), uuidv7(0)))
	assert.ErrorContains(t, w.Apply(d.Commands[0]).Err, "CANCELLED")
	w.runFor(time.Second)
	assert.Equal(t, len(w.startCount), 0)
}

// Guards against a drain that stops or throttles jobs whose checkpoint gets no response.
func TestDrainWaitsForCheckpoint(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	for n := range 6 {
		w.runTime[w.submit(submission(n, 0, firstQueue, true))] = time.Hour
	}
	w.runFor(time.Second)
	w.ignoresCheckpoints = true
	w.MustApply(pool.MoveCommand("", kerneltest.Worker(0), kerneltest.Spare))
	w.runFor(5 * time.Minute)
	assert.Equal(t, len(w.tasks), 6)
	assert.Equal(t, w.preemptions, 0)
}

// Guards against a drain that doesn't move idempotent jobs away, or that interrupts others.
func TestDrainEmptiesInstance(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	for n := range 12 {
		w.runTime[w.submit(submission(n, 0, firstQueue, n < 6))] = 40 * time.Second
	}
	w.runFor(time.Second)
	w.MustApply(pool.MoveCommand("", kerneltest.Worker(0), kerneltest.Spare))
	w.runFor(10 * time.Second)
	pools, _ := kernel.Lookup[*pool.State](w.Kernel, pool.Name)
	place, _ := pools.PoolOf(kerneltest.Worker(0))
	assert.Equal(t, place, "pool-0", "a non-idempotent job still runs")
	w.runFor(time.Minute)
	place, _ = pools.PoolOf(kerneltest.Worker(0))
	assert.Equal(t, place, kerneltest.Spare)
	assert.Equal(t, w.countPhases()[jobpb.Phase_PHASE_FINISHED], 12, "%v", w.countPhases())
	w.checkStartedOnce()
}

// Guards against identifiers that are accepted twice or with other content, and against invalid jobs that are accepted.
func TestSubmit(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	m := submission(0, 0, firstQueue, false)
	w.submit(m)
	w.submit(submission(0, 0, firstQueue, false))
	assert.Equal(t, len(w.allJobs()), 1)
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
		m := submission(0, 0, firstQueue, false)
		test.change(m)
		c, err := job.SubmitCommand("", m)
		assert.NilError(t, err)
		assert.ErrorContains(t, w.Apply(c).Err, test.want)
	}
}

// Guards against a non-idempotent job that is accepted again after its record was dropped to limit the size of the
// state.
func TestSubmitAfterRecordDropped(t *testing.T) {
	t.Parallel()
	w := newHarness(t, smallShape)
	for n := range 4200 {
		w.MustApply(job.SubmitCommand("", submission(n, 0, firstQueue, false)))
		w.MustApply(job.CancelCommand("", kerneltest.Team(0), uuidv7(n)))
	}
	assert.Equal(t, len(w.allJobs()), 4096)
	w.FailOver()
	c, err := job.SubmitCommand("", submission(7, 0, firstQueue, false))
	assert.NilError(t, err)
	assert.ErrorContains(t, w.Apply(c).Err, "outcome unknown")
	w.submit(submission(4200, 0, firstQueue, false))
}

// Guards against any order of submissions, cancellations, losses, failing workers, moves, lost reports, ignored
// checkpoints and leader changes that loses a job, starts a non-idempotent one twice or makes replicas differ. Check
// runs after each command.
func TestRandomCommandOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(t, smallShape)
		replica := w.AddReplica(false)
		w.losesReport = randomLoss(rapid.Int64().Draw(t, "seed"), rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss"))
		n := 0
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				for range rapid.IntRange(1, 20).Draw(t, "jobs") {
					q := rapid.SampledFrom([]string{"queue-0", "urgent-0", "queue-1"}).Draw(t, "queue")
					m := submission(n, n%3, q, rapid.Bool().Draw(t, "idempotent"))
					m.Declared.MilliProcessors = rapid.Int64Range(500, 16000).Draw(t, "size")
					factor := rapid.SampledFrom([]int{1, 10, 100}).Draw(t, "factor") // of a tenth of the declared time
					w.runTime[w.submit(m)] = time.Duration(factor) * time.Second
					n++
				}
			case 3:
				if n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "job")
					w.MustApply(job.CancelCommand("", kerneltest.Team(i%3), uuidv7(i)))
				}
			case 4:
				w.loseInstances(kerneltest.Worker(rapid.IntRange(0, 11).Draw(t, "worker")))
			case 5:
				for name := range w.unreachable {
					delete(w.unreachable, name)
					w.Observe(pool.InstanceReport{Instance: name, Healthy: true})
				}
			case 6:
				w.ignoresCheckpoints = rapid.Bool().Draw(t, "stuck")
				w.FailOver()
			case 7:
				bad := kerneltest.Worker(rapid.IntRange(0, 11).Draw(t, "bad"))
				w.failsTask = func(_, instance string) bool { return instance == bad }
			case 8: // the other workers of each pool stay, so that every job can run
				name := kerneltest.Worker(rapid.SampledFrom([]int{0, 1, 6, 7}).Draw(t, "moved"))
				to := rapid.SampledFrom([]string{"pool-0", "pool-1", kerneltest.Spare}).Draw(t, "to")
				w.MustApply(pool.MoveCommand("", name, to))
			case 9:
				w.runFor(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * kerneltest.Tick)
			}
			w.checkStartedOnce()
		}
		for name := range w.unreachable {
			delete(w.unreachable, name)
			w.Observe(pool.InstanceReport{Instance: name, Healthy: true})
		}
		w.ignoresCheckpoints, w.losesReport, w.failsTask = false, nil, nil
		for range 40 {
			w.runFor(30 * time.Second)
			left := 0
			for phase, count := range w.countPhases() {
				if phase < jobpb.Phase_PHASE_FINISHED {
					left += count
				}
			}
			if left == 0 {
				break
			}
		}
		for _, j := range w.allJobs() {
			assert.Assert(t, j.Phase >= jobpb.Phase_PHASE_FINISHED, "job %s is still %v: %s", j.Key, j.Phase, j.Reason)
		}
		w.checkStartedOnce()
		w.RequireEqual(replica, false)
	})
}
