package workload

import (
	"fmt"
	"strings"
)

// WithoutRhythm returns settings by which the size of pools depends on accepted and arriving jobs alone.
func (cfg Config) WithoutRhythm() Config {
	cfg.withoutRhythm = true
	return cfg
}

// Explain describes, for a failing test, what the leader knows about a worker and a step.
func (e *Engine) Explain(workerID, job string, step int32) string {
	w := e.state.WorkerByID(workerID)
	if w == nil {
		return "not in the ledger"
	}
	s := e.sessions[w.Number()]
	if s == nil {
		return "no session"
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "exclusion %q (clock known %v, failures %d, draining %v, unassigned runs %v, reserved %v, excluded for"+
		" %v, seen %v ago, must list %v, ends pending %v, leases expire in %v), ledger used %v of %v, runs",
		e.exclusion(s), s.clockKnown, s.failures, w.IsDraining(), s.hasUnassignedRuns, s.reservedForOperation,
		s.excludedUntil-e.now, e.now-max(s.lastHeartbeat, s.lastAnswerAt), s.mustList, s.endsPending,
		s.leasesExpireBy-e.now, w.Used(), w.Capacity())
	for _, r := range s.runs {
		fmt.Fprintf(b, " %s.%d.%d#%d(inherited %v, in flight %v, attempts %d, started %v, stop %v, stopped %v, retry in %v)",
			r.name.Job, r.name.Step, r.name.Index, r.name.Run, r.inherited, r.requestInFlight(), r.attempts, r.startedAt,
			r.shouldStop, r.stoppedAt, r.retryAt-e.now)
	}
	for _, in := range e.fleet.instances {
		if in.Worker == workerID && in.operation != nil {
			fmt.Fprintf(b, "; operation %+v", *in.operation)
		}
	}
	if j := e.state.JobByID(job); j != nil {
		for _, o := range j.Occurrences() {
			if a := e.advice.steps[o.Steps[step]]; a != nil {
				fmt.Fprintf(b, "; advice %+v, asked %v, retry in %v, calls %d",
					a.answers[w.Number()], a.asked != nil, a.retryAt-e.now, e.advice.calls)
			}
		}
	}
	return b.String()
}

// ExplainTask describes what the ledger holds about a task.
func (e *Engine) ExplainTask(job string, step, index int32) string {
	j := e.state.JobByID(job)
	if j == nil || len(j.Occurrences()) == 0 {
		return "not in the ledger"
	}
	t := &j.Occurrences()[0].Steps[step].Tasks[index]
	b := &strings.Builder{}
	fmt.Fprintf(b, "job %s, done %v, last run %d, account %s uses %v, plan pending %v", j.State(), t.Done, t.LastRun,
		j.Account, e.state.Usage(j.Account), e.assignPending)
	for _, a := range t.ActiveRuns {
		fmt.Fprintf(b, ", run %d on %s:", a.Run, a.Worker.ID())
		s := e.sessions[a.Worker.Number()]
		if s == nil {
			b.WriteString(" no session")
			continue
		}
		r := s.runs[t.Key(a.Run)]
		fmt.Fprintf(b, " failures %d, leases expire in %v", s.failures, s.leasesExpireBy-e.now)
		if r != nil {
			fmt.Fprintf(b, ", inherited %v, in flight %v, attempts %d, started %v, stop %v, stopped %v",
				r.inherited, r.requestInFlight(), r.attempts, r.startedAt, r.shouldStop, r.stoppedAt)
		}
	}
	return b.String()
}

// CountingPairs returns the number of pairs of kinds that slow each other down.
func (e *Engine) CountingPairs() int { return e.interference.Counting() }

const (
	// MaxGrantedLease is the longest lease that leaders grant.
	MaxGrantedLease = maxGrantedLease
	// FullLeaseAge is the maximum time since a confirmation of the leader at which a lease is granted in full.
	FullLeaseAge = fullLeaseAge
)
