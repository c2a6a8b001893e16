package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against a worker that is kept for an isolated task for as long as an ordinary task stands still on it, and kept
// from long-running tasks that fit.
func TestWorkerKeptForIsolatedTaskLeavesRoomToLongRunningTasks(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.run(time.Second)
	s.onCrash = func(task string) {
		if s.crashes[task] == 2 {
			s.rebootTime = time.Hour
		}
	}
	s.loseWorkers(t, 2, "lost", "", step(1, 12000, 1000, 1000))
	for _, w := range s.workers {
		w.stuck = true
	}
	s.submit("glass", "still", step(1, 6000, 1000, 1000))
	s.run(10 * time.Second)
	assert.Equal(t, s.running("still"), 1)
	assert.Equal(t, s.running("lost"), 0)
	s.submit("glass", "last", lasting(1, 2000, 1000))
	s.run(lostGrace + lostWindow)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against an isolated gang that keeps all workers of a pool until an ordinary task has ended.
func TestIsolatedGangLeavesRoomToOtherJobs(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 4)
	s.run(time.Second)
	s.onCrash = func(string) {
		s.scheduleLasting(simStep, func() {
			for i := range 4 {
				s.endRun(fmt.Sprintf("gang.0.0.%d", i), workloadpb.How_HOW_ALONE)
			}
		})
	}
	gang := step(4, 12000, 1000, 9000)
	gang.Gang = true
	s.loseWorkers(t, 2, "gang", "", gang)
	s.run(simStep)
	s.submit("glass", "long", step(1, 6000, 1000, 120_000))
	s.run(s.rebootTime + 6*time.Second)
	assert.Equal(t, s.running("long"), 1)
	assert.Equal(t, s.running("gang"), 0)
	s.submit("glass", "last", lasting(1, 2000, 1000))
	s.submit("glass", "other", step(1, 1000, 1000, 1000))
	s.run(lostGrace + lostWindow)
	assert.Equal(t, s.running("last"), 1)
	assert.Equal(t, s.done["other.0.0.0"], 1)
}

// Guards against a task that goes on crashing workers, because none of them comes back.
func TestTaskThatLosesWorkersForGoodIsGivenUp(t *testing.T) {
	for _, how := range []string{"lost for good", "other address"} {
		t.Run(how, func(t *testing.T) {
			s := newLossSim(t, 16)
			s.rebootTime = time.Hour
			s.run(time.Second)
			s.submit("glass", "deadly-0", step(1, 880, 1000, 800))
			s.onCrash = func(string) {
				if how == "other address" {
					for name, row := range s.instances {
						s.scheduleLasting(4*time.Second, func() {
							if w := s.workers[row.Worker]; w.dead {
								s.startWorker(name)
							}
						})
					}
				}
			}
			s.runBusy(120*time.Second, time.Second, nil)
			s.run(10 * time.Second)
			assert.Equal(t, s.jobState("glass", "deadly-0"), string(ledger.Failed))
			s.assertCompleted()
		})
	}
}

// crashUnder crashes the worker that runs a task once the run is older than age.
func (s *sim) crashUnder(t *testing.T, task string, age, rebootTime time.Duration) {
	t.Helper()
	for end := s.now + time.Minute; s.now < end; s.run(simStep) {
		for _, id := range sortedIDs(s.workers) {
			if w := s.workers[id]; !w.dead && w.runs[task] != nil {
				s.run(age)
				s.crash(w, rebootTime)
				return
			}
		}
	}
	t.Fatalf("%s doesn't run", task)
}

// Guards against a job that is given up after one crash under an isolated run, because a worker crashed long after another
// isolated run had proven harmless.
func TestCrashUnderProvenRunIsNoEvidence(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 6)
	s.run(time.Second)
	s.submit("glass", "innocent", step(1, 1000, 1000, 9000))
	for _, age := range []time.Duration{
		500 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second, 500 * time.Millisecond, 500 * time.Millisecond,
	} {
		s.crashUnder(t, "innocent.0.0.0", age, 2*time.Second)
	}
	s.run(30 * time.Second)
	assert.Equal(t, s.jobState("glass", "innocent"), string(ledger.Completed))
}

// Guards against a long-running task that waits beside free workers until it is known how its last worker ended.
func TestLongRunningTaskStartsThoughItsLastWorkerIsLostForGood(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 8)
	s.run(time.Second)
	s.submit("glass", "last", lasting(1, 1000, 1000))
	for _, rebootTime := range []time.Duration{2 * time.Second, 2 * time.Second, time.Hour, time.Hour} {
		s.crashUnder(t, "last.0.0.0", 500*time.Millisecond, rebootTime)
	}
	longest, _ := s.longestWait("last", 1, 30*time.Second)
	assert.Assert(t, longest <= maxWait, "waited for %v", longest)
}

// Guards against maintenance that passes for a crash under the tasks of a worker that didn't answer.
func TestMaintenanceOfSilentWorkerIsNoCrash(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	w.stuck = true
	s.keepsID = func(string) bool { return true }
	s.run(time.Second)
	s.submit("glass", "innocent", step(1, 1000, 1000, 1000))
	s.run(time.Second)
	w.deaf = true
	s.startWave(1, 1, "m-glass-0")
	s.run(4500 * time.Millisecond)
	assert.Assert(t, w.dead)
	losses := s.e.State().JobByID("innocent").Occurrences()[0].Steps[0].Tasks[0].Losses()
	assert.Equal(t, len(losses), 0, "%v", losses)
}

// Guards against a departure that is ignored, because the incarnation has been replaced, although it shows that the worker
// has not crashed.
func TestLateDepartureOfLostWorkerIsRecorded(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	w.stuck = true
	s.run(time.Second)
	s.submit("glass", "innocent", step(1, 1000, 1000, 1000))
	s.run(time.Second)
	w.dead = true
	s.startWorkerAs("m-glass-0", "w-later", w.m.Address)
	task := &s.e.State().JobByID("innocent").Occurrences()[0].Steps[0].Tasks[0]
	assert.Equal(t, len(task.Losses()), 1)
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Leave{
		Leave: &workloadpb.Leave{Id: w.m.Id, BornMs: w.m.BornMs, Announced: true},
	}})
	assert.Equal(t, len(task.Losses()), 0)
}

// Guards against maintenance that passes for a crash under the tasks of a worker that was cut off, before or after its
// runs were given up.
func TestMaintenanceOfCutOffWorkerIsNoCrash(t *testing.T) {
	for _, cutOffFor := range []time.Duration{0, 7 * time.Second} {
		t.Run(cutOffFor.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			w.stuck = true
			s.keepsID = func(string) bool { return true }
			s.run(time.Second)
			s.submit("glass", "innocent", step(1, 1000, 1000, 1000))
			s.run(time.Second)
			w.unreachable = true
			s.run(cutOffFor)
			s.startWave(1, 1, "m-glass-0")
			task := &s.e.State().JobByID("innocent").Occurrences()[0].Steps[0].Tasks[0]
			for end := s.now + 8*time.Second; s.now < end; s.run(simStep) {
				for _, l := range task.Losses() {
					assert.Assert(t, !l.Crashed, "%v", l)
				}
			}
			assert.Assert(t, w.dead)
		})
	}
}
