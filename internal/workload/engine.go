package workload

import (
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/forecast"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/interference"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// maxAssignmentsPerCommand keeps a command far below the maximum size of a log entry.
	maxAssignmentsPerCommand = 512
	// proposalTimeout is the time after which a command that was proposed but not applied is decided again. A leader
	// without a quorum steps down within an election timeout of at most 1 s.
	proposalTimeout = 3 * time.Second
	// jobExpiryInterval is the time between checks for ended jobs whose retention has passed.
	jobExpiryInterval = time.Second
	// sessionScanInterval is the time between checks of all sessions for work that becomes due without an event. It is
	// half of the shortest retry delay.
	sessionScanInterval = minRetryDelay / 2
	// replanInterval bounds the time between scheduling passes while tasks wait, because some conditions change with
	// time alone.
	replanInterval = 200 * time.Millisecond
	// planPause is the time between two scheduling passes for each worker and each occurrence that the first one looked at.
	// Passes cost time for each of them, and while many tasks wait, some change gives reason for a pass at any time.
	planPause = 20 * time.Microsecond
)

// Config holds the settings of the engine. The durations come from the deployment.
type Config struct {
	// WallClock returns the time of day, by which scheduled jobs are due.
	WallClock func() time.Time
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
	// StopTimeout is how long a run may continue after it was told to stop.
	StopTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats of a worker.
	HeartbeatInterval time.Duration
	// MaintenanceDuration is how long an instance is out of service for maintenance.
	MaintenanceDuration time.Duration
	// MoveDuration is how long an instance is out of service when it moves to another pool.
	MoveDuration time.Duration
	// TakeoverDelay is how long a new leader waits before its first request for an instance.
	TakeoverDelay time.Duration
	// MaxOperationDelay is how late an operation on an instance that got no answer may be carried out.
	MaxOperationDelay time.Duration
	// JobRetention is how long the state of an ended job is kept at least.
	JobRetention time.Duration
	// JobOrder is the order in which jobs are served.
	JobOrder schedule.JobOrder
	// LimitsBacklog rejects jobs that can't end within three times their latency objective beside the accepted work.
	LimitsBacklog bool
	// MaxJobBytes bounds what accepted jobs occupy in memory, in bytes; 0 means no limit.
	MaxJobBytes int64
	// IncrementCounter adds one to a counter with a label, ObserveHistogram adds a value to a histogram, SetGauge sets a
	// gauge; all may be nil.
	IncrementCounter func(name, label, value string)
	ObserveHistogram func(name string, v float64)
	SetGauge         func(name string, v float64)
	Log              logr.Logger

	// withoutRhythm makes the size of pools depend on accepted and arriving jobs alone, which tests compare with.
	withoutRhythm bool
}

// Engine decides for the leader which runs workers execute and which instances are moved or maintained. It must be
// used from the control loop only.
type Engine struct {
	cfg   Config
	state *ledger.State

	leading               bool
	term                  uint64
	leadingSince          time.Duration
	now                   time.Duration
	sessions              map[uint64]*session
	dirtySessions         []*session // had an event since the last decision
	scannedAt             time.Duration
	workerChanges         uint64 // ledger.State.WorkerChanges that the sessions reflect
	actions               []kernel.Action
	commands              []kernel.Command
	pendingEnds           []*workloadpb.Ends // to be proposed with the next command
	assignPending         bool
	plannedAt             time.Duration
	planAgainAt           time.Duration
	plannedChanges        uint64
	keptFor               map[uint64]uint64 // job that the last scheduling pass kept a worker for, by incarnation
	jobsExpiredAt         time.Duration
	occurrencesProposedAt time.Duration
	inherited             inheritedLeases
	advice                advice
	fleet                 fleet
	shares                accountShares
	forecasts             *forecast.Forecaster
	waits                 waitLog
	rejections            rejections
	lateStarts            lateStartTable
	waitingSteps          waitingSteps
	evacuation            zoneEvacuation
	admission             admission
	interference          *interference.Table
	backlog               backlogTable
	poolViews             []*poolView // of the last decision on the sizes of pools, for explanations
	overload              string      // reason to reject new jobs, as last logged
	// assigns counts the Assign commands that this leader has proposed, lastAssign is the number of the last one that was applied.
	assigns, lastAssign uint64
}

