package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/control"
	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/follower"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

const (
	// forwardTimeout limits a call through another voter, which leaves time for a call of the leader itself.
	forwardTimeout = time.Second
	// forwarderRest is how long a voter that failed isn't asked to forward calls.
	forwarderRest = 5 * time.Second
)

// serveForward sends a command of another process to the leader together with others.
func (c *Control) serveForward(ctx context.Context, _ string, req *controlpb.ProposeRequest) (proto.Message, error) {
	if req.Command == nil {
		return nil, kernel.ErrInvalid.New("empty proposal")
	}
	r, repeated, err := c.forwards.executeCommand(ctx, control.CommandFromProto(req.Command), req.MaxTerm)
	if err != nil {
		return nil, err
	}
	if errorx.IsOfType(r.Err, peer.ErrUnreachable) {
		if repeated {
			return nil, peer.ErrInterrupted.Wrap(r.Err, "an earlier attempt may have been handled")
		}
		return nil, r.Err
	}
	resp := control.EncodeResult(r)
	resp.Busy, resp.Repeated, resp.Term = c.client.LeaderIsBusy(), repeated, c.client.Term()
	return resp, nil
}

// forwarders chooses the voter through which a process calls a busy leader.
type forwarders struct {
	process string

	mu     sync.Mutex
	failed map[string]time.Time
}

// choose returns the same voter for a process as long as it doesn't fail, and an empty string if there is none. Different
// processes are spread over the voters.
func (f *forwarders) choose(voters []string, leader string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, weight := "", uint64(0)
	for _, a := range voters {
		if a == leader || time.Now().Before(f.failed[a].Add(forwarderRest)) {
			continue
		}
		if w := xxhash.Sum64String(f.process + "@" + a); best == "" || w > weight {
			best, weight = a, w
		}
	}
	return best
}

func (f *forwarders) recordFailure(address string, voters []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == nil {
		f.failed = map[string]time.Time{}
	}
	for a := range f.failed {
		if !slices.Contains(voters, a) {
			delete(f.failed, a)
		}
	}
	f.failed[address] = time.Now()
}

// forward executes a command through another voter if the leader is busy. It reports whether the result is final, and whether
// another attempt than that of the result may have been executed; without a result, unknown holds the attempt if it may.
func (c Caller) forward(
	ctx context.Context, cmd kernel.Command,
) (r kernel.Result, final, repeated bool, unknown follower.UnknownAttempts) {
	leader := c.client.Leader()
	if c.forwarders == nil || leader == "" || !c.client.LeaderIsBusy() {
		return kernel.Result{}, false, false, unknown
	}
	voters := c.client.Voters()
	address := c.forwarders.choose(voters, leader)
	if address == "" {
		return kernel.Result{}, false, false, unknown
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r, repeated, unknown, err := c.client.Forward(ctx, address, cmd)
	if err != nil {
		c.forwarders.recordFailure(address, voters)
		return kernel.Result{}, false, false, unknown
	}
	return r, true, repeated, unknown
}
