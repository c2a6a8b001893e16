package examples

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Addis builds the fleet of the Addis Water and Power Authority: 5 services of 10 instances each and 6 spare instances,
// four per rack, in 3 availability zones. The weights favor few moves and short rollouts.
func Addis() (*fleet.Configuration, error) {
	f := fleet.New(fleet.Config{Processes: 9, Weights: fleet.Weights{Buffer: 1, RollOut: 4, Moves: 5, Share: 1}})
	zones := []string{"addis-a", "addis-b", "addis-c"}
	f.AddZones("addis", zones...)
	spread := fleet.Spread{
		AvailabilityZones: zones, PerRack: 4,
		Size: fleet.Size{Processors: 16, MemoryMiB: 64 << 10, Slots: 8, Connections: 64},
	}
	services := []string{"engraving", "registry", "dispatch", "inspection", "billing"}
	for _, s := range services {
		f.AddPool(fleet.Pool{
			Name: s, Budget: fleet.Budget{MaxUnavailable: 2, MaxUnavailablePercent: 20}, MinInstances: 7,
		})
		spread.Pools = append(spread.Pools, fleet.PoolCount{Pool: s, Instances: 10})
	}
	f.AddPool(fleet.Pool{Name: "spare", Spare: true, Budget: fleet.Budget{MaxUnavailable: 4}})
	spread.Pools = append(spread.Pools, fleet.PoolCount{Pool: "spare", Instances: 6})
	f.AddSpread(spread)
	for _, t := range []fleet.Team{
		{Name: "water-networks", Share: 30, UpperLimit: 200},
		{Name: "power-networks", Share: 30, UpperLimit: 200},
		{Name: "field-crews", Share: 20, UpperLimit: 120},
		{Name: "asset-register", Share: 10, UpperLimit: 60},
		{Name: "customer-care", Share: 5, UpperLimit: 40},
		{Name: "audit", Share: 5, UpperLimit: 40},
	} {
		f.AddTeam(t)
	}
	// A field crew cannot work without the plate that its job makes, so requests wait for up to 30 s before they are
	// rejected.
	for _, s := range services {
		f.AddQueue(fleet.Queue{Name: s, Pool: s, MaxRun: fleet.Duration(2 * time.Minute), MaxWaiting: 400,
			MaxWait: fleet.Duration(30 * time.Second)})
	}
	f.AddQueue(fleet.Queue{Name: "urgent-dispatch", Pool: "dispatch", Teams: []string{"field-crews"},
		MaxRun: fleet.Duration(30 * time.Second), MaxWaiting: 100, MaxWait: fleet.Duration(3 * time.Second),
		Urgent: true})
	f.AddWave(fleet.Wave{Name: "reboot", Pools: append(services, "spare"), Order: zones, MaxParallel: 4,
		DrainDeadline: fleet.Duration(10 * time.Minute)})
	return f.Build()
}