func newEngine(state *ledger.State) *Engine {
	e := &Engine{state: state, interference: interference.New()}
	e.Configure(Config{})
	return e
}

// Configure replaces the settings; zero values get defaults that suit tests.
func (e *Engine) Configure(cfg Config) {
	for _, d := range []struct {
		to    *time.Duration
		value time.Duration
	}{
		{&cfg.MaxLease, 6 * time.Second},
		{&cfg.StopTimeout, 200 * time.Millisecond},
		{&cfg.HeartbeatInterval, 1500 * time.Millisecond},
		{&cfg.MaintenanceDuration, 2 * time.Second},
		{&cfg.MoveDuration, 1500 * time.Millisecond},
		{&cfg.TakeoverDelay, 3 * time.Second},
		{&cfg.JobRetention, 2 * time.Minute},
	} {
		if *d.to == 0 {
			*d.to = d.value
		}
	}
	cfg.MaxOperationDelay = max(cfg.MaxOperationDelay, cfg.TakeoverDelay+takeoverMargin)
	if cfg.IncrementCounter == nil {
		cfg.IncrementCounter = func(string, string, string) {}
	}
	if cfg.ObserveHistogram == nil {
		cfg.ObserveHistogram = func(string, float64) {}
	}
	if cfg.SetGauge == nil {
		cfg.SetGauge = func(string, float64) {}
	}
	if cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	if cfg.Log.GetSink() == nil {
		cfg.Log = logr.Discard()
	}
	e.cfg = cfg
}

// State returns the replicated state.
func (e *Engine) State() *ledger.State { return e.state }

func (e *Engine) wallClockMs() int64 { return e.cfg.WallClock().UnixMilli() }

// resetLeaderState drops the state of an earlier term and opens a session for each worker. Assigned runs may already
// execute, so a worker is asked for its runs before any request about them.
func (e *Engine) resetLeaderState(now time.Duration) {
	*e = Engine{
		cfg: e.cfg, state: e.state, leadingSince: now, now: now, scannedAt: now - sessionScanInterval,
		sessions: map[uint64]*session{}, interference: interference.New(),
	}
	e.advice.reset()
	e.fleet.reset()
	e.shares.reset()
	if e.cfg.LimitsBacklog {
		e.shares.restore(e.state, now, e.wallClockMs())
	}
	e.forecasts = forecast.New(forecast.Config{MoveDuration: e.cfg.MoveDuration, WithoutRhythm: e.cfg.withoutRhythm})
	e.rejections = rejections{}
	e.fleet.startClockMs = e.state.Clock()
	for _, w := range e.state.Waves() {
		e.fleet.waveKnownAt[w.Number] = now
		for _, name := range w.Ordered {
			e.fleet.maybeMaintained[waveInstance{w.Number, name}] = true
		}
	}
	e.inheritLateStarts()
	for _, w := range e.state.Workers() {
		s := e.openSession(w)
		s.lastHeartbeat = now
		e.adoptInheritedRuns(s)
	}
	e.inheritOperations()
}

func (e *Engine) handleEvent(now time.Duration, ev kernel.Event) {
	e.now = now
	switch ev := ev.(type) {
	case kernel.LeadershipGained:
		e.leading, e.term = true, ev.Term
		e.inheritLeases(ev.PreviousTerm)
	case kernel.LeadershipLost:
		e.leading = false
		e.cfg.SetGauge("hibiscusroute_interference_pairs", 0) // The next leader learns anew.
	case kernel.CommitDelay:
		e.admission.commitDelay, e.admission.appliedBefore = ev.Delay, ev.AppliedBefore
	case RenewLeaseResult:
		e.admission.observe(ev.EndedAt, now)
		e.handleRenewLeaseResult(ev)
	case StartRunResult:
		e.admission.observe(ev.EndedAt, now)
		e.handleStartRunResult(ev)
	case StopRunResult:
		e.handleStopRunResult(ev)
	case ThrottleRunResult:
		e.handleThrottleRunResult(ev)
	case AdviceResult:
		e.handleAdviceResult(ev)
	case ListInstancesResult:
		e.handleListInstancesResult(ev)
	case MoveInstanceResult:
		e.handleOperationResult(ev.Request.Instance, ev.Outcome)
	case MaintainInstanceResult:
		e.handleOperationResult(ev.Request.Instance, ev.Outcome)
	}
}

