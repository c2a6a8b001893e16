package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/forecast"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
)

// startHold is how long a new leader keeps the instances of a pool of which it has seen no job. It covers the time for which
// instances are moved ahead of a predicted busy period, so that a change of leader doesn't turn these off.
const startHold = 3 * time.Second

// measureDemand adds up the demand of the tasks that run or could run now, and of those that will be ready when an instance
// that moves now arrives. Tasks that wait for an instance of an evacuated zone don't count, because no other instance serves
// them.
func (e *Engine) measureDemand(pools map[string]*poolView) {
	evacuated := e.labelsInEvacuatedZones()
	for _, j := range e.state.ActiveJobs() {
		v := pools[e.state.QueueOf(j).GetPool()]
		if v == nil {
			continue
		}
		for _, o := range j.Occurrences() {
			ready, hasNext := ledger.Resources{}, false
			for _, st := range o.Steps {
				if st.Done() {
					continue
				}
				if !st.Ready() {
					hasNext = true
					continue
				}
				n := countUndone(st)
				waitsForZone := evacuated[st.Step.Label]
				if waitsForZone {
					n -= st.Waiting()
				}
				need := ledger.RequiredCapacity(st.Step).Times(n)
				if !st.Step.Lasting {
					ready = ready.Plus(need)
					continue
				}
				v.lasting = v.lasting.Plus(need)
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
			v.ready = v.ready.Plus(ready)
			if hasNext && len(o.Steps) <= forecast.MaxSteps {
				ready = ready.Max(forecast.Peak(e.stepsOf(o), e.cfg.MoveDuration))
			}
			v.accepted = v.accepted.Plus(ready)
		}
	}
	for _, v := range pools {
		v.demand = v.lasting.Plus(v.accepted)
	}
}

// stepsOf describes the steps of an occurrence for a forecast.
func (e *Engine) stepsOf(o *ledger.Occurrence) []forecast.Step {
	list := make([]forecast.Step, len(o.Steps))
	for i, st := range o.Steps {
		list[i] = forecast.Step{After: st.Step.After, Lasting: st.Step.Lasting}
		if !st.Done() {
			list[i].Need = ledger.RequiredCapacity(st.Step).Times(countUndone(st))
			list[i].Remaining = e.remainingTime(st)
		}
	}
	return list
}

// remainingTime returns how long the tasks of a step will run once all of them have started, by the estimate of their run
// time.
func (e *Engine) remainingTime(st *ledger.StepRun) time.Duration {
	estimate := millis(st.Step.EstimateMs)
	if estimate <= e.cfg.MoveDuration || st.Waiting() > 0 {
		return estimate
	}
	remaining := time.Duration(0)
	for i := range st.Tasks {
		t := &st.Tasks[i]
		for _, a := range t.ActiveRuns {
			elapsed := time.Duration(0)
			if s := e.sessions[a.Worker.Number()]; s != nil {
				if r := s.runs[t.Key(a.Run)]; r != nil && r.startedAt > 0 {
					elapsed = e.now - r.startedAt
				}
			}
			remaining = max(remaining, estimate-elapsed)
		}
	}
	return remaining
}

func countUndone(st *ledger.StepRun) int {
	n := 0
	for i := range st.Tasks {
		if !st.Tasks[i].Done {
			n++
		}
	}
	return n
}

// expectDemand sets what a pool needs for its jobs, and what it wants and keeps by the forecasts.
func (e *Engine) expectDemand(v *poolView) {
	expected, reason := e.forecasts.Expected(v.name, e.now)
	expected = v.lasting.Plus(expected)
	accepted := v.instancesFor(v.demand)
	v.demand = v.demand.Max(v.lasting.Plus(e.forecasts.Arriving(v.name, e.now)))
	v.needed = v.instancesFor(v.demand)
	v.want = max(v.needed, v.instancesFor(expected))
	v.keep = max(v.want, v.instancesFor(v.lasting.Plus(e.forecasts.KeptFor(v.name, e.now))))
	e.logForecast(v, reason, accepted)
}

// logForecast writes a line if a busy period, begun or predicted, begins to change what a pool wants.
func (e *Engine) logForecast(v *poolView, reason forecast.Reason, accepted int) {
	if reason != forecast.BusyPeriod && reason != forecast.Rhythm {
		delete(e.fleet.loggedReason, v.name)
		return
	}
	if v.want <= accepted || e.fleet.loggedReason[v.name] == reason {
		return
	}
	e.fleet.loggedReason[v.name] = reason
	log := e.cfg.Log
	if fc := e.forecasts.Upcoming(v.name); fc != nil {
		log = log.WithValues("follows", fc.After, "begins-in", (fc.Begin - e.now).String(), "seen", fc.Seen)
	}
	log.Info("forecast changes the size of a pool", "pool", v.name, "reason", string(reason), "have", v.have,
		"accepted-jobs-need", accepted, "want", v.want)
}

// countForecasts counts and logs the forecasts that pools had instances for and that have ended.
func (e *Engine) countForecasts(list []forecast.Forecast) {
	for _, fc := range list {
		if !fc.Acted {
			continue
		}
		outcome := "used"
		if !fc.Right {
			outcome = "not-used"
		}
		e.cfg.IncrementCounter("hibiscusroute_forecasts_total", "outcome", outcome)
		e.cfg.Log.Info("forecast ended", "pool", fc.Pool, "follows", fc.After, "outcome", outcome,
			"predicted-since", (e.now - fc.Begin).String())
	}
}

// shrinkPools turns off idle instances that no pool needs or will need soon.
func (e *Engine) shrinkPools(idle []*instance, pools map[string]*poolView, order []*poolView, spare string) {
	taken := 0
	for _, v := range order {
		if !v.spare {
			taken += max(v.instancesFor(v.lasting.Plus(e.forecasts.TakenFor(v.name, e.now)))-max(v.have, v.want), 0)
		}
	}
	for _, in := range idle {
		v := pools[in.Pool]
		noSurplusAt, ok := e.fleet.noSurplusAt[in.Pool]
		switch {
		case in.operation != nil || !e.hasSurplus(v, in) || e.now-in.idleSince < idleTimeout:
		case ok && e.now-noSurplusAt < shrinkDelay:
		case v.have <= v.keep || e.now-e.leadingSince < startHold && !e.forecasts.HasSeen(v.name):
		case taken > 0:
			taken--
		default:
			v.have--
			e.moveInstance(in, spare, v)
		}
	}
}

// observeArrival records the work of an accepted job, and how long it may wait, for forecasts.
func (e *Engine) observeArrival(j *ledger.Job) {
	q := e.state.QueueOf(j)
	work := ledger.Resources{}
	ends, chain := make([]int64, len(j.Steps)), int64(0)
	for i, st := range j.Steps {
		if st.Lasting || j.MaxRuns > 0 {
			return
		}
		work = work.Plus(ledger.RequiredCapacity(st).Times(int(st.Count) * int(st.EstimateMs)))
		for _, n := range st.After {
			ends[i] = max(ends[i], ends[n])
		}
		ends[i] += st.EstimateMs
		chain = max(chain, ends[i])
	}
	e.forecasts.ObserveArrival(q.GetPool(), e.now, work)
	e.forecasts.ObserveSlack(q.GetPool(), millis(q.GetSloMs()+int64((q.GetStretch()-1)*float64(chain))))
}
