package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/standin"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// benchProcess is a separate operating system process, so that CPU time and memory are measured per role.
type benchProcess struct {
	cmd  *exec.Cmd
	args []string
	ip   string
}

// benchFleet is a control group of 3 voters and further entry processes, each on its own loopback address.
type benchFleet struct {
	b         *testing.B
	bin       string
	processes []*benchProcess
	client    *operator.Client
	version   uint64
}

func startFleet(b *testing.B, n int) *benchFleet {
	f := &benchFleet{b: b, bin: filepath.Join(b.TempDir(), "hibiscusroute")}
	self, err := os.Executable()
	assert.NilError(b, err)
	// testscript.Main makes the test binary run main when it is called by this name.
	assert.NilError(b, os.Symlink(self, f.bin))
	dir := b.TempDir()
	var addresses []string
	for i := 1; i <= n; i++ {
		ip := fmt.Sprintf("127.0.2.%d", i)
		args := []string{
			"node", "--name", fmt.Sprintf("entry-%d", i), "--availability-zone", "zone-" + string("abc"[(i-1)%3]),
			"--caller-address", ip + ":9400", "--endpoint-address", ip + ":9401", "--operator-address", ip + ":9402",
			"--peer-address", ip + ":9403", "--log-level", "error",
		}
		if i <= 3 {
			args = append(args, "--voter", "--data-directory", filepath.Join(dir, strconv.Itoa(i)))
		}
		if i == 1 {
			args = append(args, "--bootstrap")
		} else {
			args = append(args, "--join", "127.0.2.1:9403")
		}
		p := &benchProcess{args: args, ip: ip}
		f.processes = append(f.processes, p)
		addresses = append(addresses, ip+":9402")
		f.start(p)
		f.waitReady(p)
	}
	b.Cleanup(func() {
		for _, p := range f.processes {
			f.kill(p)
		}
	})
	f.client, err = operator.NewClient(operator.ClientConfig{Addresses: addresses, RetryDelay: 5 * time.Millisecond})
	assert.NilError(b, err)
	f.waitFor("3 voters", func() bool {
		list, err := f.client.Members(b.Context())
		return err == nil && len(list) == 3 &&
			!slices.ContainsFunc(list, func(m operator.Member) bool { return m.Role != "voter" })
	})
	return f
}

func (f *benchFleet) start(p *benchProcess) {
	p.cmd = exec.Command(f.bin, p.args...)
	p.cmd.Stderr = os.Stderr
	assert.NilError(f.b, p.cmd.Start())
}

func (f *benchFleet) kill(p *benchProcess) {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (f *benchFleet) waitFor(what string, done func() bool) {
	for limit := time.Now().Add(30 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			f.b.Fatalf("no %s within 30 s", what)
		}
	}
}

