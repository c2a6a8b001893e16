package ledger

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// endedWorkerRetention is how long the number of incarnations with an ID is kept after the last one has ended. A request for
// that one is carried out at most seconds late.
const endedWorkerRetention = 10 * time.Minute

// Worker is one incarnation of a worker.
type Worker struct {
	info     *workloadpb.Worker
	capacity Resources
	used     Resources
	runs     map[RunKey]*Task
	ended    bool
}

// Number returns the number that identifies the incarnation.
func (w *Worker) Number() uint64 { return w.info.Number }

// ID returns the name that the worker gives itself; a later incarnation may have the same ID.
func (w *Worker) ID() string { return w.info.Id }

// StartedMs returns the start of the incarnation in Unix milliseconds.
func (w *Worker) StartedMs() int64 { return w.info.BornMs }

// Address returns the address at which the worker receives orders.
func (w *Worker) Address() string { return w.info.Address }

// Pool returns the name of the pool that the worker belongs to.
func (w *Worker) Pool() string { return w.info.Pool }

// Zone returns the availability zone of the worker.
func (w *Worker) Zone() string { return w.info.Zone }

// Capacity returns the total capacity of the worker.
func (w *Worker) Capacity() Resources { return w.capacity }

// Used returns the capacity that the assigned runs reserve.
func (w *Worker) Used() Resources { return w.used }

// Free returns the capacity that is left for further runs.
func (w *Worker) Free() Resources { return w.capacity.Minus(w.used) }

// IsOvercommitted reports whether the assigned runs reserve more than the capacity, which may shrink.
func (w *Worker) IsOvercommitted() bool {
	f := w.Free()
	return f.CPU < 0 || f.Memory < 0 || f.Accelerators < 0
}

// IsDraining reports whether the worker has announced that it leaves.
func (w *Worker) IsDraining() bool { return w.info.Draining }

// HasLeft reports whether the worker has deregistered while runs were assigned to it. They may go on until it has the answer.
func (w *Worker) HasLeft() bool { return w.info.Left }

// LastRecordedEnd returns the number of the last recorded end in the list of ends that the worker keeps.
func (w *Worker) LastRecordedEnd() int64 { return w.info.Noted }

// LeasesEndMs returns when all leases of the worker have expired on the ledger's clock, if its leases are suspended. It
// is 0 while leaders may grant leases.
func (w *Worker) LeasesEndMs() int64 { return w.info.LeasesEndMs }

// Predecessors returns the number of earlier incarnations with the ID. Those that ended long ago may be left out.
func (w *Worker) Predecessors() uint64 { return w.info.Predecessors }

// AssignedSinceMs returns when a run was first assigned to the worker on the ledger's clock, 0 if none was.
func (w *Worker) AssignedSinceMs() int64 { return w.info.AssignedSinceMs }

// RecordedSequence returns the sequence of the last heartbeat that was recorded, 0 if it is not known.
func (w *Worker) RecordedSequence() uint64 { return w.info.Sequence }

// HasEnded reports whether the incarnation has ended.
func (w *Worker) HasEnded() bool { return w.ended }

// HasLabel reports whether the worker has the given label.
func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.info.Labels, label) }

// Labels returns the labels of the worker: its kind and, last, its rack.
func (w *Worker) Labels() []string { return w.info.Labels }

// Rack returns the rack of the worker, empty if it has no labels.
func (w *Worker) Rack() string {
	if n := len(w.info.Labels); n > 0 {
		return w.info.Labels[n-1]
	}
	return ""
}

// Runs returns the tasks of the assigned runs. The map must not be modified.
func (w *Worker) Runs() map[RunKey]*Task { return w.runs }

// Workers returns the incarnations that have not ended, ordered by number.
func (s *State) Workers() []*Worker { return s.workerList }

// WorkerChanges returns a counter of the incarnations that began or ended. It is not replicated.
func (s *State) WorkerChanges() uint64 { return s.workerChanges }

// Worker returns an incarnation by its number, nil if it is unknown or has ended.
func (s *State) Worker(number uint64) *Worker { return s.workers[number] }

// WorkerByID returns the latest incarnation with an ID, nil if there is none.
func (s *State) WorkerByID(id string) *Worker {
	return s.workersByID[id]
}

// IsRecorded reports whether a heartbeat with r would leave the state unchanged: r is recorded already or comes from an
// earlier incarnation than the current one.
func (s *State) IsRecorded(r *workloadpb.Worker) bool {
	w := s.WorkerByID(r.Id)
	if w == nil || r.BornMs < w.info.BornMs {
		return w != nil
	}
	return r.BornMs == w.info.BornMs && sameInfo(w.info, r)
}

// sameInfo reports whether a heartbeat with b would change nothing in a. Draining can't be undone.
func sameInfo(a, b *workloadpb.Worker) bool {
	return sameIdentity(a, b) && proto.Equal(a.Capacity, b.Capacity) && (a.Draining || !b.Draining)
}

