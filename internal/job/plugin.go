package job

import (
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/job/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/job/schedule"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
)

// Name is the plug-in name in commands and snapshots.
const Name = "job"

// State is the job plug-in; it is owned by the kernel's goroutine.
type State struct {
	pools     *pool.State
	ledger    *ledger.State
	scheduler *schedule.Scheduler
	leader    leaderState
}

// Quota accounts for running jobs against the upper limits of teams and the slots of instances.
type Quota = ledger.Quota

// MaxPayloadBytes is the maximum size of the payload of one job.
const MaxPayloadBytes = ledger.MaxPayloadBytes

// Policy selects how waiting jobs are ordered.
type Policy = schedule.Policy

// Policies of the scheduler.
const (
	// Fair divides a full pool by weighted max-min shares, starts urgent work first, and preempts.
	Fair = schedule.Fair
	// FirstInFirstOut starts jobs in the order of submission and never preempts; it is the baseline for comparisons.
	FirstInFirstOut = schedule.FirstInFirstOut
)

func init() {
	kernel.Register(Name, []string{configuration.Name, pool.Name, quota.Name}, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	cfg, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
	pools, _ := kernel.Lookup[*pool.State](k, pool.Name)
	quotas, _ := kernel.Lookup[*quota.State](k, quota.Name)
	s := &State{pools: pools}
	s.ledger = ledger.New(ledger.Config{
		Configuration: cfg, Pools: pools, Quota: quotas,
		OnStartApplied: func(m *jobpb.Start) { s.scheduler.RecordStartApplied(m) },
	})
	s.scheduler = schedule.New(schedule.Config{Configuration: cfg, Pools: pools, Ledger: s.ledger})
	s.resetLeaderState(0)
	pools.AddBusyCheck(func(instance string) bool { return s.ledger.Allocations()[instance] != nil })
	k.Provide(Name, s)
	return kernel.Plugin{
		Apply:        s.ledger.Apply,
		Observe:      s.observe,
		Decide:       s.decide,
		BecomeLeader: s.resetLeaderState,
		Query:        s.ledger.Query,
		Snapshot:     s.ledger.Snapshot,
		Restore:      s.ledger.Restore,
		Check:        s.ledger.Check,
	}
}

// UsePolicy sets the policy of the scheduler.
func (s *State) UsePolicy(p Policy) { s.scheduler.UsePolicy(p) }

// Key returns the key of a job, which is unique in the fleet.
func Key(team, id string) string { return ledger.Key(team, id) }

// SubmitCommand returns the command that submits a job. The caller must be authorized for the team and the queue.
func SubmitCommand(op string, m *jobpb.Submit) (kernel.Command, error) {
	return kernel.NewCommand(Name, op, &jobpb.Command{Change: &jobpb.Command_Submit{Submit: m}})
}

// CancelCommand returns the command that cancels a job of the team. It is idempotent.
func CancelCommand(op, team, id string) (kernel.Command, error) {
	return kernel.NewCommand(Name, op, &jobpb.Command{
		Change: &jobpb.Command_Cancel{Cancel: &jobpb.Ref{Key: Key(team, id)}},
	})
}

// Query returns the query for one job.
func Query(team, id string) ([]byte, error) {
	return proto.Marshal(&jobpb.Query{Key: Key(team, id)})
}

// TeamQuery returns the query for the jobs of a team, or of all teams if the name is empty. If live is set, it leaves
// out the jobs that have ended.
func TeamQuery(team string, live bool) ([]byte, error) {
	return proto.Marshal(&jobpb.Query{Team: team, Live: live})
}

// DecodeJob decodes the response to a submission, a cancellation or a Query: the job without its payload.
func DecodeJob(body []byte) (*jobpb.Job, error) {
	m := &jobpb.Job{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errorx.Decorate(err, "decode job")
	}
	return m, nil
}

// DecodeJobs decodes the response to a TeamQuery: the jobs in the order of submission.
func DecodeJobs(body []byte) ([]*jobpb.Job, error) {
	m := &jobpb.Jobs{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errorx.Decorate(err, "decode jobs")
	}
	return m.Jobs, nil
}
