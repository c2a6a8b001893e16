package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/key"
	"github.com/hibiscusroute/hibiscusroute/internal/standin"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// fakeQuotas grants permits up to fixed limits; a resource without an entry has 8.
type fakeQuotas struct {
	mu     sync.Mutex
	limit  map[string]int
	used   map[string]int
	demand map[string]int
}

func (q *fakeQuotas) tryAcquire(resource string) (func(), bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit, ok := q.limit[resource]
	if !ok {
		limit = 8
	}
	if q.used[resource] >= limit {
		return nil, false
	}
	q.used[resource]++
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.used[resource]--
	}, true
}

func (q *fakeQuotas) setDemand(resource string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.demand[resource] = max(q.demand[resource], n)
}

// awaitDemand waits until the process has reported a demand of n permits of a resource.
func (h *harness) awaitDemand(resource string, n int) {
	for have := 0; have < n; time.Sleep(time.Millisecond) {
		h.quotas.mu.Lock()
		have = h.quotas.demand[resource]
		h.quotas.mu.Unlock()
	}
}

func (q *fakeQuotas) permitsInUse() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, used := range q.used {
		n += used
	}
	return n
}

// fakeClaims is an in-memory record of claimed request identifiers.
type fakeClaims struct {
	mu       sync.Mutex
	held     map[string]bool
	released map[string]int
	outcome  caller.ClaimOutcome // unless ClaimNotWon, the outcome of all claims
	err      error
}

func (c *fakeClaims) claim(_ context.Context, _, id string) (caller.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	release := func(context.Context) {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.held, id)
		c.released[id]++
	}
	switch {
	case c.err != nil:
		return caller.Claim{Release: release}, c.err
	case c.outcome != caller.ClaimNotWon:
		return caller.Claim{Outcome: c.outcome}, nil
	case c.held[id]:
		return caller.Claim{Outcome: caller.ClaimDuplicate}, nil
	}
	c.held[id] = true
	return caller.Claim{Outcome: caller.ClaimWon, Release: release}, nil
}

// harness runs a caller server and fake endpoints on loopback addresses.
type harness struct {
	url       string
	server    *caller.Server
	registry  *endpoint.Registry
	endpoints []*standin.Endpoint
	quotas    *fakeQuotas
	claims    *fakeClaims
	metrics   *metrics.Set
	noLease   atomic.Bool
	view      atomic.Pointer[view.View]
	keys      map[string]string // by team
	client    *http.Client
}

// options configures a harness; zero values use defaults.
type options struct {
	endpoints   int
	queue       fleet.Queue
	teams       []fleet.Team
	behavior    standin.Behavior
	config      func(*caller.Config)
	unreachable int // number of endpoints that announce an address at which nothing listens
}

