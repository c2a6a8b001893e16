package claim

import (
	"context"
	"slices"
	"sync"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
)

// chunkSize is the size in bytes at which a chunk of a copy ends.
const chunkSize = 60 << 10

// CallFunc sends one request to the process at an address and waits for its response.
type CallFunc func(ctx context.Context, address, kind string, req, resp proto.Message) error

func majority(n int) int { return n/2 + 1 }

func hasVoter(m *claimpb.Membership, identity string) bool {
	return slices.ContainsFunc(m.GetVoters(), func(v *claimpb.Voter) bool { return v.Identity == identity })
}

// preservesClaims reports whether each claim that a majority of prev holds is also held by a majority of next once the
// added voters have copied the claims. If not, the remaining voters must copy them too.
func preservesClaims(prev, next *claimpb.Membership) bool {
	removed, added := 0, 0
	for _, v := range prev.Voters {
		if !hasVoter(next, v.Identity) {
			removed++
		}
	}
	for _, v := range next.Voters {
		if !hasVoter(prev, v.Identity) {
			added++
		}
	}
	return majority(len(prev.Voters))-removed+added >= majority(len(next.Voters))
}

// servesEpoch reports whether this voter accepts claims of an epoch. The caller must hold mu.
func (k *Keeper) servesEpoch(epoch uint64) bool {
	s := k.state
	return epoch > 0 && epoch == s.Promised && epoch == s.Served && epoch == s.Base.GetEpoch() &&
		hasVoter(s.Base, k.cfg.Identity)
}

// InstallMemberships passes the newest memberships of the control log to the keeper, oldest first and with consecutive
// epochs. It skips those that are known already. The keeper then rejects claims of older epochs. It serves the newest
// epoch immediately if that is safe, and after TransferClaims otherwise.
func (k *Keeper) InstallMemberships(ctx context.Context, chain []*claimpb.Membership) error {
	for i, m := range chain {
		if m.Epoch == 0 || len(m.Voters) == 0 || i > 0 && m.Epoch != chain[i-1].Epoch+1 {
			return errorx.IllegalArgument.New("memberships need consecutive epochs and voters")
		}
	}
	return k.submit(ctx, func(c *claimpb.Commit) error {
		s := proto.CloneOf(k.state)
		for _, m := range chain {
			k.addMembership(s, proto.CloneOf(m))
		}
		k.applyPending(s)
		k.setState(c, s)
		return nil
	})
}

// addMembership adds one membership to a state unless it is known already.
func (k *Keeper) addMembership(s *claimpb.State, m *claimpb.Membership) {
	knownEpoch := s.Base.GetEpoch()
	if n := len(s.Pending); n > 0 {
		knownEpoch = s.Pending[n-1].Epoch
	}
	switch {
	case m.Epoch <= knownEpoch:
		return
	case m.Epoch == knownEpoch+1 && knownEpoch > 0:
		s.Pending = append(s.Pending, m)
	case m.Epoch == 1:
		// There are no earlier claims to copy.
		s.Base = m
		if hasVoter(m, k.cfg.Identity) {
			s.Served = 1
		}
	default:
		// Memberships are missing, so this voter cannot know whether it holds all claims that it needs. It cannot serve
		// this epoch and must copy claims for the next one.
		if hasVoter(m, k.cfg.Identity) {
			k.log.Info("memberships are missing; this voter accepts no claims until the next epoch", "epoch", m.Epoch)
		}
		s.Base, s.Pending = m, nil
	}
	s.Promised = max(s.Promised, m.Epoch)
}

// applyPending applies pending memberships up to the first one that needs a transfer.
func (k *Keeper) applyPending(s *claimpb.State) {
	for len(s.Pending) > 0 {
		next := s.Pending[0]
		isMember := hasVoter(next, k.cfg.Identity)
		isReady := s.Served == s.Base.GetEpoch() && hasVoter(s.Base, k.cfg.Identity)
		if isMember && (!isReady || !preservesClaims(s.Base, next)) {
			return
		}
		if isMember {
			s.Served = next.Epoch
		}
		s.Base, s.Pending = next, s.Pending[1:]
	}
}

// setState replaces the state and adds it to the commit if it has changed.
func (k *Keeper) setState(c *claimpb.Commit, s *claimpb.State) {
	if proto.Equal(s, k.state) {
		return
	}
	k.state = s
	// The record needs a copy, because the floor of the state may move within the same group.
	c.State = proto.CloneOf(s)
}

