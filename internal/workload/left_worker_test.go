package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that starts elsewhere beside a late start, because its worker has left by itself and comes back.
func TestLateStartAtWorkerThatLeftRunsOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		// unanswered is set if the worker leaves after the leader has learnt that the start got no answer.
		unanswered bool
		newLeader  bool
	}{
		{"before the answer was due", false, false},
		{"unanswered", true, false},
		{"unanswered, another leader", true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newPinnedSim(t, step(1, 12000, 1000, 20_000))
			if tt.unanswered {
				s.run(time.Second)
			}
			if tt.newLeader {
				s.startTerm()
			}
			s.leave(s.lost)
			s.run(3 * time.Second)
			s.restartLost(0)
			s.runUntilOver()
			s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
			assert.Equal(t, s.done["job.0.0.0"], 1)
		})
	}
	t.Run("after the run was stopped", func(t *testing.T) { testStoppedStart(t, false, false, true) })
}
