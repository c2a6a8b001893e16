package workload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
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
	name   string
	spare  bool
	demand ledger.Resources
	// lasting is the part of demand that long-running tasks need, ready what other tasks need that run or could run now, and
	// accepted the latter with the next steps of their jobs.
	lasting, ready, accepted ledger.Resources
	minInstances             int // instances that the long-running tasks need
	have                     int // instances that serve the pool or are moving to it
	growing                  int // instances that are moving to the pool
	instanceCapacity         ledger.Resources
	// shortfall is what the workers of the pool have less than their instances.
	shortfall ledger.Resources
	// needed is how many instances its accepted and arriving jobs need, and want that with what busy periods, begun or
	// predicted, let expect.
	needed, want int
	// keep is how many instances it keeps rather than turning them off.
	keep int
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
	for _, v := range order {
		e.forecasts.ObserveReady(v.name, v.ready)
	}
	e.countForecasts(e.forecasts.Advance(e.now))
	e.addEvacuatedSteps(pools)
	var off, idle, evacuated []*instance
	for _, in := range e.fleet.sortedInstances() {
		e.updateIdleSince(in)
		v := pools[e.poolOf(in)]
		if v == nil {
			continue
		}
		if in.operation == nil && !in.Up && !e.hasJustReturned(in) {
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
		if !v.spare {
			e.expectDemand(v)
		}
	}
	e.countMovable(order)
	e.poolViews = order
	grow := func(v *poolView, target int) {
		for in := e.takeInstance(v, target, &off, &idle, pools); in != nil; in = e.takeInstance(v, target, &off, &idle, pools) {
			e.fleet.noSurplusAt[v.name] = e.now
			if v.deniedTasks && v.have >= target {
				e.fleet.triedAt[v.name] = e.now
			}
			if v.have >= v.needed && v.have < v.want {
				e.cfg.IncrementCounter("hibiscusroute_instances_moved_ahead_total", "pool", v.name)
			}
			pools[in.Pool].have--
			v.have++
			v.growing++
			e.moveInstance(in, v.name, v)
		}
	}
	// What jobs need comes before what is only expected.
	for _, v := range order {
		if !v.spare {
			grow(v, v.needed)
		}
	}
	for _, v := range order {
		if !v.spare {
			grow(v, v.want)
			if v.have <= v.want {
				e.fleet.noSurplusAt[v.name] = e.now
			}
		}
	}
	e.turnOffEvacuated(evacuated, pools, spare)
	e.shrinkPools(idle, pools, order, spare)
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

// instancesFor returns the number of instances that the pool needs for a demand.
func (v *poolView) instancesFor(demand ledger.Resources) int {
	needed := 0.0
	for _, r := range [][3]int64{
		{demand.CPU, v.instanceCapacity.CPU, v.shortfall.CPU},
		{demand.Memory, v.instanceCapacity.Memory, v.shortfall.Memory},
		{demand.Accelerators, v.instanceCapacity.Accelerators, v.shortfall.Accelerators},
	} {
		if r[0] > 0 && r[1] > 0 {
			needed = math.Max(needed, float64(r[0])/float64(r[1])*headroom+float64(r[2])/float64(r[1]))
		}
	}
	return max(int(math.Ceil(needed)), v.minInstances, minPoolInstances)
}

// isWithinQuota reports whether the quota of its client account allows one more task of a step.
func (e *Engine) isWithinQuota(st *ledger.StepRun) bool {
	account := st.Occurrence.Job.Account
	quota := ledger.ResourcesOf(e.state.Account(account).GetAllowance())
	return e.state.Usage(account).Plus(ledger.ResourcesOf(st.Step.Need)).WithinQuota(quota)
}

// poolOf returns the pool that an instance serves or is moving to.
func (e *Engine) poolOf(in *instance) string {
	switch {
	case in.operation != nil && in.operation.pool != "":
		return in.operation.pool
	case e.hasJustReturned(in):
		return in.returnedTo
	}
	return in.Pool
}

// hasJustReturned reports whether an operation on an instance has ended since the instances were listed. The list may show it
// as down, so that its pool would get another one in its place.
func (e *Engine) hasJustReturned(in *instance) bool {
	return in.operation == nil && in.returnedTo != "" && e.fleet.listSentAt < in.changedAt
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
// off, or else one that another pool only expects to need. It returns nil if the pool has the target or if there is none.
// The free capacity of a pool may be fragmented, so the pool also grows by one instance for each unplaced task, if the
// instance can run it.
func (e *Engine) takeInstance(v *poolView, target int, off, idle *[]*instance, pools map[string]*poolView) *instance {
	if v.have >= target && (!v.growsForUnplaced || v.growing >= v.unplacedTasks) {
		return nil
	}
	take := func(list *[]*instance, mayTake func(in *instance) bool) *instance {
		i := slices.IndexFunc(*list, func(in *instance) bool {
			return (v.have < target || e.suitsUnplaced(v, in)) && mayTake(in) && e.lateStartsUntil(in, v.name) == 0
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
	if in := take(off, func(*instance) bool { return true }); in != nil || v.have >= v.needed {
		return in
	}
	return take(idle, func(in *instance) bool {
		o := pools[in.Pool]
		return in.Pool != v.name && o.have > o.needed && !e.suitsUnplaced(o, in)
	})
}

func (e *Engine) moveInstance(in *instance, pool string, v *poolView) {
	in.operation, in.movedAt = e.newOperation(pool, 0), e.now
	e.cfg.Log.Info("moving instance to another pool", "instance", in.Name, "from", in.Pool, "to", pool,
		"have", v.have, "want", v.want, "demand-cpu", v.demand.CPU, "demand-memory", v.demand.Memory)
}
