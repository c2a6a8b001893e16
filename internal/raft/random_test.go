package raft

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// TestMain sets defaults for the seed and the number of random runs, which the command line overrides.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20260101", "rapid.checks": "160", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// simulation is a network that delivers, duplicates, reorders and loses messages at random.
type simulation struct {
	*network
	t                 *rapid.T
	random            *rand.Rand // uniformly distributed, unlike the numbers that rapid draws
	inflight          []*raftpb.Message
	commitIndexAtRead map[uint64]uint64 // by read ID: highest commit index of any member when the read was requested
	proposals         int
	answeredReads     int
	slowness          int // a save ends with each Ready with a chance of one in this number
}

// handleReadies handles the Readys of a node, with further messages arriving before Advance and while its disk saves, and
// verifies that its reads are linearizable.
func (s *simulation) handleReadies(id string) {
	n := s.nodes[id]
	for rd, ok := n.core.Ready(); ok; rd, ok = n.core.Ready() {
		if rd.Save != nil {
			n.saving = rd.Save
		}
		s.addInflight(rd.Messages)
		if len(rd.Messages) > 0 && s.random.IntN(50) == 0 { // power is lost before the sync
			s.restart(id)
			return
		}
		for s.random.IntN(5) == 0 { // messages arrive before Advance
			i := slices.IndexFunc(s.inflight, func(m *raftpb.Message) bool { return m.To == id })
			if i < 0 {
				break
			}
			m := s.inflight[i]
			s.inflight = slices.Delete(s.inflight, i, i+1)
			_ = n.core.Step(m)
		}
		n.apply(rd)
		if s.random.IntN(s.slowness) == 0 {
			s.addInflight(n.finishSave())
		}
		for _, r := range rd.Reads {
			s.answeredReads++
			if !r.Failed && r.Index < s.commitIndexAtRead[r.ID] {
				s.t.Fatalf("read %d got index %d after %d was committed", r.ID, r.Index, s.commitIndexAtRead[r.ID])
			}
		}
	}
	if err := s.checker.check(s.allNodes()); err != nil {
		s.t.Fatal(err)
	}
}

func (s *simulation) addInflight(messages []*raftpb.Message) {
	for _, m := range messages {
		s.inflight = append(s.inflight, proto.CloneOf(m))
	}
}

// stepRandomly delivers a message or lets a random node tick, restart or handle a request.
func (s *simulation) stepRandomly() {
	id := s.ids[s.random.IntN(len(s.ids))]
	n := s.nodes[id]
	action := s.random.IntN(200)
	for _, o := range s.allNodes() {
		if action >= 153 && o.core.role == Leader {
			id, n = o.core.cfg.ID, o // requests go to a member that leads, perhaps in an old term
		}
	}
	switch {
	case action < 110 && len(s.inflight) > 0:
		// Messages are delivered mostly in order. Some stay in flight to be delivered twice, and some are lost.
		i := 0
		if s.random.IntN(5) == 0 {
			i = s.random.IntN(len(s.inflight))
		}
		m := s.inflight[i]
		if chance := s.random.IntN(20); chance != 0 {
			s.inflight = slices.Delete(s.inflight, i, i+1)
			if chance == 1 {
				return
			}
		}
		id = m.To
		if s.nodes[id] == nil {
			return
		}
		_ = s.nodes[id].core.Step(m)
		if s.random.IntN(100) == 0 {
			s.restart(id)
		}
	case action < 120:
		s.addInflight(n.finishSave())
	case action < 150:
		n.core.Tick()
	case action < 152:
		s.restart(id)
	case action < 153:
		for range 10 { // a burst of ticks without messages, as after a pause of the process
			n.core.Tick()
			s.handleReadies(id)
		}
	case action < 180:
		s.proposals++
		_, _ = n.core.Propose(fmt.Appendf(nil, "%d,", s.proposals))
	case action < 185:
		read := uint64(len(s.commitIndexAtRead) + 1)
		for _, o := range s.nodes {
			s.commitIndexAtRead[read] = max(s.commitIndexAtRead[read], o.core.commitIndex)
		}
		_ = n.core.ReadIndex(read)
	case action < 193:
		target := s.ids[s.random.IntN(len(s.ids))]
		kind := raftpb.ChangeKind(1 + s.random.IntN(5))
		force := s.random.IntN(2) == 0 // safety must hold also for forced removals
		replaced := s.ids[s.random.IntN(len(s.ids))]
		_, _ = n.core.ProposeMemberChange(&raftpb.MemberChange{
			Kind: kind, Member: &raftpb.Member{Id: target}, Force: force, Replaced: replaced,
		})
	case action < 196:
		_ = n.core.TransferLeadership(s.ids[s.random.IntN(len(s.ids))])
	case action < 198:
		n.finishSnapshot()
	default:
		n.beginSnapshot()
	}
	s.handleReadies(id)
}

