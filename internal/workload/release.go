package workload

import "github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"

// releaseUnstartableRuns gives up the runs that have not started and mustn't any more, because their worker leaves, sends
// no heartbeats, its zone is evacuated, or its capacity has shrunk since they were assigned. Runs that have started stay.
func (e *Engine) releaseUnstartableRuns(s *session) {
	switch {
	case !e.state.MayTakeRuns(s.worker) || s.failures == 0 && e.isCapacityOutdated(s):
		for _, r := range s.sortedRuns((*run).isAwaitingStart) {
			e.releaseRun(s, r)
		}
		return
	case !s.worker.IsOvercommitted():
		return
	}
	free := s.worker.Capacity()
	for _, r := range s.runs {
		if !r.givenUp && !r.isAwaitingStart() {
			free = free.Minus(r.requiredCapacity())
		}
	}
	// Runs whose start was requested may be on the worker already, so the others get what they leave.
	for _, requested := range []bool{true, false} {
		for _, r := range s.sortedRuns((*run).isAwaitingStart) {
			if r.attempts > 0 != requested {
				continue
			}
			if !r.requiredCapacity().Within(free) {
				e.releaseRun(s, r)
			}
			if !r.givenUp {
				free = free.Minus(r.requiredCapacity())
			}
		}
	}
}

// isAwaitingStart reports whether the next request for a run is its start.
func (r *run) isAwaitingStart() bool {
	return !r.inherited && !r.requestInFlight() && !r.shouldStop && !r.givenUp && r.startedAt == 0
}

func (r *run) requiredCapacity() ledger.Resources { return ledger.RequiredCapacity(r.task.Step().Step) }

// releaseRun gives up a run that is awaiting its start. If an earlier request may still be carried out, the run is
// stopped, but not before a list shows that it doesn't work yet.
func (e *Engine) releaseRun(s *session, r *run) {
	switch {
	case r.attempts == 0 && !r.repeated:
		r.givenUp = true
	case r.unlistedAt > r.requestedAt:
		r.shouldStop = true
	default:
		r.retryAt = max(r.retryAt, e.now+minRetryDelay)
		s.mustList = true
		return
	}
	e.cfg.Log.Info("giving up a run that its worker can't start any more", "worker", s.worker.ID(),
		"draining", s.worker.IsDraining(), "zone-evacuated", e.isEvacuated(s), "job", r.name.Job, "step", r.name.Step, "index", r.name.Index,
		"run", r.name.Run, "requested", r.attempts > 0)
	e.releaseGang(r)
}

// releaseGang releases the other runs of a gang that can't become complete.
func (e *Engine) releaseGang(r *run) {
	st := r.task.Step()
	if !st.Step.Gang {
		return
	}
	for i := range st.Tasks {
		t := &st.Tasks[i]
		for _, a := range t.ActiveRuns {
			o := e.sessions[a.Worker.Number()]
			if o == nil || a.Run != r.key.Run {
				continue
			}
			m := o.runs[t.Key(a.Run)]
			if m == nil || m == r || m.givenUp {
				continue
			}
			if m.isAwaitingStart() && m.attempts == 0 && !m.repeated {
				m.givenUp = true
			} else {
				m.shouldStop = true
			}
			e.markDirty(o)
		}
	}
}
