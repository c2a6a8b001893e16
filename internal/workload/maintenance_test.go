package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

// Guards against a task that runs again after it was done, because its end is lost with the worker that just listed it.
func TestMaintenanceBeginsAfterRunsHaveEnded(t *testing.T) {
	for _, tt := range []struct {
		name       string
		estimateMs int64
	}{{"ends-by-itself", 800}, {"stopped", 20000}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			s.run(time.Second)
			s.submit("glass", "ordinary", step(4, 1000, 1000, tt.estimateMs))
			s.run(500 * time.Millisecond)
			assert.Equal(t, s.running("ordinary"), 4)
			begun := false
			s.intercept = func(a kernel.Action) bool {
				if _, ok := a.(workload.MaintainInstance); ok {
					assert.Equal(t, len(w.runs), 0)
					begun = true
				}
				return false
			}
			s.startWave(1, 1, "m-glass-0")
			s.run(3 * time.Second)
			assert.Assert(t, begun, "maintenance has not begun")
		})
	}
}
