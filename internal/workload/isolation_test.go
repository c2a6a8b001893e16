package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// loseWorkers submits a job whose first task loses n workers soon after its starts, and none after that.
func (s *sim) loseWorkers(t *testing.T, n int, id, key string, st *workloadpb.Step) {
	t.Helper()
	task := id + ".0.0.0"
	s.isDeadly = func(name string) bool { return name == task && s.crashes[task] < n }
	r := s.call(&workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: &workloadpb.Submit{
		Host: "h", Path: "/glass/" + id, Id: id, Spec: "spec " + id, Key: key, Steps: []*workloadpb.Step{st},
	}}})
	assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
	for end := s.now + time.Minute; s.now < end && s.crashes[task] < n; {
		s.run(simStep)
	}
	assert.Equal(t, s.crashes[task], n)
}

// Guards against a worker that is kept for an isolated task whose account has no quota left.
func TestTaskBeyondQuotaKeepsNoWorker(t *testing.T) {
	s := newSim(t)
	accounts := func(cpu int64) func(d *workloadpb.Document) {
		return func(d *workloadpb.Document) {
			d.Queues = append(d.Queues, &workloadpb.Queue{Name: "open", Host: "h", Prefix: "/open/", Pool: "glass", Public: true})
			d.Queues[0].Public = false
			d.Accounts = []*workloadpb.Account{{Name: "crew", Keys: []string{"k"}, Allowance: &workloadpb.Resources{Cpu: cpu}}}
		}
	}
	s.configure(1, accounts(4000), "glass")
	s.addWorkers("glass", 1)
	s.run(time.Second)
	s.loseWorkers(t, 2, "lost", "k", step(1, 2000, 1000, 1000))
	s.configure(2, accounts(1000), "glass")
	s.run(s.rebootTime + time.Second)
	s.submit("open", "other", step(1, 1000, 1000, 1000))
	s.run(lostWindow)
	assert.Equal(t, s.running("lost"), 0)
	assert.Equal(t, s.done["other.0.0.0"], 1)
}

// Guards against workers that are kept for an isolated gang that the pool can't hold.
func TestImpossibleGangKeepsNoWorkers(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	gang := step(2, 6000, 1000, 1000)
	gang.Gang = true
	s.run(time.Second)
	s.loseWorkers(t, 3, "gang", "", gang)
	s.instances["m-glass-0"].Capacity = &workloadpb.Resources{Cpu: 8000, MemoryMib: 65536}
	s.run(s.rebootTime + time.Second)
	s.submit("glass", "other", step(1, 1000, 1000, 1000))
	s.run(lostWindow)
	assert.Equal(t, s.running("gang"), 0)
	assert.Equal(t, s.done["other.0.0.0"], 1)
}

// Guards against a scheduling pass that stops the leader, because many tasks have lost the same worker.
func TestLossOfManyTasksDelaysNoDecision(t *testing.T) {
	const maxStepTime = 5 * time.Second
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 100)
	s.run(time.Second)
	s.submit("glass", "many", step(1500, 5, 10, 20000))
	s.run(time.Second)
	for _, w := range s.workers {
		if len(w.runs) > 0 {
			s.crash(w, s.rebootTime)
		}
	}
	for end := s.now + 10*time.Second; s.now < end; {
		started := time.Now()
		s.run(simStep)
		assert.Assert(t, time.Since(started) < maxStepTime)
	}
	assert.Equal(t, s.running("many"), 1500)
}

// Guards against long-running tasks that wait until all tasks that have lost workers have run isolated.
func TestManyIsolatedTasksLeaveRoomToLongRunningTasks(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 4)
	s.run(time.Second)
	for i := range 40 {
		s.submit("glass", fmt.Sprintf("small-%d", i), step(1, 1000, 1000, 3000))
	}
	for range 2 {
		s.run(time.Second)
		for i := range 4 {
			s.crash(s.workers[s.instances[fmt.Sprintf("m-glass-%d", i)].Worker], 2*time.Second)
		}
		s.run(2*time.Second + simStep)
	}
	s.submit("glass", "last", lasting(1, 1000, 1000))
	s.run(lostWindow + calmBefore)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against a long-running task that crashes another worker beside other runs, while a worker is free for it.
func TestLongRunningTaskPrefersFreeWorkerAfterTwoCrashes(t *testing.T) {
	s := newLossSim(t, 3)
	s.run(time.Second)
	s.loseWorkers(t, 2, "deadly", "", lasting(1, 2000, 1000))
	s.isDeadly = func(task string) bool { return task == "deadly.0.0.0" }
	for _, id := range sortedIDs(s.workers) {
		if w := s.workers[id]; !w.dead && w.startedAt == 0 {
			w.m.Labels = []string{"a", "uncrashed"}
			s.report(w)
		}
	}
	for i := range 60 {
		small := step(1, 1000, 1000, 800)
		small.Label = "uncrashed"
		s.submit("glass", fmt.Sprintf("small-%d", i), small)
		s.run(500 * time.Millisecond)
	}
	assert.Equal(t, s.jobState("glass", "deadly"), string(ledger.Failed))
	assert.Equal(t, s.crashes["deadly.0.0.0"], 4)
}

