package workload_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against a task that starts before the steps that it depends on are done, and one that is done twice.
func TestStepsRunInOrder(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 3)
	second := step(4, 2000, 1000, 300)
	second.After = []int32{0}
	s.submit("glass", "a", step(6, 1000, 1000, 500), second)
	s.run(400 * time.Millisecond)
	assert.Equal(t, s.running("a"), 6)
	s.run(1500 * time.Millisecond)
	assert.Equal(t, s.jobState("glass", "a"), "completed")
	assert.Equal(t, len(s.done), 10)
}

// Guards against more concurrent runs than the quota of a client account allows.
func TestQuotaHolds(t *testing.T) {
	s := newSim(t)
	s.configure(1, func(d *workloadpb.Document) {
		d.Queues[0].Public = false
		d.Accounts = []*workloadpb.Account{{
			Name: "crew", Keys: []string{"k"}, Weight: 1, Allowance: &workloadpb.Resources{Cpu: 5000},
		}}
	}, "glass")
	s.addWorkers("glass", 3)
	r := s.call(&workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: &workloadpb.Submit{
		Host: "h", Path: "/glass/a", Id: "a", Spec: "spec a", Key: "k", Steps: []*workloadpb.Step{step(12, 1000, 100, 400)},
	}}})
	assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
	most := 0
	for range 200 {
		s.run(simStep)
		most = max(most, s.running("a"))
	}
	assert.Equal(t, most, 5)
	assert.Equal(t, len(s.done), 12)
}

// Guards against runs of a dead worker that are never given up, because each repeated request extends the lease.
func TestRunsOfDeadWorkerAreGivenUp(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	ws := s.addWorkers("glass", 2)
	s.submit("glass", "a", step(2, 9000, 1000, 3000))
	s.run(time.Second)
	assert.Equal(t, len(ws[0].runs), 1)
	ws[0].dead = true
	s.run(12 * time.Second)
	assert.Equal(t, s.jobState("glass", "a"), "completed")
}

// Guards against a second run of a task while an unreachable worker still executes the first one, which it does until
// its lease expires.
func TestUnreachableWorkerKeepsRunsUntilLeaseExpires(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	ws := s.addWorkers("glass", 2)
	s.submit("glass", "a", step(2, 9000, 1000, 3000))
	s.run(time.Second)
	ws[0].stuck = true
	ws[0].unreachable = true
	s.run(12 * time.Second)
	assert.Equal(t, s.jobState("glass", "a"), "completed")
}

// Guards against a new leader that starts running tasks again, or that forgets what its predecessor assigned.
func TestNewLeaderAdoptsRuns(t *testing.T) {
	for _, tt := range []struct {
		name string
		deny bool // the old leader's starts get no answer and are not carried out
	}{{"running", false}, {"never-started", true}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 2)
			s.run(100 * time.Millisecond)
			if tt.deny {
				s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
					_, ok := a.(workload.StartRun)
					return workload.NoAnswer, ok
				}
			}
			s.submit("glass", "a", step(6, 3000, 1000, 1000))
			s.run(300 * time.Millisecond)
			s.rejectRequest = nil
			s.startTerm()
			s.run(3 * time.Second)
			assert.Equal(t, s.jobState("glass", "a"), "completed")
			assert.Equal(t, len(s.done), 6)
		})
	}
}

// Guards against maintenance that loses track of the incarnation that it ends, when the list of instances is read while
// the request is in flight.
func TestListDuringMaintenanceKeepsIncarnation(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.run(4 * time.Second)
	s.submit("glass", "a", step(4, 4000, 1000, 6000))
	s.run(200 * time.Millisecond)
	wave := &workloadpb.Wave{Number: 1, Instances: []string{"m-glass-0"}, DurationMs: 20000, Cap: 1}
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: wave}})
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		if _, ok := a.(workload.MaintainInstance); ok {
			// The instance is down, and listed as such, before the answer arrives.
			done := workload.ListInstancesResult{Outcome: workload.Accepted, SentAt: s.now}
			s.rejectRequest = nil
			s.execute(a)
			for _, row := range s.instances {
				done.Instances = append(done.Instances, *row)
			}
			s.k.Observe(s.now, done)
			return workload.Withheld, true
		}
		return 0, false
	}
	s.run(12 * time.Second)
	assert.Equal(t, s.jobState("glass", "a"), "completed")
}

