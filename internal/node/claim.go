package node

import (
	"context"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/claim"
	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

const (
	// claimDirectory is the subdirectory of the data directory that holds the at-most-once record.
	claimDirectory = "claims"
	// keeperInterval is the time between two updates of the memberships and the floor of the record.
	keeperInterval = 200 * time.Millisecond
	// transferTimeout bounds one attempt to copy the record from the previous voters.
	transferTimeout = 30 * time.Second
)

// openKeeper opens the at-most-once record of a voter. It runs before the voter saves its first state, so that a voter
// with saved state and without a journal has lost its journal.
func (n *Node) openKeeper(create bool) error {
	var err error
	start := time.Now()
	n.keeper, err = claim.Open(claim.Config{
		Directory: filepath.Join(n.cfg.Process.DataDirectory, claimDirectory), Identity: n.store.Identity(),
		AllowNewJournal: create, Now: time.Now, Elapsed: func() time.Duration { return time.Since(start) }, Log: n.cfg.Log,
	})
	if err != nil {
		return err
	}
	t := n.transport
	t.Handle(claim.KindClaim, peer.UnaryHandler(t,
		func(ctx context.Context, _ string, m *claimpb.ClaimRequest) (proto.Message, error) {
			return n.keeper.Claim(ctx, m)
		}))
	t.Handle(claim.KindRelease, peer.UnaryHandler(t,
		func(ctx context.Context, _ string, m *claimpb.ReleaseRequest) (proto.Message, error) {
			return n.keeper.Release(ctx, m)
		}))
	t.Handle(claim.KindCopy, peer.UnaryHandler(t,
		func(ctx context.Context, _ string, m *claimpb.CopyRequest) (proto.Message, error) {
			return n.keeper.Copy(ctx, m)
		}))
	return nil
}

// runClaimKeeper installs new memberships in the at-most-once record of this voter, copies claims from the previous
// voters and advances the floor of the record.
func (n *Node) runClaimKeeper(ctx context.Context) error {
	ticker := time.NewTicker(keeperInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		chain := n.follower.ClaimMemberships()
		if len(chain) == 0 {
			continue
		}
		if err := n.keeper.InstallMemberships(ctx, chain); err != nil && ctx.Err() == nil {
			return err
		}
		tctx, cancel := context.WithTimeout(ctx, transferTimeout)
		if err := n.keeper.TransferClaims(tctx, n.transport.Call); err != nil && ctx.Err() == nil {
			n.cfg.Log.Info("failed to copy claims from the previous voters; retrying", "reason", err.Error())
		}
		cancel()
		if err := n.keeper.Tick(ctx); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

func (n *Node) buildClaims() {
	n.claims = claim.NewClient(claim.ClientConfig{Membership: n.newestMembership, Call: n.transport.Call, Log: n.cfg.Log})
}

func (n *Node) newestMembership() *claimpb.Membership {
	chain := n.follower.ClaimMemberships()
	if len(chain) == 0 {
		return nil
	}
	return chain[len(chain)-1]
}

var claimOutcomes = map[claim.Outcome]caller.ClaimOutcome{
	claim.NotClaimed: caller.ClaimNotWon, claim.Won: caller.ClaimWon,
	claim.Duplicate: caller.ClaimDuplicate, claim.Expired: caller.ClaimExpired,
}

func (n *Node) claimRequest(ctx context.Context, team, requestID string) (caller.Claim, error) {
	outcome, token, err := n.claims.Claim(ctx, team, requestID)
	c := caller.Claim{Outcome: claimOutcomes[outcome]}
	if token != nil {
		c.Release = func(ctx context.Context) { n.claims.Release(ctx, token) }
	}
	return c, err
}
