package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// RunName names a run as workers know it.
type RunName struct {
	// Job is the ID that the client chose.
	Job                          string
	Occurrence, Step, Index, Run int32
}

// Target is the boot of a worker that an order is meant for.
type Target struct {
	// Incarnation identifies the boot in the ledger.
	Incarnation uint64
	ID, Address string
	// StartedMs is the start of the boot in Unix milliseconds, 0 when the worker does not say.
	StartedMs int64
}

// RequestHeader is what every order to a worker carries.
type RequestHeader struct {
	Target
	// FencingToken is the term of the leader; workers do nothing for a lower one than they have seen.
	FencingToken uint64
	// LeaseExpiryMs is the end of the lease on the worker's clock in milliseconds; 0 grants none.
	LeaseExpiryMs int64
}

// RenewLease renews the lease of a worker and lists its runs.
type RenewLease struct {
	RequestHeader
	// AckedEnd is the number of the last end that is durable.
	AckedEnd int64
	// Wait is how long the worker waits for an end before it answers.
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

// RequestAdvice asks which workers may run a step.
type RequestAdvice struct {
	// Step has no index and no run.
	Step    RunName
	Workers []string
}

// ListInstances reads the infrastructure's list of instances.
type ListInstances struct{}

// MoveInstance takes an instance to another pool.
type MoveInstance struct {
	Instance, Pool string
	FencingToken   uint64
}

// MaintainInstance takes an instance down for the upkeep of a wave.
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

// Outcome is how an order ended.
type Outcome int

// Outcomes of orders.
const (
	// NoAnswer orders may have been carried out, or may be later.
	NoAnswer Outcome = iota
	// Unreachable orders were not sent.
	Unreachable
	Accepted
	// Fenced orders met a worker that follows a later leader.
	Fenced
	// Outdated runs are not above one that was stopped or ended there.
	Outdated
	// DeadlineExceeded orders came after their own deadline.
	DeadlineExceeded
	NoCapacity
	BadTicket
	// Unhealthy workers have done nothing.
	Unhealthy
	// OtherIncarnation answers for the address, so the boot that was meant has ended.
	OtherIncarnation
	// Malformed orders were refused as such.
	Malformed
	// Busy receivers have done nothing; the order may be repeated later.
	Busy
	// NotFound objects are unknown to the receiver.
	NotFound
	// Withheld orders were not sent: this process may not lead any more, or has no channel left.
	Withheld
)

var outcomeNames = []string{
	"unanswered", "unreached", "accepted", "fenced", "outdated", "late", "no-room", "bad-ticket", "unhealthy", "other-boot",
	"malformed", "busy", "missing",
	"withheld",
}

// String returns the outcome in kebab case.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is what every answer of a worker carries.
type Answer struct {
	Outcome Outcome
	// ClockMs is the worker's clock in milliseconds; it has run since the boot began.
	ClockMs int64
	// SentAt and EndedAt are the times of the order and of its end on the leader's steady clock.
	SentAt, EndedAt time.Duration
}

// RunStatus is a run that a worker lists as under way.
type RunStatus struct {
	Name       RunName
	Checkpoint string
	// Percent is 100 when a run that lasts is at work.
	Percent int
	// Load is the tail in milliseconds of a run that serves, else the processors in use in thousandths of a core.
	Load int64
}

// EndedRun is the end of a run in a worker's list.
type EndedRun struct {
	Number     int64
	Name       RunName
	How        workloadpb.How
	Checkpoint string
}

// RenewLeaseResult is the end of a hold.
type RenewLeaseResult struct {
	Request RenewLease
	Answer
	Running []RunStatus
	Ended   []EndedRun
}

// StartRunResult is the end of a start.
type StartRunResult struct {
	Request StartRun
	Answer
}

// StopRunResult is the end of a stop.
type StopRunResult struct {
	Request StopRun
	Answer
}

// ThrottleRunResult is the end of a change of speed.
type ThrottleRunResult struct {
	Request ThrottleRun
	Answer
}

// AdviceResult is the answer of the adviser.
type AdviceResult struct {
	Request RequestAdvice
	Outcome Outcome
	// Tickets holds a ticket for each worker that may run the step.
	Tickets  map[string]string
	Validity time.Duration
	SentAt   time.Duration
}

// Instance is one row of the infrastructure's list.
type Instance struct {
	Name, Pool, Zone string
	// Up is false while the instance moves, is maintained or is down.
	Up bool
	// Worker is the ID of the worker on the instance.
	Worker   string
	Labels   []string
	Capacity *workloadpb.Resources
}

// ListInstancesResult is the list of instances.
type ListInstancesResult struct {
	Outcome   Outcome
	Instances []Instance
	SentAt    time.Duration
}

// MoveInstanceResult is the end of a move.
type MoveInstanceResult struct {
	Request MoveInstance
	Outcome Outcome
	SentAt  time.Duration
}

// MaintainInstanceResult is the end of an order for upkeep.
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
