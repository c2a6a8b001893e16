package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// slowNetwork is a network of members whose saves take time. Messages take none.
type slowNetwork struct {
	*network
	random    *rand.Rand
	saveTicks int
	fast      []string // members whose saves take no time
	now       int
	saveEnds  map[string]int // by member: tick at which its save in progress ends
	stopped   string
}

func newSlowNetwork(t testing.TB, size, fast, saveTicks int, seed uint64) *slowNetwork {
	s := &slowNetwork{
		network: newNetwork(t, size), random: rand.New(rand.NewPCG(seed, 0)), saveTicks: saveTicks, saveEnds: map[string]int{},
	}
	s.fast = s.ids[:fast]
	s.rand = s.random.IntN
	for _, id := range s.ids {
		s.restart(id)
	}
	return s
}

// advance lets all members tick once, in random order.
func (s *slowNetwork) advance() {
	s.now++
	for _, i := range s.random.Perm(len(s.ids)) {
		id := s.ids[i]
		if id == s.stopped {
			continue
		}
		n := s.nodes[id]
		n.core.Tick()
		if n.saving != nil && s.now >= s.saveEnds[id] {
			s.deliver(n.finishSave())
		}
		s.settle()
	}
}

// settle handles the Readys of all members until only saves are left to do.
func (s *slowNetwork) settle() {
	for busy := true; busy; {
		busy = false
		for _, id := range s.ids {
			n := s.nodes[id]
			rd, ok := n.core.Ready()
			if !ok || id == s.stopped {
				continue
			}
			busy = true
			messages := slices.Clone(rd.Messages)
			if rd.Save != nil {
				n.saving, s.saveEnds[id] = rd.Save, s.now+s.saveTicks
				if s.saveTicks == 0 || rd.Save.IsEmpty() || slices.Contains(s.fast, id) {
					messages = append(messages, n.finishSave()...)
				}
			}
			n.apply(rd)
			s.deliver(messages)
		}
	}
}

func (s *slowNetwork) deliver(messages []*raftpb.Message) {
	for _, m := range messages {
		if m.To != s.stopped {
			_ = s.nodes[m.To].core.Step(proto.CloneOf(m))
		}
	}
}

// stop ends a member as a loss of its machine does.
func (s *slowNetwork) stop(id string) { s.stopped = id }

// awaitLeader advances until a member leads and has committed an entry of its term.
func (s *slowNetwork) awaitLeader(limit int) *Core {
	s.t.Helper()
	for range limit {
		s.advance()
		assert.NilError(s.t, s.checker.check(s.allNodes()))
		for _, n := range s.allNodes() {
			c := n.core
			if c.cfg.ID != s.stopped && c.role == Leader && c.commitIndex >= c.termStartIndex {
				return c
			}
		}
	}
	var states string
	for _, n := range s.allNodes() {
		states += fmt.Sprintf(" %s: %s of term %d;", n.core.cfg.ID, n.core.role, n.core.term)
	}
	s.t.Fatalf("no leader within %d ticks:%s", limit, states)
	return nil
}

// Guards against a group with slow disks that elects no leader, whose candidates undo each other, that loses its leader although
// nothing but the disks is slow, or whose entries or reads wait longer than the disks explain.
func TestSlowSavesDelayOnlyWhatTheyHold(t *testing.T) {
	for _, g := range []struct{ size, fast int }{{3, 0}, {5, 0}, {3, 2}, {5, 2}} {
		for _, saveTicks := range []int{0, 3, 12, 20, 30} {
			for seed := range uint64(5) {
				name := fmt.Sprintf("%d members, %d of them fast, saves of %d ticks, seed %d", g.size, g.fast, saveTicks, seed)
				t.Run(name, func(t *testing.T) {
					s := newSlowNetwork(t, g.size, g.fast, saveTicks, seed)
					leader := s.awaitLeader(s.electionLimit())
					s.checkService(leader, 300)
					s.stop(leader.cfg.ID)
					s.checkService(s.awaitLeader(s.electionLimit()), 50)
				})
			}
		}
	}
}

