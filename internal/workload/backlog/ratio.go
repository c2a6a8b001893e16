package backlog

import "time"

const (
	// ratioMemory is the number of ends over which a ratio is computed, those of about thirty jobs. All tasks of a job share the
	// error of its estimate, so fewer would follow single jobs.
	ratioMemory = 256
	// ratioPrior is the number of ends with the ratio 1 that a queue begins with.
	ratioPrior = 64
	// maxRatio and its inverse bound a ratio. Estimates are wrong by up to 90 %, so the run time of one job is up to ten times its
	// estimate.
	maxRatio = 10
)

// Ratios holds the ratio of run times to their estimates that each queue has shown. The zero value knows none.
type Ratios struct {
	queues map[string]*ratio
}

// ratio holds sums over the ends of a queue; older ends count less.
type ratio struct{ ends, estimateMs, runMs float64 }

// Observe records that a task of a queue ended after a run time.
func (r *Ratios) Observe(queue string, estimate, runTime time.Duration) {
	if estimate <= 0 || runTime <= 0 {
		return
	}
	if r.queues == nil {
		r.queues = map[string]*ratio{}
	}
	q := r.queues[queue]
	if q == nil {
		q = &ratio{}
		r.queues[queue] = q
	}
	const keep = 1 - 1.0/ratioMemory
	q.ends = q.ends*keep + 1
	q.estimateMs = q.estimateMs*keep + milliseconds(estimate)
	q.runMs = q.runMs*keep + milliseconds(runTime)
}

// Ratio returns the ratio of run times to estimates of a queue, 1 if it is not known.
func (r *Ratios) Ratio(queue string) float64 {
	q := r.queues[queue]
	if q == nil {
		return 1
	}
	prior := q.estimateMs / q.ends * ratioPrior
	return min(max((q.runMs+prior)/(q.estimateMs+prior), 1.0/maxRatio), maxRatio)
}

// RunTime returns the mean run time of a task of a queue, 0 if too few have ended.
func (r *Ratios) RunTime(queue string) time.Duration {
	q := r.queues[queue]
	if q == nil || q.ends < ratioPrior {
		return 0
	}
	return fromMilliseconds(q.runMs / q.ends)
}
