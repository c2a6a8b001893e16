package raft

import (
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

const (
	// maxAppendBytes limits the entries of one message, so that a heartbeat sent after it is not delayed for long.
	maxAppendBytes = 256 << 10
	// maxInflightAppends limits the unanswered append messages to one member, to about 2 MiB in total.
	maxInflightAppends = 8
	// MaxEntryBytes is the maximum size of a proposal, which fits into a peer frame of 1 MiB together with its
	// envelope.
	MaxEntryBytes = 512 << 10
	// maxUncommittedBytes limits the uncommitted entries, and so the memory use of a leader that has lost its quorum.
	maxUncommittedBytes = 4 << 20
	// maxCommittedBytes limits the committed entries of one Ready.
	maxCommittedBytes = 1 << 20
	// maxSaveBytes limits the entries of one Save, far below what a record of the disk may hold. Many can wait after a save that
	// hung.
	maxSaveBytes = 16 << 20
	// maxTrailingEntries limits the entries that stay in memory although a snapshot covers them, so that a member
	// which lags slightly needs no snapshot transfer.
	maxTrailingEntries = 256
	// maxTrailingBytes limits the size of these entries.
	maxTrailingBytes = 1 << 20
)

// Role is the role of a member in its current term.
type Role int

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in kebab case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Snapshot is the state of the state machine after a log entry, with the index and term of that entry.
type Snapshot struct {
	Meta *raftpb.SnapshotMeta
	// Data is empty for the initial state of a new group.
	Data []byte
}

// PersistentState is the state that a member loads from its disk when it starts.
type PersistentState struct {
	// HardState is nil when none was saved.
	HardState *raftpb.HardState
	// Snapshot is nil for a process that is not yet part of a group.
	Snapshot *Snapshot
	// Entries are the log entries that follow the snapshot, without a gap.
	Entries []*raftpb.Entry
}

// Config holds the settings of a core.
type Config struct {
	ID string
	// PersistentState is the state that the driver loaded from the disk.
	PersistentState PersistentState
	// ElectionTicks is the minimum election timeout; the actual timeout is random and less than twice this value.
	ElectionTicks int
	// StartElectionTicks bounds the random time from the start of a member to its first pre-vote, see campaignAtStart; 0 for
	// none before the election timeout.
	StartElectionTicks int
	// HeartbeatTicks is the interval at which the leader sends heartbeats.
	HeartbeatTicks int
	// Rand returns a random number in the half-open interval [0,n).
	Rand func(n int) int
}

type hardState struct {
	term     uint64
	votedFor string
}

// Core is the state of one Raft member. It is not safe for concurrent use.
type Core struct {
	cfg Config

	role     Role
	term     uint64
	votedFor string
	leader   string

	log             entryLog
	commitIndex     uint64
	lastApplied     uint64
	snapshot        *Snapshot
	baseMembership  []*raftpb.Member // after the entry at log.baseIndex
	members         []*raftpb.Member // after the last entry of the log, committed or not; ordered by ID
	lastChangeIndex uint64           // of the last membership change in the log

	tickCount       uint64 // since the core was built
	electionElapsed int    // ticks since a message of the leader, a granted vote or a change of role
	startElection   uint64 // tick of the pre-vote of a member that has just started, 0 for none
	needsAllVotes   bool   // the pre-vote that is running needs the votes of all voters
	electionTimeout int
	leaderlessVotes int // votes for any member that were saved since a leader was known
	votes           map[string]bool
	incoming        *incomingSnapshot

	// Leader only.
	progress               map[string]*progress
	heartbeatElapsed       int
	commitIndexAtHeartbeat uint64 // at the last periodic heartbeat
	termStartIndex         uint64 // of the first entry of the leader's own term
	uncommittedBytes       int
	hasUnsentEntries       bool   // the next Ready has to send new entries
	hasUnsentCommitIndex   bool   // the next Ready has to send the new commit index
	transferTarget         string // empty unless a leadership transfer is running
	transferDeadline       uint64 // tick at which the transfer is given up
	heartbeatRound         uint64
	pendingReads           []pendingRead

	isAwaitingAdvance bool
	saving            *Save     // that the driver saves now
	savedHardState    hardState // that the driver saved last
	messages          []*raftpb.Message
	snapshotToRestore *Snapshot
	snapshotToSave    *Snapshot
	readResults       []ReadResult
}

// New returns a follower with the persistent state of cfg.
func New(cfg Config) (*Core, error) {
	if cfg.ID == "" || cfg.ElectionTicks <= cfg.HeartbeatTicks || cfg.HeartbeatTicks < 1 || cfg.Rand == nil {
		return nil, ErrInvalid.New("configuration needs an ID, a random source and heartbeat ticks below election ticks")
	}
	c := &Core{cfg: cfg}
	p := cfg.PersistentState
	c.cfg.PersistentState = PersistentState{}
	if p.HardState != nil {
		c.term, c.votedFor = p.HardState.Term, p.HardState.Vote
	}
	if s := p.Snapshot; s != nil {
		c.snapshot = s
		c.log.reset(s.Meta.Index, s.Meta.Term)
		c.commitIndex, c.lastApplied = s.Meta.Index, s.Meta.Index
		c.baseMembership = s.Meta.Members
	}
	for _, e := range p.Entries {
		if e.Index != c.log.lastIndex()+1 || e.Term < c.log.lastTerm() {
			return nil, ErrCorrupt.New("persisted entry %d of term %d follows entry %d of term %d", e.Index, e.Term,
				c.log.lastIndex(), c.log.lastTerm())
		}
		if err := checkEntry(e); err != nil {
			return nil, err
		}
		c.log.entries = append(c.log.entries, e)
	}
	c.log.lastTaken, c.log.lastSynced = c.log.lastIndex(), c.log.lastIndex()
	// The log can be ahead of the hard state if the process stopped between two saves. It did not vote in that term.
	if t := c.log.lastTerm(); t > c.term {
		c.term, c.votedFor = t, ""
	}
	c.savedHardState = hardState{c.term, c.votedFor}
	c.updateMembership()
	c.becomeFollower(c.term, "")
	if n := cfg.StartElectionTicks; n > 0 {
		c.startElection = uint64(1 + cfg.Rand(n))
	}
	return c, nil
}

// Bootstrap returns the state with which each initial voter of a new group starts. The driver saves it before it calls
// New. All initial voters must pass the same members.
func Bootstrap(members []*raftpb.Member) PersistentState {
	return PersistentState{
		HardState: &raftpb.HardState{Term: 1},
		Snapshot:  &Snapshot{Meta: &raftpb.SnapshotMeta{Index: 1, Term: 1, Members: sortedMembers(members)}},
	}
}

// Tick advances the logical clock by one tick.
func (c *Core) Tick() {
	c.tickCount++
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	switch {
	case c.tickCount == c.startElection && c.leader == "" && c.role == Follower && c.promotable():
		c.campaignAtStart()
	case c.electionElapsed < c.electionTimeout, c.hasUnsavedHardState():
	case c.promotable():
		c.campaign(PreCandidate, false)
	default:
		c.leader = "" // a member that can't campaign forgets a leader that is silent for an election timeout
	}
}

func (c *Core) tickLeader() {
	if !c.hasActiveQuorum() {
		c.becomeFollower(c.term, "")
		return
	}
	if c.transferTarget != "" && c.tickCount >= c.transferDeadline {
		c.transferTarget = ""
	}
	if c.heartbeatElapsed++; c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.commitIndexAtHeartbeat = c.commitIndex
		c.startHeartbeatRound()
	}
}

