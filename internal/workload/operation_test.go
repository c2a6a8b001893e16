package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// bootDelay is the time from the start of an incarnation until the leader learns of it.
const bootDelay = 100 * time.Millisecond

// lateStart is a start that gets no answer and is carried out late.
type lateStart struct {
	s       *sim
	request workload.StartRun
	sent    time.Duration
	skips   int // incarnations that get other requests first
	isOver  bool
}

// newLateStart holds up the next start for the worker with an ID. It is carried out by the incarnation that begins next under
// the ID, before any other request, or at the latest possible time, if there is an incarnation then.
func newLateStart(s *sim, id string) *lateStart {
	l := &lateStart{s: s}
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if !ok || start.ID != id || l.sent > 0 {
			return false
		}
		l.request, l.sent = start, s.sentAt
		s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, l.sent) })
		s.scheduleLasting(ledger.MaxRequestDelay-simStep, func() {
			l.deliver()
			l.isOver = true
		})
		return true
	}
	s.startsMute = func(later *fakeWorker) bool {
		if later.m.Id != id {
			return false
		}
		if l.skips--; l.skips < 0 {
			s.scheduleLasting(simStep, l.deliver)
		}
		s.scheduleLasting(bootDelay, func() {
			later.mute = false
			s.report(later)
		})
		return true
	}
	return l
}

func (l *lateStart) deliver() {
	if w := l.s.workers[l.request.ID]; !l.isOver && w != nil && !w.dead {
		l.isOver = true
		w.execute(l.request, l.sent)
	}
}

// moveFirstInstance makes the leader move the first instance of the pool glass, as a second one that is busy suffices and
// another pool needs it.
func moveFirstInstance(s *sim) {
	row := *s.instances["m-glass-0"]
	row.Name, row.Labels = "m-glass-1", []string{"b", "r1"}
	s.instances[row.Name] = &row
	s.startWorker(row.Name)
	busy := longRunningStep(1000)
	busy.Label = "b"
	s.submit("glass", "busy", busy)
	s.submit("plates", "large", step(60, 12000, 1000, 1000))
}

// Guards against a move or maintenance that ends an incarnation while a start for it is still on its way, so that the next
// incarnation with its ID runs the task in a pool of other queues, or once more.
func TestOperationLetsNoLateStartReachNextIncarnation(t *testing.T) {
	maintain := func(s *sim) { s.startWave(1, 1, "m-glass-0") }
	moveThroughSparePool := func(s *sim) {
		moveFirstInstance(s)
		in := s.instances["m-glass-0"]
		s.runUntil(5*time.Second, func() bool { return in.Pool == "spare" && in.Up })
		s.startTerm()
	}
	for _, tt := range []struct {
		name string
		// leaderChanges are the times of changes of the leader after the submission of the job.
		leaderChanges []time.Duration
		// restarts is set if the worker crashes after the run and starts again before the operation.
		restarts bool
		operate  func(s *sim)
	}{
		{"move", nil, false, moveFirstInstance},
		{"move, another leader before the answer was due", []time.Duration{300 * time.Millisecond}, false, moveFirstInstance},
		{"move, another leader", []time.Duration{1500 * time.Millisecond}, false, moveFirstInstance},
		{"move, another leader after the run", []time.Duration{3 * time.Second}, false, moveFirstInstance},
		{"move, two other leaders", []time.Duration{300 * time.Millisecond, 600 * time.Millisecond}, false, moveFirstInstance},
		{"move, two other leaders around the run", []time.Duration{300 * time.Millisecond, 3 * time.Second}, false, moveFirstInstance},
		{"move after a restart", nil, true, moveFirstInstance},
		{"move after a restart, another leader", []time.Duration{6 * time.Second}, true, moveFirstInstance},
		{"move through the spare pool, another leader", nil, false, moveThroughSparePool},
		{"maintenance", nil, false, maintain},
		{"maintenance without a spare pool", nil, false, func(s *sim) {
			s.configure(2, nil, "glass", "plates")
			maintain(s)
		}},
		{"maintenance, another leader before the answer was due", []time.Duration{300 * time.Millisecond}, false, maintain},
		{"maintenance, another leader", []time.Duration{1500 * time.Millisecond}, false, maintain},
		{"maintenance, another leader after the run", []time.Duration{3 * time.Second}, false, maintain},
		{"maintenance, two other leaders", []time.Duration{300 * time.Millisecond, 600 * time.Millisecond}, false, maintain},
		{"maintenance, two other leaders around the run", []time.Duration{300 * time.Millisecond, 3 * time.Second}, false, maintain},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, w := newOperationSim(t)
			submitted := s.now
			l := newLateStart(s, w.m.Id)
			s.submit("glass", "job", step(1, 12000, 1000, 700))
			if tt.restarts {
				l.skips = 1
				s.runUntil(6*time.Second, func() bool { return s.jobState("glass", "job") == "completed" })
				w.dead = true
				w = s.startWorkerAs("m-glass-0", w.m.Id, w.m.Address)
				s.run(2 * time.Second)
			}
			for _, at := range tt.leaderChanges {
				s.run(submitted + at - s.now)
				s.startTerm()
			}
			s.runUntil(6*time.Second, func() bool { return s.jobState("glass", "job") == "completed" })
			s.run(500 * time.Millisecond)
			tt.operate(s)
			s.runUntil(40*time.Second, func() bool { return l.isOver && s.workers[w.m.Id] != w && !s.workers[w.m.Id].dead })
			s.run(5 * time.Second)
			assert.Equal(t, s.done["job.0.0.0"], 1)
		})
	}
}

