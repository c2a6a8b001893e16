package main

import (
	"fmt"
	"time"
)

// playRacks lets the two racks of a pool go dark by turns, so that the jobs that are handed in at the beginning are assigned
// to workers that no start reaches any more. The rule LOST forbids that they are shown as failed without cause.
func playRacks(d *drill) (bool, error) {
	const (
		perRack = 4
		racks   = 2
		darkFor = 4500 * time.Millisecond
		gap     = 4300 * time.Millisecond
		times   = 4
	)
	if err := d.configure([]string{pool}, []route{{"r-plates", prefix, pool, 3}}); err != nil {
		return false, err
	}
	for i := range perRack * racks {
		m := &machine{
			name: fmt.Sprintf("m-%d", i), pool: pool, zone: zones[i%len(zones)], rack: fmt.Sprintf("r-%d", i/perRack),
			number: firstWorker + i, cpu: 16000, memory: 65536,
		}
		if err := d.cloud.add(m); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	if d.trouble {
		for i := range times {
			time.AfterFunc(time.Duration(i)*gap, func() { d.darken(fmt.Sprintf("r-%d", i%racks), darkFor) })
		}
		time.Sleep(50 * time.Millisecond)
	}
	var ids []string
	for range perRack * racks {
		id := newID()
		if !d.caller.submit(id, behavior{WorkMS: 1000}, []step{{Count: 1, CPU: 10000, MemMB: 100, EstimateMS: 1000}}) {
			return false, errNotRun
		}
		ids = append(ids, id)
	}
	time.Sleep(30 * time.Second)
	broken := false
	for _, id := range ids {
		state, starts, failed := d.caller.state(id), len(d.fleet.startsOf(id)), len(d.fleet.failuresOf(id))
		d.rec.add("job %s: %s; workers have begun %d runs of it, of which %d ended failed", id, state, starts, failed)
		// A subtask under which two workers have crashed may be given up.
		broken = broken || state == "failed" && starts < 2 && failed == 0
	}
	return broken, nil
}

// darken crashes all workers of a rack silently. Their machines are back after a while, with other workers.
func (d *drill) darken(rack string, length time.Duration) {
	d.cloud.mu.Lock()
	defer d.cloud.mu.Unlock()
	for _, m := range d.cloud.list {
		if m.rack != rack {
			continue
		}
		m.state = "down"
		d.fleet.mu.Lock()
		w := d.fleet.workers[m.name]
		d.fleet.mu.Unlock()
		w.crash(length)
		time.AfterFunc(length, func() {
			w.end()
			d.cloud.mu.Lock()
			m.state = "up"
			d.cloud.mu.Unlock()
			if err := d.fleet.boot(m.number, m.name, m.pool, m.zone, m.rack, m.cpu, m.memory); err != nil {
				d.rec.add("boot on %s: %v", m.name, err)
			}
		})
	}
}
