package ledger_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

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
