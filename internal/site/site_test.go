package site_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/dispatch"
	"github.com/hibiscusroute/hibiscusroute/internal/site"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// fakeFleet answers the orders of whichever process leads: every run ends done after a while.
type fakeFleet struct {
	mu     sync.Mutex
	began  time.Time
	runs   map[string]time.Time
	starts map[string]int
	ended  []workload.EndedRun
}

func (f *fakeFleet) port() dispatch.Port {
	answer := func() workload.Answer {
		return workload.Answer{Outcome: workload.Accepted, ClockMs: time.Since(f.began).Milliseconds() + 1}
	}
	return dispatch.Port{
		RenewLease: func(ctx context.Context, h workload.RenewLease) workload.RenewLeaseResult {
			deadline := time.Now().Add(min(h.Wait, 100*time.Millisecond))
			for {
				f.mu.Lock()
				done := workload.RenewLeaseResult{Answer: answer()}
				for _, e := range f.ended {
					if e.Number > h.AckedEnd {
						done.Ended = append(done.Ended, e)
					}
				}
				f.mu.Unlock()
				if len(done.Ended) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
					return done
				}
				time.Sleep(5 * time.Millisecond)
			}
		},
		StartRun: func(_ context.Context, s workload.StartRun) workload.Answer {
			f.mu.Lock()
			defer f.mu.Unlock()
			task := fmt.Sprintf("%s.%d", s.Name.Job, s.Name.Index)
			if _, ok := f.runs[task]; !ok {
				f.runs[task] = time.Now()
				f.starts[task]++
				f.ended = append(f.ended, workload.EndedRun{Number: int64(len(f.ended) + 1), Name: s.Name, How: workloadpb.How_HOW_DONE})
			}
			return answer()
		},
		StopRun: func(context.Context, workload.StopRun) workload.Answer { return answer() },
		ListInstances: func(context.Context) workload.ListInstancesResult {
			return workload.ListInstancesResult{Outcome: workload.Accepted}
		},
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	return ln.Addr().String()
}

// call repeats a command until it is answered, as clients do.
func call(t *testing.T, f func(context.Context, *workloadpb.Command) (*workloadpb.Response, bool, error), m *workloadpb.Command) *workloadpb.Response {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r, _, err := f(ctx, m)
		cancel()
		if err == nil && r.Verdict != workloadpb.Verdict_VERDICT_NOT_READY {
			return r
		}
	}
	t.Fatal("the command was not answered")
	return nil
}

// Guards against founders that need an order of starts, against a process that must be the leader to be called, and
// against jobs that are lost when the leader ends.
func TestDeploymentServesAfterTheLeaderStops(t *testing.T) {
	fleet := &fakeFleet{began: time.Now(), runs: map[string]time.Time{}, starts: map[string]int{}}
	seeds := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type process struct {
		*site.Control
		stop context.CancelFunc
	}
	var processes []process
	for i, a := range seeds {
		c, err := site.NewControl(site.ControlConfig{
			Name: fmt.Sprintf("core-%d", i), PeerAddress: a, Zone: "a", Seeds: seeds, Bootstrap: true, DataDirectory: t.TempDir(),
			Port: fleet.port(), Log: logr.Discard(),
		})
		assert.NilError(t, err)
		pctx, stop := context.WithCancel(ctx)
		processes = append(processes, process{c, stop})
		group.Go(func() {
			// The founders start one after the other.
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			assert.Check(t, c.Run(pctx))
		})
	}
	entry, err := site.NewEntry(site.EntryConfig{Name: "front", PeerAddress: freeAddress(t), Seeds: seeds, Log: logr.Discard()})
	assert.NilError(t, err)
	group.Go(func() { assert.Check(t, entry.Run(ctx)) })

	document := &workloadpb.Document{
		Version: 1, Pools: []*workloadpb.Pool{{Name: "p"}},
		Queues: []*workloadpb.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Public: true, MaxAttempts: 2}},
	}
	call(t, processes[1].Execute, &workloadpb.Command{Change: &workloadpb.Command_Document{Document: document}})
	report := &workloadpb.Report{ClockMs: 1, Worker: &workloadpb.Worker{
		Id: "w", Address: "w", Pool: "p", Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
	}}
	call(t, processes[2].Execute, &workloadpb.Command{Change: &workloadpb.Command_Report{Report: report}})
	run := func(id string) {
		t.Helper()
		submit := &workloadpb.Submit{Host: "h", Path: "/q/" + id, Id: id, Steps: []*workloadpb.Step{{Count: 3, Need: &workloadpb.Resources{Cpu: 1000}}}}
		r := call(t, entry.Execute, &workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: submit}})
		assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			report.Sequence++
			call(t, entry.Execute, &workloadpb.Command{Change: &workloadpb.Command_Report{Report: report}})
			r = call(t, entry.Execute, &workloadpb.Command{Change: &workloadpb.Command_Inspect{
				Inspect: &workloadpb.Inspect{Host: "h", Path: "/q/" + id, Id: id},
			}})
			if r.State == "completed" {
				return
			}
			assert.Assert(t, time.Now().Before(end), "job %s is %s", id, r.State)
		}
	}
	run("00000000000000aa")
	for _, p := range processes {
		if p.Leading() {
			p.stop()
		}
	}
	run("00000000000000bb")
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	assert.Equal(t, len(fleet.starts), 6)
	for task, n := range fleet.starts {
		assert.Equal(t, n, 1, task)
	}
}

// Guards against a control process that was replaced at another address and counts against the quorum for good.
func TestReplacedControlProcessIsRemoved(t *testing.T) {
	fleet := &fakeFleet{began: time.Now(), runs: map[string]time.Time{}, starts: map[string]int{}}
	addresses := []string{freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)}
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var processes []*site.Control
	var stops []context.CancelFunc
	for i, a := range addresses {
		c, err := site.NewControl(site.ControlConfig{
			Name: fmt.Sprintf("core-%d", i), PeerAddress: a, Zone: "a", Seeds: addresses[:3], Bootstrap: i < 3,
			DataDirectory: t.TempDir(), RemoveLostAfter: time.Second, Port: fleet.port(), Log: logr.Discard(),
		})
		assert.NilError(t, err)
		pctx, stop := context.WithCancel(ctx)
		processes, stops = append(processes, c), append(stops, stop)
		group.Go(func() { assert.Check(t, c.Run(pctx)) })
	}
	await := func(voters int) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if n, err := processes[3].CountVoters(ctx); err == nil && n == voters {
				return
			}
			assert.Assert(t, time.Now().Before(end), "the group has not %d voters", voters)
		}
	}
	await(4)
	stops[0]()
	await(3)
}
