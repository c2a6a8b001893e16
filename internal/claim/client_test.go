package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
)

// TestMain sets a fixed seed, which determines the steps of the randomized tests. The order of parallel calls still
// varies.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "20260101"), flag.Set("rapid.checks", "300")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newTestClient(m func() *claimpb.Membership, call CallFunc) *Client {
	return NewClient(ClientConfig{Membership: m, Call: call, Timeout: 5 * time.Second, Log: logr.Discard()})
}

// Guards against two winners for one request ID with real keepers, lost and late messages, crashes, clock jumps and
// voters that lose their disks one after another.
func TestKeepersHaveOneWinner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		g, disks, clocks := group{}, map[string]*memoryDisk{}, map[string]*testClock{}
		chain := slices.Clone(initialMemberships)
		startKeeper := func(id string) {
			if disks[id] == nil {
				disks[id], clocks[id] = newMemoryDisk(), newTestClock()
			}
			g[id] = openKeeper(t, testConfig(id, clocks[id], disks[id]), chain)
		}
		for _, v := range initialMemberships[0].Voters {
			startKeeper(v.Identity)
		}
		defer func() {
			for _, k := range g {
				k.Close()
			}
		}()
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		ids := []string{idAt(newTestClock().Now(), 1), idAt(newTestClock().Now().Add(-30*time.Minute), 2)}
		winners, handles := map[string]int{}, map[string]*Handle{}
		isolated := map[string]bool{}
		// A voter loses its disk or is isolated, and a new one replaces it unless the last new one is not ready yet.
		replaceVoter := func() {
			next := proto.CloneOf(chain[len(chain)-1])
			if !g[next.Voters[2].Identity].Stats().Serving || len(chain) == 5 {
				return
			}
			lostIndex, newIdentity := rng.Intn(3), fmt.Sprintf("new-%d", len(chain))
			if oldIdentity := next.Voters[lostIndex].Identity; rng.Intn(2) == 0 {
				isolated[oldIdentity] = true // receives claims of the old epoch, but does not learn of the new one
			} else {
				g[oldIdentity].Close()
				delete(g, oldIdentity)
			}
			next.Epoch, next.Voters = next.Epoch+1, append(
				slices.Delete(next.Voters, lostIndex, lostIndex+1), voters(newIdentity)...)
			chain = append(chain, next)
			startKeeper(newIdentity)
		}
		updateVoters := func(call CallFunc) {
			for _, id := range slices.Sorted(maps.Keys(g)) {
				if rng.Intn(2) == 0 && !isolated[id] {
					_ = g[id].InstallMemberships(ctx, chain)
					_ = g[id].TransferClaims(ctx, call) // may fail because of a lost message; is repeated later
				}
			}
		}
		var mu sync.Mutex
		var lateRequests []func()
		lossyCall := func(ctx context.Context, address, kind string, req, resp proto.Message) error {
			mu.Lock()
			defer mu.Unlock()
			ignoredResp := resp.ProtoReflect().New().Interface()
			switch fate := rng.Intn(10); {
			case fate == 0:
				lateRequests = append(lateRequests, func() { _ = g.call(ctx, address, kind, req, ignoredResp) })
				return errors.New("request late")
			case fate == 1:
				return errors.New("request lost")
			case fate == 2:
				_ = g.call(ctx, address, kind, req, ignoredResp)
				return errors.New("response lost")
			case fate < 5 && kind == KindClaim: // the epoch changes during a claim
				replaceVoter()
				updateVoters(g.call)
			}
			return g.call(ctx, address, kind, req, resp)
		}
		useStaleMembership := rapid.Bool().Draw(rt, "stale members")
		client := newTestClient(func() *claimpb.Membership {
			if useStaleMembership && rng.Intn(2) == 0 {
				return chain[max(0, len(chain)-2)]
			}
			return chain[len(chain)-1]
		}, lossyCall)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := ids[rng.Intn(len(ids))]
			switch rng.Intn(8) {
			default:
				outcome, handle, _ := client.Claim(ctx, "a", id)
				client.Wait()
				if outcome == Won {
					winners[id]++
					handles[id] = handle
				}
				if winners[id] > 1 {
					rt.Fatalf("%s won twice", id)
				}
			case 0: // the winner could not connect
				if handle := handles[id]; handle != nil {
					client.Release(ctx, handle)
					client.Wait()
					winners[id]--
					delete(handles, id)
				}
			case 1:
				if len(lateRequests) > 0 {
					lateRequests[0]()
					lateRequests = lateRequests[1:]
				}
			case 2: // crash and restart
				v := chain[len(chain)-1].Voters[rng.Intn(3)].Identity
				g[v].Close()
				disks[v].crash(rng)
				startKeeper(v)
			case 3:
				replaceVoter()
			case 4:
				for _, id := range slices.Sorted(maps.Keys(clocks)) {
					clocks[id].jump(time.Duration(rng.Intn(40)-20) * time.Minute)
					clocks[id].advance(time.Duration(rng.Intn(10)) * time.Minute)
				}
			}
			updateVoters(lossyCall)
		}
	})
}

