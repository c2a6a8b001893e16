package workload

import (
	"maps"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// zoneEvacuation is what the leader knows about the evacuation of availability zones.
type zoneEvacuation struct {
	advancedAt time.Duration
	// lacksRoom holds the long-running steps, by pool, of which a task could leave its worker if another one had room.
	lacksRoom map[string]map[*ledger.StepRun]bool
}

// isEvacuated reports whether the availability zone of a worker is evacuated.
func (e *Engine) isEvacuated(s *session) bool { return e.state.IsEvacuated(s.worker.Zone()) }

// isInstanceEvacuated reports whether the availability zone of an instance is evacuated: the one that its worker reports, and
// that of the list of instances if it has no worker.
func (e *Engine) isInstanceEvacuated(in *instance, s *session) bool {
	if s != nil {
		return e.isEvacuated(s)
	}
	return e.state.IsEvacuated(in.Zone)
}

// handleZoneOrder makes the next decision release the runs in an evacuated zone that have not started.
func (e *Engine) handleZoneOrder(m *workloadpb.EvacuateZone) {
	order := "evacuate"
	if m.Restored {
		order = "restore"
	}
	runs, workers := 0, 0
	for _, s := range e.sessions {
		if s.worker.Zone() == m.Zone {
			runs += len(s.runs)
			workers++
			e.markDirty(s)
		}
	}
	e.cfg.IncrementCounter("hibiscusroute_zone_orders_total", "order", order)
	e.cfg.Log.Info("order for an availability zone", "zone", m.Zone, "order", order, "workers", workers, "runs", runs)
}

// evacuateZones stops long-running tasks in evacuated zones while their steps can miss them and other workers have room, so
// that they start elsewhere. As in maintenance, those of one worker of a pool are stopped at a time, because all unavailable
// tasks of a step count against its limit.
func (e *Engine) evacuateZones() {
	if e.now-e.evacuation.advancedAt < fleetInterval {
		return
	}
	e.evacuation = zoneEvacuation{advancedAt: e.now}
	if !e.state.HasEvacuatedZones() {
		return
	}
	busy := e.evacuatingPools()
	var list []*session
	for _, w := range e.state.Workers() {
		s := e.sessions[w.Number()]
		if !e.isEvacuated(s) || w.IsDraining() || s.failures > 0 {
			continue
		}
		list = append(list, s)
		for _, r := range s.runs {
			if r.task.Step().Step.Lasting && r.shouldStop {
				busy[w.Pool()] = true
			}
		}
	}
	e.evacuation.lacksRoom = map[string]map[*ledger.StepRun]bool{}
	for _, s := range list {
		if pool := s.worker.Pool(); !busy[pool] {
			busy[pool] = e.stopLongRunning(s)
		}
	}
}

// stopLongRunning stops the long-running tasks of a worker that may be unavailable and have room elsewhere. It reports
// whether there are any.
func (e *Engine) stopLongRunning(s *session) bool {
	stopped, pool := 0, s.worker.Pool()
	for _, r := range s.sortedRuns(func(r *run) bool { return r.task.Step().Step.Lasting && !r.givenUp }) {
		st := r.task.Step()
		switch {
		case !e.mayMiss(r.task):
		case !e.hasRoomElsewhere(st, s):
			if e.evacuation.lacksRoom[pool] == nil {
				e.evacuation.lacksRoom[pool] = map[*ledger.StepRun]bool{}
			}
			e.evacuation.lacksRoom[pool][st] = true
		default:
			r.shouldStop = true
			stopped++
		}
	}
	if stopped > 0 {
		e.markDirty(s)
		e.cfg.Log.Info("stopping long-running tasks in an evacuated zone", "worker", s.worker.ID(), "boot", s.worker.Number(),
			"zone", s.worker.Zone(), "pool", pool, "runs", stopped)
	}
	return stopped > 0
}

// addEvacuatedSteps makes pools grow by one instance for each long-running step that lacks room outside of evacuated zones, as
// its tasks leave one after the other.
func (e *Engine) addEvacuatedSteps(pools map[string]*poolView) {
	evacuated := e.labelsInEvacuatedZones()
	for pool, steps := range e.evacuation.lacksRoom {
		for st := range steps {
			if v := pools[pool]; v != nil && !evacuated[st.Step.Label] {
				e.addUnplaced(v, st, 1)
			}
		}
	}
}

// turnOffEvacuated turns off idle instances in evacuated zones, while their pools have what they need in other zones. The
// others stay, so that they are used at once when the zone returns to service.
func (e *Engine) turnOffEvacuated(idle []*instance, pools map[string]*poolView, spare string) {
	for _, in := range idle {
		if v := pools[in.Pool]; v.have >= v.want && e.now-in.idleSince >= idleTimeout {
			e.moveInstance(in, spare, v)
		}
	}
}

// labelsInEvacuatedZones returns the labels that only instances in evacuated zones have, such as those of their racks.
func (e *Engine) labelsInEvacuatedZones() map[string]bool {
	if !e.state.HasEvacuatedZones() {
		return nil
	}
	labels, elsewhere := map[string]bool{}, map[string]bool{}
	for _, in := range e.fleet.instances {
		m := elsewhere
		if e.isInstanceEvacuated(in, e.sessionOf(in)) {
			m = labels
		}
		for _, l := range in.Labels {
			m[l] = true
		}
	}
	maps.DeleteFunc(labels, func(l string, _ bool) bool { return elsewhere[l] })
	return labels
}