func (e *Engine) addAction(a kernel.Action) { e.actions = append(e.actions, a) }

// propose proposes a command after the ends that were decided on before it.
func (e *Engine) propose(m *workloadpb.Command) {
	e.flushEnds()
	e.addCommand(m)
}

func (e *Engine) addCommand(m *workloadpb.Command) {
	m.Term, m.SteadyMs = e.term, e.now.Milliseconds()
	m.ResolvedAssigns, m.ListedAssigns = e.lastAssignBefore(e.lateStarts.open), e.lastAssignBefore(e.lateStarts.unlisted)
	e.lateStarts.proposedResolved, e.lateStarts.proposedResolvedAt = m.ResolvedAssigns, e.now
	c, err := kernel.NewCommand(Name, "", m)
	if err != nil {
		e.cfg.Log.Error(err, "failed to encode workload command")
		return
	}
	e.commands = append(e.commands, c)
}

// decide returns the commands and actions that are due now.
func (e *Engine) decide(now time.Duration) kernel.Decision {
	e.now = now
	if !e.leading {
		return kernel.Decision{}
	}
	e.recordLeaseBound()
	e.recordLateStarts()
	e.evacuateZones()
	e.advanceSessions()
	e.expireEndedJobs()
	e.startDueOccurrences()
	e.updateAdvice()
	e.advanceFleet()
	e.updateInterference()
	e.assignTasks()
	e.logWaits()
	e.logOverload()
	e.proposeResolvedAssigns()
	e.flushEnds()
	d := kernel.Decision{Commands: e.commands, Actions: e.actions}
	e.commands, e.actions = nil, nil
	return d
}

// advanceSessions advances the sessions that had an event since the last decision, and all sessions periodically.
func (e *Engine) advanceSessions() {
	if e.now-e.scannedAt >= sessionScanInterval {
		e.scannedAt = e.now
		for _, w := range e.state.Workers() {
			e.advanceSession(e.sessions[w.Number()])
		}
	} else {
		for _, s := range e.dirtySessions {
			if e.sessions[s.worker.Number()] == s {
				e.advanceSession(s)
			}
		}
	}
	for _, s := range e.dirtySessions {
		s.dirty = false
	}
	e.dirtySessions = e.dirtySessions[:0]
}

// markDirty makes the next decision advance a session.
func (e *Engine) markDirty(s *session) {
	if !s.dirty {
		s.dirty = true
		e.dirtySessions = append(e.dirtySessions, s)
	}
}

func (e *Engine) expireEndedJobs() {
	if e.now-e.jobsExpiredAt < jobExpiryInterval {
		return
	}
	e.jobsExpiredAt = e.now
	before := e.state.ClockAt(e.term, e.now.Milliseconds()) - e.cfg.JobRetention.Milliseconds()
	// Each command of a leader dates the ends before it.
	if list := e.state.EndedJobs(before); len(list) > 0 || e.state.HasUndatedEnds() {
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Expire{Expire: &workloadpb.Expire{Jobs: list}}})
	}
}

// startDueOccurrences starts the occurrences of scheduled jobs that are due. Without memory, those of jobs with an
// unfinished occurrence wait.
func (e *Engine) startDueOccurrences() {
	if e.occurrencesProposedAt != 0 && e.now-e.occurrencesProposedAt < proposalTimeout {
		return
	}
	m := &workloadpb.BeginOccurrences{}
	wall, free := e.wallClockMs(), e.freeJobBytes()
	for _, j := range e.state.ActiveJobs() {
		n, due, ok := j.NextDue()
		if !ok || due > wall {
			continue
		}
		if bytes := j.NextOccurrenceBytes(); bytes == 0 || bytes <= free/freeParts {
			free -= bytes
			m.Jobs, m.Occurrences = append(m.Jobs, j.Number), append(m.Occurrences, n)
		}
	}
	if len(m.Jobs) > 0 {
		e.occurrencesProposedAt = e.now
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Occur{Occur: m}})
	}
}