// Guards against a move without an answer that is carried out after the instance was moved on, so that the next incarnation
// with the ID runs a task in a pool of other queues.
func TestLateMoveEndsNoLaterIncarnation(t *testing.T) {
	s := newSim(t)
	s.keepsAllIDs = true
	s.configure(1, nil, "glass", "plates", "spare")
	s.addWorkers("glass", 1)
	s.addWorkers("plates", 1)
	s.addWorkers("spare", 1)
	in := s.instances["m-spare-0"]
	late := false
	s.intercept = func(a kernel.Action) bool {
		move, ok := a.(workload.MoveInstance)
		if !ok || late {
			return false
		}
		late = true
		sent := s.sentAt
		s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, sent) })
		s.scheduleLasting(9*time.Second, func() {
			if in.Pool != move.Pool {
				s.restart(move.Instance, move.Pool, 1500*time.Millisecond)
			}
		})
		return true
	}
	s.submit("plates", "busy", longRunningStep(1000))
	s.run(time.Second)
	s.submit("plates", "large", step(2, 12000, 1000, 1000))
	s.runUntil(5*time.Second, func() bool { return in.Pool == "plates" && in.Up })
	s.runUntil(9*time.Second, func() bool { return s.jobState("plates", "large") == "completed" })
	l := newLateStart(s, in.Worker)
	l.skips = 1
	s.submit("glass", "job", step(2, 12000, 1000, 20_000))
	s.runUntil(30*time.Second, func() bool { return l.sent > 0 })
	s.run(8 * time.Second)
}

// Guards against instances that wait for a start whose answer was lost, although the list of the worker shows the run.
func TestListedRunDelaysNoMove(t *testing.T) {
	s, w := newOperationSim(t)
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
	s.submit("glass", "job", step(1, 12000, 1000, 2000))
	s.runUntil(6*time.Second, func() bool { return s.jobState("glass", "job") == "completed" })
	s.startWave(1, 1, "m-glass-0")
	s.runUntil(2*time.Second, func() bool { return s.instances["m-glass-0"].Pool == "glass" && !s.instances["m-glass-0"].Up })
}

// Guards against a long-running task that waits beside an idle worker, whose instance is due for maintenance and gets a new
// operation again and again while a start may be carried out late.
func TestMaintenanceBehindLateStartHoldsUpNoTask(t *testing.T) {
	for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 20 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass", "spare")
			w := s.addWorkers("glass", 1)[0]
			s.run(time.Second)
			newLateStart(s, w.m.Id)
			s.submit("glass", "job", step(1, 12000, 1000, 700))
			s.runUntil(6*time.Second, func() bool { return s.jobState("glass", "job") == "completed" })
			s.startWave(1, 1, "m-glass-0")
			s.run(phase)
			isOff := !s.instances["m-glass-0"].Up
			s.submit("glass", "last", longRunningStep(1000))
			s.runUntil(4*time.Second, func() bool { return isOff || s.running("last") == 1 })
		})
	}
}

// answerClosed answers a request that its connection was closed.
func (s *sim) answerClosed(a kernel.Action) {
	answer := workload.Answer{Closed: true, SentAt: s.sentAt}
	s.schedule(simStep, func() { s.observeAnswer(a, answer) })
}

// Guards against a start that is repeated, after its connection was closed, before later leaders can learn of the first copy,
// and against a worker that counts as unreachable because of that.
func TestStartOnClosedConnectionIsRecordedBeforeItIsRepeated(t *testing.T) {
	s := newSim(t)
	s.commitDelay = func() time.Duration { return 5 * simStep }
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	s.run(3 * time.Second)
	starts := 0
	s.intercept = func(a kernel.Action) bool {
		if _, ok := a.(workload.StartRun); !ok {
			return false
		}
		if starts++; starts > 1 {
			assert.Equal(t, len(s.e.State().LateStarts()), 1)
			return false
		}
		s.answerClosed(a)
		return true
	}
	s.submit("glass", "job", step(1, 12000, 1000, 2000))
	s.runUntil(300*time.Millisecond, func() bool { return len(w.runs) == 1 })
}

// Guards against starts that are repeated without a pause on a worker that closes each connection.
func TestStartsOnClosedConnectionsAreRepeatedSeldom(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	s.run(3 * time.Second)
	starts := 0
	s.intercept = func(a kernel.Action) bool {
		if _, ok := a.(workload.StartRun); !ok {
			return false
		}
		starts++
		s.answerClosed(a)
		return true
	}
	s.submit("glass", "job", step(1, 12000, 1000, 2000))
	s.run(2 * time.Second)
	assert.Assert(t, starts > 1 && starts <= 21, "%d starts in 2 s", starts) // minRetryDelay is 100 ms
}
