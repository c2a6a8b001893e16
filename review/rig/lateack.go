package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// lateStartDelay and lateHoldDelay are how late the two orders without an answer are carried out; both are between 2 and 12
	// seconds. The run takes less than the time between them, and its lease more.
	lateStartDelay = 3 * time.Second
	lateHoldDelay  = 5 * time.Second
	ackWork        = 700 * time.Millisecond
)

// runLateAcknowledgement leaves two orders to a worker without an answer: a hold that acknowledges the end of a run, and the
// start of another one. The worker is cut off, crashes behind the cut and starts again under its ID. It carries out the start
// late, the run is done, and then the hold, which makes it forget that end.
func runLateAcknowledgement(ctx context.Context, r *rig) error {
	if err := r.startDeployment(ctx, configuration()); err != nil {
		return err
	}
	var addresses []string
	for _, c := range r.controls {
		addresses = append(addresses, c.address(controlPort))
	}
	const first, second = "1a2b3c4d5e6f7081", "9f8e7d6c5b4a3928"
	type lostOrders struct {
		mu          sync.Mutex
		worker      *worker
		hold, start *order
		at          time.Time
	}
	l := &lostOrders{}
	for i := 1; i <= lateStartWorkers; i++ {
		w, err := r.startWorker(ctx, fmt.Sprintf("w-%d", i), i, addresses)
		if err != nil {
			return err
		}
		w.unansweredHold = func(w *worker, o order) bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			if !r.trouble || o.AckCursor == 0 || l.worker != nil {
				return false
			}
			r.rec.printf("%s gets a hold, ackCursor %d, token %d, and doesn't answer", w.id, o.AckCursor, o.FencingToken)
			l.worker, l.hold, l.at = w, &o, time.Now()
			return true
		}
		w.unanswered = func(w *worker, o order) bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.worker != w || l.start != nil || !strings.HasPrefix(o.Task, second) {
				return false
			}
			r.rec.printf("%s gets the start of %s run %d, token %d, and doesn't answer", w.id, o.Task, o.Run, o.FencingToken)
			l.start = &o
			w.setCut(true)
			return true
		}
	}
	if err := sleep(ctx, upTime); err != nil {
		return err
	}
	// The worker that has less room left is preferred, so the short subtask of the second job goes to that of the first one.
	keep := object{"spec": `{"workMs":60000}`, "steps": []any{object{"count": 1, "cpu": 9000, "memMb": 512, "estimateMs": 9000}}}
	if err := r.submit(ctx, "0f0f0f0f0f0f0f0f", keep); err != nil {
		return err
	}
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	job := object{
		"spec":  fmt.Sprintf(`{"workMs":%d}`, ackWork.Milliseconds()),
		"steps": []any{object{"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": ackWork.Milliseconds()}},
	}
	if err := r.submit(ctx, first, job); err != nil {
		return err
	}
	if r.trouble {
		if err := until(ctx, 10*time.Second, func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.worker != nil
		}); err != nil {
			return fmt.Errorf("no hold acknowledged an end: %w", err)
		}
	}
	if err := r.submit(ctx, second, job); err != nil {
		return err
	}
	if r.trouble {
		if err := until(ctx, 5*time.Second, func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.start != nil
		}); err != nil {
			return fmt.Errorf("the worker got no start: %w", err)
		}
		l.worker.end("crash behind the cut")
		next, err := l.worker.bootAgain(ctx)
		if err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(l.at.Add(lateStartDelay))); err != nil {
			return err
		}
		next.carryOutLate(*l.start)
		if err := sleep(ctx, time.Until(l.at.Add(lateHoldDelay))); err != nil {
			return err
		}
		next.carryOutHoldLate(*l.hold)
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		next.setCut(false)
	}
	if err := until(ctx, 40*time.Second, func() bool {
		_ = sleep(ctx, 900*time.Millisecond) // until ends with ctx
		return r.state(ctx, second) == "completed"
	}); err != nil {
		return fmt.Errorf("the job was not completed: %w", err)
	}
	return r.watch.result()
}
