package job_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
)

func TestMain(m *testing.M) { kerneltest.Main(m, 20) }

// harness runs a kernel against an in-memory fake of the platform.
type harness struct {
	*kerneltest.Harness
	tb                 kerneltest.TB
	tasks              map[string]*task                 // running tasks by job
	outcomes           map[job.TaskRef]jobpb.Outcome    // of the tasks that have ended or never run
	startCount         map[string]int                   // by job, as the platform ran them
	runTime            map[string]time.Duration         // by job; 10 s if it is missing
	events             []kernel.Event                   // for the next tick
	lateEvents         map[time.Duration][]kernel.Event // by time of arrival
	unreachable        map[string]bool                  // instances that don't respond
	failsTask          func(job, instance string) bool  // nil: no task fails
	rejectsStart       func(job, instance string) bool  // nil: no start is rejected
	losesReport        func() bool                      // nil: no report is lost
	ignoresCheckpoints bool                             // checkpoint actions get no response
	preemptions        int                              // number of checkpoints and throttle changes of running tasks
	moves              int                              // number of starts on another instance than the one before
	lastInstance       map[string]string                // by job
	firstStart         map[string]time.Duration         // time by job
}

type task struct {
	ref       job.TaskRef
	instance  string
	endAt     time.Duration
	throttled bool
}

func newHarness(tb kerneltest.TB, shape kerneltest.FleetShape) *harness {
	w := &harness{
		tb: tb, tasks: map[string]*task{}, outcomes: map[job.TaskRef]jobpb.Outcome{}, startCount: map[string]int{},
		runTime: map[string]time.Duration{}, unreachable: map[string]bool{}, lastInstance: map[string]string{},
		lateEvents: map[time.Duration][]kernel.Event{},
		firstStart: map[string]time.Duration{},
	}
	w.Harness = kerneltest.New(tb, nil)
	w.RunAction = w.handleAction
	w.Configure(shape.Configuration())
	w.Advance(kerneltest.Tick)
	return w
}

func (w *harness) report(ref job.TaskRef, outcome jobpb.Outcome, throttled bool) {
	ev := job.TaskReport{Job: ref.Job, Epoch: ref.Epoch, Outcome: outcome, Throttled: throttled}
	if w.losesReport == nil || !w.losesReport() {
		w.events = append(w.events, ev)
	} else if outcome != jobpb.Outcome_OUTCOME_REFUSED && outcome != jobpb.Outcome_OUTCOME_UNKNOWN {
		// The driver polls for changes of tasks, so that the report only arrives late.
		w.lateEvents[w.Now+2*time.Second] = append(w.lateEvents[w.Now+2*time.Second], ev)
	}
}

func (w *harness) taskState(ref job.TaskRef) (jobpb.Outcome, *task) {
	if t := w.tasks[ref.Job]; t != nil && t.ref == ref {
		return jobpb.Outcome_OUTCOME_RUNNING, t
	}
	if o, ok := w.outcomes[ref]; ok {
		return o, nil
	}
	return jobpb.Outcome_OUTCOME_UNKNOWN, nil
}

func (w *harness) endTask(ref job.TaskRef, outcome jobpb.Outcome) {
	w.outcomes[ref] = outcome
	if t := w.tasks[ref.Job]; t != nil && t.ref == ref {
		delete(w.tasks, ref.Job)
	}
}

