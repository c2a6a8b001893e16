package job

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
)

// TaskReport is an answer of the platform about a task, which is one start of a job.
type TaskReport struct {
	// Job is the key of the job, Epoch that of the start.
	Job   string
	Epoch uint64
	// Outcome is what the platform says. Unknown is reported only for a task that the platform confirmed before.
	Outcome jobpb.Outcome
	// Throttled is true when the task runs throttled.
	Throttled bool
	// Reason explains a failure or a refusal.
	Reason string
}

// EventName returns the name of the event.
func (TaskReport) EventName() string { return "task-report" }

// TaskReports is a group of answers.
type TaskReports []TaskReport

// EventName returns the name of the event.
func (TaskReports) EventName() string { return "task-reports" }

// UsageReport is a usage sample of a task, which may come late.
type UsageReport struct {
	Job   string
	Epoch uint64
	Used  placement.Resources
	// Ran is how long the task had run when the sample was taken.
	Ran time.Duration
}

// EventName returns the name of the event.
func (UsageReport) EventName() string { return "usage-report" }

// UsageReports is a group of samples.
type UsageReports []UsageReport

// EventName returns the name of the event.
func (UsageReports) EventName() string { return "usage-reports" }

// StartTask asks the platform to run a task. A repeated call with the same epoch never runs it again.
type StartTask struct {
	Job           string
	Epoch         uint64
	Instance      string
	InstanceEpoch uint64
	Limits        placement.Resources
	Payload       []byte
	// Checkpoint is true when the task continues from the job's last checkpoint.
	Checkpoint bool
}

// ActionName returns the name of the action.
func (StartTask) ActionName() string { return "start-task" }

// CheckpointTask asks the platform to save a task's progress and to end it.
type CheckpointTask struct {
	Job   string
	Epoch uint64
}

// ActionName returns the name of the action.
func (CheckpointTask) ActionName() string { return "checkpoint-task" }

// ThrottleTask asks the platform to halve the processors of a task, or to give them back.
type ThrottleTask struct {
	Job   string
	Epoch uint64
	On    bool
}

// ActionName returns the name of the action.
func (ThrottleTask) ActionName() string { return "throttle-task" }

// StopTask asks the platform to end a task; afterwards the platform refuses a late start with the same epoch.
type StopTask struct {
	Job   string
	Epoch uint64
}

// ActionName returns the name of the action.
func (StopTask) ActionName() string { return "stop-task" }

// TaskRef names one start of a job.
type TaskRef struct {
	Job   string
	Epoch uint64
}

// WatchTasks asks the driver to list all tasks of the platform and to report each of the named ones: as listed, or as
// unknown to the platform. It names only tasks that the platform confirmed before.
type WatchTasks struct{ Tasks []TaskRef }

// ActionName returns the name of the action.
func (WatchTasks) ActionName() string { return "watch-tasks" }
