package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// suspensionDelay keeps requests that are lost once from making the leases of a worker wait for the log.
	suspensionDelay = time.Second
	// resumeRetryDelay is the time before the end of a suspension is proposed again.
	resumeRetryDelay = time.Second
)

// inheritedLeases bounds the leases that workers may hold from earlier leaders.
type inheritedLeases struct {
	longest time.Duration
	// fullLeaseAge bounds the age of the confirmations by which earlier leaders grant leases in full, which may be until
	// fullUntil.
	fullLeaseAge, fullUntil time.Duration
	// expireBy is when they have certainly expired.
	expireBy time.Duration
	// boundPendingUntil is when a bound that was proposed and not applied is proposed again.
	boundPendingUntil time.Duration
}

// inheritLeases bounds the leases of earlier leaders, of which the last one led in previousTerm, 0 if that is not known.
// It must be called before this leader proposes a command.
func (e *Engine) inheritLeases(previousTerm uint64) {
	if len(e.state.Workers()) == 0 {
		return // Leases are granted only to workers that the ledger knows.
	}
	// A leader that was deposed before its first command was committed granted no more than this one, if the longest lease
	// that workers accept was the same.
	longest := e.grantedLease()
	if ms := e.state.LeaseBound(e.state.ClockTerm()); ms > 0 {
		longest = max(longest, time.Duration(ms)*time.Millisecond)
	} else {
		// Earlier versions of the program record no bound.
		longest = max(longest, e.cfg.MaxLease)
	}
	e.inherited.longest = longest
	e.inherited.fullLeaseAge = unrecordedFullLeaseAge
	if ms := e.state.FullLeaseAge(previousTerm); ms > 0 {
		e.inherited.fullLeaseAge = time.Duration(ms) * time.Millisecond
	}
	// Each voter of the quorum that confirmed an earlier leader did so before it could vote for this one. A lease counts
	// from the decision to grant it, however late the request arrives, and ends as soon as if it had been granted in full
	// by then.
	e.inherited.fullUntil = e.now + e.inherited.fullLeaseAge
	e.inherited.expireBy = e.inherited.fullUntil + worstCaseDuration(longest)
	for _, s := range e.sessions {
		s.leasesExpireBy = e.inherited.expireBy
		e.inheritFence(s)
		e.inheritSuspension(s)
	}
}

// recordLeaseBound records the longest lease that workers may hold, by which the next leader waits. What this leader
// inherited counts as long as it matters, because the next leader knows only what this one recorded.
func (e *Engine) recordLeaseBound() {
	lease, age := e.grantedLease(), fullLeaseAge
	if e.now <= e.inherited.expireBy {
		lease = max(lease, e.inherited.longest)
	}
	if e.now <= e.inherited.fullUntil {
		age = max(age, e.inherited.fullLeaseAge)
	}
	bound := &workloadpb.LeaseBound{LeaseMs: lease.Milliseconds(), FullLeaseAgeMs: age.Milliseconds()}
	recorded := e.state.LeaseBound(e.term) == bound.LeaseMs && e.state.FullLeaseAge(e.term) == bound.FullLeaseAgeMs
	if e.now < e.inherited.boundPendingUntil || recorded {
		return
	}
	if e.endOutdatedSuspensions() {
		e.inherited.boundPendingUntil = e.now + resumeRetryDelay
		return
	}
	e.inherited.boundPendingUntil = e.now + proposalTimeout
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_LeaseBound{LeaseBound: bound}})
}

// endOutdatedSuspensions proposes to end the suspensions that leaders of an earlier version have ignored, and reports
// whether there are any. A recorded bound tells the next leader that suspensions in the log are valid, so it must come
// after their end.
func (e *Engine) endOutdatedSuspensions() bool {
	found := false
	for _, w := range e.state.Workers() {
		if s := e.sessions[w.Number()]; s.suspension.outdated {
			found = true
			e.proposeSuspension(s, &workloadpb.LeaseSuspension{Resumed: true})
		}
	}
	return found
}

// suspension is the state of the suspension of a worker's leases. It is recorded in the log, so that the next leader
// needn't wait for leases that have expired since.
type suspension struct {
	// active is set from when the suspension is proposed until its end is in the log; no lease is granted meanwhile.
	active bool
	// outdated is set while the log holds a suspension that a leader of an earlier version has ignored.
	outdated bool
	// sequence is the number of the last suspension that this leader proposed.
	sequence uint64
	// resumeAt is when the end of the suspension is proposed again if it is not in the log by then.
	resumeAt time.Duration
}

// updateSuspension suspends the leases of a worker with runs that doesn't answer, and resumes them once it does.
func (e *Engine) updateSuspension(s *session) {
	switch {
	case s.failures > 0 && e.now-s.failingSince >= suspensionDelay && !s.suspension.active && len(s.runs) > 0:
		s.suspension.active, s.suspension.resumeAt = true, 0
		s.suspension.sequence++
		e.proposeSuspension(s, &workloadpb.LeaseSuspension{RemainingMs: max(s.leasesExpireBy-e.now, 0).Milliseconds()})
	case s.isResuming() && e.now >= s.suspension.resumeAt:
		s.suspension.resumeAt = e.now + resumeRetryDelay
		e.proposeSuspension(s, &workloadpb.LeaseSuspension{Resumed: true})
	}
}

// isResuming reports whether the end of the suspension of a worker's leases has yet to be recorded. Heartbeats don't
// count as answers: the worker may get no requests.
func (s *session) isResuming() bool {
	return s.suspension.active && s.failures == 0 && s.lastAnswerAt > 0
}

func (e *Engine) proposeSuspension(s *session, m *workloadpb.LeaseSuspension) {
	m.Worker, m.Sequence = s.worker.Number(), s.suspension.sequence
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_LeaseSuspension{LeaseSuspension: m}})
}

// handleSuspension ends the suspension of a worker's leases, unless a later one was proposed since.
func (e *Engine) handleSuspension(m *workloadpb.LeaseSuspension) {
	s := e.sessions[m.Worker]
	if s == nil {
		return
	}
	s.suspension.outdated = false
	if m.Resumed && m.Sequence == s.suspension.sequence {
		s.suspension.active = false
		e.markDirty(s)
	}
}

// inheritSuspension takes over a suspension of an earlier leader. The ledger's clock runs behind the time that has
// passed, so the leases have expired by the time that is left on it. A leader that recorded no bound of its leases is
// of an earlier version, which grants leases in spite of a suspension.
func (e *Engine) inheritSuspension(s *session) {
	end := s.worker.LeasesEndMs()
	switch {
	case end == 0:
	case e.state.LeaseBound(e.state.ClockTerm()) == 0:
		s.suspension.outdated = true
	default:
		s.suspension.active = true
		s.leasesExpireBy = min(s.leasesExpireBy, e.now+max(millis(end-e.state.Clock()), 0))
	}
}

// inheritFence takes over that an earlier leader has assigned runs to a worker, and so knew that it rejects requests for
// earlier incarnations. One of them may have granted the longest lease just before that.
func (e *Engine) inheritFence(s *session) {
	if s.worker.Predecessors() == 0 || !s.fenced {
		return
	}
	age := millis(e.state.Clock() - s.worker.AssignedSinceMs())
	s.leasesExpireBy = max(s.leasesExpireBy, e.now+worstCaseDuration(e.cfg.MaxLease)-age)
}
