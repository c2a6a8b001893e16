package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

// BenchmarkFailover measures the time from the silent loss of the leader until a change is committed again.
func BenchmarkFailover(b *testing.B) {
	cut := newPartition()
	nodes := startGroup(b, cut, 3, 1)
	submit(b, nodes[3], document(), 0)
	var worst time.Duration
	for b.Loop() {
		b.StopTimer()
		eventually(b, "whole group", func() bool { return groupSize(nodes[3], 3) })
		old := leaderOf(nodes)
		b.StartTimer()
		start := time.Now()
		cut.isolate(old.cfg.Process.Name)
		_, err := nodes[3].operatorClient(b).Grant(context.Background(), operator.NewOperationID(), "billing")
		assert.NilError(b, err)
		worst = max(worst, time.Since(start))
		b.StopTimer()
		cut.heal()
		eventually(b, "old leader follows", func() bool { return !old.voter.Leading() && old.leased() })
		b.StartTimer()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}
