package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// measureWave returns the shortest time of several tries that the decisions take in which a wave begins for all of n
// instances, a third of them at once. Half of them have long-running tasks.
func measureWave(t *testing.T, n int) time.Duration {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("m-glass-%d", i)
	}
	lasting := step(int32(n/2), 1000, 1000, 0)
	lasting.Lasting, lasting.MaxPerWorker = true, 1
	shortest := time.Hour
	for range 5 {
		s := newSim(t)
		s.configure(1, nil, "glass")
		s.addWorkers("glass", n)
		s.run(time.Second)
		s.submit("glass", "lasting", lasting)
		s.run(2 * time.Second)
		s.startWave(1, int32(n/3), names...)
		begin := time.Now()
		s.run(100 * time.Millisecond)
		shortest = min(shortest, time.Since(begin))
	}
	return shortest
}

// Guards against a leader that is busy with one decision for longer than an election timeout when a large wave begins, and
// so loses its leadership.
func TestDecisionOnLargeWaveGrowsLinearly(t *testing.T) {
	small, large := measureWave(t, 60), measureWave(t, 480)
	// Eight times as many instances take about eight times as long, and quadratic work 64 times.
	assert.Assert(t, large < 24*small, "%s for 60 instances, %s for 480", small, large)
}
