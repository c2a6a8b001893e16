package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/control"
	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kernelpb"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

const (
	// attemptTimeout bounds one call to one voter. A leader answers within a quorum round and a sync, so a slower voter
	// is most likely cut off, and waiting for it delays the way to the next leader.
	attemptTimeout = 500 * time.Millisecond
	// attemptPause is the time between rounds over all voters while there is no leader.
	attemptPause = 50 * time.Millisecond
)

// ClientConfig holds the settings of a client.
type ClientConfig struct {
	// Voters lists peer addresses of voters; more are learned from the leader.
	Voters []string
	// Call sends one request to a peer.
	Call func(ctx context.Context, address, kind string, req, resp proto.Message) error
	// AttemptTimeout bounds one call to one voter; 0 is 500 ms.
	AttemptTimeout time.Duration
}

// Client reaches the leader of the control group; it is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	leader string
	voters []string
	group  string
}

// NewClient builds a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.AttemptTimeout == 0 {
		cfg.AttemptTimeout = attemptTimeout
	}
	return &Client{cfg: cfg, voters: slices.Clone(cfg.Voters)}
}

// Leader returns the peer address of the last known leader, empty when none is known.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Voters returns the known peer addresses of voters.
func (c *Client) Voters() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.voters)
}

// learn takes the addresses of the voters; configured ones are kept as well, because all voters may have moved.
func (c *Client) learn(voters []string) {
	if len(voters) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voters = slices.Clone(voters)
	for _, a := range c.cfg.Voters {
		if !slices.Contains(c.voters, a) {
			c.voters = append(c.voters, a)
		}
	}
}

// accept takes a voter that answered as leader, unless it leads another group than the one that this process met first.
func (c *Client) accept(address, group string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.group == "" {
		c.group = group
	}
	if group != "" && group != c.group {
		return peer.ErrUnreachable.New("voter at %s leads group %s; this process belongs to group %s", address, group, c.group)
	}
	c.leader = address
	return nil
}

// Group returns the identity of the control group, empty before a leader answered.
func (c *Client) Group() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.group
}

// lost forgets a leader that did not answer, unless another one is known by now.
func (c *Client) lost(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// candidates returns the addresses to try, the last known leader first.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	if c.leader != "" {
		list = append(list, c.leader)
	}
	for _, a := range c.voters {
		if a != c.leader {
			list = append(list, a)
		}
	}
	return list
}

// redirected is a response that may name the leader instead of an answer.
type redirected interface {
	proto.Message
	GetRedirect() *controlpb.Redirect
	GetGroup() string
}

// call sends a request to the leader and follows redirects until ctx ends. With once it is not sent again after a try
// whose outcome is unknown.
func (c *Client) call(ctx context.Context, kind string, req proto.Message, resp redirected, once bool) error {
	_, err := c.callRepeated(ctx, kind, req, resp, once)
	return err
}

// callRepeated is call, and reports whether a try before the one that was answered may have been handled as well.
func (c *Client) callRepeated(
	ctx context.Context, kind string, req proto.Message, resp redirected, once bool,
) (repeated bool, err error) {
	last := peer.ErrUnreachable.New("no leader of the control group was found")
	for {
		for _, address := range c.candidates() {
			err := c.try(ctx, address, kind, req, resp)
			for hops := 0; err == nil && resp.GetRedirect() != nil && hops < 2; hops++ {
				c.lost(address)
				if address = resp.GetRedirect().Leader; address == "" {
					break
				}
				err = c.try(ctx, address, kind, req, resp)
			}
			if err == nil && resp.GetRedirect() == nil {
				if err = c.accept(address, resp.GetGroup()); err == nil {
					return errorx.IsOfType(last, peer.ErrInterrupted), nil
				}
			}
			if err != nil {
				c.lost(address)
				if !errorx.IsOfType(err, peer.ErrUnreachable) && (once || !errorx.IsOfType(err, peer.ErrInterrupted)) {
					return errorx.IsOfType(last, peer.ErrInterrupted), err
				}
				// Once a try may have been handled, no later failure makes the outcome known again.
				if !errorx.IsOfType(last, peer.ErrInterrupted) {
					last = errorx.Cast(err)
				}
			}
			if ctx.Err() != nil {
				return false, last
			}
		}
		select {
		case <-ctx.Done():
			return false, last
		case <-time.After(attemptPause):
		}
	}
}

