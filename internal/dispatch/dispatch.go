package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

// platformTimeout is the timeout of a call to the platform or to the adviser, which may be slow.
const platformTimeout = 3 * time.Second

// Port calls workers, the adviser and the platform. Each function returns when ctx ends. The functions set no times in
// their results; the dispatcher adds them.
type Port struct {
	RenewLease       func(ctx context.Context, h workload.RenewLease) workload.RenewLeaseResult
	StartRun         func(ctx context.Context, s workload.StartRun) workload.Answer
	StopRun          func(ctx context.Context, s workload.StopRun) workload.Answer
	ThrottleRun      func(ctx context.Context, p workload.ThrottleRun) workload.Answer
	RequestAdvice    func(ctx context.Context, a workload.RequestAdvice) workload.AdviceResult
	ListInstances    func(ctx context.Context) workload.ListInstancesResult
	MoveInstance     func(ctx context.Context, m workload.MoveInstance) workload.Outcome
	MaintainInstance func(ctx context.Context, m workload.MaintainInstance) workload.Outcome
}

// Config holds the settings of a dispatcher.
type Config struct {
	Port Port
	// Observe passes an event to the control loop of the leader.
	Observe func(ctx context.Context, events ...kernel.Event) error
	// Route hands requests to workers over to other processes, and returns the orders that are left; it may be nil. The
	// context ends with the term of the leader.
	Route func(ctx context.Context, actions []kernel.Action) []kernel.Action
	// Now returns the monotonic time of the control loop.
	Now func() time.Duration
	// QuorumConfirmed reports whether a quorum has confirmed this leader within the last d.
	QuorumConfirmed func(d time.Duration) bool
	// ConfirmationAge returns the time since a quorum has confirmed this leader, and whether one has.
	ConfirmationAge func() (time.Duration, bool)
	// LeaderLease is the time after such a confirmation during which no other leader can begin its term.
	LeaderLease time.Duration
	Log         logr.Logger
}

// Dispatcher executes orders. Its methods don't block.
type Dispatcher struct {
	cfg Config

	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a dispatcher that ignores orders until SetLeading is called.
func New(cfg Config) *Dispatcher { return &Dispatcher{cfg: cfg} }

// SetLeading begins or ends the term of the leader. Orders of an ended term are cancelled and their results dropped.
func (d *Dispatcher) SetLeading(leading bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != nil {
		d.cancel()
		d.ctx, d.cancel = nil, nil
	}
	if leading {
		d.ctx, d.cancel = context.WithCancel(context.Background())
	}
}

// Execute starts the execution of orders. It ignores them while this process doesn't lead.
func (d *Dispatcher) Execute(actions []kernel.Action) {
	d.mu.Lock()
	ctx := d.ctx
	d.mu.Unlock()
	if ctx == nil {
		return
	}
	if d.cfg.Route != nil {
		actions = d.cfg.Route(ctx, actions)
	}
	for _, a := range actions {
		go d.executeAction(ctx, a)
	}
}

// executeAction executes an order and passes its result to the control loop, however long that is busy.
func (d *Dispatcher) executeAction(ctx context.Context, a kernel.Action) {
	ev := d.callPort(ctx, a)
	if ev == nil || ctx.Err() != nil {
		return
	}
	// The leader sends no further request of the kind until it has the result, so only the end of the term ends the wait.
	if err := d.cfg.Observe(ctx, ev); err != nil {
		d.cfg.Log.Info("control loop did not accept the result of an order",
			"order", a.ActionName(), "reason", err.Error())
	}
}

// CallWorker sends a request to a worker and returns the reply without times.
func (p Port) CallWorker(ctx context.Context, a kernel.Action) workload.Reply {
	switch a := a.(type) {
	case workload.RenewLease:
		r := p.RenewLease(ctx, a)
		return workload.Reply{Answer: r.Answer, Running: r.Running, Ended: r.Ended}
	case workload.StartRun:
		return workload.Reply{Answer: p.StartRun(ctx, a)}
	case workload.StopRun:
		return workload.Reply{Answer: p.StopRun(ctx, a)}
	case workload.ThrottleRun:
		return workload.Reply{Answer: p.ThrottleRun(ctx, a)}
	}
	return workload.Reply{Answer: workload.Answer{Outcome: workload.Withheld}}
}

// callWorker sends a request to a worker and returns its result. It is withheld if the confirmation of the leader is too
// old, and its lease is shortened if the confirmation isn't recent.
func (d *Dispatcher) callWorker(ctx context.Context, a kernel.Action, h workload.RequestHeader) kernel.Event {
	sentAt := d.cfg.Now()
	r := workload.Reply{Answer: workload.Answer{Outcome: workload.Withheld}}
	if age, ok := d.cfg.ConfirmationAge(); ok && age < workload.MaxConfirmationAge {
		h.ShortenLease(age)
		ctx, cancel := context.WithTimeout(ctx, workload.TimeoutOf(a))
		defer cancel()
		r = d.cfg.Port.CallWorker(ctx, workload.WithHeader(a, h))
	}
	r.SentAt, r.EndedAt = sentAt, d.cfg.Now()
	return workload.ResultOf(a, r)
}

// callPort executes an order and returns its result, or nil for an order of another plug-in.
func (d *Dispatcher) callPort(ctx context.Context, a kernel.Action) kernel.Event {
	if h, ok := workload.HeaderOf(a); ok {
		return d.callWorker(ctx, a, h)
	}
	sentAt, port := d.cfg.Now(), d.cfg.Port
	cctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	switch a := a.(type) {
	case workload.RequestAdvice:
		r := port.RequestAdvice(cctx, a)
		r.Request, r.SentAt = a, sentAt
		return r
	case workload.ListInstances:
		r := port.ListInstances(cctx)
		r.SentAt = sentAt
		return r
	case workload.MoveInstance:
		result := workload.MoveInstanceResult{Request: a, SentAt: sentAt, Outcome: workload.Withheld}
		if d.cfg.QuorumConfirmed(d.cfg.LeaderLease) {
			result.Outcome = port.MoveInstance(cctx, a)
		}
		return result
	case workload.MaintainInstance:
		result := workload.MaintainInstanceResult{Request: a, SentAt: sentAt, Outcome: workload.Withheld}
		if d.cfg.QuorumConfirmed(d.cfg.LeaderLease) {
			result.Outcome = port.MaintainInstance(cctx, a)
		}
		return result
	}
	// Other plug-ins issue orders that this platform does not support.
	d.cfg.Log.V(1).Info("ignored an order that the platform does not support", "order", a.ActionName())
	return nil
}
