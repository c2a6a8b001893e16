package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/node"
	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/setting"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

func init() {
	register(command{
		path: "demo", short: "Run the whole path in this process on loopback and print what happens",
		build: func(a *app) flags.Commander { return &demoCommand{app: a} },
	})
}

const demoTimeout = 30 * time.Second

type demoCommand struct {
	app *app

	node     *node.Node
	operator *operator.Client
}

// Execute runs a control group of one voter with a new data directory, a stand-in endpoint and a caller.
func (c *demoCommand) Execute([]string) error {
	dir, err := os.MkdirTemp("", "hibiscusroute-demo-")
	if err != nil {
		return errorx.Decorate(err, "create data directory")
	}
	defer func() { _ = os.RemoveAll(dir) }() // Leftover files are harmless.
	ctx, cancel := context.WithTimeout(c.app.ctx, demoTimeout)
	defer cancel()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	c.node, err = node.New(node.Config{
		Process: &setting.Process{
			Name: "demo", AvailabilityZone: "zone-1", Caller: loopback, Endpoint: loopback, Operator: loopback, Peer: loopback,
			Voter: true, Bootstrap: true, DataDirectory: filepath.Join(dir, "data"),
			ShutdownWait: 100 * time.Millisecond,
		},
		Log: logr.Discard(),
	})
	if err != nil {
		return err
	}
	run, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.node.Run(run) }()
	err = c.runSteps(ctx)
	stop()
	if rerr := <-done; err == nil {
		err = rerr
	}
	if err != nil {
		return err
	}
	return c.app.print("stopped gracefully\n")
}

func (c *demoCommand) runSteps(ctx context.Context) error {
	var err error
	if c.operator, err = operator.NewClient(operator.ClientConfig{
		Addresses: []string{c.node.OperatorAddress()},
	}); err != nil {
		return err
	}
	if err := c.submitConfiguration(ctx); err != nil {
		return err
	}
	secret, err := c.operator.Grant(ctx, operator.NewOperationID(), "field-crews")
	if err != nil {
		return err
	}
	if err := c.app.print("granted key %s to team field-crews\n", secret.ID()); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errorx.Decorate(err, "listen")
	}
	e := newStandin("worker-1", ln, []string{c.node.EndpointAddress()}, 64)
	endpointCtx, leave := context.WithCancel(ctx)
	left := make(chan error, 1)
	go func() { left <- serveStandin(endpointCtx, e, ln) }()
	if err := c.sendRequests(ctx, secret.String()); err != nil {
		leave()
		return err
	}
	if err := c.revokeKey(ctx, secret.ID(), secret.String()); err != nil {
		leave()
		return err
	}
	leave()
	if err := <-left; err != nil {
		return err
	}
	return c.app.print("endpoint of worker-1 announced that it leaves, and stopped\n")
}

func (c *demoCommand) submitConfiguration(ctx context.Context) error {
	doc, err := demoConfiguration().Print()
	if err != nil {
		return err
	}
	a, err := c.operator.Submit(ctx, operator.Submission{
		OperationID: operator.NewOperationID(), Document: doc, WaitInForce: true,
	})
	if err != nil {
		return err
	}
	if a.InForceMs == nil {
		return errorx.IllegalState.New("configuration is not known to be in force: %s", a.InForceError)
	}
	return c.app.print("configuration version %d accepted, in force everywhere after %d ms\n", a.Version, *a.InForceMs)
}

// sendRequests retries an idempotent request until the endpoint has announced itself, and then sends the same
// non-idempotent request twice.
func (c *demoCommand) sendRequests(ctx context.Context, key string) error {
	for {
		r, err := c.sendRequest(ctx, http.MethodGet, key, "")
		if err != nil {
			return err
		}
		if r.status == http.StatusOK {
			break
		}
		select {
		case <-ctx.Done():
			return errorx.TimeoutElapsed.New("no endpoint became usable; last answer: %s", r.body)
		case <-time.After(50 * time.Millisecond):
		}
	}
	if err := c.app.print("idempotent request answered by the endpoint\n"); err != nil {
		return err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return errorx.Decorate(err, "draw request identifier")
	}
	for _, want := range []int{http.StatusOK, http.StatusConflict} {
		r, err := c.sendRequest(ctx, http.MethodPost, key, id.String())
		for err == nil && r.status == http.StatusServiceUnavailable && r.outcome == "not-run" && ctx.Err() == nil {
			// The voters of a new group aren't ready to record claims yet. A request that was not run is safe to retry.
			time.Sleep(50 * time.Millisecond)
			r, err = c.sendRequest(ctx, http.MethodPost, key, id.String())
		}
		if err != nil {
			return err
		}
		if r.status != want {
			return errorx.IllegalState.New("request %s got status %d, want %d: %s", id, r.status, want, r.body)
		}
		if err := c.app.print("non-idempotent request %s: status %d, outcome %q\n", id, r.status, r.outcome); err != nil {
			return err
		}
	}
	return nil
}

func (c *demoCommand) revokeKey(ctx context.Context, id, key string) error {
	if err := c.operator.Revoke(ctx, operator.NewOperationID(), id); err != nil {
		return err
	}
	start := time.Now()
	for {
		r, err := c.sendRequest(ctx, http.MethodGet, key, "")
		if err != nil {
			return err
		}
		if r.status == http.StatusUnauthorized {
			return c.app.print("revoked key rejected after %d ms, outcome %q\n", time.Since(start).Milliseconds(), r.outcome)
		}
		if time.Since(start) > 5*time.Second {
			return errorx.IllegalState.New("the revoked key still works after 5 s")
		}
	}
}

type demoResponse struct {
	status        int
	outcome, body string
}

func (c *demoCommand) sendRequest(ctx context.Context, method, key, id string) (demoResponse, error) {
	url := "http://" + c.node.CallerAddress() + "/queues/plates/print"
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader("plate"))
	if err != nil {
		return demoResponse{}, errorx.Decorate(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		req.Header.Set("Hibiscusroute-Request-Id", id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return demoResponse{}, errorx.Decorate(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }() // The body was read or isn't needed.
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return demoResponse{}, errorx.Decorate(err, "read answer")
	}
	return demoResponse{resp.StatusCode, resp.Header.Get("Hibiscusroute-Outcome"), string(body)}, nil
}

func demoConfiguration() *fleet.Configuration {
	return &fleet.Configuration{
		Format: fleet.Format, Processes: 1,
		AvailabilityZones: []fleet.AvailabilityZone{{Name: "zone-1", Region: "region-1"}},
		Pools: []fleet.Pool{
			{Name: "spare", Spare: true, Budget: fleet.Budget{MaxUnavailable: 1}},
			{Name: "etching", Budget: fleet.Budget{MaxUnavailable: 1}},
		},
		Instances: []fleet.Instance{{
			Name: "worker-1", AvailabilityZone: "zone-1", Rack: "rack-1", Pool: "etching",
			Processors: 16, MemoryMiB: 65536, Slots: 8, Connections: 64,
		}},
		Teams: []fleet.Team{{Name: "field-crews", Share: 1, UpperLimit: 8}},
		Queues: []fleet.Queue{{
			Name: "plates", Pool: "etching", Teams: []string{"field-crews"}, MaxRun: fleet.Duration(5 * time.Second),
			MaxWaiting: 100, MaxWait: fleet.Duration(2 * time.Second),
		}},
		Waves:   []fleet.Wave{},
		Weights: fleet.Weights{Buffer: 1, RollOut: 1, Moves: 1, Share: 1},
	}
}
