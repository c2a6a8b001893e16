package claim

import (
	"bytes"
	"context"
	"errors"
	"math/rand"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
)

var initialMemberships = []*claimpb.Membership{{Epoch: 1, Voters: voters("a", "b", "c")}}

// openKeeper opens a keeper, closes it at the end of the test and installs memberships unless chain is nil.
func openKeeper(t testing.TB, cfg Config, chain []*claimpb.Membership) *Keeper {
	t.Helper()
	k, err := Open(cfg)
	assert.NilError(t, err)
	t.Cleanup(k.Close)
	if chain != nil {
		assert.NilError(t, k.InstallMemberships(context.Background(), chain))
	}
	return k
}

// Guards against the loss of an acknowledged claim, floor or promise in a crash at any write, sync, creation or
// removal.
func TestCrashAtEveryStep(t *testing.T) {
	ctx := context.Background()
	for crashAt, crashed := 1, true; crashed; crashAt++ {
		for seed := range int64(3) {
			clock, disk := newTestClock(), newMemoryDisk()
			disk.crashAt = crashAt
			held := map[string]time.Time{}
			promised, floor := uint64(0), time.Time{}
			k, err := Open(testConfig("a", clock, disk))
			if err == nil {
				if err = k.InstallMemberships(ctx, initialMemberships); err == nil {
					promised = 1
				}
				for i := byte(0); i < 16 && err == nil; i++ {
					clock.advance(5 * time.Minute)
					id := idAt(clock.Now(), i)
					if _, err = k.Claim(ctx, claimRequest(t, id, 1, 1)); err == nil {
						held[id], floor = clock.Now(), k.Stats().Floor
					}
					if err == nil && i%4 == 0 {
						// From here on the claim may be recorded or not.
						delete(held, id)
						req := claimRequest(t, id, 1, 1)
						_, err = k.Release(ctx, &claimpb.ReleaseRequest{Team: req.Team, Id: req.Id, Token: req.Token})
					}
				}
				k.Close()
			}
			crashed = err != nil
			disk.crash(rand.New(rand.NewSource(seed)))
			cfg := testConfig("a", clock, disk)
			cfg.AllowNewJournal = promised == 0
			k = openKeeper(t, cfg, initialMemberships)
			assert.Assert(t, k.Stats().Epoch >= promised && !k.Stats().Floor.Before(floor), "step %d", crashAt)
			for id, at := range held {
				resp, err := k.Claim(ctx, claimRequest(t, id, 2, 1))
				assert.NilError(t, err)
				expired := resp.Status == claimpb.Status_STATUS_EXPIRED
				assert.Assert(t, expired || resp.Holders[0][7] == 1, "step %d seed %d lost %s", crashAt, seed, id)
				assert.Equal(t, expired, at.Before(k.Stats().Floor))
			}
			k.Close()
		}
	}
}

// Guards against damage that is mistaken for a torn write, which would silently lose acknowledged claims.
func TestDamageIsRejectedAndTornWriteIsTruncated(t *testing.T) {
	clock, disk := newTestClock(), newMemoryDisk()
	k := openKeeper(t, testConfig("a", clock, disk), initialMemberships)
	for i := range byte(8) {
		clock.advance(50 * time.Second)
		_, err := k.Claim(context.Background(), claimRequest(t, idAt(clock.Now(), i), 1, 1))
		assert.NilError(t, err)
	}
	k.Close()
	last := segmentName(uint64(len(disk.files)))
	tailStart := 0
	for at, data := 0, disk.files[last].data; at < len(data); {
		_, _, size := readRecord(data[at:])
		tailStart, at = at, at+size
	}
	assert.Assert(t, len(disk.files) > 2 && tailStart > 0)
	for name, f := range disk.files {
		for i := range f.data {
			damaged := newMemoryDisk()
			for other, g := range disk.files {
				damaged.files[other] = &memoryFile{data: bytes.Clone(g.data), synced: len(g.data), created: true}
			}
			damaged.files[name].data[i] ^= 0x10
			k, err := Open(testConfig("a", clock, damaged))
			if name == last && i >= tailStart {
				assert.NilError(t, err)
				k.Close()
				continue
			}
			assert.ErrorContains(t, err, name)
			assert.ErrorContains(t, err, "offset")
		}
	}
}

