package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"
)

var errNoLeader = errors.New("no process leads")

// playRestartedWorker lets an idle worker crash and start again under its ID while a control process that doesn't lead
// is frozen, to which its first heartbeat goes.
func playRestartedWorker(d *deployment, trouble bool) int {
	w := d.workers[0]
	frozen, n := d.follower()
	if frozen == nil {
		return notRun
	}
	if trouble {
		d.signal(frozen, syscall.SIGSTOP)
		w.crash()
		time.Sleep(time.Second)
		w.controls = []int{n, (n + 1) % 3, (n + 2) % 3}
		if err := w.boot(); err != nil {
			d.rec.logf("%v", err)
			return notRun
		}
	}
	time.Sleep(100 * time.Millisecond)
	id, err := d.submit("ms=3000", step(len(d.workers)-1, 16000, 3000))
	if err != nil {
		return notRun
	}
	time.Sleep(5 * time.Second)
	if trouble {
		d.signal(frozen, syscall.SIGCONT)
	}
	if s := d.awaitState(id, 30*time.Second, "completed"); s != "completed" {
		d.rec.logf("the job is %s", s)
		return notRun
	}
	if d.checkTwice(id) || d.checkStartAfterDone(id) {
		return broken
	}
	return held
}

// playPending fills all workers but one. That one sheds starts for 6.5 s, in which jobs are handed in and the number of
// jobs that have not started is asked for.
func playPending(d *deployment, trouble bool) int {
	full, err := d.submit("ms=12000", step(len(d.workers)-1, 16000, 12000))
	if err != nil {
		return notRun
	}
	time.Sleep(500 * time.Millisecond)
	busy := map[string]bool{}
	for _, r := range d.runs(full) {
		busy[r.worker] = true
	}
	var idle *worker
	for _, w := range d.workers {
		if !busy[w.name] {
			idle = w
		}
	}
	if len(busy) != len(d.workers)-1 || idle == nil {
		return notRun
	}
	idle.setSheds(trouble)
	shed := time.Now()
	const jobs = 12
	var ids []string
	for range jobs {
		id, err := d.submit("ms=500", step(1, 1000, 500))
		if err != nil {
			return notRun
		}
		ids = append(ids, id)
	}
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(5500 * time.Millisecond)))
	waiting := 0
	for _, id := range ids {
		if len(d.runs(id)) == 0 {
			waiting++
		}
	}
	d.rec.logf("%d jobs were accepted over 5 s ago and have not begun", waiting)
	told, ok := d.pending()
	time.Sleep(time.Until(shed.Add(6500 * time.Millisecond)))
	idle.setSheds(false)
	if !ok {
		return notRun
	}
	for _, id := range ids {
		if s := d.awaitState(id, 20*time.Second, "completed"); s != "completed" {
			d.rec.logf("job %s is %s", id, s)
			return notRun
		}
	}
	if 2*told < waiting {
		d.rec.logf("MIXED: pending was %d, and %d jobs had not begun", told, waiting)
		return broken
	}
	return held
}

// playOtherWriter sends a heartbeat of another writer, with a service that is not named, at the address of a worker.
func playOtherWriter(d *deployment, trouble bool) int {
	id, err := d.submit("ms=4000", step(3, 16000, 4000))
	if err != nil {
		return notRun
	}
	time.Sleep(time.Second)
	list := d.runs(id)
	if len(list) == 0 {
		return notRun
	}
	if trouble {
		address := ""
		for _, w := range d.workers {
			if w.name == list[0].worker {
				address = w.address
			}
		}
		status, err := postJSON(context.Background(),
			"http://"+d.controlAddress(0)+"/Instances.Heartbeat/x-"+newID()[:10], map[string]any{
				"service": "other", "address": address, "zone": "bole", "version": "v1", "slots": 8, "state": "ready",
				"clockMs": 5000, "sequence": 1, "born": time.Now().UnixMilli(),
			})
		d.rec.logf("another writer reports service other at the address of %s: status %d, %v", list[0].worker, status, err)
	}
	if s := d.awaitState(id, 30*time.Second, "completed"); s != "completed" {
		return notRun
	}
	if d.checkTwice(id) || d.checkStartAfterDone(id) {
		return broken
	}
	return held
}

// playGang lets one worker fail all that it starts, and hands in a gang.
func playGang(d *deployment, trouble bool) int {
	d.workers[0].setFails(trouble)
	s := step(4, 1000, 1000)
	s["gang"] = true
	id, err := d.submit("ms=1000", s)
	if err != nil {
		return notRun
	}
	switch state := d.awaitState(id, 20*time.Second, "completed", "failed"); state {
	case "completed":
		return held
	case "failed":
		d.rec.logf("LOST: the job is shown as failed")
		return broken
	}
	return notRun
}

// playDeadly hands in a subtask that crashes each worker that starts it. The workers come back with another ID and
// address.
func playDeadly(d *deployment, trouble bool) int {
	spec := "ms=800"
	if trouble {
		spec = deadlySpec
	}
	id, err := d.submit(spec, step(1, 1000, 800))
	if err != nil {
		return notRun
	}
	const crashes, more = 3, 3
	for end := time.Now().Add(95 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		crashed, later := 0, 0 // Each life is another worker.
		for _, r := range d.runs(id) {
			if crashed >= crashes {
				later++
			}
			if r.how == "crashed" {
				crashed++
			}
		}
		if later >= more {
			d.rec.logf("BUDGET: %d starts after three workers have crashed under the subtask; the job is %s", later, d.state(id))
			return broken
		}
		if s := d.state(id); s == "completed" || s == "failed" {
			return held
		}
	}
	return held
}

