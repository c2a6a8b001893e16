package ledger

import (
	"maps"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// State holds all jobs; it is owned by the kernel's goroutine.
type State struct {
	cfg            *configuration.State
	pools          *pool.State
	quota          Quota
	onStartApplied func(m *jobpb.Start)
	jobs           map[string]*jobpb.Job
	workers        map[string]*jobpb.Worker
	lastSeq        uint64
	floor          int64

	// Derived from the jobs and the configuration.
	ended            []string                     // keys of ended jobs, oldest first
	waitingByQueue   map[string][]*jobpb.Job      // by queue, in the order of submission
	allocations      map[string]*Allocation       // by instance
	awaitingPlatform map[string]struct{}          // jobs that wait for an answer of the platform
	runningByTeam    map[string]int               // by team
	payload          int                          // bytes held by jobs that haven't ended
	cached           *Index                       // of the configuration in force
	touched          map[string]struct{}          // jobs to check
	justStarted      []string                     // jobs started since the last check
	full             int                          // checks until one looks at everything
	dirtyPools       map[string]struct{}          // pools with something new to decide
	members          map[string][]*fleet.Instance // by pool
	seen             uint64                       // change of the pools for which members was built
	short            map[string]bool              // instances on which a start found no free slot
	unmet            bool                         // a start lacked quota
}

// Allocation is what the jobs on an instance take.
type Allocation struct {
	charge placement.Resources
	jobs   map[string]*jobpb.Job
}

// Charge returns the sum over the jobs.
func (u *Allocation) Charge() placement.Resources { return u.charge }

// Jobs returns the jobs by key; the map must not be changed.
func (u *Allocation) Jobs() map[string]*jobpb.Job { return u.jobs }

// Index finds teams and queues of the configuration by name.
type Index struct {
	current *fleet.Configuration
	Teams   map[string]fleet.Team
	Queues  map[string]fleet.Queue
}

// Config holds what the ledger depends on.
type Config struct {
	Configuration *configuration.State
	Pools         *pool.State
	Quota         *quota.State
	// OnStartApplied is called with each start that is applied, whether it succeeds or not; it may be nil.
	OnStartApplied func(m *jobpb.Start)
}

// New returns an empty ledger.
func New(cfg Config) *State {
	s := &State{cfg: cfg.Configuration, pools: cfg.Pools, onStartApplied: cfg.OnStartApplied}
	if s.onStartApplied == nil {
		s.onStartApplied = func(*jobpb.Start) {}
	}
	s.quota = quotaFor(cfg.Quota)
	s.reset()
	return s
}

// Key returns the name of a job within the fleet.
func Key(team, id string) string { return team + "/" + id }

// Jobs returns all jobs by key. This map and those below must not be changed.
func (s *State) Jobs() map[string]*jobpb.Job { return s.jobs }

// Workers returns the rows of failures by instance.
func (s *State) Workers() map[string]*jobpb.Worker { return s.workers }

// WaitingByQueue returns the waiting jobs by queue, in the order of submission.
func (s *State) WaitingByQueue() map[string][]*jobpb.Job { return s.waitingByQueue }

// Allocations returns what jobs take by instance; it lacks instances without jobs.
func (s *State) Allocations() map[string]*Allocation { return s.allocations }

// AwaitingPlatform returns the keys of the jobs that wait for an answer of the platform.
func (s *State) AwaitingPlatform() map[string]struct{} { return s.awaitingPlatform }

// RunningByTeam returns the number of jobs that occupy an instance by team.
func (s *State) RunningByTeam() map[string]int { return s.runningByTeam }

// DirtyPools returns the pools in which something changed; the leader adds and removes names.
func (s *State) DirtyPools() map[string]struct{} { return s.dirtyPools }

// Apply applies a command of the job plug-in.
func (s *State) Apply(c kernel.Command) ([]byte, error) {
	m := &jobpb.Command{}
	if err := proto.Unmarshal(c.Body, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode job command: %v", err)
	}
	switch change := m.Change.(type) {
	case *jobpb.Command_Submit:
		return s.submit(change.Submit, c.At)
	case *jobpb.Command_Cancel:
		return s.cancel(change.Cancel, c.At)
	case *jobpb.Command_Start:
		return nil, s.start(change.Start)
	case *jobpb.Command_Reports:
		for _, r := range change.Reports.Reports {
			s.report(r, c.At)
		}
		return nil, nil
	case *jobpb.Command_Preempt:
		return nil, s.preempt(change.Preempt)
	case *jobpb.Command_Unthrottle:
		return nil, s.unthrottle(change.Unthrottle)
	case *jobpb.Command_Lost:
		return nil, s.lost(change.Lost, c.At)
	case *jobpb.Command_Misfit:
		return nil, s.misfit(change.Misfit, c.At)
	}
	return nil, kernel.ErrInvalid.New("empty job command")
}

// Query answers a query of the job plug-in.
func (s *State) Query(req []byte) ([]byte, error) {
	m := &jobpb.Query{}
	if err := proto.Unmarshal(req, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode job query: %v", err)
	}
	if m.Key != "" {
		j, ok := s.jobs[m.Key]
		if !ok {
			return nil, kernel.ErrNotFound.New("no job %q", m.Key)
		}
		return answer(j)
	}
	list := &jobpb.Jobs{}
	for _, j := range s.jobs {
		if (m.Team == "" || j.Submit.Team == m.Team) && (!m.Live || !HasEnded(j)) {
			list.Jobs = append(list.Jobs, withoutPayload(j))
		}
	}
	slices.SortFunc(list.Jobs, BySeq)
	return proto.Marshal(list)
}

// BySeq orders jobs by their submission.
func BySeq(a, b *jobpb.Job) int { return int(int64(a.Seq) - int64(b.Seq)) }

func answer(j *jobpb.Job) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(withoutPayload(j))
}

