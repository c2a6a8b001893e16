package raft

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// checker holds the history of a test run and verifies the safety properties of the Raft paper after every step.
type checker struct {
	leaders   map[uint64]string // by term
	committed []commitRecord    // by index
	states    map[uint64]string // applied state by index
}

type commitRecord struct {
	entry *raftpb.Entry
	term  uint64 // lowest term of a member that had the entry committed
}

func newChecker() checker {
	return checker{leaders: map[uint64]string{}, states: map[uint64]string{}, committed: make([]commitRecord, 2)}
}

func (k checker) clone() checker {
	return checker{leaders: maps.Clone(k.leaders), states: maps.Clone(k.states), committed: slices.Clone(k.committed)}
}

// check returns an error that names the safety property which the nodes violate, if any.
func (k *checker) check(nodes []*node) error {
	for _, n := range nodes {
		c := n.core
		if c.role == Leader {
			if other, ok := k.leaders[c.term]; ok && other != c.cfg.ID {
				return fmt.Errorf("election safety: %s and %s lead term %d", other, c.cfg.ID, c.term)
			}
			k.leaders[c.term] = c.cfg.ID
		}
		if err := k.checkCommits(c); err != nil {
			return err
		}
		if state, ok := k.states[n.lastApplied]; ok && state != n.state {
			return fmt.Errorf("state machine safety: %s has state %q after %d instead of %q", c.cfg.ID, n.state,
				n.lastApplied, state)
		}
		k.states[n.lastApplied] = n.state
	}
	for i, n := range nodes {
		if err := k.checkLog(n.core); err != nil {
			return err
		}
		for _, o := range nodes[:i] {
			if err := checkMatching(&n.core.log, &o.core.log); err != nil {
				return fmt.Errorf("log matching of %s and %s: %w", n.core.cfg.ID, o.core.cfg.ID, err)
			}
		}
	}
	return nil
}

// checkCommits verifies that all members commit the same entry at each index.
func (k *checker) checkCommits(c *Core) error {
	for _, e := range c.log.entries {
		switch {
		case e.Index > c.commitIndex:
		case e.Index < uint64(len(k.committed)):
			r := &k.committed[e.Index]
			if r.entry.Term != e.Term || !proto.Equal(r.entry, e) {
				return fmt.Errorf("state machine safety: %s committed %v instead of %v", c.cfg.ID, e, r.entry)
			}
			r.term = min(r.term, c.term)
		default:
			k.committed = append(k.committed, commitRecord{entry: e, term: c.term})
		}
	}
	return nil
}

// checkLog verifies that at most one membership change is uncommitted, and that a leader has all entries that were
// committed in earlier terms.
func (k *checker) checkLog(c *Core) error {
	changes := 0
	for _, e := range c.log.entries {
		if e.Index >= uint64(len(k.committed)) && isMemberChange(e) {
			changes++
		}
	}
	if changes > 1 {
		return fmt.Errorf("%s holds %d uncommitted membership changes", c.cfg.ID, changes)
	}
	for i := c.log.baseIndex + 1; c.role == Leader && i < uint64(len(k.committed)); i++ {
		if r := k.committed[i]; r.term < c.term && !c.log.matchesTerm(i, r.entry.Term) {
			return fmt.Errorf("leader completeness: %s leads term %d without %v", c.cfg.ID, c.term, r.entry)
		}
	}
	return nil
}

// checkMatching verifies the log matching property: two logs that have an entry with the same index and term are
// equal up to that entry.
func checkMatching(a, b *entryLog) error {
	equal := false
	for i := min(a.lastIndex(), b.lastIndex()); i > max(a.baseIndex, b.baseIndex); i-- {
		x, y := a.entries[i-a.baseIndex-1], b.entries[i-b.baseIndex-1]
		if x == y {
			return nil // the same entry in memory: the logs were compared up to here before
		}
		same := x.Term == y.Term && x.Type == y.Type && string(x.Data) == string(y.Data)
		if !same && (equal || x.Term == y.Term) {
			return fmt.Errorf("entries %v and %v", x, y)
		}
		equal = equal || same
	}
	return nil
}
