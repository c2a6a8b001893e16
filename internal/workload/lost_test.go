package workload_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// The times of the users' rule: a long-running task has to run within lostWindow when it has had room and there was no
// disturbance for calmBefore before that, from lostGrace after its last run.
const (
	lostWindow = 3 * time.Second
	calmBefore = 4 * time.Second
	lostGrace  = 6 * time.Second
	// leaderSettles is how long a change of leader counts as a disturbance.
	leaderSettles = 3 * time.Second
)

// lostCheck checks that no long-running task waits while there is room for it. It judges by what the fake workers run.
type lostCheck struct {
	sim            *sim
	disturbedUntil time.Duration
	tasks          []*lastingTask
	// allowed reports whether the adviser allows a worker for a step of a job.
	allowed func(w *fakeWorker, job string, step int32) bool
	// pool returns the pool whose workers run a job, and account its account, nil if it has none.
	pool    func(job string) string
	account func(job string) *workloadpb.Account
	// accounts holds the name of the account of each job.
	accounts map[string]string
}

// lastingTask is a long-running task of a job that was submitted.
type lastingTask struct {
	name    workload.RunName
	key     string // taskKey of the name
	step    *workloadpb.Step
	ranAt   time.Duration
	waiting bool
	room    map[*fakeWorker]time.Duration // since when there is room for it
}

// newLostCheck returns a check for a simulation in which one pool runs all jobs, without advice and accounts.
func newLostCheck(s *sim, pool string) *lostCheck {
	return &lostCheck{
		sim: s, allowed: func(*fakeWorker, string, int32) bool { return true },
		pool:    func(string) string { return pool },
		account: func(string) *workloadpb.Account { return nil }, accounts: map[string]string{},
	}
}

func (c *lostCheck) addJob(job string) {
	for i, st := range c.sim.steps[job] {
		for n := range st.Count {
			if st.Lasting {
				name := workload.RunName{Job: job, Step: int32(i), Index: n}
				c.tasks = append(c.tasks, &lastingTask{name: name, key: taskKey(name), step: st, ranAt: c.sim.now})
			}
		}
	}
}

func (c *lostCheck) cancelJob(job string) {
	c.tasks = slices.DeleteFunc(c.tasks, func(t *lastingTask) bool { return t.name.Job == job })
}

// disturb records a disturbance that lasts until a time.
func (c *lostCheck) disturb(until time.Duration) { c.disturbedUntil = max(c.disturbedUntil, until) }

// usage returns what the runs of an account use on all workers that are up.
func (c *lostCheck) usage(account string) ledger.Resources {
	u := ledger.Resources{}
	for _, w := range c.sim.workers {
		for _, r := range w.runs {
			if !w.dead && c.accounts[r.name.Job] == account {
				u = u.Plus(ledger.ResourcesOf(c.sim.steps[r.name.Job][r.name.Step].Need))
			}
		}
	}
	return u
}

func (w *fakeWorker) free() ledger.Resources {
	f := ledger.ResourcesOf(w.m.Capacity)
	for _, r := range w.runs {
		f = f.Minus(r.need)
	}
	return f
}

// check returns the first task that breaks the rule, with the workers that have room for it, or nil.
func (c *lostCheck) check() (*lastingTask, []*fakeWorker) {
	s := c.sim
	running := map[string]bool{}
	for _, w := range s.workers {
		for task, r := range w.runs {
			if r.longRunning && !w.dead {
				running[task] = true
			}
		}
	}
	for _, t := range c.tasks {
		if running[t.key] {
			t.ranAt, t.waiting = s.now, false
			continue
		}
		if !t.waiting {
			t.waiting, t.room = true, nil
		}
		room := map[*fakeWorker]time.Duration{}
		var broken []*fakeWorker
		for _, w := range c.workersWithRoom(t, running) {
			at, ok := t.room[w]
			if !ok {
				at = s.now
			}
			room[w] = at
			if begin := max(at, t.ranAt+lostGrace, c.disturbedUntil+calmBefore); s.now-begin >= lostWindow {
				broken = append(broken, w)
			}
		}
		t.room = room
		if len(broken) > 0 {
			return t, broken
		}
	}
	return nil, nil
}

// workersWithRoom returns the workers that have room for a task twice over. For a gang it returns all workers that may
// run it if they have room for the whole gang twice over.
func (c *lostCheck) workersWithRoom(t *lastingTask, running map[string]bool) []*fakeWorker {
	s := c.sim
	account := c.accounts[t.name.Job]
	if a := c.account(t.name.Job); a != nil {
		limit := ledger.ResourcesOf(a.Allowance)
		if u := c.usage(account).Times(2).Plus(ledger.Resources{CPU: 1, Memory: 1}); !u.WithinQuota(limit) {
			return nil
		}
	}
	var list []*fakeWorker
	slots := 0
	for _, id := range sortedIDs(s.workers) {
		w := s.workers[id]
		if w.dead || !w.reachable() || w.draining || w.m.Pool != c.pool(t.name.Job) ||
			t.step.Label != "" && !slices.Contains(w.m.Labels, t.step.Label) || !c.allowed(w, t.name.Job, t.name.Step) {
			continue
		}
		need, free := ledger.RequiredCapacity(t.step), w.free()
		limit := int(t.step.Count) * 2
		if m := int(t.step.MaxPerWorker); m > 0 {
			prefix := fmt.Sprintf("%s.0.%d.", t.name.Job, t.name.Step)
			for task := range w.runs {
				if strings.HasPrefix(task, prefix) {
					m--
				}
			}
			limit = m
		}
		if limit <= 0 || !need.Times(2).Within(free) {
			continue
		}
		for n := 0; n < limit && need.Within(free); n++ {
			free = free.Minus(need)
			slots++
		}
		list = append(list, w)
	}
	if t.step.Gang {
		for n := range t.step.Count {
			name := t.name
			if name.Index = n; running[taskKey(name)] {
				return nil
			}
		}
		if slots < 2*int(t.step.Count) {
			return nil
		}
	}
	return list
}

// reachable reports whether a worker answers and sends heartbeats.
func (w *fakeWorker) reachable() bool { return !w.unreachable && !w.deaf && !w.mute && !w.unhealthy }
