package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against a task that starts elsewhere while the late start of a run that was given up may still be carried out by an
// incarnation that no request has reached.
func TestLateStartOfGivenUpRunRunsOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		// between is set if another incarnation, which is reached, comes before the one that carries out the start.
		between   bool
		taskTime  time.Duration
		newLeader bool
	}{
		{"unreached", false, 20 * time.Second, false},
		{"unreached, another leader", false, 20 * time.Second, true},
		{"unreached, after the task was done", false, time.Second, false},
		{"reached and crashed again", true, 20 * time.Second, false},
		{"reached and crashed again, another leader", true, 20 * time.Second, true},
		{"reached and crashed again, after the task was done", true, time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "p")
			w := s.addWorkers("p", 1)[0]
			s.run(2 * time.Second)
			l := newLateStart(s, w.m.Id)
			s.submit("p", "job", step(1, 12000, 1000, tt.taskTime.Milliseconds()))
			s.run(200 * time.Millisecond)
			w.dead = true
			s.addWorkerTo("p", "m-p-1")
			s.run(500 * time.Millisecond)
			if tt.between {
				l.skips = 1
				s.restartTooSmall(w)
			}
			s.run(6500 * time.Millisecond)
			if tt.newLeader {
				s.startTerm()
			}
			s.workers[w.m.Id].dead = true
			s.run(500 * time.Millisecond)
			s.startWorkerAs("m-p-0", w.m.Id, w.m.Address)
			s.run(bootDelay)
			s.runUntil(50*time.Second, func() bool { return s.jobState("p", "job") == "completed" })
			assert.Assert(t, l.isOver)
			assert.Equal(t, s.done["job.0.0.0"], 1)
		})
	}
}

// addWorkerTo starts a worker on another instance of a pool.
func (s *sim) addWorkerTo(pool, instance string) *fakeWorker {
	row := *s.instances["m-"+pool+"-0"]
	row.Name = instance
	s.instances[instance] = &row
	return s.startWorker(instance)
}

// restartTooSmall restarts the worker of the first instance of a pool, with room for no task.
func (s *sim) restartTooSmall(w *fakeWorker) {
	row := s.instances["m-"+w.m.Pool+"-0"]
	full := row.Capacity
	row.Capacity = &workloadpb.Resources{Cpu: 100, MemoryMib: 100}
	s.startWorkerAs(row.Name, w.m.Id, w.m.Address)
	row.Capacity = full
}
