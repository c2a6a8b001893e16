package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// inheritedLeases bounds the leases that workers may hold from earlier leaders.
type inheritedLeases struct {
	longest time.Duration
	// expireBy is when they have certainly expired.
	expireBy time.Duration
	// boundPendingUntil is when a bound that was proposed and not applied is proposed again.
	boundPendingUntil time.Duration
}

// inheritLeases bounds the leases of earlier leaders. It must be called before this leader proposes a command.
func (e *Engine) inheritLeases() {
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
	// The previous leader may grant leases for MaxConfirmationAge after this one has started.
	e.inherited.expireBy = e.now + worstCaseDuration(MaxConfirmationAge+longest)
}

// recordLeaseBound records the longest lease that workers may hold, by which the next leader waits. Inherited leases
// count until they have expired, because the next leader knows only what this one recorded.
func (e *Engine) recordLeaseBound() {
	bound := e.grantedLease()
	if e.now <= e.inherited.expireBy {
		bound = max(bound, e.inherited.longest)
	}
	if e.now < e.inherited.boundPendingUntil || e.state.LeaseBound(e.term) == bound.Milliseconds() {
		return
	}
	e.inherited.boundPendingUntil = e.now + proposalTimeout
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_LeaseBound{
		LeaseBound: &workloadpb.LeaseBound{LeaseMs: bound.Milliseconds()},
	}})
}
