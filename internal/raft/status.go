package raft

import "github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"

// Status is a copy of the main state of a core.
type Status struct {
	ID          string
	Role        Role
	Term        uint64
	Leader      string // empty if unknown
	CommitIndex uint64
	LastApplied uint64
	LastIndex   uint64 // index of the last entry in the log
	LastSynced  uint64 // index of the last entry that the own disk holds
	Members     []MemberStatus
}

// MemberStatus is the state of a member as the leader knows it.
type MemberStatus struct {
	Member *raftpb.Member
	// MatchIndex is the index of the last entry that the member is known to have synced; 0 unless this member leads.
	MatchIndex uint64
	// CaughtUp reports whether the leader heard from the member within the minimum election timeout and the member
	// has synced all entries that were committed at the last periodic heartbeat; false unless this member leads.
	CaughtUp bool
	// Active reports whether the leader heard from the member within the minimum election timeout; false unless this
	// member leads.
	Active bool
}

// Status returns the current state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Role: c.role, Term: c.term, Leader: c.leader, CommitIndex: c.commitIndex, LastApplied: c.lastApplied,
		LastIndex: c.log.lastIndex(), LastSynced: c.log.lastSynced,
	}
	for _, m := range c.members {
		ms := MemberStatus{Member: m}
		if p := c.progress[m.Id]; c.role == Leader && p != nil {
			ms.MatchIndex, ms.CaughtUp, ms.Active = p.matchIndex, c.isCaughtUp(m.Id), c.isActive(m.Id)
		}
		s.Members = append(s.Members, ms)
	}
	return s
}

// Term returns the newest term that the member knows of.
func (c *Core) Term() uint64 { return c.term }

// HeartbeatRounds returns the number of the leader's newest heartbeat round and of the newest one that a quorum of
// voters has answered. A member that a quorum has answered in a round was still the leader when it sent that round.
func (c *Core) HeartbeatRounds() (newest, confirmed uint64) {
	if c.role != Leader {
		return 0, 0
	}
	return c.heartbeatRound, c.confirmedRound()
}
