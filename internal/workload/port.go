package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// RequestTimeout is how long the answer to a request to a worker is waited for, beyond the time that the request asks the
// worker to wait. Workers answer within a round trip, so a slower one is most likely unreachable.
const RequestTimeout = time.Second

// RunName identifies a run on workers.
type RunName struct {
	// Job is the ID that the client chose.
	Job                          string
	Occurrence, Step, Index, Run int32
}

// Target is the incarnation of a worker that a request is meant for.
type Target struct {
	// Incarnation is the number of the incarnation in the ledger.
	Incarnation uint64
	ID, Address string
	// StartedMs is the start of the incarnation in Unix milliseconds, 0 if the worker does not report it.
	StartedMs int64
}

// RequestHeader is the part that every request to a worker has.
type RequestHeader struct {
	Target
	// FencingToken rises with the term of the leader, with the incarnations of the worker's ID, and between an acknowledgement
	// without an answer and the next start; workers reject requests with a lower one than they have seen.
	FencingToken uint64
	// LeaseExpiryMs is the end of the lease on the worker's clock in milliseconds; 0 grants none.
	LeaseExpiryMs int64
}

// RenewLease renews the lease of a worker and lists its runs.
type RenewLease struct {
	RequestHeader
	// AckedEnd is the number of the last end that is recorded in the log.
	AckedEnd int64
	// Wait is how long the worker waits for the end of a run before it answers.
	Wait time.Duration
}

// StartRun starts a run.
type StartRun struct {
	RequestHeader
	Name                     RunName
	Spec, Checkpoint, Ticket string
}

// StopRun stops a run.
type StopRun struct {
	RequestHeader
	Name RunName
}

// ThrottleRun throttles a run to a share of its speed.
type ThrottleRun struct {
	RequestHeader
	Name    RunName
	Percent int
}

// RequestAdvice asks the adviser which workers may run a step.
type RequestAdvice struct {
	// Step has no index and no run.
	Step    RunName
	Workers []string
}

// ListInstances reads the platform's list of instances.
type ListInstances struct{}

// MoveInstance moves an instance to another pool.
type MoveInstance struct {
	Instance, Pool string
	FencingToken   uint64
}

// MaintainInstance takes an instance out of service for the maintenance of a wave.
type MaintainInstance struct {
	Instance     string
	Wave         int64
	FencingToken uint64
}

// ActionName implements kernel.Action.
func (RenewLease) ActionName() string { return "hold" }

// ActionName implements kernel.Action.
func (StartRun) ActionName() string { return "start" }

// ActionName implements kernel.Action.
func (StopRun) ActionName() string { return "stop" }

// ActionName implements kernel.Action.
func (ThrottleRun) ActionName() string { return "pace" }

// ActionName implements kernel.Action.
func (RequestAdvice) ActionName() string { return "advise" }

// ActionName implements kernel.Action.
func (ListInstances) ActionName() string { return "list-instances" }

// ActionName implements kernel.Action.
func (MoveInstance) ActionName() string { return "move" }

// ActionName implements kernel.Action.
func (MaintainInstance) ActionName() string { return "maintain" }

// Outcome is how a request ended.
type Outcome int

// Outcomes of requests.
const (
	// NoAnswer means that the request may have been carried out, or may be later.
	NoAnswer Outcome = iota
	// Unreachable means that the request was not sent, as the receiver could not be reached.
	Unreachable
	Accepted
	// Fenced means that the receiver has seen a higher token, of a later leader or of a later request.
	Fenced
	// Outdated means that the worker has stopped or ended this run or a later one of the task.
	Outdated
	// DeadlineExceeded means that the request arrived after its own deadline.
	DeadlineExceeded
	NoCapacity
	BadTicket
	// Unhealthy means that the worker is unhealthy and has done nothing.
	Unhealthy
	// OtherIncarnation means that another incarnation answers at the address, so the target has ended.
	OtherIncarnation
	// Malformed means that the receiver rejected the request as malformed.
	Malformed
	// Busy means that the receiver has done nothing; the request may be repeated later.
	Busy
	// NotFound means that the object of the request is unknown to the receiver.
	NotFound
	// Withheld means that the request was not sent: this process may not lead any more, or has no connection left.
	Withheld
)

