package schedule

import (
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Worker is a worker incarnation that may be assigned new runs.
type Worker struct {
	*ledger.Worker
	// LatencySensitive, BestEffort and LongRunning count the assigned runs of each kind.
	LatencySensitive, BestEffort, LongRunning int
	// UnusedCPU is the number of thousandths of a core that no run needs, best-effort runs included.
	UnusedCPU int64
	// LongRunningUsage is the capacity that long-running tasks reserve. It doesn't become free by itself.
	LongRunningUsage ledger.Resources
	// Suspect marks a worker that is chosen only if no other worker has enough free capacity.
	Suspect bool
	// Kinds is the set of the kinds of the assigned runs, one bit for each, see Input.Kinds.
	Kinds uint64

	// unproven and suspects count the runs by job that may still crash the worker: all of them, and those whose tasks have
	// lost workers. keptFor is the only job that the worker takes tasks of, 0 if it takes any.
	unproven, suspects jobCounts
	keptFor            uint64
	// preferring holds the assignments of the pass that are isolated only because their tasks prefer it.
	preferring []*workloadpb.Assignment

	free ledger.Resources
	// reserved is kept for long-running tasks that wait. It may exceed free, as it includes capacity that ordinary tasks
	// have yet to release.
	reserved ledger.Resources
}

// unreserved returns the free capacity that isn't kept for long-running tasks; it may be negative.
func (w *Worker) unreserved() ledger.Resources { return w.free.Minus(w.reserved) }

// available returns the free capacity that tasks of a step may use. Reservations keep ordinary tasks from taking all
// capacity that becomes free in a busy pool. A long-running task that fits now needn't wait for one that doesn't.
func (p *pass) available(s *workloadpb.Step, w *Worker) ledger.Resources {
	if s.Lasting || !p.busy[w.Pool()] && w != p.withheld[w.Pool()] {
		return w.free
	}
	return w.unreserved()
}

// isBusy reports whether at least half of the capacity of the workers is in use.
func isBusy(workers []*Worker) bool {
	var used, total ledger.Resources
	for _, w := range workers {
		used, total = used.Plus(w.Used()), total.Plus(w.Capacity())
	}
	used = used.Times(2)
	return total.CPU > 0 && used.CPU >= total.CPU || total.Memory > 0 && used.Memory >= total.Memory ||
		total.Accelerators > 0 && used.Accelerators >= total.Accelerators
}

// Input is the input of a scheduling pass.
type Input struct {
	State *ledger.State
	// Candidates is the result of RankCandidates. Workers needs to contain only the workers of their pools.
	Candidates []Candidate
	Workers    []*Worker
	// NowMs is the wall clock in Unix milliseconds, ClockMs the clock of the ledger.
	NowMs, ClockMs int64
	Order          JobOrder
	// MaxAssignments limits the assignments of a pass. The last step may exceed it.
	MaxAssignments int
	// BeyondShare reports whether a job exceeds the share of its client account. It may be nil.
	BeyondShare func(j *ledger.Job) bool
	// IsDelayed reports whether no tasks of a step are assigned now. It may be nil.
	IsDelayed func(s *ledger.StepRun) bool
	// PinnedTo returns the ID of the only worker that a task may start on, empty if it may start on any. It may be nil.
	PinnedTo func(t *ledger.Task) string
	// Allowed reports whether the adviser lets a worker run a step now, and MayReserve whether its last answer did, even
	// if that isn't valid any more. Both may be nil.
	Allowed, MayReserve func(s *ledger.StepRun, w *Worker) bool
	// Kinds returns the kind of the tasks of a step and the kinds of which none should be beside it, because they slow it or
	// are slowed by it, as sets with one bit for each kind. It may be nil.
	Kinds func(s *ledger.StepRun) (own, avoided uint64)
	// CountDiverted is called with the number of tasks of a step that are assigned to other workers because of Kinds. It may
	// be nil.
	CountDiverted func(s *ledger.StepRun, n int)
}

// pass is the state of a scheduling pass.
type pass struct {
	in    *Input
	pools map[string][]*Worker
	// busy holds the pools of which at least half is in use. In each of the others, reservations withhold the capacity of one
	// worker only, and none if there is no other worker.
	busy         map[string]bool
	withheld     map[string]*Worker
	plannedUsage map[string]ledger.Resources
	// crowded holds requirements that no worker of a pool has room for any more, by the name of the pool. Ordinary tasks
	// that require as much needn't be tried on each worker.
	crowded map[string][]ledger.Resources
	// tasksOnWorkers is the number of tasks of a step by the number of the incarnation.
	tasksOnWorkers map[*ledger.StepRun]map[uint64]int
	assignments    []*workloadpb.Assignment
}

// Plan runs a scheduling pass and returns its assignments.
func Plan(in Input) []*workloadpb.Assignment {
	p := &pass{
		in: &in, pools: map[string][]*Worker{}, busy: map[string]bool{}, plannedUsage: map[string]ledger.Resources{},
		withheld: map[string]*Worker{}, crowded: map[string][]ledger.Resources{}, tasksOnWorkers: map[*ledger.StepRun]map[uint64]int{},
	}
	for _, w := range in.Workers {
		w.free = w.Free()
		p.pools[w.Pool()] = append(p.pools[w.Pool()], w)
	}
	for name, workers := range p.pools {
		p.busy[name] = isBusy(workers)
	}
	// Isolated tasks come first, because ordinary ones would take each worker before it is free for them.
	p.forEachStep(p.placeIsolated)
	p.forEachStep(p.placeTasks)
	return p.assignments
}

// forEachStep calls place for each step with tasks that may start, until there are enough assignments. The tasks that are
// pinned to a worker are placed apart from the others, so a gang with both waits.
func (p *pass) forEachStep(place func(s *ledger.StepRun, pin string, workers []*Worker)) {
	for _, c := range p.in.Candidates {
		for _, s := range c.ReadySteps() {
			if len(p.assignments) >= p.in.MaxAssignments || p.in.IsDelayed != nil && p.in.IsDelayed(s) {
				continue
			}
			workers := p.pools[c.queue.Pool]
			place(s, "", workers)
			for _, id := range p.in.pins(s) {
				if i := slices.IndexFunc(workers, func(w *Worker) bool { return w.ID() == id }); i >= 0 {
					place(s, id, workers[i:i+1])
				}
			}
		}
	}
}

// pins returns the IDs of the workers that waiting tasks of a step are pinned to.
func (in *Input) pins(s *ledger.StepRun) []string {
	var ids []string
	for i := range s.Tasks {
		if t := &s.Tasks[i]; t.IsWaiting() {
			if id := in.pinnedTo(t); id != "" && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func (in *Input) pinnedTo(t *ledger.Task) string {
	if in.PinnedTo == nil {
		return ""
	}
	return in.PinnedTo(t)
}

// ReadySteps returns the steps of the occurrence with tasks that may start now.
func (c *Candidate) ReadySteps() []*ledger.StepRun {
	var list []*ledger.StepRun
	for _, s := range c.occurrence.Steps {
		if s.Waiting() > 0 && s.Ready() {
			list = append(list, s)
		}
	}
	return list
}

// placeTasks assigns as many waiting tasks of a step with a pin as fit, except those that must be isolated.
func (p *pass) placeTasks(s *ledger.StepRun, pin string, workers []*Worker) {
	_, suspect, other := p.in.groupTasks(s, pin)
	p.placeGroup(&suspect, workers)
	p.placeGroup(&other, workers)
}

// countStartable returns how many tasks of a group may start now if there is room for them. The tasks of a gang start
// together or not at all.
func (p *pass) countStartable(g *taskGroup) int {
	account := g.step.Occurrence.Job.Account
	quota := ledger.ResourcesOf(p.in.State.Account(account).GetAllowance())
	need := ledger.ResourcesOf(g.step.Step.Need)
	n := 0
	for used := p.plannedUsage[account].Plus(p.in.State.Usage(account)); n < len(g.tasks); n++ {
		if used = used.Plus(need); !used.WithinQuota(quota) {
			break
		}
	}
	if g.step.Step.Gang && n < len(g.step.Tasks) {
		return 0
	}
	return n
}

// placeGroup assigns as many tasks of a group as fit, and returns how many. The tasks of a gang are assigned together or
// not at all.
func (p *pass) placeGroup(g *taskGroup, workers []*Worker) int {
	s, waiting := g.step, g.tasks
	n := p.countStartable(g)
	if n == 0 {
		return 0
	}
	chosen, reserved := p.chooseWorkers(g, workers, n)
	if s.Step.Gang && len(chosen) < len(waiting) {
		// A gang keeps its capacity only if there will be enough for all of it.
		p.reserveForGang(s, chosen, reserved, len(chosen)+len(reserved) == len(waiting))
		return 0
	}
	lastRun := int32(0)
	for _, t := range waiting[:len(chosen)] {
		lastRun = max(lastRun, t.LastRun)
	}
	for i, w := range chosen {
		t := waiting[i]
		previous := t.LastRun
		if s.Step.Gang {
			previous = lastRun
		}
		key := t.Key(previous + 1)
		a := &workloadpb.Assignment{
			Subtask: key.TaskMessage(), Worker: w.Number(), Run: key.Run, Isolated: g.isIsolatedOn(t, w),
		}
		p.assignments = append(p.assignments, a)
		if a.Isolated && !g.isolated && (w.keptFor == 0 || len(w.preferring) > 0) {
			w.preferring = append(w.preferring, a)
		}
		w.AddUnproven(t, a.Isolated)
		w.Kinds |= g.kind
	}
	if g.diverted > 0 && p.in.CountDiverted != nil {
		p.in.CountDiverted(s, g.diverted)
	}
	account, need := s.Occurrence.Job.Account, ledger.ResourcesOf(s.Step.Need)
	p.plannedUsage[account] = p.plannedUsage[account].Plus(need.Times(len(chosen)))
	return len(chosen)
}

// reserveForGang turns the capacity that chooseWorkers took on the chosen workers into reservations. If keep is false, it
// drops all reservations instead.
func (p *pass) reserveForGang(s *ledger.StepRun, chosen, reserved []*Worker, keep bool) {
	required := ledger.RequiredCapacity(s.Step)
	for _, w := range chosen {
		w.free, w.reserved = w.free.Plus(required), w.reserved.Plus(required)
		delete(p.crowded, w.Pool())
	}
	if keep {
		return
	}
	for _, w := range slices.Concat(chosen, reserved) {
		w.reserved = w.reserved.Minus(required)
		w.addTasks(s.Step, -1)
	}
}

// addTasks counts n further tasks of a step, or removes them if n is negative.
func (w *Worker) addTasks(s *workloadpb.Step, n int) {
	w.UnusedCPU -= int64(n) * s.Need.GetCpu()
	if s.Fills {
		w.BestEffort += n
	}
	if s.TargetMs > 0 {
		w.LatencySensitive += n
	}
	if s.Lasting {
		w.LongRunning += n
		w.LongRunningUsage = w.LongRunningUsage.Plus(ledger.RequiredCapacity(s).Times(n))
	}
}

// chooseWorkers finds capacity for up to n tasks of a group and returns their workers, one entry for each task: the chosen
// workers have enough free capacity, which it takes; on the others it reserves capacity until ordinary tasks have ended.
func (p *pass) chooseWorkers(g *taskGroup, workers []*Worker, n int) (chosen, reserved []*Worker) {
	s := g.step
	g.tasksOnWorker = p.tasksOnWorkers[s]
	if g.tasksOnWorker == nil {
		g.tasksOnWorker = TasksOnWorkers(s)
		p.tasksOnWorkers[s] = g.tasksOnWorker
	}
	if p.in.Kinds != nil {
		g.kind, g.avoided = p.in.Kinds(s)
	}
	g.rack = s.Step.DataRack
	for i := range s.Tasks {
		for _, a := range s.Tasks[i].ActiveRuns {
			if s.Step.RackSensitive {
				g.rack = a.Worker.Rack()
			}
		}
	}
	required := ledger.RequiredCapacity(s.Step)
	if p.isCrowded(s.Step, workers, required) {
		return nil, nil
	}
	fits := func(w *Worker) bool {
		return g.mayUse(w) && p.in.Misfit(s, w, p.available(s.Step, w), g.tasksOnWorker[w.Number()]) == ""
	}
	if s.Step.RackSensitive && g.rack == "" {
		g.rack = p.rackWithMostRoom(s, workers, required, fits)
	}
	ranked := rankedWorkers{group: g, fits: fits, workers: workers}
	for len(chosen) < n && len(p.assignments)+len(chosen) < p.in.MaxAssignments+len(s.Tasks) {
		best := ranked.best()
		if best == nil && s.Step.Lasting && !g.isolated {
			best = p.releasePreferred(g, workers)
		}
		if best == nil {
			p.noteCrowded(s.Step, workers, required)
			for s.Step.Lasting && !g.isolated && len(chosen)+len(reserved) < n {
				w := p.reserveWorker(g, workers, required)
				if w == nil {
					break
				}
				reserved = append(reserved, w)
			}
			break
		}
		if g.avoided != 0 && g.isDiverted(best, workers, fits) {
			g.diverted++
		}
		best.free = best.free.Minus(required)
		best.addTasks(s.Step, 1)
		g.tasksOnWorker[best.Number()]++
		chosen = append(chosen, best)
	}
	return chosen, reserved
}

// isCrowded reports whether an earlier search of the pass shows that no worker has room for an ordinary task. Room only
// shrinks during a pass, except where a gang gives back what it took in vain.
func (p *pass) isCrowded(s *workloadpb.Step, workers []*Worker, required ledger.Resources) bool {
	return !s.Lasting && len(workers) > 0 && slices.ContainsFunc(p.crowded[workers[0].Pool()], func(r ledger.Resources) bool {
		return r.Within(required)
	})
}

// noteCrowded records that no worker has room for an ordinary task, unless one was unsuitable for another reason.
func (p *pass) noteCrowded(s *workloadpb.Step, workers []*Worker, required ledger.Resources) {
	if s.Lasting || len(workers) == 0 || len(workers) < len(p.pools[workers[0].Pool()]) {
		return
	}
	if !slices.ContainsFunc(workers, func(w *Worker) bool { return required.Within(p.available(s, w)) }) {
		pool := workers[0].Pool()
		p.crowded[pool] = append(p.crowded[pool], required)
	}
}

// rankedWorkers finds the best worker for each task of a group.
type rankedWorkers struct {
	group   *taskGroup
	fits    func(w *Worker) bool
	workers []*Worker
	// order holds the workers that fitted, the best one first. It stays valid while only the first one gets tasks.
	order    []*Worker
	isRanked bool
}

// best returns the best worker that fits, nil if none does.
func (r *rankedWorkers) best() *Worker {
	if !r.group.keepsOrder() {
		var best *Worker
		for _, w := range r.workers {
			if r.fits(w) && (best == nil || r.group.isBetter(w, best)) {
				best = w
			}
		}
		return best
	}
	required := ledger.RequiredCapacity(r.group.step.Step)
	for len(r.order) > 0 && !r.fits(r.order[0]) {
		r.order = r.order[1:]
	}
	// A worker that has only reserved capacity left ranks behind others.
	if !r.isRanked || len(r.order) > 0 && !required.Within(r.order[0].unreserved()) {
		r.rank()
	}
	if len(r.order) == 0 {
		return nil
	}
	return r.order[0]
}

func (r *rankedWorkers) rank() {
	r.isRanked, r.order = true, nil
	for _, w := range r.workers {
		if r.fits(w) {
			r.order = append(r.order, w)
		}
	}
	slices.SortStableFunc(r.order, func(a, b *Worker) int {
		switch {
		case r.group.isBetter(a, b):
			return -1
		case r.group.isBetter(b, a):
			return 1
		}
		return 0
	})
}

// keepsOrder reports whether a worker that gets a task of the group stays the best one for as long as the task fits. That is
// so where the worker with the least free processors is preferred.
func (g *taskGroup) keepsOrder() bool {
	s := g.step.Step
	return !g.suspect && !s.Fills && !s.Lasting && s.TargetMs == 0 && g.kind&g.avoided == 0
}

// TasksOnWorkers returns the number of assigned tasks of a step by the number of the worker's incarnation.
func TasksOnWorkers(s *ledger.StepRun) map[uint64]int {
	n := map[uint64]int{}
	for i := range s.Tasks {
		for _, a := range s.Tasks[i].ActiveRuns {
			n[a.Worker.Number()]++
		}
	}
	return n
}

// Misfit returns why a worker with the given free capacity and number of tasks of a step can't take another one, empty
// if it can.
func (in *Input) Misfit(s *ledger.StepRun, w *Worker, free ledger.Resources, tasks int) string {
	switch {
	case !ledger.RequiredCapacity(s.Step).Within(free):
		return "no-capacity"
	case s.Step.MaxPerWorker > 0 && tasks >= int(s.Step.MaxPerWorker):
		return "maximum-per-worker"
	case s.Step.Label != "" && !w.HasLabel(s.Step.Label):
		return "lacks-label"
	case in.Allowed != nil && !in.Allowed(s, w):
		return "not-allowed-by-adviser"
	}
	return ""
}

// CountRoom returns how many more tasks of a step a worker with the given free capacity and number of tasks of the step
// can take, at most limit.
func (in *Input) CountRoom(s *ledger.StepRun, w *Worker, free ledger.Resources, tasks, limit int) int {
	n := 0
	for ; n < limit && in.Misfit(s, w, free, tasks+n) == ""; n++ {
		free = free.Minus(ledger.RequiredCapacity(s.Step))
	}
	return n
}

// reserveWorker reserves capacity for a task of a long-running step on the worker that comes closest to having enough,
// and returns that worker, nil if there is none. Without the reservation the task would wait for as long as smaller
// tasks take all capacity that becomes free.
func (p *pass) reserveWorker(g *taskGroup, workers []*Worker, required ledger.Resources) *Worker {
	s := g.step
	in := Input{Allowed: p.in.MayReserve}
	var best *Worker
	for _, w := range workers {
		if !w.IsKeptFromJob(g.job()) && in.Misfit(s, w, w.Capacity().Minus(w.LongRunningUsage), g.tasksOnWorker[w.Number()]) == "" &&
			(best == nil || w.slack(required) > best.slack(required)) {
			best = w
		}
	}
	if best != nil {
		if p.withheld[best.Pool()] == nil && len(workers) > 1 {
			p.withheld[best.Pool()] = best
		}
		best.reserved = best.reserved.Plus(required)
		best.addTasks(s.Step, 1)
		g.tasksOnWorker[best.Number()]++
	}
	return best
}

// slack returns the share of its capacity that a worker would have left after a task reserved the required capacity. It
// is the smallest share of all resources, and negative if the task doesn't fit.
func (w *Worker) slack(required ledger.Resources) float64 {
	left, total := w.unreserved().Minus(required), w.Capacity()
	least := 1.0
	for _, r := range [][2]int64{
		{left.CPU, total.CPU}, {left.Memory, total.Memory}, {left.Accelerators, total.Accelerators},
	} {
		if r[1] > 0 {
			least = min(least, float64(r[0])/float64(r[1]))
		}
	}
	return least
}

// maxLongRunningPerWorker is the preferred maximum number of tasks of a long-running step on a worker. Maintenance
// moves them one by one, each in about two seconds, so three of them move well within the time of a maintenance wave.
const maxLongRunningPerWorker = 3

// PreferredPerWorker returns the preferred maximum number of tasks of a long-running or latency-sensitive step on a
// worker.
func PreferredPerWorker(s *workloadpb.Step) int {
	if s.MaxPerWorker > 0 {
		return min(int(s.MaxPerWorker), maxLongRunningPerWorker)
	}
	return maxLongRunningPerWorker
}

// rackWithMostRoom returns the rack whose workers fit the most tasks of a step, so that they run close to each other.
func (p *pass) rackWithMostRoom(
	s *ledger.StepRun, workers []*Worker, required ledger.Resources, fits func(*Worker) bool,
) string {
	tasksByRack := map[string]int{}
	for _, w := range workers {
		if !fits(w) {
			continue
		}
		n := 0
		for free := p.available(s.Step, w); required.Within(free) && n < len(s.Tasks); n++ {
			if s.Step.MaxPerWorker > 0 && n >= int(s.Step.MaxPerWorker) {
				break
			}
			free = free.Minus(required)
			if required == (ledger.Resources{}) {
				n = len(s.Tasks)
				break
			}
		}
		tasksByRack[w.Rack()] += n
	}
	best := ""
	for _, w := range workers {
		if r := w.Rack(); best == "" || tasksByRack[r] > tasksByRack[best] {
			best = r
		}
	}
	return best
}

// isBetter reports whether a is a better choice than b for a task of the group; the task fits on both workers.
func (g *taskGroup) isBetter(a, b *Worker) bool {
	s := g.step.Step
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if x, y := g.lateAt[a.ID()], g.lateAt[b.ID()]; x != y {
		return y
	}
	if n := g.compareRisk(a, b); n != 0 {
		return n < 0
	}
	required := ledger.RequiredCapacity(s)
	if x, y := required.Within(a.unreserved()), required.Within(b.unreserved()); x != y {
		return x
	}
	if g.rack != "" {
		if x, y := slices.Contains(a.Labels(), g.rack), slices.Contains(b.Labels(), g.rack); x != y {
			return x
		}
	}
	spreads := !s.Fills && (s.TargetMs > 0 || s.Lasting)
	if spreads {
		// Few tasks of a step share a worker, so that its loss or maintenance affects few of them.
		preferred := PreferredPerWorker(s)
		if x, y := g.tasksOnWorker[a.Number()] < preferred, g.tasksOnWorker[b.Number()] < preferred; x != y {
			return x
		}
	}
	if x, y := g.interferes(a), g.interferes(b); x != y {
		return y
	}
	switch {
	case s.Fills:
		// Best-effort tasks disturb latency-sensitive ones and run on processor time that is left unused.
		if a.LatencySensitive != b.LatencySensitive {
			return a.LatencySensitive < b.LatencySensitive
		}
		if a.BestEffort != b.BestEffort {
			return a.BestEffort < b.BestEffort
		}
		return a.UnusedCPU > b.UnusedCPU
	case spreads:
		// Workers that already run long-running tasks are preferred, so that the others can move to another pool.
		if s.TargetMs > 0 && a.LatencySensitive+a.BestEffort != b.LatencySensitive+b.BestEffort {
			return a.LatencySensitive+a.BestEffort < b.LatencySensitive+b.BestEffort
		}
		if a.LongRunning != b.LongRunning {
			return a.LongRunning > b.LongRunning
		}
		return a.unreserved().CPU < b.unreserved().CPU
	}
	// The worker with the least free processors is preferred, which leaves space for large tasks on the others.
	return a.unreserved().CPU < b.unreserved().CPU
}
