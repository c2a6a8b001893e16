package schedule

import (
	"cmp"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

const (
	// isolatedFrom is the number of lost workers from which a task runs beside no other run that may crash its worker.
	isolatedFrom = 2
	// longRunningIsolatedFrom is that number for long-running tasks, whose restart can't be put off for long. Before that,
	// they are isolated only where a worker is free already.
	longRunningIsolatedFrom = 3
	// keptFraction divides the number of workers of a pool: so many of them, but one at least, are kept for tasks that must
	// be isolated, while these run and until the worker is free for them.
	keptFraction = 2
)

// taskGroup is a set of waiting tasks of a step that are placed in the same way.
type taskGroup struct {
	step  *ledger.StepRun
	tasks []*ledger.Task
	// suspect groups have lost workers. They are spread, so that a crash tells which of them causes it.
	suspect bool
	// isolated groups run only on workers without unproven runs of other jobs.
	isolated bool
	// prefersIsolation is set if a crash under an isolated run of a task of the group would count.
	prefersIsolation bool
	// lostAt holds the addresses of the workers that were lost under tasks of the group.
	lostAt map[string]bool
	// lateAt holds the IDs of the workers to which late starts of tasks of the group were sent.
	lateAt map[string]bool
	// rack is the preferred rack, and tasksOnWorker the number of tasks of the step by the number of the incarnation.
	rack          string
	tasksOnWorker map[uint64]int
	// kind is the kind of the tasks, avoided the kinds that should not be beside it, and ignoresKinds is set to compare workers
	// without regard to them. diverted is the number of tasks that were placed on other workers because of them.
	kind, avoided uint64
	ignoresKinds  bool
	diverted      int
}

func (g *taskGroup) job() uint64 { return g.step.Occurrence.Job.Number }

// mustBeIsolated reports whether a task may only run isolated.
func mustBeIsolated(t *ledger.Task) bool {
	if t.Step().Step.Lasting {
		return len(t.Losses()) >= longRunningIsolatedFrom
	}
	return len(t.Losses()) >= isolatedFrom
}

// isIsolatedOn reports whether a task that is assigned to a worker is isolated there.
func (g *taskGroup) isIsolatedOn(t *ledger.Task, w *Worker) bool {
	return len(t.Losses()) >= isolatedFrom && countOthers(w.unproven, g.job()) == 0
}

// groupTasks divides the waiting tasks of a step with a pin into groups. The tasks of a gang form one group.
func (in *Input) groupTasks(s *ledger.StepRun, pin string) (isolated, suspect, other taskGroup) {
	isolated = taskGroup{step: s, suspect: true, isolated: true}
	suspect = taskGroup{step: s, suspect: true}
	other = taskGroup{step: s}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		switch {
		case !t.IsWaiting() || t.AwaitsCause(in.ClockMs) || in.pinnedTo(t) != pin:
		case mustBeIsolated(t):
			isolated.tasks = append(isolated.tasks, t)
		case len(t.Losses()) > 0:
			suspect.tasks = append(suspect.tasks, t)
			suspect.prefersIsolation = suspect.prefersIsolation || len(t.Losses()) >= isolatedFrom
		default:
			other.tasks = append(other.tasks, t)
		}
	}
	if s.Step.Gang {
		switch all := slices.Concat(isolated.tasks, suspect.tasks, other.tasks); {
		case len(isolated.tasks) > 0:
			isolated.tasks, suspect.tasks, other.tasks = all, nil, nil
		case len(suspect.tasks) > 0:
			suspect.tasks, other.tasks = all, nil
		}
	}
	isolated.lostAt, suspect.lostAt = lostAddresses(isolated.tasks), lostAddresses(suspect.tasks)
	for _, g := range []*taskGroup{&isolated, &suspect, &other} {
		g.lateAt = lateWorkers(g.tasks)
	}
	return isolated, suspect, other
}

// AddUnproven counts a run of a task that may still crash the worker. Nothing else is placed beside an isolated one.
func (w *Worker) AddUnproven(t *ledger.Task, isolated bool) {
	job := t.Step().Occurrence.Job.Number
	w.unproven.add(job)
	if len(t.Losses()) > 0 {
		w.suspects.add(job)
	}
	if isolated && (w.keptFor == 0 || job < w.keptFor) {
		w.keptFor = job
	}
}

// jobCounts holds the number of runs of each job. A worker has few, and each pass counts them anew.
type jobCounts []jobCount

type jobCount struct {
	job uint64
	n   int
}

func (c *jobCounts) add(job uint64) {
	for i := range *c {
		if (*c)[i].job == job {
			(*c)[i].n++
			return
		}
	}
	*c = append(*c, jobCount{job, 1})
}

// countOthers returns the number of runs of jobs other than the given one.
func countOthers(runs jobCounts, job uint64) int {
	n := 0
	for _, c := range runs {
		if c.job != job {
			n += c.n
		}
	}
	return n
}

// KeptFor returns the number of the only job that the worker takes tasks of, 0 if it takes any.
func (w *Worker) KeptFor() uint64 { return w.keptFor }

// IsKeptFromJob reports whether the worker takes no tasks of a job, because it is kept for another one.
func (w *Worker) IsKeptFromJob(job uint64) bool { return w.keptFor != 0 && w.keptFor != job }

// mayUse reports whether tasks of the group may run beside the runs of a worker.
func (g *taskGroup) mayUse(w *Worker) bool {
	return !w.IsKeptFromJob(g.job()) && (!g.isolated || countOthers(w.unproven, g.job()) == 0)
}

