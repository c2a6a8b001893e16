package control

import (
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

// maxReplies bounds the calls that share an entry of the log. The next one with the same command gets an entry of its own.
const maxReplies = 64

// proposalKey identifies idempotent commands that may share an entry.
type proposalKey struct{ plugin, id, body string }

// newProposalKey returns the key of a command, or nil if the command isn't idempotent. One with an ID is applied once only.
func newProposalKey(c kernel.Command, idempotent bool) *proposalKey {
	if !idempotent && c.ID == "" {
		return nil
	}
	return &proposalKey{c.Plugin, c.ID, string(c.Body)}
}

// appendCommand appends a command to the log and returns its index.
func (v *Voter) appendCommand(c kernel.Command) (index uint64, err error) {
	data, err := proto.Marshal(encodeCommand(c, time.Now()))
	if err != nil {
		return 0, errorx.Decorate(err, "encode command")
	}
	if len(data) > maxCommandBytes {
		return 0, kernel.ErrInvalid.New("command has %d bytes; at most %d are replicated", len(data), maxCommandBytes)
	}
	return v.core.Propose(data)
}

// propose appends a command to the log. Calls with the same key may share its entry.
func (v *Voter) propose(c kernel.Command, key *proposalKey, reply func(kernel.Result, error)) error {
	index, err := v.appendCommand(c)
	if err != nil {
		return err
	}
	v.proposals.add(index, v.core.Term(), key, reply)
	return nil
}

// share lets a call wait for the pending entry of a command and reports whether there is one. The leadership must have been
// confirmed since the call began: another leader may have committed the entry earlier, and answered what follows it.
func (v *Voter) share(key *proposalKey, reply func(kernel.Result, error)) bool {
	pp := v.proposals.find(key, v.core.Term())
	if pp == nil {
		return false
	}
	pp.replies = append(pp.replies, reply)
	return true
}

// failPendingProposals fails all pending proposals. It is unknown whether they were or will be committed.
func (v *Voter) failPendingProposals() {
	v.proposals.fail(peer.ErrInterrupted.New("leadership was lost before the command was committed"))
}

// pendingProposal is an entry of this leader that isn't applied yet, with the calls that wait for its result.
type pendingProposal struct {
	term    uint64
	key     *proposalKey // nil if the command isn't idempotent
	replies []func(kernel.Result, error)
}

// proposals holds the entries whose results calls wait for. The control loop owns it.
type proposals struct {
	byIndex map[uint64]*pendingProposal
	byKey   map[proposalKey]*pendingProposal // the newest entry of each idempotent command
}

func newProposals() proposals {
	return proposals{byIndex: map[uint64]*pendingProposal{}, byKey: map[proposalKey]*pendingProposal{}}
}

// add adds an entry that was appended. With a key, later calls with the same command may share it.
func (p *proposals) add(index, term uint64, key *proposalKey, reply func(kernel.Result, error)) {
	pp := &pendingProposal{term: term, key: key, replies: []func(kernel.Result, error){reply}}
	p.byIndex[index] = pp
	if key != nil {
		p.byKey[*key] = pp
	}
}

// find returns the entry of this term that a call with the key may share, or nil.
func (p *proposals) find(key *proposalKey, term uint64) *pendingProposal {
	if key == nil {
		return nil
	}
	pp, ok := p.byKey[*key]
	if !ok || pp.term != term || len(pp.replies) >= maxReplies {
		return nil
	}
	return pp
}

// finish answers the calls that wait for the entry at an index, which was applied.
func (p *proposals) finish(index, term uint64, r kernel.Result) {
	pp, ok := p.byIndex[index]
	if !ok {
		return
	}
	if pp.term == term {
		p.answer(index, pp, r, nil)
		return
	}
	p.answer(index, pp, kernel.Result{}, peer.ErrInterrupted.New("another leader's command took the place in the log"))
}

// fail answers all calls with an error.
func (p *proposals) fail(err error) {
	for index, pp := range p.byIndex {
		p.answer(index, pp, kernel.Result{}, err)
	}
}

func (p *proposals) answer(index uint64, pp *pendingProposal, r kernel.Result, err error) {
	delete(p.byIndex, index)
	if pp.key != nil && p.byKey[*pp.key] == pp {
		delete(p.byKey, *pp.key)
	}
	for _, reply := range pp.replies {
		reply(r, err)
	}
}