func (w *harness) handleAction(a kernel.Action) {
	switch a := a.(type) {
	case job.StartTask:
		w.startTask(a)
	case job.CheckpointTask:
		ref := job.TaskRef(a)
		if o, t := w.taskState(ref); t == nil {
			w.report(ref, o, false)
		} else if !w.ignoresCheckpoints && !w.unreachable[t.instance] {
			w.preemptions++
			w.runTime[ref.Job] = t.endAt - w.Now
			w.endTask(ref, jobpb.Outcome_OUTCOME_CHECKPOINTED)
			w.report(ref, jobpb.Outcome_OUTCOME_CHECKPOINTED, false)
		}
	case job.ThrottleTask:
		ref := job.TaskRef{Job: a.Job, Epoch: a.Epoch}
		o, t := w.taskState(ref)
		if t != nil && t.throttled != a.On {
			t.throttled = a.On
			w.preemptions++
		}
		w.report(ref, o, a.On)
	case job.StopTask:
		ref := job.TaskRef(a)
		o, t := w.taskState(ref)
		if t != nil && w.unreachable[t.instance] {
			return
		}
		if t != nil || o == jobpb.Outcome_OUTCOME_UNKNOWN {
			o = jobpb.Outcome_OUTCOME_STOPPED
			w.endTask(ref, o)
		}
		w.report(ref, o, false)
	case job.WatchTasks:
		for _, ref := range a.Tasks {
			o, t := w.taskState(ref)
			w.report(ref, o, t != nil && t.throttled)
		}
	}
}

func (w *harness) startTask(a job.StartTask) {
	ref := job.TaskRef{Job: a.Job, Epoch: a.Epoch}
	o, t := w.taskState(ref)
	old := w.tasks[a.Job]
	switch {
	case w.unreachable[a.Instance]:
		return
	case t != nil || o != jobpb.Outcome_OUTCOME_UNKNOWN:
		w.report(ref, o, false)
		return
	case old != nil && old.ref.Epoch > a.Epoch:
		w.report(ref, jobpb.Outcome_OUTCOME_REFUSED, false)
		return
	}
	if w.rejectsStart != nil && w.rejectsStart(a.Job, a.Instance) {
		w.outcomes[ref] = jobpb.Outcome_OUTCOME_REFUSED
		w.report(ref, jobpb.Outcome_OUTCOME_REFUSED, false)
		return
	}
	if w.startCount[a.Job]++; w.startCount[a.Job] == 1 {
		w.firstStart[a.Job] = w.Now
	} else if w.lastInstance[a.Job] != a.Instance {
		w.moves++
	}
	w.lastInstance[a.Job] = a.Instance
	if w.failsTask != nil && w.failsTask(a.Job, a.Instance) {
		w.endTask(ref, jobpb.Outcome_OUTCOME_FAILED)
		w.report(ref, jobpb.Outcome_OUTCOME_FAILED, false)
		return
	}
	run, ok := w.runTime[a.Job]
	if !ok {
		run = 10 * time.Second
	}
	w.tasks[a.Job] = &task{ref: ref, instance: a.Instance, endAt: w.Now + run}
	w.report(ref, jobpb.Outcome_OUTCOME_STARTED, false)
}

// runFor advances the clock tick by tick, ends tasks and delivers reports.
func (w *harness) runFor(d time.Duration) {
	for end := w.Now + d; w.Now < end; {
		w.Advance(kerneltest.Tick)
		for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
			if t := w.tasks[key]; w.Now >= t.endAt && !w.unreachable[t.instance] {
				w.endTask(t.ref, jobpb.Outcome_OUTCOME_FINISHED)
				w.report(t.ref, jobpb.Outcome_OUTCOME_FINISHED, false)
			}
		}
		events := slices.Concat(w.events, w.lateEvents[w.Now])
		w.events = nil
		delete(w.lateEvents, w.Now)
		for _, ev := range events {
			w.Observe(ev)
		}
	}
}

// loseInstances makes instances unreachable: the platform reports them as lost, and their tasks end without an outcome.
func (w *harness) loseInstances(names ...string) {
	for _, name := range names {
		w.unreachable[name] = true
		for _, t := range w.tasks {
			if t.instance == name {
				delete(w.tasks, t.ref.Job)
			}
		}
		w.Observe(pool.InstanceReport{Instance: name})
	}
}

func uuidv7(n int) string { return fmt.Sprintf("00000000-%04x-7000-8000-%012x", 1+n, n) }

