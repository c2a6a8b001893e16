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

// Guards against a task that runs again after it was done, because its end is lost with the worker that just listed it.
func TestMaintenanceBeginsAfterRunsHaveEnded(t *testing.T) {
	for _, tt := range []struct {
		name       string
		estimateMs int64
	}{{"ends-by-itself", 800}, {"stopped", 20000}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			s.run(time.Second)
			s.submit("glass", "ordinary", step(4, 1000, 1000, tt.estimateMs))
			s.run(500 * time.Millisecond)
			assert.Equal(t, s.running("ordinary"), 4)
			begun := false
			s.intercept = func(a kernel.Action) bool {
				if _, ok := a.(workload.MaintainInstance); ok {
					assert.Equal(t, len(w.runs), 0)
					begun = true
				}
				return false
			}
			s.startWave(1, 1, "m-glass-0")
			s.run(3 * time.Second)
			assert.Assert(t, begun, "maintenance has not begun")
		})
	}
}

// Guards against a task that waits beside an idle worker, because maintenance that an earlier leader requested is
// requested again, and the platform accepts that without doing anything.
func TestTaskRunsSoonAfterRepeatedMaintenance(t *testing.T) {
	for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 1)
			s.run(3*time.Second + phase)
			s.lastWave["m-glass-0"] = 1
			s.startWave(1, 1, "m-glass-0")
			s.announceMaintenance(1, "m-glass-0")
			s.startTerm()
			for !s.waveCompleted(1) {
				s.run(simStep)
			}
			s.submit("glass", "last", longRunningStep(1000))
			s.run(500 * time.Millisecond)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against runs on a worker that maintenance ended, because a request of an earlier leader, which may have been
// carried out before, was not.
func TestWorkerThatRepeatedRequestEndsGetsNoRuns(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	s.run(3 * time.Second)
	s.startWave(1, 1, "m-glass-0")
	s.announceMaintenance(1, "m-glass-0")
	s.startTerm()
	for !s.waveCompleted(1) {
		s.run(simStep)
	}
	assert.Assert(t, w.dead)
	s.submit("glass", "last", longRunningStep(1000))
	s.run(4 * time.Second)
	assert.Equal(t, s.running("last"), 1)
	starts := s.starts("last")
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].ID != w.m.Id)
}

// announceMaintenance records in the log that the leader requests the maintenance of an instance.
func (s *sim) announceMaintenance(wave int64, instance string) {
	s.t.Helper()
	s.call(&workloadpb.Command{Term: s.term, SteadyMs: s.now.Milliseconds(), Change: &workloadpb.Command_Order{
		Order: &workloadpb.Order{Instances: []string{instance}, Wave: wave},
	}})
}

// failedOperations are the outcomes of an operation on an instance that the platform doesn't carry out.
var failedOperations = []workload.Outcome{
	workload.Unreachable, workload.Withheld, workload.Fenced, workload.Busy, workload.NoAnswer,
}

// Guards against idle workers that are reserved for a move which the platform doesn't carry out, while tasks wait.
func TestTaskRunsOnWorkerThatMovesInVain(t *testing.T) {
	for _, o := range failedOperations {
		t.Run(o.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass", "spare")
			s.addWorkers("glass", 2)
			failed := 0
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				_, ok := a.(workload.MoveInstance)
				if ok {
					failed++
				}
				return o, ok
			}
			s.run(4 * time.Second)
			assert.Assert(t, failed > 0)
			s.submit("glass", "last", lastingStep(2, 1, 0))
			longest, least := s.longestWait("last", 2, 20*time.Second)
			assert.Assert(t, longest < maxWait, "a task waited for %v, %d ran", longest, least)
		})
	}
}

// Guards against long-running tasks that maintenance ends which is carried out late, and against more instances under
// maintenance than the wave allows.
func TestLateMaintenanceEndsNoTask(t *testing.T) {
	for after := 500 * time.Millisecond; after <= 3*time.Second; after += 500 * time.Millisecond {
		for request := 1; request <= 4; request++ {
			t.Run(fmt.Sprintf("%v/request-%d", after, request), func(t *testing.T) {
				s := newSim(t)
				s.configure(1, nil, "glass")
				s.addWorkers("glass", 3)
				s.run(time.Second)
				maintain := func(m workload.MaintainInstance) {
					if s.lastWave[m.Instance] == m.Wave {
						return
					}
					for name, row := range s.instances {
						assert.Assert(t, row.Up, "%s is out of service", name)
					}
					assert.Equal(t, len(s.workers[s.instances[m.Instance].Worker].runs), 0)
					s.maintain(m)
				}
				requests := 0
				s.intercept = func(a kernel.Action) bool {
					m, ok := a.(workload.MaintainInstance)
					if !ok {
						return false
					}
					requests++
					if s.now >= 12*time.Second {
						maintain(m)
						s.schedule(simStep, func() { s.fail(m, workload.Accepted, s.now) })
						return true
					}
					if requests == request {
						s.scheduleLasting(after, func() { maintain(m) })
					}
					s.schedule(simStep, func() { s.fail(m, workload.NoAnswer, s.now) })
					return true
				}
				s.startWave(1, 1, "m-glass-0", "m-glass-1")
				s.run(200 * time.Millisecond)
				s.submit("glass", "last", lastingStep(3, 1, 0))
				longest, least := s.longestWait("last", 3, 30*time.Second)
				assert.Assert(t, requests > request)
				assert.Assert(t, longest < maxWait, "a task waited for %v, %d ran", longest, least)
			})
		}
	}
}

