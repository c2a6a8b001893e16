package raft

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// full enables models that take too long for the normal test run.
var full = flag.Bool("full", false, "explore the larger models")

// modelState is one immutable state of a model. Messages stay in sent forever and can be delivered in any order, more
// than once or never, which covers loss, duplication and reordering.
type modelState struct {
	nodes    []*node
	hashes   []uint64 // by node
	sent     map[uint64]*raftpb.Message
	restarts int
	checker  checker
	path     *step // the last step that led to this state
}

// step is one transition of the model, linked to the one before it.
type step struct {
	previous *step
	member   string
	action   any
}

func (s *step) String() string {
	if s == nil {
		return ""
	}
	return fmt.Sprint(s.previous, "\n", s.member, ": ", s.action)
}

// model describes a group and limits the states that the exploration visits.
type model struct {
	name             string
	size             int
	startsWithLeader bool // m1 leads in the first state and has committed its first entry
	campaignRole     Role // role with which a member starts an election, PreCandidate or Candidate
	maxTerm          uint64
	maxLastIndex     uint64
	votesOnly        bool // only messages of elections are delivered
	restarts         int
	candidates       int // number of members that start elections
	proposals        bool
	changes          []*raftpb.MemberChange
	maxStates        int // 0 for no limit
}

func (c *Core) clone() *Core {
	d := *c
	d.log.entries = slices.Clip(c.log.entries)
	d.votes = maps.Clone(c.votes)
	d.progress = maps.Clone(c.progress)
	for id, p := range d.progress {
		q := *p
		q.inflight = slices.Clone(p.inflight)
		d.progress[id] = &q
	}
	return &d
}

// hash identifies the state of a node without its tick counters, which no safety property depends on.
func (n *node) hash() uint64 {
	c := n.core
	b := fmt.Appendf(nil, "%d %d %s %s %d %v", c.role, c.term, c.votedFor, c.leader, c.commitIndex, c.votes)
	for _, e := range c.log.entries {
		b = fmt.Appendf(b, ",%d %d %s", e.Term, e.Type, e.Data)
	}
	for _, m := range c.members {
		if p := c.progress[m.Id]; p != nil {
			b = fmt.Appendf(b, ";%d %d %d %t %v", p.matchIndex, p.nextIndex, p.state, p.hasUnansweredProbe, p.inflight)
		}
	}
	return xxhash.Sum64(b)
}

// nextState returns the state after f was applied to node i, or nil if f returns false or the state was seen before.
// The error reports a violated safety property.
func (w *modelState) nextState(seen map[uint64]bool, i int, f func(n *node) bool) (*modelState, error) {
	n := *w.nodes[i]
	n.core = n.core.clone()
	n.disk.Entries = slices.Clip(n.disk.Entries)
	if !f(&n) {
		return nil, nil
	}
	d := &modelState{sent: w.sent, restarts: w.restarts}
	for rd, ok := n.core.Ready(); ok; rd, ok = n.core.Ready() {
		for _, m := range n.handleReady(rd) {
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
			if err != nil {
				return nil, err
			}
			if h := xxhash.Sum64(data); d.sent[h] == nil {
				d.sent = maps.Clone(d.sent)
				d.sent[h] = m
			}
		}
	}
	n.core.electionElapsed = n.core.cfg.ElectionTicks // so that a recent message of a leader never prevents a vote
	d.nodes, d.hashes = slices.Clone(w.nodes), slices.Clone(w.hashes)
	d.nodes[i], d.hashes[i] = &n, n.hash()
	var sum uint64
	for h := range d.sent {
		sum += h
	}
	key := xxhash.Sum64(fmt.Appendf(nil, "%d %d %d", sum, d.restarts, d.hashes))
	if seen[key] {
		return nil, nil
	}
	seen[key] = true
	d.checker = w.checker.clone()
	return d, d.checker.check(d.nodes)
}