// Guards against a run that is stopped before its worker crashes and counts as one under which it crashed.
func TestCrashAfterStopIsNotUnderTask(t *testing.T) {
	s := newLossSim(t, 1)
	s.run(time.Second)
	s.submit("glass", "deadly", step(1, 1000, 1000, 1000))
	s.run(2 * simStep)
	w := s.workers[s.instances["m-glass-0"].Worker]
	assert.Equal(t, len(w.runs), 1)
	s.cancel("glass", "deadly")
	s.run(2 * simStep)
	assert.Assert(t, w.dead)
	assert.Equal(t, s.crashes["deadly.0.0.0"], 0)
}

// Guards against long-running tasks that wait beside capacity, because each isolated one before them takes long to prove
// harmless.
func TestIsolatedLongRunningTasksFollowEachOther(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	s.run(time.Second)
	for i := range 4 {
		s.submit("glass", fmt.Sprintf("last-%d", i), lasting(1, 1000, 1000))
	}
	for range 3 {
		s.run(500 * time.Millisecond)
		s.crash(s.workers[s.instances["m-glass-0"].Worker], 2*time.Second)
		s.run(2*time.Second + simStep)
	}
	s.run(lostWindow + calmBefore)
	for i := range 4 {
		assert.Equal(t, s.running(fmt.Sprintf("last-%d", i)), 1)
	}
}

// Guards against an isolated long-running task that never starts, because ordinary tasks take the capacity it waits for.
func TestIsolatedLongRunningTaskReservesCapacity(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 3)
	s.run(time.Second)
	s.onCrash = func(string) {
		if s.crashes["last.0.0.0"] == 3 {
			s.rebootTime = time.Hour
		}
	}
	last := lasting(2, 12000, 1000)
	last.MaxPerWorker = 1
	s.loseWorkers(t, 3, "last", "", last)
	for i := range int64(200) {
		s.submit("glass", fmt.Sprintf("ordinary-%d", i), step(1, 3000, 1000, 1000+i%7*300))
		s.run(100 * time.Millisecond)
	}
	assert.Equal(t, s.running("last"), 2)
}

// Guards against long-running tasks that start one after the other, because each prefers to run alone on the only worker.
func TestPreferredIsolationLeavesRoomToLongRunningTasks(t *testing.T) {
	const jobs = 6
	for _, deadly := range []bool{false, true} {
		t.Run(fmt.Sprint("deadly ", deadly), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 1)
			s.run(time.Second)
			for i := range jobs {
				s.submit("glass", fmt.Sprintf("last-%d", i), lasting(1, 1000, 1000))
			}
			for range 2 {
				s.run(500 * time.Millisecond)
				s.crash(s.workers[s.instances["m-glass-0"].Worker], 2*time.Second)
				s.run(2*time.Second + simStep)
			}
			if deadly {
				s.isDeadly = func(task string) bool { return task == "deadly.0.0.0" }
				s.submit("glass", "deadly", lasting(1, 1000, 1000))
				s.run(60 * time.Second)
				assert.Equal(t, s.jobState("glass", "deadly"), string(ledger.Failed))
			} else {
				s.run(lostWindow)
			}
			for i := range jobs {
				assert.Equal(t, s.running(fmt.Sprintf("last-%d", i)), 1)
			}
		})
	}
}

// Guards against a log that shows room on a worker that is kept for an isolated task which waits.
func TestKeptWorkerIsNotLoggedAsRoom(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			s := newSim(t)
			reasons := map[string]int{}
			s.e.Configure(workload.Config{
				WallClock: func() time.Time { return time.UnixMilli(1_000_000).Add(s.now) }, MaxLease: s.maxLease,
				IncrementCounter: func(name, _, value string) {
					if name == "hibiscusroute_long_running_waits_total" {
						reasons[value]++
					}
				},
			})
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 3)
			s.run(time.Second + phase)
			s.onCrash = func(string) { s.rebootTime = time.Hour }
			s.loseWorkers(t, 2, "lost", "", step(1, 1000, 1000, 60_000))
			for i := range 100 {
				s.submit("glass", fmt.Sprintf("small-%d", i), step(1, 100, 100, 3000))
				s.submit("glass", fmt.Sprintf("last-%d", i), lasting(1, 10, 10))
				s.run(100 * time.Millisecond)
			}
			assert.Assert(t, reasons["kept-for-isolated-run"] > 0, "%v", reasons)
			assert.Equal(t, reasons["has-room"], 0, "%v", reasons)
		})
	}
}