// Guards against a floor that decreases when the clock jumps back or after a restart. Also guards against a floor that
// follows a clock which jumped ahead, because a transfer would spread that floor to other voters.
func TestFloorNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		clock, disk := newTestClock(), newMemoryDisk()
		k := openKeeper(t, testConfig("a", clock, disk), initialMemberships)
		defer func() { k.Close() }()
		floor := k.Stats().Floor
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			elapsed := time.Duration(rapid.IntRange(0, 600).Draw(rt, "seconds")) * time.Second
			clock.advance(elapsed)
			clock.jump(time.Duration(rapid.IntRange(-7200, 7200).Draw(rt, "jump")) * time.Second)
			if rapid.Bool().Draw(rt, "restart") {
				k.Close()
				disk.crash(rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed"))))
				k = openKeeper(t, testConfig("a", clock, disk), initialMemberships)
			}
			assert.NilError(t, k.Tick(ctx))
			now := k.Stats().Floor
			if now.Before(floor) || now.After(clock.Now().Add(-DefaultRetention)) && now.After(floor) {
				rt.Fatalf("floor moved from %s to %s at %s", floor, now, clock.Now())
			}
			floor = now
			low, high := idAt(floor.Add(-time.Millisecond), 1), idAt(clock.Now().Add(MaxClockSkew+time.Millisecond), 1)
			resp, err := k.Claim(ctx, claimRequest(t, low, 1, 1))
			assert.NilError(t, err)
			assert.Equal(t, resp.Status, claimpb.Status_STATUS_EXPIRED)
			if clock.Now().Add(MaxClockSkew).After(floor) {
				resp, err = k.Claim(ctx, claimRequest(t, high, 1, 1))
				assert.NilError(t, err)
				assert.Equal(t, resp.Status, claimpb.Status_STATUS_AHEAD)
			}
		}
	})
	clock := newTestClock()
	k := openKeeper(t, testConfig("a", clock, newMemoryDisk()), initialMemberships)
	before := k.Stats().Floor
	clock.jump(24 * time.Hour)
	clock.advance(time.Minute)
	assert.NilError(t, k.Tick(context.Background()))
	assert.Equal(t, k.Stats().Floor.Sub(before), maxFloorRate*time.Minute)
}

// Guards against unbounded growth of the journal and the memory.
func TestExpiredClaimsAreDropped(t *testing.T) {
	clock, disk := newTestClock(), newMemoryDisk()
	k := openKeeper(t, testConfig("a", clock, disk), initialMemberships)
	for i := range 400 {
		clock.advance(time.Minute)
		_, err := k.Claim(context.Background(), claimRequest(t, idAt(clock.Now(), byte(i)), 1, 1))
		assert.NilError(t, err)
	}
	assert.Assert(t, k.Stats().Claims <= 62 && len(disk.files) <= 34,
		"%d claims, %d files", k.Stats().Claims, len(disk.files))
}

// Guards against responses from unsynced state after a failed write, such as on a full disk, or a failed sync.
func TestFailedSyncMakesKeeperUnusable(t *testing.T) {
	ctx := context.Background()
	for failingStep := 1; failingStep <= 2; failingStep++ {
		clock, disk := newTestClock(), newMemoryDisk()
		k := openKeeper(t, testConfig("a", clock, disk), initialMemberships)
		disk.crashAt = disk.steps + failingStep
		id := idAt(clock.Now(), 1)
		_, err := k.Claim(ctx, claimRequest(t, id, 1, 1))
		assert.Assert(t, errorx.IsOfType(err, ErrUnusable))
		disk.crashAt = 0
		_, err = k.Claim(ctx, claimRequest(t, id, 1, 1))
		assert.Assert(t, errorx.IsOfType(err, ErrUnusable))
		_, err = k.Copy(ctx, &claimpb.CopyRequest{Epoch: 2})
		assert.Assert(t, errorx.IsOfType(err, ErrUnusable))
		assert.Assert(t, !k.Stats().Serving)
	}
}

// Guards against a voter that starts with an empty journal after it lost its disk, or with the disk of another voter.
func TestOpenRejectsMissingOrForeignJournal(t *testing.T) {
	clock, disk := newTestClock(), newMemoryDisk()
	cfg := testConfig("a", clock, disk)
	cfg.AllowNewJournal = false
	_, err := Open(cfg)
	assert.ErrorContains(t, err, "missing")
	openKeeper(t, testConfig("a", clock, disk), initialMemberships).Close()
	_, err = Open(testConfig("b", clock, disk))
	assert.ErrorContains(t, err, "belongs to voter a")
}

