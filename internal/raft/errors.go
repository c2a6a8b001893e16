package raft

import "github.com/joomcode/errorx"

// Namespace is the errorx namespace of all errors of this package.
var Namespace = errorx.NewNamespace("raft")

var (
	// ErrNotLeader reports a request to a member that does not lead; it was not accepted.
	ErrNotLeader = Namespace.NewType("not-leader")
	// ErrBusy reports a request that can succeed later, such as a proposal during a leadership transfer.
	ErrBusy = Namespace.NewType("busy")
	// ErrInvalid reports a request or message with bad content.
	ErrInvalid = Namespace.NewType("invalid")
	// ErrNotCaughtUp reports a membership change that waits for a member to catch up.
	ErrNotCaughtUp = Namespace.NewType("not-caught-up")
	// ErrCorrupt reports persisted state that contradicts itself.
	ErrCorrupt = Namespace.NewType("corrupt")
)
