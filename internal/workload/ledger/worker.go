package ledger

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Worker is one boot of a worker.
type Worker struct {
	info     *workloadpb.Worker
	capacity Resources
	used     Resources
	runs     map[RunKey]*Task
	ended    bool
}

// Number identifies the boot.
func (w *Worker) Number() uint64 { return w.info.Number }

// ID is the name that the worker gives itself; a later boot may have it again.
func (w *Worker) ID() string { return w.info.Id }

// StartedMs is the start of the boot in Unix milliseconds.
func (w *Worker) StartedMs() int64 { return w.info.BornMs }

// Address takes orders.
func (w *Worker) Address() string { return w.info.Address }

// Pool is the pool that the worker serves.
func (w *Worker) Pool() string { return w.info.Pool }

// Zone is the availability zone.
func (w *Worker) Zone() string { return w.info.Zone }

// Capacity is what the worker has.
func (w *Worker) Capacity() Resources { return w.capacity }

// Used is what the assigned runs take.
func (w *Worker) Used() Resources { return w.used }

// Free is what is left for further runs.
func (w *Worker) Free() Resources { return w.capacity.Minus(w.used) }

// IsDraining reports that the worker has said that it leaves.
func (w *Worker) IsDraining() bool { return w.info.Draining }

// LastRecordedEnd is the number of the last recorded end of the worker's list.
func (w *Worker) LastRecordedEnd() int64 { return w.info.Noted }

// HasEnded reports that the boot has ended.
func (w *Worker) HasEnded() bool { return w.ended }

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.info.Labels, label) }

// Labels returns the labels of the worker: its kind and its rack.
func (w *Worker) Labels() []string { return w.info.Labels }

// Rack returns the rack of the worker, which is its last label.
func (w *Worker) Rack() string {
	if n := len(w.info.Labels); n > 0 {
		return w.info.Labels[n-1]
	}
	return ""
}

// Runs returns the assigned runs; the map must not be changed.
func (w *Worker) Runs() map[RunKey]*Task { return w.runs }

// Workers returns the boots that have not ended, ordered by number.
func (s *State) Workers() []*Worker { return s.workerList }

// WorkerChanges counts the boots that began or ended; it is not replicated.
func (s *State) WorkerChanges() uint64 { return s.workerChanges }

// Worker returns a boot by its number, nil when it is unknown or has ended.
func (s *State) Worker(number uint64) *Worker { return s.workers[number] }

// WorkerByID returns the newest boot with an ID, nil when there is none.
func (s *State) WorkerByID(id string) *Worker {
	return s.workersByID[id]
}

// IsRecorded reports whether a report says nothing that is not recorded.
func (s *State) IsRecorded(r *workloadpb.Worker) bool {
	w := s.WorkerByID(r.Id)
	if w == nil || r.BornMs < w.info.BornMs {
		return w != nil
	}
	return r.BornMs == w.info.BornMs && sameReport(w.info, r)
}

// sameReport compares what a report can change; a boot that drains goes on draining.
func sameReport(a, b *workloadpb.Worker) bool {
	return a.Address == b.Address && a.Pool == b.Pool && a.Zone == b.Zone && proto.Equal(a.Capacity, b.Capacity) &&
		slices.Equal(a.Labels, b.Labels) && (a.Draining || !b.Draining)
}

func (s *State) applyReport(r *workloadpb.Report) {
	m := r.GetWorker()
	if m.GetId() == "" || s.IsRecorded(m) {
		return
	}
	if w := s.WorkerByID(m.Id); w != nil {
		if w.info.BornMs == m.BornMs {
			m = proto.CloneOf(m)
			m.Number, m.Noted, m.Draining = w.info.Number, w.info.Noted, m.Draining || w.info.Draining
			w.info, w.capacity = m, ResourcesOf(m.Capacity)
			s.changed()
			return
		}
		s.end(w)
	}
	for _, w := range slices.Clone(s.workerList) {
		// An address serves one process at a time, so the boot that had it before has ended.
		if w.info.Address == m.Address && w.info.BornMs <= m.BornMs {
			s.end(w)
		}
	}
	s.nextWorker++
	m = proto.CloneOf(m)
	m.Number, m.Noted = s.nextWorker, 0
	s.addWorker(m)
	s.changed()
}

func (s *State) addWorker(m *workloadpb.Worker) {
	w := &Worker{info: m, capacity: ResourcesOf(m.Capacity), runs: map[RunKey]*Task{}}
	s.workers[m.Number], s.workersByID[m.Id] = w, w
	s.workerList = append(s.workerList, w)
	s.workerChanges++
}

func (s *State) applyLeave(m *workloadpb.Leave) {
	if w := s.WorkerByID(m.Id); w != nil && w.info.BornMs == m.BornMs {
		s.end(w)
	}
}

// end drops a boot; what ran there can't run any more.
func (s *State) end(w *Worker) {
	for _, k := range sortedKeys(w.runs) {
		s.endRun(w, k, workloadpb.How_HOW_VOID, "")
	}
	w.ended = true
	s.workerChanges++
	delete(s.workers, w.info.Number)
	delete(s.workersByID, w.info.Id)
	s.workerList = slices.DeleteFunc(s.workerList, func(o *Worker) bool { return o == w })
	s.changed()
}
