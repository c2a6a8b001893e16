package follower

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

// fakeVoter is the response of one address to a proposal.
type fakeVoter struct {
	group, redirectTo string
	err               error
}

// newTestClient returns a client of fake voters and the list of the addresses that it has called.
func newTestClient(voters map[string]*fakeVoter, order ...string) (*Client, *[]string) {
	called := &[]string{}
	return NewClient(ClientConfig{
		Voters: order,
		Call: func(_ context.Context, address, _ string, _, resp proto.Message) error {
			*called = append(*called, address)
			v := voters[address]
			if v.err != nil {
				return v.err
			}
			m := resp.(*controlpb.ProposeResponse)
			m.Group = v.group
			if v.redirectTo != "" {
				m.Redirect = &controlpb.Redirect{Leader: v.redirectTo}
			}
			return nil
		},
	}), called
}

func newCommand(id string) kernel.Command { return kernel.Command{Plugin: "key", ID: id} }

// Guards against a client that switches to a second control group, which a voter creates that lost its disk and is
// started with the bootstrap setting again.
func TestRejectsSecondGroup(t *testing.T) {
	voters := map[string]*fakeVoter{"a": {group: "first"}, "b": {group: "first"}}
	c, _ := newTestClient(voters, "a", "b")
	_, err := c.Propose(context.Background(), newCommand("1"))
	assert.NilError(t, err)
	assert.Equal(t, c.Leader(), "a")
	voters["a"].group = "second"
	_, err = c.Propose(context.Background(), newCommand("2"))
	assert.NilError(t, err)
	assert.Equal(t, c.Leader(), "b")
	assert.Equal(t, c.Group(), "first")
}

// Guards against a retry of a command without an ID that may have been committed, and against a missing retry of a
// command that is safe to send again.
func TestProposeAfterUnknownOutcome(t *testing.T) {
	for _, tc := range []struct {
		name, id string
		first    error
		calls    int
		ok       bool
	}{
		{"with identifier", "1", peer.ErrInterrupted.New("cut"), 2, true},
		{"without identifier", "", peer.ErrInterrupted.New("cut"), 1, false},
		{"not sent", "", peer.ErrUnreachable.New("refused"), 2, true},
		{"rejected", "1", kernel.ErrInvalid.New("bad"), 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, called := newTestClient(map[string]*fakeVoter{"a": {err: tc.first}, "b": {group: "g"}}, "a", "b")
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := c.Propose(ctx, newCommand(tc.id))
			assert.Equal(t, err == nil, tc.ok)
			assert.Equal(t, len(*called), tc.calls)
			if !tc.ok {
				assert.Assert(t, errorx.Cast(err).Type() == errorx.Cast(tc.first).Type())
			}
		})
	}
}

// Guards against the result of a retry that is not marked as repeated although an earlier attempt may have been
// applied.
func TestReportsRepeatedProposals(t *testing.T) {
	for _, tt := range []struct {
		name          string
		first, second error
		repeated      bool
	}{
		{"first-try", nil, nil, false},
		{"after-one-that-was-not-sent", peer.ErrUnreachable.New("refused"), nil, false},
		{"after-an-unknown-one", peer.ErrInterrupted.New("cut"), nil, true},
		{"rejected-after-an-unknown-one", peer.ErrInterrupted.New("cut"), kernel.ErrInvalid.New("bad"), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newTestClient(
				map[string]*fakeVoter{"a": {group: "g", err: tt.first}, "b": {group: "g", err: tt.second}}, "a", "b")
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, repeated, err := c.ProposeIdempotent(ctx, newCommand(""))
			assert.Equal(t, err != nil, tt.second != nil, "%v", err)
			assert.Equal(t, repeated, tt.repeated)
		})
	}
}

// Guards against endless redirects between two voters that each name the other as the leader.
func TestRedirectsAreLimited(t *testing.T) {
	voters := map[string]*fakeVoter{"a": {redirectTo: "b"}, "b": {redirectTo: "a"}, "c": {group: "g"}}
	c, called := newTestClient(voters, "a", "b", "c")
	_, err := c.Propose(context.Background(), newCommand("1"))
	assert.NilError(t, err)
	assert.Equal(t, c.Leader(), "c")
	assert.Assert(t, len(*called) <= 8, "%v", *called)
}

// Guards against a leader that takes a command that must be applied each time for a repetition of another one.
func TestOnlyIdempotentCommandsAreMarkedAsSuch(t *testing.T) {
	var marked bool
	c := NewClient(ClientConfig{
		Voters: []string{"a"},
		Call: func(_ context.Context, _, _ string, req, _ proto.Message) error {
			marked = req.(*controlpb.ProposeRequest).Idempotent
			return nil
		},
	})
	_, err := c.Propose(t.Context(), newCommand(""))
	assert.NilError(t, err)
	assert.Assert(t, !marked)
	_, _, err = c.ProposeIdempotent(t.Context(), newCommand(""))
	assert.NilError(t, err)
	assert.Assert(t, marked)
}
