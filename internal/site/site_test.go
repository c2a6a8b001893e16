package site_test

import (
	"context"
	"fmt"
	"net"
	"slices"
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

// fakePlatform answers the orders of the leader, whichever process that is. Every run succeeds at once.
type fakePlatform struct {
	mu         sync.Mutex
	startedAt  time.Time
	runs       map[string]time.Time
	startCount map[string]int
	ended      []workload.EndedRun
}

func (f *fakePlatform) port() dispatch.Port {
	accepted := func() workload.Answer {
		return workload.Answer{Outcome: workload.Accepted, ClockMs: time.Since(f.startedAt).Milliseconds() + 1}
	}
	return dispatch.Port{
		RenewLease: func(ctx context.Context, h workload.RenewLease) workload.RenewLeaseResult {
			deadline := time.Now().Add(min(h.Wait, 100*time.Millisecond))
			for {
				f.mu.Lock()
				result := workload.RenewLeaseResult{Answer: accepted()}
				for _, e := range f.ended {
					if e.Number > h.AckedEnd {
						result.Ended = append(result.Ended, e)
					}
				}
				f.mu.Unlock()
				if len(result.Ended) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
					return result
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
				f.startCount[task]++
				f.ended = append(f.ended, workload.EndedRun{
					Number: int64(len(f.ended) + 1), Name: s.Name, How: workloadpb.How_HOW_DONE,
				})
			}
			return accepted()
		},
		StopRun: func(context.Context, workload.StopRun) workload.Answer { return accepted() },
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

// executeUntilAnswered repeats a command until the leader answers it, as clients do.
func executeUntilAnswered(
	t *testing.T, execute func(context.Context, *workloadpb.Command) (*workloadpb.Response, bool, error),
	m *workloadpb.Command,
) *workloadpb.Response {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r, _, err := execute(ctx, m)
		cancel()
		if err == nil && r.Verdict != workloadpb.Verdict_VERDICT_NOT_READY {
			return r
		}
	}
	t.Fatal("the command was not answered")
	return nil
}

// Guards against founders that must start in a certain order, against calls that only the leader itself accepts, and
// against jobs that are lost when the leader stops.
func TestDeploymentServesAfterTheLeaderStops(t *testing.T) {
	platform := &fakePlatform{startedAt: time.Now(), runs: map[string]time.Time{}, startCount: map[string]int{}}
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
			Name: fmt.Sprintf("core-%d", i), PeerAddress: a, Zone: "a", Seeds: seeds, Bootstrap: true,
			DataDirectory: t.TempDir(), Port: platform.port(), Log: logr.Discard(),
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
	entry, err := site.NewEntry(site.EntryConfig{
		Name: "front", PeerAddress: freeAddress(t), Seeds: seeds, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	group.Go(func() { assert.Check(t, entry.Run(ctx)) })

	document := &workloadpb.Document{
		Version: 1, Pools: []*workloadpb.Pool{{Name: "p"}},
		Queues: []*workloadpb.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Public: true, MaxAttempts: 2}},
	}
	executeUntilAnswered(t, processes[1].Execute, &workloadpb.Command{
		Change: &workloadpb.Command_Document{Document: document},
	})
	report := &workloadpb.Report{ClockMs: 1, Worker: &workloadpb.Worker{
		Id: "w", Address: "w", Pool: "p", Capacity: &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536},
	}}
	executeUntilAnswered(t, processes[2].Execute, &workloadpb.Command{Change: &workloadpb.Command_Report{Report: report}})
	runJob := func(id string) {
		t.Helper()
		submit := &workloadpb.Submit{
			Host: "h", Path: "/q/" + id, Id: id,
			Steps: []*workloadpb.Step{{Count: 3, Need: &workloadpb.Resources{Cpu: 1000}}},
		}
		r := executeUntilAnswered(t, entry.Execute, &workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: submit}})
		assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			report.Sequence++
			executeUntilAnswered(t, entry.Execute, &workloadpb.Command{Change: &workloadpb.Command_Report{Report: report}})
			r = executeUntilAnswered(t, entry.Execute, &workloadpb.Command{Change: &workloadpb.Command_Inspect{
				Inspect: &workloadpb.Inspect{Host: "h", Path: "/q/" + id, Id: id},
			}})
			if r.State == "completed" {
				return
			}
			assert.Assert(t, time.Now().Before(end), "job %s is %s", id, r.State)
		}
	}
	runJob("00000000000000aa")
	for _, p := range processes {
		if p.Leading() {
			p.stop()
		}
	}
	runJob("00000000000000bb")
	platform.mu.Lock()
	defer platform.mu.Unlock()
	assert.Equal(t, len(platform.startCount), 6)
	for task, n := range platform.startCount {
		assert.Equal(t, n, 1, task)
	}
}

