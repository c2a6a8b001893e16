package node

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

// Guards against operators' changes without an effect, and against a status, quotas or a time line that don't show why
// a request was rejected, where a job and an instance were, who holds a limit, and when a version came into force.
func TestOperatorChangesAndQueries(t *testing.T) {
	nodes := startGroup(t, nil, 1, 1)
	submit(t, nodes[0], testConfiguration(), 0)
	_, key := grantKey(t, nodes[0], "billing")
	ctx := t.Context()
	c, err := operator.NewClient(operator.ClientConfig{
		Addresses: []string{nodes[0].OperatorAddress(), nodes[1].OperatorAddress()},
	})
	assert.NilError(t, err)
	eventually(t, "instances", func() bool {
		list, err := c.Instances(ctx)
		return err == nil && len(list) == 2
	})
	r := nodes[1].request(t, http.MethodGet, "/queues/plates/print", "", "refused-1")
	assert.Equal(t, r.status, http.StatusUnauthorized)
	eventually(t, "job", func() bool {
		req, err := http.NewRequest(http.MethodPost, nodes[1].url("/jobs"), strings.NewReader(
			`{"id":"job-1","queue":"plates","processors":1,"memory-mib":64,"expected-run":"30s","idempotent":true}`))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		return resp.Body.Close() == nil && resp.StatusCode == http.StatusAccepted
	})
	// Without a platform the job stays in this phase.
	eventually(t, "start of the job", func() bool {
		j, err := c.Job(ctx, "billing", "job-1")
		return err == nil && j.Phase == "starting"
	})
	for _, change := range []struct {
		name string
		do   func() error
		want string // kind of the error
	}{
		{"move", func() error {
			return c.ChangeInstance(ctx, operator.InstanceChange{
				Action: operator.MoveInstance, Instance: "worker-2", Pool: "spare",
			})
		}, ""},
		{"move to an unknown pool", func() error {
			return c.ChangeInstance(ctx, operator.InstanceChange{
				Action: operator.MoveInstance, Instance: "worker-2", Pool: "gone",
			})
		}, operator.KindNotFound},
		{"quarantine", func() error {
			return c.ChangeInstance(ctx, operator.InstanceChange{
				Action: operator.QuarantineInstance, Instance: "worker-1", Reason: "noisy",
			})
		}, ""},
		{"release", func() error {
			return c.ChangeInstance(ctx, operator.InstanceChange{Action: operator.ReleaseInstance, Instance: "worker-1"})
		}, ""},
		{"unknown wave", func() error {
			return c.ChangeWave(ctx, operator.WaveChange{Action: operator.StartWave, Wave: "gone"})
		}, operator.KindNotFound},
		{"decision about an instance that isn't stuck", func() error {
			return c.ChangeWave(ctx, operator.WaveChange{Action: operator.DecideWave, Instance: "worker-1", Choice: "give-up"})
		}, operator.KindConflict},
		{"cancellation", func() error {
			j, err := c.ChangeJob(ctx, operator.JobChange{Action: operator.CancelJob, Team: "billing", Job: "job-1"})
			assert.Equal(t, j.Phase, "cancelled")
			return err
		}, ""},
	} {
		kind := ""
		if e, ok := change.do().(*operator.Error); ok {
			kind = e.Kind
		}
		assert.Equal(t, kind, change.want, change.name)
	}
	quotas, err := c.Quotas(ctx, "billing")
	assert.NilError(t, err)
	assert.Equal(t, quotas[0].UpperLimit, uint64(8))
	for _, n := range nodes {
		s, err := n.operatorClient(t).Status(ctx)
		assert.NilError(t, err)
		assert.Equal(t, s.Leader, "node-1")
		assert.Equal(t, len(s.Followers), 2)
		assert.Equal(t, s.Rollouts[0].Version, uint64(1))
		for _, f := range s.Followers {
			assert.Assert(t, f.HasLease && f.RenewedMs >= 0, f.Process)
		}
	}
	merged := timeline.Merge(c.Timelines(ctx))
	for _, question := range []struct {
		filter timeline.Filter
		kinds  []string
	}{
		{timeline.Filter{Request: "refused-1"}, []string{"request-rejected"}},
		{timeline.Filter{Job: "billing/job-1"}, []string{"job-submitted", "job-started", "job-cancelled"}},
		{timeline.Filter{Instance: "worker-2"}, []string{"move-requested"}},
		{timeline.Filter{Instance: "worker-1", Kind: "quarantine-started"}, []string{"quarantine-started"}},
		{timeline.Filter{Version: 1}, []string{
			"configuration-accepted", "configuration-applied", "configuration-applied", "configuration-in-force",
		}},
	} {
		var kinds []string
		for _, e := range question.filter.Apply(merged) {
			kinds = append(kinds, e.Kind)
		}
		missing := append([]string{}, question.kinds...)
		for _, k := range kinds {
			if len(missing) > 0 && k == missing[0] {
				missing = missing[1:]
			}
		}
		assert.Equal(t, len(missing), 0, "%+v: %v lacks %v", question.filter, kinds, missing)
	}
}
