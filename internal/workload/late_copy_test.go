package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// Guards against a task that starts elsewhere while an incarnation that no request reaches works on a start which arrived as late
// as possible.
func TestLateStartAtUnreachableIncarnationRunsOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		// between starts another incarnation before, which is reached; it may be nil.
		between   func(s *sim, w *fakeWorker)
		newLeader bool
	}{
		{"no other incarnation", nil, false},
		{"no other incarnation, another leader", nil, true},
		{"another incarnation before", restartTooSmall, false},
		{"another incarnation before, another leader", restartTooSmall, true},
	} {
		for _, isKnown := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, known %v", tt.name, isKnown), func(t *testing.T) {
				s := newPinnedSim(t, step(1, 12000, 1000, 30_000))
				s.run(500 * time.Millisecond)
				if tt.between != nil {
					s.late.skips = 1
					tt.between(s.sim, s.lost)
				}
				if tt.newLeader {
					s.run(2 * time.Second)
					s.startTerm()
				}
				s.run(s.late.sent + 11*time.Second - s.now)
				s.workers[s.lost.m.Id].dead = true
				s.run(500 * time.Millisecond)
				s.startsMute = func(*fakeWorker) bool { return true }
				later := s.startWorkerAs("m-p-0", s.lost.m.Id, s.lost.m.Address)
				s.late.deliver()
				assert.Equal(t, len(later.runs), 1)
				later.unreachable = true
				if isKnown {
					s.report(later)
				}
				s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
				assert.Equal(t, s.done["job.0.0.0"], 1)
			})
		}
	}
}

// Guards against a task that starts elsewhere beside the first copy of a start, because its worker has rejected another copy.
func TestLateStartOfRejectedRunRunsOnce(t *testing.T) {
	for _, o := range []workload.Outcome{workload.NoCapacity, workload.Unhealthy, workload.BadTicket, workload.Malformed} {
		for _, newLeader := range []bool{false, true} {
			name := o.String()
			if newLeader {
				name += ", another leader"
			}
			t.Run(name, func(t *testing.T) {
				s := newSim(t)
				s.configure(1, nil, "p")
				w := s.addWorkers("p", 1)[0]
				s.run(2 * time.Second)
				l := newLateStart(s, w.m.Id)
				rejected := 0
				s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
					start, ok := a.(workload.StartRun)
					if !ok || start.Name.Run != l.request.Name.Run {
						return 0, false
					}
					rejected++
					return o, true
				}
				s.submit("p", "job", step(1, 12000, 1000, 20_000))
				s.run(500 * time.Millisecond)
				s.addWorkerTo("p", "m-p-1")
				s.runUntil(5*time.Second, func() bool { return s.running("job") == 1 })
				assert.Equal(t, rejected, 1)
				if newLeader {
					s.startTerm()
				}
				w.dead = true
				s.run(6500 * time.Millisecond)
				s.startWorkerAs("m-p-0", w.m.Id, w.m.Address)
				s.runUntil(workload.RequestTimeout+ledger.MaxRequestDelay, func() bool { return l.isOver })
				s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
				assert.Equal(t, s.done["job.0.0.0"], 1)
			})
		}
	}
}

// Guards against a task that starts elsewhere beside the first copy of a start, as its run was stopped on a worker that
// announced its end.
func TestLateStartOfStoppedRunRunsOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		// isStarted is set if a second start was carried out before the worker announced that it leaves.
		isStarted, newLeader bool
	}{
		{"before the second start", false, false},
		{"before the second start, another leader", false, true},
		{"after the second start", true, false},
		{"after the second start, another leader", true, true},
	} {
		t.Run(tt.name, func(t *testing.T) { testStoppedStart(t, tt.isStarted, tt.newLeader, false) })
	}
}

