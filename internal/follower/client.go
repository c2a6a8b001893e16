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
	// defaultAttemptTimeout limits one call to one voter. A leader responds within a quorum round and a disk sync, so a
	// slower voter is probably unreachable, and waiting for it would delay the search for the next leader.
	defaultAttemptTimeout = 500 * time.Millisecond
	// retryInterval is the time between rounds of calls to all voters while there is no leader.
	retryInterval = 50 * time.Millisecond
	// busyDuration is how long calls go through other voters after the leader has said that it is busy.
	busyDuration = 2 * time.Second
)

// ClientConfig holds the settings of a client.
type ClientConfig struct {
	// Voters lists peer addresses of voters. The leader tells the client about others.
	Voters []string
	// Call sends one request to a peer.
	Call func(ctx context.Context, address, kind string, req, resp proto.Message) error
	// AttemptTimeout limits one call to one voter; 0 uses 500 ms.
	AttemptTimeout time.Duration
	// TellsOutcome reports whether the result of a command says what became of all attempts with it; nil means that each does.
	TellsOutcome func(result []byte) bool
	// SearchTimeout is how long a call that no voter may have handled searches for a leader; 0 means until its deadline.
	SearchTimeout time.Duration
}

// Client sends requests to the leader of the control group. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	leader string   // peer address, empty if unknown
	last   string   // peer address of the leader that answered last, empty if none did
	voters []string // peer addresses
	failed []string // those of voters that failed since they last answered, the one that failed last at the end
	group  string   // identity of the control group, empty if unknown
	// term is the latest term of the control group that a voter has told, and bounded holds the voters that observe
	// ProposeRequest.max_term: those that have told a term.
	term    uint64
	bounded map[string]bool
	// busyUntil is until when calls should reach the leader in batches.
	busyUntil time.Time
}

// NewClient builds a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.AttemptTimeout == 0 {
		cfg.AttemptTimeout = defaultAttemptTimeout
	}
	return &Client{cfg: cfg, voters: slices.Clone(cfg.Voters)}
}

// Leader returns the peer address of the last known leader, or an empty string.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// LastLeader returns the peer address of the leader that answered last, also if it has failed since, or an empty string.
func (c *Client) LastLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Voters returns the known peer addresses of voters.
func (c *Client) Voters() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.voters)
}

// updateVoters replaces the known addresses of voters. It keeps the configured addresses, because all voters may have
// moved.
func (c *Client) updateVoters(voters []string) {
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
	c.failed = slices.DeleteFunc(c.failed, func(a string) bool { return !slices.Contains(c.voters, a) })
}

// acceptLeader records a voter that responded as the leader. It fails if the voter leads another control group than the
// first one to which this client connected.
func (c *Client) acceptLeader(address, group string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.group == "" {
		c.group = group
	}
	if group != "" && group != c.group {
		return peer.ErrUnreachable.New(
			"voter at %s leads group %s; this process belongs to group %s", address, group, c.group)
	}
	c.leader, c.last = address, address
	return nil
}

// Group returns the identity of the control group, or an empty string before a leader has responded.
func (c *Client) Group() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.group
}

// recordLoad records whether the leader has said that it is busy.
func (c *Client) recordLoad(busy bool) {
	if !busy {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busyUntil = time.Now().Add(busyDuration)
}

// LeaderIsBusy reports whether calls should reach the leader in batches, through another voter.
func (c *Client) LeaderIsBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.busyUntil)
}

// forgetLeader removes the known leader unless its address has changed since.
func (c *Client) forgetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// demote moves a voter that failed behind all others.
func (c *Client) demote(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeFailed(address)
	if slices.Contains(c.voters, address) {
		c.failed = append(c.failed, address)
	}
}

// recordAnswer lets a voter that answered be tried before those that failed.
func (c *Client) recordAnswer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeFailed(address)
}

func (c *Client) removeFailed(address string) {
	if i := slices.Index(c.failed, address); i >= 0 {
		c.failed = slices.Delete(c.failed, i, i+1)
	}
}

// candidateAddresses returns the addresses to try: the last known leader, voters that haven't failed, and those that
// have, so that the next call goes on with the search where this one ends.
func (c *Client) candidateAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	if c.leader != "" {
		list = append(list, c.leader)
	}
	for _, a := range c.voters {
		if a != c.leader && !slices.Contains(c.failed, a) {
			list = append(list, a)
		}
	}
	for _, a := range c.failed {
		if a != c.leader {
			list = append(list, a)
		}
	}
	return list
}

// recordTerm records the term that a voter told in a response.
func (c *Client) recordTerm(address string, term uint64) {
	if term == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = max(c.term, term)
	if c.bounded == nil {
		c.bounded = map[string]bool{}
	}
	c.bounded[address] = true
}