func (f *benchFleet) waitReady(p *benchProcess) {
	f.waitFor("lease of "+p.ip, func() bool {
		resp, err := http.Get("http://" + p.ip + ":9402/-/ready")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
}

// submit submits a configuration and returns the times until it was accepted and in force.
func (f *benchFleet) submit(cfg *fleet.Configuration) (accepted, inForce time.Duration) {
	doc, err := cfg.Print()
	assert.NilError(f.b, err)
	started := time.Now()
	a, err := f.client.Submit(f.b.Context(), operator.Submission{BaseVersion: f.version, Document: doc, WaitInForce: true})
	assert.NilError(f.b, err)
	assert.Equal(f.b, a.InForceError, "")
	f.version = a.Version
	inForce = time.Duration(*a.InForceMs) * time.Millisecond
	return time.Since(started), inForce
}

// sample holds metrics of a process. The counts of endpoints, requests and rejections show that the load ran.
type sample struct{ cpuSeconds, peerBytes, residentBytes, heapBytes, liveEndpoints, requests, rejections float64 }

func (f *benchFleet) sample(p *benchProcess) sample {
	resp, err := http.Get("http://" + p.ip + ":9402/metrics")
	assert.NilError(f.b, err)
	defer func() { _ = resp.Body.Close() }()
	values, rejections := map[string]float64{}, 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if name, text, ok := strings.Cut(lines.Text(), " "); ok {
			values[name], _ = strconv.ParseFloat(text, 64)
			if strings.HasPrefix(name, "hibiscusroute_rejections_total") {
				rejections += values[name]
			}
		}
	}
	return sample{
		cpuSeconds:    values["process_cpu_seconds_total"],
		peerBytes:     values["hibiscusroute_peer_sent_bytes"] + values["hibiscusroute_peer_received_bytes"],
		residentBytes: values["process_resident_memory_bytes"], heapBytes: values["go_memstats_heap_inuse_bytes"],
		liveEndpoints: values["hibiscusroute_endpoints_live"], rejections: rejections,
		requests: values[`hibiscusroute_requests_total{queue="`+kerneltest.Queue(0)+`"}`],
	}
}

// measure prints rates over a time span, separately for the leader, the other voters and the entry processes.
func (f *benchFleet) measure(label string, span time.Duration) {
	var before []sample
	for _, p := range f.processes {
		before = append(before, f.sample(p))
	}
	time.Sleep(span)
	sum, count := map[string]sample{}, map[string]float64{}
	var all sample
	for i, p := range f.processes {
		role := "entry"
		if i == 0 {
			role = "leader"
		} else if i < 3 {
			role = "voter"
		}
		s, t := f.sample(p), sum[role]
		all.liveEndpoints += s.liveEndpoints / float64(len(f.processes))
		all.requests += s.requests - before[i].requests
		all.rejections += s.rejections - before[i].rejections
		t.cpuSeconds += s.cpuSeconds - before[i].cpuSeconds
		t.peerBytes += s.peerBytes - before[i].peerBytes
		t.residentBytes += s.residentBytes
		t.heapBytes += s.heapBytes
		sum[role] = t
		count[role]++
	}
	var lines strings.Builder // Printed directly, since the testing package cuts the log of a benchmark after 10 lines.
	for _, role := range sortedKeys(sum) {
		s, n := sum[role], count[role]
		fmt.Fprintf(&lines, "\n  %s %s: %.2f %% of a core, %.2f KB/s, resident %.1f MB, heap in use %.1f MB", label, role,
			100*s.cpuSeconds/n/span.Seconds(), s.peerBytes/n/span.Seconds()/1000, s.residentBytes/n/1e6, s.heapBytes/n/1e6)
	}
	fmt.Printf("%s\n  %s: %.0f endpoints live, %.0f requests and %.0f rejections per second\n",
		lines.String()[1:], label, all.liveEndpoints, all.requests/span.Seconds(), all.rejections/span.Seconds())
}

func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)/2]
}

// BenchmarkFleet prints the resources that the processes of fleets of several sizes use. In the idle fleet no endpoint
// announces itself. The loaded one adds announcements of all instances and 200 requests per second over all processes.
// The changing one adds a configuration change per second.
func BenchmarkFleet(b *testing.B) {
	for _, bench := range []struct {
		processes int
		shape     kerneltest.FleetShape
	}{
		{3, kerneltest.FleetShape{Pools: 5, PerPool: 10, Teams: 6}},
		{9, kerneltest.FleetShape{Pools: 5, PerPool: 10, Teams: 6}},
		{9, kerneltest.FleetShape{Pools: 25, PerPool: 10, Teams: 40}},
		{9, kerneltest.FleetShape{Pools: 100, PerPool: 10, Teams: 170}},
		{18, kerneltest.FleetShape{Pools: 100, PerPool: 10, Teams: 170}},
	} {
		b.Run(fmt.Sprintf(
			"processes=%d/instances=%d", bench.processes, bench.shape.Pools*bench.shape.PerPool,
		), func(b *testing.B) {
			for b.Loop() {
				s := bench.shape
				s.Processors, s.MemoryMiB, s.Budget = 16, 64<<10, fleet.Budget{MaxUnavailable: 1}
				measureFleet(startFleet(b, bench.processes), s.Configuration())
			}
		})
	}
}

