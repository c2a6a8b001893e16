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

// DefaultTimeout bounds a claim: it covers a sync on a slow disk and leaves most of the 3.3 s of an urgent request.
const DefaultTimeout = time.Second

// Outcome is the result of a claim; it is final.
type Outcome int

// Outcomes of a claim. Only after Won may the request be sent.
const (
	// NotClaimed means that this claim is certainly not won and never will be, and that no other claim was seen. It
	// says nothing about earlier claims of the same request ID whose voters did not answer.
	NotClaimed Outcome = iota
	// Won means that a majority of the voters recorded this claim.
	Won
	// Duplicate means that this claim is not won and that another claim of the request ID is recorded.
	Duplicate
	// Expired means that this claim is not won and that a voter may have dropped an earlier claim of the request ID.
	Expired
)

// String returns the outcome in kebab case.
func (o Outcome) String() string {
	return [...]string{"not-claimed", "won", "duplicate", "expired"}[o]
}

// Handle identifies a claim that was won, for its release.
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

// Client claims request IDs at the voters; it is safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	running sync.WaitGroup
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Client{cfg: cfg}
}

// tally counts the answers to one claim.
type tally struct {
	voters, answered, granted int
	foreign, expired          bool
}

// add counts an answer, nil for a failed call, and reports whether the voter may hold the claim.
func (t *tally) add(resp *claimpb.ClaimResponse, token []byte) (held bool) {
	t.answered++
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
		t.foreign = t.foreign || others
		return held
	case claimpb.Status_STATUS_EXPIRED:
		t.expired = true
	}
	return resp == nil
}

// decide returns the outcome once it is certain. A claim that can no longer be won stays open until it is known that
// another claim exists or all voters have answered, because NotClaimed tells the caller that no other claim was seen.
func (t *tally) decide() (Outcome, bool) {
	if t.granted >= majority(t.voters) {
		return Won, true
	}
	if t.granted+t.voters-t.answered >= majority(t.voters) {
		return NotClaimed, false
	}
	o := t.lost()
	return o, o != NotClaimed || t.answered == t.voters
}

// lost returns the outcome of a claim that was given up.
func (t *tally) lost() Outcome {
	switch {
	case t.foreign:
		return Duplicate
	case t.expired:
		return Expired
	}
	return NotClaimed
}

type answer struct {
	voter int
	resp  *claimpb.ClaimResponse // nil after an error
	err   error
}

// Claim claims a request ID, a UUIDv7 in text form, for a team. The error says why the outcome is NotClaimed and is nil
// for the other outcomes; the token is set only for Won. Votes count only within the epoch in which the claim started,
// and each call uses a new token, so that no late answer can turn a claim that was given up into a won one.
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
	t := &Handle{
		request: &claimpb.ClaimRequest{Team: team, Id: id[:], Token: token, Epoch: m.Epoch}, voters: m.Voters,
	}
	outcome, maybe, err := c.claim(ctx, t)
	if outcome == Won {
		return Won, t, nil
	}
	c.release(ctx, t.request, maybe)
	if outcome != NotClaimed {
		err = nil
	}
	return outcome, nil, err
}

// claim asks all voters and returns the outcome with the voters that may hold the claim.
func (c *Client) claim(ctx context.Context, t *Handle) (Outcome, []*claimpb.Voter, error) {
	// The calls outlive a won claim, so that voters beyond the majority record it too.
	calls, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Timeout)
	wait, stop := context.WithTimeout(ctx, c.cfg.Timeout)
	defer stop()
	answers := make(chan answer, len(t.voters))
	var open sync.WaitGroup
	for i, v := range t.voters {
		open.Add(1)
		c.running.Go(func() {
			defer open.Done()
			resp := &claimpb.ClaimResponse{}
			err := c.cfg.Call(calls, v.Address, KindClaim, t.request, resp)
			if err != nil {
				resp = nil
			}
			answers <- answer{voter: i, resp: resp, err: err}
		})
	}
	c.running.Go(func() {
		open.Wait()
		cancel()
	})
	maybe := make([]bool, len(t.voters))
	for i := range maybe {
		maybe[i] = true
	}
	count := tally{voters: len(t.voters)}
	var last error
	for {
		select {
		case a := <-answers:
			maybe[a.voter] = count.add(a.resp, t.request.Token)
			if a.err != nil {
				last = a.err
			} else if s := a.resp.Status; s != claimpb.Status_STATUS_HELD {
				last = errorx.IllegalState.New("voter answered %s in epoch %d", s, a.resp.Epoch)
			}
		case <-wait.Done():
			return c.giveUp(cancel, t, count, maybe, wait.Err())
		}
		if outcome, ok := count.decide(); ok {
			if outcome == Won {
				return Won, nil, nil
			}
			return c.giveUp(cancel, t, count, maybe, last)
		}
	}
}

func (c *Client) giveUp(
	cancel func(), t *Handle, count tally, maybe []bool, last error,
) (Outcome, []*claimpb.Voter, error) {
	cancel()
	var voters []*claimpb.Voter
	for i, v := range t.voters {
		if maybe[i] {
			voters = append(voters, v)
		}
	}
	return count.lost(), voters, errorx.IllegalState.New("%d of %d voters recorded the claim in epoch %d: %v",
		count.granted, count.voters, t.request.Epoch, last)
}

// Release gives up a won claim, so that the request ID can be claimed again. The owner calls it only when no byte of the
// request was sent, and sends nothing afterwards. It returns when all voters have answered, or early when ctx ends.
func (c *Client) Release(ctx context.Context, t *Handle) {
	done := c.release(ctx, t.request, t.voters)
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// release sends releases to the voters; they are sent even when ctx has ended. A lost release leaves claims behind that
// block the request ID until it is below the floor.
func (c *Client) release(ctx context.Context, claim *claimpb.ClaimRequest, voters []*claimpb.Voter) <-chan struct{} {
	done := make(chan struct{})
	calls, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Timeout)
	var open sync.WaitGroup
	for _, v := range voters {
		open.Add(1)
		c.running.Go(func() {
			defer open.Done()
			req := &claimpb.ReleaseRequest{Team: claim.Team, Id: claim.Id, Token: claim.Token}
			if err := c.cfg.Call(calls, v.Address, KindRelease, req, &claimpb.ReleaseResponse{}); err != nil {
				c.cfg.Log.V(1).Info("release of a claim failed", "voter", v.Identity, "error", err.Error())
			}
		})
	}
	c.running.Go(func() {
		defer close(done)
		open.Wait()
		cancel()
	})
	return done
}

// Wait returns when no call of the client is running; no claim may start meanwhile.
func (c *Client) Wait() { c.running.Wait() }
