package workload

import (
	"math"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
)

const (
	// headroom is the desired ratio of a pool's capacity to its demand. It exceeds 1 because tasks rarely fill an
	// instance completely.
	headroom = 1.15
	// idleTimeout is how long an instance is idle before it is turned off. Turning it off and on again takes two moves,
	// which cost as much as running it in a pool for about three seconds at the prices of the deployments.
	idleTimeout = 500 * time.Millisecond
	// shrinkDelay is how long a pool keeps its instances after it last had no surplus.
	shrinkDelay = 500 * time.Millisecond
	// rateWindowJobs is the number of jobs over which the arrival rate of a pool's work is computed. With fewer, two jobs
	// in quick succession by chance look like the start of a busy period; with more, a busy period is detected late.
	rateWindowJobs = 4
	// maxSilentGaps is the time without a new job, in mean gaps between jobs, after which a busy period ends.
	maxSilentGaps = 3
	// minRateGap is the lower bound of the mean gap between jobs.
	minRateGap = 300 * time.Millisecond
	// unplacedGrowDelay is how long a long-running task waits for released capacity before its pool gets one more
	// instance.
	unplacedGrowDelay = 600 * time.Millisecond
	// minPoolInstances is the minimum number of instances of each pool except the spare pool.
	minPoolInstances = 1
)

// poolView is the state of a pool that decisions on its size are based on.
type poolView struct {
	name             string
	spare            bool
	demand           ledger.Resources
	minInstances     int  // instances that the long-running tasks need
	hasUnplaced      bool // a long-running task has no worker
	lacksRoom        bool // maintenance waits for room for a long-running task
	growing          bool // an instance is moving to the pool
	have             int  // instances that serve the pool or are moving to it
	instanceCapacity ledger.Resources
	want             int
}

// balancePools moves idle instances to the pools that need them, and turns off those that no pool needs.
func (e *Engine) balancePools() {
	d := e.state.Document()
	if d == nil {
		return
	}
	pools := map[string]*poolView{}
	var order []*poolView
	spare := ""
	for _, p := range d.Pools {
		v := &poolView{name: p.Name, spare: p.Spare}
		pools[p.Name] = v
		order = append(order, v)
		if p.Spare {
			spare = p.Name
		}
	}
	if spare == "" {
		return
	}
	e.measureDemand(pools)
	for _, v := range pools {
		if rate := e.rates.cpuRate(v.name, e.now); rate > v.demand.CPU {
			v.demand.Memory = int64(float64(v.demand.Memory) * float64(rate) / float64(max(v.demand.CPU, 1)))
			v.demand.CPU = rate
		}
	}
	var off, idle []*instance
	for _, in := range e.fleet.sortedInstances() {
		e.updateIdleSince(in)
		v := pools[in.effectivePool()]
		if v == nil {
			continue
		}
		if in.operation == nil && !in.Up && !e.isReturning(in) {
			continue
		}
		if op := in.operation; op != nil {
			v.lacksRoom = v.lacksRoom || op.lacksRoom && !op.requested
			v.growing = v.growing || op.pool != ""
		}
		s := e.sessionOf(in)
		if s != nil && (s.worker.IsDraining() || s.failures > 0) {
			continue
		}
		v.have++
		v.instanceCapacity = ledger.ResourcesOf(in.Capacity)
		switch {
		case in.operation != nil || !in.Up || e.mustWaitForTakeover(in.Name):
		case v.spare:
			off = append(off, in)
		case s != nil && in.idleSince > 0 && s.clockKnown:
			idle = append(idle, in)
		}
	}
	for _, v := range order {
		v.hasUnplaced = v.hasUnplaced || v.lacksRoom && !v.growing
		if !v.hasUnplaced {
			delete(e.fleet.unplacedSince, v.name)
		} else if since, ok := e.fleet.unplacedSince[v.name]; !ok {
			e.fleet.unplacedSince[v.name], v.hasUnplaced = e.now, false
		} else {
			v.hasUnplaced = e.now-since >= unplacedGrowDelay
		}
		v.computeWant()
	}
	for _, v := range order {
		for !v.spare && v.have < v.want {
			in := takeInstance(&off, &idle, pools)
			if in == nil {
				break
			}
			e.fleet.noSurplusAt[v.name] = e.now
			pools[in.Pool].have--
			v.have++
			e.moveInstance(in, v.name, v)
		}
		if !v.spare && v.have <= v.want {
			e.fleet.noSurplusAt[v.name] = e.now
		}
	}
	for _, in := range idle {
		v := pools[in.Pool]
		noSurplusAt, ok := e.fleet.noSurplusAt[in.Pool]
		if in.operation == nil && v.have > v.want && e.now-in.idleSince >= idleTimeout &&
			(!ok || e.now-noSurplusAt >= shrinkDelay) {
			v.have--
			e.moveInstance(in, spare, v)
		}
	}
}

