package workload

import "time"

const (
	// paceNear is the part of its target from which a tail counts as near it; what fills is slowed before the target.
	paceNear = 0.8
	// paceRise is by how many percent points what fills gets faster at a time.
	paceRise = 10
	// paceCut and paceHold are the least times between two steps down and two steps up. Tails are a figure of the last
	// half second, and rise at once but fall only after that.
	paceCut  = 300 * time.Millisecond
	paceHold = time.Second
	// paceWait is holdWait for a worker on which something fills beside what serves.
	paceWait = 500 * time.Millisecond
)

// pace slows down what fills beside a run whose tail is near its target, and lets it go on slowly after that.
func (e *Engine) pace(s *session) {
	worst := 0.0
	for _, r := range s.runs {
		if target := r.subtask.Step().Step.TargetMs; target > 0 && r.listed {
			worst = max(worst, float64(r.load)/float64(target))
		}
	}
	for _, r := range s.runs {
		if !r.subtask.Step().Step.Fills || !r.listed || r.shouldStop || r.throttleInFlight {
			continue
		}
		want, hold := min(r.throttlePercent+paceRise, 100), paceHold
		switch {
		case worst >= 1:
			want, hold = 0, paceCut
		case worst >= paceNear:
			want, hold = r.throttlePercent/2, paceCut
		}
		if want != r.throttlePercent && e.now-r.throttledAt >= hold {
			r.throttleInFlight = true
			e.addAction(ThrottleRun{RequestHeader: e.requestHeader(s), Name: r.name, Percent: want})
		}
	}
}

// shared reports whether something fills beside what serves on a worker.
func (s *session) shared() bool {
	serves, fills := false, false
	for _, r := range s.runs {
		step := r.subtask.Step().Step
		serves, fills = serves || step.TargetMs > 0, fills || step.Fills
	}
	return serves && fills
}

func (e *Engine) onPace(ev ThrottleRunResult) {
	s, r := e.findRun(ev.Request.Incarnation, ev.Request.Name)
	if r == nil {
		return
	}
	r.throttleInFlight, r.throttledAt = false, e.now
	if ev.Outcome == Accepted {
		r.throttlePercent = ev.Request.Percent
		return
	}
	e.cfg.Log.Info("change of speed was not carried out", "worker", s.worker.ID(), "job", r.name.Job, "percent", ev.Request.Percent,
		"outcome", ev.Outcome.String())
}
