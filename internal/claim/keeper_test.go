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

var genesis = []*claimpb.Membership{{Epoch: 1, Voters: voters("a", "b", "c")}}

func open(t testing.TB, cfg Config, chain []*claimpb.Membership) *Keeper {
	t.Helper()
	k, err := Open(cfg)
	assert.NilError(t, err)
	t.Cleanup(k.Close)
	if chain != nil {
		assert.NilError(t, k.InstallMemberships(context.Background(), chain))
	}
	return k
}

// Guards against an answered claim, floor or promise that is gone after a crash at any write, sync, creation or removal.
func TestCrashAtEveryStep(t *testing.T) {
	ctx := context.Background()
	for crashAt, crashed := 1, true; crashed; crashAt++ {
		for seed := range int64(3) {
			clock, d := newClock(), newDisk()
			d.crashAt = crashAt
			held := map[string]time.Time{}
			promised, floor := uint64(0), time.Time{}
			k, err := Open(config("a", clock, d))
			if err == nil {
				if err = k.InstallMemberships(ctx, genesis); err == nil {
					promised = 1
				}
				for i := byte(0); i < 16 && err == nil; i++ {
					clock.advance(5 * time.Minute)
					id := idAt(clock.Now(), i)
					if _, err = k.Claim(ctx, request(t, id, 1, 1)); err == nil {
						held[id], floor = clock.Now(), k.Stats().Floor
					}
					if err == nil && i%4 == 0 {
						// From here on the claim may or may not be there.
						delete(held, id)
						req := request(t, id, 1, 1)
						_, err = k.Release(ctx, &claimpb.ReleaseRequest{Team: req.Team, Id: req.Id, Token: req.Token})
					}
				}
				k.Close()
			}
			crashed = err != nil
			d.crash(rand.New(rand.NewSource(seed)))
			cfg := config("a", clock, d)
			cfg.AllowNewJournal = promised == 0
			k = open(t, cfg, genesis)
			assert.Assert(t, k.Stats().Epoch >= promised && !k.Stats().Floor.Before(floor), "step %d", crashAt)
			for id, at := range held {
				resp, err := k.Claim(ctx, request(t, id, 2, 1))
				assert.NilError(t, err)
				gone := resp.Status == claimpb.Status_STATUS_EXPIRED
				assert.Assert(t, gone || resp.Holders[0][7] == 1, "step %d seed %d lost %s", crashAt, seed, id)
				assert.Equal(t, gone, at.Before(k.Stats().Floor))
			}
			k.Close()
		}
	}
}

// Guards against damage that is taken for a torn tail, which would lose answered claims silently.
func TestDamageIsRefusedAndTornTailIsCut(t *testing.T) {
	clock, d := newClock(), newDisk()
	k := open(t, config("a", clock, d), genesis)
	for i := range byte(8) {
		clock.advance(50 * time.Second)
		_, err := k.Claim(context.Background(), request(t, idAt(clock.Now(), i), 1, 1))
		assert.NilError(t, err)
	}
	k.Close()
	last := segmentName(uint64(len(d.files)))
	tail := 0
	for at, data := 0, d.files[last].data; at < len(data); {
		_, _, size := readRecord(data[at:])
		tail, at = at, at+size
	}
	assert.Assert(t, len(d.files) > 2 && tail > 0)
	for name, f := range d.files {
		for i := range f.data {
			damaged := newDisk()
			for other, g := range d.files {
				damaged.files[other] = &memoryFile{data: bytes.Clone(g.data), synced: len(g.data), listed: true}
			}
			damaged.files[name].data[i] ^= 0x10
			k, err := Open(config("a", clock, damaged))
			if name == last && i >= tail {
				assert.NilError(t, err)
				k.Close()
				continue
			}
			assert.ErrorContains(t, err, name)
			assert.ErrorContains(t, err, "offset")
		}
	}
}

// Guards against a floor that goes back with the clock or over a restart, and against one that follows a clock which
// jumped ahead, from where a transfer would spread it.
func TestFloorNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		clock, d := newClock(), newDisk()
		k := open(t, config("a", clock, d), genesis)
		defer func() { k.Close() }()
		floor := k.Stats().Floor
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			elapsed := time.Duration(rapid.IntRange(0, 600).Draw(rt, "seconds")) * time.Second
			clock.advance(elapsed)
			clock.jump(time.Duration(rapid.IntRange(-7200, 7200).Draw(rt, "jump")) * time.Second)
			if rapid.Bool().Draw(rt, "restart") {
				k.Close()
				d.crash(rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed"))))
				k = open(t, config("a", clock, d), genesis)
			}
			assert.NilError(t, k.Tick(ctx))
			now := k.Stats().Floor
			if now.Before(floor) || now.After(clock.Now().Add(-DefaultRetention)) && now.After(floor) {
				rt.Fatalf("floor moved from %s to %s at %s", floor, now, clock.Now())
			}
			floor = now
			low, high := idAt(floor.Add(-time.Millisecond), 1), idAt(clock.Now().Add(MaxClockSkew+time.Millisecond), 1)
			resp, err := k.Claim(ctx, request(t, low, 1, 1))
			assert.NilError(t, err)
			assert.Equal(t, resp.Status, claimpb.Status_STATUS_EXPIRED)
			if clock.Now().Add(MaxClockSkew).After(floor) {
				resp, err = k.Claim(ctx, request(t, high, 1, 1))
				assert.NilError(t, err)
				assert.Equal(t, resp.Status, claimpb.Status_STATUS_AHEAD)
			}
		}
	})
	clock := newClock()
	k := open(t, config("a", clock, newDisk()), genesis)
	before := k.Stats().Floor
	clock.jump(24 * time.Hour)
	clock.advance(time.Minute)
	assert.NilError(t, k.Tick(context.Background()))
	assert.Equal(t, k.Stats().Floor.Sub(before), maxFloorRate*time.Minute)
}

