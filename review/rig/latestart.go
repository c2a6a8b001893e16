package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// upTime is how long the workers are up before the job comes, cutTime how long the worker is cut off, and lateStartTime the
// longest time after which a call without an answer may be carried out.
const (
	upTime        = 12 * time.Second
	cutTime       = 8 * time.Second
	lateStartTime = 12 * time.Second
	// lateStartWorkers is the number of workers, of which one is cut off: an eighth of them.
	lateStartWorkers = 8
)

// runLateStart leaves the start of a long-running subtask without an answer. Its worker is cut off at that moment, crashes
// behind the cut and starts again under its ID. The start is carried out when the cut has healed.
func runLateStart(ctx context.Context, r *rig) error {
	if err := r.startDeployment(ctx, configuration()); err != nil {
		return err
	}
	var addresses []string
	for _, c := range r.controls {
		addresses = append(addresses, c.address(controlPort))
	}
	var once sync.Once
	type lostStart struct {
		worker *worker
		order  order
		at     time.Time
	}
	lost := make(chan lostStart, 1)
	for i := 1; i <= lateStartWorkers; i++ {
		w, err := r.startWorker(ctx, fmt.Sprintf("w-%d", i), i, addresses)
		if err != nil {
			return err
		}
		w.unanswered = func(w *worker, o order) bool {
			first := false
			once.Do(func() { first = r.trouble })
			if first {
				r.rec.printf("%s gets the start of %s run %d, token %d, and doesn't answer", w.id, o.Task, o.Run, o.FencingToken)
				w.setCut(true)
				lost <- lostStart{w, o, time.Now()}
			}
			return first
		}
	}
	// The lease of a start ends at a time on the worker's clock, so a worker that was up for longer than the cut matters.
	if err := sleep(ctx, upTime); err != nil {
		return err
	}
	const id, task = "7d1f0c66a2b9e843", "7d1f0c66a2b9e843.0.0.0"
	job := object{"spec": `{"workMs":3600000}`, "steps": []any{object{
		"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": 1000, "longRunning": true,
	}}}
	if err := r.submit(ctx, id, job); err != nil {
		return err
	}
	if r.trouble {
		var l lostStart
		select {
		case l = <-lost:
		case <-time.After(15 * time.Second):
			return fmt.Errorf("no start was sent")
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		l.worker.end("crash behind the cut")
		next, err := l.worker.bootAgain(ctx)
		if err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(l.at.Add(cutTime))); err != nil {
			return err
		}
		if time.Since(l.at) > lateStartTime {
			return fmt.Errorf("the start would be carried out too late")
		}
		next.setCut(false)
		next.carryOutLate(l.order)
	}
	if err := until(ctx, 15*time.Second, func() bool { return len(r.watch.runs(task)) >= 1 }); err != nil {
		return fmt.Errorf("the subtask did not start: %w", err)
	}
	if err := sleep(ctx, 4*time.Second); err != nil {
		return err
	}
	r.rec.printf("client: the job is %s", r.state(ctx, id))
	return r.watch.result()
}
