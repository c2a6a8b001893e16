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
	// MaxPayloadBytes is the maximum size of the payload of one job.
	MaxPayloadBytes = 64 << 10
	// maxLiveJobs and maxLivePayloadBytes limit the jobs that haven't ended, so that a voter stays within its 32 MB of
	// memory: 1,000 workers run at most 8,000 jobs at once, and about as many may wait.
	maxLiveJobs         = 16384
	maxLivePayloadBytes = 4 << 20
	// maxEndedJobs is the number of ended jobs whose records are kept.
	maxEndedJobs = 4096
	// maxIDAhead is how far the time in an identifier may be ahead of the leader's clock. Without a limit, a job from one
	// wrong clock would raise droppedUntilMs, and the jobs of all other clients would be rejected as too old.
	maxIDAhead = time.Minute
	// maxFailedWorkers is the number of distinct workers on which a job fails before the job itself has failed.
	maxFailedWorkers = 3
	// maxRejectedStarts is the number of rejected starts after which a job has failed. It is larger than maxFailedWorkers
	// because a worker that was just lost rejects every start until the kernel learns of the loss.
	maxRejectedStarts = 10
	// quarantineAfterFailures is the number of different jobs that must fail on a worker, with none finishing in between,
	// before the worker is quarantined.
	quarantineAfterFailures = 3
)

// HasEnded reports whether a job has ended, with any result. The result never changes afterwards.
func HasEnded(j *jobpb.Job) bool { return j.Phase >= jobpb.Phase_PHASE_FINISHED }

