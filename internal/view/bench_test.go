package view_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/key"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"

	_ "github.com/hibiscusroute/hibiscusroute/internal/job"
	_ "github.com/hibiscusroute/hibiscusroute/internal/maintenance"
	_ "github.com/hibiscusroute/hibiscusroute/internal/quota"
)

var shapes = []kerneltest.FleetShape{
	{Pools: 5, PerPool: 10, Teams: 6}, {Pools: 25, PerPool: 10, Teams: 40}, {Pools: 100, PerPool: 10, Teams: 170},
}

// forEachShape runs a benchmark with a configured kernel for each fleet size.
func forEachShape(b *testing.B, f func(b *testing.B, r *kerneltest.Harness)) {
	for _, s := range shapes {
		b.Run(fmt.Sprintf("instances=%d", s.Pools*s.PerPool), func(b *testing.B) {
			s.Processors, s.MemoryMiB, s.Budget = 16, 64<<10, fleet.Budget{MaxUnavailable: 1}
			r := kerneltest.New(b, nil)
			r.Configure(s.Configuration())
			r.Advance(kerneltest.Tick)
			b.ReportAllocs()
			f(b, r)
		})
	}
}

// BenchmarkPublish measures how long a process takes to build a view, which it does after commands that change it.
func BenchmarkPublish(b *testing.B) {
	forEachShape(b, func(b *testing.B, r *kerneltest.Harness) {
		cfg, _ := kernel.Lookup[*configuration.State](r.Kernel, configuration.Name)
		keys, _ := kernel.Lookup[*key.State](r.Kernel, key.Name)
		pools, _ := kernel.Lookup[*pool.State](r.Kernel, pool.Name)
		for b.Loop() {
			view.New(view.Config{
				Version: cfg.Version(), Configuration: cfg.Current(), Keys: keys.Active(), PoolOf: pools.PoolOf,
			})
		}
	})
}

// BenchmarkSnapshot measures the snapshot of a voter, and reports its size and the size of the part for views.
func BenchmarkSnapshot(b *testing.B) {
	forEachShape(b, func(b *testing.B, r *kerneltest.Harness) {
		var snapshot []byte
		for b.Loop() {
			var err error
			snapshot, err = r.Kernel.Snapshot(false)
			assert.NilError(b, err)
		}
		viewSnapshot, err := r.Kernel.Snapshot(true)
		assert.NilError(b, err)
		b.ReportMetric(float64(len(snapshot)), "bytes")
		b.ReportMetric(float64(len(viewSnapshot)), "view-bytes")
	})
}

// BenchmarkDecide measures one round of decisions of all plug-ins without work, which the leader makes every 100 ms.
func BenchmarkDecide(b *testing.B) {
	forEachShape(b, func(b *testing.B, r *kerneltest.Harness) {
		for b.Loop() {
			r.Now += kerneltest.Tick
			r.Kernel.Decide(r.Now)
		}
	})
}

// BenchmarkApply measures how a voter applies a new configuration, including the check of all invariants.
func BenchmarkApply(b *testing.B) {
	for _, s := range shapes {
		b.Run(fmt.Sprintf("instances=%d", s.Pools*s.PerPool), func(b *testing.B) {
			s.Processors, s.MemoryMiB, s.Budget = 16, 64<<10, fleet.Budget{MaxUnavailable: 1}
			r := kerneltest.New(b, nil)
			cfg := s.Configuration()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r.Configure(cfg)
			r.Advance(kerneltest.Tick)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for i := 0; b.Loop(); i++ {
				cfg.Queues[0].MaxWaiting = 100 + i%100
				r.Configure(cfg)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-bytes")
			runtime.KeepAlive(r)
		})
	}
}
