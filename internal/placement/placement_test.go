package placement_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/placement"
)

// Guards against shares that ignore weights, a team's real bottleneck, or capacity that others leave unused.
func TestMaxMin(t *testing.T) {
	total := placement.Resources{MilliProcessors: 8000, MemoryMiB: 8000, Accelerators: 4}
	cpu := func(n int64) placement.Resources { return placement.Resources{MilliProcessors: n} }
	for _, test := range []struct {
		name    string
		demands []placement.Demand
		want    []float64
	}{
		{"everything fits", []placement.Demand{{1, cpu(1000)}, {4, cpu(2000)}}, []float64{1, 1}},
		{"weights", []placement.Demand{{1, cpu(8000)}, {3, cpu(8000)}}, []float64{0.25, 0.75}},
		{"unused share is lent", []placement.Demand{{1, cpu(8000)}, {1, cpu(2000)}}, []float64{0.75, 1}},
		{"no demand", []placement.Demand{{1, cpu(8000)}, {1, cpu(0)}}, []float64{1, 1}},
		{"other bottleneck", []placement.Demand{
			{1, cpu(16000)}, {1, placement.Resources{MemoryMiB: 16000}}, {1, placement.Resources{Accelerators: 8}},
		}, []float64{0.5, 0.5, 0.5}},
	} {
		got := placement.MaxMin(total, test.demands)
		for i := range got {
			assert.Assert(t, math.Abs(got[i]-test.want[i]) < 1e-6, "%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against jobs of one queue that share a failure domain while another is free, and against needless moves.
func TestPickSpreadsAndStays(t *testing.T) {
	free := placement.Resources{MilliProcessors: 1000, Slots: 1}
	taken := placement.Resources{MilliProcessors: 1000}
	list := []placement.Candidate{
		{InstanceName: "a1", Zone: "a", Rack: "ra", Free: free, Capacity: free},
		{InstanceName: "a2", Zone: "a", Rack: "rb", Free: free, Capacity: free},
		{InstanceName: "b1", Zone: "b", Rack: "rc", Free: free, Capacity: free},
		{InstanceName: "b2", Zone: "b", Rack: "rc", Free: taken, Capacity: free},
	}
	var s placement.JobCounts
	s.AddJobs(list[0], 1)
	assert.Equal(t, placement.Pick(free, list, s, "", nil), 2, "other zone first")
	s.AddJobs(list[2], 1)
	assert.Equal(t, placement.Pick(free, list, s, "", nil), 1, "other rack next")
	assert.Equal(t, placement.Pick(free, list, s, "b1", nil), 2, "one job worse is good enough to stay")
	assert.Equal(t, placement.Pick(free.Add(free), list, s, "", nil), -1)
	assert.Equal(t, placement.Pick(free, list[3:], s, "", nil), -1, "no slot")
}

// Guards against an estimate that jumps on one sample, never converges, or gives a job less memory than declared.
func TestEstimatorCorrectsGradually(t *testing.T) {
	var e placement.Estimator
	declared := placement.Resources{MilliProcessors: 1000, MemoryMiB: 1000}
	used := placement.Resources{MilliProcessors: 100, MemoryMiB: 100}
	e.AddUsage("c", declared, used, time.Second)
	assert.Equal(t, e.CorrectedSize("c", declared), declared, "a starting job says nothing")
	e.AddUsage("c", declared, used, time.Minute)
	assert.Equal(t, e.CorrectedSize("c", declared).MilliProcessors, int64(910))
	for range 50 {
		e.AddUsage("c", declared, used, time.Minute)
		e.AddRunTime("c", time.Second, 10*time.Second)
	}
	assert.Equal(t, e.CorrectedSize("c", declared), placement.Resources{MilliProcessors: 500, MemoryMiB: 1000})
	assert.Assert(t, e.CorrectedRunTime("c", time.Second) > 9*time.Second)
}
