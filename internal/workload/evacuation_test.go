package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// maxStartAfterOrder is how long after an order a start may still be requested, and maxLateStart how long after it one
	// that was requested before may be carried out: a worker rejects it once its lease has expired.
	maxStartAfterOrder = 100 * time.Millisecond
	maxLateStart       = 5 * time.Second
)

func (s *sim) orderZone(zone string, restored bool) {
	s.t.Helper()
	r := s.call(&workloadpb.Command{Change: &workloadpb.Command_EvacuateZone{
		EvacuateZone: &workloadpb.EvacuateZone{Zone: zone, Restored: restored},
	}})
	assert.Equal(s.t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
}

// runsIn counts the runs of long-running or ordinary tasks in a zone.
func (s *sim) runsIn(zone string, longRunning bool) int {
	n := 0
	for _, w := range s.workers {
		for _, r := range w.runs {
			if !w.dead && w.m.Zone == zone && r.longRunning == longRunning {
				n++
			}
		}
	}
	return n
}

// countStarts returns a counter of the starts that are requested in a zone from now on.
func (s *sim) countStarts(zone string) *int {
	n := new(int)
	s.intercept = func(a kernel.Action) bool {
		if start, ok := a.(workload.StartRun); ok && s.workers[start.ID].m.Zone == zone {
			*n++
		}
		return false
	}
	return n
}

// Guards against tasks that start in an evacuated zone under load, long-running tasks that stay there or of which too many
// are missing, pools that don't grow in other zones, waves that wait, tasks that need the zone and hold up others, and a zone
// that stays unused after it was returned to service.
func TestZoneIsEvacuatedUnderLoad(t *testing.T) {
	s := newSim(t)
	s.startupTime, s.stopTime = 400*time.Millisecond, 200*time.Millisecond
	s.zones = []string{"a", "b", "c"}
	s.configure(1, nil, "glass", "spare")
	s.addWorkers("glass", 6)
	s.addWorkers("spare", 12)
	s.instances["m-spare-0"].Labels = []string{"only-there", "r0"}
	s.run(time.Second)
	s.submit("glass", "last", lastingStep(9, 2, 1))
	s.run(10 * time.Second)
	assert.Equal(t, s.running("last"), 9)
	assert.Assert(t, s.runsIn("a", true) > 0)
	jobs, leastRunning := 0, 9
	submit := func(d time.Duration) {
		for end := s.now + d; s.now < end; s.run(simStep) {
			leastRunning = min(leastRunning, s.running("last"))
			if s.now%(250*time.Millisecond) == 0 {
				jobs++
				s.submit("glass", fmt.Sprintf("job-%d", jobs), step(8, 3000, 2000, 800))
			}
		}
	}
	submit(3 * time.Second)
	assert.Assert(t, s.runsIn("a", false) > 0)
	s.orderZone("a", false)
	s.run(maxStartAfterOrder)
	starts := s.countStarts("a")
	onlyThere := step(20, 16000, 1000, 100)
	onlyThere.Label = "only-there"
	s.submit("glass", "there", onlyThere)
	s.startWave(1, 2, "m-glass-0", "m-spare-0")
	submit(20 * time.Second)
	assert.Equal(t, *starts, 0)
	assert.Equal(t, s.runsIn("a", true)+s.runsIn("a", false), 0)
	assert.Equal(t, s.running("last"), 9)
	assert.Assert(t, leastRunning >= 8, "only %d long-running tasks ran", leastRunning)
	assert.Assert(t, s.waveCompleted(1))
	for n := 1; n <= jobs-8; n++ {
		assert.Equal(t, s.jobState("glass", fmt.Sprintf("job-%d", n)), "completed", "job %d", n)
	}
	assert.Equal(t, s.jobState("glass", "there"), "queued")
	for instance, pool := range map[string]string{"m-glass-3": "spare", "m-spare-1": "glass", "m-spare-8": "spare"} {
		assert.Equal(t, s.instances[instance].Pool, pool, instance)
	}
	s.orderZone("a", true)
	s.submit("glass", "large", step(60, 6000, 2000, 2000))
	s.runUntil(10*time.Second, func() bool { return *starts > 0 && s.jobState("glass", "there") == "completed" })
}

// Guards against a start in an evacuated zone after the leader has changed or while starts get no answer, and against an order
// that is lost with the leader.
func TestEvacuationSurvivesLostAnswersAndLeaders(t *testing.T) {
	for _, changes := range []time.Duration{0, 50 * time.Millisecond, 2 * time.Second} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/lost=%t", changes, lost), func(t *testing.T) {
				s := newSim(t)
				s.zones = []string{"a", "b"}
				s.configure(1, nil, "glass", "spare")
				s.addWorkers("glass", 4)
				s.run(time.Second)
				gang, copies := step(4, 1000, 1000, 900), step(4, 1000, 1000, 900)
				gang.Gang, copies.Speculative = true, true
				s.intercept = func(a kernel.Action) bool {
					start, ok := a.(workload.StartRun)
					if !ok || !lost || s.workers[start.ID].m.Zone != "a" {
						return false
					}
					sent := s.sentAt
					s.schedule(time.Second, func() { s.fail(start, workload.NoAnswer, sent) })
					return true
				}
				s.submit("glass", "job", step(40, 1000, 1000, 900), gang, copies)
				s.submit("glass", "last", lastingStep(4, 2, 1))
				s.run(100 * time.Millisecond)
				s.orderZone("a", false)
				s.orderZone("a", false)
				s.run(changes)
				s.startTerm()
				if changes < maxStartAfterOrder {
					s.run(maxStartAfterOrder)
				}
				starts := s.countStarts("a")
				s.run(maxLateStart)
				s.runUntil(30*time.Second, func() bool { return s.jobState("glass", "job") == "completed" })
				s.runUntil(30*time.Second, func() bool { return s.runsIn("a", true) == 0 && s.running("last") == 4 })
				assert.Equal(t, *starts, 0)
				s.orderZone("b", false)
				s.submit("glass", "later", step(1, 1000, 1000, 100))
				s.run(5 * time.Second)
				assert.Equal(t, s.jobState("glass", "later"), "queued")
				s.orderZone("b", true)
				s.orderZone("a", true)
				s.runUntil(time.Second, func() bool { return s.jobState("glass", "later") == "completed" })
				assert.Equal(t, s.running("last"), 4)
			})
		}
	}
}
