package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against ended jobs that are forgotten early, or never, because the wall clock of the leader steps.
func TestClockStepKeepsEndedJobs(t *testing.T) {
	const retention = 2 * time.Minute
	for _, tt := range []struct {
		name      string
		step      time.Duration
		cancelled bool // the job ends by a call, while no worker causes a command of the leader
		newLeader bool
		restored  bool
	}{
		{"ahead", time.Hour, false, false, false},
		{"back", -time.Hour, false, false, false},
		{"new leader ahead", time.Hour, false, true, false},
		{"cancelled in an idle system", time.Hour, true, false, false},
		{"restored", time.Hour, false, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			stepped := time.Duration(0)
			s.e.Configure(workload.Config{
				WallClock:    func() time.Time { return time.UnixMilli(1_000_000).Add(s.now + stepped) },
				JobRetention: retention,
			})
			s.configure(1, nil, "glass")
			if !tt.cancelled {
				s.addWorkers("glass", 1)
			}
			s.run(3 * time.Minute)
			s.submit("glass", "a", step(1, 1000, 1000, 1000))
			state := ledger.Completed
			if tt.cancelled {
				s.cancel("glass", "a")
				state = ledger.Cancelled
			} else {
				s.run(2 * time.Second)
			}
			assert.Equal(t, s.jobState("glass", "a"), string(state))
			stepped = tt.step
			if tt.restored {
				data, err := s.e.State().Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, s.e.State().Restore(data))
			}
			if tt.newLeader {
				s.startTerm()
			}
			s.run(retention - 2*time.Second)
			assert.Equal(t, s.jobState("glass", "a"), string(state))
			s.run(retention)
			r := s.call(&workloadpb.Command{Change: &workloadpb.Command_Inspect{
				Inspect: &workloadpb.Inspect{Host: "h", Path: "/glass/a", Id: "a"},
			}})
			assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_NO_JOB)
		})
	}
}
