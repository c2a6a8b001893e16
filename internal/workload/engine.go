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
	// passLimit bounds the assignments of one command, so that a command stays far below the size of a log entry.
	passLimit = 256
	// proposalTimeout is after how long a command that was not applied is decided again. A leader without a quorum
	// steps down within an election timeout of at most 1 s.
	proposalTimeout = 3 * time.Second
	// expireInterval is the time between looks for ended jobs that need not be kept.
	expireInterval = time.Second
	// sweepInterval is the time between looks at all sessions, for what is due by time alone. It is half of the shortest
	// pause before a retry.
	sweepInterval = retryPause / 2
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
	JobOrder schedule.Order
	// IncrementCounter adds one to a counter with a label, Observe a value to a histogram; both may be nil.
	IncrementCounter func(name, label, value string)
	ObserveHistogram func(name string, v float64)
	Log              logr.Logger
}

// Engine decides for the leader what workers do. It must be used from the control loop only.
type Engine struct {
	cfg   Config
	state *ledger.State

	leading   bool
	term      uint64
	ledAt     time.Duration
	now       time.Duration
	sessions  map[uint64]*session
	touched   []*session // something has happened to them since the last decision
	sweptAt   time.Duration
	boots     uint64 // those of the ledger that the sessions follow
	actions   []kernel.Action
	commands  []kernel.Command
	assigning bool
	plannedAt time.Duration
	planned   uint64
	expiredAt time.Duration
	occurAt   time.Duration
	advice    advice
	fleet     fleet
	share     share
	rates     rates
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

func (e *Engine) wallMillis() int64 { return e.cfg.WallClock().UnixMilli() }

// lead resets the soft state. What is assigned may run, and is asked for before anything else happens to it.
func (e *Engine) lead(now time.Duration) {
	*e = Engine{cfg: e.cfg, state: e.state, ledAt: now, now: now, sweptAt: now - sweepInterval, sessions: map[uint64]*session{}}
	e.advice.reset()
	e.fleet.reset()
	e.share.reset()
	e.rates = rates{}
	e.fleet.clock = e.state.Clock()
	for _, w := range e.state.Waves() {
		for _, name := range w.Ordered {
			e.fleet.maintained[upkeep{w.Number, name}] = true
		}
	}
	for _, w := range e.state.Workers() {
		s := e.open(w)
		s.lastReport = now
		s.granted = now + slowest(e.cfg.MaxLease)
		s.inherit()
	}
}

func (e *Engine) observe(now time.Duration, ev kernel.Event) {
	e.now = now
	switch ev := ev.(type) {
	case kernel.Leading:
		e.leading, e.term = true, ev.Term
	case kernel.Deposed:
		e.leading = false
	case RenewLeaseResult:
		e.onHold(ev)
	case StartRunResult:
		e.onStart(ev)
	case StopRunResult:
		e.onStop(ev)
	case ThrottleRunResult:
		e.onPace(ev)
	case AdviceResult:
		e.onAdvise(ev)
	case ListInstancesResult:
		e.onInstances(ev)
	case MoveInstanceResult:
		e.onDuty(ev.Request.Instance, ev.Outcome)
	case MaintainInstanceResult:
		e.onDuty(ev.Request.Instance, ev.Outcome)
	}
}

func (e *Engine) act(a kernel.Action) { e.actions = append(e.actions, a) }

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
	e.driveSessions()
	e.expire()
	e.occur()
	e.driveAdvice()
	e.driveFleet()
	e.plan()
	d := kernel.Decision{Commands: e.commands, Actions: e.actions}
	e.commands, e.actions = nil, nil
	return d
}

// driveSessions drives the sessions that something has happened to, and all of them from time to time.
func (e *Engine) driveSessions() {
	if e.now-e.sweptAt >= sweepInterval {
		e.sweptAt = e.now
		for _, w := range e.state.Workers() {
			e.drive(e.sessions[w.Number()])
		}
	} else {
		for _, s := range e.touched {
			if e.sessions[s.worker.Number()] == s {
				e.drive(s)
			}
		}
	}
	for _, s := range e.touched {
		s.touched = false
	}
	e.touched = e.touched[:0]
}

// touch makes the next decision look at a session.
func (e *Engine) touch(s *session) {
	if !s.touched {
		s.touched = true
		e.touched = append(e.touched, s)
	}
}

func (e *Engine) expire() {
	if e.now-e.expiredAt < expireInterval {
		return
	}
	e.expiredAt = e.now
	if list := e.state.EndedJobs(e.wallMillis() - e.cfg.JobRetention.Milliseconds()); len(list) > 0 {
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Expire{Expire: &workloadpb.Expire{Jobs: list}}})
	}
}

