package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// Guards against a job that fails because the worker that its task is pinned to crashes again and again by itself.
func TestJobWithTaskPinnedToFlappingWorkerIsDone(t *testing.T) {
	for _, up := range []time.Duration{700 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(up.String(), func(t *testing.T) {
			s := newPinnedSim(t, step(1, 12000, 1000, 4000))
			for range 7 {
				s.addWorkerTo("p", fmt.Sprintf("m-p-%d", len(s.instances)))
			}
			s.run(500 * time.Millisecond)
			s.late.isOver = true // It never arrives.
			for s.jobState("p", "job") != string(ledger.Completed) && s.now < 40*time.Second {
				w := s.restartLost(1)
				s.run(up)
				w.dead = true
			}
			assert.Equal(t, s.jobState("p", "job"), string(ledger.Completed))
		})
	}
}
