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
}

type stepAdvice struct {
	answers map[uint64]adviceAnswer // by the number of the incarnation
	// asked holds the incarnations that the request in flight names, by the ID of the worker. It is nil if there is none.
	asked   map[string]uint64
	retryAt time.Duration
}

// adviceAnswer is what the adviser answered about a worker. A denial is valid for as long as a ticket.
type adviceAnswer struct {
	ticket     string // empty if the worker may not run the step
	validUntil time.Duration
}

func (a *advice) reset() { *a = advice{steps: map[*ledger.StepRun]*stepAdvice{}} }

// updateAdvice requests advice on the ready steps of queues that need it.
func (e *Engine) updateAdvice() {
	for k := range e.advice.steps {
		if j := k.Occurrence.Job; !j.IsActive() || k.Done() || e.state.QueueOf(j).GetAdvice() == nil {
			delete(e.advice.steps, k)
		}
	}
	due := false
	for _, j := range e.state.ActiveJobs() {
		if e.state.QueueOf(j).GetAdvice() == nil {
			continue
		}
		for _, o := range j.Occurrences() {
			for _, s := range o.Steps {
				if s.Waiting() > 0 && s.Ready() {
					due = e.advice.addStep(s).isDue(e.now) || due
				}
			}
		}
	}
	if !due || e.advice.calls >= maxAdviceCalls {
		return
	}
	// The tasks that are assigned first are asked about first.
	candidates := schedule.RankCandidates(schedule.Input{
		State: e.state, NowMs: e.wallClockMs(), Order: e.cfg.JobOrder, BeyondShare: e.shares.isBeyondShare,
	})
	for i := range candidates {
		for _, s := range candidates[i].ReadySteps() {
			if a := e.advice.steps[s]; a != nil && a.isDue(e.now) && e.advice.calls < maxAdviceCalls {
				e.requestAdvice(s, a, candidates[i].Pool())
			}
		}
	}
}

// addStep returns the entry of a step, which it adds if there is none.
func (a *advice) addStep(s *ledger.StepRun) *stepAdvice {
	if a.steps[s] == nil {
		a.steps[s] = &stepAdvice{answers: map[uint64]adviceAnswer{}}
	}
	return a.steps[s]
}

// isDue reports whether the adviser may be asked about a step.
func (a *stepAdvice) isDue(now time.Duration) bool { return a.asked == nil && now >= a.retryAt }

// requestAdvice asks about the usable workers that have no valid answer for a step.
func (e *Engine) requestAdvice(s *ledger.StepRun, a *stepAdvice, pool string) {
	var workers []*ledger.Worker
	for _, w := range e.state.Workers() {
		if w.Pool() == pool && e.now >= a.answers[w.Number()].validUntil && e.isUsable(e.sessions[w.Number()]) {
			workers = append(workers, w)
		}
	}
	if len(workers) == 0 {
		a.retryAt = e.now + adviceCheckInterval
		return
	}
	// The workers that were never asked about come first, then those whose answer is the oldest.
	slices.SortStableFunc(workers, func(x, y *ledger.Worker) int {
		return cmp.Compare(a.answers[x.Number()].validUntil, a.answers[y.Number()].validUntil)
	})
	a.asked = map[string]uint64{}
	var ids []string
	for _, w := range workers[:min(len(workers), maxAdviceWorkers)] {
		a.asked[w.ID()] = w.Number()
		ids = append(ids, w.ID())
	}
	e.advice.calls++
	o := s.Occurrence
	e.addAction(RequestAdvice{Step: RunName{Job: o.Job.ID, Occurrence: o.Number, Step: s.Number}, Workers: ids})
}

func (e *Engine) handleAdviceResult(ev AdviceResult) {
	e.advice.calls--
	e.plannedChanges = 0
	for s, a := range e.advice.steps {
		o := s.Occurrence
		if o.Job.ID != ev.Request.Step.Job || o.Number != ev.Request.Step.Occurrence || s.Number != ev.Request.Step.Step {
			continue
		}
		asked := a.asked
		a.asked = nil
		if ev.Outcome != Accepted {
			a.retryAt = e.now + adviceRetryDelay
			continue
		}
		validUntil := ev.SentAt + time.Duration(float64(ev.Validity)*(1-adviceValidityReserve))
		for _, id := range ev.Request.Workers {
			if n, ok := asked[id]; ok {
				a.answers[n] = adviceAnswer{ticket: ev.Tickets[id], validUntil: validUntil}
			}
		}
	}
}

// adviserAllows reports whether the adviser lets a worker run a step now; a step without advice may run on any worker.
func (e *Engine) adviserAllows(s *ledger.StepRun, w *schedule.Worker) bool {
	sa := e.advice.steps[s]
	if sa == nil {
		return true
	}
	answer := sa.answers[w.Number()]
	return answer.ticket != "" && e.now < answer.validUntil
}

// mayReserve reports whether a worker may keep capacity for a step. An answer that isn't valid any more will most
// likely be repeated, and without the reservation other tasks would take the capacity in the meantime.
func (a *advice) mayReserve(s *ledger.StepRun, w *schedule.Worker) bool {
	return a.steps[s] == nil || a.ticket(s, w.Number()) != ""
}

// denies reports whether the last answer of the adviser denied a step an incarnation. That stays so.
func (a *advice) denies(s *ledger.StepRun, incarnation uint64) bool {
	if a.steps[s] == nil {
		return false
	}
	answer, ok := a.steps[s].answers[incarnation]
	return ok && answer.ticket == ""
}

// mayAllow reports whether the adviser allows a worker to run a step, as far as is known.
func (a *advice) mayAllow(s *ledger.StepRun, w *schedule.Worker) bool {
	return !a.denies(s, w.Number())
}

// deniesAll reports whether the adviser has denied a step each worker that it was asked about.
func (a *advice) deniesAll(s *ledger.StepRun) bool {
	if a.steps[s] == nil || len(a.steps[s].answers) == 0 {
		return false
	}
	for _, answer := range a.steps[s].answers {
		if answer.ticket != "" {
			return false
		}
	}
	return true
}

func (a *advice) ticket(s *ledger.StepRun, incarnation uint64) string {
	if sa := a.steps[s]; sa != nil {
		return sa.answers[incarnation].ticket
	}
	return ""
}

// rejectTicket drops a ticket that a worker rejected, so that the adviser is asked for another one.
func (a *advice) rejectTicket(s *ledger.StepRun, incarnation uint64, ticket string) {
	if sa := a.steps[s]; sa != nil && sa.answers[incarnation].ticket == ticket {
		delete(sa.answers, incarnation)
	}
}
