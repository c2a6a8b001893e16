package platform

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
)

// DriverConfig holds the settings of a driver.
type DriverConfig struct {
	Client *Client
	// Observe hands an event to the control loop; it may block for a short time.
	Observe func(ev kernel.Event)
	// Parallel bounds the calls at once; 0 is 16.
	Parallel int
	// Waiting bounds the actions that wait for a call; further ones are dropped, since the kernel issues them again.
	// 0 is 1,024.
	Waiting int
	// Poll is the interval at which instances and usage are read; 0 is 2 s.
	Poll time.Duration
	Log  logr.Logger
}

// fullEvery is the number of polls after which unchanged instances are reported too.
const fullEvery = 15

// Driver runs actions of the leader. Each action may be issued again at any time; one that is still waiting or running
// is not run a second time in parallel.
type Driver struct {
	cfg   DriverConfig
	queue chan kernel.Action

	mu     sync.Mutex
	active map[string]bool
	known  map[string]pool.InstanceReport
	polls  int
}

// NewDriver returns a driver; Run must be called to make it work.
func NewDriver(cfg DriverConfig) *Driver {
	if cfg.Parallel == 0 {
		cfg.Parallel = 16
	}
	if cfg.Waiting == 0 {
		cfg.Waiting = 1024
	}
	if cfg.Poll == 0 {
		cfg.Poll = 2 * time.Second
	}
	return &Driver{
		cfg: cfg, queue: make(chan kernel.Action, cfg.Waiting),
		active: map[string]bool{}, known: map[string]pool.InstanceReport{},
	}
}

