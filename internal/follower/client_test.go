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

// fakeVoter is what one address answers to a proposal.
type fakeVoter struct {
	group, redirect string
	err             error
}

func newTestClient(voters map[string]*fakeVoter, order ...string) (*Client, *[]string) {
	asked := &[]string{}
	return NewClient(ClientConfig{
		Voters: order,
		Call: func(_ context.Context, address, _ string, _, resp proto.Message) error {
			*asked = append(*asked, address)
			v := voters[address]
			if v.err != nil {
				return v.err
			}
			m := resp.(*controlpb.ProposeResponse)
			m.Group = v.group
			if v.redirect != "" {
				m.Redirect = &controlpb.Redirect{Leader: v.redirect}
			}
			return nil
		},
	}), asked
}

func proposal(id string) kernel.Command { return kernel.Command{Plugin: "key", ID: id} }

// Guards against a voter that lost its disk and was started with the bootstrap setting again: the group that it founds
// must not be taken for the one that holds the configuration.
func TestSecondGroupIsNotFollowed(t *testing.T) {
	voters := map[string]*fakeVoter{"a": {group: "first"}, "b": {group: "first"}}
	c, _ := newTestClient(voters, "a", "b")
	_, err := c.Propose(context.Background(), proposal("1"))
	assert.NilError(t, err)
	assert.Equal(t, c.Leader(), "a")
	voters["a"].group = "second"
	_, err = c.Propose(context.Background(), proposal("2"))
	assert.NilError(t, err)
	assert.Equal(t, c.Leader(), "b")
	assert.Equal(t, c.Group(), "first")
}

// Guards against a command without identifier that is sent again after it may have been committed, and against giving
// up on one that is safe to send again.
func TestProposeAfterUnknownOutcome(t *testing.T) {
	for _, tc := range []struct {
		name, id string
		first    error
		asked    int
		ok       bool
	}{
		{"with identifier", "1", peer.ErrInterrupted.New("cut"), 2, true},
		{"without identifier", "", peer.ErrInterrupted.New("cut"), 1, false},
		{"not sent", "", peer.ErrUnreachable.New("refused"), 2, true},
		{"rejected", "1", kernel.ErrInvalid.New("bad"), 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, asked := newTestClient(map[string]*fakeVoter{"a": {err: tc.first}, "b": {group: "g"}}, "a", "b")
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := c.Propose(ctx, proposal(tc.id))
			assert.Equal(t, err == nil, tc.ok)
			assert.Equal(t, len(*asked), tc.asked)
			if !tc.ok {
				assert.Assert(t, errorx.Cast(err).Type() == errorx.Cast(tc.first).Type())
			}
		})
	}
}

// Guards against an answer that is taken for the whole truth although an earlier try may have been applied too.
func TestRepeatedProposalsAreTold(t *testing.T) {
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
			c, _ := newTestClient(map[string]*fakeVoter{"a": {group: "g", err: tt.first}, "b": {group: "g", err: tt.second}}, "a", "b")
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, repeated, err := c.ProposeIdempotent(ctx, proposal(""))
			assert.Equal(t, err != nil, tt.second != nil, "%v", err)
			assert.Equal(t, repeated, tt.repeated)
		})
	}
}

// Guards against redirects between voters that each take the other for the leader.
func TestRedirectsAreFollowedWithinBounds(t *testing.T) {
	voters := map[string]*fakeVoter{"a": {redirect: "b"}, "b": {redirect: "a"}, "c": {group: "g"}}
	c, asked := newTestClient(voters, "a", "b", "c")
	_, err := c.Propose(context.Background(), proposal("1"))
	assert.NilError(t, err)
	assert.Equal(t, c.Leader(), "c")
	assert.Assert(t, len(*asked) <= 8, "%v", *asked)
}
