package kerneltest

import (
	"fmt"
	"time"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// FleetShape describes a fleet for tests.
type FleetShape struct {
	// Pools is the number of service pools and PerPool the number of workers in each; a spare pool is added to them.
	Pools, PerPool int
	// Teams is the number of teams, with shares 1, 2 and 4 in turn.
	Teams int
	// Processors, MemoryMiB and Accelerators are the resources of each worker.
	Processors, MemoryMiB, Accelerators int
	// Budget is the availability budget of each pool.
	Budget fleet.Budget
	// MinInstances is the minimum number of instances of each service pool.
	MinInstances int
	// Weights are the weights of the policy.
	Weights fleet.Weights
}

// SmallWorkers has the shape of the first deployment in the design document and LargeWorkers that of the second.
var (
	SmallWorkers = FleetShape{
		Pools: 5, PerPool: 10, Teams: 6, Processors: 16, MemoryMiB: 64 << 10, Budget: fleet.Budget{MaxUnavailable: 2},
		Weights: fleet.Weights{Buffer: 1, RollOut: 4, Moves: 4, Share: 1},
	}
	LargeWorkers = FleetShape{
		Pools: 5, PerPool: 10, Teams: 6, Processors: 32, MemoryMiB: 128 << 10, Budget: fleet.Budget{MaxUnavailable: 2},
		Weights: fleet.Weights{Buffer: 4, RollOut: 1, Moves: 1, Share: 4},
	}
)

// Pool returns the name of a service pool.
func Pool(i int) string { return fmt.Sprintf("pool-%d", i) }

// Team returns the name of a team.
func Team(i int) string { return fmt.Sprintf("team-%d", i) }

// Queue returns the name of the queue of a service pool.
func Queue(i int) string { return fmt.Sprintf("queue-%d", i) }

// UrgentQueue returns the name of the urgent queue of a service pool.
func UrgentQueue(i int) string { return fmt.Sprintf("urgent-%d", i) }

// Worker returns the name of an instance.
func Worker(i int) string { return fmt.Sprintf("worker-%04d", i) }

// Spare is the name of the spare pool.
const Spare = "spare"

// Configuration returns the configuration document. Its workers are in 3 zones with 4 workers per rack, so that each
// pool spans several zones and racks.
func (s FleetShape) Configuration() *fleet.Configuration {
	c := &fleet.Configuration{Format: fleet.Format, Processes: 8, Weights: s.Weights}
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		c.AvailabilityZones = append(c.AvailabilityZones, fleet.AvailabilityZone{Name: z, Region: "region-1"})
	}
	for i := range s.Teams {
		c.Teams = append(c.Teams, fleet.Team{Name: Team(i), Share: []int{1, 2, 4}[i%3], UpperLimit: 10000})
	}
	for p := range s.Pools {
		c.Pools = append(c.Pools, fleet.Pool{Name: Pool(p), Budget: s.Budget, MinInstances: s.MinInstances})
		q := fleet.Queue{
			Name: Queue(p), Pool: Pool(p), Teams: []string{}, MaxRun: fleet.Duration(time.Hour),
			MaxWaiting: 100, MaxWait: fleet.Duration(3 * time.Second),
		}
		u := q
		u.Name, u.Urgent = UrgentQueue(p), true
		c.Queues = append(c.Queues, q, u)
		for range s.PerPool {
			i := len(c.Instances)
			zone := i % 3
			c.Instances = append(c.Instances, fleet.Instance{
				Name: Worker(i), AvailabilityZone: c.AvailabilityZones[zone].Name,
				Rack: fmt.Sprintf("rack-%d-%d", zone, i/12), Pool: Pool(p), Processors: s.Processors,
				MemoryMiB: s.MemoryMiB, Accelerators: s.Accelerators, Slots: 8, Connections: 64,
			})
		}
	}
	c.Pools = append(c.Pools, fleet.Pool{Name: Spare, Spare: true})
	return c
}
