package site

import (
	"cmp"
	"context"
	"net"
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
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

const (
	// joinInterval is the time between requests to be a voter; the leader answers without a change if there is nothing
	// to do.
	joinInterval = time.Second
	// voterCheckInterval is the time between looks of a voter whether it still is one.
	voterCheckInterval = 5 * time.Second
	// defaultRemoveLostAfter is the default of RemoveLost. A machine that restarts is back sooner, and one that is replaced must be
	// gone before the next may be lost.
	defaultRemoveLostAfter = 8 * time.Second
	// transferTimeout bounds the wait until another voter leads before a process ends.
	transferTimeout = 1500 * time.Millisecond
	// segmentBytes is the size of a log segment; a few of them fit on the small disks of control machines.
	segmentBytes = 4 << 20
)

// ControlConfig holds the settings of a control process.
type ControlConfig struct {
	Name string
	// PeerAddress is where other processes reach this one.
	PeerAddress string
	// Zone is the availability zone.
	Zone string
	// Seeds are the peer addresses of control processes from the settings.
	Seeds []string
	// RemoveLostAfter is after how long a control process that is not heard is no longer a voter; 0 is 8 s.
	RemoveLostAfter time.Duration
	// Bootstrap is set at the first start of the whole installation.
	Bootstrap     bool
	DataDirectory string
	Port          dispatch.Port
	Workload      workload.Config
	Log           logr.Logger
}

// Control is a control process.
type Control struct {
	Caller
	cfg       ControlConfig
	transport *peer.Transport
	store     *disk.Store
	voter     *control.Voter
}

// NewControl opens the data directory and the peer listener.
func NewControl(cfg ControlConfig) (*Control, error) {
	c := &Control{cfg: cfg}
	ln, err := net.Listen("tcp", cfg.PeerAddress)
	if err != nil {
		return nil, errorx.Decorate(err, "listen on %s", cfg.PeerAddress)
	}
	if err := c.open(ln); err != nil {
		_ = ln.Close() // The first error says more.
		return nil, err
	}
	return c, nil
}

func (c *Control) open(ln net.Listener) error {
	cfg := c.cfg
	founder := cfg.Bootstrap && slices.Contains(cfg.Seeds, cfg.PeerAddress)
	store := disk.Config{Dir: filepath.Join(cfg.DataDirectory, "group"), SegmentBytes: segmentBytes, Log: cfg.Log}
	if founder {
		store.NewIdentity = func() (string, error) { return control.FounderIdentity(cfg.PeerAddress), nil }
	}
	var err error
	if c.store, err = disk.Open(store); err != nil {
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
	var orders *dispatch.Dispatcher
	voter := control.Config{
		Name: cfg.PeerAddress, PeerAddress: cfg.PeerAddress, AvailabilityZone: cfg.Zone, Store: c.store, Persisted: persisted,
		Transport: c.transport, Bootstrap: founder, RemoveLostAfter: cmp.Or(cfg.RemoveLostAfter, defaultRemoveLostAfter), Record: events.Record,
		Log:               cfg.Log,
		RunActions:        func(actions []kernel.Action) { orders.Execute(actions) },
		LeadershipChanged: func(leading bool) { orders.SetLeading(leading) },
		Setup:             c.configureWorkload,
	}
	if founder {
		voter.Founders = cfg.Seeds
	}
	if c.voter, err = control.New(voter); err != nil {
		return err
	}
	orders = dispatch.New(dispatch.Config{
		Port: cfg.Port, Observe: c.voter.Observe, Now: c.voter.Now, QuorumConfirmed: c.voter.QuorumConfirmed,
		LeaderLease: control.LeaderLease, Log: cfg.Log,
	})
	c.Caller = newCaller(c.transport, append([]string{cfg.PeerAddress}, cfg.Seeds...))
	return nil
}

func (c *Control) configureWorkload(k *kernel.Kernel) {
	if e, ok := kernel.Lookup[*workload.Engine](k, workload.Name); ok {
		e.Configure(c.cfg.Workload)
	}
}

// CountVoters returns the number of voters as this process knows it.
func (c *Control) CountVoters(ctx context.Context) (int, error) {
	st, err := c.voter.Status(ctx)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, v := range st.Voters {
		if v.Member.Voter {
			n++
		}
	}
	return n, nil
}

// Leading reports whether this process leads as far as it knows.
func (c *Control) Leading() bool { return c.voter.Leading() }

// Run serves until ctx is done, then passes leadership on and ends.
func (c *Control) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 2)
	go func() { failed <- c.transport.Serve(serveCtx) }()
	go func() { failed <- c.voter.Run(serveCtx) }()
	go c.joinVoters(serveCtx)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	transferCtx, cancel := context.WithTimeout(serveCtx, transferTimeout)
	defer cancel()
	c.transferLeadership(transferCtx)
	return nil
}

// joinVoters asks the leader for as long as the process runs: a voter that seemed lost may have been removed.
func (c *Control) joinVoters(ctx context.Context) {
	m := &raftpb.Member{
		Id: c.store.Identity(), Name: c.cfg.PeerAddress, Address: c.cfg.PeerAddress, AvailabilityZone: c.cfg.Zone,
	}
	for {
		pause := joinInterval
		tctx, cancel := context.WithTimeout(ctx, joinInterval)
		voter, err := c.client.AddVoter(tctx, m)
		cancel()
		if err == nil && voter {
			pause = voterCheckInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

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
