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

// addQueue adds a queue whose jobs the workers of another queue's pool run.
func addQueue(name, pool string) func(d *workloadpb.Document) {
	return func(d *workloadpb.Document) {
		d.Queues = append(d.Queues, &workloadpb.Queue{
			Name: name, Host: "h", Prefix: "/" + name + "/", Pool: pool, MaxAttempts: 3, Stretch: 1.5, SloMs: 600, Public: true,
		})
	}
}

func lasting(count int32, cpu, memory int64) *workloadpb.Step {
	st := step(count, cpu, memory, 0)
	st.Lasting = true
	return st
}

// endRun ends the run of a task on the worker that has it.
func (s *sim) endRun(task string, how workloadpb.How) {
	for _, w := range s.workers {
		if r := w.runs[task]; r != nil && !w.dead {
			w.end(r, how)
		}
	}
}

// maintainWithoutLoss starts a wave with an instance of the pool glass, and checks that no task of a long-running job
// waits beside free capacity for longer than the users' rule allows.
func (s *sim) maintainWithoutLoss(job string) {
	s.t.Helper()
	c := newLostCheck(s, "glass")
	c.addJob(job)
	wave := &workloadpb.Wave{Number: 1, Instances: []string{"m-glass-0"}, DurationMs: 20000, Cap: 1}
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: wave}})
	for range 4000 {
		s.run(simStep)
		task, _ := c.check()
		assert.Assert(s.t, task == nil, "at %v: a task of %s has not run since %v", s.now, job, since(task))
	}
}

func since(t *lastingTask) time.Duration {
	if t == nil {
		return 0
	}
	return t.ranAt
}

// Guards against maintenance that holds back the only worker of a task, and waits because its step misses that task.
func TestWaitingMaintenanceLeavesWorkerUsable(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.instances["m-glass-0"] = &workload.Instance{
		Name: "m-glass-0", Pool: "glass", Up: true, Labels: []string{"b", "r0"},
		Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
	}
	s.startWorker("m-glass-0")
	s.run(time.Second)
	st := lasting(2, 1000, 1000)
	st.Label, st.MayMiss = "b", 1
	s.submit("glass", "last", st)
	s.run(time.Second)
	assert.Equal(t, s.running("last"), 2)
	s.maintainWithoutLoss("last")
}

// Guards against maintenance that waits for a step for good, and has stopped the tasks of another step before.
func TestWaitingMaintenanceReturnsStoppedTasks(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	s.run(time.Second)
	apart := lasting(2, 1000, 1000)
	apart.MaxPerWorker, apart.MayMiss = 1, 1
	s.submit("glass", "apart", apart)
	s.submit("glass", "last", lasting(2, 1000, 1000))
	s.run(time.Second)
	assert.Equal(t, s.running("last"), 2)
	s.maintainWithoutLoss("last")
}

// Guards against capacity that is reserved on a worker on which the adviser doesn't allow the task.
func TestReservationFollowsAdvice(t *testing.T) {
	s := newSim(t)
	s.configure(1, func(d *workloadpb.Document) {
		d.Queues[0].Advice = &workloadpb.Advice{DecideMs: 50, EachMs: 5, ValidityMs: 3000}
		addQueue("plates", "glass")(d)
	}, "glass")
	ws := s.addWorkers("glass", 2)
	s.advisedWorker = ws[0].m.Id
	s.submit("glass", "big", lasting(2, 10000, 1000))
	s.run(time.Second)
	assert.Equal(t, s.running("big"), 1)
	s.submit("plates", "other", lasting(1, 7000, 1000))
	s.run(9 * time.Second)
	assert.Equal(t, s.running("other"), 1)
}

// Guards against capacity that is reserved for a gang that the pool can't hold.
func TestImpossibleGangReservesNothing(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	gang := lasting(2, 9000, 1000)
	gang.Gang = true
	s.submit("glass", "gang", gang)
	s.run(time.Second)
	s.submit("glass", "other", lasting(1, 8000, 1000))
	s.run(9 * time.Second)
	assert.Equal(t, s.running("other"), 1)
}

