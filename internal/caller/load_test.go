package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/standin"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Guards against an idempotent request that fails although another endpoint works, and against a retry of a request
// that is not idempotent and may have run.
func TestRetriesOnOtherEndpoint(t *testing.T) {
	for _, b := range []standin.Behavior{{Reset: "after"}, {Size: 100, Cut: 50}, {Framing: "close"}} {
		h := newHarness(t, options{endpoints: 2, behavior: standin.Behavior{Size: 10}})
		h.endpoints[0].SetBehavior(b)
		for range 8 {
			a := h.send(http.MethodGet, "/queues/plates/x", nil)
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, http.StatusOK, a.reason)
			assert.Assert(t, bytes.Equal(a.body, standin.Content(a.header.Get(idHeader), 10)))
		}
		failed := 0
		for range 8 {
			a := h.send(http.MethodPost, "/queues/plates/x", nil, idHeader, newID())
			assert.NilError(t, a.err)
			if a.status != http.StatusOK {
				assert.Equal(t, a.outcome, "unknown")
				failed++
			}
		}
		assert.Assert(t, h.counter("hibiscusroute_retries_total") > 0)
		assert.Equal(t, len(h.endpoints[0].Runs()), int(h.counter("hibiscusroute_retries_total"))+failed)
	}
}

// Guards against retries of more than a tenth of the traffic when all attempts fail.
func TestRetryBudgetUnderTotalFailure(t *testing.T) {
	const n = 300
	h := newHarness(t, options{endpoints: 3, behavior: standin.Behavior{Reset: "after"}})
	for range n {
		a := h.send(http.MethodGet, "/queues/plates/x", nil)
		assert.NilError(t, a.err)
		assert.Equal(t, a.outcome, "unknown")
	}
	retries := int(h.counter("hibiscusroute_retries_total"))
	t.Logf("%d retries of %d requests", retries, n)
	assert.Assert(t, retries <= n/10+10, "%d retries", retries)
	assert.Assert(t, retries >= 10)
}

// Guards against a response to a caller after its deadline, a permit that is released while the endpoint still runs the
// request, and a late response that answers another request.
func TestDeadlineKeepsPermitsUntilTheEndpointEnds(t *testing.T) {
	h := newHarness(t, options{behavior: standin.Behavior{Size: 50, Delay: 300 * time.Millisecond, Identify: true}})
	h.quotas.limit["slot/i-0"] = 2
	var wg sync.WaitGroup
	for k := range 6 {
		wg.Go(func() {
			method := []string{http.MethodGet, http.MethodPost}[k%2]
			a := h.send(method, "/queues/plates/x", nil, idHeader, newID(), "Hibiscusroute-Deadline-Ms", "100")
			assert.Check(t, a.err)
			assert.Check(t, a.status == http.StatusGatewayTimeout && a.reason == "deadline", "%d %s", a.status, a.reason)
			assert.Check(t, a.outcome == map[int]string{0: "not-run", 1: "unknown"}[h.runs()[a.header.Get(idHeader)]])
		})
	}
	wg.Wait()
	assert.Equal(t, h.quotas.permitsInUse(), 4) // two slots and two team permits
	a := h.send(http.MethodGet, "/queues/plates/x", nil)
	assert.NilError(t, a.err)
	assert.Assert(t, bytes.Equal(a.body, standin.Content(a.header.Get(idHeader), 50)))
	assert.Equal(t, h.endpoints[0].PeakRunning(), 2)
}

// Guards against new requests for an endpoint that has announced that it is leaving, and a planned stop that aborts its
// requests.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	h := newHarness(t, options{endpoints: 2, behavior: standin.Behavior{Size: 10, Delay: 5 * time.Millisecond}})
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for !stop.Load() {
				a := h.send(http.MethodPost, "/queues/plates/x", nil, idHeader, newID())
				assert.Check(t, a.err == nil && a.status == http.StatusOK, "%v %s", a.err, a.reason)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, h.endpoints[0].Leave(t.Context()))
	time.Sleep(50 * time.Millisecond) // for requests that were sent before
	before := len(h.endpoints[0].Runs())
	assert.Assert(t, before > 0)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, len(h.endpoints[0].Runs()), before)
	assert.NilError(t, h.endpoints[0].Stop(t.Context(), 20*time.Millisecond))
	stop.Store(true)
	wg.Wait()
}

