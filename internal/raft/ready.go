package raft

import "github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"

// Ready is work for the driver; see the package comment for the order.
type Ready struct {
	// Snapshot is saved and then restored into the state machine; nil when there is none.
	Snapshot *Snapshot
	// HardState and Entries are saved in one sync before any message is sent. HardState is nil when unchanged.
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
	// Messages go to other members in any order; they may be lost.
	Messages []*raftpb.Message
	// CommittedEntries holds the next entries to apply, in order.
	CommittedEntries []*raftpb.Entry
	// Reads are answered once their index is applied.
	Reads []ReadResult
}

// Ready returns the next work; ok is false when there is none or when the previous work was not passed to Advance.
func (c *Core) Ready() (rd Ready, ok bool) {
	if c.isAwaitingAdvance {
		return Ready{}, false
	}
	if c.hasUnsentEntries || c.hasUnsentCommitIndex {
		announce := c.hasUnsentCommitIndex
		c.hasUnsentEntries, c.hasUnsentCommitIndex = false, false
		c.broadcastAppend(announce)
	}
	rd = Ready{
		Snapshot: c.snapshotToInstall, Messages: c.messages, Reads: c.readResults,
		Entries:          c.log.slice(c.log.lastSynced+1, c.log.lastIndex(), unlimited),
		CommittedEntries: c.log.slice(c.lastApplied+1, c.commitIndex, maxCommittedBytes),
	}
	if c.lastHardState != (hardState{c.term, c.votedFor}) {
		c.lastHardState = hardState{c.term, c.votedFor}
		rd.HardState = &raftpb.HardState{Term: c.term, Vote: c.votedFor}
	}
	c.snapshotToInstall, c.messages, c.readResults = nil, nil, nil
	ok = rd.Snapshot != nil || rd.HardState != nil || len(rd.Entries)+len(rd.Messages)+len(rd.CommittedEntries)+len(rd.Reads) > 0
	c.isAwaitingAdvance = ok
	return rd, ok
}

// Advance records that the driver has handled rd: everything in it is synced, sent and applied.
func (c *Core) Advance(rd Ready) {
	c.isAwaitingAdvance = false
	if n := len(rd.Entries); n > 0 {
		// The entry may have been replaced since; then its replacement still has to be synced.
		if e := rd.Entries[n-1]; c.log.matchesTerm(e.Index, e.Term) {
			c.log.lastSynced = max(c.log.lastSynced, e.Index)
		}
	}
	if n := len(rd.CommittedEntries); n > 0 {
		c.lastApplied = max(c.lastApplied, rd.CommittedEntries[n-1].Index)
	}
	if c.role == Leader {
		c.progress[c.cfg.ID].matchIndex = c.log.lastSynced
		c.advanceCommitIndex()
	}
}
