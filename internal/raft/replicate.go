package raft

import (
	"math"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// Propose appends a command to the log of the leader. The command is committed if the entry that is later committed at
// the returned index has the current term; otherwise another leader has replaced it.
func (c *Core) Propose(data []byte) (index uint64, err error) {
	if err := c.checkAcceptsProposals(); err != nil {
		return 0, err
	}
	if len(data) > MaxEntryBytes {
		return 0, ErrInvalid.New("command of %d bytes exceeds %d bytes", len(data), MaxEntryBytes)
	}
	if c.uncommittedBytes > 0 && c.uncommittedBytes+len(data) > maxUncommittedBytes {
		return 0, ErrFull.New("%d bytes wait to be committed", c.uncommittedBytes)
	}
	return c.appendEntry(raftpb.EntryType_ENTRY_TYPE_COMMAND, data), nil
}

func (c *Core) checkAcceptsProposals() error {
	if c.role != Leader {
		return ErrNotLeader.New("member %s does not lead", c.cfg.ID)
	}
	if c.transferTarget != "" {
		return ErrBusy.New("leadership is being transferred to %s", c.transferTarget)
	}
	return nil
}

// appendEntry appends an entry of the leader's own term to its log and returns the index.
func (c *Core) appendEntry(kind raftpb.EntryType, data []byte) uint64 {
	e := &raftpb.Entry{Index: c.log.lastIndex() + 1, Term: c.term, Type: kind, Data: data}
	c.log.entries = append(c.log.entries, e)
	c.uncommittedBytes += entrySize(e)
	c.hasUnsentEntries = true
	if kind == raftpb.EntryType_ENTRY_TYPE_MEMBER_CHANGE {
		c.updateMembership()
	}
	return e.Index
}

func (c *Core) broadcastAppend(sendEmpty bool) {
	for _, m := range c.members {
		if m.Id != c.cfg.ID {
			c.replicate(m.Id, c.progress[m.Id], sendEmpty)
		}
	}
}

// replicate sends the entries that the member lacks, as far as flow control permits. With sendEmpty it sends an append
// even if there is no such entry.
func (c *Core) replicate(id string, p *progress, sendEmpty bool) {
	for !p.isPaused() && (sendEmpty || p.nextIndex <= c.log.lastIndex()) {
		sendEmpty = false
		prev, ok := c.log.term(p.nextIndex - 1)
		if !ok {
			c.startSnapshotTransfer(id, p)
			return
		}
		entries := c.log.slice(p.nextIndex, c.log.lastIndex(), maxAppendBytes)
		c.send(&raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, To: id, LogIndex: p.nextIndex - 1, LogTerm: prev, Entries: entries,
			Commit: c.commitIndex,
		})
		if p.state == probing {
			p.hasUnansweredProbe = true
		} else if n := uint64(len(entries)); n > 0 {
			p.nextIndex += n
			p.inflight = append(p.inflight, p.nextIndex-1)
		}
	}
}

func (c *Core) onAppend(m *raftpb.Message) error {
	r := &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_RESPONSE, To: m.From}
	if m.LogIndex < c.commitIndex {
		r.LogIndex = c.commitIndex
		c.send(r)
		return nil
	}
	if !c.log.matchesTerm(m.LogIndex, m.LogTerm) {
		r.Reject, r.LogIndex = true, m.LogIndex
		r.HintIndex, r.HintTerm = c.log.lastPossibleMatch(m.LogIndex, m.LogTerm)
		c.send(r)
		return nil
	}
	for i, e := range m.Entries {
		if c.log.matchesTerm(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.commitIndex {
			return ErrInvalid.New("%q replaces the committed entry %d", m.From, e.Index)
		}
		removesMemberChange := e.Index <= c.lastChangeIndex
		if e.Index <= c.log.lastIndex() {
			c.log.truncateFrom(e.Index)
		}
		c.log.entries = append(c.log.entries, m.Entries[i:]...)
		if removesMemberChange || slices.ContainsFunc(m.Entries[i:], isMemberChange) {
			c.updateMembership()
		}
		break
	}
	r.LogIndex = m.LogIndex + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, r.LogIndex))
	c.send(r)
	return nil
}

func (c *Core) onAppendResponse(m *raftpb.Message, p *progress) error {
	if m.LogIndex > c.log.lastIndex() {
		return ErrInvalid.New("%q acknowledges entry %d after the last entry %d", m.From, m.LogIndex, c.log.lastIndex())
	}
	if m.Reject {
		c.onRejection(m, p)
		return nil
	}
	p.recordAcknowledgement(m.LogIndex)
	switch p.state {
	case probing:
		p.startProbing(p.matchIndex + 1)
		p.state = replicating
	case transferring:
		if p.matchIndex >= p.transfer.snapshot.Meta.Index {
			p.startProbing(p.matchIndex + 1)
			p.state = replicating
		}
	}
	c.advanceCommitIndex()
	c.replicate(m.From, p, false)
	c.maybeSendTimeoutNow(m.From, p)
	return nil
}

func (c *Core) onRejection(m *raftpb.Message, p *progress) {
	if m.LogIndex <= p.matchIndex || p.state == transferring || p.state == probing && m.LogIndex != p.nextIndex-1 {
		return // outdated response
	}
	hint := m.HintIndex
	if m.HintTerm > 0 {
		hint, _ = c.log.lastPossibleMatch(m.HintIndex, m.HintTerm)
	}
	p.startProbing(max(min(m.LogIndex, hint+1), p.matchIndex+1))
	c.replicate(m.From, p, true)
}

func (c *Core) onHeartbeatResponse(m *raftpb.Message, p *progress) {
	p.answeredRound = max(p.answeredRound, min(m.Round, c.heartbeatRound))
	c.confirmReads()
	c.maybeSendTimeoutNow(m.From, p)
	switch {
	case p.state == transferring:
		c.resumeSnapshotTransfer(m.From, p)
	case p.matchIndex < c.log.lastIndex() && p.lastLossCheckTick != c.tickCount:
		// The last append or its response may be lost, which another append, even an empty one, finds out. It is sent
		// only once per tick, although reads can cause many heartbeat rounds in one tick.
		p.lastLossCheckTick, p.hasUnansweredProbe = c.tickCount, false
		if p.state == replicating && p.isPaused() {
			p.inflight = p.inflight[1:]
		}
		c.replicate(m.From, p, true)
	}
}

// advanceCommitIndex commits the entries that a quorum has synced, provided that the last of them is of the leader's
// own term. An entry of an earlier term that a quorum has synced can still be replaced by a later leader.
func (c *Core) advanceCommitIndex() {
	index := c.quorumValue(func(p *progress) uint64 { return p.matchIndex })
	if index <= c.commitIndex || !c.log.matchesTerm(index, c.term) {
		return
	}
	c.uncommittedBytes -= c.log.sizeOf(c.commitIndex+1, index)
	c.commitTo(index)
	c.hasUnsentCommitIndex = true
	c.startReadRound()
}

// quorumValue returns the highest value that a quorum of voters has reached, such as the highest match index.
func (c *Core) quorumValue(value func(p *progress) uint64) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, set := range voterSets(c.members) {
		values := make([]uint64, 0, len(set))
		for _, m := range set {
			values = append(values, value(c.progress[m.Id]))
		}
		slices.Sort(values)
		lowest = min(lowest, values[len(values)-Quorum(len(set))])
	}
	return lowest
}

func (c *Core) commitTo(index uint64) { c.commitIndex = max(c.commitIndex, index) }
