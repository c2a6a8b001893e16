package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

// Guards against an entry of another writer in the list of instances that hides the true one, so that its maintenance ends
// runs that the leader doesn't see there.
func TestForeignEntryHidesNoInstance(t *testing.T) {
	tests := []struct {
		name  string
		first bool // the entry comes before the true ones
		entry workload.Instance
	}{
		{"other worker, last", false, workload.Instance{Pool: "other", Up: true, Worker: "w-odd"}},
		{"other worker, first", true, workload.Instance{Pool: "other", Up: true, Worker: "w-odd"}},
		{"no worker", false, workload.Instance{Pool: "other", Up: true}},
		{"down", false, workload.Instance{Pool: "other"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "p")
			s.addWorkers("p", 2)
			tt.entry.Name = "m-p-0"
			s.intercept = func(a kernel.Action) bool {
				if _, ok := a.(workload.ListInstances); !ok {
					return false
				}
				list := workload.ListInstancesResult{Outcome: workload.Accepted, SentAt: s.now}
				if tt.first {
					list.Instances = append(list.Instances, tt.entry)
				}
				for _, row := range s.instances {
					list.Instances = append(list.Instances, *row)
				}
				if !tt.first {
					list.Instances = append(list.Instances, tt.entry)
				}
				s.schedule(simStep, func() { s.k.Observe(s.now, list) })
				return true
			}
			s.run(3 * time.Second)
			s.submit("p", "j", step(2, 12000, 1000, 1000))
			s.run(200 * time.Millisecond)
			assert.Equal(t, s.running("j"), 2)
			s.startWave(1, 1, "m-p-0")
			s.run(10 * time.Second)
			assert.Equal(t, s.lastWave["m-p-0"], int64(1))
			assert.Equal(t, s.jobState("p", "j"), "completed")
			assert.Equal(t, len(s.starts("j")), 2, "the maintenance ended a run")
		})
	}
}