// playRenamedRoute hands jobs in and then changes the configuration: the route with the same host and prefix gets another
// name. Without the trouble, the new version changes nothing but its number.
func playRenamedRoute(d *deployment, trouble bool) int {
	var ids []string
	for range 5 {
		second := step(2, 4000, 1000)
		second["dependsOn"] = []int{0}
		id, err := d.submit("ms=2000", step(4, 4000, 2000), second)
		if err != nil {
			return notRun
		}
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	name := "r-plates"
	if trouble {
		name = "r-plates-2"
	}
	if err := d.configure(8, name, 3); err != nil {
		return notRun
	}
	time.Sleep(14 * time.Second)
	result := held
	for _, id := range ids {
		switch s := d.awaitState(id, 20*time.Second, "completed", "gone"); s {
		case "completed":
		case "gone":
			d.rec.logf("LOST: job %s was accepted and not cancelled, and is answered with 410", id)
			result = broken
		default:
			d.rec.logf("LOST: job %s was accepted and is %s", id, s)
			result = broken
		}
		second := 0
		for _, r := range d.runs(id) {
			if strings.HasPrefix(r.task, id+".0.1.") {
				second++
			}
		}
		d.rec.logf("job %s: %d runs of its second step", id, second)
	}
	return result
}

// playReplacedCore removes the leader's machine for good and adds an empty one at another address 1 s later. 4.3 s after
// that, another machine of the core loses its disk and is back after 1 s.
func playReplacedCore(d *deployment, trouble bool) int {
	id, err := d.submit("ms=1000", step(4, 1000, 1000))
	if err != nil {
		return notRun
	}
	if s := d.awaitState(id, 10*time.Second, "completed"); s != "completed" {
		return notRun
	}
	if trouble {
		if err := d.replaceLeaderThenLoseDisk(); err != nil {
			d.rec.logf("%v", err)
			return notRun
		}
	}
	const recovery = 12 * time.Second
	time.Sleep(recovery + 8*time.Second)
	read, known := false, false
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && (!read || !known); time.Sleep(500 * time.Millisecond) {
		read = read || d.readConfiguration()
		known = known || d.state(id) == "completed"
	}
	if read && known {
		return held
	}
	d.rec.logf("LOST: all machines were back over 20 s ago; configuration read back: %v, job known: %v", read, known)
	return broken
}

func (d *deployment) replaceLeaderThenLoseDisk() error {
	var leader, other *process
	for _, p := range d.controls {
		if p.name == d.leaderName() {
			leader = p
		} else if other == nil {
			other = p
		}
	}
	if leader == nil {
		return errNoLeader
	}
	d.rec.logf("%s leads; its machine is removed", leader.name)
	d.kill(leader)
	time.Sleep(time.Second)
	seeds := []string{d.controlAddress(0), d.controlAddress(1), d.controlAddress(2)}
	if err := d.addControl(3, seeds); err != nil {
		return err
	}
	added := d.controls[3]
	added.settings["bootstrap"], other.settings["bootstrap"] = false, false
	if err := d.launch(added); err != nil {
		return err
	}
	time.Sleep(4300 * time.Millisecond) // catchUpS is 4 s.
	d.kill(other)
	if err := d.loseDisk(other); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return d.launch(other)
}

// playNewMachine adds a machine right after the platform's list was read, and orders the maintenance of that machine and
// another one a second later.
func playNewMachine(d *deployment, trouble bool) int {
	machines := []string{"m-w1", "m-w2"}
	before := d.countReads()
	for end := time.Now().Add(15 * time.Second); d.countReads() == before; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return notRun
		}
	}
	if trouble {
		w := &worker{
			d: d, name: "w11", address: fmt.Sprintf("%s.3.11:%d", d.network, d.port), number: 11,
			capacity: resources{CPU: 16000, MemMB: 65536}, controls: []int{0, 1, 2}, state: "moving",
		}
		d.mu.Lock()
		d.workers = append(d.workers, w)
		d.mu.Unlock()
		d.rec.logf("the machine m-w11 is added; it is moving to its pool")
		time.AfterFunc(1500*time.Millisecond, w.bootAnew)
		machines[1] = "m-w11"
	}
	time.Sleep(time.Second)
	if !d.startWave(1, machines...) {
		return notRun
	}
	for end := time.Now().Add(40 * time.Second); d.waveState(1) != "completed"; time.Sleep(500 * time.Millisecond) {
		if time.Now().After(end) {
			return notRun
		}
	}
	result := held
	for _, m := range machines {
		if !d.hasUpkeep(m) {
			d.rec.logf("MIXED: wave 1 is said to be completed, and %s, which stays, hasn't begun its upkeep", m)
			result = broken
		}
	}
	time.Sleep(5 * time.Second)
	for _, m := range machines {
		d.rec.logf("5 s later: upkeep of %s has begun: %v", m, d.hasUpkeep(m))
	}
	return result
}
