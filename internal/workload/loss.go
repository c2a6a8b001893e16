package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// harmlessAfter is how long a run has to work until other tasks that may crash the worker start beside it. Tasks that
	// crash workers do so soon after their start.
	harmlessAfter = 1500 * time.Millisecond
	// suspectRenewalWait replaces renewalWait until the runs of tasks that have lost workers are known to be harmless.
	suspectRenewalWait = 500 * time.Millisecond
)

// isHarmless reports whether a run has worked for so long that it doesn't crash the worker.
func (s *session) isHarmless(r *run) bool {
	return r.listed && s.confirmedAt-r.startedAt >= harmlessAfter
}

// recordHarmlessTasks records the tasks of a worker that have lost other workers, but let this one work.
func (e *Engine) recordHarmlessTasks(s *session) {
	m := &workloadpb.HarmlessTasks{}
	for _, r := range s.sortedRuns(func(r *run) bool {
		return len(r.task.Losses()) > 0 && s.isHarmless(r) && (r.harmlessAt == 0 || e.now-r.harmlessAt >= proposalTimeout)
	}) {
		r.harmlessAt = e.now
		m.Tasks = append(m.Tasks, r.key.TaskMessage())
	}
	if len(m.Tasks) > 0 {
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_HarmlessTasks{HarmlessTasks: m}})
	}
}

// suspectWait returns how long a lease renewal may wait so that the runs of tasks that have lost workers are known to be
// harmless as soon as they are.
func (s *session) suspectWait(now time.Duration) time.Duration {
	wait := renewalWait
	for _, r := range s.runs {
		if len(r.task.Losses()) == 0 || s.isHarmless(r) {
			continue
		}
		wait = min(wait, suspectRenewalWait)
		if due := r.startedAt + harmlessAfter; r.startedAt > 0 && s.renewalSentAt < due {
			wait = min(wait, max(due-now, 0))
		}
	}
	return wait
}

// logLosses writes a line for each task that has lost several workers, and for each crash under it.
func (e *Engine) logLosses(events []ledger.LossEvent) {
	for _, ev := range events {
		l := ev.Loss
		event := "lost"
		switch {
		case ev.GivenUp:
			event = "given-up"
		case ev.Crashed:
			event = "crashed"
		}
		e.cfg.IncrementCounter("hibiscusroute_worker_losses_total", "event", event)
		if ev.Losses > 1 || ev.GivenUp {
			st := ev.Task.Step()
			e.cfg.Log.Info("workers were lost under a task", "job", st.Occurrence.Job.ID, "occurrence", st.Occurrence.Number,
				"step", st.Number, "index", ev.Task.Index, "losses", ev.Losses, "worker", l.Worker, "boot", l.Incarnation,
				"address", l.Address, "isolated", l.Isolated, "event", event)
		}
	}
}