// submission returns a job of 2 processors and 1 GiB with a UUIDv7 made from n.
func submission(n, team int, queue string, idempotent bool) *jobpb.Submit {
	return &jobpb.Submit{
		Id: uuidv7(n), Team: kerneltest.Team(team), Queue: queue, Idempotent: idempotent,
		Declared:    &jobpb.Resources{MilliProcessors: 2000, MemoryMib: 1024},
		ExpectedRun: int64(10 * time.Second), Payload: []byte("payload"),
	}
}

func (w *harness) submit(m *jobpb.Submit) string {
	w.MustApply(job.SubmitCommand("", m))
	w.Observe(nil)
	return job.Key(m.Team, m.Id)
}

func (w *harness) allJobs() []*jobpb.Job { return w.listJobs(false) }

func (w *harness) listJobs(live bool) []*jobpb.Job {
	q, err := job.TeamQuery("", live)
	if err != nil {
		w.tb.Fatalf("encode query: %v", err)
	}
	body, err := w.Kernel.Query(job.Name, q)
	if err != nil {
		w.tb.Fatalf("query: %v", err)
	}
	list, err := job.DecodeJobs(body)
	if err != nil {
		w.tb.Fatalf("decode jobs: %v", err)
	}
	return list
}

func (w *harness) job(key string) *jobpb.Job {
	for _, j := range w.allJobs() {
		if j.Key == key {
			return j
		}
	}
	w.tb.Fatalf("no job %s", key)
	return nil
}

// countPhases returns the number of jobs by phase.
func (w *harness) countPhases() map[jobpb.Phase]int {
	n := map[jobpb.Phase]int{}
	for _, j := range w.allJobs() {
		n[j.Phase]++
	}
	return n
}

// checkStartedOnce verifies that no non-idempotent job was started twice.
func (w *harness) checkStartedOnce() {
	for _, j := range w.allJobs() {
		if !j.Submit.Idempotent && w.startCount[j.Key] > 1 {
			w.tb.Fatalf("job %s was started %d times", j.Key, w.startCount[j.Key])
		}
	}
}

// randomLoss returns a function that returns true at the given rate.
func randomLoss(seed int64, rate float64) func() bool {
	rnd := rand.New(rand.NewSource(seed))
	return func() bool { return rnd.Float64() < rate }
}

// shareDistances returns the difference between what each team of a pool runs and its ideal max-min share for the same
// demand, as a fraction of the pool.
func shareDistances(list []*jobpb.Job, shape kerneltest.FleetShape, pool int) map[string]float64 {
	total := placement.Resources{
		MilliProcessors: int64(shape.PerPool*shape.Processors) * 1000, MemoryMiB: int64(shape.PerPool * shape.MemoryMiB),
		Slots: int64(shape.PerPool) * 8,
	}
	used, demands := make([]placement.Resources, shape.Teams), make([]placement.Demand, shape.Teams)
	for i := range demands {
		demands[i].Weight = []int{1, 2, 4}[i%3]
	}
	for _, j := range list {
		if j.Submit.Queue != kerneltest.Queue(pool) && j.Submit.Queue != kerneltest.UrgentQueue(pool) {
			continue
		}
		var i int
		if _, err := fmt.Sscanf(j.Submit.Team, "team-%d", &i); err != nil {
			continue
		}
		d := j.Submit.Declared
		declared := placement.Resources{MilliProcessors: d.MilliProcessors, MemoryMiB: d.MemoryMib, Slots: 1}
		switch {
		case j.Instance != "" && j.Phase < jobpb.Phase_PHASE_FINISHED:
			used[i], demands[i].Amount = used[i].Add(declared), demands[i].Amount.Add(declared)
		case j.Phase == jobpb.Phase_PHASE_WAITING:
			demands[i].Amount = demands[i].Amount.Add(declared)
		}
	}
	distances := map[string]float64{}
	for i, satisfied := range placement.MaxMin(total, demands) {
		d := used[i].DominantShare(total) - satisfied*demands[i].Amount.DominantShare(total)
		distances[kerneltest.Team(i)] = max(d, -d)
	}
	return distances
}
