package workload_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/explanation"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// explain asks where a job would go, and checks that the replicated state stays as it is.
func (s *sim) explain(m *workloadpb.Submit) *explanation.Explanation {
	s.t.Helper()
	changes, index := s.e.State().Changes(), s.index
	r := s.call(&workloadpb.Command{Change: &workloadpb.Command_Explain{Explain: &workloadpb.Explain{Job: m}}})
	x := &explanation.Explanation{}
	assert.NilError(s.t, json.Unmarshal(r.Explanation, x))
	assert.Equal(s.t, s.e.State().Changes(), changes)
	assert.Equal(s.t, s.index, index, "the question was replicated")
	return x
}

// Guards against explanations that name another reason than the one for which a job is rejected or its tasks wait.
func TestExplanationNamesReason(t *testing.T) {
	fill := func(s *sim) {
		s.submit("glass", "before", step(8, 8000, 1000, 5000))
		s.run(time.Second)
	}
	for _, tt := range []struct {
		name     string
		prepare  func(s *sim)
		change   func(m *workloadpb.Submit)
		rejected string
		starting int
		waitsFor []string
		workers  string
	}{
		{"room", nil, nil, "", 4, nil, "[{has-room 4}]"},
		{"no-queue", nil, func(m *workloadpb.Submit) { m.Path = "/other/" }, explanation.NoQueue, 0, nil, ""},
		{"unknown-key", nil, func(m *workloadpb.Submit) { m.Path, m.Key = "/closed/", "x" }, explanation.UnknownKey, 0, nil, ""},
		{"invalid", nil, func(m *workloadpb.Submit) { m.Steps = nil }, explanation.Invalid, 0, nil, ""},
		{"capacity", fill, nil, "", 0, []string{explanation.Capacity}, "[{no-capacity 4}]"},
		{"jobs-before", func(s *sim) { s.submit("glass", "before", step(8, 8000, 1000, 50)) }, nil, "", 0,
			[]string{explanation.JobsBefore}, "[{has-room 4}]"},
		{"quota", nil, func(m *workloadpb.Submit) { m.Path, m.Key = "/closed/", "k" }, "", 2, []string{explanation.Quota},
			"[{has-room 4}]"},
		{"label", nil, func(m *workloadpb.Submit) { m.Steps[0].Label = "r9" }, "", 0, []string{explanation.Label},
			"[{lacks-label 4}]"},
		{"zone", func(s *sim) { s.orderZone("a", false); s.orderZone("b", false) }, nil, "", 0,
			[]string{explanation.EvacuatedZone}, "[{zone-evacuated 4}]"},
		{"gang", nil, func(m *workloadpb.Submit) { m.Steps[0].Gang, m.Steps[0].Count = true, 9 }, "", 0,
			[]string{explanation.Capacity}, "[{has-room 4}]"},
		{"adviser", func(s *sim) {
			s.configure(2, func(d *workloadpb.Document) { d.Queues[0].Advice = &workloadpb.Advice{} }, "glass")
		}, nil, "", 4, []string{explanation.Adviser}, "[{has-room 4}]"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.zones = []string{"a", "b"}
			s.configure(1, func(d *workloadpb.Document) {
				d.Accounts = []*workloadpb.Account{{Name: "crew", Keys: []string{"k"}, Allowance: &workloadpb.Resources{Cpu: 16000}}}
				closed := proto.CloneOf(d.Queues[0])
				closed.Name, closed.Prefix, closed.Public = "closed", "/closed/", false
				d.Queues = append(d.Queues, closed)
			}, "glass")
			s.addWorkers("glass", 4)
			s.run(time.Second)
			if tt.prepare != nil {
				tt.prepare(s)
			}
			later := step(1, 1000, 1000, 100)
			later.After = []int32{0}
			m := &workloadpb.Submit{Host: "h", Path: "/glass/", Steps: []*workloadpb.Step{step(4, 8000, 1000, 100), later}}
			if tt.change != nil {
				tt.change(m)
			}
			x := s.explain(m)
			assert.Equal(t, x.Rejection, tt.rejected)
			if tt.rejected != "" {
				assert.Equal(t, len(x.Steps), 0)
				return
			}
			assert.Equal(t, x.Pool, "glass")
			assert.Equal(t, x.Instances.Has, 4)
			assert.Equal(t, x.Steps[0].Starting, tt.starting)
			assert.DeepEqual(t, x.Steps[0].WaitsFor, tt.waitsFor)
			assert.Equal(t, fmt.Sprint(x.Steps[0].Workers), tt.workers)
			assert.DeepEqual(t, x.Steps[1].WaitsFor, []string{explanation.EarlierSteps})
		})
	}
}

// Guards against explanations that change later decisions: admission under overload, assignments and the size of pools.
func TestExplanationChangesNoDecision(t *testing.T) {
	var decisions [2][]string
	rejected := 0
	for i := range decisions {
		b := newBacklogTest(t, true)
		for n := range 150 {
			account := []string{"large", "small"}[n/3%2]
			if i == 1 {
				x := b.explain(&workloadpb.Submit{
					Host: "h", Path: "/glass/", Key: account, Steps: []*workloadpb.Step{step(8, 3100, 2000, 800)},
				})
				if x.Rejection == "backlog" && x.RetryAfterMs > 0 {
					rejected++
				}
			}
			r := b.offer(account, 0.5)
			decisions[i] = append(decisions[i], fmt.Sprint(r.Verdict, r.RetryAfterMs))
			b.run(50 * time.Millisecond)
		}
		decisions[i] = append(decisions[i], fmt.Sprint(b.moves, b.countInstances("glass")))
		for _, id := range sortedIDs(b.workers) {
			decisions[i] = append(decisions[i], fmt.Sprint(id, len(b.workers[id].highestRun)))
		}
	}
	assert.Assert(t, rejected > 0)
	assert.Assert(t, slices.Equal(decisions[0], decisions[1]), "%v\n%v", decisions[0], decisions[1])
}
