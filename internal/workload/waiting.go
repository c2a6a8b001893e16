package workload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
)

// waitLogInterval is the time between log lines on a long-running step with tasks that don't run.
const waitLogInterval = time.Second

// waitLog records since when long-running steps have had tasks that don't run.
type waitLog struct {
	since    map[*ledger.StepRun]time.Duration
	loggedAt time.Duration
}

// logWaits writes a line for each long-running step whose tasks don't run, with the reason for each worker of the pool.
func (e *Engine) logWaits() {
	if e.now-e.waits.loggedAt < waitLogInterval {
		return
	}
	since := map[*ledger.StepRun]time.Duration{}
	for _, j := range e.state.ActiveJobs() {
		for _, o := range j.Occurrences() {
			for _, s := range o.Steps {
				if !s.Step.Lasting || !s.Ready() {
					continue
				}
				unreachable := e.countUnreachable(s)
				if s.Waiting()+unreachable == 0 {
					continue
				}
				since[s] = e.now
				if first, ok := e.waits.since[s]; ok {
					since[s] = first
					e.logWait(s, unreachable, e.now-first)
				}
			}
		}
	}
	e.waits = waitLog{since: since, loggedAt: e.now}
}

// countUnreachable returns the number of tasks of a step that are assigned to a worker that doesn't answer.
func (e *Engine) countUnreachable(s *ledger.StepRun) int {
	n := 0
	for i := range s.Tasks {
		for _, a := range s.Tasks[i].ActiveRuns {
			if w := e.sessions[a.Worker.Number()]; w != nil && w.failures > 0 {
				n++
			}
		}
	}
	return n
}

func (e *Engine) logWait(s *ledger.StepRun, unreachable int, waited time.Duration) {
	j := s.Occurrence.Job
	q := e.state.QueueOf(j)
	in := schedule.Input{Allowed: e.adviserAllows}
	assigned := schedule.TasksOnWorkers(s)
	reasons := map[string]int{}
	for _, w := range e.state.Workers() {
		if w.Pool() != q.GetPool() {
			continue
		}
		ws := e.sessions[w.Number()]
		reason := e.exclusion(ws)
		if reason == "" {
			v, keptFor := ws.schedulerView(), e.keptFor[w.Number()]
			reason = in.Misfit(s, v, w.Free(), assigned[w.Number()])
			if reason == "" && (v.IsKeptFromJob(j.Number) || keptFor != 0 && keptFor != j.Number) {
				reason = "kept-for-isolated-run"
			}
		}
		if reason == "" {
			reason = "has-room"
		}
		reasons[reason]++
		e.cfg.IncrementCounter("hibiscusroute_long_running_waits_total", "reason", reason)
	}
	e.cfg.Log.Info("long-running tasks don't run", "job", j.ID, "step", s.Number, "waiting", s.Waiting(),
		"on-unreachable-workers", unreachable, "for", waited.String(), "within-quota", e.isWithinQuota(s),
		"pool", q.GetPool(), "workers", formatReasons(reasons))
}

// formatReasons returns the number of workers for each reason, ordered by reason.
func formatReasons(reasons map[string]int) string {
	var list []string
	for _, r := range slices.Sorted(maps.Keys(reasons)) {
		list = append(list, fmt.Sprintf("%s:%d", r, reasons[r]))
	}
	return strings.Join(list, " ")
}
