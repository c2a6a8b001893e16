package workload_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// maxWait is how long a long-running task may wait after its last run while there is capacity for it.
const maxWait = 9 * time.Second

// lastingStep returns a step of n long-running tasks.
func lastingStep(n, maxPerWorker, mayMiss int32) *workloadpb.Step {
	st := step(n, 2000, 4000, 0)
	st.Lasting, st.MaxPerWorker, st.MayMiss = true, maxPerWorker, mayMiss
	return st
}

// startWave starts the maintenance of instances.
func (s *sim) startWave(number int64, limit int32, instances ...string) {
	s.t.Helper()
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{
		Wave: &workloadpb.Wave{Number: number, Instances: instances, DurationMs: 20000, Cap: limit},
	}})
}

func (s *sim) waveCompleted(number int64) bool {
	s.t.Helper()
	return s.call(&workloadpb.Command{Change: &workloadpb.Command_InspectWave{
		InspectWave: &workloadpb.InspectWave{Number: number},
	}}).Completed
}

// longestWait runs the simulation for d, and returns the longest time in which fewer than n tasks of a job ran, and the
// least number that ran.
func (s *sim) longestWait(job string, n int, d time.Duration) (longest time.Duration, least int) {
	s.t.Helper()
	least = n
	wait := time.Duration(0)
	for end := s.now + d; s.now < end; {
		s.run(simStep)
		running := s.running(job)
		least = min(least, running)
		if wait += simStep; running >= n {
			wait = 0
		}
		longest = max(longest, wait)
	}
	return longest, least
}

// Guards against maintenance that stops a task which has no other worker to run on, and then waits for it.
func TestMaintenanceKeepsTaskWithoutRoomElsewhere(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.submit("glass", "last", lastingStep(4, 2, 1))
	s.run(5 * time.Second)
	assert.Equal(t, s.running("last"), 4)
	s.startWave(1, 1, "m-glass-0", "m-glass-1")
	longest, least := s.longestWait("last", 4, 20*time.Second)
	assert.Assert(t, longest < maxWait, "a task waited for %v, %d ran", longest, least)
	assert.Equal(t, least, 4)
}

// Guards against a wave that doesn't end, and tasks that wait while their pool grows, where other workers are full.
func TestMaintenanceMakesRoomBeforeItStopsTasks(t *testing.T) {
	for _, tt := range []struct {
		name         string
		workers      int
		maxPerWorker int32
		spare        int
		limit        time.Duration
	}{
		{"pool-grows", 2, 2, 4, 1500 * time.Millisecond}, // a move takes as long
		{"instance-goes-at-once", 4, 1, 0, maxWait},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass", "spare")
			s.addWorkers("glass", tt.workers)
			s.addWorkers("spare", tt.spare)
			s.submit("glass", "last", lastingStep(4, tt.maxPerWorker, 1))
			s.run(5 * time.Second)
			assert.Equal(t, s.running("last"), 4)
			s.startWave(1, 1, "m-glass-0", "m-glass-1")
			longest, least := s.longestWait("last", 4, 20*time.Second)
			assert.Assert(t, longest < tt.limit, "a task waited for %v", longest)
			assert.Assert(t, least >= 3, "%d ran", least)
			assert.Assert(t, s.waveCompleted(1))
		})
	}
}

// Guards against maintenance that stops more tasks than other workers have room for, while the instance can't go yet.
func TestMaintenanceStopsNoMoreTasksThanHaveRoom(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 3)
	s.submit("glass", "last", lastingStep(8, 3, 2))
	small := step(3, 500, 100, 20000)
	small.MaxPerWorker = 1
	s.submit("glass", "small", small)
	s.run(5 * time.Second)
	assert.Equal(t, s.running("last"), 8)
	full := slices.IndexFunc([]string{"m-glass-0", "m-glass-1", "m-glass-2"}, func(name string) bool {
		return len(s.workers[s.instances[name].Worker].runs) == 4
	})
	s.startWave(1, 1, fmt.Sprintf("m-glass-%d", full))
	s.run(1200 * time.Millisecond)
	assert.Equal(t, s.running("last"), 8)
	longest, _ := s.longestWait("last", 8, 20*time.Second)
	assert.Assert(t, longest < maxWait, "a task waited for %v", longest)
	assert.Assert(t, s.waveCompleted(1))
}