// Guards against a claim that arrives after its release and blocks the ID, against a copied claim that counts as a vote
// despite another holder, and against claims that are accepted before the transfer or in an old epoch.
func TestReleaseAndTransfer(t *testing.T) {
	ctx := context.Background()
	clock := newTestClock()
	g := group{}
	for _, id := range []string{"a", "b", "c"} {
		g[id] = openKeeper(t, testConfig(id, clock, newMemoryDisk()), initialMemberships)
	}
	id, lateClaim := idAt(clock.Now(), 1), claimRequest(t, idAt(clock.Now(), 2), 1, 1)
	_, err := g["a"].Release(ctx, &claimpb.ReleaseRequest{Team: lateClaim.Team, Id: lateClaim.Id, Token: lateClaim.Token})
	assert.NilError(t, err)
	resp, err := g["a"].Claim(ctx, lateClaim)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, claimpb.Status_STATUS_RELEASED)
	// Record enough claims for several chunks, and a split vote.
	for i := range 3000 {
		_, err = g["b"].Claim(ctx, claimRequest(t, idAt(clock.Now().Add(-time.Duration(i)*time.Second), 9), 9, 1))
		assert.NilError(t, err)
	}
	for voter, token := range map[string]byte{"a": 1, "b": 2} {
		_, err = g[voter].Claim(ctx, claimRequest(t, id, token, 1))
		assert.NilError(t, err)
	}
	// The clock jumps back, so that the new voter starts with a lower floor than the senders and must adopt theirs.
	clock.jump(-time.Minute)
	chain := []*claimpb.Membership{initialMemberships[0], {Epoch: 2, Voters: voters("a", "b", "d")}}
	newVoter := openKeeper(t, testConfig("d", clock, newMemoryDisk()), chain)
	calls := 0
	countingCall := func(ctx context.Context, address, kind string, req, resp proto.Message) error {
		if address == "c" {
			return errors.New("lost")
		}
		if address == "b" {
			calls++
		}
		return g.call(ctx, address, kind, req, resp)
	}
	resp, err = newVoter.Claim(ctx, claimRequest(t, id, 3, 2))
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, claimpb.Status_STATUS_REFUSED)
	_, err = newVoter.Copy(ctx, &claimpb.CopyRequest{Epoch: 3})
	assert.ErrorContains(t, err, "not ready for epoch 2")
	assert.NilError(t, newVoter.TransferClaims(ctx, countingCall))
	assert.Assert(t, calls > 2 && newVoter.Stats().Claims == 3001, "%d calls, %d claims", calls, newVoter.Stats().Claims)
	assert.Assert(t, !newVoter.Stats().Floor.Before(g["a"].Stats().Floor))
	resp, err = newVoter.Claim(ctx, claimRequest(t, id, 1, 2))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Holders), 2)
	for _, voter := range []*Keeper{g["a"], newVoter} {
		resp, err = voter.Claim(ctx, claimRequest(t, idAt(clock.Now(), 3), 1, 1))
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, claimpb.Status_STATUS_REFUSED)
	}
	// A change from five to four voters can leave a claim with two of the four, so the remaining voters need copies.
	fiveVoters := &claimpb.Membership{Epoch: 1, Voters: voters("a", "b", "c", "d", "e")}
	fourVoters := &claimpb.Membership{Epoch: 2, Voters: voters("a", "b", "c", "d")}
	assert.Assert(t, !openKeeper(
		t, testConfig("a", clock, newMemoryDisk()), []*claimpb.Membership{fiveVoters, fourVoters},
	).Stats().Serving)
	assert.Assert(t, preservesClaims(fourVoters, fiveVoters) &&
		preservesClaims(initialMemberships[0], chain[1]) && preservesClaims(initialMemberships[0], fourVoters))
}

// FuzzDecodeSegment guards against a panic or an endless loop on arbitrary bytes, and against a valid prefix that does
// not decode on its own.
func FuzzDecodeSegment(f *testing.F) {
	state, err := proto.Marshal(&claimpb.State{Identity: "a", Floor: 1})
	assert.NilError(f, err)
	record := appendRecord(nil, stateRecord, state)
	f.Add(record)
	f.Add(append(appendRecord(record, commitRecord, []byte{0x10, 5}), 1, 2, 3))
	f.Fuzz(func(t *testing.T, data []byte) {
		accept := func(*claimpb.Commit) error { return nil }
		valid, err := decodeSegment(data, accept)
		if err == nil {
			again, err := decodeSegment(data[:valid], accept)
			assert.NilError(t, err)
			assert.Equal(t, again, valid)
		}
	})
}
