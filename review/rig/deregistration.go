package main

import (
	"context"
	"fmt"
	"time"
)

// fillerTime is how long after the deregistration the subtasks that fill the other workers end, so that the subtask of the
// worker that leaves can start there. It is longer than an answer takes, and shorter than the worker waits for one.
const fillerTime = 400 * time.Millisecond

// runUnconfirmedDeregistration lets a draining worker whose subtask takes longer than its estimate deregister, on a channel
// that goes silent after the request. The worker calls the next control process a second later, and ends once it gets an answer.
func runUnconfirmedDeregistration(ctx context.Context, r *rig) error {
	if err := r.startDeployment(ctx, configuration()); err != nil {
		return err
	}
	var proxies []*proxy
	var addresses []string
	for i, c := range r.controls {
		p, err := r.startProxy(fmt.Sprintf("%s.5.%d:0", r.network, i+1), c.address(controlPort))
		if err != nil {
			return err
		}
		proxies, addresses = append(proxies, p), append(addresses, p.address())
	}
	workers := map[string]*worker{}
	for i := 1; i <= 3; i++ {
		w, err := r.startWorker(ctx, fmt.Sprintf("w-%d", i), i, addresses)
		if err != nil {
			return err
		}
		workers[w.id] = w
	}
	const id, task = "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.0.0"
	job := object{"spec": `{"workMs":30000}`, "steps": []any{object{"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": 900}}}
	if err := r.submit(ctx, id, job); err != nil {
		return err
	}
	if err := until(ctx, 15*time.Second, func() bool { return len(r.watch.runs(task)) == 1 }); err != nil {
		return fmt.Errorf("the subtask did not start: %w", err)
	}
	leaving := workers[r.watch.runs(task)[0]]
	// Only the two other workers have room for the subtasks of this job.
	const fillerID = "91b2d7f04c6e3a58"
	filler := object{"spec": `{"workMs":60000}`, "steps": []any{object{"count": 2, "cpu": 15500, "memMb": 512, "estimateMs": 9000}}}
	if err := r.submit(ctx, fillerID, filler); err != nil {
		return err
	}
	if err := until(ctx, 15*time.Second, func() bool {
		return len(r.watch.runs(fillerID+".0.0.0"))+len(r.watch.runs(fillerID+".0.0.1")) == 2
	}); err != nil {
		return fmt.Errorf("the subtasks that fill the other workers did not start: %w", err)
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	r.rec.printf("%s announces that it drains for %s", leaving.id, drainTime)
	if err := leaving.drain(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, drainTime+500*time.Millisecond); err != nil {
		return err
	}
	if r.trouble {
		r.rec.printf("the channel from %s to control-1 goes silent", leaving.id)
		proxies[0].silent.Store(true)
	}
	time.AfterFunc(fillerTime, func() {
		for _, w := range workers {
			w.finish(fillerID)
		}
	})
	for _, a := range addresses {
		if leaving.deregister(ctx, a) {
			break
		}
		proxies[0].silent.Store(false) // A new channel works.
	}
	leaving.end("it has deregistered")
	if err := until(ctx, 15*time.Second, func() bool { return len(r.watch.runs(task)) == 1 }); err != nil {
		return fmt.Errorf("the subtask did not start again: %w", err)
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	r.rec.printf("client: the job is %s", r.state(ctx, id))
	return r.watch.result()
}
