package workload

import (
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// isEvacuated reports whether the availability zone of a worker is evacuated.
func (e *Engine) isEvacuated(s *session) bool { return e.state.IsEvacuated(s.worker.Zone()) }

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
