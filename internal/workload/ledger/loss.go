package ledger

import (
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// harmlessAfterMs is the age from which the run of a lost worker did not crash it: tasks that crash workers do so soon
	// after their start. It includes the time until a loss is noticed. A task that has lost workers before has to prove
	// harmless, because the start may have been late.
	harmlessAfterMs = 15_000
	// A task crashes its workers if minCrashes workers have crashed under it, minIsolatedCrashes of them under an isolated
	// run. Crashes of one worker may be its own fault, so fewer than minCrashes different ones have to crash once more.
	minCrashes         = 3
	minIsolatedCrashes = 2
	// openLosses is the number of losses from which a task waits until the last one is known to be a crash, at most
	// maxOpenMs. Long-running tasks, whose restart can't be put off for long, wait from longRunningOpenLosses on: no further
	// start is allowed then, if all of them are crashes.
	openLosses            = 4
	longRunningOpenLosses = 5
	maxOpenMs             = 15_000
)

// LossEvent is a change of what is known about the losses of a task.
type LossEvent struct {
	Task *Task
	// Loss is the new loss, or the one that has turned out to be a crash. Losses is how many there are now.
	Loss    *workloadpb.Loss
	Losses  int
	Crashed bool
	// GivenUp is set if the job of the task has failed, because the task crashes its workers.
	GivenUp bool
}

// TakeLossEvents returns what has changed since the last call. The list is not replicated.
func (s *State) TakeLossEvents() []LossEvent {
	list := s.lossEvents
	s.lossEvents = nil
	return list
}

// Losses returns the losses of workers under runs of the task since one of its runs has last proven harmless. The list
// must not be modified.
func (t *Task) Losses() []*workloadpb.Loss { return t.losses }

func (t *Task) setLosses(list []*workloadpb.Loss) {
	switch {
	case len(t.losses) == 0 && len(list) > 0:
		t.step.tasksWithLosses++
	case len(t.losses) > 0 && len(list) == 0:
		t.step.tasksWithLosses--
	}
	t.losses = list
}

// markHarmless records that the task doesn't crash its workers.
func (t *Task) markHarmless() {
	t.setLosses(nil)
	for i := range t.ActiveRuns {
		t.ActiveRuns[i].harmless = true
	}
}

// AwaitsCause reports whether the task shouldn't start again until it is known why its last worker was lost. The time is
// that of the ledger's clock in milliseconds.
func (t *Task) AwaitsCause(clockMs int64) bool {
	n, from := len(t.losses), openLosses
	if t.step.Step.Lasting {
		from = longRunningOpenLosses
	}
	if n < from {
		return false
	}
	l := t.losses[n-1]
	return !l.Crashed && !l.Announced && clockMs-l.AtMs < maxOpenMs
}

// CrashesWorkers reports whether the task is known to crash the workers that start it.
func (t *Task) CrashesWorkers() bool {
	crashes, isolated := 0, 0
	addresses := map[string]bool{}
	for _, l := range t.losses {
		if l.Crashed {
			crashes++
			addresses[l.Address] = true
			if l.Isolated {
				isolated++
			}
		}
	}
	return isolated >= minIsolatedCrashes && (len(addresses) >= minCrashes || crashes > minCrashes)
}

// recordLoss records that a worker was lost under one of its runs, before the run is released. A worker that has left was not.
func (s *State) recordLoss(w *Worker, k RunKey) {
	t := w.runs[k]
	if t == nil || w.HasLeft() || t.Done || !t.step.Occurrence.Job.IsActive() {
		return
	}
	i := slices.IndexFunc(t.ActiveRuns, func(a ActiveRun) bool { return a.Run == k.Run && a.Worker == w })
	if i < 0 || t.ActiveRuns[i].assignedMs == 0 {
		return
	}
	a := t.ActiveRuns[i]
	if a.harmless || s.clockMs-a.assignedMs >= harmlessAfterMs && len(t.losses) == 0 {
		return
	}
	l := &workloadpb.Loss{
		Incarnation: w.Number(), Address: w.Address(), Worker: w.ID(), Pool: w.Pool(), AtMs: s.clockMs, Isolated: a.Isolated,
		StartedMs: w.StartedMs(), Announced: w.IsDraining(),
	}
	if t.lateStart.GetWorker() == w.ID() {
		t.lateStart.Blocked = true
	}
	t.setLosses(append(t.losses, l))
	s.lossEvents = append(s.lossEvents, LossEvent{Task: t, Loss: l, Losses: len(t.losses)})
}

// recordCrashes records that the earlier incarnations of a worker have crashed, and ends the jobs of tasks that are now
// known to crash their workers. A worker of another pool has another owner, so it doesn't tell how its predecessor ended.
func (s *State) recordCrashes(m *workloadpb.Worker, at int64) {
	if slices.ContainsFunc(s.workerList, func(w *Worker) bool { return w.info.Address == m.Address }) {
		return // The heartbeat is older than the incarnation that has the address now.
	}
	for _, t := range s.tasksWithLosses() {
		for _, l := range t.losses {
			if l.Crashed || l.Announced || l.Pool != m.Pool || l.Address != m.Address && l.Worker != m.Id {
				continue
			}
			if m.BornMs <= l.StartedMs {
				continue // The heartbeat of the lost incarnation itself or of an earlier one was delayed.
			}
			l.Crashed = true
			givenUp := t.CrashesWorkers() && t.step.Occurrence.Job.IsActive()
			s.lossEvents = append(s.lossEvents, LossEvent{
				Task: t, Loss: l, Losses: len(t.losses), Crashed: true, GivenUp: givenUp,
			})
			if givenUp {
				s.endJob(t.step.Occurrence.Job, Failed, at)
			}
		}
	}
}

// HasLosses reports whether losses of an incarnation are recorded.
func (s *State) HasLosses(id string, startedMs int64) bool {
	return slices.ContainsFunc(s.tasksWithLosses(), func(t *Task) bool {
		return slices.ContainsFunc(t.losses, func(l *workloadpb.Loss) bool { return isLossOf(l, id, startedMs) })
	})
}

func isLossOf(l *workloadpb.Loss, id string, startedMs int64) bool {
	return l.Worker == id && l.StartedMs == startedMs
}

// forgetLosses drops the losses of an incarnation that has not crashed.
func (s *State) forgetLosses(id string, startedMs int64) {
	for _, t := range s.tasksWithLosses() {
		t.setLosses(slices.DeleteFunc(t.losses, func(l *workloadpb.Loss) bool { return isLossOf(l, id, startedMs) }))
	}
}

// markLossesAnnounced records that a lost incarnation has announced its end.
func (s *State) markLossesAnnounced(id string, startedMs int64) {
	for _, t := range s.tasksWithLosses() {
		for _, l := range t.losses {
			l.Announced = l.Announced || isLossOf(l, id, startedMs)
		}
	}
}

// tasksWithLosses returns the tasks of active jobs with losses.
func (s *State) tasksWithLosses() []*Task {
	var list []*Task
	for _, j := range s.activeJobs {
		for _, o := range j.occurrences {
			for _, st := range o.Steps {
				if !st.HasLosses() {
					continue
				}
				for i := range st.Tasks {
					if t := &st.Tasks[i]; len(t.losses) > 0 && !t.Done {
						list = append(list, t)
					}
				}
			}
		}
	}
	return list
}
