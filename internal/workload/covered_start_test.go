package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// Guards against a closed connection to which the record of an earlier one applies, so that the next leader takes the start on
// it for one without a late copy.
func TestLateStartCoveredByEarlierRecordRunsOnce(t *testing.T) {
	testClosedStart(t, true, true)
}

// Guards against a start without an answer that isn't recorded, as the record of a lost worker with the ID covers its time, so
// that the next leader takes it for one without a late copy.
func TestLateStartCoveredByRecordOfLossRunsOnce(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "p")
	w := s.addWorkers("p", 1)[0]
	s.run(2 * time.Second)
	s.submit("p", "before", step(1, 12000, 1000, 1000))
	s.run(500 * time.Millisecond)
	w.dead = true
	s.run(500 * time.Millisecond)
	w = s.startWorkerAs("m-p-0", w.m.Id, w.m.Address)
	s.runUntil(2*time.Second, func() bool { return len(w.runs) == 1 })
	s.startTerm()
	s.run(200 * time.Millisecond)
	l := newLateStart(s, w.m.Id)
	s.submit("p", "job", step(1, 2000, 1000, 20_000))
	s.runUntil(time.Second, func() bool { return l.sent > 0 })
	s.run(workload.RequestTimeout + 50*time.Millisecond)
	w.dead = true
	s.startTerm()
	other := s.addWorkerTo("p", "m-p-1")
	s.runUntil(10*time.Second, func() bool { return other.runs["job.0.0.0"] != nil || s.now > l.sent+9*time.Second })
	s.startWorkerAs("m-p-0", w.m.Id, w.m.Address)
	s.runUntil(workload.RequestTimeout+ledger.MaxRequestDelay, func() bool { return l.isOver })
	s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
	assert.Equal(t, s.done["job.0.0.0"], 1)
}
