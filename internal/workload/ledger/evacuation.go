package ledger

import "github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"

// IsEvacuated reports whether an availability zone is evacuated, so that nothing may start there.
func (s *State) IsEvacuated(zone string) bool { return s.evacuatedZones[zone] }

// HasEvacuatedZones reports whether any availability zone is evacuated.
func (s *State) HasEvacuatedZones() bool { return len(s.evacuatedZones) > 0 }

// MayTakeRuns reports whether a worker may be assigned runs: it doesn't leave, and its availability zone is not evacuated.
func (s *State) MayTakeRuns(w *Worker) bool { return !w.IsDraining() && !s.IsEvacuated(w.Zone()) }

// applyEvacuateZone keeps the order that was committed last. Orders have no numbers, so a late repeat counts like a new one.
func (s *State) applyEvacuateZone(m *workloadpb.EvacuateZone) {
	switch {
	case m.Zone == "" || s.IsEvacuated(m.Zone) != m.Restored:
		return
	case m.Restored:
		delete(s.evacuatedZones, m.Zone)
	default:
		s.evacuatedZones[m.Zone] = true
	}
	s.markChanged()
}

// gangsInEvacuatedZones returns the gangs of which a command assigns tasks to workers in evacuated zones. No task of them is
// assigned, because those in other zones would wait for the others in vain.
func (s *State) gangsInEvacuatedZones(m *workloadpb.Assign) map[*StepRun]bool {
	if !s.HasEvacuatedZones() {
		return nil
	}
	gangs := map[*StepRun]bool{}
	for _, a := range m.Assignments {
		t, w := s.findTask(RunKeyOf(a.Subtask, a.Run)), s.workers[a.Worker]
		if t != nil && t.step.Step.Gang && w != nil && s.IsEvacuated(w.Zone()) {
			gangs[t.step] = true
		}
	}
	return gangs
}