// measureDemand adds up the demand of the tasks that run or could run now.
func (e *Engine) measureDemand(pools map[string]*poolView) {
	for _, j := range e.state.ActiveJobs() {
		v := pools[e.state.Queue(j.Queue).GetPool()]
		if v == nil {
			continue
		}
		for _, o := range j.Occurrences() {
			for _, st := range o.Steps {
				if st.Done() || !st.Ready() {
					continue
				}
				n := 0
				for i := range st.Tasks {
					if !st.Tasks[i].Done {
						n++
					}
				}
				v.demand = v.demand.Plus(ledger.RequiredCapacity(st.Step).Times(n))
				if st.Step.Lasting {
					per := schedule.PreferredPerWorker(st.Step)
					v.minInstances = max(v.minInstances, (n+per-1)/per)
					v.hasUnplaced = v.hasUnplaced || st.Waiting() > 0
				}
			}
		}
	}
}

func (v *poolView) computeWant() {
	if v.spare {
		return
	}
	needed := 0.0
	for _, r := range [][2]int64{
		{v.demand.CPU, v.instanceCapacity.CPU}, {v.demand.Memory, v.instanceCapacity.Memory},
		{v.demand.Accelerators, v.instanceCapacity.Accelerators},
	} {
		if r[1] > 0 {
			needed = math.Max(needed, float64(r[0])/float64(r[1]))
		}
	}
	v.want = max(int(math.Ceil(needed*headroom)), v.minInstances, minPoolInstances)
	if v.hasUnplaced {
		// The free capacity of the pool may be fragmented.
		v.want = max(v.want, v.have+1)
	}
}

// effectivePool returns the pool that an instance serves or is moving to.
func (in *instance) effectivePool() string {
	if in.operation != nil && in.operation.pool != "" {
		return in.operation.pool
	}
	return in.Pool
}

// isReturning reports whether a move or maintenance of an instance was accepted and has not ended yet.
func (e *Engine) isReturning(in *instance) bool {
	return in.operation != nil && in.operation.awayUntil > 0
}

func (e *Engine) updateIdleSince(in *instance) {
	s := e.sessionOf(in)
	switch {
	case s == nil || len(s.runs) > 0 || len(s.worker.Runs()) > 0:
		in.idleSince = 0
	case in.idleSince == 0:
		in.idleSince = e.now
	}
}

// takeInstance removes and returns an idle instance of a pool with a surplus, or else one that is off.
func takeInstance(off, idle *[]*instance, pools map[string]*poolView) *instance {
	for i, in := range *idle {
		if v := pools[in.Pool]; v.have > v.want {
			*idle = append((*idle)[:i:i], (*idle)[i+1:]...)
			return in
		}
	}
	if len(*off) == 0 {
		return nil
	}
	in := (*off)[0]
	*off = (*off)[1:]
	return in
}

func (e *Engine) moveInstance(in *instance, pool string, v *poolView) {
	in.operation = &operation{pool: pool, createdAt: e.now}
	if s := e.sessionOf(in); s != nil {
		s.reservedForOperation = true
	}
	e.cfg.Log.Info("moving instance to another pool", "instance", in.Name, "from", in.Pool, "to", pool,
		"have", v.have, "want", v.want, "demand-cpu", v.demand.CPU, "demand-memory", v.demand.Memory)
}

// arrivalRates holds the newest jobs of each pool.
type arrivalRates map[string][]arrival

type arrival struct {
	at              time.Duration
	cpuMilliSeconds int64
}

// addJob records an accepted job.
func (r arrivalRates) addJob(pool string, j *ledger.Job, now time.Duration) {
	a := arrival{at: now}
	for _, s := range j.Steps {
		if s.Lasting || j.MaxRuns > 0 {
			return
		}
		a.cpuMilliSeconds += int64(s.Count) * s.Need.GetCpu() * s.EstimateMs / 1000
	}
	r[pool] = append(r[pool], a)
	if extra := len(r[pool]) - rateWindowJobs; extra > 0 {
		r[pool] = r[pool][extra:]
	}
}

// cpuRate returns the work that arrives per second, in thousandths of a core; 0 outside a busy period.
func (r arrivalRates) cpuRate(pool string, now time.Duration) int64 {
	list := r[pool]
	if len(list) < rateWindowJobs {
		return 0
	}
	first, last := list[0].at, list[rateWindowJobs-1].at
	gap := max((last-first)/(rateWindowJobs-1), minRateGap)
	if now-last > maxSilentGaps*gap {
		return 0
	}
	work := int64(0)
	for _, a := range list[1:] {
		work += a.cpuMilliSeconds
	}
	return int64(float64(work) / max(last-first, minRateGap).Seconds())
}