func newHarness(tb testing.TB, o options) *harness {
	tb.Helper()
	if o.endpoints == 0 {
		o.endpoints = 1
	}
	if o.queue.Name == "" {
		o.queue = fleet.Queue{Name: "plates", Open: true, OpenTeam: "guest"}
	}
	o.queue.Pool = "web"
	for p, d := range map[*fleet.Duration]time.Duration{&o.queue.MaxRun: 10 * time.Second, &o.queue.MaxWait: 5 * time.Second} {
		if *p == 0 {
			*p = fleet.Duration(d)
		}
	}
	if o.queue.MaxWaiting == 0 {
		o.queue.MaxWaiting = 1000
	}
	c := &fleet.Configuration{
		Processes: 1, Pools: []fleet.Pool{{Name: "web"}}, Queues: []fleet.Queue{o.queue},
		Teams: append(o.teams, fleet.Team{Name: "guest", Share: 1}),
	}
	h := &harness{
		quotas:  &fakeQuotas{limit: map[string]int{"team/guest": 1000}, used: map[string]int{}, demand: map[string]int{}},
		claims:  &fakeClaims{held: map[string]bool{}, released: map[string]int{}},
		metrics: metrics.NewSet(), keys: map[string]string{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}},
	}
	keys := map[string]key.Key{}
	for k := range o.endpoints {
		c.Instances = append(c.Instances, fleet.Instance{
			Name: fmt.Sprintf("i-%d", k), Pool: "web", Slots: 8, Connections: 64,
			AvailabilityZone: fmt.Sprintf("z-%d", k%3), Rack: fmt.Sprintf("r-%d", k),
		})
	}
	h.view.Store(view.New(view.Config{Configuration: c, Keys: keys}))
	viewNow := func() (*view.View, error) {
		if h.noLease.Load() {
			return nil, view.ErrNoLease.New("expired")
		}
		return h.view.Load(), nil
	}
	h.registry = endpoint.New(endpoint.Config{
		View: viewNow, TryAcquire: h.quotas.tryAcquire, SetDemand: h.quotas.setDemand, Log: logr.Discard(),
	})
	announce := startServer(tb, &http.Server{Handler: h.registry, ReadHeaderTimeout: time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	for k := range o.endpoints {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		e := standin.New(standin.Config{
			Instance: fmt.Sprintf("i-%d", k), Address: l.Addr().String(), Announce: []string{announce + "/announce"},
			Behavior: o.behavior,
		})
		if k < o.unreachable {
			assert.NilError(tb, l.Close())
		} else {
			go e.Serve(l) //nolint:errcheck // ends with the test
			tb.Cleanup(func() { _ = l.Close() })
		}
		_, err = e.Announce(ctx, 0)
		assert.NilError(tb, err)
		go e.Run(ctx)
		h.endpoints = append(h.endpoints, e)
	}
	cfg := caller.Config{
		View: viewNow, Registry: h.registry, Dispatcher: endpoint.NewDispatcher(endpoint.DispatcherConfig{}),
		TryAcquire: h.quotas.tryAcquire, SetDemand: h.quotas.setDemand, Claim: h.claims.claim,
		StopDelay: time.Millisecond, Metrics: h.metrics, Log: logr.Discard(),
	}
	if o.config != nil {
		o.config(&cfg)
	}
	h.server = caller.New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	h.url = "http://" + l.Addr().String()
	go h.server.Serve(l) //nolint:errcheck // ends with the test
	tb.Cleanup(func() {
		h.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.Check(tb, h.server.Stop(ctx))
		assert.Check(tb, h.quotas.permitsInUse() == 0, "%d permits were not returned", h.quotas.permitsInUse())
		assert.Check(tb, h.counter(`hibiscusroute_invariant_violations_total{package="caller"}`) == 0, "invariant violated")
	})
	return h
}

// startServer serves on a loopback address until the test ends and returns the URL.
func startServer(tb testing.TB, s *http.Server) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	go s.Serve(l) //nolint:errcheck // ends with the test
	tb.Cleanup(func() { _ = s.Close() })
	return "http://" + l.Addr().String()
}

func (h *harness) counter(name string) uint64 { return h.metrics.GetOrCreateCounter(name).Get() }

// answer is the response that a caller received.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	reason  string
	outcome string
	err     error // of the connection
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	return id.String()
}

// send sends one request. The headers are alternating names and values.
func (h *harness) send(method, path string, body []byte, headers ...string) answer {
	req, err := http.NewRequest(method, h.url+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for k := 0; k+1 < len(headers); k += 2 {
		req.Header.Set(headers[k], headers[k+1])
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end
	a := answer{status: resp.StatusCode, header: resp.Header, outcome: resp.Header.Get("Hibiscusroute-Outcome")}
	if a.body, a.err = io.ReadAll(resp.Body); a.err != nil {
		return a
	}
	if a.outcome != "" {
		var r caller.Rejection
		if a.err = json.Unmarshal(a.body, &r); a.err == nil && r.Outcome != a.outcome {
			a.err = fmt.Errorf("outcome %q in the header, %q in the body", a.outcome, r.Outcome)
		}
		a.reason = r.Reason
	}
	return a
}

// runs returns how many times the endpoints ran each request.
func (h *harness) runs() map[string]int {
	all := map[string]int{}
	for _, e := range h.endpoints {
		for id, n := range e.Runs() {
			all[id] += n
		}
	}
	return all
}
