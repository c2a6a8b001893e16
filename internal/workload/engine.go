package workload

import (
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// maxAssignmentsPerCommand bounds the assignments of one command, so that a command stays far below the size of a log entry.
	maxAssignmentsPerCommand = 256
	// proposalTimeout is after how long a command that was not applied is decided again. A leader without a quorum
	// steps down within an election timeout of at most 1 s.
	proposalTimeout = 3 * time.Second
	// jobExpiryInterval is the time between looks for ended jobs that need not be kept.
	jobExpiryInterval = time.Second
	// sessionScanInterval is the time between looks at all sessions, for what is due by time alone. It is half of the shortest
	// pause before a retry.
	sessionScanInterval = minRetryDelay / 2
	// replanInterval bounds the time without a pass while subtasks wait, because some conditions change with time alone.
	replanInterval = 200 * time.Millisecond
)

// Config holds the settings of the engine. Durations come from the installation.
type Config struct {
	// WallClock is the time of day; scheduled jobs are due by it.
	WallClock func() time.Time
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
	// StopTimeout is how long a run may go on after its stop.
	StopTimeout time.Duration
	// HeartbeatInterval is the time between liveness reports of a worker.
	HeartbeatInterval time.Duration
	// MaintenanceDuration is how long an instance is down for upkeep.
	MaintenanceDuration time.Duration
	// MoveDuration is how long an instance is away when it changes its pool.
	MoveDuration time.Duration
	// TakeoverDelay is how long a new leader waits before its first order for an instance.
	TakeoverDelay time.Duration
	// JobRetention is how long the state of an ended job is kept.
	JobRetention time.Duration
	// JobOrder is the sequence in which jobs are served.
	JobOrder schedule.JobOrder
	// IncrementCounter adds one to a counter with a label, Observe a value to a histogram; both may be nil.
	IncrementCounter func(name, label, value string)
	ObserveHistogram func(name string, v float64)
	Log              logr.Logger
}

// Engine decides for the leader what workers do. It must be used from the control loop only.
type Engine struct {
	cfg   Config
	state *ledger.State

	leading               bool
	term                  uint64
	leadingSince          time.Duration
	now                   time.Duration
	sessions              map[uint64]*session
	dirtySessions         []*session // something has happened to them since the last decision
	scannedAt             time.Duration
	workerChanges         uint64 // those of the ledger that the sessions follow
	actions               []kernel.Action
	commands              []kernel.Command
	assignPending         bool
	plannedAt             time.Duration
	plannedChanges        uint64
	jobsExpiredAt         time.Duration
	occurrencesProposedAt time.Duration
	advice                advice
	fleet                 fleet
	shares                accountShares
	rates                 arrivalRates
}

func newEngine(state *ledger.State) *Engine {
	e := &Engine{state: state}
	e.Configure(Config{})
	return e
}

// Configure sets the settings; zero values get defaults that suit tests.
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
	if cfg.IncrementCounter == nil {
		cfg.IncrementCounter = func(string, string, string) {}
	}
	if cfg.ObserveHistogram == nil {
		cfg.ObserveHistogram = func(string, float64) {}
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

// resetLeaderState resets the soft state. What is assigned may run, and is asked for before anything else happens to it.
func (e *Engine) resetLeaderState(now time.Duration) {
	*e = Engine{cfg: e.cfg, state: e.state, leadingSince: now, now: now, scannedAt: now - sessionScanInterval, sessions: map[uint64]*session{}}
	e.advice.reset()
	e.fleet.reset()
	e.shares.reset()
	e.rates = arrivalRates{}
	e.fleet.startClockMs = e.state.Clock()
	for _, w := range e.state.Waves() {
		for _, name := range w.Ordered {
			e.fleet.maybeMaintained[waveInstance{w.Number, name}] = true
		}
	}
	for _, w := range e.state.Workers() {
		s := e.openSession(w)
		s.lastHeartbeat = now
		s.leasesExpireBy = now + worstCaseDuration(e.cfg.MaxLease)
		s.adoptInheritedRuns()
	}
}

func (e *Engine) handleEvent(now time.Duration, ev kernel.Event) {
	e.now = now
	switch ev := ev.(type) {
	case kernel.Leading:
		e.leading, e.term = true, ev.Term
	case kernel.Deposed:
		e.leading = false
	case RenewLeaseResult:
		e.handleRenewLeaseResult(ev)
	case StartRunResult:
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

func (e *Engine) propose(m *workloadpb.Command) {
	m.Term, m.SteadyMs = e.term, e.now.Milliseconds()
	c, err := kernel.NewCommand(Name, "", m)
	if err != nil {
		e.cfg.Log.Error(err, "command of the workload was not proposed")
		return
	}
	e.commands = append(e.commands, c)
}

// decide returns what has to be done now.
func (e *Engine) decide(now time.Duration) kernel.Decision {
	e.now = now
	if !e.leading {
		return kernel.Decision{}
	}
	e.advanceSessions()
	e.expireEndedJobs()
	e.startDueOccurrences()
	e.updateAdvice()
	e.advanceFleet()
	e.assignTasks()
	d := kernel.Decision{Commands: e.commands, Actions: e.actions}
	e.commands, e.actions = nil, nil
	return d
}

// advanceSessions drives the sessions that something has happened to, and all of them from time to time.
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

// markDirty makes the next decision look at a session.
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
	if list := e.state.EndedJobs(e.wallClockMs() - e.cfg.JobRetention.Milliseconds()); len(list) > 0 {
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Expire{Expire: &workloadpb.Expire{Jobs: list}}})
	}
}

