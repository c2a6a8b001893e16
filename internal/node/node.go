package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/claim"
	"github.com/hibiscusroute/hibiscusroute/internal/control"
	"github.com/hibiscusroute/hibiscusroute/internal/disk"
	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/follower"
	"github.com/hibiscusroute/hibiscusroute/internal/inbound"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
	"github.com/hibiscusroute/hibiscusroute/internal/setting"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

const (
	// headerTimeout bounds the time for which a slow or faulty client can occupy a connection.
	headerTimeout = 5 * time.Second
	// connectionShare is the share of the process's file descriptors that incoming connections may use; as many are kept
	// for connections to endpoints.
	connectionShare = 0.5
	// defaultInboundBytes limits what clients send if the memory of the process is not limited.
	defaultInboundBytes = 64 << 20
	// idleTimeout exceeds the keep-alive time of common load balancers, so that they close idle connections first.
	idleTimeout = 2 * time.Minute
	// joinInterval is the time between requests to become a voter. The leader changes nothing if the process is one
	// already.
	joinInterval = time.Second
	// handoverTimeout bounds the wait until the membership has ended and another voter leads.
	handoverTimeout = 2 * time.Second
	// failureTimeout bounds the shutdown after a component failed.
	failureTimeout = 30 * time.Second
)

// Config holds the settings of a process.
type Config struct {
	Process *setting.Process
	// Dial connects to a peer; nil uses a net.Dialer. Tests set it to simulate network partitions.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  logr.Logger
}

// Node is one process.
type Node struct {
	cfg       Config
	metrics   *metrics.Set
	inbound   *inbound.Gate
	listeners listeners
	transport *peer.Transport
	store     *disk.Store
	keeper    *claim.Keeper
	claims    *claim.Client
	voter     *control.Voter
	client    *follower.Client
	follower  *follower.Follower
	registry  *endpoint.Registry
	caller    *caller.Server
	operator  *operator.Server
	exchange  *exchange
	platform  *platformDriver
	timeline  *timeline.Recorder
	// requests records the events of requests in a separate buffer, so that a burst of rejections doesn't overwrite the
	// events of the control plane.
	requests *timeline.Recorder
}

type listeners struct{ caller, endpoint, operator, peer net.Listener }

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.caller, l.endpoint, l.operator, l.peer} {
		if ln != nil {
			_ = ln.Close() // an error has no effect on the shutdown
		}
	}
}

// New opens the listeners and the data directory of a process.
func New(cfg Config) (*Node, error) {
	n := &Node{cfg: cfg, metrics: metrics.NewSet()}
	events := timeline.Config{
		Process: cfg.Process.Name, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36), Now: time.Now,
	}
	n.inbound = n.newGate()
	n.timeline = timeline.New(events)
	events.Incarnation += ".requests"
	n.requests = timeline.New(events)
	if err := n.build(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) build() error {
	if err := n.listen(); err != nil {
		return err
	}
	if err := n.buildControl(); err != nil {
		return err
	}
	n.buildTraffic()
	n.registerMetrics()
	return n.buildOperator()
}

func (n *Node) close() {
	n.listeners.close()
	if n.keeper != nil {
		n.keeper.Close()
	}
	if n.store != nil {
		if err := n.store.Close(); err != nil {
			n.cfg.Log.Error(err, "failed to close the data directory")
		}
	}
}

func (n *Node) listen() error {
	p := n.cfg.Process
	var err error
	if n.listeners.peer, err = net.Listen("tcp", p.Peer.String()); err != nil {
		return errorx.Decorate(err, "listen on %s", p.Peer)
	}
	for _, l := range []struct {
		address string
		waiting int
		to      *net.Listener
	}{
		{p.Caller.String(), 0, &n.listeners.caller},
		{p.Endpoint.String(), 0, &n.listeners.endpoint},
		{p.Operator.String(), inbound.ProbeConnections, &n.listeners.operator},
	} {
		ln, err := n.inbound.Listen(l.address, l.waiting)
		if err != nil {
			return err
		}
		*l.to = ln
	}
	return nil
}

func (n *Node) buildControl() error {
	p := n.cfg.Process
	var err error
	n.transport, err = peer.New(peer.Config{
		Name: p.Name, Listener: n.listeners.peer, TLS: p.TLS, Dial: n.cfg.Dial,
		Timestamp: n.timeline.Stamp, ObserveTimestamp: n.timeline.Observe, Log: n.cfg.Log,
	})
	if err != nil {
		return err
	}
	address := n.transport.Address()
	var voters []string
	for _, a := range p.Join {
		voters = append(voters, a.String())
	}
	if p.Voter {
		voters = append([]string{address}, voters...)
		if n.store, err = disk.Open(disk.Config{Dir: p.DataDirectory, Log: n.cfg.Log}); err != nil {
			return err
		}
		persisted, err := n.store.Load()
		if err != nil {
			return err
		}
		if err := n.openKeeper(persisted.Snapshot == nil); err != nil {
			return err
		}
		n.voter, err = control.New(control.Config{
			Name: p.Name, PeerAddress: address, AvailabilityZone: p.AvailabilityZone, Store: n.store,
			Persisted: persisted, Transport: n.transport, Bootstrap: p.Bootstrap, Record: n.timeline.Record, Log: n.cfg.Log,
			RunActions: n.enqueueActions, LeadershipChanged: n.setLeading,
			Violation: n.countViolation,
		})
		if err != nil {
			return err
		}
	}
	if n.voter != nil && p.Platform != nil {
		n.platform = newPlatformDriver(n)
	}
	n.client = follower.NewClient(follower.ClientConfig{Voters: voters, Call: n.transport.Call})
	n.follower, err = follower.New(follower.Config{
		Name: p.Name, PeerAddress: address, AvailabilityZone: p.AvailabilityZone, Client: n.client,
		OpenStream: n.transport.Open, RecordEvent: n.timeline.Record, OnViolation: n.countViolation, Log: n.cfg.Log,
	})
	return err
}

