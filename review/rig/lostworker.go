package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Bounds of the rule, and the number of workers, of which one is lost: an eighth of them.
const (
	finishTime     = 14 * time.Second
	idleTime       = 3 * time.Second
	lostOfWorkers  = 8
	stepTime       = 4 * time.Second
	secondStepMark = ".0.1."
)

// runLostWorker loses the worker that gets the start of a job's second step, at that moment, for good and silently. The job is
// the last one of the traffic.
func runLostWorker(ctx context.Context, r *rig) error {
	if err := r.startDeployment(ctx, configuration()); err != nil {
		return err
	}
	var addresses []string
	for _, c := range r.controls {
		addresses = append(addresses, c.address(controlPort))
	}
	var once sync.Once
	for i := 1; i <= lostOfWorkers; i++ {
		w, err := r.startWorker(ctx, fmt.Sprintf("w-%d", i), i, addresses)
		if err != nil {
			return err
		}
		w.unanswered = func(w *worker, o order) bool {
			isFirst := false
			if strings.Contains(o.Task, secondStepMark) {
				once.Do(func() { isFirst = r.trouble })
			}
			if isFirst {
				r.rec.printf("%s gets the start of %s run %d", w.id, o.Task, o.Run)
				w.goDark()
			}
			return isFirst
		}
	}
	if err := sleep(ctx, 4*time.Second); err != nil {
		return err
	}
	const id, task = "3e9a5d10c7f28b64", "3e9a5d10c7f28b64.0.1.0"
	step := object{"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": stepTime.Milliseconds()}
	second := object{"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": stepTime.Milliseconds(), "dependsOn": []int{0}}
	job := object{"spec": fmt.Sprintf(`{"workMs":%d}`, stepTime.Milliseconds()), "steps": []any{step, second}}
	if err := r.submit(ctx, id, job); err != nil {
		return err
	}
	end := time.Now()
	r.rec.printf("the traffic has ended")
	if err := sleep(ctx, time.Until(end.Add(finishTime))); err != nil {
		return err
	}
	r.rec.printf("%s after the end of the traffic, the job is %s", finishTime, r.state(ctx, id))
	for !r.watch.isDone(task) && len(r.watch.runs(task)) == 0 {
		if time.Since(end) > finishTime+idleTime {
			err := fmt.Errorf("%w: LOST: for %s, the job has had nothing running while the turn of %s has come, and %d workers are idle",
				errBroken, idleTime, task, lostOfWorkers-1)
			r.rec.printf("%v", err)
			_ = until(ctx, 15*time.Second, func() bool { return len(r.watch.runs(task)) > 0 }) // for the record
			return err
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return r.watch.result()
}
