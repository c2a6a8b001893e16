package workload

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// sortedInstances returns the instances by name, so that decisions don't depend on the order of a map.
func (f *fleet) sortedInstances() []*instance {
	list := make([]*instance, 0, len(f.instances))
	for _, in := range f.instances {
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b *instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// advanceWave starts the maintenance of instances of a wave, at most as many at once as the wave allows.
func (e *Engine) advanceWave(w *workloadpb.Wave) {
	f := &e.fleet
	knownAt, ok := f.waveKnownAt[w.Number]
	if !ok {
		knownAt = e.now
		f.waveKnownAt[w.Number] = knownAt
	}
	busy := 0
	var missing []string
	for _, name := range w.Instances {
		in := f.instances[name]
		switch {
		case in != nil && in.operation != nil && (in.operation.wave == w.Number || in.operation.beforeWave == w.Number):
			busy++
		case in != nil && (e.now < in.maybeAwayUntil || e.maybeUnderMaintenance(name, w.Number)):
			busy++
		case in == nil && !f.stale && !slices.Contains(w.Gone, name):
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		// No instance is reported as gone until the list is read again, so that the command isn't repeated at once.
		f.stale = true
		if f.listSentAt > knownAt {
			e.cfg.Log.Info("instances of a wave are gone", "wave", w.Number, "instances", missing)
			e.propose(&workloadpb.Command{Change: &workloadpb.Command_Maintained{
				Maintained: &workloadpb.Maintained{Wave: w.Number, Gone: missing},
			}})
		}
	}
	if busy < int(w.Cap) {
		e.beginMaintenance(w, int(w.Cap)-busy)
	}
}

// maybeUnderMaintenance reports whether an instance may still be out of service for maintenance that an earlier leader
// requested.
func (e *Engine) maybeUnderMaintenance(name string, wave int64) bool {
	o := e.state.LastOrder(name)
	return o != nil && o.Wave == wave &&
		e.lastOrderAge(name) < e.cfg.TakeoverDelay+takeoverMargin+e.cfg.MaintenanceDuration
}

// maintenanceCandidate is an instance of a wave whose maintenance may begin.
type maintenanceCandidate struct {
	in *instance
	// hasLongRunning is set if long-running tasks have to leave the instance first.
	hasLongRunning bool
	wait           time.Duration
	cost           int64
}

// beginMaintenance begins the maintenance of up to n instances of a wave: those first whose maintenance can begin first, the
// cheapest of several.
func (e *Engine) beginMaintenance(w *workloadpb.Wave, n int) {
	list := e.maintenanceCandidates(w)
	if len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(a, b maintenanceCandidate) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(a.cost, b.cost))
	})
	evacuating := e.evacuatingPools()
	for _, c := range list {
		if n == 0 {
			return
		}
		if c.hasLongRunning {
			if evacuating[c.in.Pool] {
				continue
			}
			evacuating[c.in.Pool] = true
		}
		c.in.operation = e.newOperation("", w.Number)
		n--
	}
}

// maintenanceCandidates returns the instances of a wave whose maintenance may begin.
func (e *Engine) maintenanceCandidates(w *workloadpb.Wave) []maintenanceCandidate {
	settled := make(map[string]bool, len(w.Begun)+len(w.Gone))
	for _, name := range slices.Concat(w.Begun, w.Gone) {
		settled[name] = true
	}
	var list []maintenanceCandidate
	for _, name := range w.Instances {
		in := e.fleet.instances[name]
		if settled[name] || in == nil || !e.mayOperate(in) || e.now < in.maintainAfter ||
			e.fleet.isUnrecorded(waveInstance{w.Number, name}) {
			continue
		}
		s := e.sessionOf(in)
		if !e.knowsRuns(in, s) {
			continue
		}
		c := maintenanceCandidate{in: in, wait: e.lateStartsUntil(in, in.Pool)}
		if s != nil {
			n := s.countLongRunning()
			if s.worker.IsDraining() || in.awaitsReady && !e.mayStopLongRunning(s) {
				continue
			}
			// Long-running tasks cost more, because they are started elsewhere first, one at a time.
			c.hasLongRunning, c.cost = n > 0, s.worker.Used().CPU+int64(n)*s.worker.Capacity().CPU
		}
		list = append(list, c)
	}
	return list
}

// evacuatingPools returns the pools in which an instance with long-running tasks is waiting for its maintenance.
// Long-running tasks are evacuated from one instance of a pool at a time, because all unavailable tasks of a step count
// against its limit.
func (e *Engine) evacuatingPools() map[string]bool {
	pools := map[string]bool{}
	for _, in := range e.fleet.instances {
		if in.operation != nil && in.operation.wave > 0 && !in.operation.requested {
			if s := e.sessionOf(in); s != nil && s.countLongRunning() > 0 {
				pools[in.Pool] = true
			}
		}
	}
	return pools
}

