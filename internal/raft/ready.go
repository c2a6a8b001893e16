package raft

import (
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// Ready is the work that the driver has to do next, in the order that the package comment describes.
type Ready struct {
	// Snapshot is to be restored into the state machine. It is nil if there is none to restore.
	Snapshot *Snapshot
	// Messages are to be sent to other members at once. They may be lost, repeated or reordered.
	Messages []*raftpb.Message
	// Save is to be saved beside all other work. It is nil if there is nothing to save, or if an earlier one was not yet
	// passed to Saved.
	Save *Save
	// CommittedEntries are the next entries to apply, in order. The own disk may not hold them yet.
	CommittedEntries []*raftpb.Entry
	// Reads are to be answered as soon as their index is applied.
	Reads []ReadResult
}

// Save is what a member saves in one step, the snapshot first, then hard state and entries in one sync.
type Save struct {
	// Snapshot replaces the log. It is nil if there is none.
	Snapshot *Snapshot
	// HardState is nil if it is unchanged.
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
	// Messages are to be sent once all of that is saved, as they promise that it will not be forgotten. They may be lost,
	// repeated or reordered.
	Messages []*raftpb.Message

	startTick uint64 // when the driver got it
}

// IsEmpty reports whether nothing is to be written, so that the messages may be sent at once.
func (s *Save) IsEmpty() bool { return s.Snapshot == nil && s.HardState == nil && len(s.Entries) == 0 }

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
	var unsaved []*raftpb.Message
	for _, m := range c.messages {
		if c.mayPrecedeSave(m) {
			rd.Messages = append(rd.Messages, m)
		} else {
			unsaved = append(unsaved, m)
		}
	}
	c.messages = unsaved
	rd.Save = c.takeSave()
	rd.Snapshot, rd.Reads = c.snapshotToRestore, c.readResults
	rd.CommittedEntries = c.log.slice(c.lastApplied+1, c.commitIndex, maxCommittedBytes)
	c.snapshotToRestore, c.readResults = nil, nil
	ok = rd.Snapshot != nil || rd.Save != nil || len(rd.Messages)+len(rd.CommittedEntries)+len(rd.Reads) > 0
	c.isAwaitingAdvance = ok
	return rd, ok
}

// mayPrecedeSave reports whether a message may be sent before the current state is saved. A leader that forgets entries
// can't lead in the same term again, so it sends them early; it counts them as its own only once they are saved. An answer to a
// heartbeat tells only that the member knew no later term when it was sent.
func (c *Core) mayPrecedeSave(m *raftpb.Message) bool {
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, raftpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		return !c.hasUnsavedHardState()
	case raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_RESPONSE, raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE,
		raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE, raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_RESPONSE:
		return true
	}
	return false
}

func (c *Core) hasUnsavedHardState() bool { return c.savedHardState != hardState{c.term, c.votedFor} }

// takeSave returns all that is to be saved, and the messages that wait for it, or nil.
func (c *Core) takeSave() *Save {
	if c.saving != nil {
		return nil
	}
	s := &Save{
		Snapshot: c.snapshotToSave, Entries: c.log.slice(c.log.lastTaken+1, c.log.lastIndex(), maxSaveBytes),
		startTick: c.tickCount,
	}
	if c.hasUnsavedHardState() {
		s.HardState = &raftpb.HardState{Term: c.term, Vote: c.votedFor}
	}
	c.log.lastTaken += uint64(len(s.Entries))
	if c.log.lastTaken == c.log.lastIndex() {
		s.Messages, c.messages = withoutCoveredAcks(c.messages), nil
	}
	if s.IsEmpty() && len(s.Messages) == 0 {
		return nil
	}
	c.saving, c.snapshotToSave = s, nil
	return s
}

// withoutCoveredAcks removes the acknowledgements that a later one to the same leader covers.
func withoutCoveredAcks(messages []*raftpb.Message) []*raftpb.Message {
	isAck := func(m *raftpb.Message) bool {
		return m.Type == raftpb.MessageType_MESSAGE_TYPE_APPEND_RESPONSE && !m.Reject
	}
	var list []*raftpb.Message
	for i, m := range messages {
		covered := isAck(m) && slices.ContainsFunc(messages[i+1:], func(o *raftpb.Message) bool {
			return isAck(o) && o.To == m.To && o.Term == m.Term && o.LogIndex >= m.LogIndex
		})
		if !covered {
			list = append(list, m)
		}
	}
	return list
}

// Saved records that the driver has saved s, the newest Save. It may come before or after Advance.
func (c *Core) Saved(s *Save) {
	c.saving = nil
	if h := s.HardState; h != nil {
		c.savedHardState = hardState{h.Term, h.Vote}
		c.awaitElection(int(c.tickCount - s.startTick))
	}
	if s.Snapshot != nil {
		c.log.lastSynced = max(c.log.lastSynced, s.Snapshot.Meta.Index)
	}
	if n := len(s.Entries); n > 0 {
		// If the entry was replaced in the meantime, its replacement is not saved yet.
		if e := s.Entries[n-1]; c.log.matchesTerm(e.Index, e.Term) {
			c.log.lastSynced = max(c.log.lastSynced, e.Index)
		}
	}
	if c.role == Leader {
		c.progress[c.cfg.ID].matchIndex = c.log.lastSynced
		c.advanceCommitIndex()
	}
}

// Advance records that the driver has handled rd, that is, has sent and applied everything in it, but for the Save.
func (c *Core) Advance(rd Ready) {
	c.isAwaitingAdvance = false
	if n := len(rd.CommittedEntries); n > 0 {
		c.lastApplied = max(c.lastApplied, rd.CommittedEntries[n-1].Index)
	}
}
