package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

const (
	// minRejectionDelay and maxRejectionDelay bound the time for which the tasks of a step aren't assigned after a worker
	// rejected the start of one of them as malformed. The longest delay is longer than workers are excluded after that, so
	// that other jobs get their turn, and far shorter than long-running tasks may wait.
	minRejectionDelay = 100 * time.Millisecond
	maxRejectionDelay = 2 * maxRetryDelay
	// rejectionMemory is the time after the delay for which a rejection makes the next delay longer, and keeps the pool from
	// growing for the step.
	rejectionMemory = 5 * time.Second
)

// rejections holds the steps whose last starts workers rejected as malformed. Other rejections are the fault of a worker,
// and tasks needn't wait for others.
type rejections map[*ledger.StepRun]rejection

type rejection struct {
	delay, until time.Duration
}

// addRejection delays the next assignment of tasks of a step, twice as long as the last time. Starts that were assigned
// together are rejected one after the other; they count once.
func (r rejections) addRejection(s *ledger.StepRun, now time.Duration) {
	last := r[s]
	if now < last.until {
		return
	}
	delay := minRejectionDelay
	if r.wasRejected(s, now) {
		delay = min(2*last.delay, maxRejectionDelay)
	}
	r[s] = rejection{delay: delay, until: now + delay}
}

// isDelayed reports whether no tasks of a step are assigned now.
func (r rejections) isDelayed(s *ledger.StepRun, now time.Duration) bool { return now < r[s].until }

// wasRejected reports whether the last starts of tasks of a step were rejected, so that other instances would most likely
// not help.
func (r rejections) wasRejected(s *ledger.StepRun, now time.Duration) bool {
	last, ok := r[s]
	return ok && now < last.until+rejectionMemory
}

// removeEnded removes the steps that need no more starts.
func (r rejections) removeEnded() {
	for s := range r {
		if !s.Occurrence.Job.IsActive() || s.Done() {
			delete(r, s)
		}
	}
}