// countLongRunning returns the number of long-running tasks on a worker.
func (s *session) countLongRunning() int {
	n := 0
	for _, t := range s.worker.Runs() {
		if t.Step().Step.Lasting {
			n++
		}
	}
	return n
}

// longRunningCounts returns the number of long-running tasks on a worker by step.
func (s *session) longRunningCounts() map[*ledger.StepRun]int {
	n := map[*ledger.StepRun]int{}
	for _, t := range s.worker.Runs() {
		if st := t.Step(); st.Step.Lasting {
			n[st]++
		}
	}
	return n
}

// evacuate reports whether an instance may go out of service now. Long-running tasks are stopped while fewer than
// MayMiss other tasks of their step are unavailable (0 means no limit), and start again elsewhere. That requires room
// on another worker, or that the instance can go at once. Other tasks may run until drainTimeout, and are then stopped:
// an end that the worker lists while it goes out of service may get lost. They aren't stopped while long-running tasks
// hold up the maintenance, if the worker doesn't answer, or if the request may be a repeated one, which the platform
// accepts without ending them.
func (e *Engine) evacuate(in *instance, s *session) bool {
	op := in.operation
	timedOut := e.now-op.createdAt >= drainTimeout
	mayStop := timedOut && s.failures == 0 &&
		(!e.fleet.maybeMaintained[waveInstance{op.wave, in.Name}] || in.outlivedBy == s.worker.Number())
	stop := mayStop && !op.lacksRoom && !op.awaitsReady
	free := true
	for _, r := range s.runs {
		if r.task.Step().Step.Lasting {
			continue
		}
		free = free && timedOut
		if stop && !r.shouldStop {
			r.shouldStop = true
			e.markDirty(s)
		}
	}
	canGo := free && !e.mustWaitForTakeover(in.Name) && e.mayMissAll(s)
	stopping := false
	op.lacksRoom, op.awaitsReady = false, false
	for _, r := range s.sortedRuns(func(r *run) bool { return r.task.Step().Step.Lasting }) {
		st := r.task.Step()
		free = false
		switch {
		case r.shouldStop:
			stopping = true
		case !e.mayMiss(r.task):
			op.awaitsReady = true
		case canGo || e.hasRoomElsewhere(st, s):
			r.shouldStop, stopping = true, true
			e.markDirty(s)
		default:
			op.lacksRoom = true
		}
	}
	op.awaitsReady = op.awaitsReady && !stopping
	return free && s.countLongRunning() == 0 && (!mayStop || len(s.worker.Runs()) == 0)
}

// logWaitForStarts writes a line if maintenance begins to wait for starts that may be carried out late.
func (e *Engine) logWaitForStarts(in *instance, until time.Duration) {
	if !in.operation.awaitsStarts {
		in.operation.awaitsStarts = true
		e.cfg.Log.Info("maintenance waits for starts that may be carried out late", "instance", in.Name, "worker",
			in.lastWorker, "wave", in.operation.wave, "for", (until - e.now).String())
	}
}

// turnOffForMaintenance moves an instance without runs, whose maintenance would have to wait for starts that may be carried
// out late, to the spare pool first, unless a task waits that its worker could run. It can be maintained there at once, as
// no worker boots. It reports whether it does so.
func (e *Engine) turnOffForMaintenance(in *instance, s *session) bool {
	spare := e.sparePool()
	if spare == "" || e.couldRunWaitingTask(in.operation, s) {
		return false
	}
	move := e.newOperation(spare, 0)
	move.beforeWave = in.operation.wave
	in.operation = move
	e.cfg.Log.Info("moving instance to the spare pool before its maintenance; a start may be carried out late", "instance",
		in.Name, "worker", in.lastWorker, "from", in.Pool, "wave", move.beforeWave)
	return true
}

// mayMiss reports whether a long-running task may be unavailable now.
func (e *Engine) mayMiss(t *ledger.Task) bool {
	st := t.Step()
	return st.Step.MayMiss <= 0 || e.countUnavailable(st, t) < int(st.Step.MayMiss)
}

// mayStopLongRunning reports whether each long-running task of a worker may be unavailable now.
func (e *Engine) mayStopLongRunning(s *session) bool {
	for _, t := range s.worker.Runs() {
		if t.Step().Step.Lasting && !e.mayMiss(t) {
			return false
		}
	}
	return true
}

// mayMissAll reports whether all long-running tasks of a worker may be unavailable at the same time.
func (e *Engine) mayMissAll(s *session) bool {
	for st, n := range s.longRunningCounts() {
		for i := range st.Tasks {
			if t := &st.Tasks[i]; !e.isReady(t) && !t.RunsOn(s.worker) {
				n++
			}
		}
		if st.Step.MayMiss > 0 && n > int(st.Step.MayMiss) {
			return false
		}
	}
	return true
}

