package main

import (
	"fmt"
	"sync"
	"time"
)

// playUpkeep kills the leader right after it has ordered the first upkeep of a wave. The cloud leaves that order unanswered
// and carries it out late. The rule LIMIT forbids an upkeep that begins while cap machines of the wave are down for theirs.
func playUpkeep(d *drill) (bool, error) {
	const (
		machines = 6
		busy     = 4
		late     = 10 * time.Second // of 2 to 12 s
		wave     = 1
	)
	services := []string{pool}
	if err := d.configure(services, []route{{"r-plates", prefix, pool, 2}}); err != nil {
		return false, err
	}
	if err := d.addWorkers(machines); err != nil {
		return false, err
	}
	id := newID()
	steps := []step{{Count: busy, CPU: 16000, MemMB: 100, EstimateMS: 4000}}
	if !d.caller.submit(id, behavior{WorkMS: 4000}, steps) {
		return false, errNotRun
	}
	if !await(10*time.Second, func() bool { return len(d.fleet.startsOf(id)) == busy }) {
		return false, errNotRun
	}
	var once sync.Once
	d.cloud.delay = func(name, _, holder string) (delay time.Duration) {
		if !d.trouble || name != "upkeep" {
			return 0
		}
		once.Do(func() {
			delay = late
			go d.killAndRestart(holder, time.Second)
		})
		return delay
	}
	list := d.busyFirst(id)
	d.cloud.mu.Lock()
	d.cloud.waves[wave] = list
	d.cloud.mu.Unlock()
	status, _ := d.operator.send("POST", "/wave-start", map[string]any{
		"wave": wave, "machines": list, "durationS": 60, "cap": 1,
	}, 10*time.Second)
	if status != 200 {
		return false, errNotRun
	}
	completed := await(60*time.Second, func() bool {
		_, text := d.operator.send("GET", fmt.Sprintf("/wave-get/%d", wave), nil, 5*time.Second)
		time.Sleep(time.Second)
		return string(text) == `{"state":"completed"}`
	})
	d.rec.add("wave completed: %t", completed)
	return d.cloud.exceedsCap(1), nil
}

// busyFirst returns the machines with runs of a job before the others.
func (d *drill) busyFirst(id string) []string {
	var first, last []string
	for _, m := range d.cloud.list {
		isBusy := false
		for _, s := range d.fleet.startsOf(id) {
			d.fleet.mu.Lock()
			w := d.fleet.workers[m.name]
			isBusy = isBusy || w != nil && w.id == s.worker
			d.fleet.mu.Unlock()
		}
		if isBusy {
			first = append(first, m.name)
		} else {
			last = append(last, m.name)
		}
	}
	return append(first, last...)
}

// killAndRestart kills the process with a name and starts it again after a while.
func (d *drill) killAndRestart(name string, after time.Duration) {
	for i, p := range d.sys.processes {
		if p.name == name {
			d.sys.kill(i)
			time.Sleep(after)
			if err := d.sys.start(i); err != nil {
				d.rec.add("cannot start %s again: %v", name, err)
			}
		}
	}
}

// exceedsCap reports whether an upkeep began while cap others were in progress.
func (c *cloud) exceedsCap(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	exceeded := false
	for i, u := range c.upkeeps {
		n := 0
		for _, other := range c.upkeeps[:i] {
			if other.until > u.at {
				n++
			}
		}
		if n >= limit {
			exceeded = true
			c.rec.add("upkeep of %s began at %.3f while %d were in progress", u.machine, u.at.Seconds(), n)
		}
	}
	return exceeded
}
