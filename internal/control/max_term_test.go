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
	for _, tt := range []struct {
		body                 string
		maxTerm              uint64
		laterTerm, confirmed bool
	}{
		{"earlier-term", st.Term - 1, true, false},
		{"own-term", st.Term, false, true},
		{"no-bound", 0, false, true},
		{immediateBody, st.Term, false, false},
	} {
		before := g.status(l).LastIndex
		c := &kernelpb.Command{Plugin: recorderName, Body: []byte(tt.body)}
		m, err := l.servePropose(t.Context(), "", &controlpb.ProposeRequest{Command: c, MaxTerm: tt.maxTerm, Idempotent: true})
		assert.NilError(t, err)
		r := m.(*controlpb.ProposeResponse)
		assert.Equal(t, r.LaterTerm, tt.laterTerm, tt.body)
		assert.Equal(t, r.Confirmed, tt.confirmed, tt.body)
		assert.Equal(t, r.Term, st.Term)
		m, err = l.serveProposeBatch(t.Context(), "", &controlpb.ProposeBatchRequest{
			Commands: []*kernelpb.Command{c}, MaxTerms: []uint64{tt.maxTerm},
		})
		assert.NilError(t, err)
		assert.Equal(t, m.(*controlpb.ProposeBatchResponse).Responses[0].LaterTerm, tt.laterTerm, tt.body)
		assert.Equal(t, g.status(l).LastIndex > before, tt.confirmed, tt.body)
	}
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
