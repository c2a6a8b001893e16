package fleet

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Bounds of a document. They leave ten times the design scale or more and keep a faulty document from filling memory.
const (
	MaxAvailabilityZones = 64
	MaxPools             = 1_024
	MaxInstances         = 10_000
	MaxTeams             = 4_096
	MaxQueues            = 4_096
	MaxWaves             = 1_024
	MaxProcesses         = 1_024
	// MaxName bounds names in bytes, as DNS labels do, because names become parts of host names and metric labels.
	MaxName = 63
	// MaxFaults bounds the faults that Check returns, because the answer to a submission carries all of them.
	MaxFaults = 1_000
)

const (
	maxProcessors   = 4_096
	maxMemoryMiB    = 64 << 20 // 64 TiB
	maxAccelerators = 1_024
	maxSlots        = 65_536
	maxConnections  = 1_000_000
	maxShare        = 1_000_000
	maxUpperLimit   = 10_000_000
	maxWaiting      = 1_000_000
	maxRun          = 7 * 24 * time.Hour
	// longestWait stays well below the hour for which request IDs of non-idempotent requests are accepted, since the
	// ID is recorded only when the wait has ended.
	longestWait = 30 * time.Minute
	// urgentWait is the time within which urgent work must start; a longer wait would hide a missed start.
	urgentWait       = 3300 * time.Millisecond
	maxDrainDeadline = 7 * 24 * time.Hour
	maxWeight        = 1e9
)

// ValidName reports whether name is non-empty, kebab case (lower-case ASCII letters and digits in parts separated by
// single hyphens) and at most MaxName bytes long.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxName {
		return false
	}
	previous := byte('-')
	for i := range len(name) {
		ch := name[i]
		switch {
		case ch >= 'a' && ch <= 'z', ch >= '0' && ch <= '9':
		case ch == '-' && previous != '-':
		default:
			return false
		}
		previous = ch
	}
	return previous != '-'
}

// Check returns every fault of the document, in document order; none means that it can be submitted.
// Beyond MaxFaults, the last fault says how many more there are.
func (c *Configuration) Check() []Fault {
	k := &checker{c: c}
	if c.Format != Format {
		k.add("format", "must be %d, is %d", Format, c.Format)
	}
	k.within("processes", c.Processes, 1, MaxProcesses)
	k.zones()
	k.pools()
	k.instances()
	k.poolSizes()
	k.teams()
	k.queues()
	k.waves()
	k.weights()
	if k.omitted > 0 {
		k.faults = append(k.faults, Fault{Message: fmt.Sprintf("%d more faults are not listed", k.omitted)})
	}
	return k.faults
}

// checker collects the faults of one document together with the names that references are checked against.
type checker struct {
	c         *Configuration
	faults    []Fault
	omitted   int
	zoneNames map[string]int
	poolNames map[string]int
	teamNames map[string]int
	// members is the number of instances by pool.
	members map[string]int
}