func withoutPayload(j *jobpb.Job) *jobpb.Job {
	payload := j.Submit.Payload
	j.Submit.Payload = nil
	c, _ := proto.Clone(j).(*jobpb.Job)
	j.Submit.Payload = payload
	return c
}

// Snapshot returns the snapshot of the replicated state.
func (s *State) Snapshot() ([]byte, error) {
	m := &jobpb.State{LastSeq: s.lastSeq, Floor: s.floor}
	// Ended jobs keep the order in which they ended, because the oldest are dropped first.
	for _, key := range s.ended {
		m.Jobs = append(m.Jobs, s.jobs[key])
	}
	for _, key := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[key]; !HasEnded(j) || j.Instance != "" {
			m.Jobs = append(m.Jobs, j)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		m.Workers = append(m.Workers, s.workers[name])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// Restore replaces the replicated state by a snapshot.
func (s *State) Restore(data []byte) error {
	m := &jobpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode jobs")
	}
	s.reset()
	s.lastSeq, s.floor = m.LastSeq, m.Floor
	for _, w := range m.Workers {
		s.workers[w.Instance] = w
	}
	for _, j := range m.Jobs {
		s.jobs[j.Key] = j
		switch {
		case j.Instance != "":
			s.occupy(j)
		case HasEnded(j):
			s.ended = append(s.ended, j.Key)
		default:
			s.enqueue(j)
		}
		if !HasEnded(j) {
			s.payload += len(j.Submit.Payload)
		}
		s.track(j)
	}
	return nil
}

func (s *State) reset() {
	s.jobs, s.workers = map[string]*jobpb.Job{}, map[string]*jobpb.Worker{}
	s.ended, s.waitingByQueue, s.allocations = nil, map[string][]*jobpb.Job{}, map[string]*Allocation{}
	s.awaitingPlatform, s.runningByTeam, s.payload = map[string]struct{}{}, map[string]int{}, 0
	s.touched, s.full, s.justStarted = map[string]struct{}{}, 0, nil
	s.short = map[string]bool{}
	s.dirtyPools, s.members, s.seen = map[string]struct{}{}, map[string][]*fleet.Instance{}, 0
}

// Index returns the index of the configuration in force.
func (s *State) Index() *Index {
	cfg := s.cfg.Current()
	if s.cached == nil || s.cached.current != cfg {
		x := &Index{current: cfg, Teams: map[string]fleet.Team{}, Queues: map[string]fleet.Queue{}}
		for _, t := range cfg.Teams {
			x.Teams[t.Name] = t
		}
		for _, q := range cfg.Queues {
			x.Queues[q.Name] = q
		}
		s.cached = x
	}
	return s.cached
}

func validID(id string) bool {
	return id != "" && len(id) <= 128 && strings.IndexFunc(id, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
	}) < 0
}
