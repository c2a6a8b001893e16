package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// State is the replicated state of the workload plug-in.
type State struct {
	document *workloadpb.Document
	queues   map[string]*workloadpb.Queue
	// queuesByRoute holds the queues by what callers know of them.
	queuesByRoute map[route]*workloadpb.Queue
	// queuesByHost holds the queues by host name in lower case, the queues with the longest prefix first.
	queuesByHost  map[string][]*workloadpb.Queue
	pools         map[string]*workloadpb.Pool
	accounts      map[string]*workloadpb.Account
	accountsByKey map[string]*workloadpb.Account

	jobs       map[uint64]*Job
	jobsByID   map[string]*Job
	activeJobs []*Job // in order of acceptance
	jobBytes   int64  // see JobBytes

	workers map[uint64]*Worker
	// workersByID holds the incarnations that have not ended. A later incarnation with the same ID ends the earlier
	// one.
	workersByID map[string]*Worker
	// workerList holds the incarnations that have not ended, ordered by number.
	workerList []*Worker
	// endedWorkers holds the last incarnations that have ended, by their IDs.
	endedWorkers map[string]*workloadpb.EndedWorker
	// resolvedAssigns is the last number of an Assign command whose runs have no start on its way without a record of it.
	resolvedAssigns uint64
	// listedAssigns is the last number of an Assign command whose runs have ended or been listed by their incarnations.
	listedAssigns uint64
	usage         map[string]Resources // of active runs, by client account
	waves         map[int64]*workloadpb.Wave
	// evacuatedZones holds the availability zones in which nothing may start.
	evacuatedZones map[string]bool

	lastOrders    map[string]*workloadpb.LastOrder // by instance
	clockMs       int64                            // see Clock
	clockTerm     uint64
	clockSteadyMs int64 // monotonic clock of the leader of clockTerm in its last command
	leaseTerm     uint64
	leaseMs       int64 // see LeaseBound
	// fullLeaseAgeMs is part of the last LeaseBound, see FullLeaseAge.
	fullLeaseAgeMs int64

	nextJob, nextWorker uint64
	changes             uint64
	workerChanges       uint64
	pendingStops        []Stop
	lossEvents          []LossEvent
	endedJobs           []*Job
	// undatedEnds are the jobs that have ended since the last command of a leader.
	undatedEnds []*Job
}

// Stop is a run that must be stopped because its job has ended or its task is done.
type Stop struct {
	Worker *Worker
	Key    RunKey
}

// TakeStops returns the runs that must be stopped and were not returned before. The list is not replicated.
func (s *State) TakeStops() []Stop {
	list := s.pendingStops
	s.pendingStops = nil
	return list
}

// TakeEndedJobs returns the jobs that have ended since the last call. The list is not replicated.
func (s *State) TakeEndedJobs() []*Job {
	list := s.endedJobs
	s.endedJobs = nil
	return list
}

// MustStop reports whether the runs of a task must be stopped.
func MustStop(t *Task) bool { return t.Done || !t.step.Occurrence.Job.IsActive() }

// New returns an empty state.
func New() *State {
	s := &State{}
	s.reset()
	return s
}

func (s *State) reset() {
	*s = State{
		queues: map[string]*workloadpb.Queue{}, queuesByRoute: map[route]*workloadpb.Queue{}, queuesByHost: map[string][]*workloadpb.Queue{},
		pools:    map[string]*workloadpb.Pool{},
		accounts: map[string]*workloadpb.Account{}, accountsByKey: map[string]*workloadpb.Account{},
		jobs: map[uint64]*Job{}, jobsByID: map[string]*Job{}, workers: map[uint64]*Worker{},
		workersByID: map[string]*Worker{}, endedWorkers: map[string]*workloadpb.EndedWorker{},
		lastOrders: map[string]*workloadpb.LastOrder{}, usage: map[string]Resources{},
		waves: map[int64]*workloadpb.Wave{}, evacuatedZones: map[string]bool{}, changes: s.changes + 1,
		workerChanges: s.workerChanges + 1,
	}
}

// Changes returns a counter of the changes that may affect scheduling. It is not replicated.
func (s *State) Changes() uint64 { return s.changes }

func (s *State) markChanged() { s.changes++ }

// Document returns the configuration in force, nil if there is none yet.
func (s *State) Document() *workloadpb.Document { return s.document }

