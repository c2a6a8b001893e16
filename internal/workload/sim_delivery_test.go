package workload_test

import (
	"fmt"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

func taskKey(n workload.RunName) string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// worker returns the worker that a request is meant for, nil if it does not answer.
func (s *sim) worker(t workload.Target) *fakeWorker {
	if w := s.workers[t.ID]; w != nil && !w.dead && !w.unreachable && !w.deaf {
		return w
	}
	return nil
}

func (s *sim) execute(a kernel.Action) {
	s.t.Helper()
	s.requests = append(s.requests, a)
	if s.requestDelay != nil {
		// A request of an earlier leader still arrives, but its answer is lost.
		sent, term := s.now, s.term
		s.scheduleLasting(s.requestDelay(a), func() { s.deliver(a, sent, term) })
		return
	}
	s.deliver(a, s.now, s.term)
}

// deliver carries out a request that was sent at a time in a term.
func (s *sim) deliver(a kernel.Action, sent time.Duration, term uint64) {
	s.t.Helper()
	if term < s.term || s.leaderless {
		// Only the answers to the new leader are observed.
		s.deliverUnanswered(a, sent)
		return
	}
	s.sentAt = sent
	if s.intercept != nil && s.intercept(a) {
		return
	}
	if s.rejectRequest != nil {
		if o, ok := s.rejectRequest(a); ok {
			s.schedule(simStep, func() { s.fail(a, o, sent) })
			return
		}
	}
	if h, ok := targetOf(a); ok {
		s.deliverToWorker(a, h, sent)
		return
	}
	switch a := a.(type) {
	case workload.RequestAdvice:
		done := workload.AdviceResult{
			Request: a, Outcome: workload.Accepted, Tickets: map[string]string{}, Validity: 3 * time.Second, SentAt: sent,
		}
		for _, id := range a.Workers {
			if id == s.advisedWorker {
				done.Tickets[id] = "ticket-" + id
			}
		}
		s.schedule(20*simStep, func() { s.k.Observe(s.now, done) })
	case workload.ListInstances:
		done := workload.ListInstancesResult{Outcome: workload.Accepted, SentAt: sent}
		for _, row := range s.instances {
			done.Instances = append(done.Instances, *row)
		}
		if s.onListInstances != nil {
			s.onListInstances()
		}
		s.schedule(simStep, func() { s.k.Observe(s.now, done) })
	case workload.MoveInstance:
		s.moves++
		s.restart(a.Instance, a.Pool, 1500*time.Millisecond)
		s.schedule(2*simStep, func() {
			s.k.Observe(s.now, workload.MoveInstanceResult{Request: a, Outcome: workload.Accepted, SentAt: sent})
		})
	case workload.MaintainInstance:
		s.maintain(a)
		s.schedule(2*simStep, func() {
			s.k.Observe(s.now, workload.MaintainInstanceResult{Request: a, Outcome: workload.Accepted, SentAt: sent})
		})
	}
}

// deliverToWorker carries out a request at the incarnation that has the ID and answers now, which may be a later one than
// the request was sent to.
func (s *sim) deliverToWorker(a kernel.Action, h workload.RequestHeader, sent time.Duration) {
	w := s.worker(h.Target)
	if w == nil {
		s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, sent) })
		return
	}
	o := w.execute(a, sent)
	renewal, isRenewal := a.(workload.RenewLease)
	attributed := isRenewal || s.attributesAnswers
	switch {
	case w.m.BornMs != h.StartedMs && attributed && isRenewal && o == workload.Accepted:
		s.answerLater(w, renewal, s.now+renewal.Wait, sent)
	case w.m.BornMs != h.StartedMs && attributed:
		s.answerAsSuccessor(w, a, o, sent)
	case isRenewal && o == workload.Accepted:
		w.renewal, w.renewalSentAt, w.renewalDeadline = &renewal, sent, s.now+max(renewal.Wait, simStep)
	default:
		answer := w.answer(o, sent)
		answer.Unattributed = !attributed
		s.schedule(simStep, func() { s.observeAnswer(a, answer) })
	}
}