// Guards against a long-running task that gets no advice because many older steps ask for it again and again.
func TestLongRunningTaskGetsAdvice(t *testing.T) {
	s := newSim(t)
	s.configure(1, func(d *workloadpb.Document) {
		d.Queues[0].Advice = &workloadpb.Advice{DecideMs: 50, EachMs: 5, ValidityMs: 3000}
	}, "glass")
	s.addWorkers("glass", 2)
	freeAt := time.Duration(0)
	s.intercept = func(a kernel.Action) bool {
		r, ok := a.(workload.RequestAdvice)
		if !ok {
			return false
		}
		// The service answers one call after the other.
		sent := s.now
		freeAt = max(freeAt, s.now) + time.Duration(50+5*len(r.Workers))*time.Millisecond
		s.schedule(freeAt-s.now, func() {
			done := workload.AdviceResult{
				Request: r, Outcome: workload.Accepted, Tickets: map[string]string{}, Validity: 3 * time.Second, SentAt: sent,
			}
			for _, id := range r.Workers {
				done.Tickets[id] = "ticket"
			}
			s.k.Observe(s.now, done)
		})
		return true
	}
	for i := range 60 {
		s.submit("glass", fmt.Sprintf("wide-%d", i), step(1, 12000, 1000, 60000))
	}
	s.run(5 * time.Second)
	s.submit("glass", "last", lasting(1, 2000, 1000))
	s.run(9 * time.Second)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against a long-running task that isn't started again because its run ended as done.
func TestLongRunningTaskStartsAgainHoweverItEnds(t *testing.T) {
	for _, tt := range []struct {
		name string
		how  workloadpb.How
	}{
		{"done", workloadpb.How_HOW_DONE}, {"failed", workloadpb.How_HOW_FAILED}, {"broken", workloadpb.How_HOW_BROKEN},
		{"stopped", workloadpb.How_HOW_STOPPED}, {"lapsed", workloadpb.How_HOW_LAPSED},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 2)
			s.submit("glass", "last", lasting(2, 1000, 1000))
			s.run(time.Second)
			s.endRun("last.0.0.0", tt.how)
			s.run(9 * time.Second)
			assert.Equal(t, s.running("last"), 2)
			assert.Equal(t, s.jobState("glass", "last"), "running")
		})
	}
}

// Guards against a start that is sent before a loss is known and extends the lease beyond what the users' rule allows.
func TestLossWithLongLeaseIsRepairedInTime(t *testing.T) {
	for _, tt := range []struct {
		name     string
		submitAt time.Duration // after the loss
	}{
		{"no request", -1}, {"start at once", 100 * time.Millisecond}, {"start before the loss is known", 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.setMaxLease(10 * time.Second)
			s.configure(1, nil, "glass")
			ws := s.addWorkers("glass", 2)
			s.submit("glass", "last", lasting(1, 4000, 1000))
			s.run(5 * time.Second)
			lost := ws[0]
			if len(lost.runs) == 0 {
				lost = ws[1]
			}
			for lost.renewal == nil || lost.renewalSentAt < s.now-simStep {
				s.run(simStep)
			}
			lost.dead = true
			at := s.now
			if tt.submitAt >= 0 {
				s.run(tt.submitAt)
				s.submit("glass", "small", step(1, 1000, 1000, 200))
			}
			s.run(at + lostGrace + lostWindow - s.now)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against a new leader that waits for a whole lease, and longer than the users' rule allows, for a lost worker.
func TestNewLeaderRepairsLossInTime(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after time.Duration // from the loss to the change of leader
	}{
		{"at once", 10 * time.Millisecond}, {"two seconds later", 2 * time.Second}, {"seven seconds later", 7 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.setMaxLease(10 * time.Second)
			s.configure(1, nil, "glass")
			ws := s.addWorkers("glass", 2)
			s.submit("glass", "last", lasting(1, 4000, 1000))
			s.run(5 * time.Second)
			lost := ws[0]
			if len(lost.runs) == 0 {
				lost = ws[1]
			}
			lost.dead = true
			s.run(tt.after)
			s.startTerm()
			s.run(leaderSettles + calmBefore + lostWindow)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against an idle worker that stays reserved for maintenance that was carried out under an earlier leader.
func TestRepeatedMaintenanceReleasesIdleWorker(t *testing.T) {
	for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 300 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 1)
			s.run(time.Second)
			requests := 0
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				m, ok := a.(workload.MaintainInstance)
				if !ok || s.term > 1 {
					return 0, false
				}
				requests++
				s.maintain(m)
				return workload.NoAnswer, true
			}
			wave := &workloadpb.Wave{Number: 1, Instances: []string{"m-glass-0"}, DurationMs: 20000, Cap: 1}
			s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: wave}})
			for requests == 0 {
				s.run(simStep)
			}
			s.run(phase)
			s.startTerm()
			s.run(20 * time.Second)
			s.submit("glass", "last", lasting(1, 1000, 1000))
			s.run(9 * time.Second)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against leases that are taken for longer the longer a worker with a slow clock has been up.
func TestLossOfWorkerWithSlowClockIsRepairedInTime(t *testing.T) {
	for _, gain := range []int64{0, -10, 10} {
		t.Run(fmt.Sprint(gain), func(t *testing.T) {
			s := newSim(t)
			s.clockGain = func(*fakeWorker) int64 { return gain }
			s.configure(1, nil, "glass")
			ws := s.addWorkers("glass", 2)
			s.submit("glass", "last", lasting(1, 4000, 1000))
			s.run(5 * time.Minute)
			lost := ws[0]
			if len(lost.runs) == 0 {
				lost = ws[1]
			}
			lost.dead = true
			s.run(lostGrace + lostWindow)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}
