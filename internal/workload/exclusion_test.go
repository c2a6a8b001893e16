package workload_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// longRunningStep returns a step with one long-running task.
func longRunningStep(cpu int64) *workloadpb.Step {
	st := step(1, cpu, 1000, 0)
	st.Lasting = true
	return st
}

// Guards against a worker that stays without runs after it listed a run that is not assigned to it.
func TestWorkerIsUsedAfterUnassignedRunHasEnded(t *testing.T) {
	for _, tt := range []struct {
		name      string
		lostStops int // the first stops are lost
	}{{"stopped", 0}, {"stop-is-lost", 2}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			w := s.addWorkers("glass", 1)[0]
			s.submit("glass", "last", longRunningStep(1000))
			s.run(time.Second)
			assert.Equal(t, s.running("last"), 1)
			stops := 0
			s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
				if _, ok := a.(workload.StopRun); ok {
					stops++
					return workload.NoAnswer, stops <= tt.lostStops
				}
				return 0, false
			}
			// A late heartbeat of an earlier worker at the address ends the incarnation, and its next heartbeat begins
			// another one.
			earlier := proto.CloneOf(w.m)
			earlier.Id = "w-earlier"
			s.call(&workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{Worker: earlier}}})
			s.report(w)
			s.run(4 * time.Second)
			assert.Equal(t, len(s.starts("last")), 2, "stops: %d", stops)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against a worker that stays without runs after maintenance that was carried out under an earlier leader, if no
// heartbeat arrives near the time at which the maintenance would have ended.
func TestWorkerIsUsedAfterRepeatedMaintenance(t *testing.T) {
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
			s.run(7 * time.Second)
			assert.Assert(t, ledger.WaveCompleted(s.e.State().Wave(1)))
			s.submit("glass", "last", longRunningStep(1000))
			s.run(3 * time.Second)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against maintenance whose answer is ignored, so that its end and that of the incarnation are not recorded,
// because a list lacked the instance while the request was in flight.
func TestListWithoutInstanceKeepsRequestedMaintenance(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	w := s.addWorkers("glass", 1)[0]
	s.run(4 * time.Second)
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		if _, ok := a.(workload.MaintainInstance); ok {
			s.k.Observe(s.now, workload.ListInstancesResult{Outcome: workload.Accepted, SentAt: s.now})
		}
		return 0, false
	}
	wave := &workloadpb.Wave{Number: 1, Instances: []string{"m-glass-0"}, DurationMs: 20000, Cap: 1}
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: wave}})
	for !w.dead {
		s.run(simStep)
	}
	s.submit("glass", "a", step(1, 1000, 1000, 300))
	s.run(5 * time.Second)
	assert.DeepEqual(t, s.e.State().Wave(1).Begun, wave.Instances)
	assert.Assert(t, s.e.State().WorkerByID(w.m.Id) == nil)
	assert.Equal(t, s.jobState("glass", "a"), "completed")
	for _, o := range s.starts("a") {
		assert.Assert(t, o.ID != w.m.Id)
	}
}

// Guards against a worker that stays without runs because a list lacked its instance while maintenance was due.
func TestWorkerIsUsedAfterListLackedInstance(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass", "plates")
	w := s.addWorkers("glass", 1)[0]
	s.run(3 * time.Second)
	s.submit("glass", "a", step(1, 1000, 1000, 3000))
	s.run(200 * time.Millisecond)
	row := s.instances["m-glass-0"]
	// A list is read when a worker joins on an instance that is not listed yet.
	s.addWorkers("plates", 2)
	delete(s.instances, "m-glass-0")
	wave := &workloadpb.Wave{Number: 1, Instances: []string{"m-glass-0"}, DurationMs: 20000, Cap: 1}
	s.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: wave}})
	s.run(time.Second)
	s.instances["m-glass-0"] = row
	s.startWorker("m-plates-1")
	s.run(4 * time.Second)
	assert.Assert(t, !w.dead)
	s.submit("glass", "last", longRunningStep(1000))
	s.run(3 * time.Second)
	assert.Equal(t, s.running("last"), 1)
}

// advise answers requests for advice in place of the adviser of the simulation. Tickets differ in each answer.
func (s *sim) advise(validity time.Duration, allows func(job, worker string) bool) {
	s.intercept = func(a kernel.Action) bool {
		r, ok := a.(workload.RequestAdvice)
		if !ok {
			return false
		}
		assert.Assert(s.t, len(r.Workers) <= 100)
		done := workload.AdviceResult{
			Request: r, Outcome: workload.Accepted, Tickets: map[string]string{}, Validity: validity, SentAt: s.now,
		}
		for _, id := range r.Workers {
			if allows(r.Step.Job, id) {
				done.Tickets[id] = fmt.Sprintf("%s-%d", id, s.now.Milliseconds())
			}
		}
		s.schedule(20*simStep, func() { s.k.Observe(s.now, done) })
		return true
	}
}

func withAdvice(d *workloadpb.Document) {
	d.Queues[0].Advice = &workloadpb.Advice{DecideMs: 50, EachMs: 5, ValidityMs: 20000}
}

