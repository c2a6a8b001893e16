package claim

import (
	"flag"
	"fmt"
	"math/bits"
	"testing"

	"gotest.tools/v3/assert"
)

// modelVoter is the state of one voter in a modelState. Sets of claimants are bit masks.
type modelVoter struct {
	held, durable, awaitingSync uint8 // claimants; the voter responds to those in awaitingSync after the next sync
	promised, serving           uint8 // epochs
}

// modelClaimant is the state of one attempt to claim the request ID. Sets of voters are bit masks.
type modelClaimant struct {
	phase, epoch                  uint8
	claims, acks, votes, releases uint8 // voters; claims, acks and releases are messages in flight
}

// Phases of a claimant.
const (
	idle uint8 = iota
	pending
	won // may have sent the request
	abandoned
)

// modelState is one state of the model. Voters 0 to 2 belong to epoch 1; in epoch 2 voter 3 replaces voter 2. A message
// in flight may be delivered at any later time or never.
type modelState struct {
	voters      [4]modelVoter
	claimants   [3]modelClaimant
	copiedFrom  uint8 // voters whose claims were copied to voter 3
	crashesLeft uint8
}

// fault is a rule of the protocol that a search omits, to show that the search detects the violation.
type fault int

const (
	noFault fault = iota
	respondBeforeSync
	countVotesAfterAbandoning
	copyWithoutPromise
	copyOnlyOneHolder
	copyFromOneVoter
	voteDespiteOtherHolder
)

// search visits all reachable states of the model.
type search struct {
	claimants, crashes int
	replacesVoter      bool
	fault              fault
	initialize         func(m *modelState) // sets the state from which the search starts
	seen               map[modelState]struct{}
	queue              []modelState
	violation          string
}

// votersOf returns the voters of an epoch.
func votersOf(epoch uint8) uint8 {
	if epoch == 2 {
		return 0b1011
	}
	return 0b0111
}

