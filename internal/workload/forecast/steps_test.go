package forecast

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// Guards against a leader that spends its time on the steps of large jobs, which it looks at in each decision.
func TestPeakOfLargeJobIsNotComputed(t *testing.T) {
	steps := make([]Step, MaxSteps+1)
	for i := range steps {
		steps[i] = Step{Need: ledger.Resources{CPU: 1}, Remaining: time.Second}
	}
	assert.Equal(t, Peak(steps[1:], time.Second).CPU, int64(MaxSteps))
	assert.Equal(t, Peak(steps, time.Second).CPU, int64(0))
}

// Guards against steps that count before they can be ready, or at the same time as those that they wait for.
func TestPeakOfSteps(t *testing.T) {
	step := func(cpu int64, remaining time.Duration, after ...int32) Step {
		return Step{Need: ledger.Resources{CPU: cpu}, Remaining: remaining, After: after}
	}
	lasting := Step{Need: ledger.Resources{CPU: 100}, Lasting: true}
	for _, tt := range []struct {
		name  string
		steps []Step
		want  int64
	}{
		{"one", []Step{step(3, time.Second)}, 3},
		{"wider next one", []Step{step(3, time.Second), step(8, time.Second, 0)}, 8},
		{"narrower next one", []Step{step(3, time.Second), step(2, time.Second, 0)}, 3},
		{"next one too late", []Step{step(3, 2*time.Second), step(8, time.Second, 0)}, 3},
		{"one after the next", []Step{step(1, time.Second), step(1, 400*time.Millisecond, 0), step(8, time.Second, 1)}, 8},
		{"done", []Step{step(0, 0), step(8, time.Second, 0)}, 8},
		{"beside a longer one", []Step{step(2, time.Second), step(3, 3*time.Second), step(4, time.Second, 0)}, 7},
		{"after two", []Step{step(2, time.Second), step(3, 3*time.Second), step(4, time.Second, 0, 1)}, 5},
		{"after a lasting one", []Step{lasting, step(4, time.Second, 0)}, 0},
		{"beside a lasting one", []Step{lasting, step(4, time.Second)}, 4},
		{"without an estimate", []Step{step(2, 0), step(3, 0, 0)}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, Peak(tt.steps, 1500*time.Millisecond).CPU, tt.want)
		})
	}
}