// Term returns the latest known term of the control group, 0 if the leader is not known to observe bounds of terms.
func (c *Client) Term() uint64 { return c.latestTerm(c.Leader()) }

// latestTerm returns the latest known term, 0 if none is known or a voter may not observe it as a bound.
func (c *Client) latestTerm(address string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bounded[address] {
		return 0
	}
	return c.term
}

// UnknownAttempts records the attempts of a call that got no answer and may still be handled. The zero value has none.
type UnknownAttempts struct {
	any       bool
	maxTerm   uint64 // no later leader handles one of them
	unbounded bool   // any leader may
}

// add records an attempt. A request of another kind than ProposeRequest has no bound.
func (u *UnknownAttempts) add(req proto.Message) {
	u.any = true
	r, ok := req.(*controlpb.ProposeRequest)
	if !ok || r.MaxTerm == 0 {
		u.unbounded = true
		return
	}
	u.maxTerm = max(u.maxTerm, r.MaxTerm)
}

// areExcludedBy reports whether a response shows that none of the attempts has been handled or ever will be, unless it tells
// the effect of one: a leader of a later term has committed an entry of its term, after which no log has room for theirs. A
// result that depends on something else, such as a queue that is gone since, tells nothing of an attempt in the log.
func (c *Client) areExcludedBy(u *UnknownAttempts, resp proto.Message) bool {
	r, ok := resp.(*controlpb.ProposeResponse)
	return ok && r.Confirmed && !u.unbounded && r.Term > u.maxTerm && (c.cfg.TellsOutcome == nil || c.cfg.TellsOutcome(r.Body))
}

// leaderResponse is a response of the leader, or a redirect to it.
type leaderResponse interface {
	proto.Message
	GetRedirect() *controlpb.Redirect
	GetGroup() string
}

// call sends a request to the leader, follows redirects and retries until ctx is done. With atMostOnce it doesn't retry
// after an attempt whose outcome is unknown.
func (c *Client) call(ctx context.Context, kind string, req proto.Message, resp leaderResponse, atMostOnce bool) error {
	_, err := c.callReportingRepeats(ctx, kind, req, resp, atMostOnce, UnknownAttempts{})
	return err
}

// callReportingRepeats is like call, and reports whether an attempt before the last one, or an earlier one, may have been
// handled, too.
func (c *Client) callReportingRepeats(
	ctx context.Context, kind string, req proto.Message, resp leaderResponse, atMostOnce bool, unknown UnknownAttempts,
) (repeated bool, err error) {
	lastErr := peer.ErrUnreachable.New("no leader of the control group was found")
	failures, begin := 0, time.Now()
	// Further attempts may settle what became of one without an answer, so only a call without such attempts ends early.
	givesUp := func() bool {
		return ctx.Err() != nil || c.cfg.SearchTimeout > 0 && !unknown.any && time.Since(begin) >= c.cfg.SearchTimeout
	}
	for {
		for _, address := range c.candidateAddresses() {
			err := c.attempt(ctx, address, kind, req, resp)
			for redirects := 0; err == nil && resp.GetRedirect() != nil && redirects < 2; redirects++ {
				c.forgetLeader(address)
				if address = resp.GetRedirect().Leader; address == "" {
					break
				}
				err = c.attempt(ctx, address, kind, req, resp)
			}
			if err == nil && resp.GetRedirect() == nil {
				if err = c.acceptLeader(address, resp.GetGroup()); err == nil {
					return unknown.any && !c.areExcludedBy(&unknown, resp), nil
				}
			}
			if err != nil {
				c.forgetLeader(address)
				interrupted := errorx.IsOfType(err, peer.ErrInterrupted)
				if interrupted {
					unknown.add(req)
				}
				answered := !interrupted && !errorx.IsOfType(err, peer.ErrUnreachable)
				// A voter may be sound if ctx cut its attempt short. The next call then starts with it, unless this call had
				// time for no other one.
				if failures++; !answered && (failures == 1 || ctx.Err() == nil) {
					c.demote(address)
				}
				if answered {
					return unknown.any, err
				}
				if interrupted && atMostOnce {
					return errorx.IsOfType(lastErr, peer.ErrInterrupted), err
				}
				// After an attempt that may have been handled, later failures leave the outcome unknown.
				if !errorx.IsOfType(lastErr, peer.ErrInterrupted) {
					lastErr = errorx.Cast(err)
				}
			}
			if givesUp() {
				return unknown.any, lastErr
			}
		}
		select {
		case <-ctx.Done():
			return unknown.any, lastErr
		case <-time.After(retryInterval):
		}
	}
}

