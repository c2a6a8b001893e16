package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// newOperationSim returns a simulation with a worker in each of two pools. All instances keep the IDs of their workers.
func newOperationSim(t *testing.T) (*sim, *fakeWorker) {
	t.Helper()
	s := newSim(t)
	s.keepsAllIDs = true
	s.configure(1, nil, "glass", "plates", "spare")
	w := s.addWorkers("glass", 1)[0]
	s.addWorkers("plates", 1)
	s.run(3 * time.Second)
	return s, w
}

// lateAtNextIncarnation carries out a request at the next incarnations of a worker, whose heartbeats begin after bootDelay,
// unless it is too late by then.
func (s *sim) lateAtNextIncarnation(w *fakeWorker, request func() (kernel.Action, time.Duration)) (boots *int) {
	n := 0
	s.startsMute = func(later *fakeWorker) bool {
		if later.m.Id != w.m.Id {
			return false
		}
		n++
		s.scheduleLasting(simStep, func() {
			if a, sent := request(); a != nil && s.now-sent <= ledger.MaxRequestDelay && !later.dead {
				later.execute(a, sent)
			}
		})
		s.scheduleLasting(bootDelay, func() {
			later.mute = false
			s.report(later)
		})
		return true
	}
	return &n
}

// Guards against a second start of a run that is in flight when the leader changes, so that the next one takes the run, which
// the first start began late, for that of the second.
func TestSecondStartInFlightAtChangeOfLeaderRunsInItsPool(t *testing.T) {
	const silence = 2800 * time.Millisecond
	s, w := newOperationSim(t)
	var starts []kernel.Action
	var sent []time.Duration
	s.intercept = func(r kernel.Action) bool {
		if start, ok := r.(workload.StartRun); ok && start.ID == w.m.Id && len(starts) < 2 {
			starts, sent = append(starts, r), append(sent, s.sentAt)
			if len(starts) == 1 {
				at := s.sentAt
				s.schedule(time.Second, func() { s.fail(r, workload.NoAnswer, at) })
				// The worker answers nothing for a while, so that the start is repeated late.
				w.unreachable = true
				s.schedule(silence, func() { w.unreachable = false })
			}
			return true
		}
		return false
	}
	boots := s.lateAtNextIncarnation(w, func() (kernel.Action, time.Duration) {
		if len(starts) < 2 {
			return nil, 0
		}
		return starts[1], sent[1]
	})
	s.submit("glass", "job", step(1, 12000, 1000, 700))
	s.runUntil(10*time.Second, func() bool { return len(starts) == 2 })
	s.run(50 * time.Millisecond)
	w.execute(starts[0], sent[0])
	assert.Equal(t, len(w.runs), 1)
	s.startTerm()
	s.runUntil(6*time.Second, func() bool { return s.jobState("glass", "job") == "completed" })
	s.run(500 * time.Millisecond)
	moveFirstInstance(s)
	s.runUntil(40*time.Second, func() bool { return *boots > 0 })
	s.run(5 * time.Second)
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// Guards against a leader that learns of the end of a run and not of its late start, as the log rejects the record of that.
func TestEndIsRecordedWithItsLateStarts(t *testing.T) {
	s, w := newOperationSim(t)
	var a kernel.Action
	var sent time.Duration
	s.intercept = func(r kernel.Action) bool {
		start, ok := r.(workload.StartRun)
		if !ok || start.ID != w.m.Id || a != nil {
			return false
		}
		a, sent = r, s.sentAt
		s.schedule(50*time.Millisecond, func() {
			o := w.execute(r, sent)
			answer := w.answer(o, sent)
			answer.Repeated = true
			s.observeAnswer(r, answer)
		})
		return true
	}
	s.rejectCommand = func(m *workloadpb.Command) bool {
		_, ok := m.Change.(*workloadpb.Command_LateStarts)
		return ok && s.term == 1
	}
	boots := s.lateAtNextIncarnation(w, func() (kernel.Action, time.Duration) { return a, sent })
	s.submit("glass", "job", step(1, 12000, 1000, 700))
	s.runUntil(6*time.Second, func() bool { return s.jobState("glass", "job") == "completed" })
	s.startTerm()
	s.run(500 * time.Millisecond)
	moveFirstInstance(s)
	s.runUntil(40*time.Second, func() bool { return *boots > 0 })
	s.run(5 * time.Second)
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// Guards against a start on an instance whose move got no answer and was given up, but is carried out later.
func TestMoveThatIsCarriedOutLateEndsNoStart(t *testing.T) {
	for _, delay := range []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) { testGivenUpMove(t, delay) })
	}
}

