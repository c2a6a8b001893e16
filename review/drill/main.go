package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	configLimit = 20 * time.Second
	// firstWorker is the number of the first worker, which gives its address.
	firstWorker = 100
)

// errNotRun reports a case that couldn't run.
var errNotRun = errors.New("the case could not run")

// drill is what a case uses.
type drill struct {
	rec      *record
	sys      *system
	fleet    *fleet
	cloud    *cloud
	operator *operator
	caller   *caller
	trouble  bool
	version  int
}

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]struct {
	bounds bounds
	play   func(d *drill) (broken bool, err error)
}{
	"attempts": {smallDeployment(), playAttempts},
	"lasting":  {smallDeployment(), playLasting},
	"racks":    {smallDeployment(), playRacks},
	"upkeep":   {fencedDeployment(), playUpkeep},
}

func main() { os.Exit(play()) }

// play plays the case that the arguments name: its name and the path of its record.
func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		return exitNotRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	broken, err := playOn(c.bounds, c.play, os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func playOn(b bounds, playCase func(d *drill) (bool, error), path string) (broken bool, err error) {
	rec, err := newRecord(path)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, rec.close()) }()
	sys, err := newSystem(rec, b)
	if err != nil {
		return false, err
	}
	defer sys.stopAll()
	d := &drill{rec: rec, sys: sys, fleet: newFleet(rec, sys), trouble: os.Getenv("TROUBLE") != "0"}
	if d.cloud, err = newCloud(rec, sys, d.fleet); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.fleet.advanceGangs(ctx)
	d.operator, d.caller = newOperator(rec, sys), newCaller(rec, sys)
	if err := sys.startAll(); err != nil {
		return false, err
	}
	broken, err = playCase(d)
	rec.add("result: broken %t, error %v", broken, err)
	return broken, err
}

// configure sends the next version of the configuration and waits for its confirmation.
func (d *drill) configure(services []string, routes []route) error {
	d.version++
	status, _ := d.operator.send("POST", "/Config.Replace", configuration(d.version, services, routes), configLimit)
	if status != 200 {
		return fmt.Errorf("%w: configuration %d got %d", errNotRun, d.version, status)
	}
	return nil
}

// addWorkers adds n machines with a worker each.
func (d *drill) addWorkers(n int) error {
	for i := range n {
		m := &machine{
			name: fmt.Sprintf("m-%s-%d", pool, i), pool: pool, zone: zones[i%len(zones)], rack: fmt.Sprintf("r-%d", i%len(zones)),
			number: firstWorker + i, cpu: 16000, memory: 65536,
		}
		if err := d.cloud.add(m); err != nil {
			return err
		}
	}
	return nil
}

// startsOf returns the starts of a job's tasks.
func (f *fleet) startsOf(id string) []start {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []start
	for _, s := range f.starts {
		if len(s.task) > len(id) && s.task[:len(id)] == id {
			list = append(list, s)
		}
	}
	return list
}

// failuresOf returns the ends of a job's tasks that ended as failed.
func (f *fleet) failuresOf(id string) []end {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []end
	for _, e := range f.ended {
		if len(e.task) > len(id) && e.task[:len(id)] == id && e.how == "failed" {
			list = append(list, e)
		}
	}
	return list
}