// assignTasks assigns waiting tasks. Only one Assign command is pending at a time, so that each scheduling pass sees
// the capacity that the last one used.
func (e *Engine) assignTasks() {
	if e.assignPending && e.now-e.plannedAt < proposalTimeout {
		return
	}
	if e.now < e.planAgainAt || e.state.Changes() == e.plannedChanges && e.now-e.plannedAt < replanInterval {
		return
	}
	e.plannedAt, e.plannedChanges, e.keptFor = e.now, e.state.Changes(), map[uint64]uint64{}
	e.rejections.removeEnded()
	in := schedule.Input{
		State: e.state, NowMs: e.wallClockMs(), ClockMs: e.state.ClockAt(e.term, e.now.Milliseconds()),
		Order: e.cfg.JobOrder, MaxAssignments: maxAssignmentsPerCommand,
		BeyondShare: e.shares.isBeyondShare, Allowed: e.adviserAllows, MayReserve: e.advice.mayReserve,
		IsDelayed: func(s *ledger.StepRun) bool { return e.rejections.isDelayed(s, e.now) }, PinnedTo: e.newPinnedTo(),
		Kinds: e.kindsFor, CountDiverted: e.countDiverted,
	}
	in.Candidates = schedule.RankCandidates(in)
	pools := map[string]bool{}
	for _, c := range in.Candidates {
		pools[c.Pool()] = true
	}
	if len(pools) == 0 {
		return
	}
	for _, w := range e.state.Workers() {
		if s := e.sessions[w.Number()]; pools[w.Pool()] && e.isUsable(s) {
			in.Workers = append(in.Workers, s.schedulerView())
		}
	}
	e.planAgainAt = e.now + planPause*time.Duration(len(in.Workers)+len(in.Candidates))
	list := schedule.Plan(in)
	for _, w := range in.Workers {
		e.keptFor[w.Number()] = w.KeptFor()
	}
	if len(list) == 0 {
		return
	}
	e.assignPending = true
	e.assigns++
	e.logAssignments(list, len(in.Workers))
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_Assign{
		Assign: &workloadpb.Assign{Assignments: list, RecordsLosses: true, Number: e.term<<assignNumberBits + e.assigns},
	}})
}

// logAssignments writes a line for each step that gets tasks assigned.
func (e *Engine) logAssignments(list []*workloadpb.Assignment, workers int) {
	for i := 0; i < len(list); {
		first := list[i].Subtask
		n := 1
		for i+n < len(list) && list[i+n].Subtask.Job == first.Job && list[i+n].Subtask.Step == first.Step &&
			list[i+n].Subtask.Occurrence == first.Occurrence {
			n++
		}
		if j := e.state.Job(first.Job); j != nil {
			e.cfg.Log.Info("assigned tasks", "job", j.ID, "occurrence", first.Occurrence, "step", first.Step,
				"first", first.Index, "count", n, "run", list[i].Run, "boot", list[i].Worker, "usable-workers", workers,
				"job-age-ms", e.wallClockMs()-j.AcceptedMs)
		}
		i += n
	}
}

