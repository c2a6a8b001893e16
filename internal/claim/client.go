package claim

import (
	"bytes"
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
)

// DefaultTimeout bounds a claim. It allows for a sync on a slow disk and leaves most of the 3.3 s that an urgent
// request has.
const DefaultTimeout = time.Second

// Outcome is the final result of a claim.
type Outcome int

// Outcomes of a claim. Only after Won may the request be sent.
const (
	// NotClaimed means that this claim was not won, cannot be won later, and that no other claim was seen. An earlier
	// claim of the same request ID may still exist on voters that did not respond.
	NotClaimed Outcome = iota
	// Won means that a majority of the voters recorded this claim.
	Won
	// Duplicate means that this claim was not won and that another claim of the request ID is recorded.
	Duplicate
	// Expired means that this claim was not won and that a voter may have dropped an earlier claim of the request ID.
	Expired
)

// String returns the outcome in kebab case.
func (o Outcome) String() string {
	return [...]string{"not-claimed", "won", "duplicate", "expired"}[o]
}

// Handle identifies a claim that was won. It is needed to release the claim.
type Handle struct {
	request *claimpb.ClaimRequest
	voters  []*claimpb.Voter
}

// ClientConfig describes a Client.
type ClientConfig struct {
	// Membership returns the newest membership that this process knows.
	Membership func() *claimpb.Membership
	// Call sends a request to a voter.
	Call CallFunc
	// Timeout bounds each claim and release; DefaultTimeout when 0.
	Timeout time.Duration
	Log     logr.Logger
}

// Client claims request IDs at the voters. It is safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	running sync.WaitGroup // goroutines of all calls
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Client{cfg: cfg}
}

// tally counts the responses to one claim.
type tally struct {
	voters, responded, granted int // numbers of voters
	sawOtherClaim, sawExpired  bool
}

// addResponse counts the response of one voter and reports whether the voter may hold the claim. A nil response stands
// for a failed call.
func (t *tally) addResponse(resp *claimpb.ClaimResponse, token []byte) (held bool) {
	t.responded++
	switch resp.GetStatus() {
	case claimpb.Status_STATUS_HELD:
		others := false
		for _, h := range resp.Holders {
			if bytes.Equal(h, token) {
				held = true
			} else {
				others = true
			}
		}
		if held && !others {
			t.granted++
		}
		t.sawOtherClaim = t.sawOtherClaim || others
		return held
	case claimpb.Status_STATUS_EXPIRED:
		t.sawExpired = true
	}
	return resp == nil
}

// outcome returns the outcome and reports whether it is certain. A claim that can no longer be won stays undecided
// until another claim was seen or all voters have responded, because NotClaimed tells the caller that no other claim
// was seen.
func (t *tally) outcome() (Outcome, bool) {
	if t.granted >= majority(t.voters) {
		return Won, true
	}
	if t.granted+t.voters-t.responded >= majority(t.voters) {
		return NotClaimed, false
	}
	o := t.outcomeIfNotWon()
	return o, o != NotClaimed || t.responded == t.voters
}

// outcomeIfNotWon returns the outcome of an abandoned claim.
func (t *tally) outcomeIfNotWon() Outcome {
	switch {
	case t.sawOtherClaim:
		return Duplicate
	case t.sawExpired:
		return Expired
	}
	return NotClaimed
}

// voterResponse is the result of the call to one voter.
type voterResponse struct {
	voter int
	resp  *claimpb.ClaimResponse // nil after an error
	err   error
}

// Claim claims a request ID, a UUIDv7 in text form, for a team. The error says why the outcome is NotClaimed and is nil
// for the other outcomes; the handle is set only for Won. Only votes of the epoch in which the claim started count, and
// each call uses a new token, so a late response cannot turn an abandoned claim into a won one.
func (c *Client) Claim(ctx context.Context, team, requestID string) (Outcome, *Handle, error) {
	id, err := parseID(requestID)
	if err != nil {
		return NotClaimed, nil, err
	}
	token := make([]byte, tokenSize)
	if _, err := rand.Read(token); err != nil {
		return NotClaimed, nil, errorx.Decorate(err, "draw claim token")
	}
	m := c.cfg.Membership()
	if m.GetEpoch() == 0 || len(m.Voters) == 0 {
		return NotClaimed, nil, errorx.IllegalState.New("no voters are known")
	}
	h := &Handle{
		request: &claimpb.ClaimRequest{Team: team, Id: id[:], Token: token, Epoch: m.Epoch}, voters: m.Voters,
	}
	outcome, mayHold, err := c.requestVotes(ctx, h)
	if outcome == Won {
		return Won, h, nil
	}
	c.sendReleases(ctx, h.request, mayHold)
	if outcome != NotClaimed {
		err = nil
	}
	return outcome, nil, err
}

