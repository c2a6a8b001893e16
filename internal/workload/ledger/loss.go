package ledger

import (
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// harmlessAfterMs is the age from which the run of a lost worker did not crash it: tasks that crash workers do so soon
// after their start. It includes the time until a loss is noticed.
const harmlessAfterMs = 15_000

// LossEvent is a change of what is known about the losses of a task.
type LossEvent struct {
	Task *Task
	// Loss is the new loss, or the one that has turned out to be a crash. Losses is how many there are now.
	Loss    *workloadpb.Loss
	Losses  int
	Crashed bool
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

// recordLoss records that a worker was lost under one of its runs, before the run is released.
func (s *State) recordLoss(w *Worker, k RunKey) {
	t := w.runs[k]
	if t == nil || t.Done || !t.step.Occurrence.Job.IsActive() {
		return
	}
	i := slices.IndexFunc(t.ActiveRuns, func(a ActiveRun) bool { return a.Run == k.Run && a.Worker == w })
	if i < 0 || t.ActiveRuns[i].assignedMs == 0 {
		return
	}
	a := t.ActiveRuns[i]
	if s.clockMs-a.assignedMs >= harmlessAfterMs {
		t.setLosses(nil)
		return
	}
	l := &workloadpb.Loss{
		Incarnation: w.Number(), Address: w.Address(), Worker: w.ID(), Pool: w.Pool(), AtMs: s.clockMs, Isolated: a.Isolated,
	}
	t.setLosses(append(t.losses, l))
	s.lossEvents = append(s.lossEvents, LossEvent{Task: t, Loss: l, Losses: len(t.losses)})
}

// recordCrashes records that the earlier incarnations of a worker have crashed. A worker of another pool has another owner,
// so it doesn't tell how its predecessor ended.
func (s *State) recordCrashes(m *workloadpb.Worker) {
	for _, t := range s.tasksWithLosses() {
		for _, l := range t.losses {
			if l.Crashed || l.Pool != m.Pool || l.Address != m.Address && l.Worker != m.Id {
				continue
			}
			l.Crashed = true
			s.lossEvents = append(s.lossEvents, LossEvent{Task: t, Loss: l, Losses: len(t.losses), Crashed: true})
		}
	}
}

// forgetLosses drops the losses of an incarnation that was only out of reach.
func (s *State) forgetLosses(incarnation uint64) {
	for _, t := range s.tasksWithLosses() {
		t.setLosses(slices.DeleteFunc(t.losses, func(l *workloadpb.Loss) bool { return l.Incarnation == incarnation }))
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
