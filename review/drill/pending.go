package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// playPending cuts a worker off right before jobs are handed in, so that the one that is assigned to it doesn't begin. The
// rule MIXED says how many of the jobs that have not begun the count of a queue must include.
func playPending(d *drill) (bool, error) {
	const (
		workers = 9
		cutFor  = 8 * time.Second
		mayLack = 5 * time.Second // visible_ms and 2 s
	)
	services := []string{pool}
	if err := d.configure(services, []route{{"r-plates", prefix, pool, 2}}); err != nil {
		return false, err
	}
	if err := d.addWorkers(workers); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	steps := []step{{Count: 1, CPU: 16000, MemMB: 100, EstimateMS: 500}}
	if _, ok := d.submitAll(workers, steps); !ok || !await(10*time.Second, func() bool { return d.fleet.countDone() == workers }) {
		return false, errNotRun
	}
	if d.trouble {
		d.fleet.mu.Lock()
		w := d.fleet.workers["m-"+pool+"-0"]
		d.fleet.mu.Unlock()
		w.cut(cutFor)
	}
	accepted, ok := d.submitAll(workers, steps)
	if !ok {
		return false, errNotRun
	}
	broken := false
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		askedAt := d.rec.since()
		pending, ok := d.caller.pending(prefix)
		if !ok {
			continue
		}
		waiting := 0
		for id, at := range accepted {
			if askedAt-at > mayLack && len(d.fleet.startsOf(id)) == 0 {
				waiting++
			}
		}
		if 2*pending < waiting {
			broken = true
			d.rec.add("%d jobs that were accepted over %s before have not begun, and the count is %d", waiting, mayLack, pending)
		}
	}
	return broken, nil
}

// submitAll hands in n jobs and returns when each was accepted.
func (d *drill) submitAll(n int, steps []step) (accepted map[string]time.Duration, ok bool) {
	accepted = map[string]time.Duration{}
	for range n {
		id := newID()
		if !d.caller.submit(id, behavior{WorkMS: 500}, steps) {
			return nil, false
		}
		accepted[id] = d.rec.since()
	}
	return accepted, true
}

// countDone returns the number of runs that are done.
func (f *fleet) countDone() int { return len(f.endsOf("", "done")) }

// pending returns the number of jobs of a queue that have not begun.
func (c *caller) pending(path string) (int, bool) {
	status, text := c.do(http.MethodGet, path, nil, 3*time.Second)
	m := struct {
		Pending int `json:"pending"`
	}{}
	ok := status == http.StatusOK && json.Unmarshal(text, &m) == nil
	return m.Pending, ok
}