// attempt sends a request to one voter.
func (c *Client) attempt(ctx context.Context, address, kind string, req proto.Message, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	if batch, _ := req.(*controlpb.ProposeBatchRequest); batch != nil &&
		slices.ContainsFunc(batch.MaxTerms, func(t uint64) bool { return t > 0 }) {
		if err := c.checkBounded(ctx, address); err != nil {
			return err
		}
	}
	for {
		propose, _ := req.(*controlpb.ProposeRequest)
		if propose != nil {
			propose.MaxTerm = c.latestTerm(address)
		}
		proto.Reset(resp)
		if err := c.cfg.Call(ctx, address, kind, req, resp); err != nil {
			return err
		}
		c.recordAnswer(address)
		if t, ok := resp.(interface{ GetTerm() uint64 }); ok && kind != control.RenewKind {
			c.recordTerm(address, t.GetTerm())
		}
		r, _ := resp.(*controlpb.ProposeResponse)
		if propose == nil || r == nil {
			return nil
		}
		if !r.LaterTerm {
			return nil
		}
		if propose.MaxTerm >= c.latestTerm(address) {
			return peer.ErrUnreachable.New("voter at %s rejects its own term", address)
		}
	}
}

// checkBounded fails if a voter is not known to observe bounds of terms. An empty batch makes it tell its term.
func (c *Client) checkBounded(ctx context.Context, address string) error {
	if c.latestTerm(address) > 0 {
		return nil
	}
	resp := &controlpb.ProposeBatchResponse{}
	if err := c.cfg.Call(ctx, address, control.BatchKind, &controlpb.ProposeBatchRequest{}, resp); err != nil {
		return peer.ErrUnreachable.Wrap(err, "ask the voter at %s for its term", address)
	}
	if resp.Term == 0 {
		return peer.ErrUnreachable.New("voter at %s is not known to observe bounds of terms", address)
	}
	c.recordTerm(address, resp.Term)
	return nil
}

// ProposeIdempotent replicates an idempotent command and retries it after an attempt whose outcome is unknown. If
// repeated is true, the result is that of the last attempt, and an earlier attempt may have been applied before other
// changes. The error is the same as for Propose.
func (c *Client) ProposeIdempotent(
	ctx context.Context, cmd kernel.Command,
) (r kernel.Result, repeated bool, err error) {
	return c.propose(ctx, cmd, false, UnknownAttempts{})
}

