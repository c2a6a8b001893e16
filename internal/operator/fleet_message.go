package operator

import "time"

// Actions of instance, wave and job changes.
const (
	// MoveInstance moves an instance to a pool. Naming its current pool cancels a move that isn't released yet.
	MoveInstance Action = "move"
	// QuarantineInstance stops new work on an instance.
	QuarantineInstance Action = "quarantine"
	// ReleaseInstance allows new work on a quarantined instance again.
	ReleaseInstance Action = "release"
	// StartWave starts a wave.
	StartWave Action = "start"
	// PauseWave stops granting permits for a wave.
	PauseWave Action = "pause"
	// ResumeWave resumes a paused or halted wave.
	ResumeWave Action = "resume"
	// AbortWave aborts a wave.
	AbortWave Action = "abort"
	// DecideWave decides how a wave proceeds with a stuck instance.
	DecideWave Action = "decide"
	// CancelJob cancels a job.
	CancelJob Action = "cancel"
)

// Instance is the pool and the condition of an instance.
type Instance struct {
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
	// Condition is serving, draining, stopped, unhealthy or quarantined.
	Condition string `json:"condition"`
	// Move is draining or released during a move, and To is the target pool.
	Move string `json:"move,omitempty"`
	To   string `json:"to,omitempty"`
	// Requested is the pool that an operator requested.
	Requested string `json:"requested,omitempty"`
	Reason    string `json:"reason,omitempty"`
	Epoch     uint64 `json:"epoch"`
	// Losses is the number of times that the instance became unhealthy.
	Losses  uint64 `json:"losses,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// InstanceChange moves, quarantines or releases an instance.
type InstanceChange struct {
	Action   Action `json:"action"`
	Instance string `json:"instance"`
	// Pool is the target pool of a move.
	Pool   string `json:"pool,omitempty"`
	Reason string `json:"reason,omitempty"`
	// OperationID is sent in the header HeaderOperationID.
	OperationID string `json:"-"`
}

// Permit allows a wave to stop an instance for maintenance.
type Permit struct {
	Instance string `json:"instance"`
	// Stage is draining, rebooting or returning.
	Stage  string `json:"stage"`
	Stuck  bool   `json:"stuck,omitempty"`
	Forced bool   `json:"forced,omitempty"`
}

// Wave is the current or most recent execution of a maintenance wave.
type Wave struct {
	Wave string `json:"wave"`
	// Phase is running, paused, halted, aborted or done.
	Phase      string     `json:"phase"`
	Reason     string     `json:"reason,omitempty"`
	StartedAt  *time.Time `json:"started-at,omitempty"`
	EndedAt    *time.Time `json:"ended-at,omitempty"`
	Pending    []string   `json:"pending,omitempty"`
	Permits    []Permit   `json:"permits,omitempty"`
	Maintained []string   `json:"maintained,omitempty"`
}

// WaveChange starts, pauses, resumes or aborts a wave, or decides how to proceed with a stuck instance.
type WaveChange struct {
	Action Action `json:"action"`
	Wave   string `json:"wave,omitempty"`
	// Instance and Choice (wait, force or give-up) are set for DecideWave only.
	Instance string `json:"instance,omitempty"`
	Choice   string `json:"choice,omitempty"`
	// OperationID is sent in the header HeaderOperationID.
	OperationID string `json:"-"`
}

// Job is a job without its payload.
type Job struct {
	Team  string `json:"team"`
	Job   string `json:"job"`
	Queue string `json:"queue"`
	// Phase is waiting, starting, running, checkpointing, finished, failed, cancelled or unknown.
	Phase  string `json:"phase"`
	Reason string `json:"reason,omitempty"`
	// Instance is the instance on which the job runs, and Previous the one on which it ran before.
	Instance   string   `json:"instance,omitempty"`
	Previous   string   `json:"previous,omitempty"`
	Starts     int32    `json:"starts"`
	Moves      int32    `json:"moves"`
	FailedOn   []string `json:"failed-on,omitempty"`
	Epoch      uint64   `json:"epoch"`
	Idempotent bool     `json:"idempotent"`
	Throttled  bool     `json:"throttled,omitempty"`

	SubmittedAt time.Time  `json:"submitted-at"`
	EndedAt     *time.Time `json:"ended-at,omitempty"`
}

// JobChange cancels a job.
type JobChange struct {
	Action Action `json:"action"`
	Team   string `json:"team"`
	Job    string `json:"job"`
	// OperationID is sent in the header HeaderOperationID.
	OperationID string `json:"-"`
}

// Quota describes how the upper limit of a team is allocated.
type Quota struct {
	Team       string `json:"team"`
	UpperLimit uint64 `json:"upper-limit"`
	// Jobs is the part of the upper limit that running jobs use.
	Jobs uint64 `json:"jobs"`
	// Holders is the part that is allocated to each incarnation of a process.
	Holders map[string]uint64 `json:"holders"`
}

// Rollout is the progress of a configuration version in all processes.
type Rollout struct {
	Version    uint64    `json:"version"`
	AcceptedAt time.Time `json:"accepted-at"`
	// InForceMs is the time in milliseconds from acceptance until the version was in force, or nil until then.
	InForceMs *int64 `json:"in-force-ms,omitempty"`
	// Waiting lists the process incarnations that have neither applied the version nor expired.
	Waiting []string `json:"waiting,omitempty"`
}
