package maintenance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/maintenancepb"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// BenchmarkDecide measures one decision of the pool and maintenance plug-ins while a wave is under way and an instance
// fails or returns before each decision.
func BenchmarkDecide(b *testing.B) {
	for _, bench := range []struct{ pools, perPool int }{{5, 10}, {25, 10}, {110, 9}} {
		b.Run(fmt.Sprintf("%d-workers", bench.pools*bench.perPool), func(b *testing.B) {
			s := kerneltest.FleetShape{
				Pools: bench.pools, PerPool: bench.perPool, Processors: 16, MemoryMiB: 64 << 10,
				Budget: fleet.Budget{MaxUnavailable: 1},
			}
			cfg := s.Configuration()
			w := fleet.Wave{Name: wave, MaxParallel: 20, DrainDeadline: fleet.Duration(time.Hour)}
			for _, p := range cfg.Pools {
				if !p.Spare {
					w.Pools = append(w.Pools, p.Name)
				}
			}
			for _, z := range cfg.AvailabilityZones {
				w.Order = append(w.Order, z.Name)
			}
			cfg.Waves = []fleet.Wave{w}
			r := kerneltest.New(b, nil)
			r.Configure(cfg)
			r.Advance(kerneltest.Tick)
			r.MustApply(maintenance.ControlCommand("", wave, maintenancepb.Verb_VERB_START))
			r.Observe(maintenance.Redundancy{Full: true})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Now += time.Minute
				r.Observe(pool.InstanceReport{Instance: kerneltest.Worker(i / 2 % 50), Healthy: i%2 == 1})
			}
		})
	}
}
