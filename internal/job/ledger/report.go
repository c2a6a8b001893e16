package ledger

import (
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
)

// applyReport applies a report of the platform on a task. Repeated reports and those on another run of the job have no
// effect.
func (s *State) applyReport(r *jobpb.Report, at time.Duration) {
	j, ok := s.jobs[r.Key]
	if !ok || j.Instance == "" || j.Epoch != r.Epoch {
		return
	}
	defer s.markChanged(j)
	switch r.Outcome {
	case jobpb.Outcome_OUTCOME_STARTED, jobpb.Outcome_OUTCOME_RUNNING:
		if j.Phase == jobpb.Phase_PHASE_STARTING {
			j.Phase = jobpb.Phase_PHASE_RUNNING
		}
		s.setThrottled(j, r.Throttled)
	case jobpb.Outcome_OUTCOME_FINISHED:
		if w := s.workers[j.Instance]; w != nil && !w.Quarantine {
			delete(s.workers, j.Instance)
		}
		if !HasEnded(j) {
			s.endJob(j, jobpb.Phase_PHASE_FINISHED, "", at)
		}
		s.releaseResources(j)
	case jobpb.Outcome_OUTCOME_FAILED:
		s.applyFailure(j, r, at)
	case jobpb.Outcome_OUTCOME_REFUSED:
		s.applyRejection(j, r, at)
	case jobpb.Outcome_OUTCOME_CHECKPOINTED:
		j.Checkpoint = true
		s.interruptRun(j, "checkpointed", at)
	case jobpb.Outcome_OUTCOME_STOPPED:
		s.interruptRun(j, "stopped by the platform", at)
	case jobpb.Outcome_OUTCOME_UNKNOWN:
		// A starting task may not have reached the platform yet, and a canceled one ends with the report on its stop.
		if j.Phase == jobpb.Phase_PHASE_RUNNING || j.Phase == jobpb.Phase_PHASE_CHECKPOINTING {
			s.interruptRun(j, "unknown to the platform", at)
		}
	}
}

// interruptRun ends a run that has no result. An idempotent job waits again; any other ends as unknown.
func (s *State) interruptRun(j *jobpb.Job, reason string, at time.Duration) {
	switch {
	case HasEnded(j):
		s.releaseResources(j)
	case j.Submit.Idempotent:
		s.requeue(j, reason)
	default:
		s.endJob(j, jobpb.Phase_PHASE_UNKNOWN, reason, at)
		s.releaseResources(j)
	}
}

func (s *State) applyFailure(j *jobpb.Job, r *jobpb.Report, at time.Duration) {
	instance := j.Instance
	switch {
	case HasEnded(j):
		s.releaseResources(j)
		return
	case !j.Submit.Idempotent:
		s.endJob(j, jobpb.Phase_PHASE_FAILED, r.Reason, at)
		s.releaseResources(j)
		s.addWorkerFailure(j, instance)
		return
	}
	if !slices.Contains(j.FailedOn, instance) && !s.isQuarantined(instance) {
		j.FailedOn = append(j.FailedOn, instance)
	}
	s.requeue(j, r.Reason)
	s.addWorkerFailure(j, instance)
	if len(j.FailedOn) >= maxFailedWorkers {
		s.endJob(j, jobpb.Phase_PHASE_FAILED, "failed on 3 workers; last: "+r.Reason, at)
	}
}

// applyRejection ends a start that the platform didn't run and never will. It doesn't count as a failure of the worker.
func (s *State) applyRejection(j *jobpb.Job, r *jobpb.Report, at time.Duration) {
	switch {
	case HasEnded(j):
		s.releaseResources(j)
	case j.Phase == jobpb.Phase_PHASE_STARTING: // in later phases the task runs and a repeated call was rejected
		j.Starts--
		j.Refusals++
		s.requeue(j, r.Reason)
		if j.Refusals >= maxRejectedStarts {
			s.endJob(j, jobpb.Phase_PHASE_FAILED, "refused by the platform: "+r.Reason, at)
		}
	}
}

// addWorkerFailure adds a job to the consecutive failures of a worker. After quarantineAfterFailures of them the worker
// is quarantined, and its failures no longer count against jobs.
func (s *State) addWorkerFailure(j *jobpb.Job, instance string) {
	w := s.workers[instance]
	epoch := s.pools.Epoch(instance)
	if w == nil || w.Epoch != epoch {
		w = &jobpb.Worker{Instance: instance, Epoch: epoch}
		s.workers[instance] = w
	}
	if s.isQuarantined(instance) || slices.Contains(w.Failures, j.Key) {
		return
	}
	w.Failures = append(w.Failures, j.Key)
	if len(w.Failures) > quarantineAfterFailures {
		w.Failures = w.Failures[1:]
	}
	if len(w.Failures) < quarantineAfterFailures || !s.mayQuarantine(instance) {
		return
	}
	w.Quarantine = true
	for _, other := range s.jobs {
		if !HasEnded(other) {
			other.FailedOn = slices.DeleteFunc(other.FailedOn, func(name string) bool { return name == instance })
		}
	}
}

// mayQuarantine reports whether one more worker of the pool may be quarantined. At most a third of a pool, or one
// worker of a small one, is quarantined, because jobs that fail everywhere would otherwise quarantine all workers.
func (s *State) mayQuarantine(instance string) bool {
	poolName, _ := s.pools.PoolOf(instance)
	c := s.pools.Summary(poolName)
	n := c.Quarantined
	for name := range s.workers {
		if other, _ := s.pools.PoolOf(name); other == poolName && s.QuarantinePending(name) {
			n++
		}
	}
	return n < max(1, c.Members/3)
}

