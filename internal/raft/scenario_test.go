package raft

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// isolate drops all messages from and to a member. It replaces any earlier fault.
func (w *network) isolate(id string) {
	w.drop = func(m *raftpb.Message) bool { return m.From == id || m.To == id }
}

// heal delivers all messages again.
func (w *network) heal() { w.drop = func(*raftpb.Message) bool { return false } }

// otherMember returns the first member that is not in ids.
func (w *network) otherMember(ids ...string) string {
	for _, id := range w.ids {
		if !strings.Contains(fmt.Sprint(ids), id) {
			return id
		}
	}
	return ""
}

// Guards against a member that disrupts the group with a higher term after a long partition. Pre-vote keeps it from
// raising its term while it is isolated.
func TestRejoiningMemberDoesNotRaiseTerm(t *testing.T) {
	w := newNetwork(t, 3)
	l := w.waitForLeader()
	isolated := w.otherMember(l.cfg.ID)
	term := l.term
	w.isolate(isolated)
	w.tick(1000)
	w.propose("a")
	w.heal()
	w.tick(50)
	assert.Equal(t, w.waitForLeader(), l)
	assert.Equal(t, l.term, term)
	assert.Equal(t, w.nodes[isolated].core.term, term)
	assert.Equal(t, w.nodes[isolated].state, "a")
}

// Guards against an election at the start of members that takes the place of a leader within its lease, whose voters have
// restarted, and against a group that waits for an election timeout although all members have restarted.
func TestElectionAtStart(t *testing.T) {
	const startTicks = 4
	for _, test := range []struct {
		name      string
		leaderRan bool // the leader isn't restarted, and its messages are lost
		elects    bool // before an election timeout
	}{
		{name: "all members restart", elects: true},
		{name: "all but the leader restart", leaderRan: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newNetwork(t, 5)
			old := w.waitForLeader()
			w.propose("a")
			w.startElectionTicks = startTicks
			if test.leaderRan {
				w.isolate(old.cfg.ID)
			}
			for _, id := range w.ids {
				if id != old.cfg.ID || !test.leaderRan {
					w.restart(id)
				}
			}
			w.tick(startTicks)
			elected := slices.ContainsFunc(w.allNodes(), func(n *node) bool { return n.core != old && n.core.role == Leader })
			assert.Equal(t, elected, test.elects)
			w.heal()
			w.propose("b")
			assert.Equal(t, w.nodes[w.waitForLeader().cfg.ID].state, "ab")
		})
	}
}

// Guards against a leader that keeps leading, confirms reads or commits proposals without a quorum.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	w := newNetwork(t, 5)
	old := w.waitForLeader()
	w.isolate(old.cfg.ID)
	assert.NilError(t, old.ReadIndex(1))
	_, err := old.Propose([]byte("lost"))
	assert.NilError(t, err)
	w.tick(old.cfg.ElectionTicks)
	assert.Equal(t, old.role, Follower)
	assert.DeepEqual(t, w.nodes[old.cfg.ID].reads, []ReadResult{{ID: 1, Failed: true}})
	w.propose("kept")
	w.heal()
	w.tick(20)
	assert.Equal(t, w.nodes[old.cfg.ID].state, "kept")
}

// Guards against a member that counts as active although the leader doesn't hear from it, or as silent because it lags.
func TestStatusTellsActiveMembers(t *testing.T) {
	w := newNetwork(t, 3)
	l := w.waitForLeader()
	silent := w.otherMember(l.cfg.ID)
	lagging := w.otherMember(l.cfg.ID, silent)
	w.drop = func(m *raftpb.Message) bool {
		return m.From == silent || m.To == lagging && m.Type == raftpb.MessageType_MESSAGE_TYPE_APPEND
	}
	_, err := l.Propose([]byte("a"))
	assert.NilError(t, err)
	w.tick(l.cfg.ElectionTicks)
	for _, m := range l.Status().Members {
		assert.Equal(t, m.Active, m.Member.Id != silent, m.Member.Id)
	}
}

// Guards against a leader that keeps leading, or is elected, because learners count toward the quorum.
func TestLearnersDoNotCountTowardQuorum(t *testing.T) {
	members := testMembers(4)
	members[2].Voter, members[3].Voter = false, false
	w := newNetworkWithMembers(t, members)
	l := w.waitForLeader()
	voter := w.otherMember(l.cfg.ID, "m3", "m4")
	w.isolate(voter)
	w.tick(l.cfg.ElectionTicks)
	assert.Equal(t, l.role, Follower)
	w.tick(100)
	assert.Equal(t, l.role, PreCandidate)
	w.heal()
	w.propose("a")
	assert.Equal(t, w.nodes["m4"].state, "a")
}