// Guards against a long-running task that waits for as long as smaller tasks take all released capacity.
func TestLongRunningTaskGetsCapacity(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	for i := range 200 {
		s.submit("glass", fmt.Sprintf("small-%03d", i), step(1, 1000, 1000, int64(150+7*i)))
	}
	s.run(300 * time.Millisecond)
	longRunning := step(1, 6000, 1000, 0)
	longRunning.Lasting = true
	s.submit("glass", "last", longRunning)
	s.run(2500 * time.Millisecond)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against capacity that is reserved on a worker whose memory another long-running task never releases.
func TestLongRunningTaskReservesReleasableCapacity(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	big := step(1, 1000, 60000, 0)
	big.Lasting = true
	s.submit("glass", "big", big)
	s.run(100 * time.Millisecond)
	for i := range 60 {
		s.submit("glass", fmt.Sprintf("small-%03d", i), step(1, 300, 8000, int64(300+31*i)))
	}
	s.run(200 * time.Millisecond)
	other := step(1, 1000, 40000, 0)
	other.Lasting = true
	s.submit("glass", "other", other)
	s.run(2500 * time.Millisecond)
	assert.Equal(t, s.running("other"), 1)
}

// Guards against instances that serve a pool without demand while another one is full.
func TestPoolsFollowDemand(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass", "plates", "spare")
	s.addWorkers("glass", 6)
	s.addWorkers("plates", 6)
	s.addWorkers("spare", 2)
	s.run(10 * time.Second)
	assert.Equal(t, s.countInstances("spare"), 12)
	s.submit("glass", "a", step(100, 2000, 1000, 4000))
	s.run(6 * time.Second)
	assert.Assert(t, s.countInstances("glass") >= 12, "%d instances", s.countInstances("glass"))
	s.run(10 * time.Second)
	assert.Equal(t, s.jobState("glass", "a"), "completed")
}

func (s *sim) countInstances(pool string) int {
	n := 0
	for _, row := range s.instances {
		if row.Pool == pool {
			n++
		}
	}
	return n
}

// Guards against maintenance that stops more tasks of a step at once than the step may miss.
func TestMaintenanceKeepsEnoughTasksReady(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 5)
	longRunning := step(6, 2000, 4000, 0)
	longRunning.Lasting, longRunning.MayMiss = true, 1
	s.submit("glass", "last", longRunning)
	s.run(5 * time.Second)
	wave := &workloadpb.Wave{Number: 1, DurationMs: 20000, Cap: 3}
	for name := range s.instances {
		wave.Instances = append(wave.Instances, name)
	}
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: wave}})
	least := 6
	for range 2500 {
		s.run(simStep)
		least = min(least, s.running("last"))
	}
	assert.Assert(t, least >= 5, "%d were ready", least)
	r := s.call(&workloadpb.Command{Change: &workloadpb.Command_InspectWave{
		InspectWave: &workloadpb.InspectWave{Number: 1},
	}})
	assert.Assert(t, r.Completed)
}

// Guards against maintenance that ends the runs of an incarnation that the list of instances does not name yet.
func TestMaintenanceWaitsForListAfterReboot(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	ws := s.addWorkers("glass", 2)
	longRunning := step(2, 9000, 4000, 0)
	longRunning.Lasting, longRunning.MayMiss = true, 1
	s.submit("glass", "last", longRunning)
	s.run(time.Second)
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		if _, ok := a.(workload.MaintainInstance); ok {
			t.Error("maintenance was requested")
		}
		_, ok := a.(workload.ListInstances)
		return workload.NoAnswer, ok
	}
	ws[0].dead = true
	s.startWorker("m-glass-0")
	s.run(9 * time.Second)
	assert.Equal(t, s.running("last"), 2)
	wave := &workloadpb.Wave{Number: 1, Instances: []string{"m-glass-0"}, DurationMs: 20000, Cap: 1}
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: wave}})
	s.run(2 * time.Second)
}

// Guards against runs that are given up, and start elsewhere, because the platform accepts a maintenance request that
// was carried out under an earlier leader: the instance has restarted since, and its runs continue.
func TestRepeatedMaintenanceKeepsRuns(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.run(time.Second)
	s.instances["m-glass-0"].Labels = []string{"new", "r0"}
	requests := 0
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		m, ok := a.(workload.MaintainInstance)
		if ok {
			requests++
		}
		if !ok || requests > 1 {
			return 0, false
		}
		s.maintain(m)
		return workload.NoAnswer, true
	}
	wave := &workloadpb.Wave{Number: 1, Instances: []string{"m-glass-0"}, DurationMs: 20000, Cap: 1}
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: wave}})
	for requests == 0 {
		s.run(simStep)
	}
	// The instance is down from here on, and the next leader does not learn of it.
	timers := s.timers
	s.startTerm()
	s.timers = timers[:1]
	s.run(3 * time.Second)
	long := step(1, 4000, 1000, 9000)
	long.Label = "new"
	s.submit("glass", "long", long)
	s.run(15 * time.Second)
	assert.Assert(t, requests > 1)
	for _, a := range s.requests {
		if start, ok := a.(workload.StartRun); ok {
			assert.Equal(t, start.Name.Run, int32(1), "the task started again")
		}
	}
	assert.Equal(t, s.jobState("glass", "long"), "completed")
	assert.Equal(t, s.done["long.0.0.0"], 1)
	s.submit("glass", "after", long)
	s.run(12 * time.Second)
	assert.Equal(t, s.jobState("glass", "after"), "completed", "the instance gets no more runs")
}

