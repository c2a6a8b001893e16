package forecast

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// MaxSteps is the number of steps up to which the next ones of a job are expected. The cost grows with its square, for each
// decision and job: 0.3 s for one of 10,000 steps, which is the largest.
const MaxSteps = 32

// Step is a step of an accepted job.
type Step struct {
	// After holds the indexes of the steps that this one waits for, all of them before its own.
	After []int32
	// Need is what the tasks that are not done need at once.
	Need ledger.Resources
	// Remaining is how long the step will still run once the steps that it waits for are done, by the estimate of its
	// run time. It is 0 for a step that is done.
	Remaining time.Duration
	// Lasting steps don't end.
	Lasting bool
}

// Peak returns the most that the steps of a job need at once from now until a later time, if there is room for each task
// once it is ready. Lasting steps don't count. The result is zero for a job of more than MaxSteps steps.
func Peak(steps []Step, within time.Duration) ledger.Resources {
	if len(steps) > MaxSteps {
		return ledger.Resources{}
	}
	starts, ends := make([]time.Duration, len(steps)), make([]time.Duration, len(steps))
	for i, s := range steps {
		for _, n := range s.After {
			starts[i] = max(starts[i], ends[n])
		}
		// The end of a step doesn't matter once it is late, and may be too late for a sum.
		ends[i] = starts[i] + min(s.Remaining, within+1)
		if s.Lasting {
			ends[i] = max(starts[i], within+1)
		}
	}
	peak := ledger.Resources{}
	for i := range steps {
		if starts[i] > within {
			continue
		}
		sum := ledger.Resources{}
		for k, s := range steps {
			if !s.Lasting && starts[k] <= starts[i] && starts[i] < ends[k] {
				sum = sum.Plus(s.Need)
			}
		}
		peak = peak.Max(sum)
	}
	return peak
}