// Guards against a planned stop of the process that aborts a request. The callers follow the readiness check with a
// delay, as a load balancer does. A caller that sends after StopDelay gets a not-run rejection, and its request must
// not have run.
func TestGracefulStopCompletesRequests(t *testing.T) {
	h := newHarness(t, options{
		endpoints: 3, behavior: standin.Behavior{Size: 300 << 10, Delay: 20 * time.Millisecond},
		config: func(c *caller.Config) { c.StopDelay = time.Second },
	})
	var notReady atomic.Bool
	var wg sync.WaitGroup
	var served atomic.Int64
	wg.Go(func() {
		for !notReady.Load() {
			resp, err := h.client.Get(h.url + "/-/ready")
			if !assert.Check(t, err) {
				return
			}
			_ = resp.Body.Close()
			notReady.Store(resp.StatusCode != http.StatusNoContent)
			time.Sleep(50 * time.Millisecond)
		}
	})
	for k := range 30 {
		wg.Go(func() {
			for !notReady.Load() {
				id := newID()
				a := h.send([]string{http.MethodGet, http.MethodPost}[k%2], "/queues/plates/x", nil, idHeader, id)
				if a.reason == "stopping" && a.outcome == "not-run" {
					assert.Check(t, h.runs()[id] == 0)
					continue
				}
				assert.Check(t, a.err == nil && a.status == http.StatusOK, "%v %s", a.err, a.reason)
				assert.Check(t, bytes.Equal(a.body, standin.Content(id, 300<<10)))
				served.Add(1)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	before := served.Load()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, h.server.Stop(ctx))
	wg.Wait()
	t.Logf("%d requests served, %d of them while stopping, none aborted", served.Load(), served.Load()-before)
	assert.Assert(t, served.Load() > before)
	a := h.send(http.MethodGet, "/queues/plates/x", nil)
	assert.Assert(t, a.err != nil, "the listener is still open")
}

// Guards against callers that occupy resources with slow or oversized requests.
func TestSlowAndOversizedRequests(t *testing.T) {
	h := newHarness(t, options{config: func(c *caller.Config) {
		c.MaxBodyBytes, c.HeaderTimeout, c.BodyTimeout = 2<<20, 150*time.Millisecond, 150*time.Millisecond
	}})
	const post = "POST /queues/plates/x HTTP/1.1\r\nHost: x\r\nHibiscusroute-Idempotent: true\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("b", 64<<10))
	for _, tc := range []struct {
		name, text, want string
		runs             int
	}{
		{"slow header", "POST /queues/plates/x HTTP/1.1\r\nHost: x\r\nA: ", "", 0},
		{"oversized header", post + "A: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431", 0},
		{"slow body", post + "Content-Length: 10\r\n\r\n01234", "body-incomplete", 0},
		{"declared oversize", post + "Content-Length: 2097153\r\n\r\n", "body-too-large", 0},
		{
			"chunked oversize", post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk,
				40) + "0\r\n\r\n", "body-too-large", 1,
		},
		{"whole", post + "Content-Length: 5\r\nConnection: close\r\n\r\n01234", "200 OK", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := len(h.runs())
			c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
			assert.NilError(t, err)
			defer c.Close() //nolint:errcheck // the server closed it already
			assert.NilError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
			_, err = io.WriteString(c, tc.text)
			assert.NilError(t, err)
			buf := make([]byte, 1<<10)
			n, err := io.ReadAtLeast(c, buf, 1)
			assert.Assert(t, n > 0 || err == io.EOF, "%v", err)
			for err == nil && !strings.Contains(string(buf[:n]), tc.want) {
				var more int
				more, err = c.Read(buf[n:])
				n += more
			}
			assert.Assert(t, strings.Contains(string(buf[:n]), tc.want), "%s", buf[:n])
			assert.Assert(t, len(h.runs())-before <= tc.runs)
		})
	}
}

// Guards against an unlimited number of requests in the process.
func TestRequestsAreLimited(t *testing.T) {
	for _, tc := range []struct {
		requests, waiting int
		reason            string
	}{{25, 1000, "overloaded"}, {1000, 10, "queue-full"}} {
		h := newHarness(t, options{
			behavior: standin.Behavior{Delay: 100 * time.Millisecond},
			queue:    fleet.Queue{Name: "plates", Open: true, OpenTeam: "guest", MaxWaiting: tc.waiting},
			config:   func(c *caller.Config) { c.MaxRequests = tc.requests },
		})
		var wg sync.WaitGroup
		reasons := map[string]int{}
		var mu sync.Mutex
		for range 80 {
			wg.Go(func() {
				a := h.send(http.MethodGet, "/queues/plates/x", nil)
				assert.Check(t, a.err)
				mu.Lock()
				defer mu.Unlock()
				reasons[a.reason]++
				assert.Check(t, a.reason == "" || a.outcome == "not-run")
			})
		}
		wg.Wait()
		assert.Assert(t, reasons[""] >= 8 && reasons[tc.reason] > 0, "%v", reasons)
		assert.Equal(t, reasons[""]+reasons[tc.reason], 80, "%v", reasons)
		assert.Assert(t, h.endpoints[0].PeakRunning() <= 8)
	}
}

// Guards against an unlimited number of connections, and against a process that does not recover when they are closed.
func TestConnectionsAreLimited(t *testing.T) {
	h := newHarness(t, options{config: func(c *caller.Config) { c.MaxConnections = 60 }})
	var open []net.Conn
	for range 200 {
		c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		assert.NilError(t, err)
		open = append(open, c)
	}
	for h.counter("hibiscusroute_refused_connections_total") < 140 {
		time.Sleep(time.Millisecond)
	}
	for _, c := range open {
		assert.NilError(t, c.Close())
	}
	for k := 0; ; k++ {
		a := h.send(http.MethodGet, "/queues/plates/x", nil)
		if a.err == nil && a.status == http.StatusOK {
			break
		}
		assert.Assert(t, k < 100, "no service after the flood: %v", a.err)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a request that is not idempotent and runs twice, a complete response to another request, and a not-run
// rejection of a request that ran, with random requests and endpoint failures.
func TestRandomRequestsAndFailures(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	h := newHarness(t, options{
		endpoints: 6, unreachable: 1, behavior: standin.Behavior{Size: 1000},
		queue: fleet.Queue{
			Name: "plates", Open: true, OpenTeam: "guest", MaxWaiting: 20, MaxRun: fleet.Duration(2 * time.Second),
			MaxWait: fleet.Duration(300 * time.Millisecond),
		},
	})
	for k := range 6 {
		h.quotas.limit[fmt.Sprintf("slot/i-%d", k)] = 3
	}
	behaviors := []standin.Behavior{
		{Size: 1000}, {Size: 1000}, {Size: 400 << 10}, {Size: 1000, Delay: 30 * time.Millisecond, Identify: true},
		{Size: 1000, Cut: 500}, {Size: 400 << 10, Cut: 300 << 10}, {Reset: "before"}, {Reset: "after"},
		{Size: 1000, Framing: "chunked", Cut: 1001}, {Framing: "close", Size: 10}, {Status: 503},
	}
	type sentRequest struct {
		id         string
		idempotent bool
		last       answer
		times      int
	}
	var mu sync.Mutex
	var all []*sentRequest
	outcomes := map[string]int{}
	var wg sync.WaitGroup
	var stop atomic.Bool
	wg.Go(func() {
		rnd := rand.New(rand.NewPCG(seed, 0))
		for !stop.Load() {
			h.endpoints[rnd.IntN(6)].SetBehavior(behaviors[rnd.IntN(len(behaviors))])
			h.noLease.Store(rnd.IntN(20) == 0)
			time.Sleep(3 * time.Millisecond)
		}
	})
	var callers sync.WaitGroup
	for k := range 32 {
		callers.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(k+1)))
			for range 60 {
				r := &sentRequest{id: newID(), idempotent: rnd.IntN(2) == 0}
				headers := []string{idHeader, r.id, "Hibiscusroute-Idempotent", fmt.Sprint(r.idempotent)}
				if rnd.IntN(3) == 0 {
					headers = append(headers, "Hibiscusroute-Deadline-Ms", fmt.Sprint(1+rnd.IntN(60)))
				}
				notRun := true // each time so far
				for r.times = 1; r.times <= 3; r.times++ {
					r.last = h.send(http.MethodPost, "/queues/plates/x", []byte("b"), headers...)
					notRun = notRun && r.last.outcome == "not-run"
					if r.last.status == http.StatusOK {
						n := len(r.last.body)
						assert.Check(t, r.last.err != nil || bytes.Equal(r.last.body, standin.Content(r.id, n)))
					}
					// Callers always resend what was not run, and sometimes what may have run.
					if r.last.outcome != "not-run" && rnd.IntN(2) == 0 {
						break
					}
				}
				ran := h.runs()[r.id]
				assert.Check(t, !notRun || ran == 0, "%s: not run and ran %d times", r.id, ran)
				mu.Lock()
				all = append(all, r)
				outcomes[fmt.Sprintf("%d %s %s", r.last.status, r.last.outcome, r.last.reason)]++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	stop.Store(true)
	wg.Wait()
	h.noLease.Store(false)
	runs := h.runs()
	for _, r := range all {
		if !r.idempotent {
			assert.Check(t, runs[r.id] <= 1, "request %s ran %d times", r.id, runs[r.id])
		}
		if r.last.status == http.StatusOK {
			assert.Check(t, runs[r.id] >= 1)
		}
	}
	t.Logf("%d requests, %v", len(all), outcomes)
}

// Guards against a retry that waits for a slot of another endpoint and blocks requests that can use any endpoint.
func TestStalledRetryDoesNotBlockOthers(t *testing.T) {
	h := newHarness(t, options{endpoints: 2, behavior: standin.Behavior{Size: 10}})
	h.quotas.limit["slot/i-1"] = 0
	h.endpoints[0].SetBehavior(standin.Behavior{Reset: "after"})
	done := make(chan answer)
	go func() { done <- h.send(http.MethodGet, "/queues/plates/x", nil) }()
	for len(h.runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	h.endpoints[0].SetBehavior(standin.Behavior{Size: 10})
	started := time.Now()
	a := h.send(http.MethodGet, "/queues/plates/x", nil)
	assert.Equal(t, a.status, http.StatusOK, a.reason)
	assert.Assert(t, time.Since(started) < time.Second)
	h.quotas.mu.Lock()
	h.quotas.limit["slot/i-1"] = 1
	h.quotas.mu.Unlock()
	a = <-done
	assert.Equal(t, a.status, http.StatusOK, a.reason)
}
