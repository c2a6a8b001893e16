package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/testr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/setting"
	"github.com/hibiscusroute/hibiscusroute/internal/standin"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// testNode is a running process and the function that stops it.
type testNode struct {
	*Node
	stop context.CancelFunc
	done chan error
}

func startNode(t testing.TB, p setting.Process, network *partition) *testNode {
	t.Helper()
	p.Caller, p.Endpoint, p.Operator = loopback, loopback, loopback
	if !p.Peer.IsValid() {
		p.Peer = loopback
	}
	p.AvailabilityZone, p.ShutdownWait = "zone-1", time.Millisecond
	log := logr.Discard()
	if testing.Verbose() {
		log = testr.NewWithInterface(t, testr.Options{Verbosity: 1}).WithName(p.Name)
	}
	n, err := New(Config{Process: &p, Dial: network.dial(p.Name), Log: log})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	tn := &testNode{Node: n, stop: cancel, done: make(chan error, 1)}
	go func() { tn.done <- n.Run(ctx) }()
	t.Cleanup(func() { tn.halt(t) })
	return tn
}

// halt stops the process gracefully and waits for its end.
func (n *testNode) halt(t testing.TB) {
	t.Helper()
	n.stop()
	select {
	case err := <-n.done:
		assert.NilError(t, err)
		n.done <- nil
	case <-time.After(30 * time.Second):
		t.Fatal("process did not stop")
	}
}

func (n *testNode) peerAddress() netip.AddrPort {
	return netip.MustParseAddrPort(n.transport.Address())
}

func (n *testNode) url(path string) string {
	return "http://" + n.listeners.caller.Addr().String() + path
}

func (n *testNode) operatorClient(t testing.TB) *operator.Client {
	t.Helper()
	c, err := operator.NewClient(operator.ClientConfig{Addresses: []string{n.listeners.operator.Addr().String()}})
	assert.NilError(t, err)
	return c
}

// eventually waits up to 20 s for a condition, which is enough for elections and leases.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	waitWithin(t, 20*time.Second, what, f)
}

func waitWithin(t testing.TB, limit time.Duration, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("waiting: %s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(20*time.Millisecond))
}

func (n *testNode) hasLease() bool { return n.follower.HasLease() }

// startGroup starts voters and entry processes and waits until each has a lease.
func startGroup(t testing.TB, network *partition, voters, entries int) []*testNode {
	t.Helper()
	var nodes []*testNode
	for i := range voters + entries {
		p := setting.Process{Name: fmt.Sprintf("node-%d", i+1), Voter: i < voters, Bootstrap: i == 0}
		if p.Voter {
			p.DataDirectory = t.TempDir() + "/data"
		}
		if i > 0 {
			p.Join = []netip.AddrPort{nodes[0].peerAddress()}
		}
		n := startNode(t, p, network)
		network.register(n)
		nodes = append(nodes, n)
		if i < voters {
			eventually(t, "voter joins", func() bool { return groupSize(nodes[0], i+1) })
		}
	}
	for _, n := range nodes {
		eventually(t, "lease", n.hasLease)
	}
	return nodes
}

func groupSize(n *testNode, want int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	list, err := n.listMembers(ctx)
	voters := 0
	for _, m := range list {
		if m.Role == "voter" && m.CaughtUp {
			voters++
		}
	}
	return err == nil && voters == want
}

func testConfiguration() *fleet.Configuration {
	c := &fleet.Configuration{
		Format: fleet.Format, Processes: 3,
		AvailabilityZones: []fleet.AvailabilityZone{{Name: "zone-1", Region: "region-1"}},
		Pools: []fleet.Pool{
			{Name: "spare", Spare: true, Budget: fleet.Budget{MaxUnavailable: 1}},
			{Name: "wash", Budget: fleet.Budget{MaxUnavailable: 1}},
		},
		Teams: []fleet.Team{{Name: "billing", Share: 1, UpperLimit: 8}},
		Queues: []fleet.Queue{{
			Name: "plates", Pool: "wash", Teams: []string{"billing"}, MaxRun: fleet.Duration(5 * time.Second),
			MaxWaiting: 100, MaxWait: fleet.Duration(2 * time.Second),
		}},
		Waves:   []fleet.Wave{},
		Weights: fleet.Weights{Buffer: 1, RollOut: 1, Moves: 1, Share: 1},
	}
	for i := range 2 {
		c.Instances = append(c.Instances, fleet.Instance{
			Name: fmt.Sprintf("worker-%d", i+1), AvailabilityZone: "zone-1", Rack: "rack-1", Pool: "wash",
			Processors: 16, MemoryMiB: 65536, Slots: 8, Connections: 64,
		})
	}
	return c
}

func submit(t testing.TB, n *testNode, c *fleet.Configuration, base uint64) operator.Accepted {
	t.Helper()
	doc, err := c.Print()
	assert.NilError(t, err)
	a, err := n.operatorClient(t).Submit(context.Background(), operator.Submission{
		OperationID: operator.NewOperationID(), BaseVersion: base, Document: doc, WaitInForce: true,
	})
	assert.NilError(t, err)
	return a
}

func grantKey(t testing.TB, n *testNode, team string) (id, presented string) {
	t.Helper()
	s, err := n.operatorClient(t).Grant(context.Background(), operator.NewOperationID(), team)
	assert.NilError(t, err)
	return s.ID(), s.String()
}

// startEndpoint runs a fake endpoint that announces itself to the process.
func startEndpoint(t testing.TB, n *testNode, instance string) *standin.Endpoint {
	t.Helper()
	srv := httptest.NewUnstartedServer(nil)
	e := standin.New(standin.Config{
		Instance: instance, Address: srv.Listener.Addr().String(),
		Behavior: standin.Behavior{Size: 64},
		Announce: []string{"http://" + n.listeners.endpoint.Addr().String() + "/announce"},
	})
	srv.Config.Handler = e
	srv.Start()
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	return e
}

type response struct {
	status  int
	outcome string
	body    string
}

func (n *testNode) request(t testing.TB, method, path, key, id string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, n.url(path), strings.NewReader("plate"))
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if id != "" {
		req.Header.Set("Hibiscusroute-Request-Id", id)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return response{resp.StatusCode, resp.Header.Get("Hibiscusroute-Outcome"), string(body)}
}

// Guards against a failure at any step from the configuration to the answer: submit a configuration, grant a key,
// announce an endpoint, send a request, revoke the key.
func TestRequestPathEndToEnd(t *testing.T) {
	nodes := startGroup(t, nil, 1, 1)
	a := submit(t, nodes[0], testConfiguration(), 0)
	assert.Equal(t, a.Version, uint64(1))
	assert.Assert(t, a.InForceMs != nil)
	id, key := grantKey(t, nodes[1], "billing")
	for _, n := range nodes {
		startEndpoint(t, n, "worker-1")
		eventually(t, "first answer", func() bool {
			r := n.request(t, http.MethodGet, "/queues/plates/print", key, "")
			return r.status == http.StatusOK && len(r.body) == 64
		})
		r := n.request(t, http.MethodGet, "/queues/plates/print", "", "")
		assert.Equal(t, r.status, http.StatusUnauthorized)
		assert.Equal(t, r.outcome, "not-run")
	}
	assert.NilError(t, nodes[0].operatorClient(t).Revoke(context.Background(), operator.NewOperationID(), id))
	for _, n := range nodes {
		eventually(t, "revoked key rejected", func() bool {
			return n.request(t, http.MethodGet, "/queues/plates/print", key, "").status == http.StatusUnauthorized
		})
	}
}
