package workload

import (
	"cmp"
	"strconv"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/interference"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// maxTimingError is the uncertainty of a run time, as a share of it, up to which it is used.
	maxTimingError = 0.1
	// tailLatencyPeriod is the time that a tail latency covers, and maxTailLatencyAge the longest time between two lists for
	// which it is taken to tell of what was beside the task meanwhile.
	tailLatencyPeriod = 500 * time.Millisecond
	maxTailLatencyAge = 2 * time.Second
)

// runTiming is what is known about a run for learning which kinds of tasks slow each other down.
type runTiming struct {
	kind *interference.Kind
	// run is set while the run is on the worker, as far as is known.
	run *interference.Run
	// isTimed is set if it is known when the run started, and startError is the uncertainty of that.
	isTimed    bool
	startError time.Duration
	ended      bool
}

// kindName returns the name of the kind of the tasks of a step.
func kindName(s *ledger.StepRun) string {
	return cmp.Or(s.Step.Image, s.Occurrence.Job.Queue+"/"+strconv.Itoa(int(s.Number)))
}

// kindOf returns the kind of the tasks of a step, nil if too many others are known.
func (e *Engine) kindOf(s *ledger.StepRun) *interference.Kind {
	return e.interference.Kind(e.now, kindName(s), s.Step.Fills || s.Step.TargetMs > 0)
}

// kindsFor returns the kind of the tasks of a step and the kinds that they should not run beside, as sets.
func (e *Engine) kindsFor(s *ledger.StepRun) (own, avoided uint64) {
	if e.interference.Counting() == 0 {
		return 0, 0
	}
	k := e.kindOf(s)
	return uint64(k.Set()), uint64(e.interference.Avoided(k))
}

// noteStarted records that a run is on the worker.
func (e *Engine) noteStarted(s *session, r *run, at time.Duration) {
	t := &r.timing
	if t.run != nil || t.ended {
		return
	}
	t.run = s.kinds.Start(at, t.kind)
	s.kinds.Throttle(at, t.run, r.throttlePercent < 100)
}

// noteStartResult records that a worker acknowledged the start of a run. The run time is known only if this was the only
// request, and the run starts from the beginning.
func (e *Engine) noteStartResult(s *session, r *run, ev StartRunResult) {
	if r.timing.run == nil && !r.repeated && !r.doubtful && r.attempts == 1 && r.checkpoint == "" {
		r.timing.isTimed, r.timing.startError = true, ev.EndedAt-ev.SentAt
	}
	e.noteStarted(s, r, ev.EndedAt)
}

// noteListed records that a list shows a run, with the tail latency of a latency-sensitive task.
func (e *Engine) noteListed(s *session, r *run, row RunStatus, at time.Duration) {
	t := &r.timing
	if t.kind.Set() == 0 { // It had no place, or has lost it.
		e.noteGone(s, r, at)
		t.kind, t.ended, t.isTimed = e.kindOf(r.task.Step()), false, false
	}
	e.noteStarted(s, r, at)
	if t.run == nil || r.task.Step().Step.TargetMs <= 0 { // There is none if a list has shown the end.
		return
	}
	switch d := at - t.run.Since(); {
	case d < tailLatencyPeriod*9/10: // A list may come a little early.
		return
	case d <= maxTailLatencyAge && row.Percent == 100 && row.Load > 0:
		e.interference.Observe(at, s.kinds, t.run, 0, float64(row.Load))
	}
	s.kinds.Restart(at, t.run)
}

// noteEnded records that a list shows the end of a run, with the run time of an ordinary task that has succeeded. The worker
// may have ended it at any time since the last list if the request for this one was sent later.
func (e *Engine) noteEnded(s *session, r *run, how workloadpb.How, sentAt, at time.Duration) {
	t := &r.timing
	step := r.task.Step().Step
	if t.run != nil && t.isTimed && how == workloadpb.How_HOW_DONE && !step.Lasting && step.TargetMs <= 0 && !r.shouldStop &&
		!isOffRack(r.task, s.worker) {
		d := at - t.run.Since()
		uncertain := t.startError + max(sentAt-s.listAnsweredAt, 0)
		if s.listAnsweredAt > 0 && float64(uncertain) <= maxTimingError*float64(d) && r.throttledAt == 0 {
			e.interference.Observe(at, s.kinds, t.run, r.key.Job, d.Seconds())
		}
	}
	e.noteGone(s, r, at)
}

// noteGone records that a run isn't on the worker any more.
func (e *Engine) noteGone(s *session, r *run, at time.Duration) {
	if r.timing.run != nil {
		s.kinds.End(at, r.timing.run)
	}
	r.timing.run, r.timing.ended = nil, true
}

// isOffRack reports whether a task on a worker is slower because it is in another rack than its data, or than other tasks of
// a step that share a rack.
func isOffRack(t *ledger.Task, w *ledger.Worker) bool {
	s := t.Step()
	if s.Step.DataRack != "" && !w.HasLabel(s.Step.DataRack) {
		return true
	}
	if !s.Step.RackSensitive {
		return false
	}
	for i := range s.Tasks {
		for _, a := range s.Tasks[i].ActiveRuns {
			if a.Worker.Rack() != w.Rack() {
				return true
			}
		}
	}
	return false
}

// updateInterference evaluates what was learned, and logs the pairs of kinds that begin or cease to count.
func (e *Engine) updateInterference() {
	for _, c := range e.interference.Update(e.now) {
		change := "begins"
		if !c.Counts {
			change = "ceases"
		}
		e.cfg.Log.Info("interference of a pair of kinds changed", "kind", c.Kind, "slowed-by", c.Other, "change", change,
			"reason", c.Reason, "ratio", c.Ratio, "runs-with", c.With, "runs-without", c.Without, "workers", c.Workers,
			"pairs", e.interference.Counting())
		e.cfg.IncrementCounter("hibiscusroute_interference_changes_total", "change", change)
		e.cfg.SetGauge("hibiscusroute_interference_pairs", float64(e.interference.Counting()))
	}
}

// countDiverted counts tasks that were assigned to another worker because of interference.
func (e *Engine) countDiverted(s *ledger.StepRun, n int) {
	for range n {
		e.cfg.IncrementCounter("hibiscusroute_interference_placements_total", "queue", s.Occurrence.Job.Queue)
	}
}
