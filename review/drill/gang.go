package main

import (
	"strings"
	"time"
)

// playGang hands in gangs while one worker fails all that it starts. The rule LOST forbids that a job is shown as failed
// without cause: a gang has to fail as often as its queue allows.
func playGang(d *drill) (bool, error) {
	const (
		workers     = 12
		members     = 8
		maxAttempts = 4
		failsFor    = 6500 * time.Millisecond
	)
	services := []string{pool}
	if err := d.configure(services, []route{{"r-plates", prefix, pool, maxAttempts}}); err != nil {
		return false, err
	}
	if err := d.addWorkers(workers); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if d.trouble {
		d.fleet.mu.Lock()
		w := d.fleet.workers["m-"+pool+"-0"]
		d.fleet.mu.Unlock()
		w.failAll(failsFor)
	}
	steps := []step{{Count: members, CPU: 2000, MemMB: 100, EstimateMS: 1000, Gang: true}}
	var ids []string
	for range workers {
		id := newID()
		if !d.caller.submit(id, behavior{WorkMS: 1000, GangSize: members}, steps) {
			return false, errNotRun
		}
		ids = append(ids, id)
	}
	time.Sleep(15 * time.Second)
	broken := false
	for _, id := range ids {
		state := d.caller.state(id)
		if runs := d.fleet.failedGangRuns(id); state == "failed" && runs < maxAttempts {
			broken = true
			d.rec.add("job %s is shown as failed; its gang has failed %d times of %d, with %d ends", id, runs, maxAttempts,
				len(d.fleet.endsOf(id, "failed")))
		}
	}
	return broken, nil
}

// failedGangRuns returns the number of runs of a job's only gang of which a member has failed.
func (f *fleet) failedGangRuns(id string) int {
	failed := map[int]bool{}
	for _, e := range f.endsOf(id, "failed") {
		if strings.HasPrefix(e.task, id) {
			failed[e.number] = true
		}
	}
	return len(failed)
}
