package workload

import (
	"math"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/backlog"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
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
	// maxCommitDelay is how long a commit may take while new jobs are accepted. A submission waits for up to two commits, the
	// one in progress and its own, and its caller for 2.4 s.
	maxCommitDelay = 1200 * time.Millisecond
	// freeParts is the number of parts of the free memory for jobs of which a job may take one.
	freeParts = 4
	// memoryWarningParts is the part of the memory for jobs for which there is no room once the leader says that it rejects
	// jobs for it.
	memoryWarningParts = 8
	// memoryReason is the reason of rejections because of MaxJobBytes in the log and the metrics.
	memoryReason = "memory"
	// retryAfterFactor is the ratio of that time to the delay: the delay falls only once less comes in.
	retryAfterFactor = 3
)

// admission decides whether new jobs are accepted. An overloaded leader serves what it has accepted, and rejects new jobs at
// once; otherwise all answers, and with them the renewals of leases, would be late. It also rejects them while the log is too
// slow to accept them before their callers give up, which then don't know whether the jobs were accepted.
type admission struct {
	delay     time.Duration // of the last answer
	delayedAt time.Duration // when it was handled
	lateSince time.Duration // since when all answers were handled late, 0 if the last one was not
	// commitDelay is how long the log takes to commit a command.
	commitDelay time.Duration
	// appliedBefore is when the oldest command was proposed that may still be applied.
	appliedBefore time.Duration
	// proposed holds the submissions that were let through and are not applied yet, by the ID of the job. They may still be
	// accepted, so another attempt must not be told otherwise.
	proposed map[string]proposedJob
}

// proposedJob is a submission that was let through.
type proposedJob struct {
	at    time.Duration // when it was let through last
	bytes int64         // what the job will occupy
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

// retryAfter returns after which time a new job may be handed in again and why, 0 if it is accepted now.
func (a *admission) retryAfter(now time.Duration) (after time.Duration, reason string) {
	if a.commitDelay >= maxCommitDelay {
		return min(a.commitDelay, maxRetryAfter), "slow-log"
	}
	if a.lateSince == 0 || now-a.lateSince < overloadTime || now-a.delayedAt > overloadMemory {
		return 0, ""
	}
	return min(max(retryAfterFactor*a.delay, minRetryAfter), maxRetryAfter), "overload"
}

// mayBeApplied reports whether a command that was proposed at a time and is not applied may still be.
func (a *admission) mayBeApplied(at, now time.Duration) bool {
	return at >= a.appliedBefore || now-at < proposalTimeout
}

// admit returns the response to the submission of a new job that is rejected, nil if it is to be replicated.
func (e *Engine) admit(m *workloadpb.Submit) *workloadpb.Response {
	a, id := &e.admission, m.Id
	bytes := ledger.SubmitBytes(m)
	if p, ok := a.proposed[id]; ok && a.mayBeApplied(p.at, e.now) {
		a.proposed[id] = proposedJob{e.now, bytes} // This attempt may be applied later than the first one.
		return nil
	}
	after, reason := e.rejectForLoad(bytes)
	if after == 0 {
		after, reason = e.rejectBacklog(m)
	}
	if after > 0 {
		e.cfg.IncrementCounter("hibiscusroute_jobs_rejected_total", "reason", reason)
		e.cfg.Log.V(1).Info("rejected a job", "job", id, "reason", reason,
			"delay", a.delay.String(), "commit-delay", a.commitDelay.String(), "retry-after", after.String())
		return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_BUSY, RetryAfterMs: after.Milliseconds()}
	}
	if a.proposed == nil {
		a.proposed = map[string]proposedJob{}
	}
	a.proposed[id] = proposedJob{e.now, bytes}
	return nil
}

// rejectForLoad returns after which time a job of a size may be handed in again and why, 0 if neither the load of the leader
// nor its memory forbids the job now.
func (e *Engine) rejectForLoad(bytes int64) (after time.Duration, reason string) {
	if after, reason = e.admission.retryAfter(e.now); after == 0 && !e.fitsMemory(bytes) {
		return minRetryAfter, memoryReason
	}
	return after, reason
}

// fitsMemory reports whether there is memory for a job of a size. A job may take a part of what is free, so that small ones
// are still accepted when there is no room for large ones.
func (e *Engine) fitsMemory(bytes int64) bool {
	return bytes <= e.freeJobBytes()/freeParts
}

// freeJobBytes returns the memory that is left for jobs.
func (e *Engine) freeJobBytes() int64 {
	if e.cfg.MaxJobBytes == 0 {
		return math.MaxInt64
	}
	free := e.cfg.MaxJobBytes - e.state.JobBytes()
	for _, p := range e.admission.proposed {
		if e.admission.mayBeApplied(p.at, e.now) {
			free -= p.bytes
		}
	}
	return free
}

// forgetSubmission forgets a submission that was applied, and those whose entry was lost.
func (e *Engine) forgetSubmission(id string) {
	a := &e.admission
	delete(a.proposed, id)
	e.backlog.forget(id)
	for other, p := range a.proposed {
		if !a.mayBeApplied(p.at, e.now) {
			delete(a.proposed, other)
			e.backlog.forget(other)
		}
	}
}

// logOverload writes a line when the leader begins or ceases to reject new jobs, or does so for another reason.
func (e *Engine) logOverload() {
	_, reason := e.admission.retryAfter(e.now)
	var queues []string
	if reason == "" {
		if queues = e.backlog.rejectingQueues(e.now); len(queues) > 0 {
			reason = backlog.Reason
		}
	}
	if reason == "" && !e.fitsMemory(e.cfg.MaxJobBytes/memoryWarningParts) {
		reason = memoryReason
	}
	if reason != e.overload {
		e.overload = reason
		e.cfg.Log.Info("overload of the leader changed", "rejects-new-jobs", reason != "", "reason", reason,
			"delay", e.admission.delay.String(), "commit-delay", e.admission.commitDelay.String(), "queues", queues)
	}
}