// electionLimit returns the number of ticks within which a leader must have committed its first entry.
func (s *slowNetwork) electionLimit() int {
	const maxTimeout = 2 * 5
	// Two elections, each of a timeout, the save of the candidate's vote, and its wait for those of the others.
	elections := 2 * (maxTimeout + 3*s.saveTicks)
	// Timeouts that double until they last two saves take at most twice as long together.
	doubling := 2 * (maxTimeout + 2*s.saveTicks)
	// A save that was in progress and that of the first entry, which waits for an answer to a heartbeat at most.
	commit := 2*s.saveTicks + 2
	return elections + doubling + commit
}

// checkService proposes a command and requests a read in each tick, and verifies that the leader stays and answers in time.
func (s *slowNetwork) checkService(leader *Core, ticks int) {
	s.t.Helper()
	// A save that was in progress, and that of the entry; flow control may hold it until the next heartbeat is answered.
	commitLimit, readLimit := 2*s.saveTicks+2, 3
	n, term := s.nodes[leader.cfg.ID], leader.term
	n.reads = nil
	var proposed []uint64 // index of each proposal
	for tick := range ticks {
		index, err := leader.Propose([]byte("a"))
		assert.NilError(s.t, err)
		proposed = append(proposed, index)
		assert.NilError(s.t, leader.ReadIndex(uint64(tick+1)))
		s.settle()
		s.advance()
		assert.Assert(s.t, leader.role == Leader && leader.term == term, "lost the leadership after %d ticks", tick)
		if due := tick - commitLimit; due >= 0 {
			assert.Assert(s.t, leader.commitIndex >= proposed[due], "proposal not committed after %d ticks", commitLimit)
		}
		assert.Assert(s.t, len(n.reads) > tick-readLimit, "read not confirmed after %d ticks", readLimit)
	}
	for _, r := range n.reads {
		assert.Assert(s.t, !r.Failed)
	}
	assert.NilError(s.t, s.checker.check(s.allNodes()))
}

// Guards against a member that promises before its disk holds what it promises, and forgets that when it loses power.
func TestPromisesWaitForSave(t *testing.T) {
	newFollower := func(members []*raftpb.Member) *Core {
		p := Bootstrap(members)
		c, err := New(Config{ID: "m1", PersistentState: p, ElectionTicks: 5, HeartbeatTicks: 1, Rand: func(int) int { return 0 }})
		assert.NilError(t, err)
		return c
	}
	learner := &raftpb.Member{Id: "m2"}
	entry := &raftpb.Entry{Index: 2, Term: 2}
	for _, tt := range []struct {
		name    string
		members []*raftpb.Member
		act     func(c *Core) error
		promise raftpb.MessageType
	}{
		{"granted vote", testMembers(3), func(c *Core) error {
			return c.Step(&raftpb.Message{
				Type: raftpb.MessageType_MESSAGE_TYPE_VOTE, From: "m2", To: "m1", Term: 2, LogIndex: 1, LogTerm: 1,
			})
		}, raftpb.MessageType_MESSAGE_TYPE_VOTE_RESPONSE},
		{"request for a vote", testMembers(3), func(c *Core) error { c.campaign(Candidate, false); return nil },
			raftpb.MessageType_MESSAGE_TYPE_VOTE},
		{"acknowledged entry", testMembers(3), func(c *Core) error {
			return c.Step(&raftpb.Message{
				Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, From: "m2", To: "m1", Term: 2, LogIndex: 1, LogTerm: 1,
				Entries: []*raftpb.Entry{entry},
			})
		}, raftpb.MessageType_MESSAGE_TYPE_APPEND_RESPONSE},
		{"entries of the only voter", append(testMembers(1), learner), func(c *Core) error { c.campaign(Candidate, false); return nil },
			raftpb.MessageType_MESSAGE_TYPE_APPEND},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newFollower(tt.members)
			assert.NilError(t, tt.act(c))
			isPromise := func(m *raftpb.Message) bool { return m.Type == tt.promise }
			rd, ok := c.Ready()
			assert.Assert(t, ok && !slices.ContainsFunc(rd.Messages, isPromise), "%v", rd.Messages)
			assert.Assert(t, !rd.Save.IsEmpty() && slices.ContainsFunc(rd.Save.Messages, isPromise), "%v", rd.Save.Messages)
			c.Advance(rd)
			assert.NilError(t, tt.act(c)) // repeated, as by an election that times out
			rd, _ = c.Ready()
			assert.Assert(t, rd.Save == nil && !slices.ContainsFunc(rd.Messages, isPromise), "%v", rd.Messages)
		})
	}
}

