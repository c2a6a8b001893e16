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

// Guards against maintenance that waits for a step which may miss no further task, and keeps the worker from ordinary
// tasks that fit.
func TestMaintenanceThatMayStopNothingLeavesRoomToOrdinaryTasks(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	s.run(time.Second)
	apart := lasting(2, 1000, 1000)
	apart.MaxPerWorker, apart.MayMiss = 1, 1
	s.submit("glass", "apart", apart)
	s.run(time.Second)
	s.startWave(1, 1, "m-glass-0")
	s.run(10 * time.Second)
	s.submit("glass", "other", step(1, 1000, 1000, 1000))
	s.run(20 * time.Second)
	assert.Equal(t, s.done["other.0.0.0"], 1)
}

// Guards against ordinary runs that maintenance stops again and again, though it can't begin.
func TestMaintenanceThatMayStopNothingKeepsOrdinaryRuns(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	s.run(time.Second)
	apart := lasting(2, 1000, 1000)
	apart.MaxPerWorker, apart.MayMiss = 1, 1
	s.submit("glass", "apart", apart)
	s.submit("glass", "other", step(1, 1000, 1000, 20000))
	s.run(time.Second)
	s.startWave(1, 1, "m-glass-0")
	s.run(25 * time.Second)
	assert.Equal(t, s.done["other.0.0.0"], 1)
}

// Guards against maintenance that was held up until a task is ready, and begins long after that.
func TestMaintenanceBeginsOnceTasksAreReady(t *testing.T) {
	for heldUp := 4 * time.Second; heldUp < 10*time.Second; heldUp += time.Second {
		t.Run(heldUp.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 1)
			s.run(time.Second)
			apart := lasting(2, 1000, 1000)
			apart.MaxPerWorker, apart.MayMiss = 1, 1
			s.submit("glass", "apart", apart)
			s.run(time.Second)
			s.startWave(1, 1, "m-glass-0")
			s.run(heldUp)
			assert.Equal(t, s.running("apart"), 1)
			s.instances["m-glass-1"] = &workload.Instance{
				Name: "m-glass-1", Pool: "glass", Up: true, Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
			}
			s.startWorker("m-glass-1")
			s.run(3 * time.Second)
			assert.Equal(t, s.lastWave["m-glass-0"], int64(1))
		})
	}
}

// Guards against a worker that stays reserved while the platform doesn't answer, because another worker of the pool is
// usable, though not by the task that waits.
func TestUnansweredMaintenanceLeavesRoomToTaskWithLabel(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 5) // The last one is in the rack r1.
	s.run(time.Second)
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		_, ok := a.(workload.MaintainInstance)
		return workload.NoAnswer, ok
	}
	s.startWave(1, 1, "m-glass-4")
	s.run(3 * time.Second)
	st := step(1, 1000, 1000, 1000)
	st.Label = "r1"
	s.submit("glass", "other", st)
	s.run(20 * time.Second)
	assert.Equal(t, s.done["other.0.0.0"], 1)
}

// Guards against a worker that stays reserved while the platform doesn't answer, because another worker of the pool is
// usable, though full.
func TestUnansweredMaintenanceLeavesRoomInFullPool(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.run(time.Second)
	s.submit("glass", "full", lasting(1, 16000, 1000))
	s.run(time.Second)
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		_, ok := a.(workload.MaintainInstance)
		return workload.NoAnswer, ok
	}
	for name, row := range s.instances {
		if len(s.workers[row.Worker].runs) == 0 {
			s.startWave(1, 1, name)
		}
	}
	s.run(3 * time.Second)
	s.submit("glass", "other", step(1, 1000, 1000, 1000))
	s.run(20 * time.Second)
	assert.Equal(t, s.done["other.0.0.0"], 1)
}

// Guards against a pool that takes all spare instances for a long-running task that the adviser allows nowhere.
func TestTaskThatTheAdviserDeniesTakesNoInstances(t *testing.T) {
	s := newSim(t)
	s.configure(1, func(d *workloadpb.Document) {
		d.Queues[0].Advice = &workloadpb.Advice{DecideMs: 50, EachMs: 5, ValidityMs: 3000}
	}, "glass", "plates", "spare")
	s.addWorkers("glass", 2)
	s.addWorkers("plates", 1)
	s.addWorkers("spare", 3)
	s.submit("glass", "last", lasting(1, 2000, 1000))
	s.run(20 * time.Second)
	for i := range 30 {
		s.submit("plates", fmt.Sprintf("plate-%d", i), step(4, 4000, 1000, 2000))
		s.run(500 * time.Millisecond)
	}
	assert.Assert(t, s.countInstances("plates") > 1, "glass %d, plates %d, spare %d", s.countInstances("glass"),
		s.countInstances("plates"), s.countInstances("spare"))
}