// answerLater passes the list of a later incarnation once it has an end to list or the wait is over.
func (s *sim) answerLater(w *fakeWorker, a workload.RenewLease, deadline, sent time.Duration) {
	switch {
	case s.worker(a.Target) != w:
		s.schedule(max(deadline-s.now, 0)+workload.RequestTimeout, func() { s.fail(a, workload.NoAnswer, sent) })
	case len(w.ended) > 0 || s.now >= deadline:
		s.answerAsSuccessor(w, a, workload.Accepted, sent)
	default:
		s.schedule(simStep, func() { s.answerLater(w, a, deadline, sent) })
	}
}

// answerAsSuccessor passes the answer of a later incarnation with the ID of the one that a request was sent to.
func (s *sim) answerAsSuccessor(w *fakeWorker, a kernel.Action, o workload.Outcome, sent time.Duration) {
	answer := workload.Answer{Outcome: o, SentAt: sent}
	if o == workload.Accepted {
		answer.Outcome, answer.ExecutedBy = workload.OtherIncarnation, w.m.BornMs
	}
	s.schedule(simStep, func() {
		if answer.ExecutedBy > 0 {
			w.markKnown()
		}
		if h, ok := a.(workload.RenewLease); ok && o == workload.Accepted {
			r := w.list(h)
			r.Answer = answer
			r.EndedAt = s.now
			s.k.Observe(s.now, r)
			return
		}
		s.observeAnswer(a, answer)
	})
}

// deliverUnanswered carries out a request of a deposed leader, for a worker at the incarnation that has the ID now. Its
// answer is lost.
func (s *sim) deliverUnanswered(a kernel.Action, sent time.Duration) {
	if h, ok := targetOf(a); ok {
		if w := s.worker(h.Target); w != nil {
			w.execute(a, sent)
		}
	} else if s.carryOut != nil {
		s.carryOut(a)
	}
}

func (s *sim) fail(a kernel.Action, o workload.Outcome, sent time.Duration) {
	s.observeAnswer(a, workload.Answer{Outcome: o, SentAt: sent})
	switch a := a.(type) {
	case workload.RequestAdvice:
		s.k.Observe(s.now, workload.AdviceResult{Request: a, Outcome: o, SentAt: sent})
	case workload.ListInstances:
		s.k.Observe(s.now, workload.ListInstancesResult{Outcome: o, SentAt: sent})
	case workload.MoveInstance:
		s.k.Observe(s.now, workload.MoveInstanceResult{Request: a, Outcome: o, SentAt: sent})
	case workload.MaintainInstance:
		s.k.Observe(s.now, workload.MaintainInstanceResult{Request: a, Outcome: o, SentAt: sent})
	}
}

// observeAnswer passes the answer to a request for a worker, which arrives now, to the leader.
func (s *sim) observeAnswer(a kernel.Action, answer workload.Answer) {
	answer.EndedAt = s.now
	switch a := a.(type) {
	case workload.RenewLease:
		s.k.Observe(s.now, workload.RenewLeaseResult{Request: a, Answer: answer})
	case workload.StartRun:
		s.k.Observe(s.now, workload.StartRunResult{Request: a, Answer: answer})
	case workload.StopRun:
		s.k.Observe(s.now, workload.StopRunResult{Request: a, Answer: answer})
	case workload.ThrottleRun:
		s.k.Observe(s.now, workload.ThrottleRunResult{Request: a, Answer: answer})
	}
}

// targetOf returns the header of a request for a worker.
func targetOf(a kernel.Action) (workload.RequestHeader, bool) {
	switch a := a.(type) {
	case workload.StartRun:
		return a.RequestHeader, true
	case workload.StopRun:
		return a.RequestHeader, true
	case workload.RenewLease:
		return a.RequestHeader, true
	case workload.ThrottleRun:
		return a.RequestHeader, true
	}
	return workload.RequestHeader{}, false
}
