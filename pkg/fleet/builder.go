package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/joomcode/errorx"
)

// Config holds what applies to a whole fleet.
type Config struct {
	// Processes is the number of hibiscusroute processes.
	Processes int
	// Weights sets what the policy gives up for what.
	Weights Weights
}

// Fleet builds a configuration document step by step; faults are reported once, by Build.
type Fleet struct {
	doc    Configuration
	faults []Fault
}

// New starts a document without zones, pools, instances, teams, queues and waves.
func New(cfg Config) *Fleet {
	return &Fleet{doc: Configuration{
		Format: Format, Processes: cfg.Processes, Weights: cfg.Weights,
		AvailabilityZones: []AvailabilityZone{}, Pools: []Pool{}, Instances: []Instance{}, Teams: []Team{},
		Queues: []Queue{}, Waves: []Wave{},
	}}
}

// AddZones adds availability zones of one region.
func (f *Fleet) AddZones(region string, names ...string) {
	for _, name := range names {
		f.doc.AvailabilityZones = append(f.doc.AvailabilityZones, AvailabilityZone{Name: name, Region: region})
	}
}

// AddPool adds a pool.
func (f *Fleet) AddPool(p Pool) { f.doc.Pools = append(f.doc.Pools, p) }

// Size is the size of an instance, in the units of Instance.
type Size struct {
	Processors, MemoryMiB, Accelerators, Slots, Connections int
}

// Rack describes the instances of one rack.
type Rack struct {
	// Name is the name of the rack; its instances are named "<name>-1", "<name>-2" and so on.
	Name             string
	AvailabilityZone string
	// Pools holds the pool of each instance of the rack, one item per instance.
	Pools []string
	// Size is the size of each instance of the rack.
	Size Size
}

// AddRack adds the instances of a rack.
func (f *Fleet) AddRack(r Rack) {
	for i, pool := range r.Pools {
		f.doc.Instances = append(f.doc.Instances, Instance{
			Name: fmt.Sprintf("%s-%d", r.Name, i+1), AvailabilityZone: r.AvailabilityZone, Rack: r.Name, Pool: pool,
			Processors: r.Size.Processors, MemoryMiB: r.Size.MemoryMiB, Accelerators: r.Size.Accelerators,
			Slots: r.Size.Slots, Connections: r.Size.Connections,
		})
	}
}

// PoolCount is a number of instances for a pool.
type PoolCount struct {
	Pool      string
	Instances int
}

// Spread describes instances of equal size that are spread over availability zones and racks.
type Spread struct {
	// AvailabilityZones receive the racks in turn.
	AvailabilityZones []string
	// PerRack is the number of instances in each rack; the last rack may have fewer.
	PerRack int
	// Pools lists how many instances each pool gets.
	Pools []PoolCount
	// Size is the size of each instance.
	Size Size
}

// AddSpread adds racks named "<zone>-rack-<n>". Each place goes to the pool that has the fewest instances in the rack,
// then the smallest part of its instances in the zone, so that the loss of a rack or zone takes little of any pool.
func (f *Fleet) AddSpread(s Spread) {
	if len(s.AvailabilityZones) == 0 || s.PerRack < 1 {
		f.faults = append(f.faults, Fault{Path: "instances", Message: "a spread needs availability zones and a rack size"})
		return
	}
	left := make([]int, len(s.Pools))
	total := 0
	for i, p := range s.Pools {
		left[i] = max(p.Instances, 0)
		total += left[i]
	}
	inZone := make([][]int, len(s.AvailabilityZones))
	for i := range inZone {
		inZone[i] = make([]int, len(s.Pools))
	}
	for n := 0; total > 0; n++ {
		z := n % len(s.AvailabilityZones)
		zone := s.AvailabilityZones[z]
		r := Rack{
			Name: fmt.Sprintf("%s-rack-%d", zone, n/len(s.AvailabilityZones)+1), AvailabilityZone: zone, Size: s.Size,
		}
		inRack := make([]int, len(s.Pools))
		for len(r.Pools) < s.PerRack && total > 0 {
			best := -1
			for i := range s.Pools {
				if left[i] > 0 && (best < 0 || s.before(i, best, inRack, inZone[z], left)) {
					best = i
				}
			}
			left[best]--
			total--
			inRack[best]++
			inZone[z][best]++
			r.Pools = append(r.Pools, s.Pools[best].Pool)
		}
		f.AddRack(r)
	}
}

// before reports whether pool i should get the next place of a rack before pool j.
func (s Spread) before(i, j int, inRack, inZone, left []int) bool {
	return cmp.Or(
		cmp.Compare(inRack[i], inRack[j]),
		// The parts in the zone as fractions, compared without division.
		cmp.Compare(inZone[i]*s.Pools[j].Instances, inZone[j]*s.Pools[i].Instances),
		cmp.Compare(left[j], left[i]),
	) < 0
}

// AddTeam adds a team.
func (f *Fleet) AddTeam(t Team) { f.doc.Teams = append(f.doc.Teams, t) }

// AddQueue adds a queue.
func (f *Fleet) AddQueue(q Queue) {
	if q.Teams == nil {
		q.Teams = []string{}
	}
	f.doc.Queues = append(f.doc.Queues, q)
}

// AddWave adds a maintenance wave.
func (f *Fleet) AddWave(w Wave) { f.doc.Waves = append(f.doc.Waves, w) }

// Faults returns every fault of the document built so far.
func (f *Fleet) Faults() []Fault { return slices.Concat(f.faults, f.doc.Check()) }

// Build returns the document; it fails with an error that lists every fault.
func (f *Fleet) Build() (*Configuration, error) {
	if faults := f.Faults(); len(faults) > 0 {
		return nil, errorx.IllegalArgument.New("configuration has %d faults:\n%s", len(faults), JoinFaults(faults))
	}
	c := f.doc
	return &c, nil
}
