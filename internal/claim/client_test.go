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

// The fixed seed determines the steps of the randomised runs; the order of parallel calls still varies.
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

// Guards against two winners for one request ID on the real keepers, with lost and late messages, crashes, clocks that
// jump and voters that lose their disks one after the other.
func TestGroupHasOneWinner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		g, disks, clocks := group{}, map[string]*memoryDisk{}, map[string]*testClock{}
		chain := slices.Clone(genesis)
		start := func(id string) {
			if disks[id] == nil {
				disks[id], clocks[id] = newDisk(), newClock()
			}
			g[id] = open(t, config(id, clocks[id], disks[id]), chain)
		}
		for _, v := range genesis[0].Voters {
			start(v.Identity)
		}
		defer func() {
			for _, k := range g {
				k.Close()
			}
		}()
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		ids := []string{idAt(newClock().Now(), 1), idAt(newClock().Now().Add(-30*time.Minute), 2)}
		sent, owned := map[string]int{}, map[string]*Handle{}
		// A voter loses its disk or is cut off, and a new one takes its place unless the last new one is not ready yet.
		cutOff := map[string]bool{}
		replace := func() {
			next := proto.CloneOf(chain[len(chain)-1])
			if !g[next.Voters[2].Identity].Stats().Serving || len(chain) == 5 {
				return
			}
			lost, fresh := rng.Intn(3), fmt.Sprintf("new-%d", len(chain))
			if old := next.Voters[lost].Identity; rng.Intn(2) == 0 {
				cutOff[old] = true // it does not learn the new epoch, but claims of the old one reach it
			} else {
				g[old].Close()
				delete(g, old)
			}
			next.Epoch, next.Voters = next.Epoch+1, append(slices.Delete(next.Voters, lost, lost+1), voters(fresh)...)
			chain = append(chain, next)
			start(fresh)
		}
		settle := func(call CallFunc) {
			for _, id := range slices.Sorted(maps.Keys(g)) {
				if rng.Intn(2) == 0 && !cutOff[id] {
					_ = g[id].InstallMemberships(ctx, chain)
					_ = g[id].TransferClaims(ctx, call) // a lost message ends it; it is repeated later
				}
			}
		}
		var mu sync.Mutex
		var late []func()
		lossy := func(ctx context.Context, address, kind string, req, resp proto.Message) error {
			mu.Lock()
			defer mu.Unlock()
			ignored := resp.ProtoReflect().New().Interface()
			switch fate := rng.Intn(10); {
			case fate == 0:
				late = append(late, func() { _ = g.call(ctx, address, kind, req, ignored) })
				return errors.New("request late")
			case fate == 1:
				return errors.New("request lost")
			case fate == 2:
				_ = g.call(ctx, address, kind, req, ignored)
				return errors.New("response lost")
			case fate < 5 && kind == KindClaim: // the epoch changes in the middle of a claim
				replace()
				settle(g.call)
			}
			return g.call(ctx, address, kind, req, resp)
		}
		stale := rapid.Bool().Draw(rt, "stale members")
		client := newTestClient(func() *claimpb.Membership {
			if stale && rng.Intn(2) == 0 {
				return chain[max(0, len(chain)-2)]
			}
			return chain[len(chain)-1]
		}, lossy)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := ids[rng.Intn(len(ids))]
			switch rng.Intn(8) {
			default:
				outcome, token, _ := client.Claim(ctx, "a", id)
				client.Wait()
				if outcome == Won {
					sent[id]++
					owned[id] = token
				}
				if sent[id] > 1 {
					rt.Fatalf("%s won twice", id)
				}
			case 0: // the winner could not connect
				if token := owned[id]; token != nil {
					client.Release(ctx, token)
					client.Wait()
					sent[id]--
					delete(owned, id)
				}
			case 1:
				if len(late) > 0 {
					late[0]()
					late = late[1:]
				}
			case 2: // crash and restart
				v := chain[len(chain)-1].Voters[rng.Intn(3)].Identity
				g[v].Close()
				disks[v].crash(rng)
				start(v)
			case 3:
				replace()
			case 4:
				for _, id := range slices.Sorted(maps.Keys(clocks)) {
					clocks[id].jump(time.Duration(rng.Intn(40)-20) * time.Minute)
					clocks[id].advance(time.Duration(rng.Intn(10)) * time.Minute)
				}
			}
			settle(lossy)
		}
	})
}

// Guards against an outcome that promises too much, and against a claim that waits longer than its bound.
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
		count := tally{voters: 3}
		for _, a := range test.answers {
			count.addResponse(a, []byte{1})
		}
		outcome, certain := count.outcome()
		assert.Assert(t, outcome == test.want && certain == test.certain, "%v: %s %t", test.answers, outcome, certain)
	}
	hang := func(ctx context.Context, _, _ string, _, _ proto.Message) error {
		<-ctx.Done()
		return ctx.Err()
	}
	client := NewClient(ClientConfig{
		Membership: func() *claimpb.Membership { return genesis[0] }, Call: hang, Timeout: 20 * time.Millisecond, Log: logr.Discard(),
	})
	outcome, _, err := client.Claim(context.Background(), "a", uuid.Must(uuid.NewV7()).String())
	assert.Assert(t, outcome == NotClaimed && err != nil)
	client.Wait()
	_, _, err = client.Claim(context.Background(), "a", uuid.NewString())
	assert.ErrorContains(t, err, "not a UUIDv7")
}

func realGroup(t testing.TB) group {
	g, origin := group{}, time.Now()
	for _, v := range genesis[0].Voters {
		g[v.Identity] = open(t, Config{
			Directory: t.TempDir(), Identity: v.Identity, AllowNewJournal: true, Now: time.Now,
			Elapsed: func() time.Duration { return time.Since(origin) }, Log: logr.Discard(),
		}, genesis)
	}
	return g
}

// Guards against two winners among concurrent claimants and against one sync for each claim, on real files.
func TestConcurrentClaimants(t *testing.T) {
	g := realGroup(t)
	client := newTestClient(func() *claimpb.Membership { return genesis[0] }, g.call)
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

// BenchmarkClaim measures claims at three keepers in this process with real syncs, and what they leave on disk and heap.
func BenchmarkClaim(b *testing.B) {
	for _, claimants := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(claimants), func(b *testing.B) {
			g := realGroup(b)
			client := newTestClient(func() *claimpb.Membership { return genesis[0] }, g.call)
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
