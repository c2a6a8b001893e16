package workload

import "github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"

// handleOtherIncarnation handles the answer of another incarnation to a request for the incarnation of a session. Its
// runs may have crashed it.
func (e *Engine) handleOtherIncarnation(s *session, request string, a Answer) {
	if a.Executed {
		e.handleReplacement(s)
		return
	}
	s.nextRenewalAt = e.now + proposalTimeout
	e.endIncarnation(s, "another incarnation answered a "+request, &workloadpb.Leave{Lost: true})
}

// handleReplacement records that a later incarnation with the same ID has replaced that of a session. It reports whether
// runs have to be stopped there before this incarnation may end and its tasks may start elsewhere.
func (e *Engine) handleReplacement(s *session) (mustStopRuns bool) {
	if !s.replaced {
		s.replaced = true
		// The later incarnation limits a lease by its own clock, which started anew.
		s.leasesExpireBy = max(s.leasesExpireBy, e.now+worstCaseDuration(e.cfg.MaxLease))
		// Usually the heartbeat of the later incarnation ends this one.
		s.nextRenewalAt = e.now + proposalTimeout
		for _, r := range s.runs {
			r.stoppedAt = 0 // A stop holds only for the incarnation that acknowledged it.
		}
		e.cfg.Log.Info("a later incarnation has replaced a worker", "worker", s.worker.ID(), "boot", s.worker.Number(),
			"runs", len(s.runs), "doubtful-runs", len(s.sortedRuns(e.mayRunAtReplacement)))
	}
	e.markDirty(s)
	if s.settled {
		return s.endsPending
	}
	return s.hasDoubtfulRuns() || len(s.sortedRuns(e.mayRunAtReplacement)) > 0
}

// mayRunAtReplacement reports whether a later incarnation may execute a run that was requested from this one.
func (e *Engine) mayRunAtReplacement(r *run) bool {
	if r.requestInFlight {
		return true
	}
	return (r.doubtful || r.inherited) && (r.stoppedAt == 0 || e.now <= r.stoppedAt+e.cfg.StopTimeout)
}

// endReplaced stops the runs that the later incarnation may execute, asks it which of them are done, and then proposes to
// record that this one has ended.
func (e *Engine) endReplaced(s *session) {
	pending := s.sortedRuns(e.mayRunAtReplacement)
	switch {
	case s.endsPending:
		return
	case e.now > s.leasesExpireBy: // The later incarnation has ended these runs.
	case len(pending) > 0:
		for _, r := range pending {
			if !r.requestInFlight && r.stoppedAt == 0 && e.now >= r.retryAt {
				r.requestInFlight = true
				r.attempts++
				e.addAction(StopRun{RequestHeader: e.requestHeader(s), Name: r.name})
			}
		}
		s.nextRenewalAt = e.now
		return
	case !s.settled && s.hasDoubtfulRuns():
		if !s.renewalInFlight && e.now >= s.nextRenewalAt {
			s.asked, s.renewalInFlight, s.renewalSentAt, s.nextRenewalAt = true, true, e.now, e.now+minRetryDelay
			// The numbers of ends start anew, so none is acknowledged.
			e.addAction(RenewLease{RequestHeader: e.requestHeader(s)})
		}
		return
	}
	if e.now < s.nextRenewalAt {
		return
	}
	s.nextRenewalAt = e.now + proposalTimeout
	e.endIncarnation(s, "a later incarnation has replaced it", &workloadpb.Leave{Lost: true})
}

// recordEndsAtReplacement records the runs that are done at the later incarnation, so that their tasks don't start again.
// The other ends are recorded once that incarnation is registered.
func (e *Engine) recordEndsAtReplacement(s *session, ev RenewLeaseResult) {
	if !ev.Executed || !s.asked {
		return
	}
	s.settled = true
	m := &workloadpb.Ends{Worker: s.worker.Number()}
	for _, row := range ev.Ended {
		if k, ok := e.runKey(row.Name); ok && s.runs[k] != nil && row.How == workloadpb.How_HOW_DONE {
			m.Ends = append(m.Ends, &workloadpb.End{
				Subtask: k.TaskMessage(), Run: k.Run, How: row.How, Checkpoint: row.Checkpoint,
			})
		}
	}
	e.proposeEnds(s, m)
}

func (s *session) hasDoubtfulRuns() bool {
	for _, r := range s.runs {
		if r.doubtful || r.inherited {
			return true
		}
	}
	return false
}
