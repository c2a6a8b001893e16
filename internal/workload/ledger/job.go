package ledger

import (
	"cmp"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Job is an accepted job.
type Job struct {
	Number uint64
	ID     string
	// Queue is the name that the queue had when the job was accepted; see State.QueueOf.
	Queue   string
	Account string
	Spec    string
	Steps   []*workloadpb.Step
	// MaxRuns is the number of occurrences of a scheduled job, 0 for a job that runs once, without delay.
	MaxRuns int32
	// StartAtMs, AcceptedMs and EndedMs are Unix times by the wall clock of the leader.
	StartAtMs, IntervalMs, AcceptedMs, EndedMs int64
	// HasStarted is true once a task has been assigned.
	HasStarted bool

	route          route             // of the queue to which the job was submitted
	queue          *workloadpb.Queue // see State.QueueOf
	state          JobState
	endedClockMs   int64 // clock of the ledger at the leader's first command after the end, 0 before that
	nextOccurrence int32 // number of the next occurrence
	occurrences    []*Occurrence
	activeRuns     int
	size           jobSize
	bytes          int64 // see State.resize
}

// State returns the state of the job.
func (j *Job) State() JobState { return j.state }

// IsActive reports whether the job has not ended.
func (j *Job) IsActive() bool { return j.state == Queued || j.state == Running }

// Occurrences returns the occurrences that have begun and are not complete, or still have active runs.
func (j *Job) Occurrences() []*Occurrence { return j.occurrences }

// ActiveRuns returns the number of assigned runs of the job whose end is not recorded yet.
func (j *Job) ActiveRuns() int { return j.activeRuns }

// NextDue returns the number of the next occurrence and its due time in Unix milliseconds. ok is false if none is left.
func (j *Job) NextDue() (number int32, ms int64, ok bool) {
	if !j.IsActive() || j.MaxRuns == 0 || j.nextOccurrence >= j.MaxRuns {
		return 0, 0, false
	}
	return j.nextOccurrence, j.StartAtMs + int64(j.nextOccurrence)*j.IntervalMs, true
}

func (j *Job) findOccurrence(number int32) *Occurrence {
	for _, o := range j.occurrences {
		if o.Number == number {
			return o
		}
	}
	return nil
}

func (j *Job) beginOccurrence(number int32) *Occurrence {
	o := &Occurrence{Job: j, Number: number}
	for i, s := range j.Steps {
		sr := &StepRun{Occurrence: o, Number: int32(i), Step: s, Tasks: make([]Task, s.Count), waitingTasks: int(s.Count)}
		for n := range sr.Tasks {
			sr.Tasks[n].step, sr.Tasks[n].Index = sr, int32(n)
		}
		o.Steps = append(o.Steps, sr)
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// Occurrence is one run of the steps of a job.
type Occurrence struct {
	Job    *Job
	Number int32
	Steps  []*StepRun
}

// Complete reports whether all steps are done.
func (o *Occurrence) Complete() bool {
	return !slices.ContainsFunc(o.Steps, func(s *StepRun) bool { return !s.Done() })
}

// isIdle reports whether the occurrence has no active runs.
func (o *Occurrence) isIdle() bool {
	for _, st := range o.Steps {
		if slices.ContainsFunc(st.Tasks, func(t Task) bool { return len(t.ActiveRuns) > 0 }) {
			return false
		}
	}
	return true
}

// StepRun is a step of an occurrence.
type StepRun struct {
	Occurrence *Occurrence
	Number     int32
	Step       *workloadpb.Step
	Tasks      []Task

	waitingTasks, doneTasks int
	tasksWithLosses         int
}

// Done reports whether all tasks of the step are done.
func (s *StepRun) Done() bool { return s.doneTasks == len(s.Tasks) }

// Unfinished returns the number of tasks that are not done.
func (s *StepRun) Unfinished() int { return len(s.Tasks) - s.doneTasks }

// Waiting returns the number of tasks that are neither done nor assigned.
func (s *StepRun) Waiting() int { return s.waitingTasks }

// HasLosses reports whether workers were lost under tasks of the step, see Task.Losses.
func (s *StepRun) HasLosses() bool { return s.tasksWithLosses > 0 }

// Ready reports whether all steps that this one depends on are done.
func (s *StepRun) Ready() bool {
	for _, n := range s.Step.After {
		if !s.Occurrence.Steps[n].Done() {
			return false
		}
	}
	return true
}

// Failures returns the number of failed runs of all tasks of the step.
func (s *StepRun) Failures() int32 {
	var n int32
	for i := range s.Tasks {
		n += s.Tasks[i].Failures
	}
	return n
}

// Task is a unit of work of a step.
type Task struct {
	Index int32
	Done  bool
	// LastRun is the number of the last run; Failures is the number of failed runs.
	LastRun, Failures int32
	Checkpoint        string
	// ActiveRuns are the assigned runs whose end is not recorded yet.
	ActiveRuns []ActiveRun

	step      *StepRun
	losses    []*workloadpb.Loss
	lateStart *workloadpb.LateStart
}

// Step returns the step that the task belongs to.
func (t *Task) Step() *StepRun { return t.step }

// LateStart returns the last late start of an ended run of the task that the log tells of, nil if there is none or the task is
// done. It must not be modified.
func (t *Task) LateStart() *workloadpb.LateStart { return t.lateStart }

// IsWaiting reports whether the task is neither done nor assigned.
func (t *Task) IsWaiting() bool { return !t.Done && len(t.ActiveRuns) == 0 }

// AssignNumber returns the number of the command that assigned the run, 0 if an earlier version proposed it.
func (r ActiveRun) AssignNumber() uint64 { return r.assignNumber }

// RunOn returns the last run of the task that is assigned to a worker, the zero value if there is none.
func (t *Task) RunOn(w *Worker) ActiveRun {
	for _, a := range slices.Backward(t.ActiveRuns) {
		if a.Worker == w {
			return a
		}
	}
	return ActiveRun{}
}

// RunsOn reports whether a run of the task is assigned to a worker.
func (t *Task) RunsOn(w *Worker) bool {
	return slices.ContainsFunc(t.ActiveRuns, func(a ActiveRun) bool { return a.Worker == w })
}

// IsIsolatedOn reports whether an isolated run of the task is assigned to a worker.
func (t *Task) IsIsolatedOn(w *Worker) bool {
	return slices.ContainsFunc(t.ActiveRuns, func(a ActiveRun) bool { return a.Worker == w && a.Isolated })
}

// Key returns the key of a run of the task.
func (t *Task) Key(run int32) RunKey {
	o := t.step.Occurrence
	return RunKey{Job: o.Job.Number, Occurrence: o.Number, Step: t.step.Number, Index: t.Index, Run: run}
}

// ActiveRun is a run that is assigned to a worker.
type ActiveRun struct {
	Run    int32
	Worker *Worker
	// Isolated runs started beside no other run that may crash the worker.
	Isolated bool

	assignedMs int64 // by the clock of the ledger, 0 if losses are not recorded
	harmless   bool  // the task has proven harmless since the assignment
	// assignNumber is the number of the Assign command, 0 if it has none.
	assignNumber uint64
	started      bool // see HasStarted
}

// HasStarted reports whether the log tells that the only start of a long-running run was carried out, so that it can't be late.
func (r ActiveRun) HasStarted() bool { return r.started }

// RunKey identifies a run of a task.
type RunKey struct {
	Job                     uint64
	Occurrence, Step, Index int32
	Run                     int32
}

// Compare orders runs by job, occurrence, step, index and run.
func (k RunKey) Compare(o RunKey) int {
	return cmp.Or(cmp.Compare(k.Job, o.Job), cmp.Compare(k.Occurrence, o.Occurrence), cmp.Compare(k.Step, o.Step),
		cmp.Compare(k.Index, o.Index), cmp.Compare(k.Run, o.Run))
}

// TaskMessage returns the protobuf message that identifies the task of the run.
func (k RunKey) TaskMessage() *workloadpb.Task {
	return &workloadpb.Task{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index}
}

// RunKeyOf returns the key of a run of the task that a message identifies.
func RunKeyOf(m *workloadpb.Task, run int32) RunKey {
	return RunKey{Job: m.GetJob(), Occurrence: m.GetOccurrence(), Step: m.GetStep(), Index: m.GetIndex(), Run: run}
}
