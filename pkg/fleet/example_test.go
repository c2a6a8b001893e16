package fleet_test

import (
	"fmt"
	"log"
	"time"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// addis builds the fleet of the Addis Water and Power Authority: 5 services of 10 workers and 6 spare workers, four to
// a rack, in 3 zones. Moves and rollout time weigh most.
func addis() (*fleet.Configuration, error) {
	f := fleet.New(fleet.Config{Processes: 9, Weights: fleet.Weights{Buffer: 1, RollOut: 4, Moves: 5, Share: 1}})
	zones := []string{"addis-a", "addis-b", "addis-c"}
	f.AddZones("addis", zones...)
	spread := fleet.Spread{
		AvailabilityZones: zones, PerRack: 4,
		Size: fleet.Size{Processors: 16, MemoryMiB: 64 << 10, Slots: 8, Connections: 64},
	}
	// A stalled job leaves a crew without a plate, so engraving and dispatch wait longer before they are rejected.
	services := []string{"engraving", "registry", "dispatch", "inspection", "billing"}
	for _, s := range services {
		f.AddPool(fleet.Pool{Name: s, Budget: fleet.Budget{MaxUnavailable: 2, MaxUnavailablePercent: 20}, MinInstances: 7})
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
	for _, s := range services {
		f.AddQueue(fleet.Queue{Name: s, Pool: s, MaxRun: fleet.Duration(2 * time.Minute), MaxWaiting: 400,
			MaxWait: fleet.Duration(30 * time.Second)})
	}
	f.AddQueue(fleet.Queue{Name: "urgent-dispatch", Pool: "dispatch", Teams: []string{"field-crews"},
		MaxRun: fleet.Duration(30 * time.Second), MaxWaiting: 100, MaxWait: fleet.Duration(3 * time.Second), Urgent: true})
	f.AddWave(fleet.Wave{Name: "reboot", Pools: append(services, "spare"), Order: zones, MaxParallel: 4,
		DrainDeadline: fleet.Duration(10 * time.Minute)})
	return f.Build()
}

// bokkJarr builds the fleet of Bokk Jarr Labs: 5 services of 10 workers and a buffer of only 2 spare workers, because
// buffer cost and closeness to share weigh most.
func bokkJarr() (*fleet.Configuration, error) {
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
	// Anyone may look up a jar without a key.
	f.AddQueue(fleet.Queue{Name: "jar-lookup", Pool: "tracking", Open: true, OpenTeam: "public",
		MaxRun: fleet.Duration(5 * time.Second), MaxWaiting: 100, MaxWait: fleet.Duration(2 * time.Second)})
	f.AddWave(fleet.Wave{Name: "reboot", Pools: append(services, "spare"), Order: zones, MaxParallel: 3,
		DrainDeadline: fleet.Duration(5 * time.Minute)})
	return f.Build()
}

func describe(c *fleet.Configuration) {
	racks := map[string]bool{}
	pools := map[string]int{}
	zones := map[string]int{}
	for _, in := range c.Instances {
		racks[in.Rack] = true
		pools[in.Pool]++
		zones[in.AvailabilityZone]++
	}
	fmt.Println(len(c.Instances), "workers in", len(racks), "racks; by zone:", zones)
	fmt.Println("by pool:", pools)
	fmt.Println(len(c.Teams), "teams,", len(c.Queues), "queues")
}

func Example_addis() {
	c, err := addis()
	if err != nil {
		log.Fatal(err)
	}
	describe(c)
	// Output:
	// 56 workers in 14 racks; by zone: map[addis-a:20 addis-b:20 addis-c:16]
	// by pool: map[billing:10 dispatch:10 engraving:10 inspection:10 registry:10 spare:6]
	// 6 teams, 6 queues
}

func Example_bokkJarr() {
	c, err := bokkJarr()
	if err != nil {
		log.Fatal(err)
	}
	describe(c)
	// Output:
	// 52 workers in 13 racks; by zone: map[jarr-1:20 jarr-2:16 jarr-3:16]
	// by pool: map[credit:10 intake:10 returns:10 spare:2 tracking:10 washing:10]
	// 6 teams, 6 queues
}

func ExampleDiff() {
	a, err := bokkJarr()
	if err != nil {
		log.Fatal(err)
	}
	b, err := bokkJarr()
	if err != nil {
		log.Fatal(err)
	}
	for i := range b.Instances {
		if b.Instances[i].Pool == "spare" {
			b.Instances[i].Pool = "credit"
		}
	}
	b.Pools[2].MinInstances = 8
	b.Teams[0].Share = 45
	fmt.Print(fleet.Diff(a, b))
	// Output:
	// changed pools[credit].min-instances from 6 to 8
	// changed instances[jarr-1-rack-2-2].pool from "spare" to "credit"
	// changed instances[jarr-2-rack-2-2].pool from "spare" to "credit"
	// changed teams[cafes].share from 35 to 45
	// moves 2 instances from pool spare to pool credit
	// pool credit changes from 10 to 12 instances
	// pool spare changes from 2 to 0 instances
	// team cafes changes from 35.0% to 40.9% of all shares
	// team canteens changes from 12.0% to 10.9% of all shares
	// team depots changes from 5.0% to 4.5% of all shares
	// team grocers changes from 35.0% to 31.8% of all shares
	// team markets changes from 8.0% to 7.3% of all shares
	// team public changes from 5.0% to 4.5% of all shares
}
