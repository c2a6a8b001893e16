package ledger_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against jobs that occupy more memory than they count for, so that a limit of it doesn't hold.
func TestJobsOccupyNoMoreThanTheyCountFor(t *testing.T) {
	for _, tt := range []struct {
		name        string
		jobs, steps int
		step        *workloadpb.Step
		spec        string
	}{
		{"small", 5000, 2, &workloadpb.Step{Count: 6, Need: &workloadpb.Resources{Cpu: 880}, EstimateMs: 800}, "etch"},
		{"long-specification", 1000, 1, &workloadpb.Step{Count: 1}, strings.Repeat("x", 4000)},
		{"many-steps", 20, 9000, &workloadpb.Step{Count: 1, Need: &workloadpb.Resources{Cpu: 1}}, ""},
		{"many-labels", 20, 3000, &workloadpb.Step{Count: 1, Label: strings.Repeat("l", 60)}, ""},
		{"long-lists", 20, 10, &workloadpb.Step{Count: 1, After: make([]int32, 10000)}, ""},
		{"many-tasks", 20, 1, &workloadpb.Step{Count: ledger.MaxTasks}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := &workloadpb.Submit{Spec: tt.spec}
			for range tt.steps {
				m.Steps = append(m.Steps, tt.step)
			}
			text, err := proto.Marshal(m)
			assert.NilError(t, err)
			before := heapBytes()
			jobs := make([]*ledger.Job, 0, tt.jobs)
			for n := range tt.jobs {
				decoded := &workloadpb.Submit{}
				assert.NilError(t, proto.Unmarshal(text, decoded))
				decoded.Id = fmt.Sprintf("%016x", n)
				jobs = append(jobs, ledger.NewJob(decoded, &workloadpb.Queue{Name: "q"}, "account", 0))
			}
			used, counted := heapBytes()-before, int64(tt.jobs)*ledger.SubmitBytes(m)
			runtime.KeepAlive(jobs)
			t.Logf("%d of %d bytes", used, counted)
			assert.Assert(t, used <= counted, "the jobs occupy %d bytes and count for %d", used, counted)
			assert.Assert(t, counted <= 3*used, "the jobs occupy %d bytes and count for %d", used, counted)
		})
	}
}
