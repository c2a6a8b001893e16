package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// State is the replicated state of the plug-in.
type State struct {
	document *workloadpb.Document
	queues   map[string]*workloadpb.Queue
	// byHost holds the queues of each host in lower case, those with longer prefixes first.
	byHost   map[string][]*workloadpb.Queue
	pools    map[string]*workloadpb.Pool
	accounts map[string]*workloadpb.Account
	keys     map[string]*workloadpb.Account

	jobs   map[uint64]*Job
	byID   map[string]*Job
	active []*Job // in the order of acceptance

	workers map[uint64]*Worker
	// workersByID holds the boots that have not ended; a later boot with an ID ends the one before.
	workersByID map[string]*Worker
	workerList  []*Worker
	usage       map[string]Resources // running by account
	waves       map[int64]*workloadpb.Wave

	ordered     map[string]*workloadpb.LastOrder // by instance
	clock       int64
	clockTerm   uint64
	clockSteady int64

	nextJob, nextWorker uint64
	version             uint64
	workerChanges       uint64
	stops               []Stop
	endedJobs           []*Job
}

// Stop is a run that must end because its job has ended or its subtask is done.
type Stop struct {
	Worker *Worker
	Key    RunKey
}

// TakeStops returns the runs that became unwanted since the last call; they are not replicated.
func (s *State) TakeStops() []Stop {
	list := s.stops
	s.stops = nil
	return list
}

// TakeEndedJobs returns the jobs that ended since the last call; they are not replicated.
func (s *State) TakeEndedJobs() []*Job {
	list := s.endedJobs
	s.endedJobs = nil
	return list
}

// MustStop reports whether a run must end.
func MustStop(t *Task) bool { return t.Done || !t.step.Occurrence.Job.IsActive() }

// New returns an empty state.
func New() *State {
	s := &State{}
	s.reset()
	return s
}

func (s *State) reset() {
	*s = State{
		queues: map[string]*workloadpb.Queue{}, byHost: map[string][]*workloadpb.Queue{}, pools: map[string]*workloadpb.Pool{},
		accounts: map[string]*workloadpb.Account{}, keys: map[string]*workloadpb.Account{},
		jobs: map[uint64]*Job{}, byID: map[string]*Job{}, workers: map[uint64]*Worker{},
		workersByID: map[string]*Worker{},
		ordered:     map[string]*workloadpb.LastOrder{}, usage: map[string]Resources{}, waves: map[int64]*workloadpb.Wave{}, version: s.version + 1,
		workerChanges: s.workerChanges + 1,
	}
}

// Changes counts the changes that may matter to the scheduler; it is not replicated.
func (s *State) Changes() uint64 { return s.version }

func (s *State) changed() { s.version++ }

// Document returns the configuration in force, nil before the first.
func (s *State) Document() *workloadpb.Document { return s.document }

// Queue returns a queue by name, nil when there is none.
func (s *State) Queue(name string) *workloadpb.Queue { return s.queues[name] }

// Pool returns a pool by name, nil when there is none.
func (s *State) Pool(name string) *workloadpb.Pool { return s.pools[name] }

// Account returns a client account by name, nil when there is none.
func (s *State) Account(name string) *workloadpb.Account { return s.accounts[name] }

// Usage returns what runs for a client account.
func (s *State) Usage(account string) Resources { return s.usage[account] }

// Job returns a job by its number, nil when there is none.
func (s *State) Job(number uint64) *Job { return s.jobs[number] }

// JobByID returns a job by the ID that its client chose, nil when there is none.
func (s *State) JobByID(id string) *Job { return s.byID[id] }

// ActiveJobs returns the jobs that have not ended, in the order of acceptance.
func (s *State) ActiveJobs() []*Job { return s.active }

// EndedJobs returns the numbers of jobs that ended at or before a time and of which nothing runs, in order.
func (s *State) EndedJobs(before int64) []uint64 {
	var list []uint64
	for n, j := range s.jobs {
		if !j.IsActive() && j.activeRuns == 0 && j.Ended <= before {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

// Waves returns the waves in order of their numbers.
func (s *State) Waves() []*workloadpb.Wave {
	list := slices.Collect(maps.Values(s.waves))
	slices.SortFunc(list, func(a, b *workloadpb.Wave) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// Wave returns a wave, nil when there is none.
func (s *State) Wave(number int64) *workloadpb.Wave { return s.waves[number] }

// WaveCompleted reports whether the upkeep of every instance of a wave that still exists has begun.
func WaveCompleted(w *workloadpb.Wave) bool {
	return !slices.ContainsFunc(w.Instances, func(name string) bool {
		return !slices.Contains(w.Begun, name) && !slices.Contains(w.Gone, name)
	})
}

// Apply applies a command; at is the leader's time of day in Unix milliseconds.
func (s *State) Apply(c *workloadpb.Command, at int64) *workloadpb.Response {
	s.advance(c)
	switch m := c.Change.(type) {
	case *workloadpb.Command_Order:
		for _, name := range m.Order.Instances {
			s.ordered[name] = &workloadpb.LastOrder{Instance: name, Term: c.Term, AtMs: s.clock, Wave: m.Order.Wave}
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
		s.applyReport(m.Report)
	case *workloadpb.Command_Leave:
		s.applyLeave(m.Leave)
	case *workloadpb.Command_Assign:
		s.applyAssign(m.Assign)
	case *workloadpb.Command_Ends:
		s.applyEnds(m.Ends, at)
	case *workloadpb.Command_Occur:
		s.applyOccur(m.Occur)
	case *workloadpb.Command_Expire:
		s.applyExpire(m.Expire)
	case *workloadpb.Command_Wave:
		s.applyWave(m.Wave, at)
	case *workloadpb.Command_Maintained:
		s.applyMaintained(m.Maintained)
	}
	return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_DONE}
}

// advance moves the ledger's clock on by what the steady clock of the leader shows. Nothing is added for the time
// between two leaders, so the clock is never ahead of the time that has passed.
func (s *State) advance(c *workloadpb.Command) {
	if c.Term == 0 {
		return
	}
	if c.Term == s.clockTerm && c.SteadyMs > s.clockSteady {
		s.clock += c.SteadyMs - s.clockSteady
	}
	s.clockTerm, s.clockSteady = c.Term, c.SteadyMs
}

// Clock returns milliseconds that have passed for sure since the group was founded, as of the last command that a leader
// decided.
func (s *State) Clock() int64 { return s.clock }

// LastOrder returns the last order for an instance, nil when there was none.
func (s *State) LastOrder(instance string) *workloadpb.LastOrder { return s.ordered[instance] }

func (s *State) applyWave(w *workloadpb.Wave, at int64) {
	if s.waves[w.Number] == nil {
		w.AcceptedMs, w.Begun, w.Gone, w.Ordered = at, nil, nil, nil
		s.waves[w.Number] = w
		s.changed()
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
	s.changed()
}

func sortedKeys(runs map[RunKey]*Task) []RunKey {
	return slices.SortedFunc(maps.Keys(runs), func(a, b RunKey) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
			cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run))
	})
}