// Step handles a message from another member. If it returns an error, it has rejected the message.
func (c *Core) Step(m *raftpb.Message) error {
	if m.To != c.cfg.ID || m.From == "" || m.From == c.cfg.ID {
		return ErrInvalid.New("message from %q to %q reached %q", m.From, m.To, c.cfg.ID)
	}
	if err := checkMessage(m); err != nil {
		return err
	}
	isVote := m.Type == raftpb.MessageType_MESSAGE_TYPE_VOTE || m.Type == raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE
	if isVote && m.Term > c.term && !m.Transfer && c.hasActiveLeader() {
		return nil
	}
	switch {
	case m.Term < c.term:
		c.answerStaleTerm(m)
		return nil
	case m.Term > c.term && !carriesFutureTerm(m):
		leader := ""
		if isFromLeader(m) {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
	}
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE, raftpb.MessageType_MESSAGE_TYPE_VOTE:
		c.onVoteRequest(m)
		return nil
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE, raftpb.MessageType_MESSAGE_TYPE_VOTE_RESPONSE:
		c.onVoteResponse(m)
		return nil
	}
	if isFromLeader(m) {
		return c.stepFollower(m)
	}
	if m.Type == raftpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW {
		if c.role != Leader && c.promotable() {
			c.campaign(Candidate, true)
		}
		return nil
	}
	if c.role == Leader {
		return c.stepLeader(m)
	}
	return nil
}

func (c *Core) stepFollower(m *raftpb.Message) error {
	if c.role == Leader || c.leader != "" && c.leader != m.From {
		return ErrInvalid.New("%q claims to lead term %d, which %q leads", m.From, m.Term, c.leader)
	}
	if c.role != Follower || c.leader == "" {
		c.becomeFollower(m.Term, m.From)
	}
	c.electionElapsed = 0
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND:
		return c.onAppend(m)
	case raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT:
		c.commitTo(min(m.Commit, c.log.lastIndex()))
		c.send(&raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_RESPONSE, To: m.From, Round: m.Round,
		})
		return nil
	}
	return c.onSnapshot(m)
}

func (c *Core) stepLeader(m *raftpb.Message) error {
	p, ok := c.progress[m.From]
	if !ok {
		return nil
	}
	p.lastHeardTick = c.tickCount
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND_RESPONSE:
		return c.onAppendResponse(m, p)
	case raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_RESPONSE:
		c.onHeartbeatResponse(m, p)
	case raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_RESPONSE:
		c.onSnapshotResponse(m, p)
	}
	return nil
}

// carriesFutureTerm reports whether the term of m is the one that a pre-candidate would campaign in. No member has
// entered it yet, so the receiver must not enter it either. This holds for pre-vote requests and for granted
// pre-votes.
func carriesFutureTerm(m *raftpb.Message) bool {
	return m.Type == raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE ||
		m.Type == raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE && !m.Reject
}

func isFromLeader(m *raftpb.Message) bool {
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		return true
	}
	return false
}

// answerStaleTerm answers a message of an older term, so that its sender learns the current term.
func (c *Core) answerStaleTerm(m *raftpb.Message) {
	switch {
	case m.Type == raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		c.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE, To: m.From, Reject: true})
	case m.Type == raftpb.MessageType_MESSAGE_TYPE_VOTE:
		c.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_VOTE_RESPONSE, To: m.From, Reject: true})
	case isFromLeader(m):
		c.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_RESPONSE, To: m.From})
	}
}

// send queues a message for the next Ready. The message gets the current term unless it has a term already.
func (c *Core) send(m *raftpb.Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	if self := findMember(c.members, c.cfg.ID); self != nil {
		m.Address = self.Address
	}
	c.messages = append(c.messages, m)
}
