package workload

import (
	"cmp"
	"slices"
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
	// adviceCheckInterval is the time between checks for workers without a valid answer.
	adviceCheckInterval = 100 * time.Millisecond
	// adviceValidityReserve is the fraction of its validity that a ticket must have left when it is used.
	adviceValidityReserve = 0.2
)

// advice holds the answers of the adviser.
type advice struct {
	steps map[*ledger.StepRun]*stepAdvice
	calls int
	now   time.Duration
}

type stepAdvice struct {
	answers  map[string]adviceAnswer // by the ID of the worker
	inFlight bool
	retryAt  time.Duration
}

// adviceAnswer is what the adviser answered about a worker. A denial is valid for as long as a ticket.
type adviceAnswer struct {
	ticket     string // empty if the worker may not run the step
	validUntil time.Duration
}

func (a *advice) reset() { *a = advice{steps: map[*ledger.StepRun]*stepAdvice{}} }

// updateAdvice requests advice on the ready steps of queues that need it.
func (e *Engine) updateAdvice() {
	e.advice.now = e.now
	for k := range e.advice.steps {
		if !k.Occurrence.Job.IsActive() || k.Done() {
			delete(e.advice.steps, k)
		}
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

// requestAdvice asks about the usable workers that have no valid answer for a step.
func (e *Engine) requestAdvice(s *ledger.StepRun, pool string) {
	a := e.advice.steps[s]
	if a == nil {
		a = &stepAdvice{answers: map[string]adviceAnswer{}}
		e.advice.steps[s] = a
	}
	if a.inFlight || e.now < a.retryAt || e.advice.calls >= maxAdviceCalls {
		return
	}
	var workers []string
	for _, w := range e.state.Workers() {
		if w.Pool() == pool && e.now >= a.answers[w.ID()].validUntil && e.isUsable(e.sessions[w.Number()]) {
			workers = append(workers, w.ID())
		}
	}
	if len(workers) == 0 {
		a.retryAt = e.now + adviceCheckInterval
		return
	}
	// The workers that were never asked about come first, then those whose answer is the oldest.
	slices.SortStableFunc(workers, func(x, y string) int {
		return cmp.Compare(a.answers[x].validUntil, a.answers[y].validUntil)
	})
	workers = workers[:min(len(workers), maxAdviceWorkers)]
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
		validUntil := ev.SentAt + time.Duration(float64(ev.Validity)*(1-adviceValidityReserve))
		for _, id := range ev.Request.Workers {
			a.answers[id] = adviceAnswer{ticket: ev.Tickets[id], validUntil: validUntil}
		}
	}
}

// allows reports whether the adviser lets a worker run a step; a step without advice may run on any worker.
func (a *advice) allows(s *ledger.StepRun, w *schedule.Worker) bool {
	sa := a.steps[s]
	if sa == nil {
		return true
	}
	answer := sa.answers[w.ID()]
	return answer.ticket != "" && a.now < answer.validUntil
}

func (a *advice) ticket(s *ledger.StepRun, worker string) string {
	if sa := a.steps[s]; sa != nil {
		return sa.answers[worker].ticket
	}
	return ""
}
