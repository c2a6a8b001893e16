package node

import (
	"context"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/platform"
)

// observeTimeout bounds the wait for the control loop. A lost report is read again by the next poll of the platform.
const observeTimeout = time.Second

// platformDriver runs the driver of the platform while this process leads the control group.
type platformDriver struct {
	n              *Node
	leadingChanges chan bool
	actions        chan []kernel.Action
}

func newPlatformDriver(n *Node) *platformDriver {
	return &platformDriver{n: n, leadingChanges: make(chan bool, 16), actions: make(chan []kernel.Action, 64)}
}

// setLeading is called by the control loop when it starts or stops leading.
func (d *platformDriver) setLeading(leading bool) {
	select {
	case d.leadingChanges <- leading:
	default: // dropped: the channel already holds many unread changes
	}
}

// enqueueActions is called by the control loop. It drops the actions when the channel is full; the kernel issues them
// again.
func (d *platformDriver) enqueueActions(actions []kernel.Action) {
	select {
	case d.actions <- actions:
	default:
	}
}

func (d *platformDriver) run(ctx context.Context) error {
	client := platform.NewClient(platform.ClientConfig{Address: d.n.cfg.Process.Platform.String()})
	var driver *platform.Driver
	stop := func() {}
	defer func() { stop() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case leading := <-d.leadingChanges:
			stop()
			driver, stop = nil, func() {}
			if leading {
				driver, stop = d.start(ctx, client)
			}
		case actions := <-d.actions:
			if driver == nil {
				continue
			}
			for _, a := range actions {
				driver.Enqueue(a)
			}
		}
	}
}

func (d *platformDriver) start(ctx context.Context, client *platform.Client) (*platform.Driver, func()) {
	ctx, cancel := context.WithCancel(ctx)
	driver := platform.NewDriver(platform.DriverConfig{
		Client: client, Log: d.n.cfg.Log,
		Observe: func(ev kernel.Event) {
			octx, done := context.WithTimeout(ctx, observeTimeout)
			defer done()
			if err := d.n.voter.Observe(octx, ev); err != nil {
				d.n.cfg.Log.V(1).Info("failed to pass a platform report to the control loop", "reason", err.Error())
			}
		},
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		driver.Run(ctx)
	}()
	return driver, func() {
		cancel()
		<-stopped
	}
}