// Guards against tasks of a lost worker that wait for as long as maintenance waits for them.
func TestMaintenanceLeavesRoomForLostTasks(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 3)
	s.submit("glass", "last", lastingStep(4, 2, 1))
	s.run(5 * time.Second)
	s.startWave(1, 1, "m-glass-0", "m-glass-1", "m-glass-2")
	for _, id := range sortedIDs(s.workers) {
		if w := s.workers[id]; len(w.runs) > 0 {
			w.dead = true
			break
		}
	}
	longest, least := s.longestWait("last", 4, 30*time.Second)
	assert.Assert(t, longest < maxWait, "a task waited for %v, %d ran", longest, least)
}

// Guards against workers that are reserved for maintenance which the platform doesn't carry out, while tasks wait.
func TestTaskRunsOnWorkerReservedInVain(t *testing.T) {
	for _, o := range failedOperations {
		t.Run(o.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 2)
			s.run(time.Second)
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				_, ok := a.(workload.MaintainInstance)
				return o, ok
			}
			s.startWave(1, 2, "m-glass-0", "m-glass-1")
			s.run(time.Second)
			s.submit("glass", "last", lastingStep(4, 2, 1))
			longest, least := s.longestWait("last", 4, 20*time.Second)
			assert.Assert(t, longest < maxWait, "a task waited for %v, %d ran", longest, least)
			s.rejectRequest = nil
			s.run(20 * time.Second)
			assert.Equal(t, s.running("last"), 4)
		})
	}
}

// Guards against long-running tasks that get released capacity one after the other when several are lost at once.
func TestLostTasksGetCapacityAtOnce(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 11)
	s.run(time.Second)
	lasting := lastingStep(5, 1, 0)
	lasting.Need.Cpu = 6000
	s.submit("glass", "last", lasting)
	s.run(time.Second)
	s.submit("glass", "small", step(1000, 900, 100, 7000))
	s.run(3 * time.Second)
	s.spreadEnds(7 * time.Second)
	isLast := func(task string) bool { return strings.HasPrefix(task, "last.") }
	for _, id := range sortedIDs(s.workers) {
		w := s.workers[id]
		if slices.ContainsFunc(slices.Collect(maps.Keys(w.runs)), isLast) {
			w.dead = true
			s.call(&workloadpb.Command{Change: &workloadpb.Command_Leave{
				Leave: &workloadpb.Leave{Id: w.m.Id, BornMs: w.m.BornMs, Announced: true},
			}})
		}
	}
	assert.Equal(t, s.running("last"), 0)
	longest, least := s.longestWait("last", 5, 20*time.Second)
	assert.Assert(t, longest < maxWait, "a task waited for %v, %d ran", longest, least)
}

// Guards against a long-running gang that never starts, because smaller tasks take the capacity for its first members
// while the last one waits for its own.
func TestLongRunningGangGetsCapacity(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 4)
	s.run(time.Second)
	s.submit("glass", "small", step(2000, 1900, 100, 2100))
	s.run(time.Second)
	s.spreadEnds(2100 * time.Millisecond)
	gang := lastingStep(4, 0, 0)
	gang.Gang, gang.Need.Cpu = true, 6000
	s.submit("glass", "last", gang)
	longest, least := s.longestWait("last", 4, 20*time.Second)
	assert.Assert(t, longest < maxWait, "the gang waited for %v, %d ran", longest, least)
}

// Guards against tasks that wait for good beside a long-running gang that its pool can't hold.
func TestGangWithoutRoomHoldsNoCapacity(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	gang := lastingStep(2, 0, 0)
	gang.Gang, gang.Need.Cpu = true, 10000
	s.submit("glass", "last", gang)
	s.submit("glass", "small", step(1, 8000, 100, 500))
	s.run(10 * time.Second)
	assert.Equal(t, s.jobState("glass", "small"), "completed")
	assert.Equal(t, s.running("last"), 0)
}

