package ledger_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against replicas of two versions that derive different states, because they apply an assignment of the earlier
// version in different ways after the capacity of its worker has shrunk.
func TestAssignmentOfEarlierVersionToShrunkWorkerIsRejected(t *testing.T) {
	s := ledger.New()
	report := func(sequence uint64, cpu int64) *workloadpb.Command {
		return &workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{
			Sequence: sequence, Worker: &workloadpb.Worker{
				Id: "w", BornMs: 1, Address: "a", Pool: "glass", Capacity: &workloadpb.Resources{Cpu: cpu, MemoryMib: 65536},
			},
		}}}
	}
	submit := func(id string, st *workloadpb.Step) *workloadpb.Command {
		st.Count = 1
		return &workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: &workloadpb.Submit{
			Host: "h", Path: "/" + id, Id: id, Spec: "spec", Steps: []*workloadpb.Step{st},
		}}}
	}
	assign := func(job uint64) *workloadpb.Command {
		return &workloadpb.Command{Change: &workloadpb.Command_Assign{Assign: &workloadpb.Assign{
			Assignments: []*workloadpb.Assignment{{Subtask: &workloadpb.Task{Job: job}, Worker: 1, Run: 1}},
		}}}
	}
	for _, c := range []*workloadpb.Command{
		{Change: &workloadpb.Command_Document{Document: &workloadpb.Document{
			Version: 1, Pools: []*workloadpb.Pool{{Name: "glass"}},
			Queues: []*workloadpb.Queue{{Name: "glass", Host: "h", Prefix: "/", Pool: "glass", Public: true}},
		}}},
		report(1, 16000),
		submit("large", &workloadpb.Step{Need: &workloadpb.Resources{Cpu: 12000, MemoryMib: 1000}}),
		assign(1),
		report(2, 8000),
		submit("fill", &workloadpb.Step{Need: &workloadpb.Resources{Cpu: 1000, MemoryMib: 1000}, Fills: true, Lasting: true}),
		assign(2),
	} {
		s.Apply(c, 0)
	}
	assert.Equal(t, s.JobByID("large").ActiveRuns(), 1)
	assert.Equal(t, s.JobByID("fill").ActiveRuns(), 0)
}
