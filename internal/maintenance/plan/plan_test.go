package plan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/plan"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Guards against a full pass over 1,000 instances in 110 pools that takes longer than the 7 weeks allowed for it.
func TestFullPassTakesLessThanSevenWeeks(t *testing.T) {
	large := kerneltest.FleetShape{Pools: 110, PerPool: 9, Budget: fleet.Budget{MaxUnavailable: 1}}
	cfg := large.Configuration()
	for i := range 10 {
		in := cfg.Instances[i]
		in.Name = kerneltest.Worker(990 + i)
		cfg.Instances = append(cfg.Instances, in)
	}
	w := fleet.Wave{Order: []string{"zone-a", "zone-b", "zone-c"}, MaxParallel: 4}
	for _, p := range cfg.Pools {
		w.Pools = append(w.Pools, p.Name)
	}
	times := plan.StepDurations{Drain: time.Hour, Boot: 15 * time.Minute, SlowStart: 30 * time.Second}
	wavePlan := plan.Compute(w, cfg.Pools, cfg.Instances, times)
	n := 0
	for _, b := range wavePlan.Batches {
		n += len(b)
	}
	assert.Equal(t, n, 1000)
	t.Logf("%d batches take %v", len(wavePlan.Batches), wavePlan.Duration)
	assert.Assert(t, wavePlan.Duration < 7*7*24*time.Hour)
	w.MaxParallel = 1
	assert.Assert(t, plan.Compute(w, cfg.Pools, cfg.Instances, times).Duration > 7*7*24*time.Hour)
}
