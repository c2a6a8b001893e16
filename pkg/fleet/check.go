package fleet

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Bounds of a document. They allow at least ten times the scale that the system is designed for, and keep a faulty
// document from exhausting memory.
const (
	MaxAvailabilityZones = 64
	MaxPools             = 1_024
	MaxInstances         = 10_000
	MaxTeams             = 4_096
	MaxQueues            = 4_096
	MaxWaves             = 1_024
	MaxProcesses         = 1_024
	// MaxName is the maximum length of a name in bytes, the same as that of a DNS label, because names become parts of
	// host names and metric labels.
	MaxName = 63
	// MaxFaults is the maximum number of faults that Check returns, because the response to a submission carries all of
	// them.
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
	// maxWait is well below the hour for which request IDs of non-idempotent requests are accepted, because the ID is
	// recorded only when the wait has ended.
	maxWait = 30 * time.Minute
	// maxUrgentWait is the time within which urgent work must start; a longer maximum wait would hide late starts.
	maxUrgentWait    = 3300 * time.Millisecond
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
	k := &checker{doc: c}
	if c.Format != Format {
		k.addFault("format", "must be %d, is %d", Format, c.Format)
	}
	k.checkRange("processes", c.Processes, 1, MaxProcesses)
	k.checkZones()
	k.checkPools()
	k.checkInstances()
	k.checkPoolSizes()
	k.checkTeams()
	k.checkQueues()
	k.checkWaves()
	k.checkWeights()
	if k.omitted > 0 {
		k.faults = append(k.faults, Fault{Message: fmt.Sprintf("%d more faults are not listed", k.omitted)})
	}
	return k.faults
}

// checker collects the faults of one document and the names against which references are checked.
type checker struct {
	doc    *Configuration
	faults []Fault
	// omitted is the number of faults that were found after the limit was reached.
	omitted int
	// zoneNames, poolNames and teamNames hold the index in the document by name.
	zoneNames map[string]int
	poolNames map[string]int
	teamNames map[string]int
	// instancesByPool holds the number of instances by pool name.
	instancesByPool map[string]int
}

func (k *checker) addFault(path, format string, args ...any) {
	if len(k.faults) >= MaxFaults-1 {
		k.omitted++
		return
	}
	k.faults = append(k.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) checkRange(path string, v, low, high int) {
	if v < low || v > high {
		k.addFault(path, "must be between %d and %d, is %d", low, high, v)
	}
}

func (k *checker) checkDuration(path string, d Duration, high time.Duration) {
	if d <= 0 || d.Std() > high {
		k.addFault(path, "must be more than 0s and at most %v, is %v", high, d.Std())
	}
}

// checkLength adds a fault if the list is too long; it reports whether the items of the list may be checked.
func (k *checker) checkLength(path string, n, high int) bool {
	if n > high {
		k.addFault(path, "must have at most %d items, has %d", high, n)
	}
	return n <= high
}

func (k *checker) checkName(path, name string) {
	switch {
	case name == "":
		k.addFault(path, "must not be empty")
	case !ValidName(name):
		k.addFault(path, "must be kebab case (a-z, 0-9, single hyphens between) and at most %d bytes long, is %q", MaxName,
			truncateName(name))
	}
}

// checkUniqueName checks the name and records its index; a repeated name keeps the index of its first item.
func (k *checker) checkUniqueName(names map[string]int, list string, i int, name string) {
	path := fmt.Sprintf("%s[%d].name", list, i)
	k.checkName(path, name)
	if first, ok := names[name]; ok && name != "" {
		k.addFault(path, "must be unique, %q is also the name of %s[%d]", truncateName(name), list, first)
		return
	}
	names[name] = i
}

// checkReference adds a fault if no item has the name; it reports whether one has it.
func (k *checker) checkReference(path, kind string, names map[string]int, name string) bool {
	if _, ok := names[name]; ok && name != "" {
		return true
	}
	if name == "" {
		k.addFault(path, "must name %s", withArticle(kind))
	} else {
		k.addFault(path, "no %s is named %q", kind, truncateName(name))
	}
	return false
}

// checkReferences checks a list of names and reports whether all of them exist and none is repeated.
func (k *checker) checkReferences(path, kind string, names map[string]int, list []string) bool {
	if !k.checkLength(path, len(list), len(names)) {
		return false
	}
	allExist := true
	seen := make(map[string]bool, len(list))
	for i, name := range list {
		item := fmt.Sprintf("%s[%d]", path, i)
		if !k.checkReference(item, kind, names, name) {
			allExist = false
		} else if seen[name] {
			k.addFault(item, "%q is listed twice", name)
			allExist = false
		}
		seen[name] = true
	}
	return allExist
}

func (k *checker) checkZones() {
	k.zoneNames = map[string]int{}
	if !k.checkLength("availability-zones", len(k.doc.AvailabilityZones), MaxAvailabilityZones) {
		return
	}
	for i, z := range k.doc.AvailabilityZones {
		k.checkUniqueName(k.zoneNames, "availability-zones", i, z.Name)
		k.checkName(fmt.Sprintf("availability-zones[%d].region", i), z.Region)
	}
}

func (k *checker) checkPools() {
	k.poolNames = map[string]int{}
	if !k.checkLength("pools", len(k.doc.Pools), MaxPools) {
		return
	}
	spare := -1
	for i, p := range k.doc.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		k.checkUniqueName(k.poolNames, "pools", i, p.Name)
		if p.Spare && spare >= 0 {
			k.addFault(path+".spare", "must be true for one pool only, pools[%d] is the spare pool", spare)
		} else if p.Spare {
			spare = i
		}
		k.checkRange(path+".availability-budget.max-unavailable", p.Budget.MaxUnavailable, 0, MaxInstances)
		k.checkRange(path+".availability-budget.max-unavailable-percent", p.Budget.MaxUnavailablePercent, 0, 100)
		k.checkRange(path+".min-instances", p.MinInstances, 0, MaxInstances)
	}
	if spare < 0 {
		k.addFault("pools", "must have one pool with \"spare\": true")
	}
}