// normalize makes equivalent states equal. It drops messages that have no effect any more, syncs immediately if no
// crash can follow, and sorts the claimants.
func (s *search) normalize(m *modelState) {
	for v := range m.voters {
		if m.crashesLeft == 0 && s.fault != respondBeforeSync {
			m.syncVoter(v)
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
	// The claimants are interchangeable, so sort them by state and move their bits in the voters with them.
	for c := 1; c < s.claimants; c++ {
		for d := c; d > 0 && m.claimants[d-1].sortKey() < m.claimants[d].sortKey(); d-- {
			m.swapClaimants(d-1, d)
		}
	}
}

// sortKey encodes the state as a number.
func (a modelClaimant) sortKey() uint64 {
	return uint64(a.phase)<<40 | uint64(a.epoch)<<32 | uint64(a.claims)<<24 | uint64(a.acks)<<16 |
		uint64(a.votes)<<8 | uint64(a.releases)
}

// swapClaimants exchanges two claimants and their bits in the voters.
func (m *modelState) swapClaimants(c, d int) {
	m.claimants[c], m.claimants[d] = m.claimants[d], m.claimants[c]
	for v := range m.voters {
		for _, set := range []*uint8{&m.voters[v].held, &m.voters[v].durable, &m.voters[v].awaitingSync} {
			if x := (*set>>c ^ *set>>d) & 1; x != 0 {
				*set ^= x<<c | x<<d
			}
		}
	}
}

// enqueue adds a state to the queue unless an equivalent one was seen.
func (s *search) enqueue(m modelState) {
	s.normalize(&m)
	if _, ok := s.seen[m]; !ok {
		s.seen[m] = struct{}{}
		s.queue = append(s.queue, m)
	}
}

// run visits states until it finds a violation or has seen them all.
func (s *search) run() {
	var start modelState
	for v := range 3 {
		start.voters[v].promised, start.voters[v].serving = 1, 1
	}
	start.crashesLeft = uint8(s.crashes)
	s.seen = map[modelState]struct{}{}
	if s.initialize != nil {
		s.initialize(&start)
	}
	s.enqueue(start)
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

// stepClaimant enqueues the states that follow from a step of a claimant or the delivery of one of its messages.
func (s *search) stepClaimant(m modelState, c int) {
	a := m.claimants[c]
	next := func(change func(m *modelState, a *modelClaimant)) {
		n := m
		change(&n, &n.claimants[c])
		s.enqueue(n)
	}
	switch a.phase {
	case idle:
		for epoch := uint8(1); epoch <= 2; epoch++ {
			if epoch == 1 || s.replacesVoter {
				next(func(_ *modelState, a *modelClaimant) {
					*a = modelClaimant{phase: pending, epoch: epoch, claims: votersOf(epoch)}
				})
			}
		}
	case pending, won:
		// A winner releases its claim only if it has not sent the request, so it does not count as sent after this step.
		next(func(m *modelState, a *modelClaimant) {
			a.phase, a.releases = abandoned, votersOf(a.epoch)
			if s.fault != countVotesAfterAbandoning {
				a.acks, a.votes = 0, 0
				for v := range m.voters {
					m.voters[v].awaitingSync &^= 1 << c
				}
			}
		})
	}
	for v := range m.voters {
		bit := uint8(1) << v
		if a.claims&bit != 0 {
			next(func(m *modelState, a *modelClaimant) {
				a.claims &^= bit
				s.deliverClaim(&m.voters[v], a, uint8(1)<<c, bit)
			})
		}
		if a.acks&bit != 0 {
			next(func(_ *modelState, a *modelClaimant) {
				a.acks &^= bit
				a.votes |= bit
				if bits.OnesCount8(a.votes) >= 2 && a.phase != won {
					if a.phase == abandoned {
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

// deliverClaim delivers a claim to a voter, which votes for the claimant if no other one holds the request ID.
func (s *search) deliverClaim(v *modelVoter, a *modelClaimant, claimant, bit uint8) {
	if v.serving != a.epoch || v.promised != a.epoch {
		return
	}
	if v.held == 0 {
		v.held = claimant
	}
	if v.held != claimant && (s.fault != voteDespiteOtherHolder || v.held&claimant == 0) || a.phase != pending {
		return
	}
	if s.fault == respondBeforeSync {
		a.acks |= bit
	} else {
		v.awaitingSync |= claimant
	}
}

// stepVoter enqueues the states that follow from a sync, a crash, the loss, a membership change or a copy of a voter.
func (s *search) stepVoter(m modelState, v int) {
	old := m.voters[v]
	if old.durable != old.held || old.awaitingSync != 0 {
		n := m
		n.syncVoter(v)
		s.enqueue(n)
		if n = m; n.crashesLeft > 0 {
			n.crashesLeft--
			n.voters[v].held, n.voters[v].awaitingSync = old.durable, 0
			s.enqueue(n)
		}
	}
	if !s.replacesVoter {
		return
	}
	if v < 2 && old.serving == 1 {
		n := m
		n.voters[v].promised, n.voters[v].serving = 2, 2
		s.enqueue(n)
	}
	if v == 2 && old.promised == 1 {
		n := m // the disk is lost
		n.voters[v] = modelVoter{promised: 3}
		s.enqueue(n)
	}
	if v < 3 && m.copiedFrom&(1<<v) == 0 && old.promised < 3 {
		n := m
		n.syncVoter(v)
		if s.fault != copyWithoutPromise {
			n.voters[v].promised = 2
		}
		n.copiedFrom |= 1 << v
		newVoter := &n.voters[3]
		if s.fault != copyOnlyOneHolder || newVoter.held == 0 {
			newVoter.held |= old.held
		}
		newVoter.durable = newVoter.held
		if bits.OnesCount8(n.copiedFrom) >= 2 || s.fault == copyFromOneVoter {
			newVoter.promised, newVoter.serving = 2, 2
		}
		s.enqueue(n)
	}
}

// syncVoter makes the claims of a voter durable and sends the responses that wait for the sync.
func (m *modelState) syncVoter(v int) {
	voter := &m.voters[v]
	voter.durable = voter.held
	for c := range m.claimants {
		if voter.awaitingSync&(1<<c) != 0 && m.claimants[c].phase == pending {
			m.claimants[c].acks |= 1 << v
		}
	}
	voter.awaitingSync = 0
}

var largeModel = flag.Bool("large-model", false, "search the large models too; slow with the race detector")

// Guards against two attempts that both win the same request ID and against an abandoned attempt that wins later.
// Covers all orders of message delivery and loss, crashes, and the replacement of a voter.
func TestModelHasOneWinner(t *testing.T) {
	searches := []search{
		{claimants: 2, crashes: 2},
		{claimants: 3, crashes: 0},
		{claimants: 2, crashes: 0, replacesVoter: true},
	}
	if *largeModel {
		searches = append(searches, search{claimants: 2, crashes: 1, replacesVoter: true}, search{claimants: 3, crashes: 1})
	}
	for _, s := range searches {
		t.Run(fmt.Sprintf("%d-claimants-%d-crashes-replace-%t", s.claimants, s.crashes, s.replacesVoter), func(t *testing.T) {
			t.Parallel()
			s.run()
			t.Logf("%d states", len(s.seen))
			assert.Equal(t, s.violation, "")
		})
	}
}

// Guards against a search that does not detect a violated rule of the protocol.
func TestModelFindsFaults(t *testing.T) {
	// The claimant has one vote, and another claim is in flight.
	voteInFlight := func(m *modelState) {
		m.voters[0].held = 0b01
		m.claimants[0] = modelClaimant{phase: pending, epoch: 1, claims: 0b100, votes: 0b001}
	}
	// The first claimant won with voters 0 and 2. The second one has the vote of voter 1 and abandoned its claim.
	splitVote := func(m *modelState) {
		m.voters[0].held, m.voters[2].held, m.voters[1].held = 0b01, 0b01, 0b10
		m.claimants[0] = modelClaimant{phase: won, epoch: 1}
		m.claimants[1] = modelClaimant{phase: abandoned, epoch: 1, releases: 0b010}
	}
	for _, s := range []search{
		{claimants: 2, crashes: 1, fault: respondBeforeSync},
		{claimants: 1, fault: countVotesAfterAbandoning},
		{claimants: 2, replacesVoter: true, fault: copyWithoutPromise, initialize: voteInFlight},
		{claimants: 3, replacesVoter: true, fault: copyOnlyOneHolder, initialize: splitVote},
		{claimants: 3, replacesVoter: true, fault: copyFromOneVoter, initialize: splitVote},
		{claimants: 2, replacesVoter: true, fault: voteDespiteOtherHolder},
	} {
		t.Run(fmt.Sprintf("fault-%d", s.fault), func(t *testing.T) {
			t.Parallel()
			s.run()
			assert.Assert(t, s.violation != "", "not found in %d states", len(s.seen))
		})
	}
}
