package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against a leader that doesn't know of a start of its predecessor without an answer, and starts the task elsewhere.
func TestNextLeaderAwaitsLateStart(t *testing.T) {
	for _, tt := range []struct {
		name string
		// since is the time from the start until the leader is lost.
		since time.Duration
		// between starts another incarnation, which the next leader reaches; it may be nil.
		between func(s *sim, w *fakeWorker)
	}{
		{"in flight", 50 * time.Millisecond, nil},
		{"overdue", 500 * time.Millisecond, nil},
		{"unanswered", 1500 * time.Millisecond, nil},
		{"in flight, another incarnation", 50 * time.Millisecond, restartTooSmall},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "p")
			w := s.addWorkers("p", 1)[0]
			s.run(2 * time.Second)
			l := newLateStart(s, w.m.Id)
			s.submit("p", "job", step(1, 12000, 1000, 20_000))
			s.run(tt.since)
			w.dead = true
			s.addWorkerTo("p", "m-p-1")
			s.startTerm()
			s.run(300 * time.Millisecond)
			if tt.between != nil {
				l.skips = 1
				tt.between(s, w)
			}
			s.run(8 * time.Second)
			s.workers[w.m.Id].dead = true
			s.run(500 * time.Millisecond)
			restartAgain(s, w)
			s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
			assert.Equal(t, s.done["job.0.0.0"], 1)
		})
	}
}

// Guards against a leader that forgets the start of its predecessor once it has started the run itself.
func TestNextLeaderRemembersLateStartOfRunThatItStarted(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "p")
	w := s.addWorkers("p", 1)[0]
	s.run(2 * time.Second)
	l := newLateStart(s, w.m.Id)
	s.submit("p", "job", step(1, 12000, 1000, 30_000))
	s.run(200 * time.Millisecond)
	s.startTerm()
	s.runUntil(5*time.Second, func() bool { return len(w.runs) == 1 })
	s.run(500 * time.Millisecond)
	w.dead = true
	s.addWorkerTo("p", "m-p-1")
	s.run(8 * time.Second)
	restartAgain(s, w)
	s.run(bootDelay)
	assert.Assert(t, l.isOver)
	s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// Guards against a leader that takes what the log tells of another start for a record of its own one, so that the leader after it
// knows of neither.
func TestLeaderRecordsLateStartBesideOlderRecord(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "p")
	w := s.addWorkers("p", 1)[0]
	s.run(2 * time.Second)
	s.submit("p", "first", step(1, 1000, 1000, 700))
	s.run(300 * time.Millisecond)
	w.dead = true
	s.run(500 * time.Millisecond)
	w = s.startWorkerAs("m-p-0", w.m.Id, w.m.Address)
	s.runUntil(10*time.Second, func() bool { return s.jobState("p", "first") == "completed" })
	s.startTerm()
	s.run(2 * time.Second)
	l := newLateStart(s, w.m.Id)
	s.submit("p", "job", step(1, 12000, 1000, 20_000))
	s.runUntil(3*time.Second, func() bool { return l.sent > 0 })
	w.dead = true
	s.addWorkerTo("p", "m-p-1")
	s.run(1500 * time.Millisecond)
	s.startTerm()
	s.run(8 * time.Second)
	restartAgain(s, w)
	s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
	assert.Equal(t, s.done["job.0.0.0"], 1)
}

// Guards against a start that is repeated while the end of its run is on its way to the log, which then doesn't tell of it.
func TestStartIsNotRepeatedOnceItsEndIsListed(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "p")
	w := s.addWorkers("p", 1)[0]
	s.run(2 * time.Second)
	s.commitDelay = func() time.Duration { return 100 * time.Millisecond }
	w.how = workloadpb.How_HOW_FAILED
	starts := 0
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if !ok || start.Name.Run > 1 {
			return false
		}
		starts++
		sent := s.sentAt
		w.execute(a, sent)
		s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, sent) })
		return true
	}
	s.submit("p", "job", step(1, 12000, 1000, 1100))
	s.run(5 * time.Second)
	assert.Equal(t, starts, 1)
}