// Guards against a request for a vote that disrupts a leader from which the other members still receive heartbeats.
func TestVoteRequestsAreIgnoredWhileLeaderIsActive(t *testing.T) {
	w := newNetwork(t, 3)
	l := w.waitForLeader()
	for _, id := range w.ids {
		for _, kind := range []raftpb.MessageType{
			raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE, raftpb.MessageType_MESSAGE_TYPE_VOTE,
		} {
			m := &raftpb.Message{Type: kind, From: w.otherMember(id), To: id, Term: l.term + 5, LogIndex: 99, LogTerm: l.term}
			assert.NilError(t, w.nodes[id].core.Step(m))
		}
	}
	w.tick(20)
	assert.Equal(t, w.waitForLeader(), l)
}

// Guards against a new leader that commits an entry of an earlier term by counting replicas, although a later leader
// can still replace it, and against reads and membership changes before the leader has committed an entry of its own
// term. TestExploreSmallModels does not reach the sequences of steps that violate a safety property in these cases.
func TestNewLeaderCommitsOwnTermFirst(t *testing.T) {
	p := Bootstrap(testMembers(3))
	p.Entries = []*raftpb.Entry{{Index: 2, Term: 2, Type: raftpb.EntryType_ENTRY_TYPE_COMMAND}}
	c, err := New(Config{
		ID: "m1", PersistentState: p, ElectionTicks: 5, HeartbeatTicks: 1, Rand: func(int) int { return 0 },
	})
	assert.NilError(t, err)
	c.campaign(Candidate, false)
	step := func(kind raftpb.MessageType, index uint64) {
		assert.NilError(t, c.Step(&raftpb.Message{
			Type: kind, From: "m2", To: "m1", Term: 3, LogIndex: index, Round: c.heartbeatRound,
		}))
		rd, ok := c.Ready()
		for ; ok; rd, ok = c.Ready() {
			for _, r := range rd.Reads {
				assert.Equal(t, r.Index, uint64(3))
			}
			if rd.Save != nil {
				c.Saved(rd.Save)
			}
			c.Advance(rd)
		}
	}
	step(raftpb.MessageType_MESSAGE_TYPE_VOTE_RESPONSE, 0)
	assert.Equal(t, c.role, Leader)
	assert.NilError(t, c.ReadIndex(1))
	step(raftpb.MessageType_MESSAGE_TYPE_APPEND_RESPONSE, 2)
	assert.Equal(t, c.commitIndex, uint64(1))
	_, err = c.ProposeMemberChange(&raftpb.MemberChange{
		Kind: raftpb.ChangeKind_CHANGE_KIND_ADD_LEARNER, Member: &raftpb.Member{Id: "m4"},
	})
	assert.Assert(t, errorx.IsOfType(err, ErrBusy))
	step(raftpb.MessageType_MESSAGE_TYPE_APPEND_RESPONSE, 3)
	assert.Equal(t, c.commitIndex, uint64(3))
	step(raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_RESPONSE, 0)
	assert.Equal(t, len(c.pendingReads), 0)
}

// Guards against a follower that commits entries beyond those that the append has shown to match the leader's log.
func TestFollowerCommitsOnlyMatchingEntries(t *testing.T) {
	p := Bootstrap(testMembers(3))
	for i := uint64(2); i < 5; i++ {
		p.Entries = append(p.Entries, &raftpb.Entry{Index: i, Term: 2})
	}
	c, err := New(Config{
		ID: "m1", PersistentState: p, ElectionTicks: 5, HeartbeatTicks: 1, Rand: func(int) int { return 0 },
	})
	assert.NilError(t, err)
	assert.NilError(t, c.Step(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, From: "m2", To: "m1", Term: 3, LogIndex: 2, LogTerm: 2, Commit: 4,
	}))
	assert.Equal(t, c.commitIndex, uint64(2))
}

// Guards against a leadership transfer that waits for an election timeout, which would delay a graceful shutdown, and
// against a transfer to an unreachable member that never ends.
func TestTransferLeadership(t *testing.T) {
	w := newNetwork(t, 3)
	l := w.waitForLeader()
	to := w.otherMember(l.cfg.ID)
	assert.NilError(t, l.TransferLeadership(to))
	w.deliverAll()
	assert.Equal(t, w.waitForLeader().cfg.ID, to)
	l = w.waitForLeader()
	unreachable := w.otherMember(to)
	w.isolate(unreachable)
	w.propose("a")
	assert.NilError(t, l.TransferLeadership(unreachable))
	_, err := l.Propose([]byte("b"))
	assert.Assert(t, errorx.IsOfType(err, ErrBusy))
	w.tick(l.cfg.ElectionTicks)
	w.propose("b")
	assert.Equal(t, w.waitForLeader(), l)
}

