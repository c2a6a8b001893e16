package workload_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLeader measures the time that the decisions of a second take with 350 workers and about 600 starts a second,
// including the time of the fake workers.
func BenchmarkLeader(b *testing.B) {
	pools := []string{"a", "b", "c", "d"}
	s := newSim(b)
	s.configure(1, nil, append([]string{"spare"}, pools...)...)
	for _, p := range pools {
		s.addWorkers(p, 73)
	}
	s.addWorkers("spare", 56)
	s.run(2 * time.Second)
	b.ResetTimer()
	for n := range b.N {
		for k := range 40 {
			p := pools[(n/5+k/20)%len(pools)]
			second := step(8, 1500, 2000, 800)
			second.After = []int32{0}
			s.submit(p, fmt.Sprintf("%s-%d-%d", p, n, k), step(8, 1500, 2000, 800), second)
			s.run(25 * time.Millisecond)
		}
	}
}
