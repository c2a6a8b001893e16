package ledger_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

func (f *fixture) orderZone(zone string, restored bool) {
	f.apply(&workloadpb.Command{Change: &workloadpb.Command_EvacuateZone{
		EvacuateZone: &workloadpb.EvacuateZone{Zone: zone, Restored: restored},
	}})
}

// Guards against a run that is assigned to a worker of an evacuated zone because the command was on its way, against an
// order that a snapshot forgets, one that a repeat undoes, and a gang of which only a part is assigned.
func TestNothingIsAssignedInEvacuatedZone(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"a", "b"} {
		m := &workloadpb.Worker{
			Id: id, Address: "a-" + id, BornMs: 1, Pool: "glass", Zone: "zone-" + id,
			Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
		}
		f.apply(&workloadpb.Command{Change: &workloadpb.Command_Report{Report: &workloadpb.Report{Worker: m}}})
	}
	run := rune(0)
	mayRun := func(id string) bool {
		run++
		j := f.submit(&workloadpb.Submit{Id: string('j' + run), Steps: []*workloadpb.Step{newStep(1)}})
		task := &j.Occurrences()[0].Steps[0].Tasks[0]
		f.assign(task.Key(1), f.WorkerByID(id))
		return len(task.ActiveRuns) == 1
	}
	for _, tt := range []struct {
		name, zone string
		restored   bool
		a, b       bool // whether runs may be assigned there
	}{
		{"restored before", "zone-a", true, true, true},
		{"evacuated", "zone-a", false, false, true},
		{"evacuated again", "zone-a", false, false, true},
		{"all evacuated", "zone-b", false, false, false},
		{"restored", "zone-a", true, true, false},
		{"restored again", "zone-a", true, true, false},
		{"no zone", "", false, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f.t = t
			f.orderZone(tt.zone, tt.restored)
			f.State = f.restored()
			assert.Equal(t, mayRun("a"), tt.a)
			assert.Equal(t, mayRun("b"), tt.b)
			run++
			gang := newStep(2)
			gang.Gang = true
			j := f.submit(&workloadpb.Submit{Id: string('j' + run), Steps: []*workloadpb.Step{gang}})
			m := &workloadpb.Assign{}
			for i, id := range []string{"a", "b"} {
				k := j.Occurrences()[0].Steps[0].Tasks[i].Key(1)
				m.Assignments = append(m.Assignments, &workloadpb.Assignment{
					Subtask: k.TaskMessage(), Run: 1, Worker: f.WorkerByID(id).Number(),
				})
			}
			f.apply(&workloadpb.Command{Change: &workloadpb.Command_Assign{Assign: m}})
			waiting := 2
			if tt.a && tt.b {
				waiting = 0
			}
			assert.Equal(t, j.Occurrences()[0].Steps[0].Waiting(), waiting)
		})
	}
}
