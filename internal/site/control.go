package site

import (
	"cmp"
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/control"
	"github.com/hibiscusroute/hibiscusroute/internal/disk"
	"github.com/hibiscusroute/hibiscusroute/internal/dispatch"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
	"github.com/hibiscusroute/hibiscusroute/internal/relay"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

const (
	// joinInterval is the time between requests to become a voter. Repeated requests have no effect.
	joinInterval = time.Second
	// defaultRemoveLostAfter is the default of ControlConfig.RemoveLostAfter. It is longer than an election takes, and
	// short enough that a replaced machine is removed before the next one may fail.
	defaultRemoveLostAfter = time.Second
	// transferTimeout limits the time to transfer the leadership and to leave the group before the process exits.
	transferTimeout = 1500 * time.Millisecond
	// leaveInterval is the time between requests to leave the group before the process exits. It is the interval at which
	// the voter updates what it knows about the group.
	leaveInterval = 100 * time.Millisecond
	// segmentBytes is the size of a log segment; the small disks of control processes have room for a few of them.
	segmentBytes = 4 << 20
)

// ControlConfig holds the settings of a control process.
type ControlConfig struct {
	Name string
	// PeerAddress is the address on which the process listens for other processes.
	PeerAddress string
	// Zone is the availability zone.
	Zone string
	// Seeds are the peer addresses of control processes from the settings.
	Seeds []string
	// RemoveLostAfter is the time without contact after which a control process that has a replacement is removed from the
	// voters; 0 means 1 s.
	RemoveLostAfter time.Duration
	// ToleratedLosses is the number of control processes whose loss the deployment must tolerate; 0 if that is
	// unknown.
	ToleratedLosses int
	// Bootstrap is set at the first start of the whole deployment.
	Bootstrap     bool
	DataDirectory string
	// Sync makes a file or a directory durable; nil uses the operating system.
	Sync     func(f *os.File) error
	Port     dispatch.Port
	Workload workload.Config
	// ObserveHistogram adds a value to a histogram. It may be nil.
	ObserveHistogram func(name string, v float64)
	Log              logr.Logger
}

// Control is a control process, which is a voter and may be the leader.
type Control struct {
	Caller
	cfg       ControlConfig
	transport *peer.Transport
	store     *disk.Store
	voter     *control.Voter
}

// NewControl returns a control process whose data directory and peer listener are open.
func NewControl(cfg ControlConfig) (*Control, error) {
	c := &Control{cfg: cfg}
	ln, err := net.Listen("tcp", cfg.PeerAddress)
	if err != nil {
		return nil, errorx.Decorate(err, "listen on %s", cfg.PeerAddress)
	}
	if err := c.open(ln); err != nil {
		_ = ln.Close() // The first error is the one to report.
		return nil, err
	}
	return c, nil
}

// open opens the data directory and connects the voter, the transport and the dispatcher.
func (c *Control) open(ln net.Listener) error {
	cfg := c.cfg
	founder := cfg.Bootstrap && slices.Contains(cfg.Seeds, cfg.PeerAddress)
	storeConfig := disk.Config{
		Dir: filepath.Join(cfg.DataDirectory, "group"), SegmentBytes: segmentBytes, Sync: cfg.Sync, Log: cfg.Log,
	}
	if founder {
		storeConfig.NewIdentity = func() (string, error) { return control.FounderIdentity(cfg.PeerAddress), nil }
	}
	var err error
	if c.store, err = disk.Open(storeConfig); err != nil {
		return err
	}
	persisted, err := c.store.Load()
	if err != nil {
		return err
	}
	events := timeline.New(timeline.Config{
		Process: cfg.Name, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36), Now: time.Now,
	})
	c.transport, err = peer.New(peer.Config{
		Name: cfg.Name, Listener: ln, Timestamp: events.Stamp, ObserveTimestamp: events.Observe, Log: cfg.Log,
	})
	if err != nil {
		return err
	}
	c.transport.Handle(relay.StreamKind, relay.NewServer(relay.ServerConfig{
		CallWorker: cfg.Port.CallWorker, Term: func() uint64 { return c.voter.Term() }, BootTime: control.BootTime,
		Log: cfg.Log,
	}).Serve)
	var dispatcher *dispatch.Dispatcher
	voterConfig := control.Config{
		Name: cfg.PeerAddress, PeerAddress: cfg.PeerAddress, AvailabilityZone: cfg.Zone, Store: c.store, Persisted: persisted,
		Transport: c.transport, Bootstrap: founder,
		RemoveLostAfter: cmp.Or(cfg.RemoveLostAfter, defaultRemoveLostAfter), ToleratedLosses: cfg.ToleratedLosses,
		Record: events.Record, ObserveHistogram: cfg.ObserveHistogram, Log: cfg.Log,
		RunActions:        func(actions []kernel.Action) { dispatcher.Execute(actions) },
		LeadershipChanged: func(leading bool) { dispatcher.SetLeading(leading) },
		Setup:             c.configureWorkload,
	}
	if founder {
		voterConfig.Founders = cfg.Seeds
	}
	if c.voter, err = control.New(voterConfig); err != nil {
		return err
	}
	dispatcher = dispatch.New(dispatch.Config{
		Port: cfg.Port, Observe: c.voter.Observe, Route: c.newRouter().Route, Now: c.voter.Now, QuorumConfirmed: c.voter.QuorumConfirmed,
		ConfirmationAge: c.voter.ConfirmationAge, LeaderLease: control.LeaderLease, Log: cfg.Log,
	})
	c.Caller = newCaller(c.transport, append([]string{cfg.PeerAddress}, cfg.Seeds...), 0)
	c.transport.Handle(control.ForwardKind, peer.UnaryHandler(c.transport, c.serveForward))
	return nil
}

