package raft

import (
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// hasActiveLeader reports whether this member leads or heard from a leader within the minimum election timeout.
// Requests for votes are ignored then unless they belong to a leadership transfer, because an election would only
// disrupt the leader.
func (c *Core) hasActiveLeader() bool {
	return c.role == Leader || c.leader != "" && c.electionElapsed < c.cfg.ElectionTicks
}

// promotable reports whether this member may become leader, that is, whether it is a voter.
func (c *Core) promotable() bool {
	self := findMember(c.members, c.cfg.ID)
	return self != nil && self.Voter
}

func (c *Core) resetTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand(c.cfg.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.term {
		c.term, c.votedFor = term, ""
	}
	c.failReads()
	c.role, c.leader = Follower, leader
	c.votes, c.progress, c.transferTarget, c.hasUnsentEntries, c.uncommittedBytes = nil, nil, "", false, 0
	c.hasUnsentCommitIndex = false
	if leader != "" {
		c.leaderlessVotes = 0
	}
	c.resetTimeout()
}

// ordinaryVotes is the number of votes without a leader that split votes and lost messages explain without slow disks.
const ordinaryVotes = 2

// maxElectionWait bounds the time that awaitElection adds to the election timeout, in minimum election timeouts.
const maxElectionWait = 10

// awaitElection begins the election timeout anew once a vote is saved, which took some ticks. Disks that are as slow need as
// long again for the votes of other members; a candidate that gave up sooner would never win. The own disk may be the fast one
// among slow ones, so the time also doubles with each further vote that brought no leader.
func (c *Core) awaitElection(ticks int) {
	if c.leader != "" || c.votedFor == "" {
		return
	}
	wait, limit := 2*ticks, maxElectionWait*c.cfg.ElectionTicks
	for range max(c.leaderlessVotes-ordinaryVotes, 0) {
		wait = min(2*wait+c.cfg.ElectionTicks, limit)
	}
	c.leaderlessVotes++
	if wait == 0 {
		return
	}
	c.resetTimeout()
	c.electionTimeout += min(wait, limit)
}

// campaignAtStart asks the voters for a pre-vote before an election timeout has passed since the start. After a loss of power
// there is no leader to wait for. It needs the votes of all voters: none of them leads or hears from a leader then. With a
// mere quorum that has just restarted, the leader that it heard from before could still act within its lease.
func (c *Core) campaignAtStart() {
	elapsed, timeout := c.electionElapsed, c.electionTimeout
	c.requestVotes(PreCandidate, false)
	c.electionElapsed, c.electionTimeout = elapsed, timeout
	c.needsAllVotes = true
	c.countVotes()
}

// campaign starts an election. A PreCandidate only asks the voters whether it could win, and keeps its term.
func (c *Core) campaign(role Role, transfer bool) {
	c.requestVotes(role, transfer)
	c.needsAllVotes = false
	c.countVotes()
}

func (c *Core) requestVotes(role Role, transfer bool) {
	c.role, c.leader = role, ""
	c.votes = map[string]bool{c.cfg.ID: true}
	c.resetTimeout()
	term, kind := c.term+1, raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE
	if role == Candidate {
		c.term, c.votedFor = term, c.cfg.ID
		kind = raftpb.MessageType_MESSAGE_TYPE_VOTE
	}
	for _, m := range c.members {
		if m.Voter && m.Id != c.cfg.ID {
			c.send(&raftpb.Message{
				Type: kind, To: m.Id, Term: term, LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Transfer: transfer,
			})
		}
	}
}

// onVoteRequest answers a request for a vote or pre-vote. Learners, and members that their own log doesn't list, answer
// too, because their log may lack the entry that promotes them.
func (c *Core) onVoteRequest(m *raftpb.Message) {
	isPreVote := m.Type == raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE
	canVote := c.votedFor == m.From || c.votedFor == "" && c.leader == "" || isPreVote && m.Term > c.term
	granted := canVote && c.log.upToDate(m.LogIndex, m.LogTerm)
	r := &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_VOTE_RESPONSE, To: m.From, Reject: !granted}
	if isPreVote {
		r.Type = raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE
		if granted {
			r.Term = m.Term
		}
	} else if granted {
		c.votedFor = m.From
		c.resetTimeout()
	}
	c.send(r)
}

func (c *Core) onVoteResponse(m *raftpb.Message) {
	isPreVote := m.Type == raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE
	switch {
	case isPreVote && c.role != PreCandidate, !isPreVote && c.role != Candidate:
		return
	case isPreVote && !m.Reject && m.Term != c.term+1:
		return
	}
	if _, ok := c.votes[m.From]; !ok {
		c.votes[m.From] = !m.Reject
	}
	c.countVotes()
}

func (c *Core) countVotes() {
	isRejected := slices.ContainsFunc(voterSets(c.members), func(set []*raftpb.Member) bool {
		return countMembers(set, func(id string) bool { v, ok := c.votes[id]; return ok && !v }) >= Quorum(len(set))
	})
	isGranted := isQuorum(c.members, func(id string) bool { return c.votes[id] })
	if c.needsAllVotes {
		isGranted = !slices.ContainsFunc(c.members, func(m *raftpb.Member) bool { return m.Voter && !c.votes[m.Id] })
	}
	switch {
	case isGranted && c.role == PreCandidate:
		c.campaign(Candidate, false)
	case isGranted:
		c.becomeLeader()
	case isRejected:
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes, c.incoming = Leader, c.cfg.ID, nil, nil
	c.electionElapsed, c.leaderlessVotes, c.heartbeatElapsed, c.commitIndexAtHeartbeat = 0, 0, 0, c.commitIndex
	c.progress = map[string]*progress{}
	c.updateProgress()
	c.termStartIndex = c.log.lastIndex() + 1
	c.uncommittedBytes = c.log.sizeOf(c.commitIndex+1, c.log.lastIndex())
	c.appendEntry(raftpb.EntryType_ENTRY_TYPE_EMPTY, nil)
}

// hasActiveQuorum reports whether the leader heard from a quorum of voters within the minimum election timeout.
func (c *Core) hasActiveQuorum() bool { return isQuorum(c.members, c.isActive) }

// TransferLeadership transfers the leadership to a voter as soon as that voter has the whole log. Until then, and for
// at most the minimum election timeout, proposals are rejected.
func (c *Core) TransferLeadership(to string) error {
	if c.role != Leader {
		return ErrNotLeader.New("member %s does not lead", c.cfg.ID)
	}
	m := findMember(c.members, to)
	if m == nil || !m.Voter || to == c.cfg.ID {
		return ErrInvalid.New("leadership can't be transferred to %q, which is not another voter", to)
	}
	if c.transferTarget != "" {
		return ErrBusy.New("a leadership transfer to %s is running", c.transferTarget)
	}
	c.transferTarget, c.transferDeadline = to, c.tickCount+uint64(c.cfg.ElectionTicks)
	c.maybeSendTimeoutNow(to, c.progress[to])
	return nil
}

// maybeSendTimeoutNow completes a leadership transfer to the member as soon as the member has the whole log.
func (c *Core) maybeSendTimeoutNow(id string, p *progress) {
	if c.transferTarget == id && p.matchIndex == c.log.lastIndex() {
		c.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, To: id})
	}
}