func (k *checker) add(path, format string, args ...any) {
	if len(k.faults) >= MaxFaults-1 {
		k.omitted++
		return
	}
	k.faults = append(k.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) within(path string, v, low, high int) {
	if v < low || v > high {
		k.add(path, "must be between %d and %d, is %d", low, high, v)
	}
}

func (k *checker) duration(path string, d Duration, high time.Duration) {
	if d <= 0 || d.Std() > high {
		k.add(path, "must be more than 0s and at most %v, is %v", high, d.Std())
	}
}

// count reports whether the list is short enough for its items to be checked.
func (k *checker) count(path string, n, high int) bool {
	if n > high {
		k.add(path, "must have at most %d items, has %d", high, n)
	}
	return n <= high
}

func (k *checker) name(path, name string) {
	switch {
	case name == "":
		k.add(path, "must not be empty")
	case !ValidName(name):
		k.add(path, "must be kebab case (a-z, 0-9, single hyphens between) and at most %d bytes long, is %q", MaxName,
			shorten(name))
	}
}

// unique checks the name and records it; the first item with a name keeps it.
func (k *checker) unique(names map[string]int, list string, i int, name string) {
	path := fmt.Sprintf("%s[%d].name", list, i)
	k.name(path, name)
	if first, ok := names[name]; ok && name != "" {
		k.add(path, "must be unique, %q is also the name of %s[%d]", shorten(name), list, first)
		return
	}
	names[name] = i
}

func (k *checker) reference(path, kind string, names map[string]int, name string) bool {
	if _, ok := names[name]; ok && name != "" {
		return true
	}
	if name == "" {
		k.add(path, "must name %s", article(kind))
	} else {
		k.add(path, "no %s is named %q", kind, shorten(name))
	}
	return false
}

// references checks a list of names and reports whether all of them exist and none is repeated.
func (k *checker) references(path, kind string, names map[string]int, list []string) bool {
	if !k.count(path, len(list), len(names)) {
		return false
	}
	sound := true
	seen := make(map[string]bool, len(list))
	for i, name := range list {
		item := fmt.Sprintf("%s[%d]", path, i)
		if !k.reference(item, kind, names, name) {
			sound = false
		} else if seen[name] {
			k.add(item, "%q is listed twice", name)
			sound = false
		}
		seen[name] = true
	}
	return sound
}

func (k *checker) zones() {
	k.zoneNames = map[string]int{}
	if !k.count("availability-zones", len(k.c.AvailabilityZones), MaxAvailabilityZones) {
		return
	}
	for i, z := range k.c.AvailabilityZones {
		k.unique(k.zoneNames, "availability-zones", i, z.Name)
		k.name(fmt.Sprintf("availability-zones[%d].region", i), z.Region)
	}
}

func (k *checker) pools() {
	k.poolNames = map[string]int{}
	if !k.count("pools", len(k.c.Pools), MaxPools) {
		return
	}
	spare := -1
	for i, p := range k.c.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		k.unique(k.poolNames, "pools", i, p.Name)
		if p.Spare && spare >= 0 {
			k.add(path+".spare", "must be true for one pool only, pools[%d] is the spare pool", spare)
		} else if p.Spare {
			spare = i
		}
		k.within(path+".availability-budget.max-unavailable", p.Budget.MaxUnavailable, 0, MaxInstances)
		k.within(path+".availability-budget.max-unavailable-percent", p.Budget.MaxUnavailablePercent, 0, 100)
		k.within(path+".min-instances", p.MinInstances, 0, MaxInstances)
	}
	if spare < 0 {
		k.add("pools", "must have one pool with \"spare\": true")
	}
}

func (k *checker) instances() {
	k.members = map[string]int{}
	if !k.count("instances", len(k.c.Instances), MaxInstances) {
		return
	}
	names := map[string]int{}
	for i := range k.c.Instances {
		in := &k.c.Instances[i]
		path := fmt.Sprintf("instances[%d]", i)
		k.unique(names, "instances", i, in.Name)
		k.reference(path+".availability-zone", "availability zone", k.zoneNames, in.AvailabilityZone)
		k.name(path+".rack", in.Rack)
		if k.reference(path+".pool", "pool", k.poolNames, in.Pool) {
			k.members[in.Pool]++
		}
		k.within(path+".processors", in.Processors, 1, maxProcessors)
		k.within(path+".memory-mib", in.MemoryMiB, 1, maxMemoryMiB)
		k.within(path+".accelerators", in.Accelerators, 0, maxAccelerators)
		k.within(path+".slots", in.Slots, 1, maxSlots)
		k.within(path+".connections", in.Connections, 1, maxConnections)
		if in.Connections >= 1 && in.Connections < k.c.Processes {
			k.add(path+".connections", "must be at least the number of processes, %d, so that each process gets one, is %d",
				k.c.Processes, in.Connections)
		}
	}
}

// poolSizes checks what depends on the number of instances in a pool.
func (k *checker) poolSizes() {
	if len(k.c.Pools) > MaxPools || len(k.c.Instances) > MaxInstances {
		return
	}
	for i, p := range k.c.Pools {
		if n := k.members[p.Name]; p.MinInstances > n && p.MinInstances <= MaxInstances {
			k.add(fmt.Sprintf("pools[%d].min-instances", i), "must be at most the number of instances in the pool, %d, is %d",
				n, p.MinInstances)
		}
	}
}