// Copy promises the epoch of the request and returns the next chunk of this voter's claims. It responds after the
// promise and all claims recorded before it are synced.
func (k *Keeper) Copy(ctx context.Context, req *claimpb.CopyRequest) (*claimpb.CopyResponse, error) {
	err := k.submit(ctx, func(c *claimpb.Commit) error {
		if k.state.Served == 0 || k.state.Served+1 < req.Epoch {
			return errorx.IllegalState.New("voter was not ready for epoch %d", req.Epoch-1)
		}
		if k.state.Promised < req.Epoch {
			s := proto.CloneOf(k.state)
			s.Promised = req.Epoch
			k.setState(c, s)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return k.readChunk(req.Position)
}

// readChunk returns the claims after an encoded position, up to chunkSize or the end of a bucket.
func (k *Keeper) readChunk(position []byte) (*claimpb.CopyResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failure != nil {
		return nil, ErrUnusable.New("claim keeper stopped: %v", k.failure)
	}
	resp := &claimpb.CopyResponse{Floor: k.state.Floor}
	keys, bucket := k.claims.keysAfter(position)
	slices.SortFunc(keys, k.claims.compareKeys)
	size := 0
	for _, key := range keys {
		entries := k.claims.entries([]claimKey{key})
		for _, e := range entries {
			size += proto.Size(e) + 4
		}
		resp.Entries = append(resp.Entries, entries...)
		resp.Next = k.claims.encodePosition(bucket, key)
		if size >= chunkSize {
			break
		}
	}
	return resp, nil
}

// TransferClaims copies claims until this voter is ready for the newest membership, and returns immediately if it is
// ready already. It can be repeated after an error.
func (k *Keeper) TransferClaims(ctx context.Context, call CallFunc) error {
	for {
		k.mu.Lock()
		s := proto.CloneOf(k.state)
		k.mu.Unlock()
		if len(s.Pending) == 0 {
			return nil
		}
		if err := k.copyFromMajority(ctx, call, s.Base, s.Pending[0].Epoch, s.Served); err != nil {
			return err
		}
		err := k.submit(ctx, func(c *claimpb.Commit) error {
			next := proto.CloneOf(k.state)
			if len(next.Pending) == 0 || next.Pending[0].Epoch != s.Pending[0].Epoch {
				return nil
			}
			next.Base, next.Pending = next.Pending[0], next.Pending[1:]
			next.Served = next.Base.Epoch
			k.applyPending(next)
			k.setState(c, next)
			return nil
		})
		if err != nil {
			return err
		}
	}
}

// copyFromMajority asks all voters of the previous membership in parallel for their claims and waits for a majority.
func (k *Keeper) copyFromMajority(
	ctx context.Context, call CallFunc, prev *claimpb.Membership, epoch, served uint64,
) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	needed := majority(len(prev.Voters))
	results := make(chan error, len(prev.Voters))
	running := 0
	for _, v := range prev.Voters {
		if v.Identity == k.cfg.Identity {
			if served >= prev.Epoch {
				needed--
			}
			continue
		}
		running++
		wg.Go(func() { results <- k.copyFromVoter(ctx, call, v, epoch) })
	}
	var lastErr error
	for ; needed > 0; running-- {
		if running < needed {
			return errorx.IllegalState.New("too few voters of epoch %d sent their claims: %v", prev.Epoch, lastErr)
		}
		if err := <-results; err != nil {
			lastErr = err
		} else {
			needed--
		}
	}
	return nil
}

// copyFromVoter imports all chunks of one voter. It syncs each chunk before it requests the next one.
func (k *Keeper) copyFromVoter(ctx context.Context, call CallFunc, v *claimpb.Voter, epoch uint64) error {
	req := &claimpb.CopyRequest{Epoch: epoch}
	for {
		resp := &claimpb.CopyResponse{}
		if err := call(ctx, v.Address, KindCopy, req, resp); err != nil {
			return errorx.Decorate(err, "copy claims of voter %s", v.Identity)
		}
		if err := k.importChunk(ctx, resp); err != nil {
			return err
		}
		if len(resp.Next) == 0 {
			return nil
		}
		req.Position = resp.Next
	}
}

// importChunk adds copied claims to those of this voter. It adopts a higher floor of the sender, because the sender may
// have dropped claims below it.
func (k *Keeper) importChunk(ctx context.Context, resp *claimpb.CopyResponse) error {
	for _, e := range resp.Entries {
		if _, _, err := decodeClaim(e.Team, e.Id, e.Token); err != nil {
			return err
		}
	}
	return k.submit(ctx, func(c *claimpb.Commit) error {
		if resp.Floor > k.state.Floor {
			k.setFloor(c, resp.Floor)
		}
		for _, e := range resp.Entries {
			if id := requestID(e.Id); id.unixMilli() >= k.state.Floor {
				k.claims.add(k.claims.key(e.Team, id), claimToken(e.Token))
				c.Entries = append(c.Entries, e)
			}
		}
		return nil
	})
}
