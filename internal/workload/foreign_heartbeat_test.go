package workload_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against a heartbeat of another writer that ends a live worker or replaces what is known about it, so that its
// tasks start elsewhere beside the runs that go on there. The simulation fails if a task runs twice.
func TestForeignHeartbeatKeepsWorker(t *testing.T) {
	tests := []struct {
		name   string
		change func(m *workloadpb.Worker, now int64)
	}{
		{"unknown pool at the address", func(m *workloadpb.Worker, now int64) {
			m.Id, m.BornMs, m.Pool = "w-odd", now, "other"
		}},
		{"unknown pool without start at the address", func(m *workloadpb.Worker, _ int64) {
			m.Id, m.BornMs, m.Pool = "w-odd", 0, "other"
		}},
		{"unknown pool under the ID", func(m *workloadpb.Worker, now int64) { m.BornMs, m.Pool = now, "other" }},
		{"other pool of the incarnation", func(m *workloadpb.Worker, _ int64) { m.Pool = "q" }},
		{"other address of the incarnation", func(m *workloadpb.Worker, _ int64) { m.Address = "a-odd" }},
		{"other zone of the incarnation", func(m *workloadpb.Worker, _ int64) { m.Zone = "odd" }},
		{"other labels of the incarnation", func(m *workloadpb.Worker, _ int64) { m.Labels = []string{"odd"} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			workers := s.addWorkers("p", 4)
			s.configure(1, nil, "p", "q")
			s.run(2 * time.Second)
			s.submit("p", "j", step(4, 12000, 1000, 4000))
			s.run(time.Second)
			victim := workers[1]
			before := s.e.State().WorkerByID(victim.m.Id)
			m := proto.CloneOf(victim.m)
			tt.change(m, 1_000_000+s.now.Milliseconds())
			s.call(&workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{
				Worker: m, ClockMs: 5000, Sequence: victim.sequence + 1,
			}}})
			w := s.e.State().WorkerByID(victim.m.Id)
			assert.Assert(t, w == before && !w.HasEnded(), "the live worker was ended")
			assert.Equal(t, w.Pool(), victim.m.Pool)
			assert.Equal(t, w.Address(), victim.m.Address)
			assert.Equal(t, w.Zone(), victim.m.Zone)
			assert.DeepEqual(t, w.Labels(), victim.m.Labels)
			assert.Equal(t, len(s.e.State().Workers()), len(workers))
			s.run(6 * time.Second)
			assert.Equal(t, s.jobState("p", "j"), "completed")
			assert.Equal(t, len(s.e.State().Workers()), len(workers))
			for task, n := range s.done {
				assert.Equal(t, n, 1, "task %s was done %d times", task, n)
			}
		})
	}
}

// Guards against a pool that stays without workers because their heartbeats came before the configuration that names it.
func TestWorkerOfLaterPoolIsRegistered(t *testing.T) {
	s := newSim(t)
	s.addWorkers("p", 1)
	s.configure(1, nil, "p")
	s.addWorkers("q", 2)
	s.run(5 * time.Second)
	s.configure(2, nil, "p", "q")
	s.run(1500 * time.Millisecond)
	s.submit("q", "j", step(2, 12000, 1000, 1000))
	s.run(2 * time.Second)
	assert.Equal(t, s.jobState("q", "j"), "completed")
	// A worker is kept when its pool leaves the configuration, and its next heartbeats are those of a known worker.
	s.configure(3, nil, "p")
	s.run(5 * time.Second)
	assert.Equal(t, len(s.e.State().Workers()), 3)
}
