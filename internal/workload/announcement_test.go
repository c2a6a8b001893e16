package workload_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// runUntilRejected advances the virtual time until an announcement of an operation was rejected, at most d.
func (s *sim) runUntilRejected(d time.Duration) {
	s.t.Helper()
	rejected := 0
	for end := s.now + d; s.now < end && rejected == 0; s.run(simStep) {
		dec := s.k.Decide(s.now)
		for _, c := range dec.Commands {
			m := &workloadpb.Command{}
			assert.NilError(s.t, proto.Unmarshal(c.Body, m))
			if _, ok := m.Change.(*workloadpb.Command_Order); ok {
				rejected++
				continue
			}
			s.apply(c)
		}
		for _, a := range dec.Actions {
			s.execute(a)
		}
	}
	assert.Equal(s.t, rejected, 1)
}

// beginWave accepts a maintenance wave of one instance.
func (s *sim) beginWave(instance string) {
	s.t.Helper()
	wave := &workloadpb.Wave{Number: 1, Instances: []string{instance}, DurationMs: 20000, Cap: 1}
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: wave}})
}

// announce applies the announcement of the maintenance of an instance in wave 1.
func (s *sim) announce(instance string) {
	s.t.Helper()
	s.call(&workloadpb.Command{Term: s.term, SteadyMs: s.now.Milliseconds(), Change: &workloadpb.Command_Order{
		Order: &workloadpb.Order{Instances: []string{instance}, Wave: 1},
	}})
}

// countMaintenance returns the number of requests for the maintenance of instances.
func (s *sim) countMaintenance() int {
	n := 0
	for _, a := range s.requests {
		if _, ok := a.(workload.MaintainInstance); ok {
			n++
		}
	}
	return n
}

// Guards against a worker that stays reserved, and a wave that doesn't end, because the announcement of maintenance was
// rejected, as the replicated log does while it is full or during a transfer of leadership.
func TestRejectedAnnouncementOfOperationIsRepeated(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	s.run(4 * time.Second)
	s.beginWave("m-glass-0")
	s.runUntilRejected(time.Second)
	s.submit("glass", "last", longRunningStep(1000))
	s.run(15 * time.Second)
	assert.Check(t, ledger.WaveCompleted(s.e.State().Wave(1)), "the wave doesn't end")
	assert.Check(t, s.running("last") == 1, "the task doesn't run")
}

// Guards against an instance that is lost to its pool because the announcement of its move was rejected.
func TestRejectedAnnouncementOfMoveIsRepeated(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass", "spare")
	s.addWorkers("glass", 1)
	s.addWorkers("spare", 1)
	s.run(4 * time.Second)
	s.submit("glass", "last", step(2, 12000, 1000, 60_000))
	s.runUntilRejected(time.Second)
	s.run(8 * time.Second)
	assert.Equal(t, s.moves, 1)
	assert.Equal(t, s.running("last"), 2)
}

// Guards against a second request for an operation whose announcement was slow and is therefore applied twice.
func TestAnnouncementAppliedTwiceSendsOneRequest(t *testing.T) {
	for _, tt := range []struct {
		name string
		// after is the time from the request to the second application of its announcement.
		after   time.Duration
		outcome workload.Outcome
	}{
		{"in-flight", 0, workload.Accepted},
		{"away", 300 * time.Millisecond, workload.Accepted},
		{"returned", 4 * time.Second, workload.Accepted},
		{"no-answer", 300 * time.Millisecond, workload.NoAnswer},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 1)
			s.run(4 * time.Second)
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				_, ok := a.(workload.MaintainInstance)
				return tt.outcome, ok && tt.outcome != workload.Accepted
			}
			s.beginWave("m-glass-0")
			for end := s.now + time.Second; s.now < end && s.countMaintenance() == 0; {
				s.run(simStep)
			}
			assert.Equal(t, s.countMaintenance(), 1)
			s.run(tt.after)
			s.announce("m-glass-0")
			s.run(10 * simStep)
			assert.Equal(t, s.countMaintenance(), 1)
		})
	}
}

// Guards against a second request for an operation that was announced again because the log was slow.
func TestSlowAnnouncementSendsOneRequest(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	s.run(4 * time.Second)
	s.beginWave("m-glass-0")
	w.mute = true // The simulation commits all that was proposed before a heartbeat.
	announced := 0
	s.commitDelay = func() time.Duration {
		announced++
		return 4 * time.Second
	}
	s.run(3500 * time.Millisecond)
	assert.Equal(t, announced, 2)
	assert.Equal(t, s.countMaintenance(), 0)
	s.run(4 * time.Second)
	assert.Equal(t, s.countMaintenance(), 1)
	s.commitDelay = nil
	s.run(8 * time.Second)
	assert.Equal(t, s.countMaintenance(), 1)
	assert.Assert(t, ledger.WaveCompleted(s.e.State().Wave(1)))
}

// Guards against maintenance that interrupts runs because its announcement is applied after it was held up.
func TestLateAnnouncementOfHeldUpMaintenanceSendsNoRequest(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	s.run(4 * time.Second)
	s.beginWave("m-glass-0")
	s.runUntilRejected(time.Second)
	s.submit("glass", "last", longRunningStep(1000))
	s.run(4 * time.Second)
	assert.Equal(t, s.running("last"), 1, "the maintenance is not held up")
	s.announce("m-glass-0")
	s.run(time.Second)
	assert.Equal(t, s.countMaintenance(), 0)
	assert.Equal(t, s.running("last"), 1)
}
