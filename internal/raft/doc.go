// Package raft is the deterministic core of the replicated log. It has no clock, socket, disk or goroutine: its input is
// ticks, messages and proposals, and its output is what the driver syncs, sends and applies.
//
// The driver handles each Ready in this order: save the snapshot, then save the hard state and the entries in one sync,
// send the messages, restore the snapshot, apply the committed entries, answer the reads, call Advance. Input may arrive
// between Ready and Advance, and is part of the next Ready. Entries and messages are shared with the core and must not be
// changed. After a restart, committed entries are delivered again from the snapshot on.
package raft
