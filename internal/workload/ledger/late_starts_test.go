package ledger_test

import (
	"testing"

	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against a leader that doesn't learn of a start without an answer, because its worker has started again or has
// ended, or because the leader began with a snapshot.
func TestLateStartsOutliveIncarnationsAndSnapshots(t *testing.T) {
	maxDelayMs := ledger.MaxRequestDelay.Milliseconds()
	// A deposed leader may send for 2 s more, and heartbeats don't advance the clock.
	const afterEndMs = 4000
	record := func(f *fixture, _ *ledger.Worker) {
		f.apply(&workloadpb.Command{Term: 1, Change: &workloadpb.Command_LateStarts{
			LateStarts: &workloadpb.LateStarts{Workers: []string{"w"}, RemainingMs: maxDelayMs},
		}})
	}
	leave := func(f *fixture, _ *ledger.Worker) {
		f.apply(&workloadpb.Command{Change: &workloadpb.Command_Leave{Leave: &workloadpb.Leave{Id: "w", BornMs: 1}}})
	}
	assign := func(f *fixture, w *ledger.Worker) ledger.RunKey {
		j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
		return f.assignRecorded(&j.Occurrences()[0].Steps[0].Tasks[0], w)
	}
	for _, tt := range []struct {
		name  string
		event func(f *fixture, w *ledger.Worker)
		// afterMs is added to the longest delay of a request.
		afterMs int64
	}{
		{"recorded", record, 0},
		{"recorded before the worker started again", func(f *fixture, w *ledger.Worker) {
			record(f, w)
			f.report("w", 2)
		}, 0},
		{"recorded before the worker left", func(f *fixture, w *ledger.Worker) {
			record(f, w)
			leave(f, w)
		}, 0},
		{"recorded after the worker left", func(f *fixture, w *ledger.Worker) {
			leave(f, w)
			record(f, w)
		}, 0},
		{"incarnation ended with a run", func(f *fixture, w *ledger.Worker) {
			assign(f, w)
			f.report("w", 2)
		}, afterEndMs},
		{"run was given up", func(f *fixture, w *ledger.Worker) {
			f.end(assign(f, w), w, workloadpb.How_HOW_LOST)
		}, afterEndMs},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			tt.event(f, f.report("w", 1))
			assert.DeepEqual(t, f.LateStarts(), map[string]int64{"w": f.Clock() + maxDelayMs + tt.afterMs})
			data, err := f.Snapshot()
			assert.NilError(t, err)
			restored := ledger.New()
			assert.NilError(t, restored.Restore(data))
			assert.DeepEqual(t, restored.LateStarts(), f.LateStarts())
		})
	}
}

// restored returns the state that a snapshot of the ledger holds.
func (f *fixture) restored() *ledger.State {
	f.t.Helper()
	data, err := f.Snapshot()
	assert.NilError(f.t, err)
	s := ledger.New()
	assert.NilError(f.t, s.Restore(data))
	return s
}

// Guards against a late start of an ended run that isn't kept with its task, or is forgotten by a snapshot, so that the task
// starts elsewhere beside it.
func TestLateStartIsKeptWithItsTask(t *testing.T) {
	const remainingMs = 11_000
	newLateStart := func(id string, startedMs, endMs int64) *workloadpb.LateStart {
		return &workloadpb.LateStart{Worker: id, Address: "a-" + id, StartedMs: startedMs, EndMs: endMs}
	}
	endLate := func(f *fixture, k ledger.RunKey, w *ledger.Worker) {
		f.apply(&workloadpb.Command{Change: &workloadpb.Command_Ends{Ends: &workloadpb.Ends{
			Worker: w.Number(), Ends: []*workloadpb.End{{
				Subtask: k.TaskMessage(), Run: k.Run, How: workloadpb.How_HOW_VOID, LateStartRemainingMs: remainingMs,
			}},
		}}})
	}
	const beganMs, laterMs = 5000, 7000
	for _, tt := range []struct {
		name  string
		event func(f *fixture, task *ledger.Task, w *ledger.Worker)
		want  *workloadpb.LateStart
	}{
		{"none", func(f *fixture, task *ledger.Task, w *ledger.Worker) {
			f.end(f.assignRecorded(task, w), w, workloadpb.How_HOW_VOID)
		}, nil},
		{"ended", func(f *fixture, task *ledger.Task, w *ledger.Worker) {
			endLate(f, f.assignRecorded(task, w), w)
		}, newLateStart("w", 1, beganMs+remainingMs)},
		{"ended, then the worker started again", func(f *fixture, task *ledger.Task, w *ledger.Worker) {
			endLate(f, f.assignRecorded(task, w), w)
			f.report("w", 2)
		}, newLateStart("w", 1, beganMs+remainingMs)},
		{"ended, then the worker left", func(f *fixture, task *ledger.Task, w *ledger.Worker) {
			endLate(f, f.assignRecorded(task, w), w)
			f.apply(&workloadpb.Command{Change: &workloadpb.Command_Leave{Leave: &workloadpb.Leave{Id: "w", BornMs: 1}}})
		}, newLateStart("w", 1, beganMs+remainingMs)},
		{"a later run ended without one", func(f *fixture, task *ledger.Task, w *ledger.Worker) {
			endLate(f, f.assignRecorded(task, w), w)
			w = f.report("w", 2)
			f.advanceClock(laterMs)
			f.end(f.assignRecorded(task, w), w, workloadpb.How_HOW_VOID)
		}, newLateStart("w", 1, beganMs+remainingMs)},
		{"a later run ended with one", func(f *fixture, task *ledger.Task, w *ledger.Worker) {
			endLate(f, f.assignRecorded(task, w), w)
			w = f.report("w", 2)
			f.advanceClock(laterMs)
			endLate(f, f.assignRecorded(task, w), w)
		}, &workloadpb.LateStart{
			Worker: "w", Address: "a-w", StartedMs: 2, EndMs: laterMs + remainingMs, Blocked: true,
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			w := f.report("w", 1)
			j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(2)}})
			f.advanceClock(beganMs)
			tasks := j.Occurrences()[0].Steps[0].Tasks
			tt.event(f, &tasks[0], w)
			for _, list := range [][]ledger.Task{tasks, f.restored().JobByID("a").Occurrences()[0].Steps[0].Tasks} {
				assert.DeepEqual(t, list[0].LateStart(), tt.want, protocmp.Transform())
				assert.Assert(t, list[1].LateStart() == nil)
			}
		})
	}
}

