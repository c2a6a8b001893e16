package quota

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscusroute/hibiscusroute/internal/member"
)

// The defaults keep the tests short; docs/decisions/quota.md is based on higher values.
var (
	searchDepth = flag.Int("quota.depth", 3, "steps of the exhaustive search")
	randomRuns  = flag.Int("quota.runs", 20, "random runs per seed")
)

// step is one transition of the model. run returns false and changes nothing if the step is not possible.
type step struct {
	name string
	run  func(g *group) bool
}

func steps() []step {
	list := []step{
		{"decide", func(g *group) bool { g.decide(); return true }},
		{"commit", func(g *group) bool { ok := len(g.proposed) > 0; g.commit(); return ok }},
		{"lose", func(g *group) bool { ok := len(g.proposed) > 0; g.proposed = nil; return ok }},
		{"lead", func(g *group) bool { g.replaceLeader(); return true }},
		{"reserve", func(g *group) bool { return g.applyJobCommand("+"+team) == nil }},
		{"unreserve", func(g *group) bool {
			return g.state.resource(team).reserved > 0 && g.applyJobCommand("-"+team) == nil
		}},
		{"round", func(g *group) bool { g.runRound(); return true }},
		{"run out", func(g *group) bool { g.advance(maxRun + 3*time.Second); g.renewOthers(nil); return true }},
	}
	for _, c := range []int{1, 2, 3} {
		list = append(list, step{fmt.Sprint("capacity ", c), func(g *group) bool {
			if g.state.Capacity(team) == uint64(c) {
				return false
			}
			g.setLimit(c)
			return true
		}})
	}
	for i := range 2 {
		each := func(name string, run func(p *process) bool) {
			list = append(list, step{fmt.Sprint(name, " ", i), func(g *group) bool { return run(g.processes[i]) }})
		}
		for _, n := range []int{0, 3} {
			each(fmt.Sprint("demand ", n), func(p *process) bool { p.holder.SetDemand(team, n); return true })
		}
		each("renew", func(p *process) bool { p.renew(); return true })
		each("deliver", func(p *process) bool {
			if p.k.Applied() == uint64(len(p.g.updates)) {
				return false
			}
			p.deliver()
			return true
		})
		each("acquire", func(p *process) bool { return p.acquire(team, maxRun) })
		each("release", func(p *process) bool {
			n := len(p.units)
			p.releaseFirst(1)
			return n > 0
		})
		each("lease end", func(p *process) bool {
			if p.leaseUntil <= p.g.now && !p.g.members.Renewable(p.id) {
				return false
			}
			p.g.advance(member.ExpireAfter + time.Millisecond)
			p.g.renewOthers(p)
			return true
		})
		each("rejoin", func(p *process) bool {
			if p.incarnations > 1 || p.g.members.Renewable(p.id) {
				return false
			}
			p.join()
			return true
		})
		each("reload", func(p *process) bool { p.restoreSnapshot(); return true })
	}
	return list
}

// renewOthers renews the leases of all processes except one.
func (g *group) renewOthers(silent *process) {
	for _, p := range g.processes {
		if p != silent {
			p.renew()
		}
	}
}

// search checks the states after all sequences of up to depth steps, and returns their number. States with the same
// fingerprint, which doesn't contain the clock, count as one.
func search(t *testing.T, start func() *group, depth int) int {
	list := steps()
	seen := map[[sha256.Size]byte]bool{}
	var mu sync.Mutex
	level := [][]uint8{{}}
	for range depth {
		var next [][]uint8
		var wg sync.WaitGroup
		work := make(chan []uint8)
		for range 8 {
			wg.Go(func() {
				for path := range work {
					g := replay(start, list, path)
					for i := range list {
						if !list[i].run(g) {
							continue
						}
						err := g.check()
						key := sha256.Sum256([]byte(g.fingerprint()))
						mu.Lock()
						if err != nil {
							t.Errorf("%v after %s", err, stepNames(list, append(slices.Clone(path), uint8(i))))
						}
						if !seen[key] {
							seen[key] = true
							next = append(next, append(slices.Clone(path), uint8(i)))
						}
						mu.Unlock()
						g = replay(start, list, path)
					}
				}
			})
		}
		for _, path := range level {
			if !t.Failed() {
				work <- path
			}
		}
		close(work)
		wg.Wait()
		if t.Failed() {
			break
		}
		level = next
	}
	return len(seen)
}

func replay(start func() *group, list []step, path []uint8) *group {
	g := start()
	for _, i := range path {
		list[i].run(g)
	}
	return g
}

func stepNames(list []step, path []uint8) string {
	var s []string
	for _, i := range path {
		s = append(s, list[i].name)
	}
	return strings.Join(s, ", ")
}

// newWarmGroup returns a group with one process for each demand, to which all units of the team are allocated.
func newWarmGroup(capacity int, demands ...int) *group {
	g := newGroup(len(demands), withLimit(capacity))
	for i, n := range demands {
		g.processes[i].holder.SetDemand(team, n)
	}
	g.runRound()
	g.runRound()
	return g
}

