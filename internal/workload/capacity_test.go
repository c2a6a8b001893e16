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

// Guards against tasks that start beyond the capacity of a worker, because a delayed heartbeat shows what it had before.
func TestDelayedHeartbeatKeepsLaterCapacity(t *testing.T) {
	full := &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536}
	half := &workloadpb.Resources{Cpu: 8000, MemoryMib: 65536}
	for _, tt := range []struct {
		name string
		// capacities are those of successive heartbeats, of which the one with the index delayed arrives last.
		capacities []*workloadpb.Resources
		delayed    int
		newLeader  bool
	}{
		{"shrunk", []*workloadpb.Resources{full, half}, 0, false},
		{"shrunk, new leader", []*workloadpb.Resources{full, half}, 0, true},
		{"shrunk twice", []*workloadpb.Resources{full, half, full, half}, 0, false},
		{"shrunk twice, new leader", []*workloadpb.Resources{full, half, full, half}, 0, true},
		{"grown for one heartbeat", []*workloadpb.Resources{half, full, half}, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			s.run(time.Second)
			var delayed *workloadpb.Command
			for i, c := range tt.capacities {
				w.resize(c)
				if m := s.heartbeat(w); i == tt.delayed {
					delayed = m
				} else {
					s.call(m)
				}
			}
			s.run(shrinkGrace + time.Second)
			if tt.newLeader {
				s.startTerm()
				s.run(100 * time.Millisecond)
			}
			s.call(delayed)
			s.submit("glass", "last", lasting(2, 8000, 1000))
			s.run(lostWindow)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}