// Guards against an acknowledgement that is left out although no later one makes up for it.
func TestOnlyCoveredAcknowledgementsAreLeftOut(t *testing.T) {
	const ack, beat = raftpb.MessageType_MESSAGE_TYPE_APPEND_RESPONSE, raftpb.MessageType_MESSAGE_TYPE_VOTE_RESPONSE
	newest := &raftpb.Message{Type: ack, To: "m2", Term: 3, LogIndex: 7}
	for _, tt := range []struct {
		name    string
		m       *raftpb.Message
		covered bool
	}{
		{"earlier entry", &raftpb.Message{Type: ack, To: "m2", Term: 3, LogIndex: 5}, true},
		{"later entry", &raftpb.Message{Type: ack, To: "m2", Term: 3, LogIndex: 8}, false},
		{"another leader", &raftpb.Message{Type: ack, To: "m3", Term: 3, LogIndex: 5}, false},
		{"another term", &raftpb.Message{Type: ack, To: "m2", Term: 2, LogIndex: 5}, false},
		{"rejection", &raftpb.Message{Type: ack, To: "m2", Term: 3, LogIndex: 5, Reject: true}, false},
		{"another kind", &raftpb.Message{Type: beat, To: "m2", Term: 3}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list := withoutCoveredAcks([]*raftpb.Message{tt.m, newest})
			assert.Equal(t, len(list) == 1, tt.covered)
			assert.Assert(t, list[len(list)-1] == newest)
		})
	}
}

// Guards against a save that is larger than a record of the disk can be, after a disk that hung while others committed.
func TestSaveIsBounded(t *testing.T) {
	c, err := New(Config{
		ID: "m1", PersistentState: Bootstrap(testMembers(3)), ElectionTicks: 5, HeartbeatTicks: 1, Rand: func(int) int { return 0 },
	})
	assert.NilError(t, err)
	data := make([]byte, MaxEntryBytes)
	const entries = 3 * maxSaveBytes / MaxEntryBytes
	for i := range uint64(entries) {
		assert.NilError(t, c.Step(&raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, From: "m2", To: "m1", Term: 2, LogIndex: 1 + i, LogTerm: min(1+i, 2),
			Entries: []*raftpb.Entry{{Index: 2 + i, Term: 2, Data: data}},
		}))
	}
	saved := 0
	for rd, ok := c.Ready(); ok; rd, ok = c.Ready() {
		size := 0
		for _, e := range rd.Save.Entries {
			size += entrySize(e)
			saved++
		}
		assert.Assert(t, size <= maxSaveBytes)
		assert.Assert(t, saved == entries || len(rd.Save.Messages) == 0, "acknowledged after %d entries", saved)
		c.Saved(rd.Save)
		c.Advance(rd)
	}
	assert.Equal(t, saved, entries)
	assert.Equal(t, c.log.lastSynced, uint64(1+entries))
}

// Guards against a voter that ends because its own snapshot is saved after one of the leader has replaced its log.
func TestOutdatedSnapshotIsIgnored(t *testing.T) {
	w := newNetwork(t, 3)
	w.propose("a")
	l := w.waitForLeader()
	n := w.nodes["m1"]
	if n.core == l {
		n = w.nodes["m2"]
	}
	n.beginSnapshot()
	n.core.installSnapshot(&Snapshot{Meta: &raftpb.SnapshotMeta{Index: 5000, Term: l.term, Members: testMembers(3)}})
	assert.NilError(t, n.core.Compact(n.snapshot.Meta.Index, n.snapshot.Data))
	assert.Equal(t, n.core.snapshot.Meta.Index, uint64(5000))
}
