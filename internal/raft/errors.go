package raft

import "github.com/joomcode/errorx"

// Namespace is the errorx namespace of all errors of this package.
var Namespace = errorx.NewNamespace("raft")

var (
	// ErrNotLeader reports a request to a member that is not the leader; the request had no effect.
	ErrNotLeader = Namespace.NewType("not-leader")
	// ErrBusy reports a request that can succeed later, such as a proposal during a leadership transfer.
	ErrBusy = Namespace.NewType("busy")
	// ErrFull reports a proposal for which the uncommitted entries leave no room.
	ErrFull = ErrBusy.NewSubtype("full")
	// ErrInvalid reports a malformed request or message.
	ErrInvalid = Namespace.NewType("invalid")
	// ErrNotCaughtUp reports a membership change that is rejected until a member has caught up with the leader.
	ErrNotCaughtUp = Namespace.NewType("not-caught-up")
	// ErrCorrupt reports an inconsistent persistent state.
	ErrCorrupt = Namespace.NewType("corrupt")
)
