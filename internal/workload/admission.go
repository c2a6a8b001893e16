package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// overloadDelay is how late the control loop handles answers while the leader is overloaded. Leases are renewed in time
	// with several times this delay.
	overloadDelay = 400 * time.Millisecond
	// overloadTime is how long the delay must last until new jobs are rejected, so that one long decision doesn't count.
	overloadTime = 300 * time.Millisecond
	// overloadMemory is how long the last delay counts without an answer.
	overloadMemory = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a rejected job may be handed in again.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// retryAfterFactor is the ratio of that time to the delay: the delay falls only once less comes in.
	retryAfterFactor = 3
)

// admission decides whether new jobs are accepted. An overloaded leader serves what it has accepted, and rejects new jobs at
// once; otherwise all answers, and with them the renewals of leases, would be late.
type admission struct {
	delay     time.Duration // of the last answer
	delayedAt time.Duration // when it was handled
	lateSince time.Duration // since when all answers were handled late, 0 if the last one was not
	// proposed holds when submissions that are not applied yet were let through, by the ID of the job. They may still be
	// accepted, so another attempt must not be told otherwise.
	proposed map[string]time.Duration
}

// observe records that an answer that arrived at a time is handled now.
func (a *admission) observe(arrivedAt, now time.Duration) {
	a.delay, a.delayedAt = now-arrivedAt, now
	if a.delay < overloadDelay {
		a.lateSince = 0
	} else if a.lateSince == 0 {
		a.lateSince = now
	}
}

// retryAfter returns after which time a new job may be handed in again, 0 if it is accepted now.
func (a *admission) retryAfter(now time.Duration) time.Duration {
	if a.lateSince == 0 || now-a.lateSince < overloadTime || now-a.delayedAt > overloadMemory {
		return 0
	}
	return min(max(retryAfterFactor*a.delay, minRetryAfter), maxRetryAfter)
}

// admit returns the response to the submission of a new job that is rejected, nil if it is to be replicated.
func (e *Engine) admit(id string) *workloadpb.Response {
	a := &e.admission
	if at, ok := a.proposed[id]; ok && e.now-at < proposalTimeout {
		return nil
	}
	if after := a.retryAfter(e.now); after > 0 {
		e.cfg.IncrementCounter("hibiscusroute_jobs_rejected_total", "reason", "overload")
		e.cfg.Log.V(1).Info("rejected a job, because the leader is overloaded", "job", id, "delay", a.delay.String(),
			"retry-after", after.String())
		return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_BUSY, RetryAfterMs: after.Milliseconds()}
	}
	if a.proposed == nil {
		a.proposed = map[string]time.Duration{}
	}
	a.proposed[id] = e.now
	return nil
}

// forgetSubmission forgets a submission that was applied, and those whose entry was lost.
func (a *admission) forgetSubmission(id string, now time.Duration) {
	delete(a.proposed, id)
	for other, at := range a.proposed {
		if now-at >= proposalTimeout {
			delete(a.proposed, other)
		}
	}
}

// logOverload writes a line when the leader begins or ceases to reject new jobs.
func (e *Engine) logOverload() {
	overloaded := e.admission.retryAfter(e.now) > 0
	if overloaded != e.overloaded {
		e.overloaded = overloaded
		e.cfg.Log.Info("overload of the leader changed", "rejects-new-jobs", overloaded, "delay", e.admission.delay.String())
	}
}
