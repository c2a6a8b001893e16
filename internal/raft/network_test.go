package raft

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// node is a member with its driver: a simulated disk and state machine.
type node struct {
	core        *Core
	saving      *Save     // in progress, if saves take time
	snapshot    *Snapshot // of the own state, whose save is in progress
	disk        PersistentState
	state       string // the commands applied so far, concatenated
	installs    int    // number of snapshots installed
	reads       []ReadResult
	lastApplied uint64
}

// network delivers the messages between nodes, except those for which drop returns true.
type network struct {
	t     testing.TB
	ids   []string
	nodes map[string]*node
	drop  func(m *raftpb.Message) bool
	rand  func(n int) int
	// startElectionTicks is Config.StartElectionTicks of members that start from now on.
	startElectionTicks int

	checker checker
}

func testMembers(n int) []*raftpb.Member {
	var members []*raftpb.Member
	for i := range n {
		members = append(members, &raftpb.Member{Id: fmt.Sprintf("m%d", i+1), Address: "127.0.0.1:1", Voter: true})
	}
	return members
}

func newNetwork(t testing.TB, n int) *network { return newNetworkWithMembers(t, testMembers(n)) }

func newNetworkWithMembers(t testing.TB, members []*raftpb.Member) *network {
	seed := uint32(1)
	w := &network{t: t, nodes: map[string]*node{}, checker: newChecker(),
		drop: func(*raftpb.Message) bool { return false }}
	w.rand = func(n int) int {
		seed = seed*1664525 + 1013904223
		return int(seed>>16) % n
	}
	for _, m := range members {
		w.addNode(m.Id, Bootstrap(members))
	}
	return w
}

func (w *network) addNode(id string, p PersistentState) {
	if w.nodes[id] == nil {
		w.ids = append(w.ids, id)
	}
	n := &node{disk: p}
	if p.Snapshot != nil {
		n.state, n.lastApplied = string(p.Snapshot.Data), p.Snapshot.Meta.Index
	}
	core, err := New(Config{
		ID: id, PersistentState: p, ElectionTicks: 5, StartElectionTicks: w.startElectionTicks, HeartbeatTicks: 1, Rand: w.rand,
	})
	assert.NilError(w.t, err)
	n.core = core
	w.nodes[id] = n
}

func (w *network) allNodes() []*node {
	var nodes []*node
	for _, id := range w.ids {
		nodes = append(nodes, w.nodes[id])
	}
	return nodes
}

func (w *network) restart(id string) { w.addNode(id, w.nodes[id].disk) }

// save updates p as the disk does.
func (p *PersistentState) save(s *Save) {
	if s.Snapshot != nil {
		p.Snapshot, p.Entries = s.Snapshot, nil
	}
	if s.HardState != nil {
		p.HardState = s.HardState
	}
	for _, e := range s.Entries {
		p.Entries = append(p.Entries[:e.Index-p.Snapshot.Meta.Index-1:e.Index-p.Snapshot.Meta.Index-1], e)
	}
}

// handleReady does the work of the driver for a Ready whose save takes no time, and returns its messages.
func (n *node) handleReady(rd Ready) []*raftpb.Message {
	n.saving = rd.Save
	messages := slices.Concat(rd.Messages, n.finishSave())
	n.apply(rd)
	return messages
}

// finishSave ends the save in progress, if there is one, and returns the messages that waited for it.
func (n *node) finishSave() []*raftpb.Message {
	s := n.saving
	if s == nil {
		return nil
	}
	n.saving = nil
	n.disk.save(s)
	n.core.Saved(s)
	return s.Messages
}

// apply does the work of the driver for a Ready, except for its messages and its save.
func (n *node) apply(rd Ready) {
	if rd.Snapshot != nil {
		n.state, n.lastApplied = string(rd.Snapshot.Data), rd.Snapshot.Meta.Index
		n.installs++
	}
	for _, e := range rd.CommittedEntries {
		if e.Index != n.lastApplied+1 {
			panic(fmt.Sprintf("entry %d applied after %d", e.Index, n.lastApplied))
		}
		n.lastApplied = e.Index
		n.state += string(e.Data)
	}
	n.reads = append(n.reads, rd.Reads...)
	n.core.Advance(rd)
}

// deliverAll delivers messages until none is left, and checks the safety properties after every step.
func (w *network) deliverAll() {
	for busy := true; busy; {
		busy = false
		for _, id := range w.ids {
			n := w.nodes[id]
			rd, ok := n.core.Ready()
			if !ok {
				continue
			}
			busy = true
			messages := n.handleReady(rd)
			assert.NilError(w.t, w.checker.check(w.allNodes()))
			for _, m := range messages {
				if to := w.nodes[m.To]; to != nil && !w.drop(m) {
					_ = to.core.Step(proto.CloneOf(m))
				}
			}
		}
	}
}

func (w *network) tick(n int) {
	for range n {
		for _, id := range w.ids {
			w.nodes[id].core.Tick()
		}
		w.deliverAll()
	}
}

// waitForLeader ticks until an active leader has committed an entry of its own term, and returns that leader.
func (w *network) waitForLeader() *Core {
	w.t.Helper()
	for range 100 {
		for _, id := range w.ids {
			if c := w.nodes[id].core; c.role == Leader && c.commitIndex >= c.termStartIndex && c.hasActiveQuorum() {
				return c
			}
		}
		w.tick(1)
	}
	w.t.Fatal("no leader within 100 ticks")
	return nil
}

func (w *network) propose(data string) {
	w.t.Helper()
	_, err := w.waitForLeader().Propose([]byte(data))
	assert.NilError(w.t, err)
	w.deliverAll()
}

// Guards against a group of any supported size that elects no leader, or whose members don't apply a committed command,
// also after a restart.
func TestGroupsElectLeaderAndCommit(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		w := newNetwork(t, size)
		l := w.waitForLeader()
		w.propose("a")
		assert.NilError(t, l.ReadIndex(7))
		w.deliverAll()
		w.tick(2)
		assert.DeepEqual(t, w.nodes[l.cfg.ID].reads, []ReadResult{{ID: 7, Index: l.commitIndex}})
		for _, id := range w.ids {
			w.restart(id)
		}
		w.waitForLeader()
		w.tick(1)
		for _, id := range w.ids {
			assert.Equal(t, w.nodes[id].state, "a", "%d members, %s", size, id)
		}
	}
}
