package platform

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
)

// DriverConfig holds the settings of a driver.
type DriverConfig struct {
	Client *Client
	// Observe passes an event to the control loop; it may block briefly.
	Observe func(ev kernel.Event)
	// MaxParallelCalls bounds the concurrent calls of the platform; 0 selects 16.
	MaxParallelCalls int
	// MaxQueuedActions bounds the actions that wait for a call; 0 selects 1,024. Further actions are dropped, since the
	// kernel issues them again.
	MaxQueuedActions int
	// PollInterval is the interval at which instances, tasks and usage are read; 0 selects 2 s.
	PollInterval time.Duration
	Log          logr.Logger
}

// maxUsageSamples bounds the usage samples of one poll, so that they need less than 1.5 KB/s at the default interval.
const maxUsageSamples = 20

// Driver executes the leader's actions on the platform. The kernel may issue an action again at any time; an action
// that is still queued or running is not executed a second time in parallel.
type Driver struct {
	cfg   DriverConfig
	queue chan kernel.Action

	mu      sync.Mutex
	pending map[string]bool

	// Cursors of Poll, whose calls must not overlap.
	taskCursor, instanceCursor string
}

// NewDriver returns a driver, which executes actions only while Run runs.
func NewDriver(cfg DriverConfig) *Driver {
	if cfg.MaxParallelCalls == 0 {
		cfg.MaxParallelCalls = 16
	}
	if cfg.MaxQueuedActions == 0 {
		cfg.MaxQueuedActions = 1024
	}
	if cfg.PollInterval == 0 {
		cfg.PollInterval = 2 * time.Second
	}
	return &Driver{
		cfg: cfg, queue: make(chan kernel.Action, cfg.MaxQueuedActions), pending: map[string]bool{},
	}
}