// hasRoomElsewhere reports whether workers other than that of s have room for one more long-running task than those of
// the step that wait or are being stopped on s, once other tasks have released their capacity.
func (e *Engine) hasRoomElsewhere(st *ledger.StepRun, s *session) bool {
	q := e.state.QueueOf(st.Occurrence.Job)
	if q == nil {
		// No worker may run the task, so there is nothing to wait for.
		return true
	}
	needed := st.Waiting() + 1
	for _, r := range s.runs {
		if r.shouldStop && r.task.Step() == st {
			needed++
		}
	}
	in := schedule.Input{Allowed: e.advice.mayAllow}
	assigned := schedule.TasksOnWorkers(st)
	for _, w := range e.state.Workers() {
		if o := e.sessions[w.Number()]; w.Pool() == q.Pool && o != s && e.isUsable(o) {
			v := o.schedulerView()
			needed -= in.CountRoom(st, v, w.Capacity().Minus(v.LongRunningUsage), assigned[w.Number()], needed)
		}
	}
	return needed <= 0
}

// isHeldUp reports whether an operation should wait until later, because no other worker has room for the long-running
// tasks of the instance, because their steps can't miss them, or because a task that waits could run on its worker.
func (e *Engine) isHeldUp(op *operation, s *session) bool {
	if !op.lacksRoom {
		op.lacksRoomSince = e.now
	}
	if !op.awaitsReady {
		op.awaitsReadySince = e.now
	}
	if !e.couldRunWaitingTask(op, s) {
		op.keepsWaitingSince = e.now
	}
	return e.now-op.lacksRoomSince >= maxRoomWait || e.now-op.awaitsReadySince >= maxReadyWait ||
		e.now-op.keepsWaitingSince >= maxReservedWait
}

// couldRunWaitingTask reports whether a worker that answers has free capacity for a long-running task that waits. Once a
// request for the operation has failed, ordinary tasks count too, but for those that a usable worker could run now or when
// other ordinary tasks have ended.
func (e *Engine) couldRunWaitingTask(op *operation, s *session) bool {
	if s.failures > 0 || !e.state.MayTakeRuns(s.worker) {
		return false
	}
	in, v := schedule.Input{Allowed: e.advice.mayAllow}, s.schedulerView()
	var usable []*schedule.Worker
	if op.retryAt > 0 {
		usable = e.usableWorkers(s.worker.Pool())
	}
	fitsElsewhere := func(st *ledger.StepRun) bool {
		return slices.ContainsFunc(usable, func(w *schedule.Worker) bool {
			return in.Misfit(st, w, w.Capacity().Minus(w.LongRunningUsage), 0) == ""
		})
	}
	for _, st := range e.waitingSteps.of(e.state, s.worker.Pool()) {
		if !st.Step.Lasting && op.retryAt == 0 || !e.isWithinQuota(st) || e.rejections.isDelayed(st, e.now) {
			continue
		}
		if in.Misfit(st, v, s.worker.Free(), schedule.TasksOnWorkers(st)[s.worker.Number()]) == "" &&
			(st.Step.Lasting || !fitsElsewhere(st)) {
			return true
		}
	}
	return false
}

// waitingSteps holds the steps with tasks that may start, by pool and in order of acceptance, for a state of the ledger.
// Operations on many instances ask for them in one decision.
type waitingSteps struct {
	changes uint64
	byPool  map[string][]*ledger.StepRun
}

func (w *waitingSteps) of(state *ledger.State, pool string) []*ledger.StepRun {
	if w.byPool == nil || w.changes != state.Changes() {
		w.byPool, w.changes = map[string][]*ledger.StepRun{}, state.Changes()
		for _, j := range state.ActiveJobs() {
			name := state.QueueOf(j).GetPool()
			for _, o := range j.Occurrences() {
				for _, st := range o.Steps {
					if st.Waiting() > 0 && st.Ready() {
						w.byPool[name] = append(w.byPool[name], st)
					}
				}
			}
		}
	}
	return w.byPool[pool]
}

// usableWorkers returns the workers of a pool that may take new runs.
func (e *Engine) usableWorkers(pool string) []*schedule.Worker {
	var list []*schedule.Worker
	for _, w := range e.state.Workers() {
		if s := e.sessions[w.Number()]; w.Pool() == pool && e.isUsable(s) {
			list = append(list, s.schedulerView())
		}
	}
	return list
}

// countUnavailable returns the number of tasks of a step other than t that are not known to be ready.
func (e *Engine) countUnavailable(st *ledger.StepRun, t *ledger.Task) int {
	n := 0
	for i := range st.Tasks {
		o := &st.Tasks[i]
		if o != t && !e.isReady(o) {
			n++
		}
	}
	return n
}

func (e *Engine) isReady(t *ledger.Task) bool {
	for _, a := range t.ActiveRuns {
		s := e.sessions[a.Worker.Number()]
		if s == nil || s.failures > 0 || s.worker.IsDraining() {
			continue
		}
		if r := s.runs[t.Key(a.Run)]; r != nil && r.listed && r.progress == 100 && !r.shouldStop {
			return true
		}
	}
	return false
}
