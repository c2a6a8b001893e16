package backlog

import (
	"cmp"
	"slices"
	"time"
)

// Reason is the reason of a rejection.
const Reason = "backlog"

// Work is an amount of work in milliseconds of a whole instance, by the resource that limits how many tasks fit on one. As a
// rate, it is a number of instances.
type Work struct{ CPU, Memory float64 }

// Plus returns the sum of w and o.
func (w Work) Plus(o Work) Work { return Work{w.CPU + o.CPU, w.Memory + o.Memory} }

// Times returns w multiplied by f.
func (w Work) Times(f float64) Work { return Work{w.CPU * f, w.Memory * f} }

// atMost returns the smaller of w and o for each resource.
func (w Work) atMost(o Work) Work { return Work{min(w.CPU, o.CPU), min(w.Memory, o.Memory)} }

// Job is the work that is left of a job.
type Job struct {
	Work Work
	// Chain is the time that the longest chain of its steps takes.
	Chain time.Duration
	// Until is the time from now until its result is of no use any more.
	Until time.Duration
	// BeyondShare and Priority are its rank: jobs within the share of their account come first, then lower priorities.
	BeyondShare bool
	Priority    int32
	// Limit is the index in Input.Limits of what limits the rate of the job besides the pool, 0 if nothing does.
	Limit int
}

// outranks reports whether j has a higher rank than o.
func (j *Job) outranks(o *Job) bool {
	if j.BeyondShare != o.BeyondShare {
		return o.BeyondShare
	}
	return j.Priority < o.Priority
}

// Input is the input of a decision on a new job.
type Input struct {
	New Job
	// Accepted holds the other jobs of the pool whose results can still be of use, in the order in which they run. The new job
	// runs before the one at Position.
	Accepted []Job
	Position int
	// Instances is the number of instances that the pool has for these jobs, Arriving the number of those that it can get after
	// MoveDuration.
	Instances, Arriving float64
	MoveDuration        time.Duration
	// Limits are rates in instances that groups of jobs can't exceed, as the quota of an account. The first one is not used.
	Limits []Work
}

// Decide returns after which time a new job should be handed in again and why, 0 if it is accepted. It is rejected if what runs
// before it leaves no time for it, or if there is no order in which it and the accepted jobs of equal or higher rank end while
// their results are of use.
func Decide(in Input) (retryAfter time.Duration, reason string) {
	if in.Instances+in.Arriving <= 0 || in.New.Until <= 0 {
		return 0, "" // Nothing is known of the pool, or the job has no objective.
	}
	late := max(in.lateInOrder(), in.lateByDeadlines())
	if late <= 0 {
		return 0, ""
	}
	return late, Reason
}

// TimeFor returns how long the pool takes for work that no other work delays.
func (in *Input) TimeFor(w Work) time.Duration { return in.duration(w) }

// lateInOrder returns how late the new job ends if the accepted jobs before it run first; negative if it ends in time.
func (in *Input) lateInOrder() time.Duration {
	s := in.newSum()
	for i := range in.Accepted[:in.Position] {
		if j := &in.Accepted[i]; !in.New.outranks(j) {
			s.add(j)
		}
	}
	begin := in.duration(s.within(in.New.Until))
	s.add(&in.New)
	end := max(in.duration(s.within(in.New.Until)), begin+in.New.Chain)
	if l := in.New.Limit; l > 0 {
		end = max(end, timeFor(s.limited[l], in.Limits[l]))
	}
	return end - in.New.Until
}

// lateByDeadlines returns the excess of the work of equal or higher rank that has to end by the deadline of the new job or a
// later one of an accepted job, as the time that it takes.
func (in *Input) lateByDeadlines() time.Duration {
	due := make([]*Job, 0, len(in.Accepted)+1)
	for i := range in.Accepted {
		if j := &in.Accepted[i]; !in.New.outranks(j) {
			due = append(due, j)
		}
	}
	due = append(due, &in.New)
	slices.SortStableFunc(due, func(a, b *Job) int { return cmp.Compare(a.Until, b.Until) })
	s, late := in.newSum(), -in.New.Until
	for _, j := range due {
		s.add(j)
		if j.Until >= in.New.Until {
			late = max(late, in.duration(s.within(j.Until))-j.Until)
		}
	}
	return late
}

// duration returns how long the pool takes for work.
func (in *Input) duration(w Work) time.Duration {
	work := max(w.CPU, w.Memory)
	move := milliseconds(in.MoveDuration)
	if now := in.Instances * move; in.Arriving > 0 && work > now {
		return fromMilliseconds(move + (work-now)/(in.Instances+in.Arriving))
	}
	return fromMilliseconds(work / in.Instances)
}

// timeFor returns how long work takes at a rate, where 0 is unlimited.
func timeFor(w, rate Work) time.Duration {
	ms := 0.0
	if rate.CPU > 0 {
		ms = w.CPU / rate.CPU
	}
	if rate.Memory > 0 {
		ms = max(ms, w.Memory/rate.Memory)
	}
	return fromMilliseconds(ms)
}

// sum adds up work, by its limits.
type sum struct {
	rates, limited []Work
}

func (in *Input) newSum() sum {
	return sum{rates: in.Limits, limited: make([]Work, max(len(in.Limits), 1))}
}

func (s *sum) add(j *Job) { s.limited[j.Limit] = s.limited[j.Limit].Plus(j.Work) }

// within returns the work that can be done within a time if only its limits slow it down. What exceeds it leaves its time to
// other jobs.
func (s *sum) within(d time.Duration) Work {
	total := s.limited[0]
	for l := 1; l < len(s.limited); l++ {
		w, most := s.limited[l], s.rates[l].Times(milliseconds(d))
		if s.rates[l].CPU <= 0 {
			most.CPU = w.CPU
		}
		if s.rates[l].Memory <= 0 {
			most.Memory = w.Memory
		}
		total = total.Plus(w.atMost(most))
	}
	return total
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