func (k *checker) teams() {
	k.teamNames = map[string]int{}
	if !k.count("teams", len(k.c.Teams), MaxTeams) {
		return
	}
	for i, t := range k.c.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		k.unique(k.teamNames, "teams", i, t.Name)
		k.within(path+".share", t.Share, 1, maxShare)
		k.within(path+".upper-limit", t.UpperLimit, 1, maxUpperLimit)
	}
}

func (k *checker) queues() {
	if !k.count("queues", len(k.c.Queues), MaxQueues) {
		return
	}
	names := map[string]int{}
	for i := range k.c.Queues {
		q := &k.c.Queues[i]
		path := fmt.Sprintf("queues[%d]", i)
		k.unique(names, "queues", i, q.Name)
		if k.reference(path+".pool", "pool", k.poolNames, q.Pool) && k.c.Pools[k.poolNames[q.Pool]].Spare {
			k.add(path+".pool", "must not be the spare pool %q, whose instances stay unused", q.Pool)
		}
		switch {
		case q.Open:
			k.reference(path+".open-team", "team", k.teamNames, q.OpenTeam)
		case q.OpenTeam != "":
			k.add(path+".open-team", "must be left out unless \"open\" is true")
		}
		k.references(path+".teams", "team", k.teamNames, q.Teams)
		k.duration(path+".max-run", q.MaxRun, maxRun)
		k.within(path+".max-waiting", q.MaxWaiting, 1, maxWaiting)
		k.duration(path+".max-wait", q.MaxWait, longestWait)
		if q.Urgent && q.MaxWait.Std() > urgentWait && q.MaxWait.Std() <= longestWait {
			k.add(path+".max-wait", "must be at most %v on an urgent queue, is %v", urgentWait, q.MaxWait.Std())
		}
	}
}

func (k *checker) waves() {
	if !k.count("waves", len(k.c.Waves), MaxWaves) {
		return
	}
	names := map[string]int{}
	for i, w := range k.c.Waves {
		path := fmt.Sprintf("waves[%d]", i)
		k.unique(names, "waves", i, w.Name)
		if len(w.Pools) == 0 {
			k.add(path+".pools", "must name at least one pool")
		}
		if k.references(path+".pools", "pool", k.poolNames, w.Pools) {
			for j, name := range w.Pools {
				k.waveBudget(fmt.Sprintf("%s.pools[%d]", path, j), &k.c.Pools[k.poolNames[name]])
			}
		}
		if len(w.Order) == 0 {
			k.add(path+".order", "must name at least one availability zone")
		}
		k.references(path+".order", "availability zone", k.zoneNames, w.Order)
		k.within(path+".max-parallel", w.MaxParallel, 1, MaxInstances)
		k.duration(path+".drain-deadline", w.DrainDeadline, maxDrainDeadline)
	}
}

// waveBudget refuses a wave that could never stop an instance of the pool, or could stop all of them at once.
func (k *checker) waveBudget(path string, p *Pool) {
	size := k.members[p.Name]
	allowed, bounded := p.Budget.Allowed(size)
	switch {
	case !bounded:
		k.add(path, "pool %q has no availability budget: set its max-unavailable or max-unavailable-percent", p.Name)
	case allowed < 1 && size > 0:
		k.add(path, "the availability budget of pool %q allows none of its %d instances to be unavailable", p.Name, size)
	}
}

func (k *checker) weights() {
	for _, w := range []struct {
		path  string
		value float64
	}{
		{"weights.buffer", k.c.Weights.Buffer},
		{"weights.roll-out", k.c.Weights.RollOut},
		{"weights.moves", k.c.Weights.Moves},
		{"weights.share", k.c.Weights.Share},
	} {
		if math.IsNaN(w.value) || w.value < 0 || w.value > maxWeight {
			k.add(w.path, "must be between 0 and %g, is %g", maxWeight, w.value)
		}
	}
}

func article(kind string) string {
	if strings.HasPrefix(kind, "a") {
		return "an " + kind
	}
	return "a " + kind
}

// shorten keeps a long name from a faulty document out of messages.
func shorten(name string) string {
	if len(name) <= 2*MaxName {
		return name
	}
	return name[:2*MaxName] + "..."
}