func (c *Client) try(ctx context.Context, address, kind string, req proto.Message, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	proto.Reset(resp)
	return c.cfg.Call(ctx, address, kind, req, resp)
}

// ProposeIdempotent replicates a command whose repetition changes nothing: it is sent again after a try whose outcome is
// unknown. With repeated set the result is that of a later try, and says nothing about an earlier one that may have been
// applied before something else changed. The error is as for Propose.
func (c *Client) ProposeIdempotent(ctx context.Context, cmd kernel.Command) (r kernel.Result, repeated bool, err error) {
	return c.propose(ctx, cmd, false)
}

// SetVoters replaces the configured addresses of voters.
func (c *Client) SetVoters(voters []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Voters = slices.Clone(voters)
	for _, a := range voters {
		if !slices.Contains(c.voters, a) {
			c.voters = append(c.voters, a)
		}
	}
}

// Propose replicates a command and returns its result. An error means that the outcome is unknown, unless it is of type
// peer.ErrUnreachable, which means that the command was not proposed by this call.
func (c *Client) Propose(ctx context.Context, cmd kernel.Command) (kernel.Result, error) {
	// A command with an identifier is applied once, however often it is sent.
	r, _, err := c.propose(ctx, cmd, cmd.ID == "")
	return r, err
}

func (c *Client) propose(ctx context.Context, cmd kernel.Command, once bool) (r kernel.Result, repeated bool, err error) {
	req := &controlpb.ProposeRequest{Command: &kernelpb.Command{Plugin: cmd.Plugin, Id: cmd.ID, Body: cmd.Body}}
	resp := &controlpb.ProposeResponse{}
	if repeated, err = c.callRepeated(ctx, control.ProposeKind, req, resp, once); err != nil {
		return kernel.Result{}, repeated, err
	}
	c.learn(resp.Voters)
	return kernel.Result{Index: resp.Index, Body: resp.Body, Err: kernel.DecodeError(resp.ErrorKind, resp.Error)}, repeated, nil
}

// Query reads from the leader after a quorum confirmed it.
func (c *Client) Query(ctx context.Context, plugin string, req []byte) ([]byte, error) {
	resp := &controlpb.QueryResponse{}
	if err := c.call(ctx, control.QueryKind, &controlpb.QueryRequest{Plugin: plugin, Request: req}, resp, false); err != nil {
		return nil, err
	}
	return resp.Body, nil
}

// AddVoter asks the leader to add a voter, and reports whether it is one already.
func (c *Client) AddVoter(ctx context.Context, m *raftpb.Member) (voter bool, err error) {
	resp := &controlpb.JoinResponse{}
	if err := c.call(ctx, control.JoinKind, &controlpb.JoinRequest{Member: m}, resp, false); err != nil {
		return false, err
	}
	return resp.Voter, nil
}

// RemoveVoter asks the leader to remove a voter by its identity.
func (c *Client) RemoveVoter(ctx context.Context, id string, force bool) error {
	req := &controlpb.RemoveRequest{Id: id, Force: force}
	return c.call(ctx, control.RemoveKind, req, &controlpb.RemoveResponse{}, true)
}

// Status returns the state of the leader, which alone knows about the other voters and the rollouts.
func (c *Client) Status(ctx context.Context) (*controlpb.StatusResponse, error) {
	// A query finds the leader; its answer is not used.
	if _, err := c.Query(ctx, "member", nil); err != nil {
		return nil, err
	}
	resp := &controlpb.StatusResponse{}
	if err := c.cfg.Call(ctx, c.Leader(), control.StatusKind, &controlpb.StatusRequest{}, resp); err != nil {
		return nil, err
	}
	return resp, nil
}
