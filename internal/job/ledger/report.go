package ledger

import (
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
)

// report applies an answer of the platform. Answers for another start of the job, and repeated ones, change nothing.
func (s *State) report(r *jobpb.Report, at time.Duration) {
	j, ok := s.jobs[r.Key]
	if !ok || j.Instance == "" || j.Epoch != r.Epoch {
		return
	}
	defer s.track(j)
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
			s.end(j, jobpb.Phase_PHASE_FINISHED, "", at)
		}
		s.vacate(j)
	case jobpb.Outcome_OUTCOME_FAILED:
		s.failed(j, r, at)
	case jobpb.Outcome_OUTCOME_REFUSED:
		s.refused(j, r, at)
	case jobpb.Outcome_OUTCOME_CHECKPOINTED:
		j.Checkpoint = true
		s.interrupted(j, "checkpointed", at)
	case jobpb.Outcome_OUTCOME_STOPPED:
		s.interrupted(j, "stopped by the platform", at)
	case jobpb.Outcome_OUTCOME_UNKNOWN:
		// A start may still be under way; a cancelled task ends with the answer to its stop.
		if j.Phase == jobpb.Phase_PHASE_RUNNING || j.Phase == jobpb.Phase_PHASE_CHECKPOINTING {
			s.interrupted(j, "unknown to the platform", at)
		}
	}
}

// interrupted ends a start without an outcome: an idempotent job waits again, any other ends as unknown.
func (s *State) interrupted(j *jobpb.Job, reason string, at time.Duration) {
	switch {
	case HasEnded(j):
		s.vacate(j)
	case j.Submit.Idempotent:
		s.wait(j, reason)
	default:
		s.end(j, jobpb.Phase_PHASE_UNKNOWN, reason, at)
		s.vacate(j)
	}
}

func (s *State) failed(j *jobpb.Job, r *jobpb.Report, at time.Duration) {
	instance := j.Instance
	switch {
	case HasEnded(j):
		s.vacate(j)
		return
	case !j.Submit.Idempotent:
		s.end(j, jobpb.Phase_PHASE_FAILED, r.Reason, at)
		s.vacate(j)
		s.countFailure(j, instance)
		return
	}
	if !slices.Contains(j.FailedOn, instance) && !s.quarantined(instance) {
		j.FailedOn = append(j.FailedOn, instance)
	}
	s.wait(j, r.Reason)
	s.countFailure(j, instance)
	if len(j.FailedOn) >= maxWorkers {
		s.end(j, jobpb.Phase_PHASE_FAILED, "failed on 3 workers; last: "+r.Reason, at)
	}
}

// refused records that the platform did not run a start and never will. It is no failure of the worker.
func (s *State) refused(j *jobpb.Job, r *jobpb.Report, at time.Duration) {
	switch {
	case HasEnded(j):
		s.vacate(j)
	case j.Phase == jobpb.Phase_PHASE_STARTING: // otherwise it was confirmed before, and a repeated call was refused
		j.Starts--
		j.Refusals++
		s.wait(j, r.Reason)
		if j.Refusals >= maxRefusals {
			s.end(j, jobpb.Phase_PHASE_FAILED, "refused by the platform: "+r.Reason, at)
		}
	}
}

// countFailure extends the row of failures of a worker. When the row is full the worker is quarantined and its
// failures no longer count against jobs.
func (s *State) countFailure(j *jobpb.Job, instance string) {
	w := s.workers[instance]
	epoch := s.pools.Epoch(instance)
	if w == nil || w.Epoch != epoch {
		w = &jobpb.Worker{Instance: instance, Epoch: epoch}
		s.workers[instance] = w
	}
	if s.quarantined(instance) || slices.Contains(w.Failures, j.Key) {
		return
	}
	w.Failures = append(w.Failures, j.Key)
	if len(w.Failures) > maxRow {
		w.Failures = w.Failures[1:]
	}
	if len(w.Failures) < maxRow || !s.mayQuarantine(instance) {
		return
	}
	w.Quarantine = true
	for _, other := range s.jobs {
		if !HasEnded(other) {
			other.FailedOn = slices.DeleteFunc(other.FailedOn, func(name string) bool { return name == instance })
		}
	}
}

// mayQuarantine keeps two thirds of a pool, so that jobs which fail everywhere can't take all workers out.
func (s *State) mayQuarantine(instance string) bool {
	place, _ := s.pools.PoolOf(instance)
	c := s.pools.Summary(place)
	n := c.Quarantined
	for name := range s.workers {
		if at, _ := s.pools.PoolOf(name); at == place && s.QuarantinePending(name) {
			n++
		}
	}
	return n < max(1, c.Members/3)
}

