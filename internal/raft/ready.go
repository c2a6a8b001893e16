package raft

import "github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"

// Ready is the work that the driver has to do next, in the order that the package comment describes.
type Ready struct {
	// Snapshot is to be saved and then restored into the state machine. It is nil if there is none to restore.
	Snapshot *Snapshot
	// HardState and Entries are to be saved in one sync before any message is sent, but for those that SplitMessages
	// returns as early. HardState is nil if it is unchanged.
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
	// Messages are to be sent to other members. They may be lost, repeated or reordered.
	Messages []*raftpb.Message
	// CommittedEntries are the next entries to apply, in order.
	CommittedEntries []*raftpb.Entry
	// Reads are to be answered as soon as their index is applied.
	Reads []ReadResult
}

// SplitMessages returns the messages that may be sent before HardState and Entries are saved, and all others. A leader may
// send its entries early, as it counts them as its own only once Advance tells that they are saved, and a leader that
// forgets them can't lead in the same term again.
func (rd *Ready) SplitMessages() (early, late []*raftpb.Message) {
	if rd.HardState != nil || rd.Snapshot != nil {
		return nil, rd.Messages
	}
	for _, m := range rd.Messages {
		switch m.Type {
		case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT:
			early = append(early, m)
		default:
			late = append(late, m)
		}
	}
	return early, late
}

// Ready returns the next work for the driver. ok is false if there is none, or if the previous Ready was not yet
// passed to Advance.
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
	ok = rd.Snapshot != nil || rd.HardState != nil ||
		len(rd.Entries)+len(rd.Messages)+len(rd.CommittedEntries)+len(rd.Reads) > 0
	c.isAwaitingAdvance = ok
	return rd, ok
}

// Advance records that the driver has handled rd, that is, has synced, sent and applied everything in it.
func (c *Core) Advance(rd Ready) {
	c.isAwaitingAdvance = false
	if n := len(rd.Entries); n > 0 {
		// If the entry was replaced in the meantime, its replacement is not synced yet.
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