// Guards against the replacement of a lost voter that violates a rule of membership changes or does not result in the
// new membership.
func TestReplaceLostVoter(t *testing.T) {
	w := newNetwork(t, 3)
	l := w.waitForLeader()
	change := func(kind raftpb.ChangeKind, id string, force bool) error {
		m := &raftpb.Member{Id: id, Name: "entry", Address: "127.0.0.1:2"}
		_, err := l.ProposeMemberChange(&raftpb.MemberChange{Kind: kind, Member: m, Force: force})
		return err
	}
	add, promote, remove := raftpb.ChangeKind_CHANGE_KIND_ADD_LEARNER, raftpb.ChangeKind_CHANGE_KIND_PROMOTE,
		raftpb.ChangeKind_CHANGE_KIND_REMOVE
	lost := w.otherMember(l.cfg.ID)
	healthy := w.otherMember(l.cfg.ID, lost)
	w.isolate(lost)
	for range 300 { // more than maxTrailingEntries
		w.propose("x")
	}
	w.nodes[l.cfg.ID].compact()
	assert.NilError(t, change(add, "m9", false))
	assert.Assert(t, errorx.IsOfType(change(add, "m8", false), ErrBusy), "two changes at a time")
	w.deliverAll()
	assert.Assert(t, errorx.IsOfType(change(promote, "m9", false), ErrNotCaughtUp))
	w.tick(10)
	assert.Assert(t, errorx.IsOfType(change(remove, healthy, false), ErrNotCaughtUp))
	w.addNode("m9", PersistentState{Snapshot: &Snapshot{Meta: &raftpb.SnapshotMeta{}}})
	w.tick(5)
	commit := l.commitIndex
	w.drop = func(m *raftpb.Message) bool { return m.From == healthy || m.From == lost || m.To == lost }
	w.propose("not committed by a learner")
	assert.Equal(t, l.commitIndex, commit)
	w.isolate(lost)
	w.tick(1)
	assert.NilError(t, change(promote, "m9", false))
	w.deliverAll()
	assert.NilError(t, change(remove, lost, false))
	w.deliverAll()
	w.propose("y")
	w.tick(1)
	assert.Equal(t, w.nodes["m9"].installs, 1)
	assert.Equal(t, w.nodes["m9"].state, w.nodes[l.cfg.ID].state)
	assert.Assert(t, errorx.IsOfType(change(remove, l.cfg.ID, true), ErrInvalid))
	assert.NilError(t, change(remove, healthy, true))
	w.deliverAll()
	w.propose("z")
	assert.Equal(t, len(l.Status().Members), 2)
}

// Guards against a snapshot transfer that starts over after a lost chunk or a change of the leader, and against
// chunks that exceed maxChunkBytes.
func TestSnapshotTransferResumes(t *testing.T) {
	w := newNetwork(t, 3)
	l := w.waitForLeader()
	isolated := w.otherMember(l.cfg.ID)
	w.isolate(isolated)
	for range 5 {
		w.propose(strings.Repeat("s", 200<<10))
	}
	w.tick(1)
	w.nodes[l.cfg.ID].compact()
	sent, chunks, next := 0, 0, w.otherMember(l.cfg.ID, isolated)
	w.nodes[next].compact()
	w.drop = func(m *raftpb.Message) bool {
		if m.Type != raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT || len(m.Data) == 0 {
			return false
		}
		assert.Assert(t, len(m.Data) <= maxChunkBytes)
		chunks++
		if chunks%4 == 0 || chunks > 8 && m.From == l.cfg.ID {
			return true
		}
		sent += len(m.Data)
		return false
	}
	w.tick(10)
	assert.NilError(t, l.TransferLeadership(next)) // the new leader has the same snapshot
	w.tick(30)
	assert.Equal(t, w.nodes[isolated].installs, 1)
	assert.Equal(t, sent, 1000<<10)
	assert.Equal(t, w.nodes[isolated].state, w.nodes[l.cfg.ID].state)
}

// Guards against a leader that sends an unlimited amount of entries to a member that does not answer, or accepts an
// unlimited amount of proposals.
func TestFlowControl(t *testing.T) {
	w := newNetwork(t, 3)
	l := w.waitForLeader()
	w.tick(3)
	var inflight int
	w.drop = func(m *raftpb.Message) bool {
		size := 0
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		assert.Assert(t, size <= maxAppendBytes)
		inflight += size
		return m.Type == raftpb.MessageType_MESSAGE_TYPE_APPEND
	}
	var err error
	accepted := 0
	for ; err == nil; accepted += 100 << 10 {
		_, err = l.Propose(make([]byte, 100<<10))
		w.deliverAll()
	}
	assert.Assert(t, errorx.IsOfType(err, ErrBusy))
	assert.Assert(t, accepted <= maxUncommittedBytes+100<<10 && inflight <= 2*maxInflightAppends*maxAppendBytes)
	_, err = l.Propose(make([]byte, MaxEntryBytes+1))
	assert.Assert(t, errorx.IsOfType(err, ErrInvalid))
	w.heal()
	w.tick(5)
	w.propose("a")
	assert.Assert(t, strings.HasSuffix(w.nodes[w.otherMember(l.cfg.ID)].state, "a"))
}

