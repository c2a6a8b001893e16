package ledger_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// reportAt registers a worker at an address.
func (f *fixture) reportAt(address, id string, bornMs int64) *ledger.Worker {
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{Worker: &workloadpb.Worker{
		Id: id, Address: address, BornMs: bornMs, Pool: "glass",
		Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
	}}}})
	return f.WorkerByID(id)
}

// assignRecorded assigns the next run of a task, whose loss is recorded.
func (f *fixture) assignRecorded(t *ledger.Task, w *ledger.Worker) ledger.RunKey {
	k := t.Key(t.LastRun + 1)
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Assign{Assign: &workloadpb.Assign{
		Assignments:   []*workloadpb.Assignment{{Subtask: k.TaskMessage(), Run: k.Run, Worker: w.Number()}},
		RecordsLosses: true,
	}}})
	return k
}

// advanceClock lets the clock of the ledger show at least ms.
func (f *fixture) advanceClock(ms int64) {
	f.apply(&workloadpb.Command{Term: 1, SteadyMs: ms, Change: &workloadpb.Command_Expire{Expire: &workloadpb.Expire{}}})
}

// Guards against losses that are forgotten because a start, or the giving up of a run, took long.
func TestLateLossKeepsEarlierOnes(t *testing.T) {
	f := newFixture(t)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	task := &j.Occurrences()[0].Steps[0].Tasks[0]
	for i, delayMs := range []int64{1000, 1000, 1000, 16_000} {
		w := f.report(fmt.Sprintf("w%d", i), 1)
		k := f.assignRecorded(task, w)
		f.advanceClock(f.Clock() + delayMs)
		f.end(k, w, workloadpb.How_HOW_LOST)
	}
	assert.Equal(t, len(task.Losses()), 4)
}

// Guards against a worker that is out of reach and passes for one that crashed, because a delayed heartbeat of its
// predecessor arrives.
func TestDelayedHeartbeatShowsNoCrash(t *testing.T) {
	f := newFixture(t)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	task := &j.Occurrences()[0].Steps[0].Tasks[0]
	f.reportAt("a", "w1", 1)
	w := f.reportAt("a", "w2", 2)
	f.end(f.assignRecorded(task, w), w, workloadpb.How_HOW_LOST)
	assert.Equal(t, len(task.Losses()), 1)
	f.reportAt("a", "w1", 1)
	assert.Assert(t, !task.Losses()[0].Crashed)
	f.reportAt("a", "w3", 3)
	assert.Assert(t, task.Losses()[0].Crashed)
}

// Guards against a snapshot after which a worker that is lost under a run that has proven harmless counts as evidence.
func TestSnapshotKeepsHarmlessRuns(t *testing.T) {
	f := newFixture(t)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	w := f.report("w", 1)
	k := f.assignRecorded(&j.Occurrences()[0].Steps[0].Tasks[0], w)
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_HarmlessTasks{
		HarmlessTasks: &workloadpb.HarmlessTasks{Tasks: []*workloadpb.Task{k.TaskMessage()}},
	}})
	data, err := f.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, f.Restore(data))
	f.end(k, f.WorkerByID("w"), workloadpb.How_HOW_LOST)
	task := &f.JobByID("a").Occurrences()[0].Steps[0].Tasks[0]
	assert.Equal(t, len(task.Losses()), 0)
	f.end(f.assignRecorded(task, f.WorkerByID("w")), f.WorkerByID("w"), workloadpb.How_HOW_LOST)
	assert.Equal(t, len(task.Losses()), 1)
}

// Guards against a delayed heartbeat of the lost incarnation, or of the one before it, that passes for the next one after
// the end of the incarnation is recorded.
func TestDelayedHeartbeatAfterEndShowsNoCrash(t *testing.T) {
	f := newFixture(t)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	task := &j.Occurrences()[0].Steps[0].Tasks[0]
	f.reportAt("a", "w1", 1)
	w := f.reportAt("a", "w2", 2)
	f.assignRecorded(task, w)
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Leave{Leave: &workloadpb.Leave{Id: "w2", BornMs: 2, Lost: true}}})
	assert.Equal(t, len(task.Losses()), 1)
	f.reportAt("a", "w1", 1)
	f.reportAt("a", "w2", 2)
	assert.Assert(t, !task.Losses()[0].Crashed)
	f.reportAt("a", "w3", 3)
	assert.Assert(t, task.Losses()[0].Crashed)
}

// Guards against a departure that is known late, and a worker that passes for one that crashed until then.
func TestLateDepartureShowsNoCrash(t *testing.T) {
	f := newFixture(t)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	task := &j.Occurrences()[0].Steps[0].Tasks[0]
	f.assignRecorded(task, f.reportAt("a", "w1", 1))
	f.reportAt("a", "w2", 2)
	assert.Assert(t, task.Losses()[0].Crashed)
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Leave{Leave: &workloadpb.Leave{Id: "w1", BornMs: 1}}})
	assert.Equal(t, len(task.Losses()), 0)
}

// Guards against the announced end of a worker that passes for a crash, because its runs were given up before it drained.
func TestAnnouncementAfterLossShowsNoCrash(t *testing.T) {
	f := newFixture(t)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	task := &j.Occurrences()[0].Steps[0].Tasks[0]
	w := f.reportAt("a", "w1", 1)
	f.end(f.assignRecorded(task, w), w, workloadpb.How_HOW_LOST)
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{Worker: &workloadpb.Worker{
		Id: "w1", Address: "a", BornMs: 1, Pool: "glass", Draining: true,
	}}}})
	f.reportAt("a", "w2", 2)
	assert.Assert(t, !task.Losses()[0].Crashed)
}