// requestVotes sends the claim to all voters and returns the outcome. If the claim is not won, it also returns the
// voters that may hold it.
func (c *Client) requestVotes(ctx context.Context, h *Handle) (Outcome, []*claimpb.Voter, error) {
	// The calls continue after the claim is won, so that voters beyond the majority record it too.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Timeout)
	waitCtx, stop := context.WithTimeout(ctx, c.cfg.Timeout)
	defer stop()
	responses := make(chan voterResponse, len(h.voters))
	var pending sync.WaitGroup
	for i, v := range h.voters {
		pending.Add(1)
		c.running.Go(func() {
			defer pending.Done()
			resp := &claimpb.ClaimResponse{}
			err := c.cfg.Call(callCtx, v.Address, KindClaim, h.request, resp)
			if err != nil {
				resp = nil
			}
			responses <- voterResponse{voter: i, resp: resp, err: err}
		})
	}
	c.running.Go(func() {
		pending.Wait()
		cancel()
	})
	mayHold := make([]bool, len(h.voters))
	for i := range mayHold {
		mayHold[i] = true
	}
	votes := tally{voters: len(h.voters)}
	var lastErr error
	for {
		select {
		case r := <-responses:
			mayHold[r.voter] = votes.addResponse(r.resp, h.request.Token)
			if r.err != nil {
				lastErr = r.err
			} else if s := r.resp.Status; s != claimpb.Status_STATUS_HELD {
				lastErr = errorx.IllegalState.New("voter answered %s in epoch %d", s, r.resp.Epoch)
			}
		case <-waitCtx.Done():
			return c.abandonClaim(cancel, h, votes, mayHold, waitCtx.Err())
		}
		if outcome, ok := votes.outcome(); ok {
			if outcome == Won {
				return Won, nil, nil
			}
			return c.abandonClaim(cancel, h, votes, mayHold, lastErr)
		}
	}
}

// abandonClaim cancels the calls and returns the outcome, the voters that may hold the claim and the reason.
func (c *Client) abandonClaim(
	cancel func(), h *Handle, votes tally, mayHold []bool, lastErr error,
) (Outcome, []*claimpb.Voter, error) {
	cancel()
	var voters []*claimpb.Voter
	for i, v := range h.voters {
		if mayHold[i] {
			voters = append(voters, v)
		}
	}
	return votes.outcomeIfNotWon(), voters, errorx.IllegalState.New(
		"%d of %d voters recorded the claim in epoch %d: %v",
		votes.granted, votes.voters, h.request.Epoch, lastErr)
}

// Release releases a won claim, so that the request ID can be claimed again. The owner may call it only if no byte of
// the request was sent, and must send nothing afterwards. It returns when all voters have responded or ctx is done.
func (c *Client) Release(ctx context.Context, h *Handle) {
	done := c.sendReleases(ctx, h.request, h.voters)
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sendReleases releases a claim at the given voters, even if ctx is done, and returns a channel that is closed after
// the last response. A lost release leaves a claim that blocks the request ID until the ID is below the floor.
func (c *Client) sendReleases(
	ctx context.Context, claim *claimpb.ClaimRequest, voters []*claimpb.Voter,
) <-chan struct{} {
	done := make(chan struct{})
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Timeout)
	var pending sync.WaitGroup
	for _, v := range voters {
		pending.Add(1)
		c.running.Go(func() {
			defer pending.Done()
			req := &claimpb.ReleaseRequest{Team: claim.Team, Id: claim.Id, Token: claim.Token}
			if err := c.cfg.Call(callCtx, v.Address, KindRelease, req, &claimpb.ReleaseResponse{}); err != nil {
				c.cfg.Log.V(1).Info("failed to release a claim", "voter", v.Identity, "error", err.Error())
			}
		})
	}
	c.running.Go(func() {
		defer close(done)
		pending.Wait()
		cancel()
	})
	return done
}

// Wait waits until no call of the client is running. No claim may start while it waits.
func (c *Client) Wait() { c.running.Wait() }
