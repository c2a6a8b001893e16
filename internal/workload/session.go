package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// grantedLeaseFraction is the part of the longest lease that is granted. The rest covers that an order is on its way.
	grantedLeaseFraction = 0.8
	// minClockRate is the slowest that a worker's clock may run, as the infrastructure states it.
	minClockRate = 0.98
	// expiryMargin covers the time in which a worker ends what it ran when the lease lapses.
	expiryMargin = 100 * time.Millisecond
	// renewalWait is how long a worker waits for an end. Leases are renewed once in this time, which leaves more than half
	// of a lease for a change of leader.
	renewalWait = 1500 * time.Millisecond
	// startupRenewalWait is holdWait while a subtask that lasts is starting: others may wait for it to be at work.
	startupRenewalWait = 400 * time.Millisecond
	// minRetryDelay and retryPauseMax are the times between attempts to reach a worker that failed.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxMissedHeartbeats is how many liveness reports a worker may miss before it gets no new work.
	maxMissedHeartbeats = 3
)

// worstCaseDuration is how long d on the worstCaseDuration clock of a worker takes.
func worstCaseDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d)/minClockRate) + expiryMargin
}

// session is what the leader knows about a boot of a worker.
type session struct {
	worker *ledger.Worker
	runs   map[ledger.RunKey]*run
	dirty  bool // is in the engine's list

	lastHeartbeat     time.Duration
	heartbeatSequence uint64
	drainDeadline     time.Duration

	// The worker's workerClockMs showed at least workerClockMs at clockAt.
	workerClockMs int64
	clockReadAt   time.Duration
	clockKnown    bool
	// leasesExpireBy is when every lease that was leasesExpireBy has surely lapsed.
	leasesExpireBy time.Duration

	renewalInFlight bool
	nextRenewalAt   time.Duration
	ackedEnd        int64 // last noted end that the worker knows to be noted
	mustList        bool  // ends may be listed although nothing is assigned
	endsPending     bool  // ends were proposed and are not applied yet
	endsProposedAt  time.Duration

	failures              int
	lastAnswerAt          time.Duration
	hasUnassignedRuns     bool // lists runs that are not assigned to it
	consecutiveFailedRuns int  // runs that failed since one was done
	excludedUntil         time.Duration
	reservedForOperation  bool // gets no new work because of its upkeep
}

// run is what the leader knows about an assigned run.
type run struct {
	key     ledger.RunKey
	subtask *ledger.Task
	name    RunName
	// checkpoint is the one with which the run starts.
	checkpoint string
	ticket     string

	inherited       bool // assigned by an earlier leader, and not asked for yet
	requestInFlight bool
	attempts        int
	retryAt         time.Duration
	startedAt       time.Duration // the start was confirmed
	shouldStop      bool
	stoppedAt       time.Duration // the stop was confirmed

	listed         bool
	lastCheckpoint string
	progress       int
	load           int64
	// throttlePercent is the share of its speed at which the run may work, in percent.
	throttlePercent  int
	throttleInFlight bool // a change is under way
	throttledAt      time.Duration
}

func (e *Engine) openSession(w *ledger.Worker) *session {
	s := &session{worker: w, runs: map[ledger.RunKey]*run{}}
	e.sessions[w.Number()] = s
	e.markDirty(s)
	e.cfg.Log.Info("worker is known", "worker", w.ID(), "boot", w.Number(), "pool", w.Pool(), "address", w.Address())
	return s
}

func newRun(k ledger.RunKey, t *ledger.Task) *run {
	return &run{
		key: k, subtask: t, checkpoint: t.Checkpoint, shouldStop: ledger.MustStop(t), throttlePercent: 100,
		name: RunName{Job: t.Step().Occurrence.Job.ID, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index, Run: k.Run},
	}
}

// adoptInheritedRuns takes up the runs that an earlier leader assigned.
func (s *session) adoptInheritedRuns() {
	s.adoptAssignedRuns()
	for _, r := range s.runs {
		r.inherited = true
	}
	s.mustList = true
}

// adoptAssignedRuns takes up runs that were assigned since the last call.
func (s *session) adoptAssignedRuns() {
	for k, t := range s.worker.Runs() {
		if s.runs[k] == nil {
			s.runs[k] = newRun(k, t)
		}
	}
}

// removeEndedRuns takes up recorded ends.
func (s *session) removeEndedRuns(m *workloadpb.Ends) {
	s.endsPending = false
	for k := range s.runs {
		if s.worker.Runs()[k] == nil {
			delete(s.runs, k)
		}
	}
	if m.Noted > 0 {
		for _, e := range m.Ends {
			switch e.How {
			case workloadpb.How_HOW_DONE:
				s.consecutiveFailedRuns = 0
			case workloadpb.How_HOW_FAILED:
				s.consecutiveFailedRuns++
			}
		}
	}
}

