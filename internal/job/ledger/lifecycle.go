package ledger

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

const (
	// MaxPayloadBytes bounds the payload of one job in bytes.
	MaxPayloadBytes = 64 << 10
	// maxLive and maxLivePayload bound the jobs that haven't ended, so that a voter stays within its 32 MB: 1,000 workers
	// run at most 8,000 jobs at once, and as many may wait.
	maxLive        = 16384
	maxLivePayload = 4 << 20
	// maxEnded bounds the records of ended jobs.
	maxEnded = 4096
	// maxAhead is how far the time in an identifier may be ahead of the leader's clock; without it one bad clock would
	// raise the floor for everyone.
	maxAhead = time.Minute
	// maxWorkers is the number of distinct workers on which a job may fail.
	maxWorkers = 3
	// maxRefusals is the number of starts that the platform may refuse. It is larger than maxWorkers because a worker
	// that was just lost refuses everything until the kernel knows of the loss.
	maxRefusals = 10
	// maxRow is the number of different jobs in a row after which a worker is quarantined.
	maxRow = 3
)

// HasEnded reports whether the outcome of a job is committed.
func HasEnded(j *jobpb.Job) bool { return j.Phase >= jobpb.Phase_PHASE_FINISHED }

// JobResources returns what a job takes, with its slot.
func JobResources(r *jobpb.Resources) placement.Resources {
	return placement.Resources{
		MilliProcessors: r.GetMilliProcessors(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators(), Slots: 1,
	}
}

// ResourcesToProto encodes an amount.
func ResourcesToProto(r placement.Resources) *jobpb.Resources {
	return &jobpb.Resources{MilliProcessors: r.MilliProcessors, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// Capacity returns what an instance has.
func Capacity(in *fleet.Instance) placement.Resources {
	return placement.Resources{
		MilliProcessors: int64(in.Processors) * 1000, MemoryMiB: int64(in.MemoryMiB),
		Accelerators: int64(in.Accelerators), Slots: int64(in.Slots),
	}
}

func (s *State) submit(m *jobpb.Submit, at time.Duration) ([]byte, error) {
	if err := s.validate(m); err != nil {
		return nil, err
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, kernel.ErrInvalid.New("encode job: %v", err)
	}
	digest := sha256.Sum256(encoded)
	key := Key(m.Team, m.Id)
	if j, ok := s.jobs[key]; ok {
		if !bytes.Equal(j.Digest, digest[:]) {
			return nil, kernel.ErrConflict.New("job %s exists with other content", key)
		}
		return answer(j)
	}
	if err := s.fresh(m, at); err != nil {
		return nil, err
	}
	if len(s.jobs)-len(s.ended) >= maxLive || s.payload+len(m.Payload) > maxLivePayload {
		return nil, kernel.ErrConflict.New("the job store is full; the job was not accepted")
	}
	s.lastSeq++
	j := &jobpb.Job{
		Key: key, Seq: s.lastSeq, Submit: m, Phase: jobpb.Phase_PHASE_WAITING, SubmittedAt: int64(at), Digest: digest[:],
	}
	s.jobs[key] = j
	s.payload += len(m.Payload)
	s.enqueue(j)
	if reason := s.MisfitReason(j); reason != "" {
		s.end(j, jobpb.Phase_PHASE_FAILED, reason, at)
	}
	s.track(j)
	return answer(j)
}

func (s *State) validate(m *jobpb.Submit) error {
	x := s.Index()
	q, ok := x.Queues[m.Queue]
	if !ok {
		return kernel.ErrNotFound.New("no queue %q", m.Queue)
	}
	if _, ok := x.Teams[m.Team]; !ok {
		return kernel.ErrNotFound.New("no team %q", m.Team)
	}
	d := JobResources(m.Declared)
	switch {
	case len(q.Teams) > 0 && !slices.Contains(q.Teams, m.Team) && (!q.Open || q.OpenTeam != m.Team):
		return kernel.ErrInvalid.New("team %s may not use queue %s", m.Team, m.Queue)
	case !validID(m.Id):
		return kernel.ErrInvalid.New("job identifier must have 1 to 128 letters, digits, dots, hyphens or underscores")
	case d.MilliProcessors < 1 || d.MemoryMiB < 1 || d.Accelerators < 0:
		return kernel.ErrInvalid.New("job must declare processors and memory")
	case d.MilliProcessors > 1e9 || d.MemoryMiB > 1e9 || d.Accelerators > 1e6:
		return kernel.ErrInvalid.New("job declares more than any worker can have")
	case m.ExpectedRun <= 0:
		return kernel.ErrInvalid.New("job must declare its expected run time")
	case len(m.Payload) > MaxPayloadBytes:
		return kernel.ErrInvalid.New("payload has %d bytes; at most %d are allowed", len(m.Payload), MaxPayloadBytes)
	}
	return nil
}

// fresh refuses a non-idempotent job whose record may have been dropped already, because it might run again.
func (s *State) fresh(m *jobpb.Submit, at time.Duration) error {
	if m.Idempotent {
		return nil
	}
	ms, ok := idTime(m.Id)
	if !ok {
		return kernel.ErrInvalid.New("identifier of a non-idempotent job must be a UUIDv7")
	}
	if ms <= s.floor {
		return kernel.ErrConflict.New("identifier is older than the records that are kept; outcome unknown")
	}
	if ms > (at + maxAhead).Milliseconds() {
		return kernel.ErrInvalid.New("time in the identifier is more than %v ahead", maxAhead)
	}
	return nil
}

func idTime(id string) (ms int64, ok bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.String() != id {
		return 0, false
	}
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// MisfitReason returns why a job can never run: its queue or team is gone, or no member of the pool could run it even when empty.
// A pool without members may get some, so that its jobs wait.
func (s *State) MisfitReason(j *jobpb.Job) string {
	q, ok := s.Index().Queues[j.Submit.Queue]
	if !ok {
		return "queue is no longer configured"
	}
	if _, ok := s.Index().Teams[j.Submit.Team]; !ok {
		return "team is no longer configured"
	}
	need := JobResources(j.Submit.Declared)
	list := s.Members(q.Pool)
	reason := "fits no worker of the pool"
	for _, in := range list {
		if !need.Fits(Capacity(in)) {
			continue
		}
		if !slices.Contains(j.FailedOn, in.Name) {
			return ""
		}
		reason = "failed on each worker of the pool that it fits: " + j.Reason
	}
	if len(list) == 0 {
		return ""
	}
	return reason
}

// Members returns the instances of a pool; the list is built again when pools or configuration changed.
func (s *State) Members(name string) []*fleet.Instance {
	if now := s.pools.Revision(); s.seen != now {
		s.seen = now
		clear(s.members)
		cfg := s.cfg.Current()
		for i := range cfg.Instances {
			if place, _ := s.pools.PoolOf(cfg.Instances[i].Name); place != "" {
				s.members[place] = append(s.members[place], &cfg.Instances[i])
			}
		}
	}
	return s.members[name]
}

func (s *State) cancel(m *jobpb.Ref, at time.Duration) ([]byte, error) {
	j, ok := s.jobs[m.Key]
	if !ok {
		return nil, kernel.ErrNotFound.New("no job %q", m.Key)
	}
	if !HasEnded(j) {
		s.end(j, jobpb.Phase_PHASE_CANCELLED, "", at)
		s.track(j)
	}
	return answer(j)
}

func (s *State) start(m *jobpb.Start) error {
	j, ok := s.jobs[m.Key]
	s.onStartApplied(m)
	if !ok {
		return kernel.ErrNotFound.New("no job %q", m.Key)
	}
	if j.Phase != jobpb.Phase_PHASE_WAITING || j.Epoch+1 != m.Epoch {
		return kernel.ErrConflict.New("job %s is %v with epoch %d", j.Key, j.Phase, j.Epoch)
	}
	if !j.Submit.Idempotent && j.Starts > 0 {
		return kernel.ErrConflict.New("job %s was started before", j.Key)
	}
	place, admit := s.pools.PoolOf(m.Instance)
	if !admit || place != s.Index().Queues[j.Submit.Queue].Pool || s.pools.Epoch(m.Instance) != m.InstanceEpoch ||
		s.QuarantinePending(m.Instance) {
		return kernel.ErrConflict.New("instance %s takes no jobs of queue %s", m.Instance, j.Submit.Queue)
	}
	in := s.pools.Instance(m.Instance)
	charge := JobResources(m.Charge)
	if in == nil || !JobResources(j.Submit.Declared).Fits(Capacity(in)) || !s.charged(m.Instance).Add(charge).Fits(Capacity(in)) {
		return kernel.ErrConflict.New("job %s doesn't fit on instance %s", j.Key, m.Instance)
	}
	if !s.reserve(j.Submit.Team, m.Instance) {
		return kernel.ErrConflict.New("no quota for job %s on instance %s", j.Key, m.Instance)
	}
	s.dequeue(j)
	if j.Previous != "" && j.Previous != m.Instance {
		j.Moves++
	}
	j.Phase, j.Epoch, j.Instance, j.InstanceEpoch = jobpb.Phase_PHASE_STARTING, m.Epoch, m.Instance, m.InstanceEpoch
	j.Charge, j.Losses = ResourcesToProto(charge), s.pools.Losses(m.Instance)
	j.Starts++
	s.occupy(j)
	s.justStarted = append(s.justStarted, j.Key)
	s.track(j)
	return nil
}

// vacate frees what the job takes; the platform has confirmed that its task doesn't run any more.
func (s *State) vacate(j *jobpb.Job) {
	if j.Instance == "" {
		return
	}
	u := s.allocations[j.Instance]
	u.charge = u.charge.Sub(JobResources(j.Charge))
	if delete(u.jobs, j.Key); len(u.jobs) == 0 {
		delete(s.allocations, j.Instance)
	}
	s.quota.Unreserve(quota.TeamResource(j.Submit.Team))
	s.quota.Unreserve(quota.SlotResource(j.Instance))
	s.runningByTeam[j.Submit.Team]--
	if place, _ := s.pools.PoolOf(j.Instance); place != "" {
		s.dirtyPools[place] = struct{}{}
	}
	j.Previous, j.Instance, j.InstanceEpoch, j.Charge = j.Instance, "", 0, nil
	j.Preempted, j.UrgentPreempt, j.Drain, j.Throttle, j.Throttled = jobpb.How_HOW_NONE, false, false, false, false
	if HasEnded(j) {
		s.retire(j)
	}
}

func (s *State) occupy(j *jobpb.Job) {
	u := s.allocations[j.Instance]
	if u == nil {
		u = &Allocation{jobs: map[string]*jobpb.Job{}}
		s.allocations[j.Instance] = u
	}
	u.charge = u.charge.Add(JobResources(j.Charge))
	u.jobs[j.Key] = j
	s.runningByTeam[j.Submit.Team]++
}

func (s *State) charged(instance string) placement.Resources {
	if u := s.allocations[instance]; u != nil {
		return u.charge
	}
	return placement.Resources{}
}

// wait puts a vacated job back into its queue.
func (s *State) wait(j *jobpb.Job, reason string) {
	s.vacate(j)
	j.Phase, j.Reason = jobpb.Phase_PHASE_WAITING, reason
	s.enqueue(j)
}

func (s *State) enqueue(j *jobpb.Job) {
	list := s.waitingByQueue[j.Submit.Queue]
	i, _ := slices.BinarySearchFunc(list, j, BySeq)
	s.waitingByQueue[j.Submit.Queue] = slices.Insert(list, i, j)
	s.dirtyPools[s.Index().Queues[j.Submit.Queue].Pool] = struct{}{}
}

func (s *State) dequeue(j *jobpb.Job) {
	list := s.waitingByQueue[j.Submit.Queue]
	if i, ok := slices.BinarySearchFunc(list, j, BySeq); ok {
		s.waitingByQueue[j.Submit.Queue] = slices.Delete(list, i, i+1)
	}
}

// end commits the outcome of a job, which never changes afterwards. A cancelled job keeps its instance until the
// platform has stopped the task.
func (s *State) end(j *jobpb.Job, phase jobpb.Phase, reason string, at time.Duration) {
	if j.Phase == jobpb.Phase_PHASE_WAITING {
		s.dequeue(j)
	}
	j.Phase, j.Reason, j.EndedAt = phase, reason, int64(at)
	s.payload -= len(j.Submit.Payload)
	j.Submit.Payload = nil
	if j.Instance == "" {
		s.retire(j)
	}
}

// retire bounds the records of ended jobs. Dropping that of a non-idempotent job raises the floor.
func (s *State) retire(j *jobpb.Job) {
	s.ended = append(s.ended, j.Key)
	for len(s.ended) > maxEnded {
		old := s.jobs[s.ended[0]]
		if !old.Submit.Idempotent {
			if ms, ok := idTime(old.Submit.Id); ok {
				s.floor = max(s.floor, ms)
			}
		}
		delete(s.jobs, old.Key)
		delete(s.awaitingPlatform, old.Key)
		s.ended = s.ended[1:]
	}
}

// track notes a changed job for the next check and decision.
func (s *State) track(j *jobpb.Job) {
	s.touched[j.Key] = struct{}{}
	waits := j.Phase == jobpb.Phase_PHASE_STARTING || j.Instance != "" && HasEnded(j) ||
		j.Phase == jobpb.Phase_PHASE_CHECKPOINTING || j.Instance != "" && j.Throttle != j.Throttled
	if waits {
		s.awaitingPlatform[j.Key] = struct{}{}
	} else {
		delete(s.awaitingPlatform, j.Key)
	}
}