// Guards against any short sequence of steps after which more units are in use than the capacity allows.
func TestNoShortRunExceedsCapacity(t *testing.T) {
	for _, start := range []struct {
		name string
		run  func() *group
	}{
		{"cold", func() *group { return newGroup(2, withLimit(2)) }},
		{"warm", func() *group { return newWarmGroup(3, 3, 3) }},
		{"busy", func() *group {
			g := newWarmGroup(3, 3, 3)
			g.processes[0].acquireAll()
			g.processes[1].acquireAll()
			return g
		}},
		{"recalled", func() *group {
			g := newWarmGroup(3, 3, 0)
			g.processes[0].acquireAll()
			g.processes[1].holder.SetDemand(team, 3)
			g.runRound()
			g.runRound()
			return g
		}},
		{"expired", func() *group {
			g := newWarmGroup(3, 3, 3)
			g.processes[0].acquireAll()
			g.advance(member.ExpireAfter + time.Millisecond)
			g.processes[1].renew()
			g.commitAll()
			g.decide()
			return g
		}},
		{"reserved", func() *group {
			g := newGroup(2, withLimit(3))
			_ = g.applyJobCommand("+" + team)
			g.runRound()
			g.runRound()
			return g
		}},
	} {
		t.Run(start.name, func(t *testing.T) {
			assert.NilError(t, start.run().check())
			n := search(t, start.run, *searchDepth)
			t.Logf("%d states at depth %d", n, *searchDepth)
			assert.Assert(t, n > 0)
		})
	}
}

// Guards against more units in use than the capacity allows in long random runs with several processes and resources,
// where messages are lost, delayed or reordered, and processes crash, pause, leave and rejoin.
func TestNoRandomRunExceedsCapacity(t *testing.T) {
	documents := [][]byte{document(1, 60, 3), document(1, 20, 30), document(0, 7, 10), document(1, 40, 0)}
	resources := []string{team, TeamResource("b"), SlotResource("rack-1")}
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	assert.NilError(t, flag.Set("rapid.checks", strconv.Itoa(*randomRuns)))
	for _, seed := range []string{"1", "2", "3", "4"} {
		assert.NilError(t, flag.Set("rapid.seed", seed))
		rapid.Check(t, func(t *rapid.T) { randomRun(t, documents, resources) })
	}
}

func randomRun(t *rapid.T, documents [][]byte, resources []string) {
	g := newGroup(4, func(g *group) { g.configure(documents[0]) })
	var requests []request
	var answers []answer
	// Rapid favors small numbers, with which most steps would hardly ever run, so it only draws the seed.
	pick := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "seed"))).IntN
	for range rapid.IntRange(50, 400).Draw(t, "steps") {
		p := g.processes[pick(len(g.processes))]
		name := resources[pick(len(resources))]
		switch pick(30) {
		case 0:
			g.advance(time.Duration(pick(1000)) * time.Millisecond)
		case 1:
			g.advance([]time.Duration{member.LeaseDuration, member.ExpireAfter, maxRun, maxRun + 3*time.Second}[pick(4)])
		case 2:
			p.holder.SetDemand(name, pick(40))
		case 3, 4:
			requests = append(requests, p.send())
		case 5, 6:
			if len(requests) > 0 {
				i := pick(len(requests))
				answers = append(answers, g.serve(requests[i]))
				requests = slices.Delete(requests, i, i+1)
			}
		case 7, 8:
			if len(answers) > 0 {
				i := pick(len(answers))
				for _, q := range g.processes {
					q.receive(answers[i])
				}
				answers = slices.Delete(answers, i, i+1)
			}
		case 9:
			p.deliver()
		case 10, 11, 24, 25, 26, 27, 28, 29:
			g.runRound()
		case 12:
			p.deliverUpTo(int(p.k.Applied()) + pick(len(g.updates)-int(p.k.Applied())+1))
		case 13, 14, 15:
			for range 1 + pick(30) {
				p.acquire(name, time.Duration(1+pick(int(maxRun/time.Second)))*time.Second)
			}
		case 16:
			p.releaseFirst(pick(30))
		case 17, 18:
			g.commitAll()
		case 19:
			g.decide()
		case 20:
			g.commit()
		case 21:
			g.state.SetJobDemand(map[string]int{name: pick(10)})
			op := []string{"+", "+", "-"}[pick(3)]
			for range 1 + pick(5) {
				_ = g.applyJobCommand(op + name) // Rejected if no unit is free.
			}
		case 22:
			g.injectFault(pick)
		case 23:
			g.configure(documents[pick(len(documents))])
		}
		if err := g.check(); err != nil {
			t.Fatal(err)
		}
	}
}

// injectFault makes one component fail or restart.
func (g *group) injectFault(pick func(n int) int) {
	p := g.processes[pick(len(g.processes))]
	switch pick(6) {
	case 0:
		g.proposed = nil
	case 1:
		g.replaceLeader()
	case 2:
		p.restart()
	case 3:
		p.restoreSnapshot()
	case 4:
		if !g.members.Renewable(p.id) {
			p.join()
		}
	case 5:
		p.releaseIf(func(runningUnit) bool { return true })
		p.leave()
		p.join()
	}
}
