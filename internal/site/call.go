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

// attemptTimeout limits one call to one voter. It covers two syncs of a disk that is ten times slower than usual.
const attemptTimeout = 700 * time.Millisecond

// clientSearchTimeout is how long a call of a client waits for a leader. An election takes about a second. Without a leader for
// longer, the group lacks a quorum, probably for seconds, and the client should know that before half of its 3 s are over.
const clientSearchTimeout = 1200 * time.Millisecond

// Caller executes commands at the leader, whichever process that is.
type Caller struct {
	client *follower.Client
	// heartbeats joins the heartbeats of workers, forwards the calls of other processes. forwarders is nil for a process
	// that calls the leader itself in any case.
	heartbeats, forwards *batcher
	forwarders           *forwarders
}

func newCaller(t *peer.Transport, voters []string, searchTimeout time.Duration) Caller {
	client := follower.NewClient(follower.ClientConfig{
		Voters: voters, Call: t.Call, AttemptTimeout: attemptTimeout, SearchTimeout: searchTimeout,
		TellsOutcome: tellsOutcome,
	})
	return Caller{
		client:     client,
		heartbeats: &batcher{delay: heartbeatDelay, propose: client.ProposeBatch},
		forwards:   &batcher{delay: forwardDelay, propose: client.ProposeBatch},
	}
}

// ExecuteBatched executes an idempotent command at the leader together with those of other callers, and returns its
// response. After an error, the command may have been executed or may still be.
func (c Caller) ExecuteBatched(ctx context.Context, m *workloadpb.Command) (*workloadpb.Response, error) {
	return c.heartbeats.execute(ctx, m)
}

// Execute executes a command and returns its response. If mayBeDone is set, an attempt without an answer may have
// executed the command or may still do so, and a response is that of a later attempt. An error without mayBeDone means
// that the command is never executed.
func (c Caller) Execute(ctx context.Context, m *workloadpb.Command) (r *workloadpb.Response, mayBeDone bool, err error) {
	cmd, err := kernel.NewCommand(workload.Name, "", m)
	if err != nil {
		return nil, false, err
	}
	result, final, repeated, unknown := c.forward(ctx, cmd)
	if !final {
		result, repeated, err = c.client.ProposeAgain(ctx, cmd, unknown)
	}
	if err != nil {
		return nil, repeated || !errorx.IsOfType(err, peer.ErrUnreachable) && !errorx.IsOfType(err, kernel.ErrInvalid), err
	}
	if result.Err != nil {
		return nil, repeated, result.Err
	}
	if r, err = decodeResponse(result); err != nil {
		return nil, true, err
	}
	return r, repeated, nil
}

// tellsOutcome reports whether a response depends on whether the job of the command is known. Others are given before that is
// looked up: the queue or the key may be gone since an earlier attempt was accepted.
func tellsOutcome(result []byte) bool {
	m, err := decodeResponse(kernel.Result{Body: result})
	return err == nil && (m.Verdict == workloadpb.Verdict_VERDICT_DONE || m.Verdict == workloadpb.Verdict_VERDICT_BUSY)
}

func decodeResponse(r kernel.Result) (*workloadpb.Response, error) {
	m := &workloadpb.Response{}
	if err := proto.Unmarshal(r.Body, m); err != nil {
		return nil, errorx.Decorate(err, "decode response of the leader")
	}
	return m, nil
}

// LastLeader returns the peer address of the leader that answered last, also if it has failed since, or an empty string.
func (c Caller) LastLeader() string { return c.client.LastLeader() }

// SetSeeds replaces the peer addresses of the control processes.
func (c Caller) SetSeeds(addresses []string) { c.client.SetVoters(addresses) }