// Guards against a start without a lease on a worker that stopped answering after the task was assigned.
func TestStartWaitsUntilTheWorkerAnswers(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	s.submit("glass", "a", step(1, 1000, 1000, 5000))
	s.run(500 * time.Millisecond)
	delayed := &workloadpb.Assign{}
	s.submit("glass", "b", step(1, 1000, 1000, 500))
	for _, c := range s.k.Decide(s.now).Commands {
		m := &workloadpb.Command{}
		assert.NilError(t, proto.Unmarshal(c.Body, m))
		delayed = m.GetAssign()
	}
	assert.Equal(t, len(delayed.GetAssignments()), 1)
	// A request fails while the assignment is being replicated.
	s.k.Observe(s.now, workload.StopRunResult{
		Request: workload.StopRun{
			RequestHeader: workload.RequestHeader{Target: workload.Target{Incarnation: 1}},
			Name:          workload.RunName{Job: "a", Run: 1},
		},
		Answer: workload.Answer{Outcome: workload.NoAnswer, SentAt: s.now, EndedAt: s.now},
	})
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Assign{Assign: delayed}})
	s.run(4 * time.Second)
	assert.Equal(t, s.jobState("glass", "b"), "completed")
}

// Guards against best-effort tasks that keep their speed beside a task that exceeds its latency target, and against
// ones that stay throttled.
func TestBestEffortTasksAreThrottledAndReleased(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	latencySensitive, bestEffort := step(1, 4000, 1000, 0), step(2, 6000, 1000, 0)
	latencySensitive.Lasting, latencySensitive.TargetMs = true, 100
	bestEffort.Lasting, bestEffort.Fills = true, true
	s.submit("glass", "serve", latencySensitive)
	s.submit("glass", "fill", bestEffort)
	percent := func() int {
		last := 100
		for _, a := range s.requests {
			if p, ok := a.(workload.ThrottleRun); ok {
				assert.Equal(t, p.Name.Job, "fill")
				last = p.Percent
			}
		}
		return last
	}
	s.run(2 * time.Second)
	assert.Equal(t, percent(), 100)
	w.load = 150
	s.run(1500 * time.Millisecond)
	assert.Equal(t, percent(), 0)
	w.load = 50
	s.run(30 * time.Second)
	assert.Equal(t, percent(), 100)
}

// Guards against a job that keeps running after it was cancelled.
func TestCancelStopsRuns(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.submit("glass", "a", step(10, 3000, 1000, 5000))
	s.run(500 * time.Millisecond)
	s.cancel("glass", "a")
	s.run(500 * time.Millisecond)
	assert.Equal(t, s.running("a"), 0)
	assert.Equal(t, s.jobState("glass", "a"), "cancelled")
}

// Guards against more runs of a task than it may have, and a job that fails too early.
func TestFailedRunsEndTheJob(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	for _, w := range s.addWorkers("glass", 2) {
		w.how = workloadpb.How_HOW_FAILED
	}
	s.submit("glass", "a", step(1, 1000, 1000, 100))
	s.run(3 * time.Second)
	assert.Equal(t, s.jobState("glass", "a"), "failed")
	starts := 0
	for _, a := range s.requests {
		if _, ok := a.(workload.StartRun); ok {
			starts++
		}
	}
	assert.Equal(t, starts, 3)
}

// Guards against state that is missing in a snapshot.
func TestSnapshotKeepsTheState(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.submit("glass", "a", step(6, 3000, 1000, 1000))
	s.run(300 * time.Millisecond)
	data, err := s.k.Snapshot(false)
	assert.NilError(t, err)
	other := newSim(t)
	assert.NilError(t, other.k.Restore(data))
	again, err := other.k.Snapshot(false)
	assert.NilError(t, err)
	assert.DeepEqual(t, data, again)
}
