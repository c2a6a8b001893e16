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
	droppedUntilMs int64 // UUIDv7 time up to which records of non-idempotent jobs may have been dropped

	// Derived from the jobs and the configuration.
	endedKeys        []string                     // keys of ended jobs, oldest first
	waitingByQueue   map[string][]*jobpb.Job      // by queue, in the order of submission
	allocations      map[string]*Allocation       // by instance
	awaitingPlatform map[string]struct{}          // jobs whose next report from the platform is awaited
	runningByTeam    map[string]int               // by team
	payloadBytes     int                          // bytes held by jobs that haven't ended
	index            *Index                       // of the current configuration
	uncheckedJobs    map[string]struct{}          // jobs changed since the last check
	uncheckedStarts  []string                     // jobs started since the last check
	checksUntilFull  int                          // checks of changed jobs until the next full check
	dirtyPools       map[string]struct{}          // pools that need a scheduling round
	members          map[string][]*fleet.Instance // by pool
	membersRevision  uint64                       // revision of the pools from which members was built
	slotShortage     map[string]bool              // instances on which a start found no free slot
	quotaShortage    bool                         // a start lacked quota
}

// Allocation holds the jobs on an instance and the resources that they are charged.
type Allocation struct {
	charge placement.Resources
	jobs   map[string]*jobpb.Job
}

// Charge returns the sum of the charges of the jobs.
func (a *Allocation) Charge() placement.Resources { return a.charge }

// Jobs returns the jobs by key. The map must not be changed.
func (a *Allocation) Jobs() map[string]*jobpb.Job { return a.jobs }

// Index holds the teams and queues of a configuration by name.
type Index struct {
	current *fleet.Configuration
	Teams   map[string]fleet.Team
	Queues  map[string]fleet.Queue
}

// Config holds the dependencies of the ledger.
type Config struct {
	Configuration *configuration.State
	Pools         *pool.State
	Quota         *quota.State
	// OnStartApplied is called for each start command that is applied, whether it succeeds or not. It may be nil.
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

// Key returns the key of a job, which is unique in the fleet.
func Key(team, id string) string { return team + "/" + id }

// Jobs returns all jobs by key. This map and those of the methods below must not be changed, except DirtyPools.
func (s *State) Jobs() map[string]*jobpb.Job { return s.jobs }

// Workers returns the consecutive failures of workers by instance.
func (s *State) Workers() map[string]*jobpb.Worker { return s.workers }

// WaitingByQueue returns the waiting jobs by queue, in the order of submission.
func (s *State) WaitingByQueue() map[string][]*jobpb.Job { return s.waitingByQueue }

// Allocations returns the allocations by instance, without instances that have no jobs.
func (s *State) Allocations() map[string]*Allocation { return s.allocations }

// AwaitingPlatform returns the keys of the jobs whose next report from the platform is awaited.
func (s *State) AwaitingPlatform() map[string]struct{} { return s.awaitingPlatform }

// RunningByTeam returns the number of jobs with an instance by team.
func (s *State) RunningByTeam() map[string]int { return s.runningByTeam }

// DirtyPools returns the pools that need a scheduling round. The leader adds and removes names.
func (s *State) DirtyPools() map[string]struct{} { return s.dirtyPools }

// Apply applies a command of the job plug-in.
func (s *State) Apply(c kernel.Command) ([]byte, error) {
	m := &jobpb.Command{}
	if err := proto.Unmarshal(c.Body, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode job command: %v", err)
	}
	switch change := m.Change.(type) {
	case *jobpb.Command_Submit:
		return s.applySubmit(change.Submit, c.At)
	case *jobpb.Command_Cancel:
		return s.applyCancel(change.Cancel, c.At)
	case *jobpb.Command_Start:
		return nil, s.applyStart(change.Start)
	case *jobpb.Command_Reports:
		for _, r := range change.Reports.Reports {
			s.applyReport(r, c.At)
		}
		return nil, nil
	case *jobpb.Command_Preempt:
		return nil, s.applyPreempt(change.Preempt)
	case *jobpb.Command_Unthrottle:
		return nil, s.applyUnthrottle(change.Unthrottle)
	case *jobpb.Command_Lost:
		return nil, s.applyLost(change.Lost, c.At)
	case *jobpb.Command_Misfit:
		return nil, s.applyMisfit(change.Misfit, c.At)
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
		return encodeWithoutPayload(j)
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

// BySeq compares jobs by the order of their submission.
func BySeq(a, b *jobpb.Job) int { return int(int64(a.Seq) - int64(b.Seq)) }

func encodeWithoutPayload(j *jobpb.Job) ([]byte, error) {
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
	m := &jobpb.State{LastSeq: s.lastSeq, Floor: s.droppedUntilMs}
	// Ended jobs keep the order in which they ended, because the oldest records are dropped first.
	for _, key := range s.endedKeys {
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
	s.lastSeq, s.droppedUntilMs = m.LastSeq, m.Floor
	for _, w := range m.Workers {
		s.workers[w.Instance] = w
	}
	for _, j := range m.Jobs {
		s.jobs[j.Key] = j
		switch {
		case j.Instance != "":
			s.allocateResources(j)
		case HasEnded(j):
			s.endedKeys = append(s.endedKeys, j.Key)
		default:
			s.enqueue(j)
		}
		if !HasEnded(j) {
			s.payloadBytes += len(j.Submit.Payload)
		}
		s.markChanged(j)
	}
	return nil
}

func (s *State) reset() {
	s.jobs, s.workers = map[string]*jobpb.Job{}, map[string]*jobpb.Worker{}
	s.endedKeys, s.waitingByQueue, s.allocations = nil, map[string][]*jobpb.Job{}, map[string]*Allocation{}
	s.awaitingPlatform, s.runningByTeam, s.payloadBytes = map[string]struct{}{}, map[string]int{}, 0
	s.uncheckedJobs, s.checksUntilFull, s.uncheckedStarts = map[string]struct{}{}, 0, nil
	s.slotShortage = map[string]bool{}
	s.dirtyPools, s.members, s.membersRevision = map[string]struct{}{}, map[string][]*fleet.Instance{}, 0
}

// Index returns the index of the current configuration.
func (s *State) Index() *Index {
	cfg := s.cfg.Current()
	if s.index == nil || s.index.current != cfg {
		index := &Index{current: cfg, Teams: map[string]fleet.Team{}, Queues: map[string]fleet.Queue{}}
		for _, t := range cfg.Teams {
			index.Teams[t.Name] = t
		}
		for _, q := range cfg.Queues {
			index.Queues[q.Name] = q
		}
		s.index = index
	}
	return s.index
}

func validID(id string) bool {
	return id != "" && len(id) <= 128 && strings.IndexFunc(id, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
	}) < 0
}