// Run executes queued actions and polls the platform until the context ends, that is while this process leads.
func (d *Driver) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range d.cfg.MaxParallelCalls {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case a := <-d.queue:
					ev := d.execute(ctx, a)
					// The action is released first, because the observer of the outcome may issue the same action again.
					d.releaseAction(a)
					if ev != nil {
						d.cfg.Observe(ev)
					}
				}
			}
		})
	}
	wg.Go(func() {
		t := time.NewTicker(d.cfg.PollInterval)
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

// Enqueue queues an action without blocking and reports whether it is queued or running. It ignores actions that are
// not for the platform.
func (d *Driver) Enqueue(a kernel.Action) bool {
	id, ok := actionID(a)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending[id] {
		return true
	}
	select {
	case d.queue <- a:
		d.pending[id] = true
		return true
	default:
		d.cfg.Log.V(1).Info("too many actions are queued for the platform; dropping the action until it is issued again",
			"action", id)
		return false
	}
}

func (d *Driver) releaseAction(a kernel.Action) {
	id, _ := actionID(a)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, id)
}

// actionID returns an ID that is equal for actions with the same effect, and false for an action of another driver.
func actionID(a kernel.Action) (string, bool) {
	var target string
	switch a := a.(type) {
	case job.StartTask:
		target = fmt.Sprintf("%s %d", a.Job, a.Epoch)
	case job.CheckpointTask:
		target = fmt.Sprintf("%s %d", a.Job, a.Epoch)
	case job.ThrottleTask:
		target = fmt.Sprintf("%s %d %t", a.Job, a.Epoch, a.On)
	case job.StopTask:
		target = fmt.Sprintf("%s %d", a.Job, a.Epoch)
	case job.WatchTasks:
	case pool.DrainInstance:
		target = fmt.Sprintf("%s %d", a.Instance, a.Epoch)
	case pool.RebootInstance:
		target = fmt.Sprintf("%s %d", a.Instance, a.Epoch)
	case pool.ResumeInstance:
		target = fmt.Sprintf("%s %d", a.Instance, a.Epoch)
	default:
		return "", false
	}
	return a.ActionName() + " " + target, true
}

// execute calls the platform for an action and returns the resulting event, or nil if there is none.
func (d *Driver) execute(ctx context.Context, a kernel.Action) kernel.Event {
	c := d.cfg.Client
	switch a := a.(type) {
	case job.StartTask:
		t, err := c.Start(ctx, StartRequest{
			Job: a.Job, Epoch: a.Epoch, Instance: a.Instance, InstanceEpoch: a.InstanceEpoch,
			MilliProcessors: a.Limits.MilliProcessors, MemoryMiB: a.Limits.MemoryMiB, Accelerators: a.Limits.Accelerators,
			Payload: a.Payload, FromCheckpoint: a.Checkpoint,
		})
		if errorx.IsOfType(err, ErrRefused) {
			t, err = Task{State: StateRefused, Reason: errorx.Cast(err).Message()}, nil
		}
		return d.taskEvent(a.ActionName(), a.Job, a.Epoch, t, err)
	case job.CheckpointTask:
		t, err := c.Checkpoint(ctx, TaskRequest{Job: a.Job, Epoch: a.Epoch})
		return d.taskEvent(a.ActionName(), a.Job, a.Epoch, t, err)
	case job.ThrottleTask:
		t, err := c.Throttle(ctx, TaskRequest{Job: a.Job, Epoch: a.Epoch, On: a.On})
		return d.taskEvent(a.ActionName(), a.Job, a.Epoch, t, err)
	case job.StopTask:
		t, err := c.Stop(ctx, TaskRequest{Job: a.Job, Epoch: a.Epoch})
		if errorx.IsOfType(err, ErrRefused) {
			t, err = Task{State: StateStopped, Reason: "superseded by a newer start"}, nil
		}
		return d.taskEvent(a.ActionName(), a.Job, a.Epoch, t, err)
	case job.WatchTasks:
		return d.watchTasks(ctx, a)
	case pool.DrainInstance:
		_, err := c.Drain(ctx, InstanceRequest(a))
		d.logFailure(a.ActionName(), err)
	case pool.RebootInstance:
		_, err := c.Reboot(ctx, InstanceRequest(a))
		d.logFailure(a.ActionName(), err)
	case pool.ResumeInstance:
		_, err := c.Resume(ctx, InstanceRequest(a))
		d.logFailure(a.ActionName(), err)
	}
	return nil
}

func (d *Driver) logFailure(action string, err error) {
	if err != nil {
		d.cfg.Log.V(1).Info("platform call failed", "action", action, "error", err.Error())
	}
}

// taskEvent converts the response about a task to an event. It returns nil when there was no response; the kernel then
// issues the action again.
func (d *Driver) taskEvent(action, jobKey string, epoch uint64, task Task, err error) kernel.Event {
	if errorx.IsOfType(err, ErrNotFound) {
		task, err = Task{}, nil
	}
	if err != nil {
		d.logFailure(action, err)
		return nil
	}
	return newTaskReport(jobKey, epoch, task)
}

func newTaskReport(jobKey string, epoch uint64, task Task) job.TaskReport {
	return job.TaskReport{
		Job: jobKey, Epoch: epoch, Outcome: outcomeOf(task.State), Throttled: task.Throttled, Reason: task.Reason,
	}
}

// watchTasks reports every task that the kernel asked for and every other running task, so that the kernel stops the
// tasks that it has given up.
func (d *Driver) watchTasks(ctx context.Context, a job.WatchTasks) kernel.Event {
	list, err := d.cfg.Client.Tasks(ctx, "")
	if err != nil {
		d.logFailure(a.ActionName(), err)
		return nil
	}
	found := make(map[job.TaskRef]Task, len(list.Tasks))
	for _, t := range list.Tasks {
		found[job.TaskRef{Job: t.Job, Epoch: t.Epoch}] = t
	}
	var reports job.TaskReports
	for _, ref := range a.Tasks {
		t := found[ref] // the state is empty when the platform doesn't know the task
		delete(found, ref)
		reports = append(reports, newTaskReport(ref.Job, ref.Epoch, t))
	}
	for ref, t := range found {
		if t.State == StateRunning {
			reports = append(reports, newTaskReport(ref.Job, ref.Epoch, t))
		}
	}
	return reports
}

// Poll reads the changes of tasks and instances, and usage samples. The first poll of a driver reads all tasks and
// instances, so that a new leader learns what was reported to earlier leaders.
func (d *Driver) Poll(ctx context.Context) {
	c := d.cfg.Client
	if list, err := c.Instances(ctx, d.instanceCursor); err != nil {
		d.logFailure("list-instances", err)
	} else {
		d.instanceCursor = list.Cursor
		reports := make(pool.InstanceReports, 0, len(list.Instances))
		for _, in := range list.Instances {
			reports = append(reports, pool.InstanceReport(in))
		}
		if len(reports) > 0 {
			d.cfg.Observe(reports)
		}
	}
	if list, err := c.Tasks(ctx, d.taskCursor); err != nil {
		d.logFailure("list-tasks", err)
	} else {
		d.taskCursor = list.Cursor
		reports := make(job.TaskReports, 0, len(list.Tasks))
		for _, t := range list.Tasks {
			reports = append(reports, newTaskReport(t.Job, t.Epoch, t))
		}
		if len(reports) > 0 {
			d.cfg.Observe(reports)
		}
	}
	d.pollUsage(ctx)
}

func (d *Driver) pollUsage(ctx context.Context) {
	usage, err := d.cfg.Client.Usage(ctx, maxUsageSamples)
	if err != nil {
		d.logFailure("usage", err)
		return
	}
	reports := make(job.UsageReports, 0, len(usage.Samples))
	for _, u := range usage.Samples {
		reports = append(reports, job.UsageReport{
			Job: u.Job, Epoch: u.Epoch, Ran: time.Duration(u.RanMs) * time.Millisecond,
			Used: placement.Resources{
				MilliProcessors: u.MilliProcessors, MemoryMiB: u.MemoryMiB, Accelerators: u.Accelerators, Slots: 1,
			},
		})
	}
	if len(reports) > 0 {
		d.cfg.Observe(reports)
	}
}