// ProposeAgain is like ProposeIdempotent for a command whose earlier attempts got no answer. They count as earlier ones.
func (c *Client) ProposeAgain(
	ctx context.Context, cmd kernel.Command, earlier UnknownAttempts,
) (r kernel.Result, repeated bool, err error) {
	return c.propose(ctx, cmd, false, earlier)
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

// Propose replicates a command and returns its result. The outcome of the command is unknown after an error, unless the
// error has the type peer.ErrUnreachable; in this case the call did not propose the command.
func (c *Client) Propose(ctx context.Context, cmd kernel.Command) (kernel.Result, error) {
	// Retries of a command with an ID are applied only once.
	r, _, err := c.propose(ctx, cmd, cmd.ID == "", UnknownAttempts{})
	return r, err
}

func (c *Client) propose(
	ctx context.Context, cmd kernel.Command, atMostOnce bool, earlier UnknownAttempts,
) (r kernel.Result, repeated bool, err error) {
	req := &controlpb.ProposeRequest{
		Command: &kernelpb.Command{Plugin: cmd.Plugin, Id: cmd.ID, Body: cmd.Body}, Idempotent: !atMostOnce,
	}
	resp := &controlpb.ProposeResponse{}
	if repeated, err = c.callReportingRepeats(ctx, control.ProposeKind, req, resp, atMostOnce, earlier); err != nil {
		return kernel.Result{}, repeated, err
	}
	c.updateVoters(resp.Voters)
	c.recordLoad(resp.Busy)
	return kernel.Result{
		Index: resp.Index, Body: resp.Body, Err: kernel.DecodeError(resp.ErrorKind, resp.Error),
	}, repeated, nil
}

// ProposeBatch replicates idempotent commands, each for itself, and returns their results in the same order. It retries
// after an attempt whose outcome is unknown. If repeated is true, the results are those of the last attempt, and an earlier
// one may have been applied before other changes. After an error, each command may have been applied. So may a command whose
// result has a peer.ErrInterrupted; it waits for the log and has no result yet. Only leaders whose term is at most that in
// maxTerms take a command, where that is not 0; a command that was not taken has a peer.ErrUnreachable.
func (c *Client) ProposeBatch(
	ctx context.Context, commands []kernel.Command, maxTerms []uint64,
) (results []kernel.Result, repeated bool, err error) {
	req := &controlpb.ProposeBatchRequest{AcceptsPending: true, MaxTerms: maxTerms}
	for _, cmd := range commands {
		req.Commands = append(req.Commands, &kernelpb.Command{Plugin: cmd.Plugin, Id: cmd.ID, Body: cmd.Body})
	}
	resp := &controlpb.ProposeBatchResponse{}
	if repeated, err = c.callReportingRepeats(ctx, control.BatchKind, req, resp, false, UnknownAttempts{}); err != nil {
		return nil, repeated, err
	}
	if len(resp.Responses) != len(commands) {
		return nil, true, peer.ErrInterrupted.New("%d responses to %d commands", len(resp.Responses), len(commands))
	}
	c.recordLoad(resp.Busy)
	results = make([]kernel.Result, len(commands))
	for i, r := range resp.Responses {
		results[i] = kernel.Result{Index: r.GetIndex(), Body: r.GetBody(), Err: kernel.DecodeError(r.GetErrorKind(), r.GetError())}
		if r.GetPending() {
			results[i].Err = peer.ErrInterrupted.New("the command waits for the log")
		}
		if r.GetLaterTerm() {
			results[i].Err = peer.ErrUnreachable.New("the leader of term %d does not take the command", r.GetTerm())
		}
	}
	return results, repeated, nil
}

// Forward has another voter send a command to the leader in a batch. The error and repeated mean what those of
// ProposeIdempotent do; after an error, unknown holds the attempt if it may have been handled.
func (c *Client) Forward(
	ctx context.Context, address string, cmd kernel.Command,
) (r kernel.Result, repeated bool, unknown UnknownAttempts, err error) {
	req := &controlpb.ProposeRequest{
		Command: &kernelpb.Command{Plugin: cmd.Plugin, Id: cmd.ID, Body: cmd.Body}, MaxTerm: c.latestTerm(address),
	}
	resp := &controlpb.ProposeResponse{}
	if err := c.cfg.Call(ctx, address, control.ForwardKind, req, resp); err != nil {
		if !errorx.IsOfType(err, peer.ErrUnreachable) {
			unknown.add(req)
		}
		return kernel.Result{}, false, unknown, err
	}
	c.recordTerm(address, resp.Term)
	c.recordLoad(resp.Busy)
	return kernel.Result{
		Index: resp.Index, Body: resp.Body, Err: kernel.DecodeError(resp.ErrorKind, resp.Error),
	}, resp.Repeated, unknown, nil
}

// Query reads from the leader after a quorum has confirmed its leadership.
func (c *Client) Query(ctx context.Context, plugin string, req []byte) ([]byte, error) {
	resp := &controlpb.QueryResponse{}
	if err := c.call(
		ctx, control.QueryKind, &controlpb.QueryRequest{Plugin: plugin, Request: req}, resp, false,
	); err != nil {
		return nil, err
	}
	return resp.Body, nil
}

// AddVoter asks the leader to add a member as a voter, and reports whether it is a voter already.
func (c *Client) AddVoter(ctx context.Context, m *raftpb.Member) (voter bool, err error) {
	resp := &controlpb.JoinResponse{}
	if err := c.call(ctx, control.JoinKind, &controlpb.JoinRequest{Member: m}, resp, false); err != nil {
		return false, err
	}
	return resp.Voter, nil
}

// RemoveVoter asks the leader to remove the voter with the given identity.
func (c *Client) RemoveVoter(ctx context.Context, id string, force bool) error {
	req := &controlpb.RemoveRequest{Id: id, Force: force}
	return c.call(ctx, control.RemoveKind, req, &controlpb.RemoveResponse{}, true)
}

// LeaveGroup tells the leader that the voter with the given identity is about to stop. The leader removes it if the group
// has more voters than it needs.
func (c *Client) LeaveGroup(ctx context.Context, id string) error {
	req := &controlpb.RemoveRequest{Id: id, Stopping: true}
	return c.call(ctx, control.RemoveKind, req, &controlpb.RemoveResponse{}, false)
}

// Status returns the status of the leader. Only the leader knows the other voters and the rollouts.
func (c *Client) Status(ctx context.Context) (*controlpb.StatusResponse, error) {
	// The query only serves to find the leader.
	if _, err := c.Query(ctx, "member", nil); err != nil {
		return nil, err
	}
	resp := &controlpb.StatusResponse{}
	if err := c.cfg.Call(ctx, c.Leader(), control.StatusKind, &controlpb.StatusRequest{}, resp); err != nil {
		return nil, err
	}
	return resp, nil
}
