package workload

import "time"

const (
	// throttleThreshold is the fraction of its target from which a tail latency counts as near it; best-effort tasks are
	// throttled before the target is reached.
	throttleThreshold = 0.8
	// throttleStepUp is by how many percentage points the throttle of a best-effort task is raised at a time.
	throttleStepUp = 10
	// throttleDownInterval and throttleUpInterval are the shortest times between two steps down and two steps up. Tail
	// latencies cover the last half second, so they rise at once but fall only after that.
	throttleDownInterval = 300 * time.Millisecond
	throttleUpInterval   = time.Second
	// throttleRenewalWait replaces renewalWait for a worker with both latency-sensitive and best-effort tasks.
	throttleRenewalWait = 500 * time.Millisecond
)

// adjustThrottles lowers the throttle of best-effort runs beside a run whose tail latency is near its target, and
// raises it in steps after that.
func (e *Engine) adjustThrottles(s *session) {
	worst := 0.0
	for _, r := range s.runs {
		if target := r.task.Step().Step.TargetMs; target > 0 && r.listed {
			worst = max(worst, float64(r.load)/float64(target))
		}
	}
	bestEffort := s.sortedRuns(func(r *run) bool {
		return r.task.Step().Step.Fills && r.listed && !r.shouldStop && !r.throttleInFlight
	})
	for _, r := range bestEffort {
		want, interval := min(r.throttlePercent+throttleStepUp, 100), throttleUpInterval
		switch {
		case worst >= 1:
			want, interval = 0, throttleDownInterval
		case worst >= throttleThreshold:
			want, interval = r.throttlePercent/2, throttleDownInterval
		}
		if want != r.throttlePercent && e.now-r.throttledAt >= interval {
			r.throttleInFlight = true
			e.addAction(ThrottleRun{RequestHeader: e.requestHeader(s), Name: r.name, Percent: want})
		}
	}
}

// mixesLatencySensitiveAndBestEffort reports whether a worker has both latency-sensitive and best-effort tasks.
func (s *session) mixesLatencySensitiveAndBestEffort() bool {
	latencySensitive, bestEffort := false, false
	for _, r := range s.runs {
		step := r.task.Step().Step
		latencySensitive, bestEffort = latencySensitive || step.TargetMs > 0, bestEffort || step.Fills
	}
	return latencySensitive && bestEffort
}

func (e *Engine) handleThrottleRunResult(ev ThrottleRunResult) {
	s, r := e.findRun(ev.Request.Incarnation, ev.Request.Name)
	if r == nil {
		return
	}
	r.throttleInFlight, r.throttledAt = false, e.now
	if ev.Outcome == Accepted {
		r.throttlePercent = ev.Request.Percent
		if r.timing.run != nil {
			s.kinds.Throttle(e.now, r.timing.run, r.throttlePercent < 100)
		}
		return
	}
	e.cfg.Log.Info("failed to throttle run", "worker", s.worker.ID(), "job", r.name.Job, "percent", ev.Request.Percent,
		"outcome", ev.Outcome.String())
}
