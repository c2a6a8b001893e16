package claim

import (
	"context"
	"slices"
	"sync"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
)

// chunkSize bounds the entries of one chunk of a copy in bytes.
const chunkSize = 60 << 10

// CallFunc sends one request to a process and waits for its response.
type CallFunc func(ctx context.Context, address, kind string, req, resp proto.Message) error

func majority(n int) int { return n/2 + 1 }

func hasVoter(m *claimpb.Membership, identity string) bool {
	return slices.ContainsFunc(m.GetVoters(), func(v *claimpb.Voter) bool { return v.Identity == identity })
}

// preservesClaims reports whether a claim that a majority of one membership holds is held by a majority of the next one once the
// added voters have their copies. Otherwise the voters that stay need copies too.
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

// servesEpoch reports whether claims of an epoch are recorded here; the caller holds mu.
func (k *Keeper) servesEpoch(epoch uint64) bool {
	s := k.state
	return epoch > 0 && epoch == s.Promised && epoch == s.Served && epoch == s.Base.GetEpoch() &&
		hasVoter(s.Base, k.cfg.Identity)
}

// InstallMemberships hands memberships to the keeper: the newest ones of the control log, oldest first, with consecutive epochs.
// Those that are known are skipped. The keeper refuses older epochs from then on and serves the newest one at once
// where that is safe, and after Transfer otherwise.
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

// addMembership adds one membership to a state.
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
		// The first membership has nothing to copy.
		s.Base = m
		if hasVoter(m, k.cfg.Identity) {
			s.Served = 1
		}
	default:
		// Memberships are missing, so this voter cannot know whether it still holds enough: it needs copies for the
		// epochs that follow, and it cannot serve this one.
		if hasVoter(m, k.cfg.Identity) {
			k.log.Info("memberships are missing; claims are served from the next epoch on", "epoch", m.Epoch)
		}
		s.Base, s.Pending = m, nil
	}
	s.Promised = max(s.Promised, m.Epoch)
}

// applyPending processes pending memberships as far as no transfer is needed.
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

func (k *Keeper) setState(c *claimpb.Commit, s *claimpb.State) {
	if proto.Equal(s, k.state) {
		return
	}
	k.state = s
	// The record holds its own copy, because the floor of the state may move within the same group.
	c.State = proto.CloneOf(s)
}

// Copy promises the epoch of the request and returns the next chunk of the claims held. Its first answer comes after
// the promise and all claims recorded before it are synced.
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

// TransferClaims copies claims until this voter is ready for the newest membership; it returns at once when it is. It can be
// repeated after an error.
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

// copyFromMajority copies from a majority of the previous membership, all voters of it in parallel.
func (k *Keeper) copyFromMajority(ctx context.Context, call CallFunc, prev *claimpb.Membership, epoch, served uint64) error {
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

// copyFromVoter imports all chunks of one voter; each is synced before the next is asked for.
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

// importChunk adds copied claims beside those held, and takes over a higher floor, below which the sender may have
// dropped claims.
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
