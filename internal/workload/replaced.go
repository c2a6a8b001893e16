package workload

import (
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// handleOtherIncarnation handles the answer of another incarnation to a request for the incarnation of a session. Its
// runs may have crashed it.
func (e *Engine) handleOtherIncarnation(s *session, request string, a Answer) {
	if a.ExecutedBy > 0 {
		e.handleReplacement(s, a.ExecutedBy)
		return
	}
	s.nextRenewalAt = e.now + proposalTimeout
	e.endIncarnation(s, "another incarnation answered a "+request, &workloadpb.Leave{Lost: true})
}

// handleReplacement records that a later incarnation with the same ID has replaced that of a session. It reports whether
// the later one must not be registered yet, because it may execute runs that were requested from this one.
func (e *Engine) handleReplacement(s *session, startedMs int64) (mustSettle bool) {
	if startedMs > s.successorMs {
		s.successorMs, s.settled, s.replacedAt, s.successorHeartbeat = startedMs, false, e.now, nil
		s.renewalInFlight, s.pendingEnd = false, 0 // Its answer is not waited for, and lists of the successor have other numbers.
		// Without doubtful runs, the heartbeat of the later incarnation ends this one.
		s.nextRenewalAt = e.now + proposalTimeout
		if s.hasDoubtfulRuns() {
			s.nextRenewalAt = e.now
		}
		e.cfg.Log.Info("a later incarnation has replaced a worker", "worker", s.worker.ID(), "boot", s.worker.Number(),
			"started-ms", startedMs, "runs", len(s.runs), "doubtful-runs", len(s.sortedRuns((*run).isDoubtful)))
	}
	if e.now <= s.replacedAt+ledger.MaxRequestDelay {
		// A late start has the longest lease, as the later incarnation limits it by its own clock, which started anew.
		s.leasesExpireBy = max(s.leasesExpireBy, e.now+worstCaseDuration(e.cfg.MaxLease))
	}
	e.markDirty(s)
	if s.settled {
		return s.endsPending || e.hasLateStarts(s)
	}
	return s.hasDoubtfulRuns()
}

// isDoubtful reports whether a later incarnation may execute the run, because a request to start it has no answer that is
// certainly of this one.
func (r *run) isDoubtful() bool { return r.doubtful || r.unattributed || r.startInFlight }

func (s *session) hasDoubtfulRuns() bool { return len(s.sortedRuns((*run).isDoubtful)) > 0 }

// endReplaced asks the later incarnation for its runs until it has none that this one may have been asked to start, and then
// proposes to record that this one has ended.
func (e *Engine) endReplaced(s *session) {
	if !s.endsPending && s.hasDoubtfulRuns() {
		// The others ended with this incarnation, so their tasks needn't wait.
		for _, r := range s.runs {
			if !r.isDoubtful() {
				r.giveUpAsLost()
			}
		}
		e.endGivenUpRuns(s)
	}
	switch {
	case s.endsPending || e.now < s.nextRenewalAt:
		return
	case e.now > s.leasesExpireBy: // The later incarnation has ended these runs.
	case !s.settled && s.hasDoubtfulRuns():
		if !s.renewalInFlight {
			s.renewalInFlight, s.renewalSentAt, s.nextRenewalAt = true, e.now, e.now+minRetryDelay
			// The numbers of ends start anew, so none is acknowledged.
			e.addAction(RenewLease{RequestHeader: e.requestHeader(s)})
		}
		return
	}
	if e.hasLateStarts(s) {
		e.giveUpLateRuns(s)
		return
	}
	s.nextRenewalAt = e.now + proposalTimeout
	if s.successorHeartbeat != nil && e.now-s.successorSeenAt <= e.cfg.HeartbeatInterval {
		e.cfg.Log.Info("registering the later incarnation of a worker", "worker", s.worker.ID(), "boot", s.worker.Number(),
			"started-ms", s.successorMs, "runs", len(s.runs))
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Report{Report: s.successorHeartbeat}})
		return
	}
	e.endIncarnation(s, "a later incarnation has replaced it", &workloadpb.Leave{Lost: true})
}

// settleRuns stops what the later incarnation of a worker executes, and records the runs that are done there, so that their
// tasks don't start again. Only a list that was requested with a higher fencing token than the runs shows them all. The
// other ends are recorded once that incarnation is registered.
func (e *Engine) settleRuns(s *session, ev RenewLeaseResult) {
	if ev.ExecutedBy == 0 || ev.ExecutedBy != s.successorMs || ev.Request.FencingToken < e.tokenFor(s) {
		return
	}
	for _, row := range ev.Running {
		e.addAction(StopRun{RequestHeader: e.requestHeader(s), Name: row.Name})
		e.resolveStart(s, row.Name)
	}
	s.settled = len(ev.Running) == 0
	m := &workloadpb.Ends{Worker: s.worker.Number()}
	for _, row := range ev.Ended {
		e.resolveStart(s, row.Name)
		if k, ok := e.runKey(row.Name); ok && s.runs[k] != nil && row.How == workloadpb.How_HOW_DONE {
			m.Ends = append(m.Ends, &workloadpb.End{
				Subtask: k.TaskMessage(), Run: k.Run, How: row.How, Checkpoint: row.Checkpoint,
			})
		}
	}
	e.proposeEnds(s, m)
}

// resolveStart notes that a start of a run without an answer was carried out by the later incarnation, as its list shows.
func (e *Engine) resolveStart(s *session, n RunName) {
	k, ok := e.runKey(n)
	if r := s.runs[k]; ok && r != nil {
		e.lateStarts.resolve(s.worker.ID(), r, true)
		if r.startCopies == 1 {
			r.lateUntil = 0
		}
	}
}

// forgetSuccessor keeps the heartbeat of a later incarnation that has left from registering it.
func (e *Engine) forgetSuccessor(m *workloadpb.Leave) {
	if w := e.state.WorkerByID(m.Id); w != nil {
		if s := e.sessions[w.Number()]; s != nil && s.successorMs == m.BornMs {
			s.successorHeartbeat = nil
		}
	}
}
