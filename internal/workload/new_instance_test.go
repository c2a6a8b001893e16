package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against a wave that is completed without the maintenance of instances that have just come, because the list that
// the leader holds was requested before the wave.
func TestNewInstanceOfWaveIsMaintained(t *testing.T) {
	tests := []struct {
		name string
		// before is called just before the instance comes, and after when the wave was accepted.
		before, after func(s *sim)
	}{
		{"list from before the wave", func(*sim) {}, func(*sim) {}},
		{"list on its way", func(s *sim) { s.delayLists(time.Second) }, func(*sim) {}},
		{"list fails", func(*sim) {}, func(s *sim) {
			until := s.now + 3*time.Second
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				_, ok := a.(workload.ListInstances)
				return workload.Busy, ok && s.now < until
			}
		}},
		{"another leader", func(*sim) {}, func(s *sim) { s.scheduleLasting(50*time.Millisecond, s.startTerm) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for phase := time.Duration(0); phase < 10*time.Second; phase += 700 * time.Millisecond {
				s := newSim(t)
				s.configure(1, nil, "glass")
				s.addWorkers("glass", 3)
				s.run(3*time.Second + phase)
				tt.before(s)
				s.run(500 * time.Millisecond)
				s.instances["m-new"] = &workload.Instance{
					Name: "m-new", Pool: "glass", Labels: []string{"a", "r9"},
					Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
				}
				s.scheduleLasting(1500*time.Millisecond, func() {
					s.instances["m-new"].Up = true
					s.startWorker("m-new")
				})
				s.startWave(1, 2, "m-glass-0", "m-new", "m-never-was")
				tt.after(s)
				for end := s.now + 30*time.Second; !s.waveCompleted(1); {
					assert.Assert(t, s.now < end, "the wave is not completed")
					s.run(simStep)
				}
				assert.Equal(t, s.lastWave["m-new"], int64(1), "phase %v: the wave is completed without m-new", phase)
			}
		})
	}
}

// delayLists delays the answers to requests for the list of instances. They show the instances at the time of the request.
func (s *sim) delayLists(d time.Duration) {
	s.intercept = func(a kernel.Action) bool {
		if _, ok := a.(workload.ListInstances); !ok {
			return false
		}
		list := workload.ListInstancesResult{Outcome: workload.Accepted, SentAt: s.now}
		for _, row := range s.instances {
			list.Instances = append(list.Instances, *row)
		}
		s.schedule(d, func() { s.k.Observe(s.now, list) })
		return true
	}
}
