package ledger

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	m := &workloadpb.State{
		Document: s.document, Waves: s.Waves(), NextJob: s.nextJob, NextWorker: s.nextWorker,
		ClockMs: s.clockMs, ClockTerm: s.clockTerm, ClockSteadyMs: s.clockSteadyMs,
		LeaseTerm: s.leaseTerm, LeaseMs: s.leaseMs, FullLeaseAgeMs: s.fullLeaseAgeMs, ResolvedAssigns: s.resolvedAssigns, ListedAssigns: s.listedAssigns,
	}
	m.EvacuatedZones = slices.Sorted(maps.Keys(s.evacuatedZones))
	for _, name := range slices.Sorted(maps.Keys(s.lastOrders)) {
		m.Ordered = append(m.Ordered, s.lastOrders[name])
	}
	for _, id := range slices.Sorted(maps.Keys(s.endedWorkers)) {
		m.EndedWorkers = append(m.EndedWorkers, s.endedWorkers[id])
	}
	for _, w := range s.workerList {
		m.Workers = append(m.Workers, w.info)
	}
	jobs := slices.SortedFunc(maps.Values(s.jobs), func(a, b *Job) int { return cmp.Compare(a.Number, b.Number) })
	for _, j := range jobs {
		m.Jobs = append(m.Jobs, encodeJob(j))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func encodeJob(j *Job) *workloadpb.JobState {
	m := &workloadpb.JobState{
		Number: j.Number, Id: j.ID, Queue: j.Queue, Account: j.Account, Spec: j.Spec, Steps: j.Steps, MaxRuns: j.MaxRuns,
		StartAtMs: j.StartAtMs, IntervalMs: j.IntervalMs, AcceptedMs: j.AcceptedMs, EndedMs: j.EndedMs,
		EndedClockMs: j.endedClockMs, State: string(j.state), NextOccurrence: j.nextOccurrence, Begun: j.HasStarted,
		Host: j.route.host, Prefix: j.route.prefix,
	}
	for _, o := range j.occurrences {
		om := &workloadpb.OccurrenceState{Number: o.Number}
		for _, st := range o.Steps {
			sm := &workloadpb.StepState{}
			for i := range st.Tasks {
				t := &st.Tasks[i]
				tm := &workloadpb.TaskState{
					Done: t.Done, Runs: t.LastRun, Failures: t.Failures, Checkpoint: t.Checkpoint, Losses: t.losses,
					LateStart: t.lateStart,
				}
				for _, a := range t.ActiveRuns {
					tm.Attempts = append(tm.Attempts, &workloadpb.ActiveRun{
						Run: a.Run, Worker: a.Worker.info.Number, AssignedMs: a.assignedMs, Isolated: a.Isolated,
						Harmless: a.harmless, AssignNumber: a.assignNumber, Started: a.started,
					})
				}
				sm.Subtasks = append(sm.Subtasks, tm)
			}
			om.Steps = append(om.Steps, sm)
		}
		m.Occurrences = append(m.Occurrences, om)
	}
	return m
}

// Restore replaces the state with a snapshot.
func (s *State) Restore(data []byte) error {
	m := &workloadpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return err
	}
	s.reset()
	if m.Document != nil {
		s.setDocument(m.Document)
	}
	s.nextJob, s.nextWorker = m.NextJob, m.NextWorker
	s.clockMs, s.clockTerm, s.clockSteadyMs = m.ClockMs, m.ClockTerm, m.ClockSteadyMs
	s.leaseTerm, s.leaseMs, s.fullLeaseAgeMs = m.LeaseTerm, m.LeaseMs, m.FullLeaseAgeMs
	s.resolvedAssigns, s.listedAssigns = m.ResolvedAssigns, m.ListedAssigns
	for _, zone := range m.EvacuatedZones {
		s.evacuatedZones[zone] = true
	}
	for _, o := range m.Ordered {
		s.lastOrders[o.Instance] = o
	}
	for _, w := range m.EndedWorkers {
		s.endedWorkers[w.Id] = w
	}
	for _, w := range m.Workers {
		s.addWorker(w)
	}
	for _, w := range m.Waves {
		s.waves[w.Number] = w
	}
	for _, jm := range m.Jobs {
		s.restoreJob(jm)
	}
	return nil
}

func (s *State) restoreJob(m *workloadpb.JobState) {
	j := &Job{
		Number: m.Number, ID: m.Id, Queue: m.Queue, Account: m.Account, Spec: m.Spec, Steps: m.Steps, MaxRuns: m.MaxRuns,
		StartAtMs: m.StartAtMs, IntervalMs: m.IntervalMs, AcceptedMs: m.AcceptedMs, EndedMs: m.EndedMs,
		HasStarted: m.Begun, endedClockMs: m.EndedClockMs, nextOccurrence: m.NextOccurrence,
		route: route{m.Host, m.Prefix}, size: sizeOf(m.Spec, m.Steps),
	}
	s.addJob(j)
	// assignRun changes the state of the job, so the state from the snapshot is set after the active runs are restored.
	for _, om := range m.Occurrences {
		o := j.beginOccurrence(om.Number)
		for i, sm := range om.Steps {
			for n, tm := range sm.Subtasks {
				t := &o.Steps[i].Tasks[n]
				t.LastRun, t.Failures, t.Checkpoint = tm.Runs, tm.Failures, tm.Checkpoint
				t.lateStart = tm.LateStart
				t.setLosses(tm.Losses)
				for _, a := range tm.Attempts {
					if w := s.workers[a.Worker]; w != nil {
						s.assignRun(t, ActiveRun{
							Run: a.Run, Worker: w, Isolated: a.Isolated, assignedMs: a.AssignedMs, harmless: a.Harmless,
							assignNumber: a.AssignNumber, started: a.Started,
						})
					}
				}
				if tm.Done {
					markDone(t)
					t.Checkpoint = tm.Checkpoint
				}
			}
		}
	}
	j.state, j.HasStarted = JobState(m.State), m.Begun
	if j.IsActive() {
		s.activeJobs = append(s.activeJobs, j)
	} else if j.endedClockMs == 0 {
		s.undatedEnds = append(s.undatedEnds, j)
	}
	s.resize(j)
}
