package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
	// startupTime is how long after their start members fail on a worker that fails all that it starts.
	startupTime = 50 * time.Millisecond
)

// gang is one run of a gang.
type gang struct {
	rig  *rig
	name string
	size int

	mu      sync.Mutex
	members map[*taskRun]bool
	works   bool
	over    bool
	failed  bool
	from    map[string]bool // checkpoints of the starts
}

// joinGang adds a run to its gang, which works from the moment when all members are present.
func (r *rig) joinGang(t *taskRun, size int, checkpoint string) *gang {
	name := fmt.Sprintf("%s run %d", t.task[:strings.LastIndexByte(t.task, '.')], t.run)
	r.gangMu.Lock()
	g := r.gangs[name]
	if g == nil {
		g = &gang{rig: r, name: name, size: size, members: map[*taskRun]bool{}, from: map[string]bool{}}
		r.gangs[name] = g
	}
	r.gangMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[t], g.from[checkpoint] = true, true
	if len(g.from) > 1 {
		r.rec.printf("NOTE: members of %s carry different checkpoints %v", name, g.from)
	}
	if len(g.members) == size && !g.over {
		g.works = true
		r.rec.printf("%s works", name)
		time.AfterFunc(startupTime, g.failAtOnce)
		time.AfterFunc(t.work, func() { g.finish("done") })
		return g
	}
	time.AfterFunc(gangTimeout, func() {
		g.mu.Lock()
		alone := !g.works && g.members[t]
		g.mu.Unlock()
		if alone {
			t.end("alone")
		}
	})
	return g
}

// end ends a run that has not ended.
func (t *taskRun) end(how string) {
	t.worker.mu.Lock()
	defer t.worker.mu.Unlock()
	t.worker.endRun(t, how)
}

// checkpoint returns what the run has saved, empty if nothing.
func (t *taskRun) checkpoint() string {
	if t.saved == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", t.saved)
}

// finish ends all members in the same way.
func (g *gang) finish(how string) {
	g.mu.Lock()
	if g.over {
		g.mu.Unlock()
		return
	}
	g.over = true
	var list []*taskRun
	for m := range g.members {
		list = append(list, m)
	}
	g.mu.Unlock()
	for _, m := range list {
		m.end(how)
	}
}

// failAtOnce ends the members on workers that fail all that they start, each by itself, and then the others.
func (g *gang) failAtOnce() {
	g.mu.Lock()
	var members, failing []*taskRun
	for m := range g.members {
		members = append(members, m)
	}
	over := g.over
	g.mu.Unlock()
	for _, m := range members {
		if m.worker.isFailing() { // without g.mu, as a start takes both locks in the other order
			failing = append(failing, m)
		}
	}
	if len(failing) == 0 || over {
		return
	}
	g.mu.Lock()
	g.failed = true
	g.mu.Unlock()
	g.rig.rec.printf("%s fails", g.name)
	for _, m := range failing {
		m.end("failed")
	}
	g.finish("broken")
}

// leave removes a member that has ended. The others end as broken if they work together.
func (g *gang) leave(t *taskRun, how string) {
	g.mu.Lock()
	delete(g.members, t)
	works := g.works && !g.failed
	g.mu.Unlock()
	if how != "done" && works {
		g.finish("broken")
	}
}

// failedGangs returns how many runs of gangs have failed.
func (r *rig) failedGangs() int {
	r.gangMu.Lock()
	defer r.gangMu.Unlock()
	n := 0
	for _, g := range r.gangs {
		g.mu.Lock()
		if g.failed {
			n++
		}
		g.mu.Unlock()
	}
	return n
}
