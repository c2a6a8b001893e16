package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

// Guards against starts that are sent again to a worker that has announced that it leaves, and whose tasks wait for it.
func TestStartIsNotRepeatedOnDrainingWorker(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		s := newSim(t)
		s.configure(1, nil, "glass")
		w := s.addWorkers("glass", 1)[0]
		s.run(time.Second)
		s.intercept = func(a kernel.Action) bool {
			start, ok := a.(workload.StartRun)
			if ok {
				sent := s.sentAt
				s.schedule(time.Second, func() { s.fail(start, workload.NoAnswer, sent) })
			}
			return ok
		}
		s.submit("glass", "last", lasting(1, 1000, 1000))
		s.run(100 * time.Millisecond)
		w.draining, w.leavesAt = true, s.now+time.Minute
		s.report(w)
		s.run(100 * time.Millisecond)
		if newLeader {
			s.startTerm()
		}
		starts := 0
		s.intercept = func(a kernel.Action) bool {
			if _, ok := a.(workload.StartRun); ok {
				starts++
			}
			return false
		}
		s.run(2 * time.Second)
		assert.Equal(t, starts, 0, "new leader %v", newLeader)
		s.addWorkers("glass", 2)
		s.run(lostWindow)
		assert.Equal(t, s.running("last"), 1, "new leader %v", newLeader)
		assert.Equal(t, len(w.runs), 0, "new leader %v", newLeader)
	}
}

// Guards against a task that starts elsewhere while its worker, which has deregistered without getting the answer, still works on
// it, and against one that waits although nothing listens at the address of the worker any more.
func TestRunOfWorkerThatHasLeftEndsBeforeTaskStartsElsewhere(t *testing.T) {
	for _, tt := range []struct {
		name string
		// end changes the worker once its deregistration is recorded.
		end func(s *sim, w *fakeWorker)
		// within is how soon the task then starts elsewhere.
		within time.Duration
	}{
		{"it works on", func(*sim, *fakeWorker) {}, 500 * time.Millisecond},
		{"it works on and answers nothing", func(_ *sim, w *fakeWorker) { w.unreachable = true }, 6 * time.Second},
		{"another leader", func(s *sim, _ *fakeWorker) { s.startTerm() }, 500 * time.Millisecond},
		{"it has ended", func(s *sim, w *fakeWorker) {
			w.dead = true
			s.intercept = func(a kernel.Action) bool {
				h, ok := targetOf(a)
				if !ok || h.ID != w.m.Id {
					return false
				}
				sent := s.sentAt
				s.schedule(simStep, func() {
					s.observeAnswer(a, workload.Answer{Outcome: workload.Unreachable, Refused: true, SentAt: sent})
				})
				return true
			}
		}, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			w.stuck = true
			s.run(time.Second)
			s.submit("glass", "job", step(1, 1000, 1000, 900))
			s.run(time.Second)
			assert.Equal(t, len(w.runs), 1)
			s.addWorkers("glass", 2)
			w.draining = true
			s.report(w)
			s.run(3 * time.Second)
			s.leave(w)
			tt.end(s, w)
			s.runUntil(tt.within, func() bool { return s.running("job") == 1 && w.runs["job.0.0.0"] == nil || s.done["job.0.0.0"] > 0 })
			s.runUntil(3*time.Second, func() bool { return s.jobState("glass", "job") == "completed" })
			assert.Equal(t, s.done["job.0.0.0"], 1)
			assert.Assert(t, s.e.State().WorkerByID(w.m.Id) == nil)
		})
	}
}
