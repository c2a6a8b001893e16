package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against capacity that is reserved for a long-running task that can't start, and kept from one that can.
func TestReservationLeavesRoomToLongRunningTasksThatFit(t *testing.T) {
	gang := lasting(3, 6000, 1000)
	gang.Gang = true
	bestEffort := lasting(1, 2000, 1000)
	bestEffort.Fills = true
	for _, tt := range []struct {
		name           string
		waiting, other *workloadpb.Step
	}{
		{"tasks", lasting(2, 12000, 1000), lasting(1, 2000, 1000)},
		{"gang", gang, lasting(1, 4000, 1000)},
		{"memory", lasting(2, 1000, 62000), bestEffort},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			for _, w := range s.addWorkers("glass", 2) {
				w.stuck = true
			}
			ordinary := step(2, 8000, 4000, 1000)
			ordinary.MaxPerWorker = 1
			s.submit("glass", "ordinary", ordinary)
			s.run(lostWindow)
			s.submit("glass", "waiting", tt.waiting)
			s.run(lostWindow)
			assert.Equal(t, s.running("waiting"), 0)
			s.submit("glass", "other", tt.other)
			s.run(lostWindow)
			assert.Equal(t, s.running("other"), 1)
		})
	}
}

// Guards against long-running tasks that take the capacity reserved for an older one although another worker has room.
func TestReservedCapacityIsTakenLast(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	ordinary := step(2, 8000, 4000, 5000)
	ordinary.MaxPerWorker = 1
	s.submit("glass", "ordinary", ordinary)
	s.run(time.Second)
	s.submit("glass", "waiting", lasting(1, 12000, 1000))
	s.run(time.Second)
	s.submit("glass", "other", lasting(4, 2000, 1000))
	s.run(time.Second)
	assert.Equal(t, s.running("waiting"), 0)
	assert.Equal(t, s.running("other"), 4)
	s.run(lostWindow)
	assert.Equal(t, s.running("waiting"), 1)
}

// Guards against capacity that is reserved for a long-running task that can't start, and kept from ordinary tasks although
// most of the pool is free.
func TestReservationLeavesRoomToOrdinaryTasks(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	for _, w := range s.addWorkers("glass", 2) {
		w.stuck = true
	}
	stuck := step(2, 7000, 4000, 1000)
	stuck.MaxPerWorker = 1
	s.submit("glass", "stuck", stuck)
	s.run(lostWindow)
	s.submit("glass", "waiting", lasting(2, 12000, 1000))
	s.run(lostWindow)
	assert.Equal(t, s.running("waiting"), 0)
	s.submit("glass", "other", step(1, 2000, 1000, 1000))
	s.run(lostWindow)
	assert.Equal(t, s.running("other"), 1)
}

// Guards against a long-running task that never starts, because ordinary tasks of a pool that is half empty take the
// capacity that it waits for one after the other.
func TestOrdinaryTasksLeaveReservedCapacityInHalfEmptyPool(t *testing.T) {
	for _, workers := range []int32{1, 2} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", int(workers))
			for i := range 30 {
				ordinary := step(workers, 3000, 1000, 1500)
				ordinary.MaxPerWorker = 1
				s.submit("glass", fmt.Sprintf("ordinary%d", i), ordinary)
				if i == 4 {
					s.submit("glass", "last", lasting(1, 14000, 1000))
				}
				s.run(time.Second)
			}
			assert.Equal(t, s.running("last"), 1)
		})
	}
}