// Guards against a leader that takes the start of a run, which a former one recorded as unanswered, for one without a late copy,
// and against one that expects a late copy of a start which was sent after that.
func TestUnansweredStartsAreKeptWithTheIncarnation(t *testing.T) {
	const recordedMs = 5000
	record := func(f *fixture) {
		f.apply(&workloadpb.Command{Term: 1, SteadyMs: recordedMs, Change: &workloadpb.Command_LateStarts{
			LateStarts: &workloadpb.LateStarts{Workers: []string{"w"}, RemainingMs: ledger.MaxRequestDelay.Milliseconds()},
		}})
	}
	for _, tt := range []struct {
		name string
		// before and after are what happens before and after the record. The run is assigned between before and the record.
		before, after func(f *fixture)
		want          bool
	}{
		{"recorded", nil, nil, true},
		{"recorded before the assignment", record, nil, false},
		{"capacity changes", nil, func(f *fixture) {
			f.apply(&workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{Worker: &workloadpb.Worker{
				Id: "w", Address: "a-w", BornMs: 1, Pool: "glass", Capacity: &workloadpb.Resources{Cpu: 8000, MemoryMib: 65536},
			}}}})
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.report("w", 1)
			if tt.before != nil {
				tt.before(f)
				f.advanceClock(recordedMs + 10_000)
			}
			j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
			f.assignRecorded(&j.Occurrences()[0].Steps[0].Tasks[0], f.WorkerByID("w"))
			if tt.before == nil {
				record(f)
			}
			if tt.after != nil {
				tt.after(f)
			}
			for _, s := range []*ledger.State{f.State, f.restored()} {
				w := s.WorkerByID("w")
				assert.Equal(t, w.MayRunLate(s.JobByID("a").Occurrences()[0].Steps[0].Tasks[0].RunOn(w)), tt.want)
			}
		})
	}
}

// Guards against a leader that learns of the end of a run and not of the starts without an answer that are recorded with it.
func TestUnansweredStartsAreRecordedWithEnds(t *testing.T) {
	f := newFixture(t)
	w := f.report("w", 1)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(2)}})
	tasks := j.Occurrences()[0].Steps[0].Tasks
	ended := f.assignRecorded(&tasks[0], w)
	f.assignRecorded(&tasks[1], w)
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Ends{Ends: &workloadpb.Ends{
		Worker: w.Number(), LateStartsRemainingMs: ledger.MaxRequestDelay.Milliseconds(),
		Ends: []*workloadpb.End{{Subtask: ended.TaskMessage(), Run: ended.Run, How: workloadpb.How_HOW_VOID}},
	}}})
	assert.Assert(t, w.MayRunLate(tasks[1].RunOn(w)))
}

// Guards against a record for an earlier incarnation that a later one inherits.
func TestLaterIncarnationHasNoUnansweredStarts(t *testing.T) {
	f := newFixture(t)
	f.report("w", 1)
	f.apply(&workloadpb.Command{Term: 1, SteadyMs: 5000, Change: &workloadpb.Command_LateStarts{
		LateStarts: &workloadpb.LateStarts{Workers: []string{"w"}, RemainingMs: ledger.MaxRequestDelay.Milliseconds()},
	}})
	w := f.report("w", 2)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	task := &j.Occurrences()[0].Steps[0].Tasks[0]
	f.assignRecorded(task, w)
	assert.Assert(t, !w.MayRunLate(task.RunOn(w)))
}
