package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// greyWorkers of gangWorkers fail all that they start, for greyTime.
	gangWorkers = 24
	greyWorkers = 2
	greyTime    = 6500 * time.Millisecond
)

// runGangOnFailingWorkers lets two of the workers fail all that they start, and hands in a job with a gang of two.
func runGangOnFailingWorkers(ctx context.Context, r *rig) error {
	if err := r.startDeployment(ctx, configuration()); err != nil {
		return err
	}
	var addresses []string
	for _, c := range r.controls {
		addresses = append(addresses, c.address(controlPort))
	}
	var grey []*worker
	for i := 1; i <= gangWorkers; i++ {
		w, err := r.startWorker(ctx, fmt.Sprintf("w-%d", i), i, addresses)
		if err != nil {
			return err
		}
		if i <= greyWorkers {
			grey = append(grey, w)
		}
		if i == greyWorkers {
			// The workers that have been known for longest are chosen first.
			if err := sleep(ctx, time.Second); err != nil {
				return err
			}
		}
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return err
	}
	if r.trouble {
		for _, w := range grey {
			w.setFails(true)
			time.AfterFunc(greyTime, func() { w.setFails(false) })
		}
	}
	const id = "a41c9be07f3d2586"
	job := object{"spec": `{"workMs":1500,"gang":2}`, "steps": []any{object{
		"count": 2, "cpu": 1000, "memMb": 512, "estimateMs": 1500, "gang": true, "maxPerServer": 1,
	}}}
	if err := r.submit(ctx, id, job); err != nil {
		return err
	}
	state := ""
	if err := until(ctx, 30*time.Second, func() bool {
		_ = sleep(ctx, 400*time.Millisecond) // until ends with ctx
		state = r.state(ctx, id)
		return state == "completed" || state == "failed"
	}); err != nil {
		return fmt.Errorf("the job is %s: %w", state, err)
	}
	if failed := r.failedGangs(); state == "failed" && failed < maxAttempts {
		return fmt.Errorf("%w: LOST: the job is shown as failed after its gang has failed %d times, and maxAttempts is %d",
			errBroken, failed, maxAttempts)
	}
	return r.watch.result()
}
