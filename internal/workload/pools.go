package workload

import (
	"cmp"
	"math"
	"slices"
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
	// adviserTrialInterval is the time between instances that a pool gets for long-running steps that the adviser has denied
	// each worker. Whether it allows one is known only once its worker is in the pool.
	adviserTrialInterval = 10 * time.Second
	// minPoolInstances is the minimum number of instances of each pool except the spare pool.
	minPoolInstances = 1
)

// poolView is the state of a pool that decisions on its size are based on.
type poolView struct {
	name             string
	spare            bool
	demand           ledger.Resources
	minInstances     int // instances that the long-running tasks need
	have             int // instances that serve the pool or are moving to it
	growing          int // instances that are moving to the pool
	instanceCapacity ledger.Resources
	// shortfall is what the workers of the pool have less than their instances.
	shortfall ledger.Resources
	want      int
	// unplaced holds the long-running steps with tasks that wait for a worker, or for another one before maintenance.
	unplaced []*ledger.StepRun
	// unplacedTasks is the number of these tasks, where all of those that the adviser has denied each worker count as one.
	// deniedTasks reports whether there are such tasks.
	unplacedTasks int
	deniedTasks   bool
	// growsForUnplaced is set once tasks were unplaced for unplacedGrowDelay.
	growsForUnplaced bool
}

func (e *Engine) addUnplaced(v *poolView, st *ledger.StepRun, tasks int) {
	v.unplaced = append(v.unplaced, st)
	if tasks == 0 || !e.advice.deniesAll(st) {
		v.unplacedTasks += tasks
		return
	}
	triedAt, tried := e.fleet.triedAt[v.name]
	if !v.deniedTasks && (!tried || e.now-triedAt >= adviserTrialInterval) {
		v.deniedTasks = true
		v.unplacedTasks++
	}
}

// suitsUnplaced reports whether an unplaced task could run on an instance with nothing else on it.
func (e *Engine) suitsUnplaced(v *poolView, in *instance) bool {
	s := e.sessionOf(in)
	return slices.ContainsFunc(v.unplaced, func(st *ledger.StepRun) bool {
		return ledger.RequiredCapacity(st.Step).Within(ledger.ResourcesOf(in.Capacity)) &&
			(st.Step.Label == "" || slices.Contains(in.Labels, st.Step.Label)) &&
			(s == nil || s.worker.Pool() != v.name || !e.advice.denies(st, s.worker.Number()))
	})
}

// hasSurplus reports whether the pool has more instances than it needs, and none of its tasks waits for this one.
func (e *Engine) hasSurplus(v *poolView, in *instance) bool {
	return v.have > v.want && !e.suitsUnplaced(v, in)
}