// Guards against an instance that is maintained again, and a wave that isn't completed, because the log rejected the
// record of the platform's answer.
func TestRejectedRecordOfMaintenanceIsRepeated(t *testing.T) {
	for _, tt := range []struct {
		name   string
		answer workload.Outcome
	}{{"begun", workload.Accepted}, {"gone", workload.NotFound}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 1)
			s.run(time.Second)
			requests, rejected := 0, 0
			s.intercept = func(a kernel.Action) bool {
				m, ok := a.(workload.MaintainInstance)
				if ok {
					requests++
					if tt.answer == workload.Accepted {
						s.maintain(m)
					}
					s.schedule(simStep, func() { s.fail(m, tt.answer, s.now) })
				}
				return ok
			}
			s.rejectCommand = func(m *workloadpb.Command) bool {
				if m.GetMaintained() != nil {
					rejected++
				}
				return m.GetMaintained() != nil && rejected <= 3
			}
			s.startWave(1, 1, "m-glass-0")
			s.run(5 * time.Second)
			assert.Assert(t, s.waveCompleted(1))
			assert.Equal(t, requests, 1)
		})
	}
}

// Guards against an ordinary job that waits beside idle workers, because all of them are reserved for maintenance that the
// platform doesn't carry out.
func TestOrdinaryTaskRunsOnWorkerReservedInVain(t *testing.T) {
	for _, o := range failedOperations {
		t.Run(o.String(), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 2)
			s.run(time.Second)
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				_, ok := a.(workload.MaintainInstance)
				return o, ok
			}
			s.startWave(1, 2, "m-glass-0", "m-glass-1")
			s.run(time.Second)
			s.submit("glass", "ordinary", step(1, 2000, 1000, 500))
			s.run(maxWait)
			assert.Equal(t, s.jobState("glass", "ordinary"), "completed")
		})
	}
}

// Guards against runs that are stopped again and again for maintenance that the platform is too busy for.
func TestMaintenanceThatIsRejectedStopsRunsOnce(t *testing.T) {
	for _, instances := range [][]string{{"m-glass-0"}, {"m-glass-0", "m-glass-1", "m-glass-2"}} {
		t.Run(fmt.Sprint(len(instances)), func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.addWorkers("glass", 3)
			s.run(2 * time.Second)
			requests := 0
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				_, ok := a.(workload.MaintainInstance)
				if ok {
					requests++
				}
				return workload.Busy, ok
			}
			s.submit("glass", "ordinary", step(48, 1500, 1000, 20000))
			s.run(time.Second)
			runs := len(s.workers[s.instances["m-glass-0"].Worker].runs)
			s.requests = nil
			s.startWave(1, 1, instances...)
			s.run(10 * time.Second)
			stops := 0
			for _, a := range s.requests {
				if _, ok := a.(workload.StopRun); ok {
					stops++
				}
			}
			assert.Assert(t, requests > 1)
			assert.Assert(t, stops <= runs, "%d stops for %d requests; a worker has %d runs", stops, requests, runs)
		})
	}
}

// Guards against runs that maintenance ends, because a request that got no answer before makes it pass for a repeated one.
func TestMaintenanceAfterUnansweredRequestsEndsNoRuns(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", 2)
	s.run(2 * time.Second)
	answers, begun := false, false
	s.intercept = func(a kernel.Action) bool {
		m, ok := a.(workload.MaintainInstance)
		if !ok {
			return false
		}
		if !answers {
			s.schedule(simStep, func() { s.fail(m, workload.NoAnswer, s.now) })
			return true
		}
		begun = true
		assert.Equal(t, len(s.workers[s.instances[m.Instance].Worker].runs), 0)
		return false
	}
	s.startWave(1, 1, "m-glass-0")
	s.run(300 * time.Millisecond)
	s.submit("glass", "last", lastingStep(2, 1, 0))
	s.run(time.Second)
	s.submit("glass", "ordinary", step(16, 1500, 1000, 60000))
	s.run(maxWait)
	answers = true
	s.run(20 * time.Second)
	assert.Assert(t, begun, "maintenance has not begun")
}
