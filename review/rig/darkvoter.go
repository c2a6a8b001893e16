package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// recovery is the bound recoveryS of the settings; freezeTime is how long a control process stands still.
	recovery   = 12 * time.Second
	freezeTime = 4 * time.Second
	// addAfter is when the new process starts, counted from the freeze.
	addAfter = 600 * time.Millisecond
	// wipeAfter is when a disk is lost, counted from the freeze. The leader misses the frozen process half a second after that,
	// and removes it a second later. It would miss the other one half a second after the loss.
	wipeAfter = 1300 * time.Millisecond
	downTime  = time.Second
)

// runDarkVoter freezes a control process while a new one joins the group, and lets another one lose its disk as the leader
// removes the frozen one. All are back afterwards.
func runDarkVoter(ctx context.Context, r *rig) error {
	if err := r.startDeployment(ctx, configuration()); err != nil {
		return err
	}
	var addresses []string
	for _, c := range r.controls {
		addresses = append(addresses, c.address(controlPort))
	}
	for i := 1; i <= 4; i++ {
		if _, err := r.startWorker(ctx, fmt.Sprintf("w-%d", i), i, addresses); err != nil {
			return err
		}
	}
	const id = "c86d02e9415fb7a3"
	job := object{"spec": `{"workMs":500}`, "steps": []any{object{"count": 2, "cpu": 1000, "memMb": 512, "estimateMs": 500}}}
	if err := r.submit(ctx, id, job); err != nil {
		return err
	}
	if err := until(ctx, 15*time.Second, func() bool { return r.state(ctx, id) == "completed" }); err != nil {
		return fmt.Errorf("the job was not completed: %w", err)
	}
	leader := r.leader()
	if leader == nil {
		return fmt.Errorf("no control process leads")
	}
	var others []*process
	for _, c := range r.controls {
		if c != leader {
			others = append(others, c)
		}
	}
	frozen, wiped := others[1], others[0] // The new process asks the others in order, and finds the leader at once.
	added, err := r.newProcess("control-4", 4, true)
	if err != nil {
		return err
	}
	r.rec.printf("%s leads", leader.name)
	if r.trouble {
		r.rec.printf("%s stands still", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	begin := time.Now()
	if err := sleep(ctx, addAfter); err != nil {
		return err
	}
	if err := r.start(added, false); err != nil {
		return err
	}
	r.added = added
	if r.trouble {
		if err := sleep(ctx, time.Until(begin.Add(wipeAfter))); err != nil {
			return err
		}
		if err := r.loseDisk(ctx, wiped); err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(begin.Add(freezeTime))); err != nil {
			return err
		}
		frozen.signal(syscall.SIGCONT)
		r.rec.printf("%s goes on; all control processes are back", frozen.name)
	}
	if err := sleep(ctx, recovery); err != nil {
		return err
	}
	return r.checkKnown(ctx, id)
}

// loseDisk kills a process, and starts it again with an empty disk.
func (r *rig) loseDisk(ctx context.Context, wiped *process) error {
	wiped.kill()
	//nolint:gosec // The folder is a temporary one.
	if err := os.RemoveAll(filepath.Join(r.dir, wiped.name)); err != nil {
		return err
	}
	//nolint:gosec // The folder is a temporary one.
	if err := os.MkdirAll(filepath.Join(r.dir, wiped.name), 0o700); err != nil {
		return err
	}
	r.rec.printf("%s loses its power and its disk", wiped.name)
	if err := sleep(ctx, downTime); err != nil {
		return err
	}
	return r.start(wiped, false)
}

// checkKnown asks all processes for the configuration and for a completed job. It returns errBroken if nobody knows them.
func (r *rig) checkKnown(ctx context.Context, id string) error {
	job, configured := false, false
	for end := time.Now().Add(finishTime); time.Now().Before(end) && (!job || !configured); {
		for n := range r.fronts {
			status, data, err := r.callFront(ctx, n, http.MethodGet, id, nil)
			job = job || err == nil && status == http.StatusOK && strings.Contains(string(data), "completed")
		}
		for _, c := range append(append([]*process{}, r.controls...), r.added) {
			status, _, err := call(ctx, http.MethodGet, "http://"+c.address(controlPort)+"/Config.Read", nil, nil, 3*time.Second)
			r.rec.printf("operator: GET /Config.Read at %s -> %d, error %v", c.name, status, err)
			configured = configured || err == nil && status == http.StatusOK
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	if !job || !configured {
		return fmt.Errorf("%w: LOST: %s to %s after all are back, the accepted job is known: %t, the configuration can be read: %t",
			errBroken, recovery, recovery+finishTime, job, configured)
	}
	return nil
}