// compareRisk compares workers by what a crash would cost or leave unclear: negative if a is better than b. Tasks that
// have lost workers are spread, away from long-running tasks; other tasks avoid them.
func (g *taskGroup) compareRisk(a, b *Worker) int {
	if !g.suspect {
		return cmp.Compare(min(len(a.suspects), 1), min(len(b.suspects), 1))
	}
	others := func(w *Worker) bool { return g.prefersIsolation && countOthers(w.unproven, g.job()) > 0 }
	return cmp.Or(
		compareBool(others(a), others(b)),
		compareBool(g.lostAt[a.Address()], g.lostAt[b.Address()]),
		cmp.Compare(countOthers(a.suspects, g.job()), countOthers(b.suspects, g.job())),
		cmp.Compare(a.LongRunning, b.LongRunning),
		cmp.Compare(countOthers(a.unproven, g.job()), countOthers(b.unproven, g.job())),
	)
}

// lostAddresses returns the addresses of the workers that were lost under tasks.
func lostAddresses(tasks []*ledger.Task) map[string]bool {
	var m map[string]bool
	for _, t := range tasks {
		for _, l := range t.Losses() {
			if m == nil {
				m = map[string]bool{}
			}
			m[l.Address] = true
		}
	}
	return m
}

// lateWorkers returns the IDs of the workers to which late starts of tasks were sent, nil if there are none.
func lateWorkers(tasks []*ledger.Task) map[string]bool {
	var m map[string]bool
	for _, t := range tasks {
		if l := t.LateStart(); l != nil {
			if m == nil {
				m = map[string]bool{}
			}
			m[l.Worker] = true
		}
	}
	return m
}

// placeIsolated assigns the tasks with a pin that must be isolated. Where there is room for one, or for a gang, but beside runs
// that aren't known to be harmless, it keeps workers from taking further tasks until these are, which is soon. Runs that take
// the room of a task may last, so it keeps no worker from others until they end.
func (p *pass) placeIsolated(s *ledger.StepRun, pin string, workers []*Worker) {
	if !s.HasLosses() || len(workers) == 0 {
		return
	}
	g, _, _ := p.in.groupTasks(s, pin)
	pool := p.pools[workers[0].Pool()]
	limit := max(len(pool)/keptFraction, 1)
	mayKeep := func() bool { return s.Step.Gang || countKept(pool, g.job()) < limit }
	left := p.countStartable(&g)
	if left == 0 || !mayKeep() {
		return
	}
	left -= p.placeGroup(&g, workers)
	if s.Step.Gang {
		g.tasksOnWorker = map[uint64]int{} // What a gang took in vain is free again.
	} else {
		left = min(left, 1)
	}
	if !p.canHold(&g, workers, left) {
		p.reserveForIsolated(&g, workers, left)
		return
	}
	for left > 0 && mayKeep() {
		w := p.chooseKept(&g, workers)
		if w == nil {
			return
		}
		w.keptFor = g.job()
		left -= p.countRoom(&g, w)
	}
}

// countKept returns the number of workers that are kept for jobs other than the given one.
func countKept(workers []*Worker, job uint64) int {
	n := 0
	for _, w := range workers {
		if w.IsKeptFromJob(job) {
			n++
		}
	}
	return n
}

// chooseKept returns the worker with room for tasks of the group that will be free for them soonest, nil if there is none.
func (p *pass) chooseKept(g *taskGroup, workers []*Worker) *Worker {
	var best *Worker
	for _, w := range workers {
		if w.keptFor == 0 && p.countRoom(g, w) > 0 && (best == nil || g.compareRisk(w, best) < 0) {
			best = w
		}
	}
	return best
}

// reserveForIsolated reserves capacity for n tasks of a long-running step that no worker has room for, or for none if they
// are a gang and there won't be enough for it.
func (p *pass) reserveForIsolated(g *taskGroup, workers []*Worker, n int) {
	if !g.step.Step.Lasting {
		return
	}
	var reserved []*Worker
	for len(reserved) < n {
		w := p.reserveWorker(g, workers, ledger.RequiredCapacity(g.step.Step))
		if w == nil {
			break
		}
		reserved = append(reserved, w)
	}
	if g.step.Step.Gang {
		p.reserveForGang(g.step, nil, reserved, len(reserved) == n)
	}
}

// releasePreferred returns a worker with room for a task of a long-running step that the pass keeps for tasks which only
// prefer to be isolated, and lets others run beside these; nil if there is none. Otherwise many such tasks would start one
// after the other.
func (p *pass) releasePreferred(g *taskGroup, workers []*Worker) *Worker {
	var best *Worker
	for _, w := range workers {
		if len(w.preferring) > 0 && p.in.Misfit(g.step, w, w.free, g.tasksOnWorker[w.Number()]) == "" &&
			(best == nil || g.isBetter(w, best)) {
			best = w
		}
	}
	if best != nil {
		for _, a := range best.preferring {
			a.Isolated = false
		}
		best.keptFor, best.preferring = 0, nil
	}
	return best
}

// canHold reports whether the workers have room for n tasks of the group.
func (p *pass) canHold(g *taskGroup, workers []*Worker, n int) bool {
	for _, w := range workers {
		if !w.IsKeptFromJob(g.job()) {
			n -= p.countRoom(g, w)
		}
	}
	return n <= 0
}

// countRoom returns how many tasks of the group a worker has room for now.
func (p *pass) countRoom(g *taskGroup, w *Worker) int {
	return p.in.CountRoom(g.step, w, p.available(g.step.Step, w), g.tasksOnWorker[w.Number()], len(g.tasks))
}
