package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

// newDeafSim returns a simulation with three long-running tasks on eight workers, of which n, first those that run the
// tasks, go on sending heartbeats but answer no requests.
func newDeafSim(t *testing.T, n int, before time.Duration) (s *sim, deaf []*fakeWorker) {
	t.Helper()
	s = newSim(t)
	s.setMaxLease(10 * time.Second)
	s.configure(1, nil, "glass")
	workers := s.addWorkers("glass", 8)
	longRunning := step(3, 4000, 1000, 0)
	longRunning.Lasting = true
	s.submit("glass", "last", longRunning)
	s.run(before)
	for _, busy := range []bool{true, false} {
		for _, w := range workers {
			if len(w.runs) > 0 == busy && len(deaf) < n {
				w.deaf = true
				deaf = append(deaf, w)
			}
		}
	}
	return s, deaf
}

// runningOnSound counts the runs of a job on workers that answer.
func (s *sim) runningOnSound(job string) int {
	n := s.running(job)
	for _, w := range s.workers {
		if w.deaf {
			n -= len(w.runs)
		}
	}
	return n
}

// Guards against tasks that move from one worker that answers no requests to the next, because each sends heartbeats.
func TestTasksOfDeafWorkersRestartInTime(t *testing.T) {
	for _, n := range []int{1, 2, 4, 7} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			longest := time.Duration(0)
			for before := 4 * time.Second; before < 5500*time.Millisecond; before += 100 * time.Millisecond {
				s, _ := newDeafSim(t, n, before)
				deafAt := s.now
				for s.now < deafAt+70*time.Second && s.runningOnSound("last") < 3 {
					s.run(simStep)
				}
				longest = max(longest, s.now-deafAt)
			}
			t.Logf("with %d of 8 workers deaf, all tasks run on others after %v at most", n, longest)
			assert.Assert(t, longest <= maxRestartTime, "with %d deaf workers: %v", n, longest)
		})
	}
}

// Guards against a worker that gets no runs though it answers requests again.
func TestWorkerThatAnswersAgainGetsRuns(t *testing.T) {
	for deafFor := 10 * time.Second; deafFor < 13*time.Second; deafFor += 100 * time.Millisecond {
		t.Run(deafFor.String(), func(t *testing.T) {
			s, deaf := newDeafSim(t, 8, 4*time.Second)
			s.run(deafFor)
			assert.Equal(t, s.running("last"), 0)
			for _, w := range deaf {
				w.deaf = false
			}
			s.run(3 * time.Second)
			assert.Equal(t, s.running("last"), 3)
		})
	}
}

// Guards against requests at a high rate to idle workers that don't answer.
func TestIdleWorkersWithoutAnswerAreAskedSeldom(t *testing.T) {
	for _, tt := range []struct {
		name     string
		dead     bool
		requests int // per worker, in 30 s
	}{
		{"heartbeats", false, 30*1000/1500 + 1},
		{"dead", true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, deaf := newDeafSim(t, 7, 4*time.Second)
			for _, w := range deaf {
				w.dead = tt.dead
			}
			s.run(15 * time.Second)
			s.requests = nil
			s.run(30 * time.Second)
			asked := map[string]int{}
			for _, a := range s.requests {
				if h, ok := a.(workload.RenewLease); ok {
					asked[h.ID]++
				}
			}
			for _, w := range deaf {
				assert.Assert(t, asked[w.m.Id] <= tt.requests, "%s was asked %d times", w.m.Id, asked[w.m.Id])
			}
		})
	}
}

// Guards against tasks that are assigned to an idle worker which has failed a request and sent a heartbeat since.
func TestHeartbeatDoesntProveThatRequestsArrive(t *testing.T) {
	s, deaf := newDeafSim(t, 7, 4*time.Second)
	s.run(10 * time.Second)
	assert.Equal(t, s.runningOnSound("last"), 3)
	s.requests = nil
	s.submit("glass", "short", step(20, 4000, 1000, 300))
	s.run(12 * time.Second)
	assert.Equal(t, s.jobState("glass", "short"), "completed")
	for _, a := range s.requests {
		st, ok := a.(workload.StartRun)
		assert.Assert(t, !ok || !s.workers[st.ID].deaf, "start on %s, one of %d deaf workers", st.ID, len(deaf))
	}
}
