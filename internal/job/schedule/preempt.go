package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/job/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
)

// preemptFor makes a reservation for a job that doesn't fit, on the instance where the fewest jobs need to be
// preempted, and preempts them. Capacity that earlier preemptions are about to free is used first.
func (r *round) preemptFor(j *jobpb.Job, urgent bool) {
	charge := r.chargeFor(j)
	best, victims := -1, []*jobpb.Job(nil)
	for i := range r.candidates {
		c := &r.candidates[i]
		if slices.Contains(j.FailedOn, c.InstanceName) || !charge.Fits(c.Capacity) {
			continue
		}
		found, ok := r.chooseVictims(i, charge, urgent)
		if !ok || best >= 0 && len(found) >= len(victims) {
			continue
		}
		best, victims = i, found
	}
	if best < 0 {
		return
	}
	for _, v := range victims {
		how := jobpb.How_HOW_CHECKPOINT
		if !v.Submit.Idempotent {
			how = jobpb.How_HOW_THROTTLE
		}
		r.preempted[v.Key] = struct{}{}
		r.futureFree[best] = r.futureFree[best].Add(freedByPreempting(v))
		t := r.team(v.Submit.Team)
		t.used = t.used.Sub(freedByPreempting(v))
		r.propose(PreemptCommand(v, how, urgent, false))
	}
	r.holdBack(best, j)
	r.reservations[j.Key] = reservation{instance: r.candidates[best].InstanceName, until: r.now + preemptReservation}
	t := r.team(j.Submit.Team)
	t.used = t.used.Add(charge)
}

// freedByPreempting returns the resources that the preemption of a job frees: its whole charge, or half of its
// processors if the job isn't idempotent and can only be throttled.
func freedByPreempting(j *jobpb.Job) placement.Resources {
	charge := ledger.JobResources(j.Charge)
	if j.Submit.Idempotent {
		return charge
	}
	return placement.Resources{MilliProcessors: charge.MilliProcessors / 2}
}

// chooseVictims returns the jobs of a candidate to preempt so that the charge fits, or false if preemption can't free
// enough.
func (r *round) chooseVictims(i int, charge placement.Resources, urgent bool) ([]*jobpb.Job, bool) {
	s := r.Scheduler
	free := r.futureFree[i]
	if charge.Fits(free) {
		return nil, true
	}
	allocation := s.ledger.Allocations()[r.candidates[i].InstanceName]
	if allocation == nil {
		return nil, false
	}
	var preemptible []*jobpb.Job
	for _, v := range allocation.Jobs() {
		if _, ok := r.preempted[v.Key]; !ok && v.Phase == jobpb.Phase_PHASE_RUNNING && v.Preempted == jobpb.How_HOW_NONE &&
			!v.Throttled && !s.ledger.Index().Queues[v.Submit.Queue].Urgent {
			preemptible = append(preemptible, v)
		}
	}
	// Jobs of the team that exceeds its share most come first, then the latest submitted ones, which lose the least work.
	slices.SortFunc(preemptible, func(a, b *jobpb.Job) int {
		return cmp.Or(-cmp.Compare(r.shareExcess(a), r.shareExcess(b)), -cmp.Compare(a.Seq, b.Seq))
	})
	freedByTeam := map[string]float64{}
	var chosen []*jobpb.Job
	for _, v := range preemptible {
		t := r.team(v.Submit.Team)
		if !urgent {
			remainingShare := t.used.DominantShare(r.total) - freedByTeam[t.name] - freedByPreempting(v).DominantShare(r.total)
			if r.shareExcess(v) <= r.shareGap || remainingShare < t.idealShare-r.shareGap ||
				r.remainingTime(v) < minRemainingToPreempt {
				continue
			}
		}
		freedByTeam[t.name] += freedByPreempting(v).DominantShare(r.total)
		chosen = append(chosen, v)
		if free = free.Add(freedByPreempting(v)); charge.Fits(free) {
			return chosen, true
		}
	}
	return nil, false
}

// shareExcess returns by how much the team of a job exceeds its ideal share.
func (r *round) shareExcess(j *jobpb.Job) float64 {
	t := r.team(j.Submit.Team)
	return t.used.DominantShare(r.total) - t.idealShare
}

// remainingTime returns the expected remaining time of a running job, from the corrected run times of its class.
func (r *round) remainingTime(j *jobpb.Job) time.Duration {
	runningSince, ok := r.runningSince[jobRun{j.Key, j.Epoch}]
	if !ok {
		runningSince = r.now
	}
	expected := r.estimator.CorrectedRunTime(JobClass(j), time.Duration(j.Submit.ExpectedRun))
	if left := runningSince + expected - r.now; left > 0 {
		return left
	}
	return expected // the job has run longer than expected, so its end is unknown
}
