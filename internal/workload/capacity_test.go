package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against long-running tasks that wait beside workers with room, because a resource that they don't need is short
// on them since their capacity has shrunk.
func TestTasksRunWhereOnlyOtherResourcesAreShort(t *testing.T) {
	full := &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536, Accelerators: 2}
	accelerated := step(1, 1000, 1000, 1000)
	accelerated.Need.Accelerators = 2
	bestEffort := lasting(2, 1000, 1000)
	bestEffort.Fills = true
	for _, tt := range []struct {
		name              string
		ordinary, waiting *workloadpb.Step
		shrunk            *workloadpb.Resources
	}{
		{"processors", step(1, 16000, 1000, 1000), bestEffort, &workloadpb.Resources{Cpu: 8000, MemoryMib: 65536}},
		{"accelerators", accelerated, lasting(2, 1000, 1000), &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			w.stuck = true
			w.resize(full)
			s.report(w)
			s.submit("glass", "ordinary", tt.ordinary)
			s.run(time.Second)
			assert.Equal(t, s.running("ordinary"), 1)
			w.resize(tt.shrunk)
			s.run(shrinkGrace)
			s.submit("glass", "waiting", tt.waiting)
			s.run(lostWindow)
			assert.Equal(t, s.running("waiting"), 2)
		})
	}
}