// Guards against a control process that was replaced by one at another address and still counts for the quorum.
func TestReplacedControlProcessIsRemoved(t *testing.T) {
	platform := &fakePlatform{startedAt: time.Now(), runs: map[string]time.Time{}, startCount: map[string]int{}}
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
			DataDirectory: t.TempDir(), RemoveLostAfter: time.Second, Port: platform.port(), Log: logr.Discard(),
		})
		assert.NilError(t, err)
		pctx, stop := context.WithCancel(ctx)
		processes, stops = append(processes, c), append(stops, stop)
		group.Go(func() { assert.Check(t, c.Run(pctx)) })
	}
	awaitVoters := func(voters int) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if processes[3].Group().Voters == voters {
				return
			}
			assert.Assert(t, time.Now().Before(end), "the number of voters is not %d", voters)
		}
	}
	awaitVoters(4)
	stops[0]()
	awaitVoters(3)
}

// controlGroup runs control processes, of which the first three found the group.
type controlGroup struct {
	t         *testing.T
	cfg       site.ControlConfig // the settings that all processes share
	addresses []string
	dirs      []string
	processes []*site.Control
	stops     []func()
}

// start starts a process.
func (g *controlGroup) start(i int) {
	g.t.Helper()
	cfg := g.cfg
	cfg.Name, cfg.PeerAddress, cfg.DataDirectory = fmt.Sprintf("core-%d", i), g.addresses[i], g.dirs[i]
	cfg.Seeds, cfg.Bootstrap = g.addresses[:3], i < 3
	if i >= 3 {
		cfg.Seeds = g.runningAddresses()
	}
	c, err := site.NewControl(cfg)
	assert.NilError(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(g.t, c.Run(ctx))
	}()
	g.processes[i], g.stops[i] = c, func() {
		cancel()
		<-done
	}
	g.t.Cleanup(g.stops[i])
}

// runningAddresses returns the addresses of the processes that run.
func (g *controlGroup) runningAddresses() []string {
	var list []string
	for i, c := range g.processes {
		if c != nil {
			list = append(list, g.addresses[i])
		}
	}
	return list
}

// leader returns the number of the process that leads.
func (g *controlGroup) leader() int {
	g.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, c := range g.processes {
			if c != nil && c.Leading() {
				return i
			}
		}
	}
	g.t.Fatal("no process leads")
	return 0
}

func (g *controlGroup) stopLeader() {
	g.t.Helper()
	i := g.leader()
	g.stops[i]()
	g.processes[i] = nil
}

func (g *controlGroup) transferLeadership() {
	g.t.Helper()
	i := g.leader()
	assert.NilError(g.t, g.processes[i].TransferLeadership(g.t.Context()))
	for end := time.Now().Add(5 * time.Second); g.leader() == i; time.Sleep(20 * time.Millisecond) {
		assert.Assert(g.t, time.Now().Before(end), "%d still leads", i)
	}
}

// configure submits a configuration at the first process that runs.
func (g *controlGroup) configure(version uint64) {
	g.t.Helper()
	i := slices.IndexFunc(g.processes, func(c *site.Control) bool { return c != nil })
	executeUntilAnswered(g.t, g.processes[i].Execute, &workloadpb.Command{Change: &workloadpb.Command_Document{
		Document: &workloadpb.Document{Version: version, Pools: []*workloadpb.Pool{{Name: "p"}}},
	}})
}

// Guards against a control process that counts for the quorum beside its replacement: the loss of a second one, after
// the replacement has had the time to catch up, would leave no quorum for good. A change of leader in between must not
// prolong that.
func TestLossAfterReplacementKeepsQuorum(t *testing.T) {
	const replacedAfter = time.Second
	for _, tt := range []struct {
		name string
		// transferAfter is the time from the start of the replacement until the leadership is transferred, 0 if it isn't,
		// and lostAfter the time from then until the second loss.
		transferAfter, lostAfter time.Duration
	}{
		{name: "in a row", lostAfter: 4 * time.Second},
		{name: "with a change of leader", transferAfter: 1500 * time.Millisecond, lostAfter: 2500 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			platform := &fakePlatform{startedAt: time.Now(), runs: map[string]time.Time{}, startCount: map[string]int{}}
			g := &controlGroup{
				t: t, processes: make([]*site.Control, 4), stops: make([]func(), 4),
				cfg: site.ControlConfig{Zone: "a", Port: platform.port(), Log: logr.Discard()},
			}
			for range 4 {
				g.addresses, g.dirs = append(g.addresses, freeAddress(t)), append(g.dirs, t.TempDir())
			}
			for i := range 3 {
				g.start(i)
			}
			g.configure(1)
			g.stopLeader()
			time.Sleep(replacedAfter)
			g.start(3)
			if tt.transferAfter > 0 {
				time.Sleep(tt.transferAfter)
				g.transferLeadership()
			}
			time.Sleep(tt.lostAfter)
			g.stopLeader()
			g.configure(2)
		})
	}
}
