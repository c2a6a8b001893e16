package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// starts returns the start requests of a job.
func (s *sim) starts(job string) []workload.StartRun {
	var list []workload.StartRun
	for _, a := range s.requests {
		if st, ok := a.(workload.StartRun); ok && st.Name.Job == job {
			list = append(list, st)
		}
	}
	return list
}

// Guards against tasks on workers where they may not run, or away from their data while there is free capacity near it.
func TestTaskPlacement(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(s *workloadpb.Step)
		check  func(t *testing.T, s *sim, on map[string]int)
	}{
		{"label", func(s *workloadpb.Step) { s.Label = "r1" }, func(t *testing.T, s *sim, on map[string]int) {
			for id, n := range on {
				assert.Equal(t, s.workers[id].m.Labels[1], "r1", "%d on %s", n, id)
			}
		}},
		{"no-such-label", func(s *workloadpb.Step) { s.Label = "r9" }, func(t *testing.T, _ *sim, on map[string]int) {
			assert.Equal(t, len(on), 0)
		}},
		{"data", func(s *workloadpb.Step) { s.DataRack = "r1" }, func(t *testing.T, s *sim, on map[string]int) {
			for id := range on {
				assert.Equal(t, s.workers[id].m.Labels[1], "r1")
			}
		}},
		{"apart", func(s *workloadpb.Step) { s.MaxPerWorker = 1 }, func(t *testing.T, _ *sim, on map[string]int) {
			assert.Equal(t, len(on), 6)
		}},
		{"one-rack", func(s *workloadpb.Step) { s.RackSensitive = true }, func(t *testing.T, s *sim, on map[string]int) {
			racks := map[string]bool{}
			for id := range on {
				racks[s.workers[id].m.Labels[1]] = true
			}
			assert.Equal(t, len(racks), 1)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 8) // four on a rack
			s.run(100 * time.Millisecond)
			st := step(6, 4000, 1000, 500)
			tt.change(st)
			s.submit("glass", "a", st)
			s.run(300 * time.Millisecond)
			on := map[string]int{}
			for _, o := range s.starts("a") {
				on[o.ID]++
			}
			tt.check(t, s, on)
		})
	}
}

// Guards against a part of a gang that starts without the others.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.submit("glass", "small", step(8, 1000, 1000, 2000))
	s.run(300 * time.Millisecond)
	gang := step(4, 7000, 1000, 500)
	gang.Gang = true
	s.submit("glass", "gang", gang)
	s.run(time.Second)
	assert.Equal(t, len(s.starts("gang")), 0)
	s.run(4 * time.Second)
	assert.Equal(t, len(s.starts("gang")), 4)
	assert.Equal(t, s.jobState("glass", "gang"), "completed")
}

// Guards against an occurrence that starts before its time, or not at all.
func TestScheduledJobRunsWhenDue(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 1)
	r := s.call(&workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: &workloadpb.Submit{
		Host: "h", Path: "/glass/a", Id: "a", Spec: "spec a", Steps: []*workloadpb.Step{step(2, 1000, 100, 100)},
		MaxRuns: 3, StartAtMs: 1_001_000, IntervalMs: 2000,
	}}})
	assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
	for _, tt := range []struct {
		at     time.Duration
		starts int
	}{
		{900 * time.Millisecond, 0}, {1500 * time.Millisecond, 2}, {2900 * time.Millisecond, 2},
		{3500 * time.Millisecond, 4}, {5500 * time.Millisecond, 6}, {9 * time.Second, 6},
	} {
		s.run(tt.at - s.now)
		assert.Equal(t, len(s.starts("a")), tt.starts, "at %v", tt.at)
	}
	assert.Equal(t, s.jobState("glass", "a"), "completed")
}

// Guards against a start without the ticket of the adviser.
func TestAdviceIsFollowed(t *testing.T) {
	s := newSim(t)
	s.configure(1, func(d *workloadpb.Document) {
		d.Queues[0].Advice = &workloadpb.Advice{DecideMs: 50, EachMs: 5, ValidityMs: 3000}
	}, "glass")
	ws := s.addWorkers("glass", 4)
	s.advisedWorker = ws[2].m.Id
	s.submit("glass", "a", step(9, 2000, 1000, 300))
	s.run(3 * time.Second)
	assert.Equal(t, s.jobState("glass", "a"), "completed")
	for _, o := range s.starts("a") {
		assert.Equal(t, o.ID, s.advisedWorker)
		assert.Equal(t, o.Ticket, "ticket-"+s.advisedWorker)
	}
}

// Guards against new runs for a draining worker, and against long-running tasks that end with it.
func TestDrainingWorkerIsEvacuated(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	ws := s.addWorkers("glass", 2)
	longRunning := step(2, 1000, 1000, 0)
	longRunning.Lasting = true
	s.submit("glass", "last", longRunning)
	s.run(time.Second)
	leaving := ws[0]
	if len(leaving.runs) == 0 {
		leaving = ws[1]
	}
	leaving.draining = true
	s.report(leaving)
	before := len(s.requests)
	s.submit("glass", "a", step(20, 1000, 1000, 300))
	s.run(3 * time.Second)
	assert.Equal(t, len(leaving.runs), 0)
	assert.Equal(t, s.running("last"), 2)
	for _, a := range s.requests[before:] {
		if st, ok := a.(workload.StartRun); ok {
			assert.Assert(t, st.ID != leaving.m.Id)
		}
	}
}
