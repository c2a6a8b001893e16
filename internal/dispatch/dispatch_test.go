package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/dispatch"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

// loop is a control loop that accepts events only when the test receives them.
type loop struct {
	events  chan kernel.Event
	refused []error
}

func (l *loop) observe(ctx context.Context, events ...kernel.Event) error {
	select {
	case l.events <- events[0]:
		return nil
	case <-ctx.Done():
		l.refused = append(l.refused, ctx.Err())
		return ctx.Err()
	}
}

// newDispatcher returns a dispatcher whose requests are all accepted at once.
func newDispatcher() (*dispatch.Dispatcher, *loop) {
	l := &loop{events: make(chan kernel.Event)}
	startedAt := time.Now()
	return dispatch.New(dispatch.Config{
		Port: dispatch.Port{
			RenewLease: func(context.Context, workload.RenewLease) workload.RenewLeaseResult {
				return workload.RenewLeaseResult{Answer: workload.Answer{Outcome: workload.Accepted}}
			},
			StartRun: func(context.Context, workload.StartRun) workload.Answer {
				return workload.Answer{Outcome: workload.Accepted}
			},
			RequestAdvice: func(context.Context, workload.RequestAdvice) workload.AdviceResult {
				return workload.AdviceResult{Outcome: workload.Accepted}
			},
			ListInstances: func(context.Context) workload.ListInstancesResult {
				return workload.ListInstancesResult{Outcome: workload.Accepted}
			},
			MaintainInstance: func(context.Context, workload.MaintainInstance) workload.Outcome { return workload.Accepted },
		},
		Observe:         l.observe,
		Now:             func() time.Duration { return time.Since(startedAt) },
		QuorumConfirmed: func(time.Duration) bool { return true },
		ConfirmationAge: func() (time.Duration, bool) { return 0, true },
		Log:             logr.Discard(),
	}), l
}

// Guards against a request that stays in flight for the rest of the term because its result was dropped while the
// control loop was busy.
func TestResultReachesControlLoopThatWasBusy(t *testing.T) {
	for _, tt := range []struct {
		name   string
		action kernel.Action
	}{
		{"renew-lease", workload.RenewLease{}},
		{"start-run", workload.StartRun{}},
		{"request-advice", workload.RequestAdvice{}},
		{"list-instances", workload.ListInstances{}},
		{"maintain-instance", workload.MaintainInstance{}},
	} {
		for _, busy := range []time.Duration{0, 6 * time.Second, time.Minute} {
			t.Run(tt.name+"/"+busy.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d, l := newDispatcher()
					d.SetLeading(true)
					defer d.SetLeading(false)
					d.Execute([]kernel.Action{tt.action})
					time.Sleep(busy)
					synctest.Wait()
					select {
					case <-l.events:
					default:
						t.Error("the result was dropped")
					}
				})
			})
		}
	}
}

// Guards against results of an ended term that reach the next one, and against goroutines that wait for ever to pass
// them on.
func TestResultOfEndedTermIsDropped(t *testing.T) {
	for _, tt := range []struct {
		name     string
		leadsNew bool // the same process leads the next term
	}{{"lost", false}, {"next-term", true}} {
		t.Run(tt.name, func(t *testing.T) {
			// The test fails if a goroutine is still blocked when it returns.
			synctest.Test(t, func(t *testing.T) {
				d, l := newDispatcher()
				d.SetLeading(true)
				defer d.SetLeading(false)
				d.Execute([]kernel.Action{workload.ListInstances{}})
				time.Sleep(time.Second)
				d.SetLeading(false)
				d.SetLeading(tt.leadsNew)
				synctest.Wait()
				assert.Equal(t, len(l.refused), 1, "the goroutine still waits")
				select {
				case <-l.events:
					t.Error("the result of the ended term was passed on")
				default:
				}
			})
		})
	}
}

// Guards against a deposed leader that grants leases which last longer than the next leader waits.
func TestOldConfirmationShortensLease(t *testing.T) {
	for _, tt := range []struct {
		age         time.Duration
		confirmed   bool
		lease, want int64 // 0 for a request without a lease
		outcome     workload.Outcome
	}{
		{0, true, 4800, 4800, workload.Accepted},
		{200 * time.Millisecond, true, 4800, 4800, workload.Accepted},
		{700 * time.Millisecond, true, 4800, 4299, workload.Accepted},
		{1999 * time.Millisecond, true, 4800, 3000, workload.Accepted},
		{1999 * time.Millisecond, true, 1000, 1, workload.Accepted},
		{1999 * time.Millisecond, true, 0, 0, workload.Accepted},
		{2 * time.Second, true, 4800, 0, workload.Withheld},
		{0, false, 4800, 0, workload.Withheld},
	} {
		t.Run(fmt.Sprint(tt.age, tt.confirmed, tt.lease), func(t *testing.T) {
			events := make(chan kernel.Event)
			got := make(chan int64, 2)
			d := dispatch.New(dispatch.Config{
				Port: dispatch.Port{
					RenewLease: func(_ context.Context, r workload.RenewLease) workload.RenewLeaseResult {
						got <- r.LeaseExpiryMs
						return workload.RenewLeaseResult{Answer: workload.Answer{Outcome: workload.Accepted}}
					},
					StartRun: func(_ context.Context, r workload.StartRun) workload.Answer {
						got <- r.LeaseExpiryMs
						return workload.Answer{Outcome: workload.Accepted}
					},
				},
				Observe: func(_ context.Context, list ...kernel.Event) error {
					events <- list[0]
					return nil
				},
				Now:             func() time.Duration { return 0 },
				ConfirmationAge: func() (time.Duration, bool) { return tt.age, tt.confirmed },
				Log:             logr.Discard(),
			})
			d.SetLeading(true)
			defer d.SetLeading(false)
			h := workload.RequestHeader{LeaseExpiryMs: tt.lease}
			d.Execute([]kernel.Action{workload.RenewLease{RequestHeader: h}, workload.StartRun{RequestHeader: h}})
			for range 2 {
				switch ev := (<-events).(type) {
				case workload.RenewLeaseResult:
					assert.Equal(t, ev.Outcome, tt.outcome)
				case workload.StartRunResult:
					assert.Equal(t, ev.Outcome, tt.outcome)
				}
			}
			assert.Equal(t, len(got) > 0, tt.outcome == workload.Accepted)
			for len(got) > 0 {
				assert.Equal(t, <-got, tt.want)
			}
		})
	}
}