// compact takes a snapshot of the applied state and truncates the log on the disk, as the driver does.
func (n *node) compact() {
	n.beginSnapshot()
	n.finishSnapshot()
}

// beginSnapshot begins to save a snapshot of the applied state.
func (n *node) beginSnapshot() {
	meta, err := n.core.SnapshotMeta(n.lastApplied)
	if err != nil || meta.Index == n.disk.Snapshot.Meta.Index || n.snapshot != nil {
		return
	}
	if n.core.log.lastSynced < meta.Index {
		return // the driver waits until the log holds all entries of the snapshot
	}
	n.snapshot = &Snapshot{Meta: meta, Data: []byte(n.state)}
}

// finishSnapshot ends the save of a snapshot, which takes time as others do.
func (n *node) finishSnapshot() {
	s := n.snapshot
	if n.snapshot = nil; s == nil {
		return
	}
	meta := s.Meta
	if meta.Index > n.disk.Snapshot.Meta.Index { // the disk has got no later one of the leader meanwhile
		n.disk.Entries = n.disk.Entries[meta.Index-n.disk.Snapshot.Meta.Index:]
		n.disk.Snapshot = s
	}
	isOutdated := meta.Index < n.core.snapshot.Meta.Index
	if err := n.core.Compact(meta.Index, s.Data); err != nil {
		panic(err)
	}
	if isOutdated {
		return
	}
	n.core.log.discardThrough(meta.Index) // also discards the trailing entries, so that members that lag need snapshots
	n.core.baseMembership = meta.Members
}

// coverage counts the events that the random runs produced.
type coverage struct{ leaders, commits, changes, installs, reads int }

func (v *coverage) count(s *simulation) {
	v.leaders += len(s.checker.leaders)
	for _, r := range s.checker.committed[2:] {
		v.commits++
		if isMemberChange(r.entry) {
			v.changes++
		}
	}
	v.reads += s.answeredReads
	for _, n := range s.nodes {
		v.installs += n.installs
	}
}

// Guards against a sequence of faults, proposals, membership changes and compactions that violates a safety property,
// or after which the group can't commit although the faults have ended.
func TestRandomSimulation(t *testing.T) {
	t.Parallel()
	seen := coverage{}
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{network: newNetwork(t, 3), t: rt,
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)), commitIndexAtRead: map[uint64]uint64{},
			slowness: rapid.SampledFrom([]int{1, 2, 6, 20}).Draw(rt, "slowness")}
		s.startElectionTicks = 4
		for _, id := range []string{"m4", "m5"} {
			s.addNode(id, PersistentState{Snapshot: &Snapshot{Meta: &raftpb.SnapshotMeta{}}})
		}
		for range 1000 {
			s.stepRandomly()
		}
		s.inflight = nil
		for _, n := range s.allNodes() {
			n.finishSave()
		}
		seen.count(s)
		s.tick(20) // long enough for a leadership transfer to end
		l := s.waitForLeader()
		s.propose("end")
		s.tick(20)
		for _, m := range l.members {
			n := s.nodes[m.Id]
			assert.Assert(rt, strings.HasSuffix(n.state, "end") && n.state == s.nodes[l.cfg.ID].state,
				"%s has state %q", m.Id, n.state)
		}
	})
	t.Logf("%+v", seen)
	assert.Assert(t, seen.changes > 50 && seen.installs > 20 && seen.reads > 100,
		"coverage of the random runs is too low: %+v", seen)
}
