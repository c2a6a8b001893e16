package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
)

const (
	// maxAdviceWorkers is how many workers a request for advice names at most.
	maxAdviceWorkers = 100
	// maxAdviceCalls bounds the requests in flight; the service rejects requests when too many wait.
	maxAdviceCalls = 8
	// adviceRetryDelay is the time before a request is repeated.
	adviceRetryDelay = 200 * time.Millisecond
	// adviceValidityReserve is the fraction of its validity that a ticket must have left when it is used.
	adviceValidityReserve = 0.2
)

// advice holds the tickets that the adviser issued.
type advice struct {
	steps map[*ledger.StepRun]*stepAdvice
	calls int
}

type stepAdvice struct {
	tickets    map[string]string
	validUntil time.Duration
	inFlight   bool
	retryAt    time.Duration
	valid      bool
}

func (a *advice) reset() { *a = advice{steps: map[*ledger.StepRun]*stepAdvice{}} }

// updateAdvice requests advice on the ready steps of queues that need it.
func (e *Engine) updateAdvice() {
	for k, a := range e.advice.steps {
		if !k.Occurrence.Job.IsActive() || k.Done() {
			delete(e.advice.steps, k)
			continue
		}
		a.valid = e.now < a.validUntil
	}
	for _, j := range e.state.ActiveJobs() {
		q := e.state.Queue(j.Queue)
		if q.GetAdvice() == nil {
			continue
		}
		for _, o := range j.Occurrences() {
			for _, s := range o.Steps {
				if s.Waiting() > 0 && s.Ready() {
					e.requestAdvice(s, q.Pool)
				}
			}
		}
	}
}

func (e *Engine) requestAdvice(s *ledger.StepRun, pool string) {
	a := e.advice.steps[s]
	if a == nil {
		a = &stepAdvice{}
		e.advice.steps[s] = a
	}
	if a.inFlight || a.valid || e.now < a.retryAt || e.advice.calls >= maxAdviceCalls {
		return
	}
	var workers []string
	for _, w := range e.state.Workers() {
		if len(workers) < maxAdviceWorkers && w.Pool() == pool && e.isUsable(e.sessions[w.Number()]) {
			workers = append(workers, w.ID())
		}
	}
	if len(workers) == 0 {
		return
	}
	a.inFlight = true
	e.advice.calls++
	o := s.Occurrence
	e.addAction(RequestAdvice{Step: RunName{Job: o.Job.ID, Occurrence: o.Number, Step: s.Number}, Workers: workers})
}

func (e *Engine) handleAdviceResult(ev AdviceResult) {
	e.advice.calls--
	e.plannedChanges = 0
	for s, a := range e.advice.steps {
		o := s.Occurrence
		if o.Job.ID != ev.Request.Step.Job || o.Number != ev.Request.Step.Occurrence || s.Number != ev.Request.Step.Step {
			continue
		}
		a.inFlight = false
		if ev.Outcome != Accepted {
			a.retryAt = e.now + adviceRetryDelay
			continue
		}
		a.tickets, a.valid = ev.Tickets, true
		a.validUntil = ev.SentAt + time.Duration(float64(ev.Validity)*(1-adviceValidityReserve))
		if len(a.tickets) == 0 {
			a.retryAt = e.now + adviceRetryDelay
		}
	}
}

// allows reports whether the adviser lets a worker run a step; a step without advice may run on any worker.
func (a *advice) allows(s *ledger.StepRun, w *schedule.Worker) bool {
	sa := a.steps[s]
	if sa == nil {
		return true
	}
	return sa.valid && sa.tickets[w.ID()] != ""
}

func (a *advice) ticket(s *ledger.StepRun, worker string) string {
	if sa := a.steps[s]; sa != nil {
		return sa.tickets[worker]
	}
	return ""
}