// Guards against a lost voter that can't be removed while another one is lost, so that their replacements raise the
// quorum until it is out of reach.
func TestReplaceTwoLostVoters(t *testing.T) {
	w := newNetwork(t, 5)
	l := w.waitForLeader()
	first := w.otherMember(l.cfg.ID)
	second := w.otherMember(l.cfg.ID, first)
	w.drop = func(m *raftpb.Message) bool {
		return m.From == first || m.To == first || m.From == second || m.To == second
	}
	w.tick(10)
	for i, lost := range []string{first, second} {
		change := func(kind raftpb.ChangeKind, id string) {
			t.Helper()
			m := &raftpb.Member{Id: id, Name: id, Address: "127.0.0.1:2"}
			_, err := l.ProposeMemberChange(&raftpb.MemberChange{Kind: kind, Member: m})
			assert.NilError(t, err)
			w.tick(5)
		}
		replacement := fmt.Sprintf("m%d", 6+i)
		w.addNode(replacement, PersistentState{Snapshot: &Snapshot{Meta: &raftpb.SnapshotMeta{}}})
		change(raftpb.ChangeKind_CHANGE_KIND_ADD_LEARNER, replacement)
		change(raftpb.ChangeKind_CHANGE_KIND_REMOVE, lost)
		change(raftpb.ChangeKind_CHANGE_KIND_PROMOTE, replacement)
	}
	w.propose("kept")
	assert.Equal(t, len(l.Status().Members), 5)
	assert.Equal(t, w.nodes["m7"].state, w.nodes[l.cfg.ID].state)
}

// Guards against a replacement that one set of voters decides alone: the former ones may elect another leader than the next ones.
func TestReplacementNeedsBothQuorums(t *testing.T) {
	for _, tt := range []struct {
		name string
		// silent are the members that answer nothing: the replaced voter, the other one, and the successor.
		replaced, other, successor bool
		commits                    bool
	}{
		{"all answer", false, false, false, true},
		{"without the replaced voter", true, false, false, true},
		{"without the successor", false, false, true, true},
		{"without both", true, false, true, true},
		{"without the other voter", false, true, false, true},
		{"without a quorum of the former voters", true, true, false, false},
		{"without a quorum of the next voters", false, true, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newNetwork(t, 3)
			l := w.waitForLeader()
			replaced := w.otherMember(l.cfg.ID)
			other := w.otherMember(l.cfg.ID, replaced)
			const successor = "m9"
			change := func(kind raftpb.ChangeKind, id, replaced string) error {
				_, err := l.ProposeMemberChange(&raftpb.MemberChange{
					Kind: kind, Member: &raftpb.Member{Id: id, Name: id, Address: "127.0.0.1:2"}, Replaced: replaced,
				})
				return err
			}
			w.addNode(successor, PersistentState{Snapshot: &Snapshot{Meta: &raftpb.SnapshotMeta{}}})
			assert.NilError(t, change(raftpb.ChangeKind_CHANGE_KIND_ADD_LEARNER, successor, ""))
			w.tick(5)
			silent := map[string]bool{replaced: tt.replaced, other: tt.other, successor: tt.successor}
			w.drop = func(m *raftpb.Message) bool { return silent[m.From] || silent[m.To] }
			replace := raftpb.ChangeKind_CHANGE_KIND_REPLACE
			assert.Assert(t, errorx.IsOfType(change(replace, successor, l.cfg.ID), ErrInvalid))
			assert.NilError(t, change(replace, successor, replaced))
			index := l.log.lastIndex()
			w.deliverAll()
			assert.Equal(t, l.commitIndex >= index, tt.commits)
			assert.Assert(t, errorx.IsOfType(change(raftpb.ChangeKind_CHANGE_KIND_REMOVE, other, ""), ErrBusy))
			w.heal()
			w.tick(20)
			l = w.waitForLeader()
			assert.NilError(t, change(raftpb.ChangeKind_CHANGE_KIND_REMOVE, replaced, ""))
			w.deliverAll()
			w.tick(5)
			for _, m := range l.Status().Members {
				assert.Assert(t, m.Member.Voter && !m.Member.Joining && !m.Member.Leaving && m.Member.Id != replaced, m.Member.Id)
			}
			assert.Equal(t, len(l.Status().Members), 3)
		})
	}
}
