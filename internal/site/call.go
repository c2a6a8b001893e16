package site

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/follower"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// attemptTimeout bounds one call to one voter. It covers two syncs of a disk that is ten times slower than usual.
const attemptTimeout = 700 * time.Millisecond

// Caller passes calls to the leader, whichever process it is.
type Caller struct {
	client *follower.Client
}

func newCaller(t *peer.Transport, voters []string) Caller {
	return Caller{client: follower.NewClient(follower.ClientConfig{Voters: voters, Call: t.Call, AttemptTimeout: attemptTimeout})}
}

// Execute carries out a command and returns its answer. With unknown set the command may have been carried out or may still
// be, and an answer is that of a later try than the one that may have done so; otherwise an error means that it never is.
func (c Caller) Execute(ctx context.Context, m *workloadpb.Command) (r *workloadpb.Response, unknown bool, err error) {
	cmd, err := kernel.NewCommand(workload.Name, "", m)
	if err != nil {
		return nil, false, err
	}
	result, repeated, err := c.client.ProposeIdempotent(ctx, cmd)
	if err != nil {
		return nil, repeated || !errorx.IsOfType(err, peer.ErrUnreachable) && !errorx.IsOfType(err, kernel.ErrInvalid), err
	}
	if result.Err != nil {
		return nil, repeated, result.Err
	}
	r = &workloadpb.Response{}
	if err := proto.Unmarshal(result.Body, r); err != nil {
		return nil, true, errorx.Decorate(err, "decode answer of the leader")
	}
	return r, repeated, nil
}

// Leader returns the peer address of the leader that answered last, empty when none is known.
func (c Caller) Leader() string { return c.client.Leader() }

// SetSeeds takes other addresses of control processes.
func (c Caller) SetSeeds(addresses []string) { c.client.SetVoters(addresses) }