// Guards against maintenance that stops a task for room on workers that the adviser has denied it.
func TestMaintenanceStopsNoTaskThatTheAdviserDeniesOtherWorkers(t *testing.T) {
	s := newSim(t)
	s.configure(1, func(d *workloadpb.Document) {
		d.Queues[0].Advice = &workloadpb.Advice{DecideMs: 50, EachMs: 5, ValidityMs: 3000}
	}, "glass")
	s.advisedWorker = s.addWorkers("glass", 2)[0].m.Id
	st := lasting(2, 2000, 1000)
	st.MayMiss = 1
	s.submit("glass", "last", st)
	s.run(3 * time.Second)
	assert.Equal(t, s.running("last"), 2)
	s.startWave(1, 1, "m-glass-0")
	for range 200 {
		s.run(100 * time.Millisecond)
		assert.Equal(t, s.running("last"), 2)
	}
}

// Guards against a worker that answers requests and gets no runs, because it failed a few while its heartbeats are lost.
func TestWorkerWithoutHeartbeatsIsUsedOnceItAnswersAgain(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	s.run(time.Second)
	w.unreachable, w.mute = true, true
	s.run(10 * time.Second)
	w.unreachable = false
	s.submit("glass", "last", lasting(1, 1000, 1000))
	s.run(30 * time.Second)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against ordinary tasks that get no capacity, because workers reject the starts of a long-running job again and
// again.
func TestRejectedStartsLeaveRoomToOtherJobs(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.run(time.Second)
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		st, ok := a.(workload.StartRun)
		return workload.Malformed, ok && st.Name.Job == "rejected"
	}
	s.submit("glass", "rejected", lasting(40, 1000, 1000))
	s.run(time.Second)
	s.submit("glass", "other", step(1, 1000, 1000, 1000))
	s.run(30 * time.Second)
	assert.Equal(t, s.done["other.0.0.0"], 1)
}

// Guards against a pool that grows for a long-running task whose starts workers reject.
func TestRejectedStartsTakeNoInstances(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass", "spare")
	s.addWorkers("glass", 1)
	s.addWorkers("spare", 3)
	s.run(time.Second)
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		st, ok := a.(workload.StartRun)
		return workload.Malformed, ok && st.Name.Job == "rejected"
	}
	s.submit("glass", "rejected", lasting(1, 1000, 1000))
	s.run(30 * time.Second)
	assert.Equal(t, s.moves, 0)
}

// Guards against a long-running task that waits beside spare instances, because the only worker with room rejects starts.
func TestUnhealthyWorkerDoesNotKeepPoolFromGrowing(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass", "spare")
	w := s.addWorkers("glass", 1)[0]
	s.addWorkers("spare", 3)
	s.run(time.Second)
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		st, ok := a.(workload.StartRun)
		return workload.Unhealthy, ok && st.ID == w.m.Id
	}
	s.submit("glass", "last", lasting(1, 1000, 1000))
	s.run(lostGrace + lostWindow)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against ordinary runs that maintenance ends, because the long-running task that held it up has just ended.
func TestMaintenanceThatIsNoLongerHeldUpEndsNoRuns(t *testing.T) {
	const fleetInterval = 100 * time.Millisecond
	for _, tt := range []struct {
		name string
		end  func(s *sim, w *fakeWorker)
	}{
		{"cancelled", func(s *sim, _ *fakeWorker) { s.cancel("glass", "apart") }},
		{"failed", func(_ *sim, w *fakeWorker) {
			for _, r := range w.sortedRuns(func(r *fakeRun) bool { return r.longRunning }) {
				w.end(r, workloadpb.How_HOW_FAILED)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for phase := time.Duration(0); phase < fleetInterval; phase += simStep {
				s := newSim(t)
				s.configure(1, nil, "glass")
				w := s.addWorkers("glass", 1)[0]
				s.run(time.Second)
				apart := lasting(2, 1000, 1000)
				apart.MaxPerWorker, apart.MayMiss = 1, 1
				s.submit("glass", "apart", apart)
				s.submit("glass", "other", step(1, 1000, 1000, 20000))
				s.run(time.Second)
				s.intercept = func(a kernel.Action) bool {
					if _, ok := a.(workload.MaintainInstance); ok {
						assert.Equal(t, len(w.runs), 0)
					}
					return false
				}
				s.startWave(1, 1, "m-glass-0")
				s.run(2500*time.Millisecond + phase)
				tt.end(s, w)
				s.run(10 * time.Second)
			}
		})
	}
}

// Guards against a task that waits beside a free worker, because its run is assigned to one whose heartbeats are lost.
func TestRunOnWorkerWithoutHeartbeatsStartsElsewhere(t *testing.T) {
	t.Run("leader-changes", func(t *testing.T) {
		s := newSim(t)
		s.configure(1, nil, "glass")
		s.addWorkers("glass", 2)
		s.run(2 * time.Second)
		s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
			st, ok := a.(workload.StartRun)
			if ok {
				s.workers[st.ID].mute = true
			}
			return workload.NoAnswer, ok
		}
		s.submit("glass", "last", lasting(1, 1000, 1000))
		s.run(500 * time.Millisecond)
		s.startTerm()
		s.rejectRequest = nil
		s.run(lostGrace + lostWindow)
		assert.Equal(t, s.running("last"), 1)
	})
	t.Run("start-is-lost", func(t *testing.T) {
		s := newSim(t)
		s.configure(1, nil, "glass")
		workers := s.addWorkers("glass", 2)
		s.run(time.Second)
		s.submit("glass", "first", lasting(1, 1000, 1000))
		s.run(600 * time.Millisecond)
		var muted *fakeWorker
		for _, w := range workers {
			if len(w.runs) > 0 {
				w.mute, muted = true, w
			}
		}
		s.run(3200 * time.Millisecond)
		lost, until := 0, s.now+300*time.Millisecond
		s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
			st, ok := a.(workload.StartRun)
			if ok = ok && st.ID == muted.m.Id && s.now < until; ok {
				lost++
			}
			return workload.NoAnswer, ok
		}
		s.submit("glass", "last", lasting(1, 1000, 1000))
		s.run(lostGrace + lostWindow)
		assert.Assert(t, lost > 0)
		assert.Equal(t, s.running("last"), 1)
	})
}