func (k *checker) checkInstances() {
	k.instancesByPool = map[string]int{}
	if !k.checkLength("instances", len(k.doc.Instances), MaxInstances) {
		return
	}
	names := map[string]int{}
	for i := range k.doc.Instances {
		in := &k.doc.Instances[i]
		path := fmt.Sprintf("instances[%d]", i)
		k.checkUniqueName(names, "instances", i, in.Name)
		k.checkReference(path+".availability-zone", "availability zone", k.zoneNames, in.AvailabilityZone)
		k.checkName(path+".rack", in.Rack)
		if k.checkReference(path+".pool", "pool", k.poolNames, in.Pool) {
			k.instancesByPool[in.Pool]++
		}
		k.checkRange(path+".processors", in.Processors, 1, maxProcessors)
		k.checkRange(path+".memory-mib", in.MemoryMiB, 1, maxMemoryMiB)
		k.checkRange(path+".accelerators", in.Accelerators, 0, maxAccelerators)
		k.checkRange(path+".slots", in.Slots, 1, maxSlots)
		k.checkRange(path+".connections", in.Connections, 1, maxConnections)
		if in.Connections >= 1 && in.Connections < k.doc.Processes {
			k.addFault(path+".connections", "must be at least the number of processes, %d, so that each process gets one, is %d",
				k.doc.Processes, in.Connections)
		}
	}
}

// checkPoolSizes checks the settings of pools that depend on the number of their instances.
func (k *checker) checkPoolSizes() {
	if len(k.doc.Pools) > MaxPools || len(k.doc.Instances) > MaxInstances {
		return
	}
	for i, p := range k.doc.Pools {
		if n := k.instancesByPool[p.Name]; p.MinInstances > n && p.MinInstances <= MaxInstances {
			k.addFault(fmt.Sprintf("pools[%d].min-instances", i),
				"must be at most the number of instances in the pool, %d, is %d", n, p.MinInstances)
		}
	}
}

func (k *checker) checkTeams() {
	k.teamNames = map[string]int{}
	if !k.checkLength("teams", len(k.doc.Teams), MaxTeams) {
		return
	}
	for i, t := range k.doc.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		k.checkUniqueName(k.teamNames, "teams", i, t.Name)
		k.checkRange(path+".share", t.Share, 1, maxShare)
		k.checkRange(path+".upper-limit", t.UpperLimit, 1, maxUpperLimit)
	}
}

