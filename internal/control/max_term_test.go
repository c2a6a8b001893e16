package control

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kernelpb"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

// Guards against a late request that a later leader appends after its caller was told that no leader ever will.
func TestLeaderAppendsNothingBeyondMaxTerm(t *testing.T) {
	g := newSlowGroup(t, 3)
	l := g.leader(10 * time.Second)
	assert.NilError(t, <-g.propose(l))
	st := g.status(l)
	for i, tt := range []struct {
		name                 string
		body                 string
		maxTerm              uint64
		laterTerm, confirmed bool
	}{
		{"earlier-term", "a", st.Term - 1, true, false},
		{"own-term", "b", st.Term, false, true},
		{"no-bound", "c", 0, false, true},
		{"not-confirmed", immediateBody, st.Term, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			before := g.status(l).LastIndex
			m, err := l.servePropose(t.Context(), "", &controlpb.ProposeRequest{
				Command: &kernelpb.Command{Plugin: recorderName, Body: []byte(tt.body)}, MaxTerm: tt.maxTerm, Idempotent: true,
			})
			assert.NilError(t, err)
			r := m.(*controlpb.ProposeResponse)
			assert.Equal(t, r.LaterTerm, tt.laterTerm, "%d", i)
			assert.Equal(t, r.Confirmed, tt.confirmed)
			assert.Equal(t, r.Term, st.Term)
			assert.Equal(t, g.status(l).LastIndex > before, tt.confirmed)
		})
	}
}

// Guards against a batch in which a later leader appends a command that must not be appended any more.
func TestLeaderAppendsNothingOfBatchBeyondMaxTerm(t *testing.T) {
	g := newSlowGroup(t, 3)
	l := g.leader(10 * time.Second)
	assert.NilError(t, <-g.propose(l))
	st := g.status(l)
	req := &controlpb.ProposeBatchRequest{MaxTerms: []uint64{st.Term - 1, st.Term}}
	for _, body := range []string{"a", "b"} {
		req.Commands = append(req.Commands, &kernelpb.Command{Plugin: recorderName, Body: []byte(body)})
	}
	m, err := l.serveProposeBatch(t.Context(), "", req)
	assert.NilError(t, err)
	r := m.(*controlpb.ProposeBatchResponse)
	assert.Assert(t, r.Responses[0].LaterTerm && !r.Responses[1].LaterTerm)
	assert.Equal(t, g.status(l).LastIndex, st.LastIndex+1)
}

// Guards against a call that passes for one that may have been handled although the voter stopped before it took it.
func TestStoppedVoterTellsWhetherItTookCall(t *testing.T) {
	for _, taken := range []bool{false, true} {
		v := &Voter{events: make(chan func(), 1), done: make(chan struct{})}
		go func() {
			f := <-v.events
			if taken {
				f()
			}
			close(v.done)
		}()
		_, err := runInLoop(t.Context(), v, func(func(*controlpb.ProposeResponse, error)) {})
		assert.Equal(t, errorx.IsOfType(err, peer.ErrUnreachable), !taken, "%v", err)
		assert.Equal(t, errorx.IsOfType(err, peer.ErrInterrupted), taken, "%v", err)
	}
}
