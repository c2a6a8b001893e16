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
	// inFlightTimeout is the time after which a start that was proposed but not applied is considered lost.
	inFlightTimeout = time.Second
	// rejectedStartDelay is how long a job isn't started again on an instance after the platform rejected its start there.
	rejectedStartDelay = 30 * time.Second
)

// ProposeFunc adds a command to the leader's decision and reports whether it was added. It rejects a command whose key
// was added a short time ago.
type ProposeFunc func(key string, m *jobpb.Command) bool

// Config holds the dependencies of the scheduler.
type Config struct {
	Configuration *configuration.State
	Pools         *pool.State
	Ledger        *ledger.State
}

// Scheduler decides which jobs start. Its state is not replicated and lasts as long as this process is the leader.
type Scheduler struct {
	cfg    *configuration.State
	pools  *pool.State
	ledger *ledger.State
	policy Policy

	estimator      placement.Estimator
	waitingSince   map[string]time.Duration // by job; when the leader first saw it waiting
	runningSince   map[jobRun]time.Duration
	reservations   map[string]reservation // by job
	rejectedAt     map[rejection]time.Duration
	startsInFlight map[string]inFlightStarts // by pool
}

// jobRun identifies one run of a job.
type jobRun struct {
	key   string
	epoch uint64
}

// rejection identifies a job and an instance on which the platform rejected its start.
type rejection struct{ key, instance string }

// inFlightStarts holds the starts of a pool that were proposed but not applied yet.
type inFlightStarts struct {
	keys map[string]struct{}
	at   time.Duration
}

// New returns a scheduler with the Fair policy.
func New(cfg Config) *Scheduler {
	s := &Scheduler{cfg: cfg.Configuration, pools: cfg.Pools, ledger: cfg.Ledger}
	s.Reset()
	return s
}

// Reset clears the state of an earlier term. It is called when this process becomes the leader.
func (s *Scheduler) Reset() {
	s.estimator = placement.Estimator{}
	s.waitingSince, s.runningSince = map[string]time.Duration{}, map[jobRun]time.Duration{}
	s.reservations, s.rejectedAt, s.startsInFlight =
		map[string]reservation{}, map[rejection]time.Duration{}, map[string]inFlightStarts{}
}

// UsePolicy sets the policy.
func (s *Scheduler) UsePolicy(p Policy) { s.policy = p }

// Estimator returns the estimator of the actual sizes and run times of jobs.
func (s *Scheduler) Estimator() *placement.Estimator { return &s.estimator }

// JobClass returns the class of a job. The jobs of one team on one queue form a class, as they are expected to be
// alike.
func JobClass(j *jobpb.Job) string { return j.Submit.Team + "/" + j.Submit.Queue }

// RecordRunning records when the current run of a job was first seen running.
func (s *Scheduler) RecordRunning(now time.Duration, j *jobpb.Job) {
	r := jobRun{j.Key, j.Epoch}
	if _, ok := s.runningSince[r]; !ok {
		s.runningSince[r] = now
	}
}

// RecordFinish passes the run time of a finished job to the estimator.
func (s *Scheduler) RecordFinish(now time.Duration, j *jobpb.Job) {
	if at, ok := s.runningSince[jobRun{j.Key, j.Epoch}]; ok {
		s.estimator.AddRunTime(JobClass(j), time.Duration(j.Submit.ExpectedRun), now-at)
	}
}

// RecordRejection records that the platform rejected the start of a job on its instance.
func (s *Scheduler) RecordRejection(now time.Duration, j *jobpb.Job) {
	s.rejectedAt[rejection{j.Key, j.Instance}] = now
}

// RecordStartApplied removes a start from those in flight. It is called whether the start succeeded or not.
func (s *Scheduler) RecordStartApplied(m *jobpb.Start) {
	poolName, _ := s.pools.PoolOf(m.Instance)
	inFlight, ok := s.startsInFlight[poolName]
	if !ok {
		return
	}
	if delete(inFlight.keys, m.Key); len(inFlight.keys) == 0 {
		delete(s.startsInFlight, poolName)
		s.ledger.DirtyPools()[poolName] = struct{}{}
	}
}

// HasStartsInFlight reports whether starts of the pool were proposed but not applied yet.
func (s *Scheduler) HasStartsInFlight(now time.Duration, pool string) bool {
	inFlight, ok := s.startsInFlight[pool]
	return ok && now < inFlight.at+inFlightTimeout
}

// RemoveStale drops expired entries and those that no longer match the state of their job. It is called every second.
func (s *Scheduler) RemoveStale(now time.Duration) {
	jobs := s.ledger.Jobs()
	maps.DeleteFunc(s.runningSince, func(r jobRun, _ time.Duration) bool {
		j := jobs[r.key]
		return j == nil || j.Instance == "" || j.Epoch != r.epoch
	})
	maps.DeleteFunc(s.rejectedAt, func(_ rejection, at time.Duration) bool { return now >= at+rejectedStartDelay })
	maps.DeleteFunc(s.reservations, func(key string, g reservation) bool { return now >= g.until || jobs[key] == nil })
	maps.DeleteFunc(s.waitingSince, func(key string, _ time.Duration) bool {
		return jobs[key].GetPhase() != jobpb.Phase_PHASE_WAITING
	})
}

// PreemptCommand returns the command that preempts a running job, and its key for ProposeFunc.
func PreemptCommand(j *jobpb.Job, how jobpb.How, urgent, drain bool) (key string, m *jobpb.Command) {
	p := &jobpb.Preempt{Key: j.Key, Epoch: j.Epoch, How: how, Urgent: urgent, Drain: drain}
	return fmt.Sprintf("preempt %v %s %d", how, j.Key, j.Epoch), &jobpb.Command{Change: &jobpb.Command_Preempt{Preempt: p}}
}

// MisfitCommand returns the command that ends a job that can never run, and its key for ProposeFunc.
func MisfitCommand(j *jobpb.Job) (key string, m *jobpb.Command) {
	ref := &jobpb.Ref{Key: j.Key, Epoch: j.Epoch}
	return "misfit " + j.Key, &jobpb.Command{Change: &jobpb.Command_Misfit{Misfit: ref}}
}
