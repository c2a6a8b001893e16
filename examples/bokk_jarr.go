package examples

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// BokkJarr builds the fleet of Bokk Jarr Labs: 5 services of 10 instances each and only 2 spare instances, because the
// weights favor a small buffer and an allocation close to the shares.
func BokkJarr() (*fleet.Configuration, error) {
	f := fleet.New(fleet.Config{Processes: 8, Weights: fleet.Weights{Buffer: 5, RollOut: 1, Moves: 1, Share: 4}})
	zones := []string{"jarr-1", "jarr-2", "jarr-3"}
	f.AddZones("jarr", zones...)
	spread := fleet.Spread{
		AvailabilityZones: zones, PerRack: 4,
		Size: fleet.Size{Processors: 32, MemoryMiB: 128 << 10, Slots: 8, Connections: 64},
	}
	services := []string{"intake", "washing", "credit", "tracking", "returns"}
	for _, s := range services {
		f.AddPool(fleet.Pool{Name: s, Budget: fleet.Budget{MaxUnavailablePercent: 20}, MinInstances: 6})
		spread.Pools = append(spread.Pools, fleet.PoolCount{Pool: s, Instances: 10})
	}
	f.AddPool(fleet.Pool{Name: "spare", Spare: true, Budget: fleet.Budget{MaxUnavailable: 1}})
	spread.Pools = append(spread.Pools, fleet.PoolCount{Pool: "spare", Instances: 2})
	f.AddSpread(spread)
	for _, t := range []fleet.Team{
		{Name: "cafes", Share: 35, UpperLimit: 240},
		{Name: "grocers", Share: 35, UpperLimit: 240},
		{Name: "canteens", Share: 12, UpperLimit: 100},
		{Name: "markets", Share: 8, UpperLimit: 60},
		{Name: "depots", Share: 5, UpperLimit: 40},
		{Name: "public", Share: 5, UpperLimit: 40},
	} {
		f.AddTeam(t)
	}
	for _, s := range services {
		f.AddQueue(fleet.Queue{Name: s, Pool: s, MaxRun: fleet.Duration(time.Minute), MaxWaiting: 400,
			MaxWait: fleet.Duration(10 * time.Second)})
	}
	// Jar lookup is open to requests without a key.
	f.AddQueue(fleet.Queue{Name: "jar-lookup", Pool: "tracking", Open: true, OpenTeam: "public",
		MaxRun: fleet.Duration(5 * time.Second), MaxWaiting: 100, MaxWait: fleet.Duration(2 * time.Second)})
	f.AddWave(fleet.Wave{Name: "reboot", Pools: append(services, "spare"), Order: zones, MaxParallel: 3,
		DrainDeadline: fleet.Duration(5 * time.Minute)})
	return f.Build()
}