// quarantined reports whether failures on the instance no longer count, because it is quarantined or about to be.
func (s *State) quarantined(instance string) bool {
	return s.QuarantinePending(instance) || s.pools.Quarantined(instance)
}

// QuarantinePending reports whether an instance is to be quarantined and the pool plug-in hasn't done so yet.
func (s *State) QuarantinePending(instance string) bool {
	w := s.workers[instance]
	return w != nil && w.Quarantine && w.Epoch == s.pools.Epoch(instance)
}

// lost ends the starts on an instance whose tasks can't run any more.
func (s *State) lost(m *jobpb.Ref, at time.Duration) error {
	j, err := s.at(m)
	if err != nil {
		return err
	}
	if j.Instance == "" || !s.pools.Unreachable(j.Instance) && !s.StartOutcomeUnknown(j) {
		return kernel.ErrConflict.New("job %s isn't on a lost instance", j.Key)
	}
	s.interrupted(j, "instance lost", at)
	s.track(j)
	return nil
}

// StartOutcomeUnknown reports whether a non-idempotent start got no answer before its instance was lost, if only for a moment. The
// task may have run, so that the start must not be repeated.
func (s *State) StartOutcomeUnknown(j *jobpb.Job) bool {
	return j.Phase == jobpb.Phase_PHASE_STARTING && !j.Submit.Idempotent && s.pools.Losses(j.Instance) != j.Losses
}

func (s *State) misfit(m *jobpb.Ref, at time.Duration) error {
	j, err := s.at(m)
	if err != nil {
		return err
	}
	reason := s.MisfitReason(j)
	if j.Phase != jobpb.Phase_PHASE_WAITING || reason == "" {
		return kernel.ErrConflict.New("job %s may still fit", j.Key)
	}
	s.end(j, jobpb.Phase_PHASE_FAILED, reason, at)
	s.track(j)
	return nil
}

func (s *State) preempt(m *jobpb.Preempt) error {
	j, err := s.at(&jobpb.Ref{Key: m.Key, Epoch: m.Epoch})
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
	s.track(j)
	return nil
}

func (s *State) unthrottle(m *jobpb.Ref) error {
	j, err := s.at(m)
	if err != nil {
		return err
	}
	in := s.pools.Instance(j.Instance)
	if j.Phase != jobpb.Phase_PHASE_RUNNING || !j.Throttle || !j.Throttled || in == nil {
		return kernel.ErrConflict.New("job %s isn't throttled", j.Key)
	}
	// The full charge is taken before the platform gives the processors back.
	more := placement.Resources{MilliProcessors: j.Charge.MilliProcessors}
	if !s.charged(j.Instance).Add(more).Fits(Capacity(in)) {
		return kernel.ErrConflict.New("instance %s has no room for the full job %s", j.Instance, j.Key)
	}
	s.recharge(j, JobResources(j.Charge).Add(more))
	j.Throttle, j.Preempted = false, jobpb.How_HOW_NONE
	s.track(j)
	return nil
}

// setThrottled records whether the platform runs a task with half its processors.
func (s *State) setThrottled(j *jobpb.Job, on bool) {
	if !j.Throttle {
		j.Throttled = on // the charge is full already
		return
	}
	if !on || j.Throttled {
		return
	}
	charge := JobResources(j.Charge)
	charge.MilliProcessors -= charge.MilliProcessors / 2
	s.recharge(j, charge)
	j.Throttled = true
	if place, _ := s.pools.PoolOf(j.Instance); place != "" {
		s.dirtyPools[place] = struct{}{}
	}
}

func (s *State) recharge(j *jobpb.Job, charge placement.Resources) {
	u := s.allocations[j.Instance]
	u.charge = u.charge.Sub(JobResources(j.Charge)).Add(charge)
	j.Charge = ResourcesToProto(charge)
}

func (s *State) at(m *jobpb.Ref) (*jobpb.Job, error) {
	j, ok := s.jobs[m.Key]
	if !ok {
		return nil, kernel.ErrNotFound.New("no job %q", m.Key)
	}
	if j.Epoch != m.Epoch {
		return nil, kernel.ErrConflict.New("job %s has epoch %d, not %d", j.Key, j.Epoch, m.Epoch)
	}
	return j, nil
}
