package workload_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// restartSilently replaces a worker by a later incarnation with the same ID and address, which has sent no heartbeat yet.
func (s *sim) restartSilently(w *fakeWorker) *fakeWorker {
	w.dead = true
	m := proto.CloneOf(w.m)
	m.BornMs = 1_000_000 + s.now.Milliseconds()
	later := &fakeWorker{
		sim: s, startedAt: s.now, runs: map[string]*fakeRun{}, highestRun: map[string]int32{}, how: w.how, m: m, mute: true,
	}
	s.workers[m.Id] = later
	return later
}

// Guards against a task that is started elsewhere while a later incarnation of its worker, with the same ID, executes the
// start that was meant for the earlier one. The simulation fails if a task runs twice.
func TestStartAtLaterIncarnationRunsOnce(t *testing.T) {
	const jobTime = 2 * time.Second
	tests := []struct {
		name string
		// disturb is called when the job is submitted, just after the worker restarted.
		disturb func(s *sim, later *fakeWorker)
	}{
		{"late heartbeat", func(*sim, *fakeWorker) {}},
		{"lost answers", func(s *sim, later *fakeWorker) {
			s.intercept = func(a kernel.Action) bool {
				start, ok := a.(workload.StartRun)
				if !ok || start.ID != later.m.Id {
					return false
				}
				later.execute(start, s.sentAt)
				s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, s.now-time.Second) })
				return true
			}
		}},
		{"heartbeat overtakes the start", func(s *sim, later *fakeWorker) {
			s.requestDelay = func(kernel.Action) time.Duration { return 300 * time.Millisecond }
			s.schedule(150*time.Millisecond, func() { s.report(later) })
		}},
		{"heartbeat is recorded late", func(s *sim, later *fakeWorker) {
			s.commitDelay = func() time.Duration { return 200 * time.Millisecond }
			s.report(later)
		}},
		{"done before it can be stopped", func(s *sim, _ *fakeWorker) {
			until := s.now + jobTime + 500*time.Millisecond
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				_, ok := a.(workload.StopRun)
				return workload.NoAnswer, ok && s.now < until
			}
		}},
		{"done, and its record is rejected once", func(s *sim, later *fakeWorker) {
			until := s.now + jobTime + 500*time.Millisecond
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				_, ok := a.(workload.StopRun)
				return workload.NoAnswer, ok && s.now < until
			}
			rejected := false
			s.rejectCommand = func(m *workloadpb.Command) bool {
				reject := !rejected && m.GetEnds() != nil && s.e.State().Worker(m.GetEnds().Worker).ID() == later.m.Id
				rejected = rejected || reject
				return reject
			}
		}},
		{"another leader", func(s *sim, later *fakeWorker) {
			s.scheduleLasting(200*time.Millisecond, s.startTerm)
			s.scheduleLasting(220*time.Millisecond, func() { s.report(later) })
		}},
	}
	for i := range 2 * len(tests) {
		test, attributed := tests[i/2], i%2 == 0
		t.Run(fmt.Sprintf("%s, answers are attributed %v", test.name, attributed), func(t *testing.T) {
			s := newSim(t)
			s.attributesAnswers = attributed
			s.stopTime = 100 * time.Millisecond
			workers := s.addWorkers("p", 10)
			s.configure(1, nil, "p")
			s.run(2 * time.Second)
			later := s.restartSilently(workers[0])
			s.run(100 * time.Millisecond)
			s.submit("p", "j", step(9, 12000, 1000, jobTime.Milliseconds()))
			test.disturb(s, later)
			s.run(900 * time.Millisecond)
			later.mute = false
			s.run(8 * time.Second)
			assert.Equal(t, s.jobState("p", "j"), "completed")
			s.submit("p", "k", step(10, 12000, 1000, jobTime.Milliseconds()))
			s.run(5 * time.Second)
			assert.Equal(t, s.jobState("p", "k"), "completed", "the later incarnation takes runs")
		})
	}
}

// Guards against requests and proposals that are repeated once a round trip while the end of an incarnation, which another
// one at its address has shown, is not in the log yet.
func TestEndedIncarnationIsAskedOnce(t *testing.T) {
	tests := []struct {
		name string
		// request makes the leader send requests for runs.
		request func(s *sim)
		isFor   func(a kernel.Action) bool
	}{
		{"start", func(s *sim) { s.submit("p", "j", step(4, 4000, 1000, 1000)) }, func(a kernel.Action) bool {
			_, ok := a.(workload.StartRun)
			return ok
		}},
		{"stop", func(s *sim) { s.cancel("p", "long") }, func(a kernel.Action) bool {
			_, ok := a.(workload.StopRun)
			return ok
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t)
			w := s.addWorkers("p", 1)[0]
			s.configure(1, nil, "p")
			s.run(2 * time.Second)
			s.submit("p", "long", step(2, 1000, 1000, 20_000))
			s.run(200 * time.Millisecond)
			w.dead = true
			s.intercept = func(a kernel.Action) bool {
				_, ok := targetOf(a)
				if ok {
					sent := s.now
					s.schedule(simStep, func() { s.fail(a, workload.OtherIncarnation, sent) })
				}
				return ok
			}
			test.request(s)
			s.run(simStep)
			s.requests = nil
			ends := 0
			s.rejectCommand = func(m *workloadpb.Command) bool { // The log is slow.
				if m.GetLeave() != nil {
					ends++
				}
				return m.GetLeave() != nil
			}
			s.run(time.Second)
			sent := map[workload.RunName]int{}
			for _, a := range s.requests {
				if test.isFor(a) {
					sent[runNameOf(a)]++
				}
			}
			for n, count := range sent {
				assert.Assert(t, count <= 1, "%v was requested %d times", n, count)
			}
			assert.Assert(t, ends > 0 && ends <= 5, "the end was proposed %d times", ends)
		})
	}
}

func runNameOf(a kernel.Action) workload.RunName {
	switch a := a.(type) {
	case workload.StartRun:
		return a.Name
	case workload.StopRun:
		return a.Name
	}
	return workload.RunName{}
}