// occur begins the occurrences of scheduled jobs that are due.
func (e *Engine) occur() {
	if e.occurAt != 0 && e.now-e.occurAt < proposalTimeout {
		return
	}
	m := &workloadpb.BeginOccurrences{}
	wall := e.wallMillis()
	for _, j := range e.state.ActiveJobs() {
		if n, due, ok := j.NextDue(); ok && due <= wall {
			m.Jobs, m.Occurrences = append(m.Jobs, j.Number), append(m.Occurrences, n)
		}
	}
	if len(m.Jobs) > 0 {
		e.occurAt = e.now
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Occur{Occur: m}})
	}
}

// plan assigns waiting subtasks. One command is under way at a time, so that each pass sees what the last one took.
func (e *Engine) plan() {
	if e.assigning && e.now-e.plannedAt < proposalTimeout {
		return
	}
	if e.state.Changes() == e.planned && e.now-e.plannedAt < replanInterval {
		return
	}
	e.plannedAt, e.planned = e.now, e.state.Changes()
	in := schedule.Input{
		State: e.state, Now: e.wallMillis(), Order: e.cfg.JobOrder, MaxAssignments: passLimit, BeyondShare: e.share.excess,
		Allowed: e.advice.allowed,
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
		if s := e.sessions[w.Number()]; pools[w.Pool()] && e.usable(s) {
			in.Workers = append(in.Workers, s.view())
		}
	}
	list := schedule.Plan(in)
	if len(list) == 0 {
		return
	}
	e.assigning = true
	e.logPlan(list, len(in.Workers))
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_Assign{Assign: &workloadpb.Assign{Assignments: list}}})
}

// logPlan writes a line for each step of which subtasks are assigned.
func (e *Engine) logPlan(list []*workloadpb.Assignment, workers int) {
	for i := 0; i < len(list); {
		first := list[i].Subtask
		n := 1
		for i+n < len(list) && list[i+n].Subtask.Job == first.Job && list[i+n].Subtask.Step == first.Step &&
			list[i+n].Subtask.Occurrence == first.Occurrence {
			n++
		}
		if j := e.state.Job(first.Job); j != nil {
			e.cfg.Log.Info("subtasks are assigned", "job", j.ID, "occurrence", first.Occurrence, "step", first.Step, "first", first.Index,
				"count", n, "run", list[i].Run, "boot", list[i].Worker, "usable-workers", workers, "job-age-ms", e.wallMillis()-j.Accepted)
		}
		i += n
	}
}

// applied takes up what a command changed.
func (e *Engine) applied(m *workloadpb.Command, r *workloadpb.Response) {
	stops, ended := e.state.TakeStops(), e.state.TakeEndedJobs()
	if !e.leading {
		return
	}
	for _, j := range ended {
		e.share.ended(j)
		e.cfg.Log.Info("job ended", "job", j.ID, "queue", j.Queue, "state", string(j.State()), "after-ms", j.Ended-j.Accepted)
		e.cfg.IncrementCounter("hibiscusroute_jobs_ended_total", "state", string(j.State()))
		if j.State() == ledger.Completed {
			e.cfg.ObserveHistogram("hibiscusroute_job_seconds", float64(j.Ended-j.Accepted)/1000)
		}
	}
	if n := e.state.WorkerChanges(); n != e.boots {
		e.boots = n
		e.followBoots()
	}
	for _, st := range stops {
		if s := e.sessions[st.Worker.Number()]; s != nil && s.runs[st.Key] != nil {
			s.runs[st.Key].stop = true
			e.touch(s)
		}
	}
	switch c := m.Change.(type) {
	case *workloadpb.Command_Assign:
		e.assigning = false
		for _, a := range c.Assign.Assignments {
			if s := e.sessions[a.Worker]; s != nil {
				s.adopt()
				e.touch(s)
			}
		}
	case *workloadpb.Command_Ends:
		if s := e.sessions[c.Ends.Worker]; s != nil {
			s.settled(c.Ends)
			e.touch(s)
		}
	case *workloadpb.Command_Occur:
		e.occurAt = 0
	case *workloadpb.Command_Order:
		if m.Term == e.term {
			e.announced(c.Order)
		}
	case *workloadpb.Command_Submit:
		if r.Verdict == workloadpb.Verdict_VERDICT_DONE {
			j := e.state.JobByID(c.Submit.Id)
			e.share.accepted(e.state, j, e.now)
			e.rates.add(e.state.Queue(j.Queue).GetPool(), j, e.now)
			e.cfg.IncrementCounter("hibiscusroute_jobs_accepted_total", "queue", j.Queue)
			e.cfg.Log.Info("job was accepted", "job", j.ID, "queue", j.Queue, "account", j.Account, "steps", len(j.Steps),
				"beyond-share", e.share.excess(j), "configuration", e.state.Document().Version)
		}
	case *workloadpb.Command_Document:
		e.cfg.Log.Info("configuration is in force", "version", e.state.Document().Version)
	}
}

// followBoots opens sessions for boots that began, and drops those of boots that ended.
func (e *Engine) followBoots() {
	for _, w := range e.state.Workers() {
		if e.sessions[w.Number()] == nil {
			e.open(w).flush = true // One look tells the clock, and what an order for an earlier boot may have started.
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
