package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The defaults keep the test short; other seeds are run by hand.
var (
	simSeed    = flag.Uint64("membership.seed", 1, "first seed of the simulation of the members")
	simRuns    = flag.Uint64("membership.runs", 20, "seeds of the simulation of the members")
	simShrink  = flag.Bool("membership.shrink", false, "shorten the script of a failing seed")
	simSettled = flag.Bool("membership.settled", false, "a replaced machine stops without counting as lost")
	simSkip    = flag.String("membership.skip", "", "kinds of events to leave out, separated by commas")
)

// randomScript returns the script of a seed.
func randomScript(seed uint64) simScript {
	r := rand.New(rand.NewPCG(seed, 1))
	script := simScript{seed: seed, tolerated: 1 + int(seed%2), settled: *simSettled}
	skipped := strings.Split(*simSkip, ",")
	kinds := slices.DeleteFunc([]string{
		"lost", "lost", "disk", "disk", "dark-disk", "replace", "replace", "replace", "restart", "freeze", "cut", "split",
		"power", "power-disk", "transfer", "again",
	}, func(kind string) bool { return slices.Contains(skipped, kind) })
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(r.Int64N(int64(high-low)/int64(simStep)+1))*simStep
	}
	const ms = time.Millisecond
	limits := map[string][2]time.Duration{
		"lost": {500 * ms, 3000 * ms}, "again": {500 * ms, 3000 * ms}, "disk": {100 * ms, 3000 * ms},
		"dark-disk": {500 * ms, 3000 * ms}, "replace": {0, 5000 * ms}, "restart": {100 * ms, 3000 * ms},
		"freeze": {500 * ms, 8000 * ms}, "cut": {500 * ms, 8000 * ms}, "split": {500 * ms, 8000 * ms},
		"power": {100 * ms, 3000 * ms}, "power-disk": {100 * ms, 3000 * ms}, "transfer": {simStep, simStep},
	}
	at := 15 * time.Second // the other processes join
	script.checks = append(script.checks, at)
	for range 3 {
		// Events of one kind follow each other in some phases, as when all machines are replaced.
		favorite := kinds[r.IntN(len(kinds))]
		pause := between(500*time.Millisecond, 6*time.Second)
		for range 4 + r.IntN(10) {
			kind := kinds[r.IntN(len(kinds))]
			if r.IntN(2) == 0 {
				kind = favorite
			}
			limit := limits[kind]
			d := between(limit[0], limit[1])
			script.events = append(script.events, simEvent{at: at, d: d, kind: kind, n: r.IntN(300)})
			at += between(0, pause)
		}
		script.checks = append(script.checks, at)
	}
	return script
}

// failureKind returns the text of a failure up to its details.
func failureKind(err error) string {
	if err == nil {
		return ""
	}
	_, text, _ := strings.Cut(err.Error(), ": ")
	return text[:min(len(text), 10)]
}

// shrink leaves out events as long as the script fails in the same way.
func (script simScript) shrink() simScript {
	kind := failureKind(newMemberSim(script).run())
	for i := 0; i < len(script.events); i++ {
		shorter := script
		shorter.events = slices.Delete(slices.Clone(script.events), i, i+1)
		if failureKind(newMemberSim(shorter).run()) == kind {
			script = shorter
			i = -1
		}
	}
	return script
}

// simCase is a short script whose last event moves through a span of time.
type simCase struct {
	name     string
	script   simScript
	from, to time.Duration
}

// simAt returns an event that applies to a slot.
func simAt(at time.Duration, kind string, slot int, d time.Duration) simEvent {
	return simEvent{at: at, d: d, kind: kind, n: 3*slot + 1}
}

// Guards against the faults that TestRandomMembership has found, each as a short script.
func TestMembershipCases(t *testing.T) {
	const start, ms = 15 * time.Second, time.Millisecond
	tests := []simCase{
		{"learner is lost", simScript{tolerated: 1, events: []simEvent{
			simAt(start, "disk", 1, 600*ms), simAt(0, "again", 1, 700*ms),
		}}, start + 600*ms, start + 1600*ms},
		{"replacements overlap", simScript{tolerated: 1, events: []simEvent{
			simAt(start, "replace", 1, 0), simAt(start+800*ms, "replace", 2, 0), simAt(start+1600*ms, "replace", 1, 0),
			simAt(0, "disk", 0, 2*time.Second),
		}}, start + 6*time.Second, start + 8*time.Second},
		{"replaced machine stops after a loss", simScript{tolerated: 1, settled: true, events: []simEvent{
			simAt(start, "replace", 1, 4800*ms), simAt(0, "disk", 2, 2*time.Second),
		}}, start + 4500*ms, start + 6500*ms},
		{"successor is lost after the stop", simScript{tolerated: 1, events: []simEvent{
			simAt(start, "replace", 1, 2500*ms), simAt(0, "again", 1, 2*time.Second),
		}}, start + 2800*ms, start + 4*time.Second},
		{"dark voter leaves for a successor", simScript{tolerated: 1, events: []simEvent{
			simAt(start, "freeze", 1, 5*time.Second), simAt(start+500*ms, "replace", 0, 2*time.Second),
			simAt(0, "dark-disk", 2, time.Second),
		}}, start + 600*ms, start + 2*time.Second},
		{"dark voter leaves for a successor beside a lost one", simScript{tolerated: 2, events: []simEvent{
			simAt(start, "restart", 3, 3*time.Second), simAt(start+100*ms, "disk", 4, 3*time.Second),
			simAt(start+200*ms, "replace", 0, 2*time.Second), simAt(0, "dark-disk", 1, time.Second),
		}}, start + time.Second, start + 3*time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for at := test.from; at < test.to; at += 4 * simStep {
				script := test.script
				script.seed, script.checks = uint64(at), []time.Duration{start, at + time.Second}
				script.events = slices.Clone(script.events)
				script.events[len(script.events)-1].at = at
				s := newMemberSim(script)
				if err := s.run(); err != nil {
					t.Logf("last event at %v\n%s", at, strings.Join(s.trace, "\n"))
					assert.NilError(t, err)
				}
			}
		})
	}
}

// Guards against a sequence of losses, replacements and disturbances within the tolerance after which the group has no
// leader, keeps members that are gone, lacks a process, tolerates fewer losses or has lost a command.
func TestRandomMembership(t *testing.T) {
	seen := map[string]int{}
	for seed := *simSeed; seed < *simSeed+*simRuns; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			script := randomScript(seed)
			s := newMemberSim(script)
			err := s.run()
			for kind, n := range s.events {
				seen[kind] += n
			}
			if err == nil {
				return
			}
			if *simShrink {
				s = newMemberSim(script.shrink())
				err = s.run()
			}
			t.Logf("tolerated %d\n%s", script.tolerated, strings.Join(s.trace, "\n"))
			assert.NilError(t, err)
		})
	}
	t.Log(seen)
	if *simSkip == "" && *simRuns >= 20 {
		for _, kind := range []string{"lost", "disk", "dark-disk", "replace", "restart", "freeze", "cut", "split", "power", "again"} {
			assert.Assert(t, seen[kind] > 0, "no event %s took place: %v", kind, seen)
		}
	}
}