// startDueOccurrences begins the occurrences of scheduled jobs that are due.
func (e *Engine) startDueOccurrences() {
	if e.occurrencesProposedAt != 0 && e.now-e.occurrencesProposedAt < proposalTimeout {
		return
	}
	m := &workloadpb.BeginOccurrences{}
	wall := e.wallClockMs()
	for _, j := range e.state.ActiveJobs() {
		if n, due, ok := j.NextDue(); ok && due <= wall {
			m.Jobs, m.Occurrences = append(m.Jobs, j.Number), append(m.Occurrences, n)
		}
	}
	if len(m.Jobs) > 0 {
		e.occurrencesProposedAt = e.now
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Occur{Occur: m}})
	}
}

// assignTasks assigns waiting subtasks. One command is under way at a time, so that each pass sees what the last one took.
func (e *Engine) assignTasks() {
	if e.assignPending && e.now-e.plannedAt < proposalTimeout {
		return
	}
	if e.state.Changes() == e.plannedChanges && e.now-e.plannedAt < replanInterval {
		return
	}
	e.plannedAt, e.plannedChanges = e.now, e.state.Changes()
	in := schedule.Input{
		State: e.state, Now: e.wallClockMs(), Order: e.cfg.JobOrder, MaxAssignments: maxAssignmentsPerCommand, BeyondShare: e.shares.isBeyondShare,
		Allowed: e.advice.allows,
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
	list := schedule.Plan(in)
	if len(list) == 0 {
		return
	}
	e.assignPending = true
	e.logAssignments(list, len(in.Workers))
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_Assign{Assign: &workloadpb.Assign{Assignments: list}}})
}

// logAssignments writes a line for each step of which subtasks are assigned.
func (e *Engine) logAssignments(list []*workloadpb.Assignment, workers int) {
	for i := 0; i < len(list); {
		first := list[i].Subtask
		n := 1
		for i+n < len(list) && list[i+n].Subtask.Job == first.Job && list[i+n].Subtask.Step == first.Step &&
			list[i+n].Subtask.Occurrence == first.Occurrence {
			n++
		}
		if j := e.state.Job(first.Job); j != nil {
			e.cfg.Log.Info("subtasks are assigned", "job", j.ID, "occurrence", first.Occurrence, "step", first.Step, "first", first.Index,
				"count", n, "run", list[i].Run, "boot", list[i].Worker, "usable-workers", workers, "job-age-ms", e.wallClockMs()-j.Accepted)
		}
		i += n
	}
}

// handleApplied takes up what a command changed.
func (e *Engine) handleApplied(m *workloadpb.Command, r *workloadpb.Response) {
	stops, ended := e.state.TakeStops(), e.state.TakeEndedJobs()
	if !e.leading {
		return
	}
	for _, j := range ended {
		e.shares.forgetJob(j)
		e.cfg.Log.Info("job ended", "job", j.ID, "queue", j.Queue, "state", string(j.State()), "after-ms", j.Ended-j.Accepted)
		e.cfg.IncrementCounter("hibiscusroute_jobs_ended_total", "state", string(j.State()))
		if j.State() == ledger.Completed {
			e.cfg.ObserveHistogram("hibiscusroute_job_seconds", float64(j.Ended-j.Accepted)/1000)
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
		e.assignPending = false
		for _, a := range c.Assign.Assignments {
			if s := e.sessions[a.Worker]; s != nil {
				s.adoptAssignedRuns()
				e.markDirty(s)
			}
		}
	case *workloadpb.Command_Ends:
		if s := e.sessions[c.Ends.Worker]; s != nil {
			s.removeEndedRuns(c.Ends)
			e.markDirty(s)
		}
	case *workloadpb.Command_Occur:
		e.occurrencesProposedAt = 0
	case *workloadpb.Command_Order:
		if m.Term == e.term {
			e.sendAnnounced(c.Order)
		}
	case *workloadpb.Command_Submit:
		if r.Verdict == workloadpb.Verdict_VERDICT_DONE {
			j := e.state.JobByID(c.Submit.Id)
			e.shares.chargeJob(e.state, j, e.now)
			e.rates.addJob(e.state.Queue(j.Queue).GetPool(), j, e.now)
			e.cfg.IncrementCounter("hibiscusroute_jobs_accepted_total", "queue", j.Queue)
			e.cfg.Log.Info("job was accepted", "job", j.ID, "queue", j.Queue, "account", j.Account, "steps", len(j.Steps),
				"beyond-share", e.shares.isBeyondShare(j), "configuration", e.state.Document().Version)
		}
	case *workloadpb.Command_Document:
		e.cfg.Log.Info("configuration is in force", "version", e.state.Document().Version)
	}
}

// syncSessions opens sessions for boots that began, and drops those of boots that ended.
func (e *Engine) syncSessions() {
	for _, w := range e.state.Workers() {
		if e.sessions[w.Number()] == nil {
			e.openSession(w).mustList = true // One look tells the clock, and what an order for an earlier boot may have started.
			if e.fleet.byWorker[w.ID()] == nil {
				e.fleet.stale = true
			}
		}
	}
	for n, s := range e.sessions {
		if s.worker.HasEnded() {
			delete(e.sessions, n)
			e.cfg.Log.Info("worker has left", "worker", s.worker.ID(), "boot", n)
		}
	}
}

func decodeCommand(data []byte) (*workloadpb.Command, error) {
	m := &workloadpb.Command{}
	return m, proto.Unmarshal(data, m)
}