func (s *session) target() Target {
	return Target{Incarnation: s.worker.Number(), ID: s.worker.ID(), Address: s.worker.Address(), StartedMs: s.worker.StartedMs()}
}

// requestHeader returns the part that every requestHeader to the worker has, with a lease when the worker's clock is known and it
// answers. An requestHeader to one that doesn't answer must not put off the time at which its runs are given up.
func (e *Engine) requestHeader(s *session) RequestHeader {
	o := RequestHeader{Target: s.target(), FencingToken: e.term}
	if !s.clockKnown || s.failures > 0 {
		return o
	}
	lease := time.Duration(float64(e.cfg.MaxLease) * grantedLeaseFraction)
	o.LeaseExpiryMs = s.workerClockMs + (e.now - s.clockReadAt + lease).Milliseconds()
	s.leasesExpireBy = max(s.leasesExpireBy, s.clockReadAt+worstCaseDuration(e.now-s.clockReadAt+lease))
	return o
}

// recordClock takes a reading of the worker's clock that is no newer than at.
func (s *session) recordClock(clock int64, at time.Duration) {
	if !s.clockKnown || clock+(s.clockReadAt-at).Milliseconds() >= s.workerClockMs {
		s.workerClockMs, s.clockReadAt, s.clockKnown = clock, at, true
	}
}

// recordAnswer notes that the worker answered.
func (e *Engine) recordAnswer(s *session, a Answer) {
	if s.failures > 0 {
		e.cfg.Log.Info("worker answers again", "worker", s.worker.ID(), "boot", s.worker.Number(), "failures", s.failures)
	}
	s.failures, s.lastAnswerAt = 0, a.EndedAt
	s.recordClock(a.ClockMs, a.EndedAt)
}

func (e *Engine) recordFailure(s *session, what string, o Outcome) {
	s.failures++
	if s.failures == 1 {
		e.cfg.Log.Info("worker does not answer", "worker", s.worker.ID(), "boot", s.worker.Number(), "order", what,
			"outcome", o.String(), "runs", len(s.runs), "lease-ends-in", (s.leasesExpireBy - e.now).String())
	}
}

func (s *session) retryDelay() time.Duration {
	return min(minRetryDelay*time.Duration(max(s.failures, 1)), maxRetryDelay)
}

// endIncarnation records that the boot of a session is over, for the given reason.
func (e *Engine) endIncarnation(s *session, reason string) {
	e.cfg.Log.Info("boot of a worker is over", "worker", s.worker.ID(), "boot", s.worker.Number(), "reason", reason, "runs", len(s.runs))
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_Leave{
		Leave: &workloadpb.Leave{Id: s.worker.ID(), BornMs: s.worker.StartedMs()},
	}})
}

// isUsable reports whether a worker may take new runs.
func (e *Engine) isUsable(s *session) bool {
	seen := max(s.lastHeartbeat, s.lastAnswerAt)
	return s.clockKnown && s.failures == 0 && !s.worker.IsDraining() && !s.hasUnassignedRuns && !s.reservedForOperation && e.now >= s.excludedUntil &&
		e.now-seen <= maxMissedHeartbeats*e.cfg.HeartbeatInterval
}

func (s *session) schedulerView() *schedule.Worker {
	v := &schedule.Worker{Worker: s.worker, UnusedCPU: s.worker.Capacity().CPU, Suspect: s.consecutiveFailedRuns > 1}
	for _, t := range s.worker.Runs() {
		step := t.Step().Step
		v.UnusedCPU -= step.Need.GetCpu()
		if step.Fills {
			v.BestEffort++
		}
		if step.TargetMs > 0 {
			v.LatencySensitive++
		}
		if step.Lasting {
			v.LongRunning++
			v.LongRunningUsage = v.LongRunningUsage.Plus(ledger.RequiredCapacity(step))
		}
	}
	return v
}

// handleHeartbeat takes a liveness report.
func (e *Engine) handleHeartbeat(r *workloadpb.Report) {
	w := e.state.WorkerByID(r.GetWorker().GetId())
	if w == nil || w.StartedMs() != r.Worker.BornMs || !e.leading {
		return
	}
	s := e.sessions[w.Number()]
	if s == nil || r.Sequence < s.heartbeatSequence {
		return
	}
	s.heartbeatSequence, s.lastHeartbeat = r.Sequence, e.now
	s.recordClock(r.ClockMs, e.now)
	e.markDirty(s)
	if r.Worker.Draining {
		s.drainDeadline = e.now + time.Duration(r.LeavesInMs)*time.Millisecond
	}
	if s.failures > 0 && len(s.runs) == 0 {
		// Nothing else would find out that an idle worker can be reached again.
		s.failures = 0
	}
}