// handleApplied updates the leader's state after a command was applied.
func (e *Engine) handleApplied(m *workloadpb.Command, r *workloadpb.Response) {
	stops, ended, losses := e.state.TakeStops(), e.state.TakeEndedJobs(), e.state.TakeLossEvents()
	if !e.leading {
		return
	}
	e.logLosses(losses)
	for _, j := range ended {
		e.backlog.removeJob(j)
		e.shares.forgetJob(j)
		e.cfg.Log.Info("job ended", "job", j.ID, "queue", j.Queue, "state", string(j.State()), "after-ms", j.EndedMs-j.AcceptedMs)
		e.cfg.IncrementCounter("hibiscusroute_jobs_ended_total", "state", string(j.State()))
		if j.State() == ledger.Completed {
			e.cfg.ObserveHistogram("hibiscusroute_job_seconds", float64(j.EndedMs-j.AcceptedMs)/1000)
		}
	}
	if n := e.state.WorkerChanges(); n != e.workerChanges {
		e.workerChanges = n
		e.syncSessions()
	}
	for _, st := range stops {
		if s := e.sessions[st.Worker.Number()]; s != nil && s.runs[st.Key] != nil {
			s.runs[st.Key].shouldStop = true
			e.markDirty(s)
		}
	}
	switch c := m.Change.(type) {
	case *workloadpb.Command_Assign:
		e.assignPending, e.lastAssign = false, max(e.lastAssign, c.Assign.Number)
		for _, a := range c.Assign.Assignments {
			if s := e.sessions[a.Worker]; s != nil {
				e.adoptAssignedRuns(s)
				e.markDirty(s)
			}
		}
	case *workloadpb.Command_Ends:
		e.handleRecordedEnds(c.Ends)
		for _, ends := range c.Ends.More {
			e.handleRecordedEnds(ends)
		}
	case *workloadpb.Command_Leave:
		if w := e.state.WorkerByID(c.Leave.Id); w != nil && w.HasLeft() && c.Leave.Announced {
			s := e.sessions[w.Number()]
			e.cfg.Log.Info("stopping the runs of a worker that leaves", "worker", w.ID(), "boot", w.Number(), "runs", len(s.runs),
				"lease-ends-in", (s.leasesExpireBy - e.now).String())
			e.markDirty(s)
		}
	case *workloadpb.Command_EvacuateZone:
		e.handleZoneOrder(c.EvacuateZone)
	case *workloadpb.Command_Occur:
		e.occurrencesProposedAt = 0
	case *workloadpb.Command_LeaseSuspension:
		if m.Term == e.term {
			e.handleSuspension(c.LeaseSuspension)
		}
	case *workloadpb.Command_LateStarts:
		if m.Term == e.term {
			e.handleRecordedLateStarts(c.LateStarts, millis(m.SteadyMs))
		}
	case *workloadpb.Command_Order:
		if m.Term == e.term {
			e.sendAnnounced(c.Order)
		}
	case *workloadpb.Command_Submit:
		e.forgetSubmission(c.Submit.Id)
		if r.Verdict == workloadpb.Verdict_VERDICT_DONE {
			j := e.state.JobByID(c.Submit.Id)
			e.shares.chargeJob(e.state, j, e.now)
			e.observeArrival(j)
			e.cfg.IncrementCounter("hibiscusroute_jobs_accepted_total", "queue", j.Queue)
			e.cfg.Log.Info("job accepted", "job", j.ID, "queue", j.Queue, "account", j.Account, "steps", len(j.Steps),
				"beyond-share", e.shares.isBeyondShare(j), "configuration", e.state.Document().Version)
		}
	case *workloadpb.Command_Document:
		e.backlog.pools = nil
		e.cfg.Log.Info("configuration is in force", "version", e.state.Document().Version)
		e.logJobsWithoutQueue()
	}
}

func (e *Engine) handleRecordedEnds(m *workloadpb.Ends) {
	if s := e.sessions[m.Worker]; s != nil {
		e.removeEndedRuns(s, m)
		e.markDirty(s)
	}
}

// logJobsWithoutQueue writes a line if jobs wait because the configuration has no queue for them any more.
func (e *Engine) logJobsWithoutQueue() {
	waiting := map[string]int{}
	for _, j := range e.state.ActiveJobs() {
		if e.state.QueueOf(j) == nil {
			waiting[j.Queue]++
		}
	}
	if len(waiting) > 0 {
		e.cfg.Log.Info("jobs wait, because the configuration has no queue for them", "version", e.state.Document().Version,
			"jobs-by-queue", waiting)
	}
}

// syncSessions opens sessions for new incarnations of workers, and drops those of ended incarnations.
func (e *Engine) syncSessions() {
	workers := e.state.Workers()
	known := len(workers)
	for known > 0 && e.sessions[workers[known-1].Number()] == nil {
		known-- // Incarnations are ordered by number, so the new ones come last.
	}
	for _, w := range workers[known:] {
		// The list gives the worker's clock, and shows runs that a request for an earlier incarnation started.
		s := e.openSession(w)
		s.mustList, s.capacityKnownAt = true, max(e.now, 1)
		if e.fleet.byWorker[w.ID()] == nil {
			e.fleet.stale = true
		}
	}
	if len(e.sessions) == len(workers) {
		return
	}
	for n, s := range e.sessions {
		if s.worker.HasEnded() {
			delete(e.sessions, n)
			for _, r := range s.runs {
				e.logLateStart(s, r, "incarnation-ended")
				e.lateStarts.resolve(s.worker.ID(), r, false)
				e.lateStarts.forget(r)
			}
			e.cfg.Log.Info("incarnation of a worker ended", "worker", s.worker.ID(), "boot", n)
		}
	}
}

func decodeCommand(data []byte) (*workloadpb.Command, error) {
	m := &workloadpb.Command{}
	return m, proto.Unmarshal(data, m)
}
