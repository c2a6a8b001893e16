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