func testGivenUpMove(t *testing.T, delay time.Duration) {
	s, w := newOperationSim(t)
	s.e.Configure(workload.Config{
		WallClock: func() time.Time { return time.UnixMilli(1_000_000).Add(s.now) }, MaxLease: s.maxLease,
		MaxOperationDelay: ledger.MaxRequestDelay,
	})
	var a kernel.Action
	var sent time.Duration
	moves := 0
	s.intercept = func(r kernel.Action) bool {
		at := s.sentAt
		switch r := r.(type) {
		case workload.MoveInstance:
			if r.Instance == "m-glass-0" && s.now < 20*time.Second {
				moves++
				if moves == 2 {
					s.scheduleLasting(delay, func() { s.restart(r.Instance, r.Pool, 1500*time.Millisecond) })
				}
				s.schedule(time.Second, func() { s.fail(r, workload.NoAnswer, at) })
				return true
			}
		case workload.StartRun:
			if r.ID == w.m.Id && moves > 0 && a == nil {
				a, sent = r, at
				s.schedule(time.Second, func() { s.fail(r, workload.NoAnswer, at) })
				return true
			}
		}
		return false
	}
	boots := s.lateAtNextIncarnation(w, func() (kernel.Action, time.Duration) { return a, sent })
	moveFirstInstance(s)
	s.runUntil(10*time.Second, func() bool { return moves > 0 })
	one := step(1, 12000, 1000, 700)
	one.Label, one.Lasting = "a", true
	s.submit("glass", "job", one)
	s.runUntil(40*time.Second, func() bool { return *boots > 0 })
	s.run(5 * time.Second)
}

// Guards against maintenance that is held up for good by a worker that answers renewals and never a start.
func TestMaintenanceOfWorkerThatNeverAnswersStarts(t *testing.T) {
	for _, tt := range []struct {
		name  string
		pools []string
	}{
		{"spare pool", []string{"glass", "plates", "spare"}},
		{"no spare pool", []string{"glass", "plates"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, w := newOperationSim(t)
			s.configure(2, nil, tt.pools...)
			s.intercept = func(r kernel.Action) bool {
				start, ok := r.(workload.StartRun)
				if !ok || start.ID != w.m.Id {
					return false
				}
				at := s.sentAt
				s.schedule(time.Second, func() { s.fail(r, workload.NoAnswer, at) })
				return true
			}
			s.submit("glass", "job", step(1, 12000, 1000, 700))
			s.run(2 * time.Second)
			s.startWave(1, 1, "m-glass-0", "m-plates-0")
			s.runUntil(40*time.Second, func() bool { return s.waveCompleted(1) })
		})
	}
}

// Guards against a record that ends too early, as heartbeats don't advance the clock of the ledger.
func TestLateStartsOfWorkerThatStartedAgainLastLongEnough(t *testing.T) {
	s, w := newOperationSim(t)
	s.submit("glass", "job", step(1, 12000, 1000, 60_000))
	s.runUntil(3*time.Second, func() bool { return len(w.runs) == 1 })
	// Nothing is proposed for a while.
	s.run(4 * time.Second)
	before := s.now
	w.dead = true
	s.startWorkerAs("m-glass-0", w.m.Id, w.m.Address)
	s.runUntil(5*time.Second, func() bool { return s.e.State().LateStarts()[w.m.Id] > 0 })
	end := s.e.State().LateStarts()[w.m.Id]
	s.run(time.Second) // The leader proposes something.
	remaining := time.Duration(end-s.e.State().Clock()) * time.Millisecond
	assert.Assert(t, s.now-before+remaining >= ledger.MaxRequestDelay-100*time.Millisecond)
}
