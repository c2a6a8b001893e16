package raft

import "github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"

// ReadResult is the result of a read that was requested with ReadIndex.
type ReadResult struct {
	ID uint64
	// Index is the index through which the driver must have applied the log before it answers the read.
	Index uint64
	// Failed reports that the member lost the leadership before a quorum confirmed the read.
	Failed bool
}

// pendingRead is a read that waits until a quorum has answered a heartbeat round that was sent after the request.
type pendingRead struct {
	id, round, index uint64 // round is 0 until that round has started
}

// ReadIndex requests a linearizable read: the result, which arrives in Ready.Reads with the same ID, has an index that
// covers everything committed before the call.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader.New("member %s does not lead", c.cfg.ID)
	}
	c.pendingReads = append(c.pendingReads, pendingRead{id: id})
	c.startReadRound()
	return nil
}

// startReadRound starts a heartbeat round for the pending reads unless one is in flight. Reads that arrive during a
// round share the next one. No read starts before the leader has committed an entry of its own term, because until
// then its commit index may lag.
func (c *Core) startReadRound() {
	if len(c.pendingReads) > 0 && c.pendingReads[0].round == 0 && c.commitIndex >= c.termStartIndex {
		c.startHeartbeatRound()
	}
}

// startHeartbeatRound sends a heartbeat to all other members. An answer to it also confirms the earlier rounds, so it
// makes up for lost ones.
func (c *Core) startHeartbeatRound() {
	c.heartbeatRound++
	c.progress[c.cfg.ID].answeredRound = c.heartbeatRound
	if c.commitIndex >= c.termStartIndex {
		for i := range c.pendingReads {
			if c.pendingReads[i].round == 0 {
				c.pendingReads[i].round, c.pendingReads[i].index = c.heartbeatRound, c.commitIndex
			}
		}
	}
	for _, m := range c.members {
		if m.Id != c.cfg.ID {
			c.send(&raftpb.Message{
				Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, To: m.Id, Commit: min(c.commitIndex, c.progress[m.Id].matchIndex),
				Round: c.heartbeatRound,
			})
		}
	}
	c.confirmReads()
}

// confirmedRound returns the newest heartbeat round that a quorum of voters has answered.
func (c *Core) confirmedRound() uint64 {
	return c.quorumValue(func(p *progress) uint64 { return p.answeredRound })
}

func (c *Core) confirmReads() {
	confirmed, n := c.confirmedRound(), 0
	for n < len(c.pendingReads) && c.pendingReads[n].round != 0 && c.pendingReads[n].round <= confirmed {
		c.readResults = append(c.readResults, ReadResult{ID: c.pendingReads[n].id, Index: c.pendingReads[n].index})
		n++
	}
	if n > 0 {
		c.pendingReads = append([]pendingRead(nil), c.pendingReads[n:]...)
		c.startReadRound()
	}
}

func (c *Core) failReads() {
	for _, r := range c.pendingReads {
		c.readResults = append(c.readResults, ReadResult{ID: r.id, Failed: true})
	}
	c.pendingReads = nil
}
