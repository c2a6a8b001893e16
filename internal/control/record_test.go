package control

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
	"github.com/hibiscusroute/hibiscusroute/internal/quota/quotapb"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

// Guards against applied commands that are missing from the time line, or whose events lack the reason or the names by
// which operators filter.
func TestRecordCommand(t *testing.T) {
	shape := kerneltest.SmallWorkers
	r := kerneltest.New(t, nil)
	r.Configure(shape.Configuration())
	quotas, _ := kernel.Lookup[*quota.State](r.Kernel, quota.Name)
	limit := quota.TeamResource("team-0")
	for range quotas.Capacity(limit) {
		assert.Assert(t, quotas.Reserve(limit))
	}
	limits := &quotapb.Command{Changes: []*quotapb.Change{
		{Resource: limit}, {Resource: quota.TeamResource("team-1")}, {Resource: limit},
	}}
	for _, tc := range []struct {
		name, plugin string
		body         proto.Message
		want         []timeline.Event
	}{
		{"preemption for a drain", job.Name, &jobpb.Command{Change: &jobpb.Command_Preempt{Preempt: &jobpb.Preempt{
			Key: "audit/a", How: jobpb.How_HOW_CHECKPOINT, Drain: true,
		}}}, []timeline.Event{
			{Kind: "job-preempted", Job: "audit/a", Team: "audit", Text: "by checkpoint: its instance drains"},
		}},
		{"outcomes without running jobs", job.Name, &jobpb.Command{Change: &jobpb.Command_Reports{Reports: &jobpb.Reports{
			Reports: []*jobpb.Report{
				{Key: "audit/a", Outcome: jobpb.Outcome_OUTCOME_RUNNING},
				{Key: "audit/b", Outcome: jobpb.Outcome_OUTCOME_FAILED, Reason: "disk full"},
			},
		}}}, []timeline.Event{{Kind: "job-reported", Job: "audit/b", Team: "audit", Text: "failed: disk full"}}},
		{"lost instance", job.Name, &jobpb.Command{Change: &jobpb.Command_Lost{Lost: &jobpb.Ref{Key: "audit/a"}}},
			[]timeline.Event{{Kind: "job-lost", Job: "audit/a", Team: "audit", Text: "its instance is lost"}}},
		{"health", pool.Name, &poolpb.Command{Change: &poolpb.Command_Health{Health: &poolpb.Health{
			Unhealthy: []string{"w-1"}, Healthy: []string{"w-2"},
		}}}, []timeline.Event{{Kind: "instance-unhealthy", Instance: "w-1"}, {Kind: "instance-healthy", Instance: "w-2"}}},
		{"allocated limit, once", quota.Name, limits, []timeline.Event{
			{Kind: "limit-allocated", Team: "team-0", Text: "team/team-0 reserved=10000"},
		}},
	} {
		var got []timeline.Event
		v := &Voter{
			cfg: Config{Record: func(e timeline.Event) { got = append(got, e) }}, quotas: quotas,
			limitRecordedAt: map[string]time.Duration{}, startedAt: time.Now(),
		}
		body, err := proto.Marshal(tc.body)
		assert.NilError(t, err)
		v.recordCommand(kernel.Command{Plugin: tc.plugin, Body: body})
		assert.DeepEqual(t, got, tc.want)
	}
}
