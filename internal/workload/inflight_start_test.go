package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a late start of a leader that was lost before the answer was due, so that no record tells the next one of it.
func TestLateStartInFlightAtChangeOfLeaderRunsOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		// at is when the leader is lost, after the start was sent.
		at time.Duration
		// between is the number of incarnations that are reached before the one which carries out the start.
		between int
	}{
		{"at once", 200 * time.Millisecond, 0},
		{"just before the answer was due", 980 * time.Millisecond, 0},
		{"at once, another incarnation is reached before", 200 * time.Millisecond, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newPinnedSim(t, step(1, 12000, 1000, 20_000))
			s.run(s.late.sent + tt.at - s.now)
			s.startTerm()
			if tt.between > 0 {
				restarted := s.restartLost(1)
				s.runUntil(5*time.Second, func() bool { return restarted.reached })
			} else {
				s.runUntil(10*time.Second, func() bool { return len(s.other.runs) == 1 || s.now > s.late.sent+9*time.Second })
			}
			s.restartLost(0)
			s.runUntilOver()
			s.runUntil(60*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
			assert.Equal(t, s.done["job.0.0.0"], 1)
		})
	}
}
