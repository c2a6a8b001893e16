package workload_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// rejectLeaseBounds makes the leader one of an earlier version, which records no bound of its leases.
func rejectLeaseBounds(m *workloadpb.Command) bool { return m.GetLeaseBound() != nil }

// newUpgradeSim returns a simulation in which a leader of an earlier version has started a long-running task. If it is
// returnedTo, a leader of this version was before it.
func newUpgradeSim(t *testing.T, returnedTo bool) (s *sim, workers []*fakeWorker) {
	t.Helper()
	s = newSim(t)
	s.setMaxLease(10 * time.Second)
	s.configure(1, nil, "glass")
	if returnedTo {
		s.run(time.Second)
		assert.Equal(t, s.e.State().LeaseBound(s.term), int64(4800))
		s.startTerm()
	}
	s.rejectCommand = rejectLeaseBounds
	workers = s.addWorkers("glass", 2)
	longRunning := step(1, 4000, 1000, 0)
	longRunning.Lasting = true
	s.submit("glass", "last", longRunning)
	s.run(4 * time.Second)
	assert.Equal(t, s.running("last"), 1)
	return s, workers
}

// Guards against a new leader that gives runs up while a lease that an earlier version granted still lasts.
func TestUpgradeKeepsRunsOfUnreachableWorker(t *testing.T) {
	for _, tt := range []struct {
		name       string
		returnedTo bool
		// elections are the times between changes of leader after the upgrade.
		elections []time.Duration
	}{
		{"one leader", false, nil},
		{"two leaders", false, []time.Duration{500 * time.Millisecond}},
		{"three leaders", false, []time.Duration{500 * time.Millisecond, 2 * time.Second}},
		{"return to earlier version", true, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, workers := newUpgradeSim(t, tt.returnedTo)
			for _, w := range workers {
				if len(w.runs) > 0 {
					// The leases of the earlier version were 0.8 of the longest one.
					w.leaseExpiryMs = w.clockMs() + 8000
					w.unreachable = true
				}
			}
			s.run(100 * time.Millisecond)
			s.rejectCommand = nil
			s.startTerm()
			for _, d := range tt.elections {
				s.run(d)
				s.startTerm()
			}
			s.run(15 * time.Second)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against a new leader that gives runs up while a deposed leader of an earlier version still grants leases, as it
// does for 2 s.
func TestUpgradeKeepsRunsWhileEarlierVersionStillGrantsLeases(t *testing.T) {
	const confirmationAge = 2 * time.Second
	for _, recordsBound := range []bool{false, true} {
		for gap := time.Duration(0); gap <= 3*time.Second; gap += 100 * time.Millisecond {
			t.Run(fmt.Sprintf("records bound %v, next leader after %v", recordsBound, gap), func(t *testing.T) {
				s, w := newSuspendedSim(t)
				w.clockGain = -20
				assert.Equal(t, s.e.State().FullLeaseAge(s.term), workload.FullLeaseAge.Milliseconds())
				// Without a record, the leader of the earlier version is deposed before its first command is committed.
				s.rejectCommand = func(*workloadpb.Command) bool { return !recordsBound }
				s.startTerm()
				if recordsBound {
					s.rejectCommand = rejectLeaseBounds
					s.run(simStep)
					s.call(&workloadpb.Command{Term: s.term, SteadyMs: s.now.Milliseconds(), Change: &workloadpb.Command_LeaseBound{
						LeaseBound: &workloadpb.LeaseBound{LeaseMs: workload.MaxGrantedLease.Milliseconds()},
					}})
				}
				s.run(200 * time.Millisecond)
				s.rejectCommand, w.unreachable = nil, true
				s.startTerm()
				changedAt := s.now
				for s.now < changedAt+20*time.Second {
					if s.now == changedAt+gap && gap > 0 {
						s.startTerm()
					}
					if s.now < changedAt+confirmationAge {
						w.leaseExpiryMs = max(w.leaseExpiryMs, w.clockMs()+workload.MaxGrantedLease.Milliseconds())
					}
					s.run(simStep)
				}
				assert.Equal(t, s.running("last"), 1)
				assert.Equal(t, len(w.runs), 0)
				assert.Equal(t, s.e.State().FullLeaseAge(s.term), workload.FullLeaseAge.Milliseconds())
			})
		}
	}
}

// Guards against long-running tasks that wait for the longest lease that workers accept, long after an upgrade.
func TestTasksOfLostWorkersRestartInTimeAfterUpgrade(t *testing.T) {
	s, workers := newUpgradeSim(t, false)
	s.rejectCommand = nil
	s.startTerm()
	s.run(15 * time.Second)
	for _, w := range workers {
		w.dead = len(w.runs) > 0
	}
	assert.Equal(t, s.running("last"), 0)
	s.run(2 * time.Second)
	s.startTerm()
	s.run(maxRestartTimeAfterElection)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against a bound of leases that is lost because the replicated log rejected it once.
func TestRejectedLeaseBoundIsRepeated(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	rejected := 0
	s.rejectCommand = func(m *workloadpb.Command) bool {
		if m.GetLeaseBound() == nil || rejected > 0 {
			return false
		}
		rejected++
		return true
	}
	s.run(time.Second)
	assert.Equal(t, rejected, 1)
	assert.Equal(t, s.e.State().LeaseBound(s.term), int64(0))
	s.run(4 * time.Second)
	assert.Equal(t, s.e.State().LeaseBound(s.term), int64(4800))
}

// Guards against a replica that stops at a command of a later version.
func TestUnknownCommandChangesNothing(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.run(time.Second)
	before, err := s.e.State().Snapshot()
	assert.NilError(t, err)
	body := protowire.AppendTag(nil, 19, protowire.BytesType)
	body = protowire.AppendBytes(body, []byte{8, 1})
	s.apply(kernel.Command{Plugin: workload.Name, Body: body})
	assert.Equal(t, len(s.k.Halted()), 0)
	after, err := s.e.State().Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, before, after)
}

// Guards against a suspension that an earlier version ended without a record, and that the leader after the next one
// takes for valid.
func TestSuspensionBeforeReturnToEarlierVersionKeepsNoMeaning(t *testing.T) {
	for _, reachable := range []bool{false, true} {
		for _, rejections := range []int{0, 1} {
			for gap := 100 * time.Millisecond; gap < 5*time.Second; gap += 100 * time.Millisecond {
				t.Run(fmt.Sprintf("reachable %v, %d rejections, %v", reachable, rejections, gap), func(t *testing.T) {
					s, w := newSuspendedSim(t)
					suspend(t, s, w)
					// The leader of the earlier version ignores suspensions, and its leases were 0.8 of the longest one.
					s.rejectCommand = func(m *workloadpb.Command) bool {
						return m.GetLeaseSuspension() != nil || m.GetLeaseBound() != nil
					}
					s.startTerm()
					w.unreachable = false
					for range 100 {
						w.leaseExpiryMs = w.clockMs() + 8000
						s.run(100 * time.Millisecond)
					}
					assert.Assert(t, s.e.State().WorkerByID(w.m.Id).LeasesEndMs() > 0)
					w.unreachable = !reachable
					rejected := 0
					s.rejectCommand = func(m *workloadpb.Command) bool {
						if m.GetLeaseSuspension() == nil || rejected == rejections {
							return false
						}
						rejected++
						return true
					}
					s.startTerm()
					s.run(gap)
					w.unreachable = true
					s.startTerm()
					s.run(20 * time.Second)
					assert.Equal(t, s.running("last"), 1)
				})
			}
		}
	}
}
