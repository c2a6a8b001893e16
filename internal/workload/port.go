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
	// Number identifies the boot in the ledger.
	Number      uint64
	ID, Address string
	// Born is the start of the boot in Unix milliseconds, 0 when the worker does not say.
	Born int64
}

// Order is what every order to a worker carries.
type Order struct {
	Target
	// Token is the term of the leader; workers do nothing for a lower one than they have seen.
	Token uint64
	// Deadline is the end of the lease on the worker's clock in milliseconds; 0 grants none.
	Deadline int64
}

// Hold renews the lease of a worker and lists its runs.
type Hold struct {
	Order
	// Noted is the number of the last end that is durable.
	Noted int64
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// Start starts a run.
type Start struct {
	Order
	Name                     RunName
	Spec, Checkpoint, Ticket string
}

// Stop stops a run.
type Stop struct {
	Order
	Name RunName
}

// Pace throttles a run to a share of its speed.
type Pace struct {
	Order
	Name    RunName
	Percent int
}

// Advise asks which workers may run a step.
type Advise struct {
	// Step has no index and no run.
	Step    RunName
	Workers []string
}

// ListInstances reads the infrastructure's list of instances.
type ListInstances struct{}

// Move takes an instance to another pool.
type Move struct {
	Instance, Pool string
	Token          uint64
}

// Maintain takes an instance down for the upkeep of a wave.
type Maintain struct {
	Instance string
	Wave     int64
	Token    uint64
}

// ActionName implements kernel.Action.
func (Hold) ActionName() string { return "hold" }

// ActionName implements kernel.Action.
func (Start) ActionName() string { return "start" }

// ActionName implements kernel.Action.
func (Stop) ActionName() string { return "stop" }

// ActionName implements kernel.Action.
func (Pace) ActionName() string { return "pace" }

// ActionName implements kernel.Action.
func (Advise) ActionName() string { return "advise" }

// ActionName implements kernel.Action.
func (ListInstances) ActionName() string { return "list-instances" }

// ActionName implements kernel.Action.
func (Move) ActionName() string { return "move" }

// ActionName implements kernel.Action.
func (Maintain) ActionName() string { return "maintain" }

// Outcome is how an order ended.
type Outcome int

// Outcomes of orders.
const (
	// Unanswered orders may have been carried out, or may be later.
	Unanswered Outcome = iota
	// Unreached orders were not sent.
	Unreached
	Accepted
	// Fenced orders met a worker that follows a later leader.
	Fenced
	// Outdated runs are not above one that was stopped or ended there.
	Outdated
	// Late orders came after their own deadline.
	Late
	NoRoom
	BadTicket
	// Unhealthy workers have done nothing.
	Unhealthy
	// OtherBoot answers for the address, so the boot that was meant has ended.
	OtherBoot
	// Malformed orders were refused as such.
	Malformed
	// Busy receivers have done nothing; the order may be repeated later.
	Busy
	// Missing objects are unknown to the receiver.
	Missing
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
	// Clock is the worker's clock in milliseconds; it has run since the boot began.
	Clock int64
	// SentAt and At are the times of the order and of its end on the leader's steady clock.
	SentAt, At time.Duration
}

// Row is a run that a worker lists as under way.
type Row struct {
	Name       RunName
	Checkpoint string
	// Percent is 100 when a run that lasts is at work.
	Percent int
	// Load is the tail in milliseconds of a run that serves, else the processors in use in thousandths of a core.
	Load int64
}

// EndRow is the end of a run in a worker's list.
type EndRow struct {
	Number     int64
	Name       RunName
	How        workloadpb.How
	Checkpoint string
}

// HoldDone is the end of a hold.
type HoldDone struct {
	Request Hold
	Answer
	Running []Row
	Ended   []EndRow
}

// StartDone is the end of a start.
type StartDone struct {
	Request Start
	Answer
}

// StopDone is the end of a stop.
type StopDone struct {
	Request Stop
	Answer
}

// PaceDone is the end of a change of speed.
type PaceDone struct {
	Request Pace
	Answer
}

// AdviseDone is the answer of the adviser.
type AdviseDone struct {
	Request  Advise
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

// InstancesDone is the list of instances.
type InstancesDone struct {
	Outcome   Outcome
	Instances []Instance
	SentAt    time.Duration
}

// MoveDone is the end of a move.
type MoveDone struct {
	Request    Move
	Outcome Outcome
	SentAt  time.Duration
}

// MaintainDone is the end of an order for upkeep.
type MaintainDone struct {
	Request Maintain
	Outcome  Outcome
	SentAt   time.Duration
}

// EventName implements kernel.Event.
func (HoldDone) EventName() string { return "hold-done" }

// EventName implements kernel.Event.
func (StartDone) EventName() string { return "start-done" }

// EventName implements kernel.Event.
func (StopDone) EventName() string { return "stop-done" }

// EventName implements kernel.Event.
func (PaceDone) EventName() string { return "pace-done" }

// EventName implements kernel.Event.
func (AdviseDone) EventName() string { return "advise-done" }

// EventName implements kernel.Event.
func (InstancesDone) EventName() string { return "instances-done" }

// EventName implements kernel.Event.
func (MoveDone) EventName() string { return "move-done" }

// EventName implements kernel.Event.
func (MaintainDone) EventName() string { return "maintain-done" }
