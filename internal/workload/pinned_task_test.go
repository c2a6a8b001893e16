package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// pinnedSlack is how much later than it may a pinned task has to start elsewhere.
	pinnedSlack = time.Second
	// inheritedSlack is that under another leader. The record lasts a second longer, and the clock of the ledger stands still
	// while the leader changes.
	inheritedSlack = 2 * time.Second
)

// pinnedSim is a simulation with a job. The only start of its first task at a worker is held up, and that worker has crashed.
type pinnedSim struct {
	*sim
	late        *lateStart
	lost, other *fakeWorker
}

func newPinnedSim(t *testing.T, st *workloadpb.Step) *pinnedSim {
	t.Helper()
	return newPinnedSimAt(t, 2*time.Second, st)
}

// newPinnedSimAt is newPinnedSim with a worker that has the given age when the job is submitted.
func newPinnedSimAt(t *testing.T, age time.Duration, st *workloadpb.Step) *pinnedSim {
	t.Helper()
	s := &pinnedSim{sim: newSim(t)}
	s.configure(1, nil, "p")
	s.lost = s.addWorkers("p", 1)[0]
	s.run(age)
	s.late = newLateStart(s.sim, s.lost.m.Id)
	s.submit("p", "job", st)
	s.run(200 * time.Millisecond)
	assert.Assert(t, s.late.sent > 0)
	s.lost.dead = true
	s.other = s.addWorkerTo("p", "m-p-1")
	return s
}

// restartLost starts the next incarnation of the lost worker, before which skips others have got requests.
func (s *pinnedSim) restartLost(skips int) *fakeWorker {
	if w := s.workers[s.lost.m.Id]; !w.dead {
		w.dead = true
		s.run(500 * time.Millisecond)
	}
	s.late.skips = skips
	w := s.startWorkerAs("m-p-0", s.lost.m.Id, s.lost.m.Address)
	s.run(bootDelay)
	return w
}

// runUntilOver advances the virtual time until the start that was held up is carried out, or no more.
func (s *pinnedSim) runUntilOver() {
	s.t.Helper()
	s.runUntil(workload.RequestTimeout+ledger.MaxRequestDelay, func() bool { return s.late.isOver })
}

// leave records that a worker has left by itself.
func (s *sim) leave(w *fakeWorker) {
	s.t.Helper()
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Leave{Leave: &workloadpb.Leave{Id: w.m.Id, BornMs: w.m.BornMs, Announced: true}}})
}

// Guards against a task that is pinned to a worker which takes no runs, and starts elsewhere while the late start may still be
// carried out, or waits for longer.
func TestTaskPinnedToUnusableWorkerStartsElsewhereInTime(t *testing.T) {
	const longest = 6200 * time.Millisecond // the longest lease on the slowest clock
	for _, tt := range []struct {
		name string
		// hinder keeps the next incarnation of the worker from taking the task.
		hinder func(s *pinnedSim, w *fakeWorker)
		// after is how long after the end of the late start the task may still wait.
		after time.Duration
	}{
		{"draining", func(s *pinnedSim, w *fakeWorker) {
			w.draining, w.leavesAt = true, s.now+time.Minute
			s.report(w)
		}, 0},
		{"full", func(s *pinnedSim, w *fakeWorker) {
			w.resize(&workloadpb.Resources{Cpu: 100, MemoryMib: 100})
			s.report(w)
		}, 0},
		{"cut off", func(_ *pinnedSim, w *fakeWorker) { w.unreachable = true }, longest},
		{"deaf", func(_ *pinnedSim, w *fakeWorker) { w.deaf = true }, longest},
		{"left", func(s *pinnedSim, w *fakeWorker) {
			w.dead = true
			s.leave(w)
		}, longest},
	} {
		for _, newLeader := range []bool{false, true} {
			name := tt.name
			if newLeader {
				name += ", another leader"
			}
			t.Run(name, func(t *testing.T) {
				s := newPinnedSim(t, step(1, 12000, 1000, 1000))
				s.run(time.Second)
				tt.hinder(s, s.restartLost(1))
				over := s.late.sent + workload.RequestTimeout + ledger.MaxRequestDelay + tt.after + pinnedSlack
				if newLeader {
					s.run(time.Second)
					s.startTerm()
					over = s.now + workload.MaxConfirmationAge + ledger.MaxRequestDelay + tt.after + inheritedSlack
				}
				s.runUntil(over-s.now, func() bool { return len(s.other.runs) == 1 })
				assert.Assert(t, s.now >= s.late.sent+ledger.MaxRequestDelay)
			})
		}
	}
}

