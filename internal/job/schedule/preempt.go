package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/job/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
)

// makeRoom preempts for a job that doesn't fit: on the instance where the fewest running jobs are in its way. Room that
// earlier preemptions are about to free is used first.
func (r *round) makeRoom(j *jobpb.Job, urgent bool) {
	need := r.size(j)
	best, victims := -1, []*jobpb.Job(nil)
	for i := range r.list {
		c := &r.list[i]
		if slices.Contains(j.FailedOn, c.InstanceName) || !need.Fits(c.Capacity) {
			continue
		}
		list, ok := r.victims(i, need, urgent)
		if !ok || best >= 0 && len(list) >= len(victims) {
			continue
		}
		best, victims = i, list
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
		r.later[best] = r.later[best].Add(freed(v))
		t := r.team(v.Submit.Team)
		t.used = t.used.Sub(freed(v))
		r.propose(PreemptCommand(v, how, urgent, false))
	}
	r.keep(best, j)
	r.granted[j.Key] = grant{instance: r.list[best].InstanceName, until: r.now + preemptGrant}
	t := r.team(j.Submit.Team)
	t.used = t.used.Add(need)
}

// freed returns what the preemption of a job frees: everything, or half its processors when it can only be throttled.
func freed(j *jobpb.Job) placement.Resources {
	charge := ledger.JobResources(j.Charge)
	if j.Submit.Idempotent {
		return charge
	}
	return placement.Resources{MilliProcessors: charge.MilliProcessors / 2}
}

// victims returns the jobs of an instance that must go for the need to fit, or false when that isn't enough.
func (r *round) victims(i int, need placement.Resources, urgent bool) ([]*jobpb.Job, bool) {
	s := r.Scheduler
	room := r.later[i]
	if need.Fits(room) {
		return nil, true
	}
	u := s.ledger.Allocations()[r.list[i].InstanceName]
	if u == nil {
		return nil, false
	}
	var list []*jobpb.Job
	for _, v := range u.Jobs() {
		if _, ok := r.preempted[v.Key]; !ok && v.Phase == jobpb.Phase_PHASE_RUNNING && v.Preempted == jobpb.How_HOW_NONE &&
			!v.Throttled && !s.ledger.Index().Queues[v.Submit.Queue].Urgent {
			list = append(list, v)
		}
	}
	// Work of the team furthest above its share goes first, then the youngest, which loses least.
	slices.SortFunc(list, func(a, b *jobpb.Job) int {
		return cmp.Or(-cmp.Compare(r.excess(a), r.excess(b)), -cmp.Compare(a.Seq, b.Seq))
	})
	over := map[string]float64{}
	var chosen []*jobpb.Job
	for _, v := range list {
		t := r.team(v.Submit.Team)
		if !urgent {
			left := t.used.DominantShare(r.total) - over[t.name] - freed(v).DominantShare(r.total)
			if r.excess(v) <= r.gap || left < t.ideal-r.gap || r.remaining(v) < endsSoon {
				continue
			}
		}
		over[t.name] += freed(v).DominantShare(r.total)
		chosen = append(chosen, v)
		if room = room.Add(freed(v)); need.Fits(room) {
			return chosen, true
		}
	}
	return nil, false
}

func (r *round) excess(j *jobpb.Job) float64 {
	t := r.team(j.Submit.Team)
	return t.used.DominantShare(r.total) - t.ideal
}

// remaining returns the expected time to the end of a running job, from the corrected run times of its class.
func (r *round) remaining(j *jobpb.Job) time.Duration {
	began, ok := r.began[ref{j.Key, j.Epoch}]
	if !ok {
		began = r.now
	}
	run := r.estimator.CorrectedRunTime(JobClass(j), time.Duration(j.Submit.ExpectedRun))
	if left := began + run - r.now; left > 0 {
		return left
	}
	return run // it has run longer than expected, so that its end is unknown
}
