package fleet_test

import (
	"errors"
	"fmt"
	"log"

	"github.com/hibiscusroute/hibiscusroute/examples"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

func describe(c *fleet.Configuration) {
	racks, pools, zones := map[string]bool{}, map[string]int{}, map[string]int{}
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
	c, err := examples.Addis()
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
	c, err := examples.BokkJarr()
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
	a, errA := examples.BokkJarr()
	b, errB := examples.BokkJarr()
	if err := errors.Join(errA, errB); err != nil {
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