// newRouter returns the router that hands requests to workers over to the other voters.
func (c *Control) newRouter() *relay.Router {
	return relay.NewRouter(relay.RouterConfig{
		Open: func(ctx context.Context, address string) (*peer.Stream, error) {
			return c.transport.Open(ctx, address, relay.StreamKind)
		},
		Relays: c.voter.AnsweringVoters, Term: c.voter.Term, ConfirmationAge: c.voter.ConfirmationAge, Now: c.voter.Now, Log: c.cfg.Log,
		Observe: func(ctx context.Context, events []kernel.Event) {
			if err := c.voter.Observe(ctx, events...); err != nil {
				c.cfg.Log.Info("control loop did not accept results of relays", "results", len(events), "reason", err.Error())
			}
		},
	})
}

// configureWorkload passes the settings to the workload engine of a kernel.
func (c *Control) configureWorkload(k *kernel.Kernel) {
	if e, ok := kernel.Lookup[*workload.Engine](k, workload.Name); ok {
		e.Configure(c.cfg.Workload)
	}
}

// Group returns what this process knows about the control group.
func (c *Control) Group() control.GroupStatus { return c.voter.Group() }

// Leading reports whether this process is the leader, as far as it knows.
func (c *Control) Leading() bool { return c.voter.Leading() }

// Run serves until ctx is done. Then it transfers the leadership to another voter, and leaves the group if that has more
// voters than it needs.
func (c *Control) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 2)
	go func() { failed <- c.transport.Serve(serveCtx) }()
	go func() { failed <- c.voter.Run(serveCtx) }()
	go c.joinVoters(ctx)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	transferCtx, cancel := context.WithTimeout(serveCtx, transferTimeout)
	defer cancel()
	c.transferLeadership(transferCtx)
	c.leaveGroup(transferCtx)
	return nil
}

// leaveGroup asks the leader to remove this voter while the group has more voters than it needs, as beside its replacement.
// Otherwise the voter would count for the quorum until the leader has missed it.
func (c *Control) leaveGroup(ctx context.Context) {
	for ctx.Err() == nil && c.voter.Group().Surplus {
		if err := c.client.LeaveGroup(ctx, c.store.Identity()); err != nil {
			c.cfg.Log.Info("failed to leave the control group; repeating it", "reason", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaveInterval):
		}
	}
}

// joinVoters asks the leader to make this process a voter. It repeats this until ctx is done, since the leader removes
// voters that it loses contact with.
func (c *Control) joinVoters(ctx context.Context) {
	member := &raftpb.Member{
		Id: c.store.Identity(), Name: c.cfg.PeerAddress, Address: c.cfg.PeerAddress, AvailabilityZone: c.cfg.Zone,
	}
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, joinInterval)
		if _, err := c.client.AddVoter(attemptCtx, member); err != nil {
			c.cfg.Log.Info("no leader answered the request to become a voter; repeating it", "reason", err.Error(),
				"known", c.client.Voters())
		}
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
	}
}

// transferLeadership requests the transfer of the leadership until this process doesn't lead any more.
func (c *Control) transferLeadership(ctx context.Context) {
	for ctx.Err() == nil && c.voter.Leading() {
		if err := c.voter.TransferLeadership(ctx); err != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}