func (n *Node) countViolation(plugin string, _ error) {
	n.metrics.GetOrCreateCounter(`hibiscusroute_invariant_violations_total{plugin="` + plugin + `"}`).Inc()
}

func (n *Node) enqueueActions(actions []kernel.Action) {
	if n.platform != nil {
		n.platform.enqueueActions(actions)
	}
}

func (n *Node) setLeading(leading bool) {
	if n.platform != nil {
		n.platform.setLeading(leading)
	}
}

// Run serves until ctx is done and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	var group sync.WaitGroup
	defer group.Wait()
	// The components outlive ctx, because running requests need them until they have ended.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 8)
	startComponent := func(name string, f func(context.Context) error) {
		group.Go(func() {
			if err := f(componentsCtx); err != nil {
				failed <- errorx.Decorate(err, "%s", name)
			}
		})
	}
	startComponent("peer transport", n.transport.Serve)
	if n.voter != nil {
		startComponent("control loop", n.voter.Run)
		startComponent("join of the control group", n.joinGroup)
		startComponent("at-most-once record", n.runClaimKeeper)
	}
	startComponent("follower", n.follower.Run)
	startComponent("operator API", func(ctx context.Context) error { return n.operator.Serve(ctx, n.listeners.operator) })
	startComponent("exchange of announcements", n.exchange.run)
	startComponent("batches of announcements", func(ctx context.Context) error {
		n.registry.Run(ctx)
		return nil
	})
	if n.platform != nil {
		startComponent("platform driver", n.platform.run)
	}
	endpoints := n.httpServer(n.registry)
	startComponent("caller listener", func(context.Context) error { return n.caller.Serve(n.listeners.caller) })
	startComponent("endpoint listener", serveOn(endpoints, n.inbound.Listener(n.listeners.endpoint)))
	n.cfg.Log.Info("process started", "name", n.cfg.Process.Name, "caller", n.listeners.caller.Addr().String())
	select {
	case err := <-failed:
		// Running requests may still succeed without the failed component, for example the data directory.
		n.cfg.Log.Error(err, "a component of the process failed; shutting down")
		sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), failureTimeout)
		defer cancel()
		return errors.Join(err, n.shutdown(sctx, endpoints))
	case <-ctx.Done():
	}
	return n.shutdown(context.WithoutCancel(ctx), endpoints)
}

func (n *Node) httpServer(h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.inbound.Protect(srv, inbound.DefaultBodyTimeout)
	return srv
}

// newGate returns the limits for the listeners for callers, endpoints and operators.
func (n *Node) newGate() *inbound.Gate {
	p := n.cfg.Process
	l := inbound.NewLimits(p.MemoryMiB, inbound.Descriptors(p.Descriptors), connectionShare)
	if l.Bytes == 0 {
		l.Bytes = defaultInboundBytes
	}
	return inbound.New(inbound.Config{Limits: l, Metrics: n.metrics, Log: n.cfg.Log})
}

func serveOn(srv *http.Server, ln net.Listener) func(context.Context) error {
	return func(context.Context) error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// joinGroup asks the leader to make this process a voter until it is one.
func (n *Node) joinGroup(ctx context.Context) error {
	m := &raftpb.Member{
		Id: n.store.Identity(), Name: n.cfg.Process.Name, Address: n.transport.Address(),
		AvailabilityZone: n.cfg.Process.AvailabilityZone,
	}
	for {
		tctx, cancel := context.WithTimeout(ctx, joinInterval)
		voter, err := n.client.AddVoter(tctx, m)
		cancel()
		if err == nil && voter {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinInterval):
		}
	}
}

// shutdown drains the requests of callers first, because they need the quota and the lease of this process. Then it
// ends the membership, which releases what the process holds, and finally hands over leadership.
func (n *Node) shutdown(ctx context.Context, endpoints *http.Server) error {
	n.cfg.Log.Info("shutting down; the readiness check fails from now on")
	if err := n.caller.Stop(ctx); err != nil {
		n.cfg.Log.Error(err, "failed to stop the caller listener")
	}
	hctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := n.follower.Leave(hctx); err != nil {
		n.cfg.Log.Info("failed to leave; the membership ends when its lease expires", "reason", err.Error())
	}
	if err := endpoints.Shutdown(hctx); err != nil {
		n.cfg.Log.Error(err, "failed to close the endpoint listener")
	}
	if n.voter != nil {
		n.handOver(hctx)
	}
	return nil
}

// handOver transfers leadership and waits until this voter no longer leads, so that no command has to wait for an
// election timeout.
func (n *Node) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.voter.TransferLeadership(ctx); err != nil {
			return
		}
		if !n.voter.Leading() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() string { return n.listeners.caller.Addr().String() }

// EndpointAddress returns the address of the listener for announcements of endpoints.
func (n *Node) EndpointAddress() string { return n.listeners.endpoint.Addr().String() }

// OperatorAddress returns the address of the listener for operators.
func (n *Node) OperatorAddress() string { return n.listeners.operator.Addr().String() }

// PeerAddress returns the address at which other processes reach this one.
func (n *Node) PeerAddress() string { return n.transport.Address() }