// successors returns the states that one step reaches and that were not seen before.
func (m *model) successors(t *testing.T, w *modelState, seen map[uint64]bool) []*modelState {
	var list []*modelState
	try := func(i int, what any, f func(n *node) bool) {
		next, err := w.nextState(seen, i, f)
		if next != nil {
			next.path = &step{w.path, w.nodes[i].core.cfg.ID, what}
			list = append(list, next)
		}
		if err != nil {
			t.Fatalf("%v after:%v", err, next.path)
		}
	}
	for i, n := range w.nodes {
		if i < m.candidates && n.core.role != Leader && n.core.promotable() && n.core.term < m.maxTerm {
			try(i, "campaigns", func(n *node) bool { n.core.campaign(m.campaignRole, m.campaignRole == Candidate); return true })
		}
		if w.restarts < m.restarts {
			w.restarts++ // copied to the successor
			try(i, "restarts", func(n *node) bool {
				cfg := n.core.cfg
				cfg.PersistentState = n.disk
				core, err := New(cfg)
				*n = node{core: core, disk: n.disk, lastApplied: n.disk.Snapshot.Meta.Index, state: string(n.disk.Snapshot.Data)}
				return err == nil
			})
			w.restarts--
		}
		if n.core.role != Leader || n.core.log.lastIndex() >= m.maxLastIndex {
			continue
		}
		if m.proposals {
			try(i, "proposes", func(n *node) bool { _, err := n.core.Propose([]byte(n.core.cfg.ID)); return err == nil })
		}
		for _, ch := range m.changes {
			try(i, ch, func(n *node) bool { _, err := n.core.ProposeMemberChange(ch); return err == nil })
		}
	}
	for _, msg := range w.sent {
		if m.votesOnly && !strings.Contains(msg.Type.String(), "VOTE") {
			continue
		}
		for i, n := range w.nodes {
			if n.core.cfg.ID == msg.To {
				try(i, msg, func(n *node) bool { _ = n.core.Step(msg); return true })
			}
		}
	}
	return list
}

// explore visits the states of the model in breadth-first order. It returns their number, and whether all were visited
// within maxStates.
func (m *model) explore(t *testing.T) (states int, exhausted bool) {
	net := newNetwork(t, m.size)
	if m.startsWithLeader {
		net.nodes["m1"].core.campaign(Candidate, false)
		net.deliverAll()
	}
	start := &modelState{sent: map[uint64]*raftpb.Message{}, checker: net.checker}
	for _, n := range net.allNodes() {
		n.core.electionElapsed = n.core.cfg.ElectionTicks
		start.nodes, start.hashes = append(start.nodes, n), append(start.hashes, n.hash())
	}
	seen := map[uint64]bool{}
	for frontier := []*modelState{start}; len(frontier) > 0; {
		w := frontier[0]
		frontier[0] = nil
		frontier = append(frontier[1:], m.successors(t, w, seen)...)
		if m.maxStates > 0 && len(seen) >= m.maxStates {
			return len(seen), false
		}
	}
	return len(seen), true
}

// Guards against a sequence of steps that violates a safety property in a small group.
func TestExploreSmallModels(t *testing.T) {
	t.Parallel()
	change := func(kind raftpb.ChangeKind, id string, force bool) *raftpb.MemberChange {
		return &raftpb.MemberChange{Kind: kind, Member: &raftpb.Member{Id: id}, Force: force}
	}
	remove := func(ids ...string) (list []*raftpb.MemberChange) {
		for _, id := range ids {
			list = append(list, change(raftpb.ChangeKind_CHANGE_KIND_REMOVE, id, true))
		}
		return list
	}
	models := []model{
		{name: "election", size: 3, candidates: 2, campaignRole: Candidate, maxTerm: 3, votesOnly: true},
		{name: "election with three candidates", size: 3, candidates: 3, campaignRole: Candidate, maxTerm: 2, votesOnly: true,
			restarts: 3},
		{name: "pre-vote", size: 3, candidates: 2, campaignRole: PreCandidate, maxTerm: 2, votesOnly: true},
		{name: "replication", size: 3, startsWithLeader: true, candidates: 2, campaignRole: Candidate, maxTerm: 3,
			maxLastIndex: 3, proposals: true, maxStates: 8000},
		{name: "membership", size: 3, startsWithLeader: true, candidates: 2, campaignRole: Candidate, maxTerm: 3,
			maxLastIndex: 4, changes: remove("m1", "m2", "m3")},
		{name: "membership of four", size: 4, startsWithLeader: true, candidates: 2, campaignRole: Candidate, maxTerm: 4,
			maxLastIndex: 4, changes: remove("m1", "m4"), maxStates: 8000},
	}
	if *full {
		models[0].restarts, models[2].restarts, models[4].restarts = 1, 1, 1
		models[3].maxStates, models[5].maxStates = 0, 400000
	}
	for _, m := range models {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			states, exhausted := m.explore(t)
			t.Logf("%d states, exhausted: %t", states, exhausted)
			assert.Equal(t, exhausted, m.maxStates == 0)
		})
	}
}