// Guards against a task that goes on waiting for a late start which no incarnation can carry out any more, and against one that
// stops waiting because of an earlier incarnation or another worker.
func TestTaskAwaitsOnlyLateStartsWithinReach(t *testing.T) {
	for _, tt := range []struct {
		name string
		// begin starts another worker or the next incarnation.
		begin func(s *pinnedSim)
		waits bool
	}{
		{"another ID at the address", func(s *pinnedSim) { s.startWorkerAs("m-p-0", "another", s.lost.m.Address) }, false},
		{"the ID at another address", func(s *pinnedSim) {
			s.late.skips = 1
			s.startWorkerAs("m-p-0", s.lost.m.Id, "another").resize(&workloadpb.Resources{Cpu: 100, MemoryMib: 100})
		}, false},
		{"the ID at the address", func(s *pinnedSim) {
			s.late.skips = 1
			restartTooSmall(s.sim, s.lost)
		}, true},
		{"another ID at another address", func(s *pinnedSim) { s.startWorkerAs("m-p-0", "another", "another") }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newPinnedSim(t, step(1, 12000, 1000, 20_000))
			s.run(8 * time.Second)
			assert.Equal(t, s.running("job"), 0)
			tt.begin(s)
			s.run(bootDelay + time.Second)
			assert.Equal(t, s.running("job") == 0, tt.waits)
		})
	}
}

// Guards against a task that starts elsewhere while the worker, which has listed the late run, is still stopping it.
func TestTaskAwaitsStopOfLateRun(t *testing.T) {
	s := newPinnedSim(t, step(1, 12000, 1000, 30_000))
	s.stopTime = 5 * time.Second
	s.run(s.late.sent + 11500*time.Millisecond - s.now)
	later := s.restartLost(0)
	assert.Equal(t, len(later.runs), 1)
	later.resize(&workloadpb.Resources{Cpu: 100, MemoryMib: 100})
	s.runUntil(10*time.Second, func() bool { return len(s.other.runs) == 1 })
	assert.Equal(t, len(later.runs), 0)
}

// Guards against a task that awaits a late start though a list has shown the run, and with it that its only start was carried
// out.
func TestTaskOfListedRunDoesNotAwaitLateStart(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "p")
	w := s.addWorkers("p", 1)[0]
	s.run(2 * time.Second)
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if ok {
			sent := s.sentAt
			w.execute(start, sent)
			s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, sent) })
			s.intercept = nil
		}
		return ok
	}
	s.submit("p", "job", step(1, 12000, 1000, 20_000))
	s.run(2500 * time.Millisecond)
	assert.Equal(t, len(w.runs), 1)
	other := s.addWorkerTo("p", "m-p-1")
	w.dead = true
	s.runUntil(8*time.Second, func() bool { return len(other.runs) == 1 })
}

// Guards against a speculative task that awaits a late start, though it may run twice.
func TestSpeculativeTaskDoesNotAwaitLateStart(t *testing.T) {
	st := step(1, 12000, 1000, 1000)
	st.Speculative = true
	s, _, other := newLostStartSim(t, st)
	s.runUntil(8*time.Second, func() bool { return len(other.runs) == 1 })
}

