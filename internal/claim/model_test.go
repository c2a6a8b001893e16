package claim

import (
	"flag"
	"fmt"
	"math/bits"
	"testing"

	"gotest.tools/v3/assert"
)

// The model has voters 0 to 2 of epoch 1; in epoch 2 voter 3 replaces voter 2. A message in flight may be delivered at
// any later time or never. Sets of voters and of claimants are bit masks.
type modelVoter struct {
	held, durable, waiting uint8 // claimants; waiting ones are answered after the next sync
	promised, serving      uint8 // epochs
}

type modelClaimant struct {
	phase, epoch                  uint8
	claims, acks, votes, releases uint8 // voters
}

const (
	idle uint8 = iota
	pending
	won // may have sent the request
	gaveUp
)

type modelState struct {
	voters    [4]modelVoter
	claimants [3]modelClaimant
	copied    uint8 // voters that sent their copies
	crashes   uint8
}

// fault is a rule of the protocol that a search leaves out, to show that the search would find the violation.
type fault int

const (
	noFault fault = iota
	answerBeforeSync
	countAfterGivingUp
	copyWithoutPromise
	copyOneHolder
	copyFromOne
	voteBesideOther
)

type search struct {
	claimants, crashes int
	replace            bool
	fault              fault
	prefix             func(m *modelState) // leads to the state from which the search starts
	seen               map[modelState]struct{}
	queue              []modelState
	violation          string
}

func members(epoch uint8) uint8 {
	if epoch == 2 {
		return 0b1011
	}
	return 0b0111
}

// reduce clears what can no longer have an effect, and syncs at once where no crash is left to tell the difference.
func (s *search) reduce(m *modelState) {
	for v := range m.voters {
		if m.crashes == 0 && s.fault != answerBeforeSync {
			m.sync(v)
		}
		bit := uint8(1) << v
		voter := &m.voters[v]
		for c := range m.claimants {
			a := &m.claimants[c]
			if voter.promised > a.epoch {
				a.claims &^= bit
			}
			if (v < 3 || voter.serving != 0) && (voter.held|voter.durable)&(1<<c) == 0 && a.claims&bit == 0 {
				a.releases &^= bit
			}
		}
	}
	// Claimants are alike: order them by their state, with their bits in the voters.
	for c := 1; c < s.claimants; c++ {
		for d := c; d > 0 && m.claimants[d-1].number() < m.claimants[d].number(); d-- {
			m.swap(d-1, d)
		}
	}
}

func (a modelClaimant) number() uint64 {
	return uint64(a.phase)<<40 | uint64(a.epoch)<<32 | uint64(a.claims)<<24 | uint64(a.acks)<<16 |
		uint64(a.votes)<<8 | uint64(a.releases)
}

func (m *modelState) swap(c, d int) {
	m.claimants[c], m.claimants[d] = m.claimants[d], m.claimants[c]
	for v := range m.voters {
		for _, set := range []*uint8{&m.voters[v].held, &m.voters[v].durable, &m.voters[v].waiting} {
			if x := (*set>>c ^ *set>>d) & 1; x != 0 {
				*set ^= x<<c | x<<d
			}
		}
	}
}

func (s *search) push(m modelState) {
	s.reduce(&m)
	if _, ok := s.seen[m]; !ok {
		s.seen[m] = struct{}{}
		s.queue = append(s.queue, m)
	}
}

func (s *search) run() {
	var start modelState
	for v := range 3 {
		start.voters[v].promised, start.voters[v].serving = 1, 1
	}
	start.crashes = uint8(s.crashes)
	s.seen = map[modelState]struct{}{}
	if s.prefix != nil {
		s.prefix(&start)
	}
	s.push(start)
	for len(s.queue) > 0 && s.violation == "" {
		m := s.queue[len(s.queue)-1]
		s.queue = s.queue[:len(s.queue)-1]
		sent := 0
		for c := range m.claimants {
			if m.claimants[c].phase == won {
				sent++
			}
		}
		if sent > 1 {
			s.violation = "two winners"
		}
		for c := range s.claimants {
			s.stepClaimant(m, c)
		}
		for v := range m.voters {
			s.stepVoter(m, v)
		}
	}
}

func (s *search) stepClaimant(m modelState, c int) {
	a := m.claimants[c]
	next := func(change func(m *modelState, a *modelClaimant)) {
		n := m
		change(&n, &n.claimants[c])
		s.push(n)
	}
	switch a.phase {
	case idle:
		for epoch := uint8(1); epoch <= 2; epoch++ {
			if epoch == 1 || s.replace {
				next(func(_ *modelState, a *modelClaimant) {
					*a = modelClaimant{phase: pending, epoch: epoch, claims: members(epoch)}
				})
			}
		}
	case pending, won:
		// A winner gives up only when it has not sent; that branch is a state in which it never counts as sent.
		next(func(m *modelState, a *modelClaimant) {
			a.phase, a.releases = gaveUp, members(a.epoch)
			if s.fault != countAfterGivingUp {
				a.acks, a.votes = 0, 0
				for v := range m.voters {
					m.voters[v].waiting &^= 1 << c
				}
			}
		})
	}
	for v := range m.voters {
		bit := uint8(1) << v
		if a.claims&bit != 0 {
			next(func(m *modelState, a *modelClaimant) {
				a.claims &^= bit
				s.claim(&m.voters[v], a, uint8(1)<<c, bit)
			})
		}
		if a.acks&bit != 0 {
			next(func(_ *modelState, a *modelClaimant) {
				a.acks &^= bit
				a.votes |= bit
				if bits.OnesCount8(a.votes) >= 2 && a.phase != won {
					if a.phase == gaveUp {
						s.violation = "won after giving up"
					}
					a.phase, a.acks, a.votes = won, 0, 0
				}
			})
		}
		if a.releases&bit != 0 {
			next(func(m *modelState, a *modelClaimant) {
				a.releases &^= bit
				m.voters[v].held &^= 1 << c
			})
		}
	}
}