func (k *checker) checkQueues() {
	if !k.checkLength("queues", len(k.doc.Queues), MaxQueues) {
		return
	}
	names := map[string]int{}
	for i := range k.doc.Queues {
		q := &k.doc.Queues[i]
		path := fmt.Sprintf("queues[%d]", i)
		k.checkUniqueName(names, "queues", i, q.Name)
		if k.checkReference(path+".pool", "pool", k.poolNames, q.Pool) && k.doc.Pools[k.poolNames[q.Pool]].Spare {
			k.addFault(path+".pool", "must not be the spare pool %q, whose instances stay unused", q.Pool)
		}
		switch {
		case q.Open:
			k.checkReference(path+".open-team", "team", k.teamNames, q.OpenTeam)
		case q.OpenTeam != "":
			k.addFault(path+".open-team", "must be left out unless \"open\" is true")
		}
		k.checkReferences(path+".teams", "team", k.teamNames, q.Teams)
		k.checkDuration(path+".max-run", q.MaxRun, maxRun)
		k.checkRange(path+".max-waiting", q.MaxWaiting, 1, maxWaiting)
		k.checkDuration(path+".max-wait", q.MaxWait, maxWait)
		if q.Urgent && q.MaxWait.Std() > maxUrgentWait && q.MaxWait.Std() <= maxWait {
			k.addFault(path+".max-wait", "must be at most %v on an urgent queue, is %v", maxUrgentWait, q.MaxWait.Std())
		}
	}
}

func (k *checker) checkWaves() {
	if !k.checkLength("waves", len(k.doc.Waves), MaxWaves) {
		return
	}
	names := map[string]int{}
	for i, w := range k.doc.Waves {
		path := fmt.Sprintf("waves[%d]", i)
		k.checkUniqueName(names, "waves", i, w.Name)
		if len(w.Pools) == 0 {
			k.addFault(path+".pools", "must name at least one pool")
		}
		if k.checkReferences(path+".pools", "pool", k.poolNames, w.Pools) {
			for j, name := range w.Pools {
				k.checkWaveBudget(fmt.Sprintf("%s.pools[%d]", path, j), &k.doc.Pools[k.poolNames[name]])
			}
		}
		if len(w.Order) == 0 {
			k.addFault(path+".order", "must name at least one availability zone")
		}
		k.checkReferences(path+".order", "availability zone", k.zoneNames, w.Order)
		k.checkRange(path+".max-parallel", w.MaxParallel, 1, MaxInstances)
		k.checkDuration(path+".drain-deadline", w.DrainDeadline, maxDrainDeadline)
	}
}

// checkWaveBudget adds a fault if the wave could never stop an instance of the pool or could stop all of them at once.
func (k *checker) checkWaveBudget(path string, p *Pool) {
	size := k.instancesByPool[p.Name]
	allowed, bounded := p.Budget.Allowed(size)
	switch {
	case !bounded:
		k.addFault(path, "pool %q has no availability budget: set its max-unavailable or max-unavailable-percent", p.Name)
	case allowed < 1 && size > 0:
		k.addFault(path, "the availability budget of pool %q allows none of its %d instances to be unavailable", p.Name, size)
	}
}

func (k *checker) checkWeights() {
	for _, w := range []struct {
		path  string
		value float64
	}{
		{"weights.buffer", k.doc.Weights.Buffer},
		{"weights.roll-out", k.doc.Weights.RollOut},
		{"weights.moves", k.doc.Weights.Moves},
		{"weights.share", k.doc.Weights.Share},
	} {
		if math.IsNaN(w.value) || w.value < 0 || w.value > maxWeight {
			k.addFault(w.path, "must be between 0 and %g, is %g", maxWeight, w.value)
		}
	}
}

func withArticle(kind string) string {
	if strings.HasPrefix(kind, "a") {
		return "an " + kind
	}
	return "a " + kind
}

// truncateName limits the length of a name from a faulty document in messages.
func truncateName(name string) string {
	if len(name) <= 2*MaxName {
		return name
	}
	return name[:2*MaxName] + "..."
}