// spreadEnds spreads the ends of the runs that end by themselves over d.
func (s *sim) spreadEnds(d time.Duration) {
	n := 0
	for _, id := range sortedIDs(s.workers) {
		runs := s.workers[id].runs
		for _, task := range slices.Sorted(maps.Keys(runs)) {
			n += 37 // coprime to 100, so that neighbours end far apart
			runs[task].endsAt = s.now + d*time.Duration(n%100)/100
		}
	}
}

// Guards against a pool that takes all spare instances for a task that none of them can run, so that tasks of other
// pools wait.
func TestPoolGrowsOnlyForTasksThatInstancesCanRun(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(d *workloadpb.Document, st *workloadpb.Step)
	}{
		{"label", func(_ *workloadpb.Document, st *workloadpb.Step) { st.Label = "r9" }},
		{"capacity", func(_ *workloadpb.Document, st *workloadpb.Step) { st.Need.Cpu = 17000 }},
		{"quota", func(d *workloadpb.Document, _ *workloadpb.Step) {
			d.Accounts = []*workloadpb.Account{{Name: "crew", Keys: []string{"k"}, Allowance: &workloadpb.Resources{Cpu: 3000}}}
			d.Queues[0].Public = false
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			hopeless := lastingStep(2, 0, 0)
			s.configure(1, func(d *workloadpb.Document) { tt.change(d, hopeless) }, "glass", "plates", "spare")
			s.addWorkers("glass", 1)
			s.addWorkers("plates", 1)
			s.addWorkers("spare", 4)
			s.run(time.Second)
			r := s.call(&workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: &workloadpb.Submit{
				Host: "h", Path: "/glass/a", Id: "a", Spec: "spec a", Key: "k", Steps: []*workloadpb.Step{hopeless},
			}}})
			assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
			s.run(5 * time.Second)
			big := lastingStep(2, 0, 0)
			big.Need.Cpu = 9000
			s.submit("plates", "last", big)
			longest, _ := s.longestWait("last", 2, 20*time.Second)
			assert.Assert(t, longest < maxWait, "a task waited for %v, %d instances in glass", longest,
				s.countInstances("glass"))
		})
	}
}

// Guards against a pool that takes all spare instances while the one for its waiting task is on its way.
func TestPoolGrowsByOneInstanceForOneTask(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass", "spare")
	s.addWorkers("glass", 1)
	s.addWorkers("spare", 8)
	s.submit("glass", "first", lastingStep(3, 0, 0))
	s.submit("glass", "second", lastingStep(3, 0, 0))
	s.run(2 * time.Second)
	last := lastingStep(1, 0, 0)
	last.Need.Cpu = 5000
	s.submit("glass", "last", last)
	longest, _ := s.longestWait("last", 1, 10*time.Second)
	assert.Assert(t, longest < maxWait, "the task waited for %v", longest)
	assert.Equal(t, s.moves, 1)
}

// Guards against a pool that doesn't grow by the only instance that a waiting task can use.
func TestPoolGrowsBySuitableInstance(t *testing.T) {
	for _, tt := range []struct {
		name   string
		label  string
		reject bool // of moves of the first instance
	}{{"label", "r2", false}, {"others-rejected", "a", true}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass", "spare")
			s.addWorkers("glass", 1)
			s.addWorkers("spare", 9) // the last one on rack r2
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				m, ok := a.(workload.MoveInstance)
				return workload.Malformed, ok && tt.reject && m.Instance == "m-spare-0"
			}
			s.submit("glass", "first", lastingStep(3, 0, 0))
			s.submit("glass", "second", lastingStep(3, 0, 0))
			s.run(2 * time.Second)
			last := lastingStep(1, 0, 0)
			last.Need.Cpu, last.Label = 5000, tt.label
			s.submit("glass", "last", last)
			longest, _ := s.longestWait("last", 1, 20*time.Second)
			assert.Assert(t, longest < maxWait, "the task waited for %v", longest)
		})
	}
}