// Guards against an outcome that the responses do not justify, and against a claim that waits longer than its timeout.
func TestOutcomes(t *testing.T) {
	held := func(tokens ...byte) *claimpb.ClaimResponse {
		resp := &claimpb.ClaimResponse{Status: claimpb.Status_STATUS_HELD}
		for _, token := range tokens {
			resp.Holders = append(resp.Holders, []byte{token})
		}
		return resp
	}
	expired := &claimpb.ClaimResponse{Status: claimpb.Status_STATUS_EXPIRED}
	refused := &claimpb.ClaimResponse{Status: claimpb.Status_STATUS_REFUSED}
	for _, test := range []struct {
		answers []*claimpb.ClaimResponse
		want    Outcome
		certain bool
	}{
		{[]*claimpb.ClaimResponse{held(1), held(1)}, Won, true},
		{[]*claimpb.ClaimResponse{held(2), held(1)}, NotClaimed, false},
		{[]*claimpb.ClaimResponse{held(2), held(1), held(1)}, Won, true},
		{[]*claimpb.ClaimResponse{held(2), held(1), nil}, Duplicate, true},
		{[]*claimpb.ClaimResponse{held(1, 2), held(1), nil}, Duplicate, true},
		{[]*claimpb.ClaimResponse{expired, expired}, Expired, true},
		{[]*claimpb.ClaimResponse{nil, refused}, NotClaimed, false},
		{[]*claimpb.ClaimResponse{nil, refused, held(2)}, Duplicate, true},
		{[]*claimpb.ClaimResponse{held(1), nil, nil}, NotClaimed, true},
	} {
		votes := tally{voters: 3}
		for _, resp := range test.answers {
			votes.addResponse(resp, []byte{1})
		}
		outcome, certain := votes.outcome()
		assert.Assert(t, outcome == test.want && certain == test.certain, "%v: %s %t", test.answers, outcome, certain)
	}
	hangingCall := func(ctx context.Context, _, _ string, _, _ proto.Message) error {
		<-ctx.Done()
		return ctx.Err()
	}
	client := NewClient(ClientConfig{
		Membership: func() *claimpb.Membership { return initialMemberships[0] }, Call: hangingCall,
		Timeout: 20 * time.Millisecond, Log: logr.Discard(),
	})
	outcome, _, err := client.Claim(context.Background(), "a", uuid.Must(uuid.NewV7()).String())
	assert.Assert(t, outcome == NotClaimed && err != nil)
	client.Wait()
	_, _, err = client.Claim(context.Background(), "a", uuid.NewString())
	assert.ErrorContains(t, err, "not a UUIDv7")
}

// newFileGroup returns a group of keepers with files and real clocks.
func newFileGroup(t testing.TB) group {
	g, origin := group{}, time.Now()
	for _, v := range initialMemberships[0].Voters {
		g[v.Identity] = openKeeper(t, Config{
			Directory: t.TempDir(), Identity: v.Identity, AllowNewJournal: true, Now: time.Now,
			Elapsed: func() time.Duration { return time.Since(origin) }, Log: logr.Discard(),
		}, initialMemberships)
	}
	return g
}

// Guards against two winners among concurrent claims and against a separate sync for each claim, with real files.
func TestConcurrentClaimants(t *testing.T) {
	g := newFileGroup(t)
	client := newTestClient(func() *claimpb.Membership { return initialMemberships[0] }, g.call)
	var wins [50]atomic.Int32
	var wg sync.WaitGroup
	for i := range wins {
		id := uuid.Must(uuid.NewV7()).String()
		for range 3 {
			wg.Go(func() {
				if outcome, _, _ := client.Claim(context.Background(), "a", id); outcome == Won {
					wins[i].Add(1)
				}
			})
		}
	}
	wg.Wait()
	client.Wait()
	won := 0
	for i := range wins {
		assert.Assert(t, wins[i].Load() <= 1)
		won += int(wins[i].Load())
	}
	held := 0
	for _, k := range g {
		held += k.Stats().Claims
	}
	assert.Assert(t, won > 0 && held >= 2*won && g["a"].Stats().Syncs < 50, "%d won, %d held", won, held)
}

// BenchmarkClaim measures claims at three keepers in this process with real syncs, and their size on disk and heap.
func BenchmarkClaim(b *testing.B) {
	for _, claimants := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(claimants), func(b *testing.B) {
			g := newFileGroup(b)
			client := newTestClient(func() *claimpb.Membership { return initialMemberships[0] }, g.call)
			latencies := make([]time.Duration, b.N)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var next atomic.Int64
			var wg sync.WaitGroup
			b.ResetTimer()
			for range claimants {
				wg.Go(func() {
					for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
						start := time.Now()
						if outcome, _, err := client.Claim(context.Background(), "billing", uuid.Must(uuid.NewV7()).String()); outcome != Won {
							b.Error(outcome, err)
						}
						latencies[i] = time.Since(start)
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			client.Wait()
			runtime.GC()
			runtime.ReadMemStats(&after)
			slices.Sort(latencies)
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(3*b.N), "heap-B/claim")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64(g["a"].Stats().DiskBytes)/float64(b.N), "disk-B/claim")
			b.ReportMetric(float64(b.N)/float64(g["a"].Stats().Syncs), "claims/sync")
		})
	}
}