func measureFleet(f *benchFleet, cfg *fleet.Configuration) {
	b := f.b
	for i := range cfg.Queues {
		cfg.Queues[i].Teams, cfg.Queues[i].Open, cfg.Queues[i].OpenTeam = nil, true, kerneltest.Team(0)
		cfg.Queues[i].MaxRun = fleet.Duration(5 * time.Second)
	}
	cfg.Processes = len(f.processes)
	f.submit(cfg)
	time.Sleep(5 * time.Second)
	f.measure("idle", 10*time.Second)
	var calls, inForce []time.Duration
	for i := range 20 {
		cfg.Queues[0].MaxWaiting = 100 + i
		call, force := f.submit(cfg)
		calls, inForce = append(calls, call), append(inForce, force)
	}
	fmt.Printf("  20 configurations: in force after median %v, longest %v; call with wait median %v, longest %v\n",
		median(inForce), inForce[len(inForce)-1],
		median(calls).Round(time.Millisecond), calls[len(calls)-1].Round(time.Millisecond))
	ctx, stop := context.WithCancel(b.Context())
	var group sync.WaitGroup
	f.startLoad(ctx, &group, cfg)
	time.Sleep(12 * time.Second)
	f.measure("loaded", 10*time.Second)
	runEvery(ctx, &group, time.Second, func(i int) {
		cfg.Queues[0].MaxWaiting = 200 + i%100
		f.submit(cfg)
	})
	time.Sleep(2 * time.Second)
	f.measure("changing", 10*time.Second)
	stop()
	group.Wait()
	f.measureFailover()
}

func (f *benchFleet) startLoad(ctx context.Context, group *sync.WaitGroup, cfg *fleet.Configuration) {
	for i, in := range cfg.Instances {
		p := f.processes[i%len(f.processes)]
		address := "127.0.2.1:1"
		if i < 10 { // Instances of the first pool, which serves the requests.
			srv := &http.Server{ReadHeaderTimeout: time.Second}
			ln := listenLoopback(f.b)
			address = ln.Addr().String()
			e := standin.New(standin.Config{
				Instance: in.Name, Address: address, Behavior: standin.Behavior{Size: 1024},
				Announce: []string{"http://" + p.ip + ":9401/announce"},
			})
			srv.Handler = e
			go func() { _ = srv.Serve(ln) }()
			f.b.Cleanup(func() { _ = srv.Close() })
			group.Go(func() { e.Run(ctx) })
			continue
		}
		e := standin.New(standin.Config{
			Instance: in.Name, Address: address, Announce: []string{"http://" + p.ip + ":9401/announce"},
		})
		group.Go(func() { e.Run(ctx) })
	}
	for range 4 {
		runEvery(ctx, group, 20*time.Millisecond, func(i int) {
			resp, err := http.Get("http://" + f.processes[i%len(f.processes)].ip + ":9400/queues/" + kerneltest.Queue(0) + "/x")
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}

func runEvery(ctx context.Context, group *sync.WaitGroup, d time.Duration, do func(i int)) {
	group.Go(func() {
		t := time.NewTicker(d)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				do(i)
			}
		}
	})
}

// measureFailover measures the rate of 1,000 changes, the time from the kill of the leader to the next accepted change,
// and the time that the killed process takes to restart as a voter.
func (f *benchFleet) measureFailover() {
	b := f.b
	started := time.Now()
	var group sync.WaitGroup
	for w := range 10 {
		group.Go(func() {
			for i := range 100 {
				if _, err := f.client.Grant(b.Context(), fmt.Sprintf("grant-%d-%d", w, i), kerneltest.Team(0)); err != nil {
					b.Error(err)
				}
			}
		})
	}
	group.Wait()
	fmt.Printf("  1,000 changes by 10 callers: %.0f per second\n", 1000/time.Since(started).Seconds())
	other, err := operator.NewClient(operator.ClientConfig{
		Addresses: []string{f.processes[1].ip + ":9402"}, RetryDelay: 5 * time.Millisecond, AttemptTimeout: 10 * time.Second,
	})
	assert.NilError(b, err)
	f.kill(f.processes[0])
	started = time.Now()
	_, err = other.Grant(b.Context(), "after-failover", kerneltest.Team(0))
	assert.NilError(b, err)
	fmt.Printf("  kill of the leader until the next change was accepted: %v\n", time.Since(started).Round(time.Millisecond))
	p := f.processes[0]
	p.args = slices.DeleteFunc(p.args, func(a string) bool { return a == "--bootstrap" })
	started = time.Now()
	f.start(p)
	f.waitReady(p)
	fmt.Printf("  restart of a voter after 1,000 changes until it serves: %v\n", time.Since(started).Round(time.Millisecond))
}

func listenLoopback(b *testing.B) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	return ln
}