// sameIdentity reports whether a and b agree in what an incarnation keeps, unlike its capacity.
func sameIdentity(a, b *workloadpb.Worker) bool {
	return a.Address == b.Address && a.Pool == b.Pool && a.Zone == b.Zone && slices.Equal(a.Labels, b.Labels)
}

// HasIdentity reports whether m has the address, the pool, the zone and the labels of the worker.
func (w *Worker) HasIdentity(m *workloadpb.Worker) bool { return sameIdentity(w.info, m) }

func (s *State) applyReport(r *workloadpb.Report, at int64) {
	m := r.GetWorker()
	if m.GetId() == "" || s.IsRecorded(m) {
		return
	}
	if m.Draining {
		s.markLossesAnnounced(m.Id, m.BornMs)
	}
	if w := s.WorkerByID(m.Id); w != nil {
		if w.info.BornMs == m.BornMs {
			m = proto.CloneOf(m)
			m.Number, m.Noted, m.Draining = w.info.Number, w.info.Noted, m.Draining || w.info.Draining
			m.LeasesEndMs, m.Sequence = w.info.LeasesEndMs, r.Sequence
			m.Predecessors, m.AssignedSinceMs = w.info.Predecessors, w.info.AssignedSinceMs
			m.LateStartsEndMs, m.UnansweredStartMs = w.info.LateStartsEndMs, w.info.UnansweredStartMs
			m.Left = w.info.Left
			w.info, w.capacity = m, ResourcesOf(m.Capacity)
			s.markChanged()
			return
		}
		s.removeWorker(w, true)
	}
	for _, w := range slices.Clone(s.workerList) {
		// Only one process listens on an address, so an earlier incarnation with the same address has ended.
		if w.info.Address == m.Address && w.info.BornMs <= m.BornMs {
			s.removeWorker(w, true)
		}
	}
	s.recordCrashes(m, at)
	s.nextWorker++
	m = proto.CloneOf(m)
	m.Number, m.Noted, m.LeasesEndMs, m.Sequence = s.nextWorker, 0, 0, r.Sequence
	m.Predecessors, m.AssignedSinceMs = s.endedWorkers[m.Id].GetIncarnations(), 0
	m.LateStartsEndMs, m.UnansweredStartMs = s.endedWorkers[m.Id].GetLateStartsEndMs(), 0
	delete(s.endedWorkers, m.Id)
	s.addWorker(m)
	s.markChanged()
}

func (s *State) addWorker(m *workloadpb.Worker) {
	w := &Worker{info: m, capacity: ResourcesOf(m.Capacity), runs: map[RunKey]*Task{}}
	s.workers[m.Number], s.workersByID[m.Id] = w, w
	s.workerList = append(s.workerList, w)
	s.workerChanges++
}

func (s *State) applyLeave(m *workloadpb.Leave) {
	if w := s.WorkerByID(m.Id); w != nil && w.info.BornMs == m.BornMs {
		switch {
		case m.Announced && len(w.runs) > 0:
			w.info.Draining, w.info.Left = true, true
			s.markChanged()
		case m.Lost:
			s.removeWorker(w, true)
		default:
			s.setLateStarts(w)
			s.removeWorker(w, false)
		}
	}
	if !m.Lost {
		s.forgetLosses(m.Id, m.BornMs)
	}
}

func (s *State) applyLeaseSuspension(m *workloadpb.LeaseSuspension) {
	w := s.workers[m.Worker]
	switch {
	case w == nil:
	case m.Resumed:
		w.info.LeasesEndMs = 0
		s.forgetLosses(w.ID(), w.StartedMs())
	default:
		w.info.LeasesEndMs = max(s.clockMs+m.RemainingMs, 1)
	}
}

// removeWorker ends an incarnation and all its runs, which can't run without it. They are recorded as lost if it ended
// without notice.
func (s *State) removeWorker(w *Worker, lost bool) {
	if len(w.runs) > 0 {
		// The answer to one of their starts may not be due yet.
		s.recordLateStarts(w.ID(), lateStartsAfterEnd.Milliseconds())
	}
	for _, k := range sortedRunKeys(w.runs) {
		if lost {
			s.recordLoss(w, k)
		}
		s.endRun(w, k, workloadpb.How_HOW_VOID, "")
	}
	w.ended = true
	s.rememberEndedWorker(w)
	s.workerChanges++
	delete(s.workers, w.info.Number)
	delete(s.workersByID, w.info.Id)
	s.workerList = slices.DeleteFunc(s.workerList, func(o *Worker) bool { return o == w })
	s.markChanged()
}

// rememberEndedWorker keeps the number of incarnations with the ID of a worker that has ended, and forgets those that ended
// long ago.
func (s *State) rememberEndedWorker(w *Worker) {
	maps.DeleteFunc(s.endedWorkers, func(_ string, e *workloadpb.EndedWorker) bool {
		return e.EndedMs+endedWorkerRetention.Milliseconds() < s.clockMs
	})
	s.endedWorkers[w.ID()] = &workloadpb.EndedWorker{
		Id: w.ID(), Incarnations: w.Predecessors() + 1, EndedMs: s.clockMs, LateStartsEndMs: w.info.LateStartsEndMs,
	}
}