// isQuarantined reports whether an instance is quarantined or about to be, so that failures on it no longer count.
func (s *State) isQuarantined(instance string) bool {
	return s.QuarantinePending(instance) || s.pools.Quarantined(instance)
}

// QuarantinePending reports whether an instance is to be quarantined and the pool plug-in hasn't done so yet.
func (s *State) QuarantinePending(instance string) bool {
	w := s.workers[instance]
	return w != nil && w.Quarantine && w.Epoch == s.pools.Epoch(instance)
}

// applyLost ends the run of a job whose instance is lost, so that its task no longer runs.
func (s *State) applyLost(m *jobpb.Ref, at time.Duration) error {
	j, err := s.jobAtEpoch(m)
	if err != nil {
		return err
	}
	if j.Instance == "" || !s.pools.Unreachable(j.Instance) && !s.StartOutcomeUnknown(j) {
		return kernel.ErrConflict.New("job %s isn't on a lost instance", j.Key)
	}
	s.interruptRun(j, "instance lost", at)
	s.markChanged(j)
	return nil
}

// StartOutcomeUnknown reports whether the instance of a non-idempotent job was lost, even briefly, before the platform
// acknowledged the start. The task may have run, so the start must not be repeated.
func (s *State) StartOutcomeUnknown(j *jobpb.Job) bool {
	return j.Phase == jobpb.Phase_PHASE_STARTING && !j.Submit.Idempotent && s.pools.Losses(j.Instance) != j.Losses
}

func (s *State) applyMisfit(m *jobpb.Ref, at time.Duration) error {
	j, err := s.jobAtEpoch(m)
	if err != nil {
		return err
	}
	reason := s.MisfitReason(j)
	if j.Phase != jobpb.Phase_PHASE_WAITING || reason == "" {
		return kernel.ErrConflict.New("job %s may still fit", j.Key)
	}
	s.endJob(j, jobpb.Phase_PHASE_FAILED, reason, at)
	s.markChanged(j)
	return nil
}

func (s *State) applyPreempt(m *jobpb.Preempt) error {
	j, err := s.jobAtEpoch(&jobpb.Ref{Key: m.Key, Epoch: m.Epoch})
	if err != nil {
		return err
	}
	if j.Phase != jobpb.Phase_PHASE_RUNNING && j.Phase != jobpb.Phase_PHASE_CHECKPOINTING || m.How <= j.Preempted {
		return kernel.ErrConflict.New("job %s is %v", j.Key, j.Phase)
	}
	if !j.Submit.Idempotent && m.How != jobpb.How_HOW_THROTTLE {
		return kernel.ErrConflict.New("job %s is not idempotent and can only be throttled", j.Key)
	}
	if m.How == jobpb.How_HOW_THROTTLE && j.Throttled {
		return kernel.ErrConflict.New("job %s is still throttled", j.Key)
	}
	j.Preempted, j.UrgentPreempt, j.Drain = m.How, m.Urgent, m.Drain
	if m.How == jobpb.How_HOW_THROTTLE {
		j.Throttle = true
	} else {
		j.Phase = jobpb.Phase_PHASE_CHECKPOINTING
	}
	s.markChanged(j)
	return nil
}

func (s *State) applyUnthrottle(m *jobpb.Ref) error {
	j, err := s.jobAtEpoch(m)
	if err != nil {
		return err
	}
	in := s.pools.Instance(j.Instance)
	if j.Phase != jobpb.Phase_PHASE_RUNNING || !j.Throttle || !j.Throttled || in == nil {
		return kernel.ErrConflict.New("job %s isn't throttled", j.Key)
	}
	// The job is charged in full before the platform gives it the processors back.
	more := placement.Resources{MilliProcessors: j.Charge.MilliProcessors}
	if !s.chargeOn(j.Instance).Add(more).Fits(Capacity(in)) {
		return kernel.ErrConflict.New("instance %s has no room for the full job %s", j.Instance, j.Key)
	}
	s.setCharge(j, JobResources(j.Charge).Add(more))
	j.Throttle, j.Preempted = false, jobpb.How_HOW_NONE
	s.markChanged(j)
	return nil
}

// setThrottled records whether the platform runs a task with half its processors, and reduces its charge if so.
func (s *State) setThrottled(j *jobpb.Job, throttled bool) {
	if !j.Throttle {
		j.Throttled = throttled // the job is already charged in full
		return
	}
	if !throttled || j.Throttled {
		return
	}
	charge := JobResources(j.Charge)
	charge.MilliProcessors -= charge.MilliProcessors / 2
	s.setCharge(j, charge)
	j.Throttled = true
	if poolName, _ := s.pools.PoolOf(j.Instance); poolName != "" {
		s.dirtyPools[poolName] = struct{}{}
	}
}

func (s *State) setCharge(j *jobpb.Job, charge placement.Resources) {
	a := s.allocations[j.Instance]
	a.charge = a.charge.Sub(JobResources(j.Charge)).Add(charge)
	j.Charge = ResourcesToProto(charge)
}

// jobAtEpoch returns the job that a command refers to, or an error if the job has another epoch.
func (s *State) jobAtEpoch(m *jobpb.Ref) (*jobpb.Job, error) {
	j, ok := s.jobs[m.Key]
	if !ok {
		return nil, kernel.ErrNotFound.New("no job %q", m.Key)
	}
	if j.Epoch != m.Epoch {
		return nil, kernel.ErrConflict.New("job %s has epoch %d, not %d", j.Key, j.Epoch, m.Epoch)
	}
	return j, nil
}