// Run works until the context ends, that is as long as this process leads.
func (d *Driver) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range d.cfg.Parallel {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case a := <-d.queue:
					d.run(ctx, a)
					d.release(a)
				}
			}
		})
	}
	wg.Go(func() {
		t := time.NewTicker(d.cfg.Poll)
		defer t.Stop()
		for {
			d.Poll(ctx)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
	wg.Wait()
}

// Do accepts an action without blocking and reports whether it did; it ignores actions of other drivers.
func (d *Driver) Do(a kernel.Action) bool {
	id, ok := identity(a)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[id] {
		return true
	}
	select {
	case d.queue <- a:
		d.active[id] = true
		return true
	default:
		d.cfg.Log.V(1).Info("too many actions wait for the platform; action dropped until it is issued again", "action", id)
		return false
	}
}

func (d *Driver) release(a kernel.Action) {
	id, _ := identity(a)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, id)
}

// identity names an action; two with the same name have the same effect.
func identity(a kernel.Action) (string, bool) {
	var of string
	switch a := a.(type) {
	case job.StartTask:
		of = fmt.Sprintf("%s %d", a.Job, a.Epoch)
	case job.CheckpointTask:
		of = fmt.Sprintf("%s %d", a.Job, a.Epoch)
	case job.ThrottleTask:
		of = fmt.Sprintf("%s %d %t", a.Job, a.Epoch, a.On)
	case job.StopTask:
		of = fmt.Sprintf("%s %d", a.Job, a.Epoch)
	case job.WatchTasks:
	case pool.DrainInstance:
		of = fmt.Sprintf("%s %d", a.Instance, a.Epoch)
	case pool.RebootInstance:
		of = fmt.Sprintf("%s %d", a.Instance, a.Epoch)
	case pool.ResumeInstance:
		of = fmt.Sprintf("%s %d", a.Instance, a.Epoch)
	default:
		return "", false
	}
	return a.ActionName() + " " + of, true
}

func (d *Driver) run(ctx context.Context, a kernel.Action) {
	c := d.cfg.Client
	switch a := a.(type) {
	case job.StartTask:
		t, err := c.Start(ctx, StartRequest{
			Job: a.Job, Epoch: a.Epoch, Instance: a.Instance, InstanceEpoch: a.InstanceEpoch,
			MilliProcessors: a.Limits.MilliProcessors, MemoryMiB: a.Limits.MemoryMiB, Accelerators: a.Limits.Accelerators,
			Payload: a.Payload, FromCheckpoint: a.Checkpoint,
		})
		if errorx.IsOfType(err, ErrRefused) {
			t, err = Task{State: Refused, Reason: errorx.Cast(err).Message()}, nil
		}
		d.report(a.ActionName(), a.Job, a.Epoch, t, err)
	case job.CheckpointTask:
		t, err := c.Checkpoint(ctx, TaskRequest{Job: a.Job, Epoch: a.Epoch})
		d.report(a.ActionName(), a.Job, a.Epoch, t, err)
	case job.ThrottleTask:
		t, err := c.Throttle(ctx, TaskRequest{Job: a.Job, Epoch: a.Epoch, On: a.On})
		d.report(a.ActionName(), a.Job, a.Epoch, t, err)
	case job.StopTask:
		t, err := c.Stop(ctx, TaskRequest{Job: a.Job, Epoch: a.Epoch})
		if errorx.IsOfType(err, ErrRefused) {
			t, err = Task{State: Stopped, Reason: "superseded by a newer start"}, nil
		}
		d.report(a.ActionName(), a.Job, a.Epoch, t, err)
	case job.WatchTasks:
		d.watch(ctx, a)
	case pool.DrainInstance:
		_, err := c.Drain(ctx, InstanceRequest(a))
		d.failure(a.ActionName(), err)
	case pool.RebootInstance:
		_, err := c.Reboot(ctx, InstanceRequest(a))
		d.failure(a.ActionName(), err)
	case pool.ResumeInstance:
		_, err := c.Resume(ctx, InstanceRequest(a))
		d.failure(a.ActionName(), err)
	}
}

func (d *Driver) failure(action string, err error) {
	if err != nil {
		d.cfg.Log.V(1).Info("call of platform failed", "action", action, "error", err.Error())
	}
}

// report turns the answer about a task into an event. Without an answer nothing is known, and the kernel issues the
// action again.
func (d *Driver) report(action, name string, epoch uint64, t Task, err error) {
	ev := job.TaskReport{Job: name, Epoch: epoch, Throttled: t.Throttled, Reason: t.Reason}
	switch {
	case errorx.IsOfType(err, ErrNotFound):
		ev.Outcome = jobpb.Outcome_OUTCOME_UNKNOWN
	case err != nil:
		d.failure(action, err)
		return
	default:
		ev.Outcome = outcome(t.State)
	}
	d.cfg.Observe(ev)
}

// watch reports every task that the kernel asked for and every running one, so that those given up are stopped.
func (d *Driver) watch(ctx context.Context, a job.WatchTasks) {
	list, err := d.cfg.Client.Tasks(ctx)
	if err != nil {
		d.failure(a.ActionName(), err)
		return
	}
	found := make(map[job.TaskRef]Task, len(list.Tasks))
	for _, t := range list.Tasks {
		found[job.TaskRef{Job: t.Job, Epoch: t.Epoch}] = t
	}
	for _, ref := range a.Tasks {
		t := found[ref] // without a state when the platform doesn't know the task
		delete(found, ref)
		d.report(a.ActionName(), ref.Job, ref.Epoch, t, nil)
	}
	for ref, t := range found {
		if t.State == Running {
			d.report(a.ActionName(), ref.Job, ref.Epoch, t, nil)
		}
	}
}

// Poll reads instances and usage once. Unchanged instances are reported on the first and on each 15th poll only.
func (d *Driver) Poll(ctx context.Context) {
	if list, err := d.cfg.Client.Instances(ctx); err != nil {
		d.failure("list-instances", err)
	} else if reports := d.changed(list); len(reports) > 0 {
		d.cfg.Observe(reports)
	}
	usage, err := d.cfg.Client.Usage(ctx)
	if err != nil {
		d.failure("usage", err)
		return
	}
	for _, u := range usage.Samples {
		d.cfg.Observe(job.UsageReport{
			Job: u.Job, Epoch: u.Epoch, Ran: time.Duration(u.RanMs) * time.Millisecond,
			Used: placement.Resources{
				MilliProcessors: u.MilliProcessors, MemoryMiB: u.MemoryMiB, Accelerators: u.Accelerators, Slots: 1,
			},
		})
	}
}

func (d *Driver) changed(list Instances) pool.InstanceReports {
	d.mu.Lock()
	defer d.mu.Unlock()
	full := d.polls%fullEvery == 0
	d.polls++
	var reports pool.InstanceReports
	for _, in := range list.Instances {
		r := pool.InstanceReport(in)
		if before, ok := d.known[r.Instance]; full || !ok || before != r {
			reports = append(reports, r)
		}
		d.known[r.Instance] = r
	}
	return reports
}
