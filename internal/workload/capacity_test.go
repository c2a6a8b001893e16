package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
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

// Guards against starts beyond the capacity of a worker that has shrunk while it was silent, because the first heartbeat that
// a new leader receives was delayed. The simulation fails at such a start.
func TestDelayedHeartbeatShowsNoCurrentCapacity(t *testing.T) {
	for silence := shrinkGrace; silence < shrinkGrace+3*time.Second; silence += 100 * time.Millisecond {
		t.Run(silence.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			s.run(2 * time.Second)
			delayed := s.heartbeat(w)
			w.unreachable = true
			w.resize(&workloadpb.Resources{Cpu: 8000, MemoryMib: 65536})
			s.run(time.Second)
			s.startTerm()
			s.run(silence)
			w.unreachable = false
			s.call(delayed)
			s.submit("glass", "last", lasting(2, 8000, 1000))
			s.run(lostWindow)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against starts that are sent again, or for the first time by a new leader, beyond the capacity of a worker that
// has shrunk since the run was assigned.
func TestStartsAreNotRepeatedBeyondShrunkCapacity(t *testing.T) {
	half := &workloadpb.Resources{Cpu: 8000, MemoryMib: 65536}
	for _, tt := range []struct {
		name string
		// lost starts get no answer, the others stay on their way until the leader is lost.
		lost, newLeader bool
		step            *workloadpb.Step
	}{
		{"no answer", true, false, lasting(1, 12000, 1000)},
		{"no answer, new leader", true, true, lasting(1, 12000, 1000)},
		{"on the way, new leader", false, true, lasting(1, 12000, 1000)},
		{"ordinary task", true, false, step(1, 12000, 1000, 60000)},
		{"one task of two", true, false, lasting(2, 6000, 1000)},
		{"one task of two, new leader", false, true, lasting(2, 6000, 1000)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			s.run(time.Second)
			s.intercept = func(a kernel.Action) bool {
				start, ok := a.(workload.StartRun)
				if sent := s.sentAt; ok && tt.lost {
					s.schedule(time.Second, func() { s.fail(start, workload.NoAnswer, sent) })
				}
				return ok
			}
			s.submit("glass", "job", tt.step)
			s.run(100 * time.Millisecond)
			w.resize(half)
			s.run(shrinkGrace + time.Second)
			s.intercept = nil
			if tt.newLeader {
				s.startTerm()
			}
			s.run(lostWindow)
			assert.Equal(t, s.running("job"), int(tt.step.Count)-1)
			w.resize(&workloadpb.Resources{Cpu: 16000, MemoryMib: 65536})
			s.run(lostWindow)
			assert.Equal(t, s.running("job"), int(tt.step.Count))
		})
	}
}

// Guards against working runs that are stopped because their worker has shrunk, although the answers to their starts
// were lost.
func TestRunsThatWorkSurviveShrunkCapacity(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	s.run(time.Second)
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if ok {
			sent := s.sentAt
			w.execute(start, sent)
			s.schedule(time.Second, func() { s.fail(start, workload.NoAnswer, sent) })
		}
		return ok
	}
	s.submit("glass", "job", lasting(2, 8000, 1000))
	s.run(100 * time.Millisecond)
	w.resize(&workloadpb.Resources{Cpu: 8000, MemoryMib: 65536})
	s.report(w)
	s.run(shrinkGrace + lostWindow)
	assert.Equal(t, s.running("job"), 2)
	for task, r := range w.runs {
		assert.Equal(t, r.name.Run, int32(1), task)
	}
}

// Guards against gangs that wait for a member that doesn't fit on its worker any more.
func TestGangIsReleasedWhenMemberNoLongerFits(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	workers := s.addWorkers("glass", 2)
	s.run(time.Second)
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if ok = ok && start.ID == workers[0].m.Id; ok {
			sent := s.sentAt
			s.schedule(time.Second, func() { s.fail(start, workload.NoAnswer, sent) })
		}
		return ok
	}
	gang := lasting(2, 10000, 1000)
	gang.Gang = true
	s.submit("glass", "gang", gang)
	s.run(100 * time.Millisecond)
	assert.Equal(t, s.running("gang"), 1)
	workers[0].resize(&workloadpb.Resources{Cpu: 8000, MemoryMib: 65536})
	s.run(shrinkGrace + time.Second)
	assert.Equal(t, s.running("gang"), 0)
	s.intercept = nil
	workers[0].resize(&workloadpb.Resources{Cpu: 16000, MemoryMib: 65536})
	s.run(lostWindow)
	assert.Equal(t, s.running("gang"), 2)
}

// Guards against tasks that start beyond the capacity of a worker whose heartbeats the leader hasn't received since it
// shrank.
func TestStartsWaitForCapacityOfSilentWorker(t *testing.T) {
	for _, leaderless := range []bool{false, true} {
		t.Run(fmt.Sprintf("leaderless %v", leaderless), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			s.run(time.Second)
			w.resize(&workloadpb.Resources{Cpu: 8000, MemoryMib: 65536})
			w.mute = true
			if leaderless {
				s.loseLeader()
			}
			s.run(shrinkGrace + time.Second)
			if leaderless {
				s.startTerm()
			}
			s.submit("glass", "last", lasting(2, 8000, 1000))
			s.run(time.Second)
			assert.Equal(t, s.running("last"), 0)
			w.mute = false
			s.run(lostWindow)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against ordinary tasks that wait for as long as the workers of their pool lack capacity, beside spare instances.
func TestPoolGrowsWhenItsWorkersShrink(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass", "spare")
	workers := s.addWorkers("glass", 2)
	s.addWorkers("spare", 2)
	s.run(time.Second)
	for _, w := range workers {
		w.resize(&workloadpb.Resources{Cpu: 1000, MemoryMib: 65536})
	}
	s.run(2 * time.Second)
	s.submit("glass", "job", step(2, 2000, 1000, 1000))
	s.run(10 * time.Second)
	assert.Equal(t, s.jobState("glass", "job"), "completed")
}