// testStoppedStart lets the first copy of a start arrive after its run was stopped, as the worker announced its end, and the next
// incarnation has begun. It leaves by itself or crashes.
func testStoppedStart(t *testing.T, isStarted, newLeader, leaves bool) {
	s := newSim(t)
	s.configure(1, nil, "p")
	w := s.addWorkers("p", 1)[0]
	s.run(2 * time.Second)
	l := newLateStart(s, w.m.Id)
	s.submit("p", "job", step(1, 12000, 1000, 20_000))
	s.run(900 * time.Millisecond)
	if isStarted {
		s.runUntil(3*time.Second, func() bool { return len(w.runs) == 1 })
		s.run(500 * time.Millisecond)
	}
	s.addWorkerTo("p", "m-p-1")
	w.draining, w.leavesAt = true, s.now+5*time.Second
	s.report(w)
	s.run(1500 * time.Millisecond)
	if newLeader {
		s.startTerm()
	}
	s.run(time.Second)
	w.dead = true
	if leaves {
		s.leave(w)
	}
	s.run(time.Second)
	s.startWorkerAs("m-p-0", w.m.Id, w.m.Address)
	s.runUntil(workload.RequestTimeout+ledger.MaxRequestDelay, func() bool { return l.isOver })
	s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// Guards against a task that starts elsewhere beside the first copy of a start, which was sent again on another connection.
func TestLateStartOnClosedConnectionRunsOnce(t *testing.T) {
	t.Run("same leader", func(t *testing.T) { testClosedStart(t, false, false) })
	t.Run("another leader", func(t *testing.T) { testClosedStart(t, false, true) })
}

// testClosedStart lets the first copy of a start, whose connection was closed, arrive at an incarnation that no request has
// reached.
func testClosedStart(t *testing.T, hasEarlier, newLeader bool) {
	s := newSim(t)
	s.configure(1, nil, "p")
	w := s.addWorkers("p", 1)[0]
	s.run(2 * time.Second)
	first := map[string]workload.StartRun{}
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if _, isRepeated := first[start.Name.Job]; !ok || isRepeated {
			return false
		}
		first[start.Name.Job] = start
		s.answerClosed(a)
		return true
	}
	if hasEarlier {
		s.submit("p", "earlier", step(1, 1000, 1000, 1000))
		s.run(200 * time.Millisecond)
	}
	s.submit("p", "job", step(1, 12000, 1000, 20_000))
	sent := s.now
	s.runUntil(time.Second, func() bool { return s.running("job") == 1 })
	if newLeader {
		s.startTerm()
	}
	s.run(2 * time.Second)
	other := s.addWorkerTo("p", "m-p-1")
	w.dead = true
	s.runUntil(9*time.Second, func() bool { return len(other.runs) == 1 || s.now > sent+9*time.Second })
	s.startsMute = func(*fakeWorker) bool { return true }
	later := s.startWorkerAs("m-p-0", w.m.Id, w.m.Address)
	s.run(simStep)
	later.execute(first["job"], sent)
	assert.Equal(t, len(later.runs), 1)
	s.run(bootDelay)
	later.mute = false
	s.report(later)
	s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// Guards against a task that starts elsewhere beside the first copy of a start, because a list shows the run that the second one
// began.
func TestLateStartOfListedRunRunsOnce(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("another leader %v", newLeader), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "p")
			w := s.addWorkers("p", 1)[0]
			s.run(2 * time.Second)
			l := newLateStart(s, w.m.Id)
			s.submit("p", "job", step(1, 12000, 1000, 20_000))
			s.runUntil(4*time.Second, func() bool { return len(w.runs) == 1 })
			if newLeader {
				s.startTerm()
			}
			s.run(2 * time.Second)
			other := s.addWorkerTo("p", "m-p-1")
			w.dead = true
			s.runUntil(9*time.Second, func() bool { return len(other.runs) == 1 || s.now > l.sent+11*time.Second })
			s.startWorkerAs("m-p-0", w.m.Id, w.m.Address)
			s.runUntil(workload.RequestTimeout+ledger.MaxRequestDelay, func() bool { return l.isOver })
			s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
			assert.Equal(t, s.done["job.0.0.0"], 1)
		})
	}
}
