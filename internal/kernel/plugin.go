package kernel

import (
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
)

// Namespace is the errorx namespace of all errors that commands return.
var Namespace = errorx.NewNamespace("command")

// Error types that replication preserves: a stored error is decoded as the same type.
var (
	// ErrInvalid reports a command with invalid content.
	ErrInvalid = Namespace.NewType("invalid")
	// ErrConflict reports a command that conflicts with the current state, such as one that is based on an older state.
	ErrConflict = Namespace.NewType("conflict")
	// ErrNotFound reports a command that refers to an unknown object.
	ErrNotFound = Namespace.NewType("not-found")
	// ErrHalted reports a command for a plug-in whose invariant was violated.
	ErrHalted = Namespace.NewType("halted")
	// ErrBusy reports a command that was certainly not taken because the leader has too much to commit.
	ErrBusy = Namespace.NewType("busy")
)

// Command describes one change of the replicated state.
type Command struct {
	// Plugin names the plug-in that applies the command.
	Plugin string
	// ID is the operation identifier; it is empty for commands that originate from the leader.
	ID string
	// At is the wall time of the leader since the Unix epoch; leases do not depend on it.
	At time.Duration
	// Body is a protobuf message owned by the plug-in.
	Body []byte
}

// NewCommand encodes a command of a plug-in; id is the operation identifier and may be empty.
func NewCommand(plugin, id string, m proto.Message) (Command, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return Command{}, errorx.Decorate(err, "encode command of plug-in %s", plugin)
	}
	return Command{Plugin: plugin, ID: id, Body: body}, nil
}

// Result is the outcome of an applied command.
type Result struct {
	// Index is the log index at which the command was first applied.
	Index uint64
	// Body is a protobuf message owned by the plug-in.
	Body []byte
	// Err is nil when the command succeeded.
	Err error
}

// ReplyMode selects how a command is answered.
type ReplyMode int

// Ways to answer a command.
const (
	// Replicate puts the command into the log; its result is the answer.
	Replicate ReplyMode = iota
	// AfterReadIndex answers without a log entry, from the state at the time when a quorum has confirmed the leader.
	AfterReadIndex
	// Immediate answers without a log entry or a quorum.
	Immediate
)

// LeadershipGained is the event that follows BecomeLeader once the leader's term has begun.
type LeadershipGained struct {
	// Term is the number of the term; it is higher than that of every earlier leader.
	Term uint64
	// PreviousTerm is the highest term of an earlier leader that may have led, 0 if it is not known.
	PreviousTerm uint64
}

// EventName implements Event.
func (LeadershipGained) EventName() string { return "leading" }

// LeadershipLost is the event that this process is no longer the leader.
type LeadershipLost struct{}

// EventName implements Event.
func (LeadershipLost) EventName() string { return "deposed" }

// CommitDelay is the event that tells how long the log takes to commit a command now.
type CommitDelay struct {
	// Delay is that of the last command, or of the oldest one that is not committed if it has waited longer; 0 if the log is
	// idle.
	Delay time.Duration
	// AppliedBefore is a time on the leader's monotonic clock; all commands of the log that were proposed before it are applied.
	AppliedBefore time.Duration
}

// EventName implements Event.
func (CommitDelay) EventName() string { return "commit-delay" }

// Event is unreplicated input to the leader, such as demand, usage or a response of the platform.
type Event interface{ EventName() string }

// Action is output of the leader that a driver runs outside the kernel, such as a platform call.
type Action interface{ ActionName() string }

// Decision holds the commands to replicate and the actions to run that a plug-in decided on.
type Decision struct {
	Commands []Command
	Actions  []Action
}

// Plugin implements one part of the control state. Every function field may be nil.
type Plugin struct {
	// Name identifies the plug-in in commands and snapshots.
	Name string
	// InView is true when entry processes apply the plug-in's commands too.
	InView bool
	// Changes returns the changes since the last call that entry processes must merge, or nil when there are none. A
	// plug-in with InView needs it when its state also depends on plug-ins that entry processes do not have. Without it,
	// entry processes apply the plug-in's commands.
	Changes func() ([]byte, error)
	// Merge applies changes that Changes returned on another process.
	Merge func(data []byte) error
	// Apply applies a committed command; it must be deterministic.
	Apply func(c Command) ([]byte, error)
	// Respond answers a command that need not be replicated, on the leader; nil replicates every command.
	Respond func(now time.Duration, c Command) ([]byte, ReplyMode)
	// Observe handles an event on the leader; it changes soft state only.
	Observe func(now time.Duration, ev Event)
	// Decide returns the commands and actions of the leader; it is called after each event and tick.
	Decide func(now time.Duration) Decision
	// BecomeLeader resets the soft state when this process becomes leader.
	BecomeLeader func(now time.Duration)
	// Query answers a read on the leader after a quorum has confirmed its leadership.
	Query func(req []byte) ([]byte, error)
	// Snapshot encodes the replicated state.
	Snapshot func() ([]byte, error)
	// Restore replaces the replicated state.
	Restore func(data []byte) error
	// Check returns an error when an invariant of the replicated state is violated.
	Check func() error
}