// Guards against a worker that is left out until the validity ends, because it joined after the request for advice.
func TestAdviceCoversLaterWorkers(t *testing.T) {
	s := newSim(t)
	s.configure(1, withAdvice, "glass")
	first := s.addWorkers("glass", 2)[0]
	first.draining = true
	s.report(first)
	s.run(time.Second)
	denied := sortedIDs(s.workers)
	s.advise(20*time.Second, func(_, id string) bool { return !slices.Contains(denied, id) })
	s.submit("glass", "last", longRunningStep(1000))
	s.run(time.Second)
	assert.Equal(t, s.running("last"), 0)
	first.dead = true
	s.startWorker("m-glass-0")
	s.run(3 * time.Second)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against workers that are left out because a request for advice always names the same ones.
func TestAdviceCoversAllWorkersInTurn(t *testing.T) {
	s := newSim(t)
	s.configure(1, withAdvice, "glass")
	ws := s.addWorkers("glass", 600)
	s.advise(time.Second, func(_, id string) bool { return id == ws[599].m.Id })
	s.submit("glass", "last", longRunningStep(1000))
	s.run(3 * time.Second)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against the start of a run with a ticket for an earlier incarnation of a worker.
func TestTicketsEndWithIncarnation(t *testing.T) {
	s := newSim(t)
	s.configure(1, withAdvice, "glass")
	w := s.addWorkers("glass", 1)[0]
	s.run(time.Second)
	s.advise(20*time.Second, func(string, string) bool { return true })
	s.submit("glass", "last", longRunningStep(1000))
	s.run(time.Second)
	assert.Equal(t, s.running("last"), 1)
	w.startedAt, w.runs, w.highestRun = s.now, map[string]*fakeRun{}, map[string]int32{}
	w.leaseExpiryMs, w.sequence, w.renewal = 0, 0, nil
	w.m.BornMs += s.now.Milliseconds()
	s.report(w)
	s.run(2 * time.Second)
	starts := s.starts("last")
	assert.Equal(t, len(starts), 2)
	assert.Assert(t, starts[0].Ticket != starts[1].Ticket)
}

// Guards against a task that waits until the validity ends, because a ticket that the worker rejected is used again.
func TestRejectedTicketIsReplaced(t *testing.T) {
	s := newSim(t)
	s.configure(1, withAdvice, "glass")
	s.addWorkers("glass", 1)
	s.run(time.Second)
	s.advise(20*time.Second, func(string, string) bool { return true })
	bad := ""
	s.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		if start, ok := a.(workload.StartRun); ok {
			bad = cmp.Or(bad, start.Ticket)
			return workload.BadTicket, start.Ticket == bad
		}
		return 0, false
	}
	s.submit("glass", "last", longRunningStep(1000))
	s.run(3 * time.Second)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against a long-running task that gets no advice, because requests for older jobs take all calls.
func TestAdviceForLongRunningTaskComesFirst(t *testing.T) {
	s := newSim(t)
	s.configure(1, withAdvice, "glass")
	s.addWorkers("glass", 2)
	s.run(time.Second)
	s.advise(2*time.Second, func(job, _ string) bool { return job == "last" })
	for i := range 300 {
		s.submit("glass", fmt.Sprintf("old-%03d", i), step(1, 1000, 1000, 300))
	}
	s.run(time.Second)
	s.submit("glass", "last", longRunningStep(1000))
	s.run(3 * time.Second)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against a task that waits for good because its queue needed advice when it was submitted, but not any more.
func TestTaskStartsAfterAdviceIsDropped(t *testing.T) {
	s := newSim(t)
	s.configure(1, withAdvice, "glass")
	s.addWorkers("glass", 1)
	s.run(time.Second)
	s.advise(time.Second, func(string, string) bool { return false })
	s.submit("glass", "last", longRunningStep(1000))
	s.run(time.Second)
	assert.Equal(t, s.running("last"), 0)
	s.configure(2, nil, "glass")
	s.run(3 * time.Second)
	assert.Equal(t, s.running("last"), 1)
}

// Guards against capacity that is reserved for a long-running task on a worker that the adviser doesn't allow, or only
// while a ticket is valid.
func TestLongRunningTaskReservesOnAllowedWorker(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		validity             time.Duration
		cpu                  int64
		shortestMs, spreadMs int // of the smaller tasks
	}{
		{"one-ticket", 20 * time.Second, 6000, 150, 7},
		{"several-tickets", time.Second, 15000, 500, 97},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, func(d *workloadpb.Document) {
				withAdvice(d)
				d.Queues = append(d.Queues, &workloadpb.Queue{
					Name: "free", Host: "h", Prefix: "/free/", Pool: "glass", MaxAttempts: 3, Stretch: 1.5, SloMs: 600, Public: true,
				})
			}, "glass")
			ws := s.addWorkers("glass", 2)
			s.run(time.Second)
			s.advise(tt.validity, func(_, id string) bool { return id == ws[0].m.Id })
			for i := range 400 {
				s.submit("free", fmt.Sprintf("small-%03d", i), step(1, 1000, 1000, int64(tt.shortestMs+tt.spreadMs*i)))
			}
			s.run(300 * time.Millisecond)
			s.submit("glass", "last", longRunningStep(tt.cpu))
			s.run(2500 * time.Millisecond)
			assert.Equal(t, s.running("last"), 1)
		})
	}
}
