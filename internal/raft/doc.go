// Package raft implements the Raft consensus algorithm as a deterministic state machine, with pre-vote, learners,
// leadership transfer and membership changes of one member at a time. It uses no clock, socket, disk or goroutine: its
// input is ticks, messages and proposals, and its output is what the driver has to sync, send and apply.
//
// The driver handles each Ready in this order: send the messages, restore the snapshot into the state machine, apply the
// committed entries, answer the reads and call Advance. Input that arrives between Ready and Advance takes effect in the
// next Ready. The Save of a Ready is written beside that, while the core goes on: save its snapshot, save its hard state
// and its entries in one sync, call Saved and send its messages. At most one Save is in progress. The driver must not
// modify entries and messages, because the core keeps using them. After a restart, the core delivers the committed
// entries that follow the snapshot again.
package raft
