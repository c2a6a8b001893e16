package raft

import "github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"

// ReadResult is the answer to a ReadIndex.
type ReadResult struct {
	ID uint64
	// Index is the position through which the driver applies before it answers the read.
	Index uint64
	// Failed reports that the leadership was lost before the read was confirmed.
	Failed bool
}

// pendingRead waits for a quorum to answer a heartbeat round that started after the request.
type pendingRead struct {
	id, round, index uint64 // round is zero until one started
}

// ReadIndex asks for a position that is at least as new as everything committed before the call. The answer arrives in
// Ready.Reads under the same ID.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader.New("member %s does not lead", c.cfg.ID)
	}
	c.pendingReads = append(c.pendingReads, pendingRead{id: id})
	c.startReadRound()
	return nil
}

// startReadRound starts a round for waiting reads unless one is in flight; reads that arrive meanwhile share the
// next one.
func (c *Core) startReadRound() {
	if len(c.pendingReads) > 0 && c.pendingReads[0].round == 0 && c.commitIndex >= c.termStartIndex {
		c.startHeartbeatRound()
	}
}

// startHeartbeatRound sends a heartbeat to all members, which also restarts a round that was lost.
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

// confirmedRound returns the newest round that a quorum of voters answered.
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
