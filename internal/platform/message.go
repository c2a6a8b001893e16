package platform

import "github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"

// Task states of the protocol.
const (
	StateRunning      = "running"
	StateFinished     = "finished"
	StateFailed       = "failed"
	StateCheckpointed = "checkpointed"
	StateStopped      = "stopped"
	StateRefused      = "refused"
	StateLost         = "lost"
)

// StartRequest is the body of a request to start a task.
type StartRequest struct {
	Job             string `json:"job"`
	Epoch           uint64 `json:"epoch"`
	Instance        string `json:"instance"`
	InstanceEpoch   uint64 `json:"instance-epoch"`
	MilliProcessors int64  `json:"milli-processors"`
	MemoryMiB       int64  `json:"memory-mib"`
	Accelerators    int64  `json:"accelerators"`
	Payload         []byte `json:"payload"`
	FromCheckpoint  bool   `json:"from-checkpoint"`
}

// TaskRequest is the body of a request to checkpoint, throttle or stop a task; only throttle requests use On.
type TaskRequest struct {
	Job   string `json:"job"`
	Epoch uint64 `json:"epoch"`
	On    bool   `json:"on"`
}

// Task is a task as the platform reports it.
type Task struct {
	Job       string `json:"job"`
	Epoch     uint64 `json:"epoch"`
	State     string `json:"state"`
	Throttled bool   `json:"throttled"`
	Reason    string `json:"reason"`
}

// Tasks is the response to a list request for tasks.
type Tasks struct {
	Tasks []Task `json:"tasks"`
	// Cursor is passed to the next call to get only the changes since this one.
	Cursor string `json:"cursor"`
}

// InstanceRequest is the body of a request to drain, reboot or resume an instance.
type InstanceRequest struct {
	Instance string `json:"instance"`
	Epoch    uint64 `json:"epoch"`
}

// Instance is an instance as the platform reports it.
type Instance struct {
	Instance string `json:"instance"`
	Healthy  bool   `json:"healthy"`
	Epoch    uint64 `json:"epoch"`
	Drained  bool   `json:"drained"`
	Booted   bool   `json:"booted"`
}

// Instances is the response to a list request for instances.
type Instances struct {
	Instances []Instance `json:"instances"`
	// Cursor is passed to the next call to get only the changes since this one.
	Cursor string `json:"cursor"`
}

// Sample is a measurement of the resource usage of a task.
type Sample struct {
	Job             string `json:"job"`
	Epoch           uint64 `json:"epoch"`
	MilliProcessors int64  `json:"milli-processors"`
	MemoryMiB       int64  `json:"memory-mib"`
	Accelerators    int64  `json:"accelerators"`
	RanMs           int64  `json:"ran-ms"`
}

// Usage is the response to a request for usage samples.
type Usage struct {
	Samples []Sample `json:"samples"`
}

// outcomeOf converts a task state of the protocol to an outcome of the kernel.
func outcomeOf(state string) jobpb.Outcome {
	switch state {
	case StateRunning:
		return jobpb.Outcome_OUTCOME_RUNNING
	case StateFinished:
		return jobpb.Outcome_OUTCOME_FINISHED
	case StateFailed:
		return jobpb.Outcome_OUTCOME_FAILED
	case StateCheckpointed:
		return jobpb.Outcome_OUTCOME_CHECKPOINTED
	case StateStopped, StateLost: // in both states the task ended without an outcome
		return jobpb.Outcome_OUTCOME_STOPPED
	case StateRefused:
		return jobpb.Outcome_OUTCOME_REFUSED
	}
	return jobpb.Outcome_OUTCOME_UNKNOWN
}