// QueueOf returns the queue of a job, nil if there is none. Callers know a queue by its host and prefix only, so a queue
// that gets another name keeps its jobs. If no queue has the host and the prefix any more, the one with the name does, as
// it was moved.
func (s *State) QueueOf(j *Job) *workloadpb.Queue { return j.queue }

func (s *State) findQueue(r route, name string) *workloadpb.Queue {
	if q := s.queuesByRoute[r]; q != nil && r != (route{}) {
		return q
	}
	return s.queues[name]
}

// Pool returns a pool by name, nil if there is none.
func (s *State) Pool(name string) *workloadpb.Pool { return s.pools[name] }

// Account returns a client account by name, nil if there is none.
func (s *State) Account(name string) *workloadpb.Account { return s.accounts[name] }

// Usage returns the resources that the active runs of a client account need.
func (s *State) Usage(account string) Resources { return s.usage[account] }

// Job returns a job by its number, nil if there is none.
func (s *State) Job(number uint64) *Job { return s.jobs[number] }

// JobByID returns a job by the ID that its client chose, nil if there is none.
func (s *State) JobByID(id string) *Job { return s.jobsByID[id] }

// ActiveJobs returns the jobs that have not ended, in order of acceptance.
func (s *State) ActiveJobs() []*Job { return s.activeJobs }