// JobResources decodes the resources of a job and adds its slot.
func JobResources(r *jobpb.Resources) placement.Resources {
	return placement.Resources{
		MilliProcessors: r.GetMilliProcessors(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators(), Slots: 1,
	}
}

// ResourcesToProto encodes resources without their slots.
func ResourcesToProto(r placement.Resources) *jobpb.Resources {
	return &jobpb.Resources{MilliProcessors: r.MilliProcessors, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// Capacity returns the total resources of an instance.
func Capacity(in *fleet.Instance) placement.Resources {
	return placement.Resources{
		MilliProcessors: int64(in.Processors) * 1000, MemoryMiB: int64(in.MemoryMiB),
		Accelerators: int64(in.Accelerators), Slots: int64(in.Slots),
	}
}

func (s *State) applySubmit(m *jobpb.Submit, at time.Duration) ([]byte, error) {
	if err := s.validateSubmit(m); err != nil {
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
		return encodeWithoutPayload(j)
	}
	if err := s.checkIDTime(m, at); err != nil {
		return nil, err
	}
	if len(s.jobs)-len(s.endedKeys) >= maxLiveJobs || s.payloadBytes+len(m.Payload) > maxLivePayloadBytes {
		return nil, kernel.ErrConflict.New("the job store is full; the job was not accepted")
	}
	s.lastSeq++
	j := &jobpb.Job{
		Key: key, Seq: s.lastSeq, Submit: m, Phase: jobpb.Phase_PHASE_WAITING, SubmittedAt: int64(at), Digest: digest[:],
	}
	s.jobs[key] = j
	s.payloadBytes += len(m.Payload)
	s.enqueue(j)
	if reason := s.MisfitReason(j); reason != "" {
		s.endJob(j, jobpb.Phase_PHASE_FAILED, reason, at)
	}
	s.markChanged(j)
	return encodeWithoutPayload(j)
}

func (s *State) validateSubmit(m *jobpb.Submit) error {
	index := s.Index()
	queue, ok := index.Queues[m.Queue]
	if !ok {
		return kernel.ErrNotFound.New("no queue %q", m.Queue)
	}
	if _, ok := index.Teams[m.Team]; !ok {
		return kernel.ErrNotFound.New("no team %q", m.Team)
	}
	declared := JobResources(m.Declared)
	switch {
	case len(queue.Teams) > 0 && !slices.Contains(queue.Teams, m.Team) && (!queue.Open || queue.OpenTeam != m.Team):
		return kernel.ErrInvalid.New("team %s may not use queue %s", m.Team, m.Queue)
	case !validID(m.Id):
		return kernel.ErrInvalid.New("job identifier must have 1 to 128 letters, digits, dots, hyphens or underscores")
	case declared.MilliProcessors < 1 || declared.MemoryMiB < 1 || declared.Accelerators < 0:
		return kernel.ErrInvalid.New("job must declare processors and memory")
	case declared.MilliProcessors > 1e9 || declared.MemoryMiB > 1e9 || declared.Accelerators > 1e6:
		return kernel.ErrInvalid.New("job declares more than any worker can have")
	case m.ExpectedRun <= 0:
		return kernel.ErrInvalid.New("job must declare its expected run time")
	case len(m.Payload) > MaxPayloadBytes:
		return kernel.ErrInvalid.New("payload has %d bytes; at most %d are allowed", len(m.Payload), MaxPayloadBytes)
	}
	return nil
}

// checkIDTime rejects a non-idempotent job whose record may have been dropped already, because it could run twice. It
// compares the time in the job's UUIDv7 with droppedUntilMs.
func (s *State) checkIDTime(m *jobpb.Submit, at time.Duration) error {
	if m.Idempotent {
		return nil
	}
	ms, ok := idTimeMs(m.Id)
	if !ok {
		return kernel.ErrInvalid.New("identifier of a non-idempotent job must be a UUIDv7")
	}
	if ms <= s.droppedUntilMs {
		return kernel.ErrConflict.New("identifier is older than the records that are kept; outcome unknown")
	}
	if ms > (at + maxIDAhead).Milliseconds() {
		return kernel.ErrInvalid.New("time in the identifier is more than %v ahead", maxIDAhead)
	}
	return nil
}

// idTimeMs returns the Unix time in milliseconds of a UUIDv7 in its canonical form.
func idTimeMs(id string) (ms int64, ok bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.String() != id {
		return 0, false
	}
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// MisfitReason returns why a job can never run, or an empty string if it can. A job can't run if its queue or team was
// removed, or if on each member of its pool it either doesn't fit or has failed. The jobs of an empty pool wait.
func (s *State) MisfitReason(j *jobpb.Job) string {
	queue, ok := s.Index().Queues[j.Submit.Queue]
	if !ok {
		return "queue is no longer configured"
	}
	if _, ok := s.Index().Teams[j.Submit.Team]; !ok {
		return "team is no longer configured"
	}
	declared := JobResources(j.Submit.Declared)
	members := s.Members(queue.Pool)
	reason := "fits no worker of the pool"
	for _, in := range members {
		if !declared.Fits(Capacity(in)) {
			continue
		}
		if !slices.Contains(j.FailedOn, in.Name) {
			return ""
		}
		reason = "failed on each worker of the pool that it fits: " + j.Reason
	}
	if len(members) == 0 {
		return ""
	}
	return reason
}

// Members returns the instances of a pool. The lists are cached until the pools or the configuration change.
func (s *State) Members(name string) []*fleet.Instance {
	if revision := s.pools.Revision(); s.membersRevision != revision {
		s.membersRevision = revision
		clear(s.members)
		cfg := s.cfg.Current()
		for i := range cfg.Instances {
			if poolName, _ := s.pools.PoolOf(cfg.Instances[i].Name); poolName != "" {
				s.members[poolName] = append(s.members[poolName], &cfg.Instances[i])
			}
		}
	}
	return s.members[name]
}

func (s *State) applyCancel(m *jobpb.Ref, at time.Duration) ([]byte, error) {
	j, ok := s.jobs[m.Key]
	if !ok {
		return nil, kernel.ErrNotFound.New("no job %q", m.Key)
	}
	if !HasEnded(j) {
		s.endJob(j, jobpb.Phase_PHASE_CANCELLED, "", at)
		s.markChanged(j)
	}
	return encodeWithoutPayload(j)
}

func (s *State) applyStart(m *jobpb.Start) error {
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
	poolName, admit := s.pools.PoolOf(m.Instance)
	if !admit || poolName != s.Index().Queues[j.Submit.Queue].Pool || s.pools.Epoch(m.Instance) != m.InstanceEpoch ||
		s.QuarantinePending(m.Instance) {
		return kernel.ErrConflict.New("instance %s takes no jobs of queue %s", m.Instance, j.Submit.Queue)
	}
	in := s.pools.Instance(m.Instance)
	charge := JobResources(m.Charge)
	if in == nil || !JobResources(j.Submit.Declared).Fits(Capacity(in)) ||
		!s.chargeOn(m.Instance).Add(charge).Fits(Capacity(in)) {
		return kernel.ErrConflict.New("job %s doesn't fit on instance %s", j.Key, m.Instance)
	}
	if !s.reserveQuota(j.Submit.Team, m.Instance) {
		return kernel.ErrConflict.New("no quota for job %s on instance %s", j.Key, m.Instance)
	}
	s.dequeue(j)
	if j.Previous != "" && j.Previous != m.Instance {
		j.Moves++
	}
	j.Phase, j.Epoch, j.Instance, j.InstanceEpoch = jobpb.Phase_PHASE_STARTING, m.Epoch, m.Instance, m.InstanceEpoch
	j.Charge, j.Losses = ResourcesToProto(charge), s.pools.Losses(m.Instance)
	j.Starts++
	s.allocateResources(j)
	s.uncheckedStarts = append(s.uncheckedStarts, j.Key)
	s.markChanged(j)
	return nil
}

// releaseResources returns the resources, the quota and the slot of a job whose task no longer runs on the platform.
func (s *State) releaseResources(j *jobpb.Job) {
	if j.Instance == "" {
		return
	}
	a := s.allocations[j.Instance]
	a.charge = a.charge.Sub(JobResources(j.Charge))
	if delete(a.jobs, j.Key); len(a.jobs) == 0 {
		delete(s.allocations, j.Instance)
	}
	s.quota.Unreserve(quota.TeamResource(j.Submit.Team))
	s.quota.Unreserve(quota.SlotResource(j.Instance))
	s.runningByTeam[j.Submit.Team]--
	if poolName, _ := s.pools.PoolOf(j.Instance); poolName != "" {
		s.dirtyPools[poolName] = struct{}{}
	}
	j.Previous, j.Instance, j.InstanceEpoch, j.Charge = j.Instance, "", 0, nil
	j.Preempted, j.UrgentPreempt, j.Drain, j.Throttle, j.Throttled = jobpb.How_HOW_NONE, false, false, false, false
	if HasEnded(j) {
		s.recordEnded(j)
	}
}

// allocateResources adds the charge of a job to its instance.
func (s *State) allocateResources(j *jobpb.Job) {
	a := s.allocations[j.Instance]
	if a == nil {
		a = &Allocation{jobs: map[string]*jobpb.Job{}}
		s.allocations[j.Instance] = a
	}
	a.charge = a.charge.Add(JobResources(j.Charge))
	a.jobs[j.Key] = j
	s.runningByTeam[j.Submit.Team]++
}

func (s *State) chargeOn(instance string) placement.Resources {
	if a := s.allocations[instance]; a != nil {
		return a.charge
	}
	return placement.Resources{}
}

// requeue releases the resources of a job and puts it back into its queue.
func (s *State) requeue(j *jobpb.Job, reason string) {
	s.releaseResources(j)
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

// endJob sets the final phase of a job. A canceled job keeps its resources until the platform has stopped its task.
func (s *State) endJob(j *jobpb.Job, phase jobpb.Phase, reason string, at time.Duration) {
	if j.Phase == jobpb.Phase_PHASE_WAITING {
		s.dequeue(j)
	}
	j.Phase, j.Reason, j.EndedAt = phase, reason, int64(at)
	s.payloadBytes -= len(j.Submit.Payload)
	j.Submit.Payload = nil
	if j.Instance == "" {
		s.recordEnded(j)
	}
}

// recordEnded adds a job to the ended ones and drops the oldest records above the limit. A dropped non-idempotent job
// raises droppedUntilMs, so that it can't be submitted again.
func (s *State) recordEnded(j *jobpb.Job) {
	s.endedKeys = append(s.endedKeys, j.Key)
	for len(s.endedKeys) > maxEndedJobs {
		old := s.jobs[s.endedKeys[0]]
		if !old.Submit.Idempotent {
			if ms, ok := idTimeMs(old.Submit.Id); ok {
				s.droppedUntilMs = max(s.droppedUntilMs, ms)
			}
		}
		delete(s.jobs, old.Key)
		delete(s.awaitingPlatform, old.Key)
		s.endedKeys = s.endedKeys[1:]
	}
}

// markChanged marks a job for the next check and updates whether it awaits a report of the platform.
func (s *State) markChanged(j *jobpb.Job) {
	s.uncheckedJobs[j.Key] = struct{}{}
	awaitsReport := j.Phase == jobpb.Phase_PHASE_STARTING || j.Instance != "" && HasEnded(j) ||
		j.Phase == jobpb.Phase_PHASE_CHECKPOINTING || j.Instance != "" && j.Throttle != j.Throttled
	if awaitsReport {
		s.awaitingPlatform[j.Key] = struct{}{}
	} else {
		delete(s.awaitingPlatform, j.Key)
	}
}
