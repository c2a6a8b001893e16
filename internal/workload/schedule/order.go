package schedule

import (
	"cmp"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// LateFactor is the multiple of its latency objective after which the result of a job is of no use to its users.
const LateFactor = 3

// class is the first criterion of the order of jobs.
type class int

const (
	longRunning class = iota // earns credit for as long as it runs
	onTime                   // can still meet its latency objective
	late                     // misses its objective, but its result can still be of use
	tooLate                  // can't be of use any more; it runs only because it was accepted
)

// Candidate is an occurrence with tasks that may start.
type Candidate struct {
	occurrence    *ledger.Occurrence
	queue         *workloadpb.Queue
	class         class
	beyondShare   bool  // the job exceeds the share of its client account
	dueAtMs       int64 // time of the latency objective in Unix milliseconds
	remainingWork int64 // in thousandths of a core times milliseconds
	objectiveMs   int64
	chainMs       int64 // remainder of the longest chain of steps
}

// Pool returns the name of the pool whose workers run the occurrence.
func (c *Candidate) Pool() string { return c.queue.Pool }

// Occurrence returns the occurrence.
func (c *Candidate) Occurrence() *ledger.Occurrence { return c.occurrence }

// IsLongRunning reports whether the occurrence has long-running steps.
func (c *Candidate) IsLongRunning() bool { return c.class == longRunning }

// IsTooLate reports whether the result can't be of use any more.
func (c *Candidate) IsTooLate() bool { return c.class == tooLate }

// IsBeyondShare reports whether the job exceeds the share of its client account.
func (c *Candidate) IsBeyondShare() bool { return c.beyondShare }

// Queue returns the queue of the job.
func (c *Candidate) Queue() *workloadpb.Queue { return c.queue }

// ObjectiveMs returns the latency objective in milliseconds.
func (c *Candidate) ObjectiveMs() int64 { return c.objectiveMs }

// ChainSteps returns the number of steps of the longest chain.
func (c *Candidate) ChainSteps() int {
	depths, longest := make([]int, len(c.occurrence.Steps)), 0
	for i, s := range c.occurrence.Steps {
		for _, n := range s.Step.After {
			depths[i] = max(depths[i], depths[n])
		}
		depths[i]++
		longest = max(longest, depths[i])
	}
	return longest
}

// DueAtMs returns the time of the latency objective in Unix milliseconds.
func (c *Candidate) DueAtMs() int64 { return c.dueAtMs }

// ChainMs returns the estimated time in milliseconds that the steps take which are not done.
func (c *Candidate) ChainMs() int64 { return c.chainMs }

// RankCandidates returns the occurrences with tasks that may start, in the order in which they are to be scheduled. It
// ignores the workers and the candidates of in.
func RankCandidates(in Input) []Candidate {
	var list []Candidate
	for _, j := range in.State.ActiveJobs() {
		q := in.State.QueueOf(j)
		if q == nil {
			continue
		}
		for _, o := range j.Occurrences() {
			if hasReadyTasks(o) {
				list = append(list, in.NewCandidate(o, q))
			}
		}
	}
	slices.SortStableFunc(list, in.CompareFunc())
	return list
}

// hasReadyTasks reports whether a step of an occurrence has tasks that may start now.
func hasReadyTasks(o *ledger.Occurrence) bool {
	return slices.ContainsFunc(o.Steps, func(s *ledger.StepRun) bool { return s.Waiting() > 0 && s.Ready() })
}

// NewCandidate returns an occurrence of a job of a queue, whether or not it has tasks that may start now.
func (in *Input) NewCandidate(o *ledger.Occurrence, q *workloadpb.Queue) Candidate {
	c := Candidate{occurrence: o, queue: q, class: onTime}
	begin := o.Job.AcceptedMs
	if o.Job.MaxRuns > 0 {
		begin = o.Job.StartAtMs + int64(o.Number)*o.Job.IntervalMs
	}
	total, remaining := longestChains(o)
	c.chainMs = remaining
	objective := int64(q.Stretch*float64(total)) + q.SloMs
	c.dueAtMs, c.objectiveMs = begin+objective, objective
	for _, s := range o.Steps {
		if s.Step.Lasting {
			c.class = longRunning
			return c
		}
		left := int64(s.Waiting())
		c.remainingWork += left * max(s.Step.EstimateMs, 1) * max(s.Step.Need.GetCpu(), 1)
	}
	c.beyondShare = in.BeyondShare != nil && in.BeyondShare(o.Job)
	switch end := in.NowMs + remaining; {
	case end <= c.dueAtMs:
	case end <= begin+LateFactor*objective:
		c.class = late
	default:
		c.class = tooLate
	}
	return c
}

// longestChains returns the estimated duration of the longest chain of dependent steps of an occurrence: in total, and
// counting only the steps that are not done.
func longestChains(o *ledger.Occurrence) (total, remaining int64) {
	totals, remainders := make([]int64, len(o.Steps)), make([]int64, len(o.Steps))
	for i, s := range o.Steps {
		for _, n := range s.Step.After {
			totals[i], remainders[i] = max(totals[i], totals[n]), max(remainders[i], remainders[n])
		}
		totals[i] += s.Step.EstimateMs
		if !s.Done() {
			remainders[i] += s.Step.EstimateMs
		}
		total, remaining = max(total, totals[i]), max(remaining, remainders[i])
	}
	return total, remaining
}

// JobOrder is a policy for the order in which jobs are scheduled.
type JobOrder int

// Job orders. ByArrival is the baseline that also ignores classes, shares and queue priorities.
const (
	ByDeadline      JobOrder = iota // earliest latency objective first
	ByRemainingWork                 // least remaining work first
	ByArrival                       // first accepted first
)

// CompareFunc returns the order in which occurrences are scheduled.
func (in *Input) CompareFunc() func(a, b Candidate) int {
	if in.Order == ByArrival {
		return func(a, b Candidate) int { return cmp.Compare(a.occurrence.Job.Number, b.occurrence.Job.Number) }
	}
	return func(a, b Candidate) int {
		first := cmp.Or(cmp.Compare(a.class, b.class), compareBool(a.beyondShare, b.beyondShare),
			cmp.Compare(a.queue.Priority, b.queue.Priority))
		if first != 0 {
			return first
		}
		if in.Order == ByDeadline {
			return cmp.Or(cmp.Compare(a.dueAtMs, b.dueAtMs),
				cmp.Compare(a.occurrence.Job.Number, b.occurrence.Job.Number))
		}
		return cmp.Or(cmp.Compare(a.remainingWork, b.remainingWork),
			cmp.Compare(a.occurrence.Job.Number, b.occurrence.Job.Number))
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