// Guards against a gang that starts while a late start of one of its members may still be carried out, and one that starts in
// part.
func TestGangWithLateStartRunsOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		// restarts are the incarnations of the lost worker that are reached before the one which carries out the start.
		restarts  int
		newLeader bool
	}{
		{"unreached", 0, false},
		{"unreached, another leader", 0, true},
		{"reached before", 1, false},
		{"reached before, another leader", 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "p")
			p := &pinnedSim{sim: s}
			p.lost = s.addWorkers("p", 2)[0]
			s.run(2 * time.Second)
			p.late = newLateStart(s, p.lost.m.Id)
			gang := step(2, 12000, 1000, 20_000)
			gang.Gang = true
			s.submit("p", "job", gang)
			s.run(200 * time.Millisecond)
			p.lost.dead = true
			s.addWorkerTo("p", "m-p-2")
			// The other member ends alone.
			s.run(300 * time.Millisecond)
			s.endRun("job.0.0.1", workloadpb.How_HOW_ALONE)
			s.endRun("job.0.0.0", workloadpb.How_HOW_ALONE)
			for range tt.restarts {
				p.restartLost(1)
				s.run(500 * time.Millisecond)
			}
			s.run(6500 * time.Millisecond)
			if tt.newLeader {
				s.startTerm()
			}
			p.restartLost(0)
			p.runUntilOver()
			s.runUntil(60*time.Second, func() bool {
				n := s.running("job")
				return n == 2 || s.jobState("p", "job") == "completed"
			})
			s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
			for task, n := range s.done {
				assert.Equal(t, n, 1, task)
			}
			started := map[int32]map[int32]bool{}
			for _, start := range s.starts("job") {
				if started[start.Name.Run] == nil {
					started[start.Name.Run] = map[int32]bool{}
				}
				started[start.Name.Run][start.Name.Index] = true
			}
			for run, members := range started {
				assert.Equal(t, len(members), 2, "run %d of the gang", run)
			}
		})
	}
}

// Guards against a pinned task that crashes its workers, and is never given up or starts too often after that.
func TestPinnedTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, tt := range []struct {
		name string
		// keepsID is set if the workers boot again under their IDs.
		keepsID bool
		workers int
	}{
		{"the IDs stay", true, 8},
		{"the IDs stay, one worker", true, 1},
		{"the IDs change", false, 8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newLossSim(t, tt.workers)
			if tt.keepsID {
				s.rebootAs = func(_ string, w *fakeWorker) (id, address string) { return w.m.Id, w.m.Address }
			}
			s.run(2 * time.Second)
			starts := 0
			s.intercept = func(a kernel.Action) bool {
				start, ok := a.(workload.StartRun)
				if !ok || start.Name.Job != "deadly" {
					return false
				}
				// The worker crashes before it answers.
				starts++
				sent := s.sentAt
				if w := s.worker(start.Target); w != nil {
					w.execute(start, sent)
				}
				s.schedule(time.Second, func() { s.fail(start, workload.NoAnswer, sent) })
				return true
			}
			s.submit("glass", "deadly", step(1, 880, 1000, 800))
			s.runBusy(120*time.Second, time.Second, nil)
			assert.Equal(t, s.jobState("glass", "deadly"), string(ledger.Failed))
			t.Logf("%d starts, %d crashes", starts, s.crashes["deadly.0.0.0"])
		})
	}
}

// Guards against pinned tasks that are placed beside others of their step on a worker which has no room for both.
func TestPinnedTasksRespectLimitsOfWorker(t *testing.T) {
	for _, tt := range []struct {
		name         string
		cpu          int64
		maxPerWorker int32
		perWorker    int
	}{
		{"maximum per worker", 1000, 2, 2},
		{"capacity", 7000, 0, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "p")
			w := s.addWorkers("p", 1)[0]
			s.run(2 * time.Second)
			l := newLateStart(s, w.m.Id)
			st := step(6, tt.cpu, 1000, 20_000)
			st.MaxPerWorker = tt.maxPerWorker
			s.submit("p", "job", st)
			s.run(200 * time.Millisecond)
			assert.Equal(t, len(w.runs), tt.perWorker-1)
			w.dead = true
			s.run(time.Second)
			l.skips = 1
			w = s.startWorkerAs("m-p-0", w.m.Id, w.m.Address)
			s.runUntil(5*time.Second, func() bool { return len(w.runs) == tt.perWorker })
			s.run(5 * time.Second)
			assert.Equal(t, len(w.runs), tt.perWorker)
		})
	}
}

