package ledger_test

import (
	"testing"

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