var outcomeNames = []string{
	"unanswered", "unreached", "accepted", "fenced", "outdated", "late", "no-room", "bad-ticket", "unhealthy",
	"other-boot", "malformed", "busy", "missing", "withheld",
}

// String returns the outcome in kebab case.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the part that every answer of a worker has.
type Answer struct {
	Outcome Outcome
	// ExecutedBy is the start in Unix milliseconds of another incarnation with the ID of the target that has executed the
	// request; 0 if none has. The outcome is OtherIncarnation then.
	ExecutedBy int64
	// Unattributed is set if the answer doesn't tell which incarnation with the ID of the target gave it.
	Unattributed bool
	// Repeated is set if the request was sent twice, and the first time it got no answer.
	Repeated bool
	// Closed is set if the request got no answer as its connection was closed, possibly before it was sent.
	Closed bool
	// Refused is set if nothing listens at the address of the target any more, so its process has ended.
	Refused bool
	// ClockMs is the worker's clock in milliseconds since the incarnation started.
	ClockMs int64
	// SentAt and EndedAt are the times of the request and of its end on the leader's monotonic clock.
	SentAt, EndedAt time.Duration
}

// RunStatus is the state of a run that a worker lists as running.
type RunStatus struct {
	Name       RunName
	Checkpoint string
	// Percent is 100 when a long-running task is ready.
	Percent int
	// Load is the tail latency in milliseconds of a latency-sensitive task, otherwise the processors in use in
	// thousandths of a core.
	Load int64
}

// EndedRun is the end of a run in a worker's list.
type EndedRun struct {
	Number     int64
	Name       RunName
	How        workloadpb.How
	Checkpoint string
}

// RenewLeaseResult is the result of RenewLease.
type RenewLeaseResult struct {
	Request RenewLease
	Answer
	Running []RunStatus
	Ended   []EndedRun
}

// StartRunResult is the result of StartRun.
type StartRunResult struct {
	Request StartRun
	Answer
}

// StopRunResult is the result of StopRun.
type StopRunResult struct {
	Request StopRun
	Answer
}

// ThrottleRunResult is the result of ThrottleRun.
type ThrottleRunResult struct {
	Request ThrottleRun
	Answer
}

// AdviceResult is the result of RequestAdvice.
type AdviceResult struct {
	Request RequestAdvice
	Outcome Outcome
	// Tickets holds a ticket for each worker that may run the step.
	Tickets  map[string]string
	Validity time.Duration
	SentAt   time.Duration
}

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name, Pool, Zone string
	// Up is false while the instance moves, is maintained or is down.
	Up bool
	// Worker is the ID of the worker on the instance.
	Worker   string
	Labels   []string
	Capacity *workloadpb.Resources
}

// ListInstancesResult is the result of ListInstances.
type ListInstancesResult struct {
	Outcome   Outcome
	Instances []Instance
	SentAt    time.Duration
}

// MoveInstanceResult is the result of MoveInstance.
type MoveInstanceResult struct {
	Request MoveInstance
	Outcome Outcome
	SentAt  time.Duration
}

// MaintainInstanceResult is the result of MaintainInstance.
type MaintainInstanceResult struct {
	Request MaintainInstance
	Outcome Outcome
	SentAt  time.Duration
}

// EventName implements kernel.Event.
func (RenewLeaseResult) EventName() string { return "hold-done" }

// EventName implements kernel.Event.
func (StartRunResult) EventName() string { return "start-done" }

// EventName implements kernel.Event.
func (StopRunResult) EventName() string { return "stop-done" }

// EventName implements kernel.Event.
func (ThrottleRunResult) EventName() string { return "pace-done" }

// EventName implements kernel.Event.
func (AdviceResult) EventName() string { return "advise-done" }

// EventName implements kernel.Event.
func (ListInstancesResult) EventName() string { return "instances-done" }

// EventName implements kernel.Event.
func (MoveInstanceResult) EventName() string { return "move-done" }

// EventName implements kernel.Event.
func (MaintainInstanceResult) EventName() string { return "maintain-done" }