// Guards against a maximum per worker that pinned tasks exceed beside others of their step, none of which has lost a worker.
func TestPinnedTaskOfRejectedRunRespectsMaximumPerWorker(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "p")
	w := s.addWorkers("p", 1)[0]
	s.run(2 * time.Second)
	l := newLateStart(s, w.m.Id)
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		start, ok := a.(workload.StartRun)
		return workload.NoCapacity, ok && start.Name == l.request.Name
	}
	st := step(3, 1000, 1000, 20_000)
	st.MaxPerWorker = 2
	s.submit("p", "job", st)
	s.run(8 * time.Second)
	assert.Equal(t, len(w.runs), 2)
}

// Guards against tasks of a step that are pinned to different workers, and start on those of each other.
func TestTasksPinnedToDifferentWorkersRunOnce(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "p")
	workers := s.addWorkers("p", 2)
	s.run(2 * time.Second)
	held := map[string]workload.StartRun{}
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if _, isHeld := held[start.ID]; !ok || isHeld {
			return false
		}
		held[start.ID] = start
		sent := s.sentAt
		s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, sent) })
		return true
	}
	s.submit("p", "job", step(2, 12000, 1000, 30_000))
	s.run(200 * time.Millisecond)
	assert.Equal(t, len(held), 2)
	workers[0].dead, workers[1].dead = true, true
	s.run(7 * time.Second) // Both runs are given up.
	restart := func(i int) *fakeWorker {
		return s.startWorkerAs(fmt.Sprintf("m-p-%d", i), workers[i].m.Id, workers[i].m.Address)
	}
	s.instances["m-p-0"].Capacity = &workloadpb.Resources{Cpu: 32000, MemoryMib: 65536} // Enough for both.
	first := restart(0)
	s.run(time.Second)
	assert.Equal(t, len(first.runs), 1)
	first.dead = true
	s.startsMute = func(*fakeWorker) bool { return true }
	second := restart(1)
	second.execute(held[second.m.Id], s.now)
	s.run(bootDelay)
	second.mute = false
	s.runUntil(90*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
	assert.DeepEqual(t, s.done, map[string]int{"job.0.0.0": 1, "job.0.0.1": 1})
}

// Guards against a run that ends without its late start, because a heartbeat of the later incarnation comes before the leader
// has recorded that.
func TestHeartbeatsKeepLateStart(t *testing.T) {
	s := newPinnedSim(t, step(1, 12000, 1000, 30_000))
	s.commitDelay = func() time.Duration { return 3 * simStep }
	s.requestDelay = func(kernel.Action) time.Duration { return 2 * simStep }
	s.run(500 * time.Millisecond)
	s.late.skips = 1
	restartTooSmall(s.sim, s.lost)
	between := s.workers[s.lost.m.Id]
	between.mute = false
	for range 100 {
		s.report(between)
		s.run(simStep)
	}
	s.run(5 * time.Second)
	later := s.restartLost(0)
	assert.Equal(t, len(later.runs), 1)
	s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// Guards against a task that awaits a late start though the list of the later incarnation shows that it was carried out there.
func TestTaskOfRunListedByLaterIncarnationDoesNotAwaitLateStart(t *testing.T) {
	for _, tt := range []struct {
		name     string
		taskTime time.Duration
	}{
		{"running", 20 * time.Second},
		{"ended", simStep},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newPinnedSim(t, step(1, 12000, 1000, tt.taskTime.Milliseconds()))
			s.run(500 * time.Millisecond)
			later := s.startWorkerAs("m-p-0", s.lost.m.Id, s.lost.m.Address)
			later.how = workloadpb.How_HOW_FAILED
			s.run(bootDelay)
			later.resize(&workloadpb.Resources{Cpu: 100, MemoryMib: 100})
			s.report(later)
			s.runUntil(4*time.Second, func() bool {
				starts := s.starts("job")
				return starts[len(starts)-1].ID == s.other.m.Id
			})
		})
	}
}
