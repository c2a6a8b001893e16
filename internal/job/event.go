package job

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
)

// TaskReport is the platform's report on a task, which is one run of a job.
type TaskReport struct {
	// Job is the key of the job, Epoch the epoch of the run.
	Job   string
	Epoch uint64
	// Outcome is the state of the task. Unknown is reported only for a task that the platform acknowledged before.
	Outcome jobpb.Outcome
	// Throttled is true if the task runs throttled.
	Throttled bool
	// Reason explains a failure or a rejection.
	Reason string
}

// EventName returns the name of the event.
func (TaskReport) EventName() string { return "task-report" }

// TaskReports is a batch of task reports.
type TaskReports []TaskReport

// EventName returns the name of the event.
func (TaskReports) EventName() string { return "task-reports" }

// UsageReport is a sample of the resource usage of a task. It may arrive late.
type UsageReport struct {
	Job   string
	Epoch uint64
	Used  placement.Resources
	// Ran is how long the task had run when the sample was taken.
	Ran time.Duration
}

// EventName returns the name of the event.
func (UsageReport) EventName() string { return "usage-report" }

// UsageReports is a batch of usage samples.
type UsageReports []UsageReport

// EventName returns the name of the event.
func (UsageReports) EventName() string { return "usage-reports" }

// StartTask asks the platform to run a task. Repeated calls with the same epoch run it only once.
type StartTask struct {
	Job           string
	Epoch         uint64
	Instance      string
	InstanceEpoch uint64
	Limits        placement.Resources
	Payload       []byte
	// Checkpoint is true if the task continues from the last checkpoint of the job.
	Checkpoint bool
}

// ActionName returns the name of the action.
func (StartTask) ActionName() string { return "start-task" }

// CheckpointTask asks the platform to save the progress of a task and then end it.
type CheckpointTask struct {
	Job   string
	Epoch uint64
}

// ActionName returns the name of the action.
func (CheckpointTask) ActionName() string { return "checkpoint-task" }

// ThrottleTask asks the platform to halve the processors of a task, or to restore them.
type ThrottleTask struct {
	Job   string
	Epoch uint64
	On    bool
}

// ActionName returns the name of the action.
func (ThrottleTask) ActionName() string { return "throttle-task" }

// StopTask asks the platform to end a task. Afterwards the platform rejects a late start with the same epoch.
type StopTask struct {
	Job   string
	Epoch uint64
}

// ActionName returns the name of the action.
func (StopTask) ActionName() string { return "stop-task" }

// TaskRef identifies a task, which is one run of a job.
type TaskRef struct {
	Job   string
	Epoch uint64
}

// WatchTasks asks the driver to list all tasks of the platform and to report the state of each of the given tasks, or
// that the platform doesn't know it. It contains only tasks that the platform acknowledged before.
type WatchTasks struct{ Tasks []TaskRef }

// ActionName returns the name of the action.
func (WatchTasks) ActionName() string { return "watch-tasks" }
