package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

const (
	// orderTimeout bounds an order to a worker. Workers answer in the time of a round trip, so a slower one is most
	// likely cut off.
	orderTimeout = time.Second
	// platformTimeout bounds a call to the infrastructure or to the adviser, which may be slow.
	platformTimeout = 3 * time.Second
	// confirmedWithin is how long ago a quorum must have followed for an order to a worker. Workers refuse the orders of
	// a leader once they know a later one, and that one gives a run up only after a lease, which is longer.
	confirmedWithin = 2 * time.Second
	// observeTimeout bounds the wait for the control loop.
	observeTimeout = 5 * time.Second
)

// Port speaks to workers, to the adviser and to the infrastructure. Every function returns when ctx ends; answers carry
// no times, which the dispatcher adds.
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
	// Observe hands an event to the control loop of the leader.
	Observe func(ctx context.Context, ev kernel.Event) error
	// Now is the steady clock of the control loop.
	Now func() time.Duration
	// Confirmed reports whether a quorum followed this leader at most d ago.
	Confirmed func(d time.Duration) bool
	// Lease is how long after that no other leader can have begun.
	Lease time.Duration
	Log   logr.Logger
}

// Dispatcher carries out orders; its methods don't block.
type Dispatcher struct {
	cfg Config

	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a dispatcher that is idle until Lead.
func New(cfg Config) *Dispatcher { return &Dispatcher{cfg: cfg} }

// SetLeading begins or ends a term; orders of an ended term are abandoned.
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

// Execute carries out orders.
func (d *Dispatcher) Execute(actions []kernel.Action) {
	d.mu.Lock()
	ctx := d.ctx
	d.mu.Unlock()
	if ctx == nil {
		return
	}
	for _, a := range actions {
		go d.execute(ctx, a)
	}
}

func (d *Dispatcher) execute(ctx context.Context, a kernel.Action) {
	ev := d.perform(ctx, a)
	if ev == nil || ctx.Err() != nil {
		return
	}
	octx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	if err := d.cfg.Observe(octx, ev); err != nil {
		d.cfg.Log.Info("result of an order was dropped", "order", a.ActionName(), "reason", err.Error())
	}
}

func (d *Dispatcher) perform(ctx context.Context, a kernel.Action) kernel.Event {
	sent := d.cfg.Now()
	answer := func(timeout time.Duration, f func(ctx context.Context) workload.Answer) workload.Answer {
		r := workload.Answer{Outcome: workload.Withheld}
		if d.cfg.Confirmed(confirmedWithin) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			r = f(ctx)
		}
		r.SentAt, r.EndedAt = sent, d.cfg.Now()
		return r
	}
	port := d.cfg.Port
	switch a := a.(type) {
	case workload.RenewLease:
		done := workload.RenewLeaseResult{Request: a}
		done.Answer = answer(a.Wait+orderTimeout, func(ctx context.Context) workload.Answer {
			r := port.RenewLease(ctx, a)
			done.Running, done.Ended = r.Running, r.Ended
			return r.Answer
		})
		return done
	case workload.StartRun:
		return workload.StartRunResult{Request: a, Answer: answer(orderTimeout, func(ctx context.Context) workload.Answer { return port.StartRun(ctx, a) })}
	case workload.StopRun:
		return workload.StopRunResult{Request: a, Answer: answer(orderTimeout, func(ctx context.Context) workload.Answer { return port.StopRun(ctx, a) })}
	case workload.ThrottleRun:
		return workload.ThrottleRunResult{Request: a, Answer: answer(orderTimeout, func(ctx context.Context) workload.Answer { return port.ThrottleRun(ctx, a) })}
	}
	cctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	switch a := a.(type) {
	case workload.RequestAdvice:
		r := port.RequestAdvice(cctx, a)
		r.Request, r.SentAt = a, sent
		return r
	case workload.ListInstances:
		r := port.ListInstances(cctx)
		r.SentAt = sent
		return r
	case workload.MoveInstance:
		done := workload.MoveInstanceResult{Request: a, SentAt: sent, Outcome: workload.Withheld}
		if d.cfg.Confirmed(d.cfg.Lease) {
			done.Outcome = port.MoveInstance(cctx, a)
		}
		return done
	case workload.MaintainInstance:
		done := workload.MaintainInstanceResult{Request: a, SentAt: sent, Outcome: workload.Withheld}
		if d.cfg.Confirmed(d.cfg.Lease) {
			done.Outcome = port.MaintainInstance(cctx, a)
		}
		return done
	}
	// Other plug-ins order what the infrastructure does not offer.
	d.cfg.Log.V(1).Info("order of unknown kind was ignored", "order", a.ActionName())
	return nil
}