// balancePools moves idle instances to the pools that need them, and turns off those that no pool needs.
func (e *Engine) balancePools() {
	d := e.state.Document()
	if d == nil {
		return
	}
	pools := map[string]*poolView{}
	var order []*poolView
	spare := e.sparePool()
	for _, p := range d.Pools {
		v := &poolView{name: p.Name, spare: p.Spare}
		pools[p.Name] = v
		order = append(order, v)
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
	e.addEvacuatedSteps(pools)
	var off, idle, evacuated []*instance
	for _, in := range e.fleet.sortedInstances() {
		e.updateIdleSince(in)
		v := pools[in.effectivePool()]
		if v == nil {
			continue
		}
		if in.operation == nil && !in.Up && !e.isReturning(in) {
			continue
		}
		s := e.sessionOf(in)
		isEvacuated := e.isInstanceEvacuated(in, s)
		if op := in.operation; op != nil && op.pool != "" {
			if !isEvacuated {
				v.growing++
			}
		} else if op != nil && op.lacksRoom && !op.requested && s != nil {
			for st := range s.longRunningCounts() {
				e.addUnplaced(v, st, 1)
			}
		}
		if s != nil && (s.worker.IsDraining() || s.failures > 0) {
			continue
		}
		if isEvacuated {
			v.instanceCapacity = cmp.Or(v.instanceCapacity, ledger.ResourcesOf(in.Capacity))
			if !v.spare && s != nil && in.idleSince > 0 && s.clockKnown && e.mayOperate(in) && e.now >= in.lateMovesUntil {
				evacuated = append(evacuated, in)
			}
			continue
		}
		v.have++
		v.instanceCapacity = ledger.ResourcesOf(in.Capacity)
		if s != nil {
			v.shortfall = v.shortfall.Plus(v.instanceCapacity.Minus(s.worker.Capacity()).AtLeastZero())
		}
		switch {
		case !e.mayOperate(in) || e.now < in.lateMovesUntil:
		case v.spare:
			off = append(off, in)
		case s != nil && in.idleSince > 0 && s.clockKnown:
			idle = append(idle, in)
		}
	}
	// An instance whose move was rejected must not be tried again before the others.
	slices.SortStableFunc(off, func(a, b *instance) int { return cmp.Compare(a.movedAt, b.movedAt) })
	for _, v := range order {
		if len(v.unplaced) == 0 {
			delete(e.fleet.unplacedSince, v.name)
		} else if since, ok := e.fleet.unplacedSince[v.name]; ok {
			v.growsForUnplaced = e.now-since >= unplacedGrowDelay
		} else {
			e.fleet.unplacedSince[v.name] = e.now
		}
		v.computeWant()
	}
	for _, v := range order {
		for !v.spare {
			in := e.takeInstance(v, &off, &idle, pools)
			if in == nil {
				break
			}
			e.fleet.noSurplusAt[v.name] = e.now
			if v.deniedTasks && v.have >= v.want {
				e.fleet.triedAt[v.name] = e.now
			}
			pools[in.Pool].have--
			v.have++
			v.growing++
			e.moveInstance(in, v.name, v)
		}
		if !v.spare && v.have <= v.want {
			e.fleet.noSurplusAt[v.name] = e.now
		}
	}
	e.turnOffEvacuated(evacuated, pools, spare)
	for _, in := range idle {
		v := pools[in.Pool]
		noSurplusAt, ok := e.fleet.noSurplusAt[in.Pool]
		if in.operation == nil && e.hasSurplus(v, in) && e.now-in.idleSince >= idleTimeout &&
			(!ok || e.now-noSurplusAt >= shrinkDelay) {
			v.have--
			e.moveInstance(in, spare, v)
		}
	}
}

// sparePool returns the name of the spare pool, empty if there is none.
func (e *Engine) sparePool() string {
	for _, p := range e.state.Document().GetPools() {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// measureDemand adds up the demand of the tasks that run or could run now. Tasks that wait for an instance of an evacuated
// zone don't count, because no other instance serves them.
func (e *Engine) measureDemand(pools map[string]*poolView) {
	evacuated := e.labelsInEvacuatedZones()
	for _, j := range e.state.ActiveJobs() {
		v := pools[e.state.QueueOf(j).GetPool()]
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
				waitsForZone := evacuated[st.Step.Label]
				if waitsForZone {
					n -= st.Waiting()
				}
				v.demand = v.demand.Plus(ledger.RequiredCapacity(st.Step).Times(n))
				if st.Step.Lasting {
					per := schedule.PreferredPerWorker(st.Step)
					v.minInstances = max(v.minInstances, (n+per-1)/per)
					if st.Waiting() > 0 && !waitsForZone && e.isWithinQuota(st) {
						tasks := st.Waiting()
						if e.rejections.wasRejected(st, e.now) {
							tasks = 0
						}
						e.addUnplaced(v, st, tasks)
					}
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
	for _, r := range [][3]int64{
		{v.demand.CPU, v.instanceCapacity.CPU, v.shortfall.CPU},
		{v.demand.Memory, v.instanceCapacity.Memory, v.shortfall.Memory},
		{v.demand.Accelerators, v.instanceCapacity.Accelerators, v.shortfall.Accelerators},
	} {
		if r[0] > 0 && r[1] > 0 {
			needed = math.Max(needed, float64(r[0])/float64(r[1])*headroom+float64(r[2])/float64(r[1]))
		}
	}
	v.want = max(int(math.Ceil(needed)), v.minInstances, minPoolInstances)
}

// isWithinQuota reports whether the quota of its client account allows one more task of a step.
func (e *Engine) isWithinQuota(st *ledger.StepRun) bool {
	account := st.Occurrence.Job.Account
	quota := ledger.ResourcesOf(e.state.Account(account).GetAllowance())
	return e.state.Usage(account).Plus(ledger.ResourcesOf(st.Step.Need)).WithinQuota(quota)
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

// takeInstance removes and returns an instance for a pool, an idle one of a pool with a surplus, or else one that is
// off. It returns nil if the pool needs no further instance or if there is none. The free capacity of a pool may be
// fragmented, so the pool also grows by one instance for each unplaced task, if the instance can run it.
func (e *Engine) takeInstance(v *poolView, off, idle *[]*instance, pools map[string]*poolView) *instance {
	if v.have >= v.want && (!v.growsForUnplaced || v.growing >= v.unplacedTasks) {
		return nil
	}
	take := func(list *[]*instance, mayTake func(in *instance) bool) *instance {
		i := slices.IndexFunc(*list, func(in *instance) bool {
			return (v.have < v.want || e.suitsUnplaced(v, in)) && mayTake(in) && e.lateStartsUntil(in, v.name) == 0
		})
		if i < 0 {
			return nil
		}
		in := (*list)[i]
		*list = slices.Delete(slices.Clone(*list), i, i+1)
		return in
	}
	if in := take(idle, func(in *instance) bool { return in.Pool != v.name && e.hasSurplus(pools[in.Pool], in) }); in != nil {
		return in
	}
	return take(off, func(*instance) bool { return true })
}

func (e *Engine) moveInstance(in *instance, pool string, v *poolView) {
	in.operation, in.movedAt = e.newOperation(pool, 0), e.now
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