// Guards against segments and memory that grow without bound.
func TestExpiredClaimsAreDropped(t *testing.T) {
	clock, d := newClock(), newDisk()
	k := open(t, config("a", clock, d), genesis)
	for i := range 400 {
		clock.advance(time.Minute)
		_, err := k.Claim(context.Background(), request(t, idAt(clock.Now(), byte(i)), 1, 1))
		assert.NilError(t, err)
	}
	assert.Assert(t, k.Stats().Claims <= 62 && len(d.files) <= 34, "%d claims, %d files", k.Stats().Claims, len(d.files))
}

// Guards against answers from a state that was not synced, after a failed write (a full disk) or a failed sync.
func TestFailedSyncMakesKeeperUnusable(t *testing.T) {
	ctx := context.Background()
	for failing := 1; failing <= 2; failing++ {
		clock, d := newClock(), newDisk()
		k := open(t, config("a", clock, d), genesis)
		d.crashAt = d.steps + failing
		id := idAt(clock.Now(), 1)
		_, err := k.Claim(ctx, request(t, id, 1, 1))
		assert.Assert(t, errorx.IsOfType(err, ErrUnusable))
		d.crashAt = 0
		_, err = k.Claim(ctx, request(t, id, 1, 1))
		assert.Assert(t, errorx.IsOfType(err, ErrUnusable))
		_, err = k.Copy(ctx, &claimpb.CopyRequest{Epoch: 2})
		assert.Assert(t, errorx.IsOfType(err, ErrUnusable))
		assert.Assert(t, !k.Stats().Serving)
	}
}

// Guards against a voter that serves with an empty journal after it lost its disk or got the disk of another voter.
func TestLostJournalIsRefused(t *testing.T) {
	clock, d := newClock(), newDisk()
	cfg := config("a", clock, d)
	cfg.AllowNewJournal = false
	_, err := Open(cfg)
	assert.ErrorContains(t, err, "missing")
	open(t, config("a", clock, d), genesis).Close()
	_, err = Open(config("b", clock, d))
	assert.ErrorContains(t, err, "belongs to voter a")
}

// Guards against a late claim that blocks its ID after its release, against a copy that counts as a vote beside another
// holder, and against service before the transfer or in an old epoch.
func TestReleaseAndTransfer(t *testing.T) {
	ctx := context.Background()
	clock := newClock()
	g := group{}
	for _, id := range []string{"a", "b", "c"} {
		g[id] = open(t, config(id, clock, newDisk()), genesis)
	}
	id, late := idAt(clock.Now(), 1), request(t, idAt(clock.Now(), 2), 1, 1)
	_, err := g["a"].Release(ctx, &claimpb.ReleaseRequest{Team: late.Team, Id: late.Id, Token: late.Token})
	assert.NilError(t, err)
	resp, err := g["a"].Claim(ctx, late)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, claimpb.Status_STATUS_RELEASED)
	// Enough claims for several chunks, a split vote among them.
	for i := range 3000 {
		_, err = g["b"].Claim(ctx, request(t, idAt(clock.Now().Add(-time.Duration(i)*time.Second), 9), 9, 1))
		assert.NilError(t, err)
	}
	for voter, token := range map[string]byte{"a": 1, "b": 2} {
		_, err = g[voter].Claim(ctx, request(t, id, token, 1))
		assert.NilError(t, err)
	}
	// Claims below the floor of a sender are covered by its floor.
	clock.jump(-time.Minute)
	chain := []*claimpb.Membership{genesis[0], {Epoch: 2, Voters: voters("a", "b", "d")}}
	d := open(t, config("d", clock, newDisk()), chain)
	calls := 0
	count := func(ctx context.Context, address, kind string, req, resp proto.Message) error {
		if address == "c" {
			return errors.New("lost")
		}
		if address == "b" {
			calls++
		}
		return g.call(ctx, address, kind, req, resp)
	}
	resp, err = d.Claim(ctx, request(t, id, 3, 2))
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, claimpb.Status_STATUS_REFUSED)
	_, err = d.Copy(ctx, &claimpb.CopyRequest{Epoch: 3})
	assert.ErrorContains(t, err, "not ready for epoch 2")
	assert.NilError(t, d.TransferClaims(ctx, count))
	assert.Assert(t, calls > 2 && d.Stats().Claims == 3001, "%d calls, %d claims", calls, d.Stats().Claims)
	assert.Assert(t, !d.Stats().Floor.Before(g["a"].Stats().Floor))
	resp, err = d.Claim(ctx, request(t, id, 1, 2))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Holders), 2)
	for _, voter := range []*Keeper{g["a"], d} {
		resp, err = voter.Claim(ctx, request(t, idAt(clock.Now(), 3), 1, 1))
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, claimpb.Status_STATUS_REFUSED)
	}
	// A step from five to four voters leaves a claim with two of four, so the voters that stay need copies.
	five := &claimpb.Membership{Epoch: 1, Voters: voters("a", "b", "c", "d", "e")}
	four := &claimpb.Membership{Epoch: 2, Voters: voters("a", "b", "c", "d")}
	assert.Assert(t, !open(t, config("a", clock, newDisk()), []*claimpb.Membership{five, four}).Stats().Serving)
	assert.Assert(t, preservesClaims(four, five) && preservesClaims(genesis[0], chain[1]) && preservesClaims(genesis[0], four))
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