// Guards against a wave that maintains no instance, because the platform carries out no maintenance of one of them.
func TestWaveGoesOnBesideInstanceThatIsNotMaintained(t *testing.T) {
	for _, o := range failedOperations {
		t.Run(o.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 5) // The last one is in the rack r1.
			s.run(time.Second)
			for i := range 4 {
				full := step(1, 12000, 1000, 120_000)
				full.Label = "r0"
				s.submit("glass", fmt.Sprintf("full-%d", i), full)
			}
			s.run(time.Second)
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				m, ok := a.(workload.MaintainInstance)
				return o, ok && m.Instance == "m-glass-4"
			}
			s.startWave(1, 1, "m-glass-0", "m-glass-4")
			for i := range 120 {
				st := step(1, 1000, 1000, 100)
				st.Label = "r1"
				s.submit("glass", fmt.Sprintf("other-%d", i), st)
				s.run(500 * time.Millisecond)
			}
			assert.Equal(t, s.lastWave["m-glass-0"], int64(1))
		})
	}
}

// Guards against a wave that takes several times as long, because the platform carries out no maintenance of an instance
// of another pool and another wave.
func TestWaveGoesOnBesideWaveThatIsHeldUp(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass", "plates")
	s.addWorkers("glass", 1)
	s.addWorkers("plates", 5)
	s.run(time.Second)
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		m, ok := a.(workload.MaintainInstance)
		return workload.NoAnswer, ok && m.Instance == "m-glass-0"
	}
	s.startWave(1, 1, "m-glass-0")
	s.startWave(2, 1, "m-plates-0", "m-plates-1", "m-plates-2", "m-plates-3", "m-plates-4")
	for i := range 40 { // The duration of the waves is 20 s.
		s.submit("glass", fmt.Sprintf("other-%d", i), step(1, 1000, 1000, 100))
		s.run(500 * time.Millisecond)
	}
	assert.Assert(t, s.waveCompleted(2))
}

// Guards against long-running tasks that wait beside spare instances, because the adviser has denied them one worker.
func TestTasksThatTheAdviserDeniesOneWorkerGetInstances(t *testing.T) {
	s := newSim(t)
	s.configure(1, func(d *workloadpb.Document) {
		d.Queues[0].Advice = &workloadpb.Advice{DecideMs: 50, EachMs: 5, ValidityMs: 3000}
	}, "glass", "spare")
	denied := s.addWorkers("glass", 1)[0].m.Id
	s.addWorkers("spare", 12)
	s.intercept = func(a kernel.Action) bool {
		r, ok := a.(workload.RequestAdvice)
		if !ok {
			return false
		}
		done := workload.AdviceResult{
			Request: r, Outcome: workload.Accepted, Tickets: map[string]string{}, Validity: 3 * time.Second, SentAt: s.now,
		}
		for _, id := range r.Workers {
			if id != denied {
				done.Tickets[id] = "ticket-" + id
			}
		}
		s.schedule(simStep, func() { s.k.Observe(s.now, done) })
		return true
	}
	s.run(time.Second)
	s.submit("glass", "last", lasting(8, 9000, 1000))
	s.run(lostGrace + lostWindow)
	assert.Equal(t, s.running("last"), 8)
}

// Guards against a task that waits beside a worker that would start it, because other workers reject it as malformed.
func TestTaskThatSomeWorkersRejectStartsElsewhere(t *testing.T) {
	for rejecting := 1; rejecting <= 6; rejecting++ {
		t.Run(fmt.Sprint(rejecting), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			workers := s.addWorkers("glass", rejecting+1)
			s.run(2 * time.Second)
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				st, ok := a.(workload.StartRun)
				return workload.Malformed, ok && st.ID != workers[rejecting].m.Id
			}
			s.submit("glass", "last", lasting(1, 1000, 1000))
			s.run(30 * time.Second)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}
