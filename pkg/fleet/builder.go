package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/joomcode/errorx"
)

// Config holds the settings that apply to the whole fleet.
type Config struct {
	// Processes is the number of hibiscusroute processes.
	Processes int
	// Weights sets the relative cost of each measure in the policy.
	Weights Weights
}

// Fleet builds a configuration document step by step; Faults and Build report the faults of the whole document.
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

// AddSpread adds racks named "<zone>-rack-<n>". Each instance is assigned to the pool with the fewest instances in the
// rack, then to the one with the smallest fraction of its instances in the zone, then to the one with the most instances
// still to be placed, so that the loss of a rack or zone affects only a small part of each pool.
func (f *Fleet) AddSpread(s Spread) {
	if len(s.AvailabilityZones) == 0 || s.PerRack < 1 {
		f.faults = append(f.faults, Fault{
			Path: "instances", Message: "a spread needs availability zones and a rack size",
		})
		return
	}
	remaining := make([]int, len(s.Pools))
	total := 0
	for i, p := range s.Pools {
		remaining[i] = max(p.Instances, 0)
		total += remaining[i]
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
				if remaining[i] > 0 && (best < 0 || s.comesBefore(i, best, inRack, inZone[z], remaining)) {
					best = i
				}
			}
			remaining[best]--
			total--
			inRack[best]++
			inZone[z][best]++
			r.Pools = append(r.Pools, s.Pools[best].Pool)
		}
		f.AddRack(r)
	}
}

// comesBefore reports whether the next instance of a rack should go to pool i rather than to pool j.
func (s Spread) comesBefore(i, j int, inRack, inZone, remaining []int) bool {
	return cmp.Or(
		cmp.Compare(inRack[i], inRack[j]),
		// Compares the fractions of the pools that are in the zone by cross-multiplication, which is exact.
		cmp.Compare(inZone[i]*s.Pools[j].Instances, inZone[j]*s.Pools[i].Instances),
		cmp.Compare(remaining[j], remaining[i]),
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
