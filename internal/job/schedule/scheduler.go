package schedule

import (
	"fmt"
	"maps"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/job/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
)

const (
	// inFlightFor is the time after which a start that was proposed and not applied is taken for lost.
	inFlightFor = time.Second
	// refusedFor is how long a job isn't started again on an instance for which the platform refused it.
	refusedFor = 30 * time.Second
)

// ProposeFunc adds a command to the leader's decision and reports whether it did; a command with the same key is not added
// again for a short time.
type ProposeFunc func(key string, m *jobpb.Command) bool

// Config holds what the scheduler depends on.
type Config struct {
	Configuration *configuration.State
	Pools         *pool.State
	Ledger        *ledger.State
}

// Scheduler holds the soft state of the leader about starts.
type Scheduler struct {
	cfg    *configuration.State
	pools  *pool.State
	ledger *ledger.State
	policy Policy

	estimator placement.Estimator
	since     map[string]time.Duration // when the leader first saw a job wait
	began     map[ref]time.Duration
	granted   map[string]grant // by job
	refused   map[refusal]time.Duration
	inflight  map[string]inflight // by pool
}

// ref names one start of a job.
type ref struct {
	key   string
	epoch uint64
}

// refusal names a job and an instance on which the platform refused to start it.
type refusal struct{ key, instance string }

// inflight holds the starts of a pool that were proposed and not applied yet.
type inflight struct {
	keys map[string]struct{}
	at   time.Duration
}

// New returns a scheduler with the fair policy.
func New(cfg Config) *Scheduler {
	s := &Scheduler{cfg: cfg.Configuration, pools: cfg.Pools, ledger: cfg.Ledger}
	s.Reset()
	return s
}

// Reset forgets the soft state, when this process becomes leader.
func (s *Scheduler) Reset() {
	s.estimator = placement.Estimator{}
	s.since, s.began = map[string]time.Duration{}, map[ref]time.Duration{}
	s.granted, s.refused, s.inflight = map[string]grant{}, map[refusal]time.Duration{}, map[string]inflight{}
}

// UsePolicy selects the policy.
func (s *Scheduler) UsePolicy(p Policy) { s.policy = p }

// Estimator returns the estimator of real sizes and run times.
func (s *Scheduler) Estimator() *placement.Estimator { return &s.estimator }

// JobClass names the jobs that are expected to be alike: those of one team on one queue.
func JobClass(j *jobpb.Job) string { return j.Submit.Team + "/" + j.Submit.Queue }

// RecordRunning notes that the task of a job runs.
func (s *Scheduler) RecordRunning(now time.Duration, j *jobpb.Job) {
	r := ref{j.Key, j.Epoch}
	if _, ok := s.began[r]; !ok {
		s.began[r] = now
	}
}

// RecordFinish notes that the task of a job finished.
func (s *Scheduler) RecordFinish(now time.Duration, j *jobpb.Job) {
	if at, ok := s.began[ref{j.Key, j.Epoch}]; ok {
		s.estimator.AddRunTime(JobClass(j), time.Duration(j.Submit.ExpectedRun), now-at)
	}
}

// RecordRejection notes that the platform refused to start a job on its instance.
func (s *Scheduler) RecordRejection(now time.Duration, j *jobpb.Job) {
	s.refused[refusal{j.Key, j.Instance}] = now
}

// RecordStartApplied notes that a start was applied, whether it succeeded or not.
func (s *Scheduler) RecordStartApplied(m *jobpb.Start) {
	place, _ := s.pools.PoolOf(m.Instance)
	f, ok := s.inflight[place]
	if !ok {
		return
	}
	if delete(f.keys, m.Key); len(f.keys) == 0 {
		delete(s.inflight, place)
		s.ledger.DirtyPools()[place] = struct{}{}
	}
}

// HasStartsInFlight reports whether starts of the pool are still on their way through the log.
func (s *Scheduler) HasStartsInFlight(now time.Duration, pool string) bool {
	f, ok := s.inflight[pool]
	return ok && now < f.at+inFlightFor
}

// RemoveStale drops what is out of date; it is called every second.
func (s *Scheduler) RemoveStale(now time.Duration) {
	jobs := s.ledger.Jobs()
	maps.DeleteFunc(s.began, func(r ref, _ time.Duration) bool {
		j := jobs[r.key]
		return j == nil || j.Instance == "" || j.Epoch != r.epoch
	})
	maps.DeleteFunc(s.refused, func(_ refusal, at time.Duration) bool { return now >= at+refusedFor })
	maps.DeleteFunc(s.granted, func(key string, g grant) bool { return now >= g.until || jobs[key] == nil })
	maps.DeleteFunc(s.since, func(key string, _ time.Duration) bool {
		return jobs[key].GetPhase() != jobpb.Phase_PHASE_WAITING
	})
}

// PreemptCommand returns the command that takes capacity from a running job, and its key.
func PreemptCommand(j *jobpb.Job, how jobpb.How, urgent, drain bool) (key string, m *jobpb.Command) {
	p := &jobpb.Preempt{Key: j.Key, Epoch: j.Epoch, How: how, Urgent: urgent, Drain: drain}
	return fmt.Sprintf("preempt %v %s %d", how, j.Key, j.Epoch), &jobpb.Command{Change: &jobpb.Command_Preempt{Preempt: p}}
}

// MisfitCommand returns the command that ends a job which can never run, and its key.
func MisfitCommand(j *jobpb.Job) (key string, m *jobpb.Command) {
	ref := &jobpb.Ref{Key: j.Key, Epoch: j.Epoch}
	return "misfit " + j.Key, &jobpb.Command{Change: &jobpb.Command_Misfit{Misfit: ref}}
}