func (s *search) claim(v *modelVoter, a *modelClaimant, claimant, bit uint8) {
	if v.serving != a.epoch || v.promised != a.epoch {
		return
	}
	if v.held == 0 {
		v.held = claimant
	}
	if v.held != claimant && (s.fault != voteBesideOther || v.held&claimant == 0) || a.phase != pending {
		return
	}
	if s.fault == answerBeforeSync {
		a.acks |= bit
	} else {
		v.waiting |= claimant
	}
}

func (s *search) stepVoter(m modelState, v int) {
	old := m.voters[v]
	if old.durable != old.held || old.waiting != 0 {
		n := m
		n.sync(v)
		s.push(n)
		if n = m; n.crashes > 0 {
			n.crashes--
			n.voters[v].held, n.voters[v].waiting = old.durable, 0
			s.push(n)
		}
	}
	if !s.replace {
		return
	}
	if v < 2 && old.serving == 1 {
		n := m
		n.voters[v].promised, n.voters[v].serving = 2, 2
		s.push(n)
	}
	if v == 2 && old.promised == 1 {
		n := m // the disk is lost
		n.voters[v] = modelVoter{promised: 3}
		s.push(n)
	}
	if v < 3 && m.copied&(1<<v) == 0 && old.promised < 3 {
		n := m
		n.sync(v)
		if s.fault != copyWithoutPromise {
			n.voters[v].promised = 2
		}
		n.copied |= 1 << v
		fresh := &n.voters[3]
		if s.fault != copyOneHolder || fresh.held == 0 {
			fresh.held |= old.held
		}
		fresh.durable = fresh.held
		if bits.OnesCount8(n.copied) >= 2 || s.fault == copyFromOne {
			fresh.promised, fresh.serving = 2, 2
		}
		s.push(n)
	}
}

func (m *modelState) sync(v int) {
	voter := &m.voters[v]
	voter.durable = voter.held
	for c := range m.claimants {
		if voter.waiting&(1<<c) != 0 && m.claimants[c].phase == pending {
			m.claimants[c].acks |= 1 << v
		}
	}
	voter.waiting = 0
}

var largeModel = flag.Bool("large-model", false, "search the large models too; slow with the race detector")

// Guards against two attempts of one request ID that both send, and against one that sends after it gave up, over all
// orders of delivery, loss, crashes and the replacement of a voter.
func TestModelHasOneWinner(t *testing.T) {
	searches := []search{
		{claimants: 2, crashes: 2},
		{claimants: 3, crashes: 0},
		{claimants: 2, crashes: 0, replace: true},
	}
	if *largeModel {
		searches = append(searches, search{claimants: 2, crashes: 1, replace: true}, search{claimants: 3, crashes: 1})
	}
	for _, s := range searches {
		t.Run(fmt.Sprintf("%d-claimants-%d-crashes-replace-%t", s.claimants, s.crashes, s.replace), func(t *testing.T) {
			t.Parallel()
			s.run()
			t.Logf("%d states", len(s.seen))
			assert.Equal(t, s.violation, "")
		})
	}
}

// Guards against a search that is too weak to notice a missing rule of the protocol.
func TestModelFindsFaults(t *testing.T) {
	// One vote is there and the next one is on its way.
	onTheWay := func(m *modelState) {
		m.voters[0].held = 0b01
		m.claimants[0] = modelClaimant{phase: pending, epoch: 1, claims: 0b100, votes: 0b001}
	}
	// The first claimant won at voters 0 and 2; the second one holds voter 1 and gave up.
	split := func(m *modelState) {
		m.voters[0].held, m.voters[2].held, m.voters[1].held = 0b01, 0b01, 0b10
		m.claimants[0] = modelClaimant{phase: won, epoch: 1}
		m.claimants[1] = modelClaimant{phase: gaveUp, epoch: 1, releases: 0b010}
	}
	for _, s := range []search{
		{claimants: 2, crashes: 1, fault: answerBeforeSync},
		{claimants: 1, fault: countAfterGivingUp},
		{claimants: 2, replace: true, fault: copyWithoutPromise, prefix: onTheWay},
		{claimants: 3, replace: true, fault: copyOneHolder, prefix: split},
		{claimants: 3, replace: true, fault: copyFromOne, prefix: split},
		{claimants: 2, replace: true, fault: voteBesideOther},
	} {
		t.Run(fmt.Sprintf("fault-%d", s.fault), func(t *testing.T) {
			t.Parallel()
			s.run()
			assert.Assert(t, s.violation != "", "not found in %d states", len(s.seen))
		})
	}
}
