package backlog

import (
	"cmp"
	"slices"
	"time"
)

// lateFactor is the multiple of its objective after which the result of a job is of no use.
const lateFactor = 3

// minInstances is the number of instances of a pool that long-running tasks fill. Something always remains free.
const minInstances = 0.1

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
	Queue string
	Work  Work
	// Chain is the time that the longest chain of its steps takes.
	Chain time.Duration
	// Due is the time from now until its latency objective, Until the one until its result is of no use any more.
	Due, Until time.Duration
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
	// Instances is the number of instances of the pool, Arriving the number of those that it can get after MoveDuration.
	Instances, Arriving float64
	// Reserved is what long-running tasks take, in instances.
	Reserved     Work
	MoveDuration time.Duration
	// Objective is the latency objective of a typical job of the queue.
	Objective time.Duration
	// Overloaded is set from a rejection on until the work that is accepted has nearly been done. The scheduler serves jobs first
	// that can meet their objective, so others that are accepted all the time would take the time of those that wait.
	Overloaded bool
	// Limits are rates in instances that groups of jobs can't exceed, as the quota of an account. The first one is not used.
	Limits []Work
}

// Decide returns after which time a new job should be handed in again and why, 0 if it is accepted. It is rejected if it could
// not end while its result is of use, because of what runs before it in the order of jobs, or because of what was accepted
// before it and would miss its own time otherwise. While the pool is overloaded, a job has to meet its objective.
func Decide(in Input) (retryAfter time.Duration, reason string) {
	if in.Instances+in.Arriving <= 0 || in.New.Until <= 0 {
		return 0, "" // Nothing is known of the pool, or the job has no objective.
	}
	if late := max(in.lateInOrder(), in.lateByDeadlines()); late > 0 {
		return late, Reason
	}
	return 0, ""
}

// lateInOrder returns how late the new job ends if the accepted jobs before it run first; negative if it ends in time.
func (in *Input) lateInOrder() time.Duration {
	deadline := in.deadline(&in.New)
	s := in.newSum()
	for i := range in.Accepted[:in.Position] {
		if j := &in.Accepted[i]; !in.New.outranks(j) {
			s.add(j)
		}
	}
	begin := in.Duration(s.within(deadline))
	s.add(&in.New)
	end := in.Duration(s.within(deadline))
	if !in.Overloaded {
		end = max(end, begin+min(in.New.Chain, deadline))
	}
	if l := in.New.Limit; l > 0 {
		end = max(end, timeFor(s.limited[l], in.Limits[l]))
	}
	return end - deadline
}

// lateByDeadlines returns by how much the work of equal or higher rank exceeds what the pool can do by the deadline of the new
// job, or by a later one of an accepted job. The jobs of one queue are not served by their deadlines, so all of them must be done
// in the time that a typical one has.
func (in *Input) lateByDeadlines() time.Duration {
	type item struct {
		*Job
		by time.Duration
	}
	deadline, typical := in.deadline(&in.New), in.Objective
	if !in.Overloaded {
		typical *= lateFactor
	}
	due := make([]item, 0, len(in.Accepted)+1)
	for i := range in.Accepted {
		j := &in.Accepted[i]
		if in.New.outranks(j) {
			continue
		}
		by := in.deadline(j)
		if j.Queue == in.New.Queue {
			by = min(by, max(deadline, typical))
		}
		due = append(due, item{j, by})
	}
	due = append(due, item{&in.New, deadline})
	slices.SortFunc(due, func(a, b item) int { return cmp.Compare(a.by, b.by) })
	s, late := in.newSum(), -deadline
	for i, j := range due {
		s.add(j.Job)
		if j.by >= deadline && (i+1 == len(due) || due[i+1].by > j.by) {
			late = max(late, in.Duration(s.within(j.by))-j.by)
		}
	}
	return late
}

// deadline returns the time until a job has to end.
func (in *Input) deadline(j *Job) time.Duration {
	if in.Overloaded {
		return j.Due
	}
	return j.Until
}

// isNearlyIdle reports whether the accepted work of equal or higher rank takes a small part of the objective of the new job.
func (in *Input) isNearlyIdle() bool {
	s := in.newSum()
	for i := range in.Accepted {
		if j := &in.Accepted[i]; !in.New.outranks(j) {
			s.add(j)
		}
	}
	return in.Duration(s.within(in.New.Due)) < in.New.Due/4
}

// Duration returns how long the pool takes for work.
func (in *Input) Duration(w Work) time.Duration {
	return max(in.durationOf(w.CPU, in.Reserved.CPU), in.durationOf(w.Memory, in.Reserved.Memory))
}

// durationOf returns how long the pool takes for the work of one resource.
func (in *Input) durationOf(work, reserved float64) time.Duration {
	instances, move := max(in.Instances-reserved, minInstances), milliseconds(in.MoveDuration)
	if now := instances * move; in.Arriving > 0 && work > now {
		return fromMilliseconds(move + (work-now)/(instances+in.Arriving))
	}
	return fromMilliseconds(work / instances)
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
