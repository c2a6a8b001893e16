package schedule

import (
	"cmp"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// lateFactor is how many times its objective a job may take until its result is of no use to the users.
const lateFactor = 3

// class sorts jobs before anything else does.
type class int

const (
	lasting class = iota // earns all the time that it runs
	timely               // can still meet its objective
	late                 // can still be of use
	useless              // is run because it was accepted
)

// Candidate is an occurrence with subtasks that may start.
type Candidate struct {
	occurrence  *ledger.Occurrence
	queue       *workloadpb.Queue
	class       class
	beyondShare bool  // its account is beyond its share
	deadline    int64 // objective in Unix milliseconds
	work        int64 // remaining work in thousandths of core-milliseconds
}

// Pool is the pool that serves the occurrence.
func (c *Candidate) Pool() string { return c.queue.Pool }

// RankCandidates returns the occurrences with subtasks that may start, the first to serve first. It needs no workers.
func RankCandidates(in Input) []Candidate {
	var list []Candidate
	for _, j := range in.State.ActiveJobs() {
		q := in.State.Queue(j.Queue)
		if q == nil {
			continue
		}
		for _, o := range j.Occurrences() {
			if hasWaiting(o) {
				list = append(list, in.rank(o, q))
			}
		}
	}
	slices.SortStableFunc(list, in.compare())
	return list
}

func hasWaiting(o *ledger.Occurrence) bool {
	return slices.ContainsFunc(o.Steps, func(s *ledger.StepRun) bool { return s.Waiting() > 0 && s.Ready() })
}

func (in *Input) rank(o *ledger.Occurrence, q *workloadpb.Queue) Candidate {
	c := Candidate{occurrence: o, queue: q, class: timely}
	begin := o.Job.Accepted
	if o.Job.MaxRuns > 0 {
		begin = o.Job.StartAt + int64(o.Number)*o.Job.Interval
	}
	whole, rest := chains(o)
	objective := int64(q.Stretch*float64(whole)) + q.SloMs
	c.deadline = begin + objective
	for _, s := range o.Steps {
		if s.Step.Lasting {
			c.class = lasting
			return c
		}
		left := int64(s.Waiting())
		c.work += left * max(s.Step.EstimateMs, 1) * max(s.Step.Need.GetCpu(), 1)
	}
	c.beyondShare = in.BeyondShare != nil && in.BeyondShare(o.Job)
	switch end := in.Now + rest; {
	case end <= c.deadline:
	case end <= begin+lateFactor*objective:
		c.class = late
	default:
		c.class = useless
	}
	return c
}

// chains returns the longest chain of estimates of an occurrence, and of what is left of it.
func chains(o *ledger.Occurrence) (whole, rest int64) {
	w, r := make([]int64, len(o.Steps)), make([]int64, len(o.Steps))
	for i, s := range o.Steps {
		for _, n := range s.Step.After {
			w[i], r[i] = max(w[i], w[n]), max(r[i], r[n])
		}
		w[i] += s.Step.EstimateMs
		if !s.Done() {
			r[i] += s.Step.EstimateMs
		}
		whole, rest = max(whole, w[i]), max(rest, r[i])
	}
	return whole, rest
}

// Order is a policy for the sequence in which jobs are served.
type Order int

// Policies: the least time to the objective first, the least remaining work first, and the baseline.
const (
	ByDeadline Order = iota
	ByRemainingWork
	ByArrival
)

func (in *Input) compare() func(a, b Candidate) int {
	if in.Order == ByArrival {
		return func(a, b Candidate) int { return cmp.Compare(a.occurrence.Job.Number, b.occurrence.Job.Number) }
	}
	return func(a, b Candidate) int {
		first := cmp.Or(cmp.Compare(a.class, b.class), compareBool(a.beyondShare, b.beyondShare), cmp.Compare(a.queue.Priority, b.queue.Priority))
		if first != 0 {
			return first
		}
		if in.Order == ByDeadline {
			return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.occurrence.Job.Number, b.occurrence.Job.Number))
		}
		return cmp.Or(cmp.Compare(a.work, b.work), cmp.Compare(a.occurrence.Job.Number, b.occurrence.Job.Number))
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