// EndedJobs returns the numbers of the jobs that ended at or before a time and have no active runs, in ascending order.
// The time is that of the ledger's clock in milliseconds. Jobs with an undated end are not included.
func (s *State) EndedJobs(before int64) []uint64 {
	var list []uint64
	for n, j := range s.jobs {
		if j.endedClockMs > 0 && j.activeRuns == 0 && j.endedClockMs <= before {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

// HasUndatedEnds reports whether the next command of a leader dates the end of a job.
func (s *State) HasUndatedEnds() bool { return len(s.undatedEnds) > 0 }

// Waves returns the maintenance waves ordered by number.
func (s *State) Waves() []*workloadpb.Wave {
	list := slices.Collect(maps.Values(s.waves))
	slices.SortFunc(list, func(a, b *workloadpb.Wave) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// Wave returns a maintenance wave by its number, nil if there is none.
func (s *State) Wave(number int64) *workloadpb.Wave { return s.waves[number] }

// WaveCompleted reports whether the maintenance of each instance of a wave has begun; instances that no longer exist
// don't count.
func WaveCompleted(w *workloadpb.Wave) bool {
	return !slices.ContainsFunc(w.Instances, func(name string) bool {
		return !slices.Contains(w.Begun, name) && !slices.Contains(w.Gone, name)
	})
}

// Apply applies a command; at is the wall clock of the leader in Unix milliseconds.
func (s *State) Apply(c *workloadpb.Command, at int64) *workloadpb.Response {
	s.advanceClock(c)
	s.resolvedAssigns, s.listedAssigns = max(s.resolvedAssigns, c.ResolvedAssigns), max(s.listedAssigns, c.ListedAssigns)
	switch m := c.Change.(type) {
	case *workloadpb.Command_Order:
		for i, name := range m.Order.Instances {
			o := &workloadpb.LastOrder{Instance: name, Term: c.Term, AtMs: s.clockMs, Wave: m.Order.Wave}
			if i < len(m.Order.Workers) && i < len(m.Order.Incarnations) { // Earlier versions don't tell them.
				o.Worker, o.Incarnation = m.Order.Workers[i], m.Order.Incarnations[i]
			}
			s.lastOrders[name] = o
			if w := s.waves[m.Order.Wave]; w != nil && !slices.Contains(w.Ordered, name) {
				w.Ordered = append(w.Ordered, name)
			}
		}
	case *workloadpb.Command_Document:
		s.applyDocument(m.Document)
	case *workloadpb.Command_Submit:
		return s.applySubmit(m.Submit, at)
	case *workloadpb.Command_Cancel:
		return s.applyCancel(m.Cancel, at)
	case *workloadpb.Command_Report:
		s.applyReport(m.Report, at)
	case *workloadpb.Command_Leave:
		s.applyLeave(m.Leave)
	case *workloadpb.Command_Assign:
		s.applyAssign(m.Assign)
	case *workloadpb.Command_Ends:
		s.applyEnds(m.Ends, at)
		for _, ends := range m.Ends.GetMore() {
			s.applyEnds(ends, at)
		}
	case *workloadpb.Command_Occur:
		s.applyBeginOccurrences(m.Occur)
	case *workloadpb.Command_Expire:
		s.applyExpire(m.Expire)
	case *workloadpb.Command_Wave:
		s.applyWave(m.Wave, at)
	case *workloadpb.Command_Maintained:
		s.applyMaintained(m.Maintained)
	case *workloadpb.Command_EvacuateZone:
		s.applyEvacuateZone(m.EvacuateZone)
	case *workloadpb.Command_HarmlessTasks:
		for _, m := range m.HarmlessTasks.Tasks {
			if t := s.findTask(RunKeyOf(m, 0)); t != nil {
				t.markHarmless()
			}
		}
		s.markChanged()
	case *workloadpb.Command_LeaseSuspension:
		s.applyLeaseSuspension(m.LeaseSuspension)
	case *workloadpb.Command_LateStarts:
		for _, id := range m.LateStarts.Workers {
			s.recordUnansweredStarts(id, m.LateStarts.RemainingMs)
		}
		for _, r := range m.LateStarts.Started {
			s.recordStarted(r)
		}
	case *workloadpb.Command_LeaseBound:
		s.leaseTerm, s.leaseMs = c.Term, m.LeaseBound.LeaseMs
		s.fullLeaseAgeMs = m.LeaseBound.FullLeaseAgeMs
	}
	return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_DONE}
}

// advanceClock advances the clock of the ledger by the time that has passed on the monotonic clock of the leader since
// its last command. The time between two leaders isn't counted, so the clock never runs ahead of the time that has
// really passed.
func (s *State) advanceClock(c *workloadpb.Command) {
	if c.Term == 0 {
		return
	}
	s.clockMs = s.ClockAt(c.Term, c.SteadyMs)
	s.clockTerm, s.clockSteadyMs = c.Term, c.SteadyMs
	for _, j := range s.undatedEnds {
		j.endedClockMs = max(s.clockMs, 1)
	}
	s.undatedEnds = nil
}

// Clock returns a lower bound of the milliseconds between the founding of the control group and the last command that a
// leader proposed.
func (s *State) Clock() int64 { return s.clockMs }

// ClockAt returns what the clock would show after a command of a leader at a time on its monotonic clock in milliseconds.
func (s *State) ClockAt(term uint64, steadyMs int64) int64 {
	if term != s.clockTerm {
		return s.clockMs
	}
	return s.clockMs + max(steadyMs-s.clockSteadyMs, 0)
}

// ClockTerm returns the term of the last command that a leader proposed, 0 if there was none.
func (s *State) ClockTerm() uint64 { return s.clockTerm }

// LeaseBound returns the longest lease in milliseconds that the leader of a term has recorded, 0 if it recorded none.
func (s *State) LeaseBound(term uint64) int64 {
	if s.leaseTerm != term {
		return 0
	}
	return s.leaseMs
}

// FullLeaseAge returns the longest time in milliseconds since a quorum confirmed the leader of a term, or one before it,
// at which it granted leases in full, 0 if the leader recorded none.
func (s *State) FullLeaseAge(term uint64) int64 {
	if s.leaseTerm != term {
		return 0
	}
	return s.fullLeaseAgeMs
}

// LastOrder returns the last announced order for an instance, nil if there was none.
func (s *State) LastOrder(instance string) *workloadpb.LastOrder { return s.lastOrders[instance] }

// LastOrders returns the last announced orders by instance. The map must not be modified.
func (s *State) LastOrders() map[string]*workloadpb.LastOrder { return s.lastOrders }

func (s *State) applyWave(w *workloadpb.Wave, at int64) {
	if s.waves[w.Number] == nil {
		w.AcceptedMs, w.Begun, w.Gone, w.Ordered = at, nil, nil, nil
		s.waves[w.Number] = w
		s.markChanged()
	}
}

func (s *State) applyMaintained(m *workloadpb.Maintained) {
	w := s.waves[m.Wave]
	if w == nil {
		return
	}
	for _, l := range []struct {
		to    *[]string
		names []string
	}{{&w.Begun, m.Begun}, {&w.Gone, m.Gone}} {
		for _, name := range l.names {
			if !slices.Contains(*l.to, name) {
				*l.to = append(*l.to, name)
			}
		}
	}
	s.markChanged()
}

func sortedRunKeys(runs map[RunKey]*Task) []RunKey {
	return slices.SortedFunc(maps.Keys(runs), RunKey.Compare)
}
