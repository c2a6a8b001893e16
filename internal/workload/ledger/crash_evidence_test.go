package ledger_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against a worker that passes for one that crashed, although it has said since its loss that it leaves.
func TestDepartureShowsThatWorkerHasNotCrashed(t *testing.T) {
	f := newFixture(t)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	task := &j.Occurrences()[0].Steps[0].Tasks[0]
	w := f.reportAt("a", "w1", 1)
	f.end(f.assignRecorded(task, w), w, workloadpb.How_HOW_LOST)
	assert.Equal(t, len(task.Losses()), 1)
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Leave{Leave: &workloadpb.Leave{Id: "w1", BornMs: 1}}})
	f.reportAt("a", "w2", 2)
	assert.Assert(t, len(task.Losses()) == 0 || !task.Losses()[0].Crashed)
}

// Guards against a delayed heartbeat of the lost incarnation itself that passes for the one after it.
func TestDelayedHeartbeatOfLostWorkerShowsNoCrash(t *testing.T) {
	f := newFixture(t)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	task := &j.Occurrences()[0].Steps[0].Tasks[0]
	w := f.reportAt("a", "w1", 1)
	f.end(f.assignRecorded(task, w), w, workloadpb.How_HOW_LOST)
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Leave{Leave: &workloadpb.Leave{Id: "w1", BornMs: 1}}})
	f.reportAt("a", "w1", 1)
	assert.Assert(t, len(task.Losses()) == 0 || !task.Losses()[0].Crashed)
}

// Guards against the announced end of a worker that passes for a crash, because its departure was not recorded.
func TestAnnouncedEndIsNoCrash(t *testing.T) {
	f := newFixture(t)
	j := f.submit(&workloadpb.Submit{Id: "a", Steps: []*workloadpb.Step{newStep(1)}})
	task := &j.Occurrences()[0].Steps[0].Tasks[0]
	w := f.reportAt("a", "w1", 1)
	f.assignRecorded(task, w)
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{Worker: &workloadpb.Worker{
		Id: "w1", Address: "a", BornMs: 1, Pool: "glass", Draining: true,
		Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
	}}}})
	f.reportAt("a", "w2", 2)
	assert.Assert(t, len(task.Losses()) == 0 || !task.Losses()[0].Crashed)
}
