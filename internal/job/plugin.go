package job

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

// Name is the plug-in name in commands and snapshots.
const Name = "job"

// State holds all jobs; it is owned by the kernel's goroutine.
type State struct {
	cfg     *configuration.State
	pools   *pool.State
	quota   Quota
	jobs    map[string]*jobpb.Job
	workers map[string]*jobpb.Worker
	lastSeq uint64
	floor   int64

	// Derived from the jobs.
	ended   []string                     // keys of ended jobs, oldest first
	waiting map[string][]*jobpb.Job      // by queue, in the order of submission
	use     map[string]*use              // by instance
	pending map[string]struct{}          // jobs that wait for an answer of the platform
	running map[string]int               // by team
	payload int                          // bytes held by jobs that haven't ended
	cached  *indexed                     // derived from the configuration
	touched map[string]struct{}          // jobs to check
	full    int                          // checks until one looks at everything
	dirty   map[string]struct{}          // pools with something new to decide
	members map[string][]*fleet.Instance // by pool
	seen    uint64                       // change of the pools for which members was built
	soft    soft
	policy  Policy

	justStarted []string // jobs started since the last check
}

// use is what the jobs on an instance take.
type use struct {
	charge placement.Resources
	jobs   map[string]*jobpb.Job
}

type indexed struct {
	current *fleet.Configuration
	teams   map[string]fleet.Team
	queues  map[string]fleet.Queue
}

func init() {
	kernel.Register(Name, []string{configuration.Name, pool.Name, quota.Name}, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	cfg, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
	pools, _ := kernel.Lookup[*pool.State](k, pool.Name)
	s := &State{cfg: cfg, pools: pools}
	s.reset()
	s.lead(0)
	s.quota = quotaFor(k)
	pools.AddBusy(func(instance string) bool { return s.use[instance] != nil })
	k.Provide(Name, s)
	return kernel.Plugin{
		Apply:    s.apply,
		Observe:  s.observe,
		Decide:   s.decide,
		Lead:     s.lead,
		Query:    s.query,
		Snapshot: s.encode,
		Restore:  s.restore,
		Check:    s.check,
	}
}

// Key returns the name of a job within the fleet.
func Key(team, id string) string { return team + "/" + id }

// SubmitCommand returns the command that hands in a job; the caller must be authorised for the team and the queue.
func SubmitCommand(op string, m *jobpb.Submit) (kernel.Command, error) {
	return command(op, &jobpb.Command{Change: &jobpb.Command_Submit{Submit: m}})
}

// CancelCommand returns the command that cancels a job of the team; it may be repeated.
func CancelCommand(op, team, id string) (kernel.Command, error) {
	return command(op, &jobpb.Command{Change: &jobpb.Command_Cancel{Cancel: &jobpb.Ref{Key: Key(team, id)}}})
}

// Query returns the query for one job.
func Query(team, id string) ([]byte, error) {
	return proto.Marshal(&jobpb.Query{Key: Key(team, id)})
}

// TeamQuery returns the query for all jobs of a team, or of everyone when the team is empty; with live it leaves out
// those that have ended.
func TeamQuery(team string, live bool) ([]byte, error) {
	return proto.Marshal(&jobpb.Query{Team: team, Live: live})
}

// DecodeJob returns the job that a submission, a cancellation or a Query answered, without its payload.
func DecodeJob(body []byte) (*jobpb.Job, error) {
	m := &jobpb.Job{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errorx.Decorate(err, "decode job")
	}
	return m, nil
}

// DecodeJobs returns the jobs that a TeamQuery answered, in the order of submission.
func DecodeJobs(body []byte) ([]*jobpb.Job, error) {
	m := &jobpb.Jobs{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errorx.Decorate(err, "decode jobs")
	}
	return m.Jobs, nil
}

func command(op string, m *jobpb.Command) (kernel.Command, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return kernel.Command{}, errorx.Decorate(err, "encode job command")
	}
	return kernel.Command{Plugin: Name, ID: op, Body: body}, nil
}

func (s *State) apply(c kernel.Command) ([]byte, error) {
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

func (s *State) query(req []byte) ([]byte, error) {
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
		if (m.Team == "" || j.Submit.Team == m.Team) && (!m.Live || !over(j)) {
			list.Jobs = append(list.Jobs, withoutPayload(j))
		}
	}
	slices.SortFunc(list.Jobs, bySeq)
	return proto.Marshal(list)
}

func bySeq(a, b *jobpb.Job) int { return int(int64(a.Seq) - int64(b.Seq)) }

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

func (s *State) encode() ([]byte, error) {
	m := &jobpb.State{LastSeq: s.lastSeq, Floor: s.floor}
	// Ended jobs keep the order in which they ended, because the oldest are dropped first.
	for _, key := range s.ended {
		m.Jobs = append(m.Jobs, s.jobs[key])
	}
	for _, key := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[key]; !over(j) || j.Instance != "" {
			m.Jobs = append(m.Jobs, j)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		m.Workers = append(m.Workers, s.workers[name])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func (s *State) restore(data []byte) error {
	m := &jobpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode jobs")
	}
	s.reset()
	s.lastSeq, s.floor = m.LastSeq, m.Floor
	for _, w := range m.Workers {
		s.workers[w.Instance] = w
	}
	held := map[string]int{}
	for _, j := range m.Jobs {
		s.jobs[j.Key] = j
		switch {
		case j.Instance != "":
			s.occupy(j)
			held[quota.TeamResource(j.Submit.Team)]++
			held[quota.SlotResource(j.Instance)]++
		case over(j):
			s.ended = append(s.ended, j.Key)
		default:
			s.enqueue(j)
		}
		if !over(j) {
			s.payload += len(j.Submit.Payload)
		}
		s.track(j)
	}
	if s.quota.Restored != nil {
		s.quota.Restored(held)
	}
	return nil
}

func (s *State) reset() {
	s.jobs, s.workers = map[string]*jobpb.Job{}, map[string]*jobpb.Worker{}
	s.ended, s.waiting, s.use = nil, map[string][]*jobpb.Job{}, map[string]*use{}
	s.pending, s.running, s.payload = map[string]struct{}{}, map[string]int{}, 0
	s.touched, s.full, s.justStarted = map[string]struct{}{}, 0, nil
	s.dirty, s.members, s.seen = map[string]struct{}{}, map[string][]*fleet.Instance{}, 0
}

func (s *State) index() *indexed {
	cfg := s.cfg.Current()
	if s.cached == nil || s.cached.current != cfg {
		x := &indexed{current: cfg, teams: map[string]fleet.Team{}, queues: map[string]fleet.Queue{}}
		for _, t := range cfg.Teams {
			x.teams[t.Name] = t
		}
		for _, q := range cfg.Queues {
			x.queues[q.Name] = q
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
