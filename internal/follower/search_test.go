package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

// newSearchClient returns a client with an attempt timeout of 700 ms. The leader answers after the given time; other
// voters don't answer.
func newSearchClient(leader string, delay time.Duration, voters ...string) *Client {
	return NewClient(ClientConfig{
		Voters: voters, AttemptTimeout: 700 * time.Millisecond,
		Call: func(ctx context.Context, address, _ string, _, resp proto.Message) error {
			if address != leader {
				<-ctx.Done()
				return peer.ErrUnreachable.Wrap(ctx.Err(), "dial %s", address)
			}
			select {
			case <-ctx.Done():
				return peer.ErrInterrupted.Wrap(ctx.Err(), "call %s", address)
			case <-time.After(delay):
			}
			resp.(*controlpb.ProposeResponse).Group = "g"
			return nil
		},
	})
}

// Guards against calls that never reach the leader because each spends its time on the same silent voters.
func TestRepeatedCallsReachLeaderBehindSilentVoters(t *testing.T) {
	for _, tt := range []struct {
		name          string
		timeout       time.Duration
		delay         time.Duration
		voters, seeds []string // seeds come with a change of the settings
		calls         int      // limit
	}{
		{"request-to-join", time.Second, 0, []string{"s1", "s2", "leader"}, nil, 2},
		{"request-to-join-beside-three", time.Second, 0, []string{"s1", "s2", "s3", "leader"}, nil, 3},
		{"call-of-client", 2400 * time.Millisecond, 0, []string{"s1", "s2", "s3", "s4", "leader"}, nil, 2},
		{"shorter-than-an-attempt", 400 * time.Millisecond, 0, []string{"s1", "s2", "leader"}, nil, 3},
		{"leader-that-was-cut-off-is-next", time.Second, 400 * time.Millisecond, []string{"s1", "leader"}, nil, 2},
		{"changed-settings", time.Second, 0, []string{"s1", "s2"}, []string{"leader"}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSearchClient("leader", tt.delay, tt.voters...)
				if tt.seeds != nil {
					c.SetVoters(tt.seeds)
				}
				calls := 0
				for begin := time.Now(); c.Leader() == ""; calls++ {
					assert.Assert(t, calls < 10, "no leader after %d calls in %s", calls, time.Since(begin))
					ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
					_, err := c.Propose(ctx, newCommand("1"))
					cancel()
					assert.Equal(t, err == nil, c.Leader() != "", "%v", err)
				}
				assert.Assert(t, calls <= tt.calls, "%d calls", calls)
			})
		})
	}
}

// Guards against a list of the leader that moves the silent voters to the front again.
func TestListOfLeaderKeepsSilentVotersLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSearchClient("leader", 0, "s1", "s2", "leader")
		_, err := c.Propose(t.Context(), newCommand("1"))
		assert.NilError(t, err)
		c.updateVoters([]string{"s2", "s3", "leader"})
		c.forgetLeader("leader")
		assert.DeepEqual(t, c.candidateAddresses(), []string{"s3", "leader", "s1", "s2"})
	})
}

// Guards against a voter that answers again but stays behind the silent ones.
func TestVoterThatAnswersAgainIsTriedFirst(t *testing.T) {
	a := &fakeVoter{group: "g", err: peer.ErrUnreachable.New("refused")}
	c, _ := newTestClient(map[string]*fakeVoter{"a": a, "b": {group: "g"}}, "a", "b")
	_, err := c.Propose(t.Context(), newCommand("1"))
	assert.NilError(t, err)
	assert.DeepEqual(t, c.candidateAddresses(), []string{"b", "a"})
	c.forgetLeader("b")
	a.err, a.redirectTo = nil, "b"
	assert.NilError(t, c.attempt(t.Context(), "a", "", nil, &controlpb.ProposeResponse{}))
	assert.DeepEqual(t, c.candidateAddresses(), []string{"a", "b"})
}

// Guards against a leader that goes behind silent voters because it rejected a command.
func TestVoterThatRejectsKeepsItsPlace(t *testing.T) {
	c, _ := newTestClient(map[string]*fakeVoter{"a": {err: kernel.ErrInvalid.New("bad")}}, "a", "s")
	_, err := c.Propose(t.Context(), newCommand("1"))
	assert.Assert(t, errorx.IsOfType(err, kernel.ErrInvalid), "%v", err)
	assert.DeepEqual(t, c.candidateAddresses(), []string{"a", "s"})
}

// Guards against a log that can't tell which leader failed, because the address is forgotten with the failure.
func TestLastLeaderOutlastsItsFailure(t *testing.T) {
	a := &fakeVoter{group: "g"}
	c, _ := newTestClient(map[string]*fakeVoter{"a": a}, "a")
	assert.Equal(t, c.LastLeader(), "")
	_, err := c.Propose(t.Context(), newCommand("1"))
	assert.NilError(t, err)
	a.err = peer.ErrInterrupted.New("cut")
	_, err = c.Propose(t.Context(), newCommand(""))
	assert.Assert(t, err != nil)
	assert.Equal(t, c.Leader(), "")
	assert.Equal(t, c.LastLeader(), "a")
}

// Guards against calls that wait for their deadline while there is no leader, and against a call that ends early although a
// further attempt may settle what became of an earlier one.
func TestSearchTimeout(t *testing.T) {
	const deadline, search = 2400 * time.Millisecond, 1200 * time.Millisecond
	for _, tt := range []struct {
		name    string
		err     *errorx.Type // of each attempt, which takes 700 ms
		atLeast time.Duration
		atMost  time.Duration
	}{
		{"no-voter-reached", peer.ErrUnreachable, search, search + 700*time.Millisecond},
		{"attempt-without-answer", peer.ErrInterrupted, deadline, deadline},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewClient(ClientConfig{
					Voters: []string{"s1", "s2", "s3"}, AttemptTimeout: 700 * time.Millisecond, SearchTimeout: search,
					Call: func(ctx context.Context, address, _ string, _, _ proto.Message) error {
						<-ctx.Done()
						return tt.err.Wrap(ctx.Err(), "call %s", address)
					},
				})
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				begin := time.Now()
				_, _, err := c.ProposeIdempotent(ctx, newCommand("1"))
				assert.Assert(t, errorx.IsOfType(err, tt.err), "%v", err)
				took := time.Since(begin)
				assert.Assert(t, tt.atLeast <= took && took <= tt.atMost, "%s", took)
			})
		})
	}
}
