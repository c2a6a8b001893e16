package processtest

import (
	"bytes"
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
	"github.com/hibiscusroute/hibiscusroute/platform/wire"
)

// binary is the path of the program under test, which is built without the race detector because that multiplies the use
// of memory.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hibiscusroute-processtest-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // Leftover files are harmless.
	binary = filepath.Join(dir, "hibiscusroute")
	build := exec.Command("go", "build", "-o", binary, "github.com/hibiscusroute/hibiscusroute/cmd/hibiscusroute")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// limits are those in the settings of a process.
type limits struct{ memoryMiB, descriptors int }

func (l limits) with(descriptors int) limits { return limits{l.memoryMiB, descriptors} }

const (
	readyPort, servePort = 7000, 7001
	firstPort            = 7100
	entryMetricsPort     = firstPort + 3
	// startTimeout bounds the wait until a started process answers.
	startTimeout = 30 * time.Second
	// answerTimeout bounds the wait for the answer to the ordinary request, which is repeated as its client would.
	answerTimeout = 30 * time.Second
	// watchInterval is the time between samples of the use of memory and descriptors.
	watchInterval = 20 * time.Millisecond
	// A process that is slowed down runs for a part of each turn, which is the share of the processor of the smallest
	// instances, and of the smallest ones for control processes.
	slowTurn, entryTurn, controlTurn = 50 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond
	// tcpListen is the state of a listener in the kernel's table of sockets.
	tcpListen = "0A"
)

// process is a running process of the system.
type process struct {
	t               *testing.T
	ip              string
	limits          limits
	cmd             *exec.Cmd
	log             string
	exited          chan struct{}
	peakDescriptors atomic.Int64
	peakMemory      atomic.Int64 // of the resident memory and the unread bytes together
	peakUnread      atomic.Int64
}

// addresses hands out loopback addresses; those of test binaries that run at the same time differ by the process ID.
var addresses atomic.Int32

func newAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, addresses.Add(1))
}

func startProcess(t *testing.T, ip string, l limits, env []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, ip: ip, limits: l, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.log = filepath.Join(t.TempDir(), "log")
	out, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Env = out, out, append(os.Environ(), env...)
	assert.NilError(t, p.cmd.Start())
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait() // the test reports a process that has ended
		_ = out.Close()  // only the test reads the file
	}()
	go p.watch()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if the process has ended, which the test reports
		<-p.exited
	})
	return p
}

// watch records the peaks of descriptors and memory until the process ends.
func (p *process) watch() {
	for {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err == nil {
			raise(&p.peakDescriptors, int64(len(entries)))
		}
		unread := p.unreadBytes()
		raise(&p.peakUnread, unread)
		raise(&p.peakMemory, p.statusBytes("VmRSS:")+unread)
		select {
		case <-p.exited:
			return
		case <-time.After(watchInterval):
		}
	}
}

func raise(peak *atomic.Int64, n int64) {
	if n > peak.Load() {
		peak.Store(n)
	}
}

// statusBytes returns a field of the status of the process that is given in KiB, or 0 once the process has ended.
func (p *process) statusBytes(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == field {
			n, err := strconv.ParseInt(fields[1], 10, 64)
			assert.Check(p.t, err)
			return n << 10
		}
	}
	return 0
}

// unreadBytes returns what has arrived for the address of the process and was not read, including what the kernel keeps
// for connections that were not accepted yet.
func (p *process) unreadBytes() int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	assert.Check(p.t, err)
	ip := net.ParseIP(p.ip).To4()
	slices.Reverse(ip)
	prefix := fmt.Sprintf("%X:", []byte(ip))
	sum := int64(0)
	for line := range strings.Lines(string(data)) {
		// The fields are the number of the line, both addresses, the state and the sizes of the queues.
		if fields := strings.Fields(line); len(fields) > 4 && strings.HasPrefix(fields[1], prefix) && fields[3] != tcpListen {
			_, queue, _ := strings.Cut(fields[4], ":")
			n, err := strconv.ParseInt(queue, 16, 64)
			assert.Check(p.t, err)
			sum += n
		}
	}
	return sum
}

// slowDown stops the process for the rest of each turn until it ends, so that its senders are faster.
func (p *process) slowDown(runningTime time.Duration) {
	go func() {
		for {
			// Signals fail once the process has ended.
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(slowTurn - runningTime)
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			select {
			case <-p.exited:
				return
			case <-time.After(runningTime):
			}
		}
	}()
}

// check checks that the process is alive and within its limits.
func (p *process) check(when string) {
	p.t.Helper()
	select {
	case <-p.exited:
		log, err := os.ReadFile(p.log)
		p.t.Fatalf("%s: the process has ended: %v\n%s (%v)", when, p.cmd.ProcessState, log[max(0, len(log)-2000):], err)
	default:
	}
	resident, descriptors := p.statusBytes("VmHWM:")>>10, p.peakDescriptors.Load()
	memory, limit := p.peakMemory.Load()>>10, int64(p.limits.memoryMiB)<<10
	p.t.Logf("%s: peak memory %d KiB of %d KiB, resident alone %d KiB, unread alone %d KiB, peak descriptors %d of %d", when,
		memory, limit, resident, p.peakUnread.Load()>>10, descriptors, p.limits.descriptors)
	assert.Check(p.t, resident <= limit, "%s: peak resident memory is %d KiB, the limit is %d KiB", when, resident, limit)
	assert.Check(p.t, memory <= limit, "%s: resident memory and unread bytes peak at %d KiB, the limit is %d KiB", when,
		memory, limit)
	assert.Check(p.t, descriptors <= int64(p.limits.descriptors), "%s: %d descriptors were open, the limit is %d", when,
		descriptors, p.limits.descriptors)
}

// call is an ordinary request.
type call struct{ method, url, host, key, body string }

// await repeats the request on new connections until it gets the status.
func (c call) await(t *testing.T, status int, timeout time.Duration) {
	t.Helper()
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequestWithContext(t.Context(), c.method, c.url, strings.NewReader(c.body))
		assert.NilError(t, err)
		req.Host = c.host
		req.Header.Set("Authorization", "Bearer "+c.key)
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close() // it was read
		if last = fmt.Sprint(resp.Status, " ", err); err == nil && resp.StatusCode == status {
			return
		}
	}
	t.Fatalf("%s %s is not answered with %d: %s", c.method, c.url, status, last)
}

// document is the configuration of the platform with one queue.
const document = `{"version":7,"routes":[{"name":"r1","host":"h","pathPrefix":"/a/","timeoutMs":3000,"service":"s1"}],
"services":[{"name":"s1"}],"tenants":[{"name":"t1","apiKeys":["k1"],"weight":1}]}`

// startServe starts a process of the subcommand serve with the given role, "front" or "control".
func startServe(t *testing.T, role, ip, controlIP string, l limits) *process {
	t.Helper()
	dir := t.TempDir()
	s := &wire.Settings{
		NodeName: role + "-1", Zone: "zone-1", Serves: []string{role}, IP: ip, InternalPortRange: []int{firstPort, firstPort + 9},
		Seeds: []string{fmt.Sprintf("%s:%d", controlIP, servePort)}, Bootstrap: true, HeartbeatMS: 250,
	}
	if role == "control" {
		s.DataDir = filepath.Join(dir, "data")
		assert.NilError(t, os.Mkdir(s.DataDir, 0o700))
		s.Listen.Control = fmt.Sprintf("%s:%d", ip, servePort)
	} else {
		s.Listen.Front, s.Listen.Ready = fmt.Sprintf("%s:%d", ip, servePort), fmt.Sprintf("%s:%d", ip, readyPort)
	}
	s.Limits.Cores, s.Limits.MemoryMB, s.Limits.MaxFDs = 1, l.memoryMiB, l.descriptors
	s.Bounds.HoldMaxMS, s.Bounds.StopTimeoutMS, s.Bounds.LeaseMS, s.Bounds.GraceS = 6000, 400, 3000, 6
	s.Bounds.MaintenanceS, s.Bounds.MoveS, s.Bounds.StatusS = 2, 1.5, 120
	data, err := yaml.Marshal(s)
	assert.NilError(t, err)
	settings := filepath.Join(dir, "settings.yaml")
	assert.NilError(t, os.WriteFile(settings, data, 0o600))
	return startProcess(t, ip, l, nil, "serve", "--trusted-network", "--settings", settings)
}

// startControl starts a control process that forms a group alone, and submits a configuration.
func startControl(t *testing.T, l limits) *process {
	t.Helper()
	ip := newAddress()
	p := startServe(t, "control", ip, ip, l)
	call{method: http.MethodPost, url: p.url(servePort, "/Config.Replace"), body: document}.await(t, 200, startTimeout)
	return p
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

func (p *process) url(port int, path string) string { return "http://" + p.address(port) + path }

const (
	callerPort, endpointPort, operatorPort, peerPort = 9400, 9401, 9402, 9403
	nodeQueue                                        = "plates"
)

// startNode starts a process of the subcommand node that forms a group alone, submits a configuration, and returns the
// process and a key for its queue.
func startNode(t *testing.T, l limits) (*process, string) {
	t.Helper()
	ip := newAddress()
	env := []string{
		"HIBISCUSROUTE_MEMORY_MIB=" + strconv.Itoa(l.memoryMiB),
		"HIBISCUSROUTE_MAX_FILE_DESCRIPTORS=" + strconv.Itoa(l.descriptors),
	}
	args := []string{
		"node", "--name", "entry-1", "--availability-zone", "zone-1", "--voter", "--bootstrap",
		"--data-directory", filepath.Join(t.TempDir(), "data"), "--log-level", "error",
	}
	for name, port := range map[string]int{
		"caller": callerPort, "endpoint": endpointPort, "operator": operatorPort, "peer": peerPort,
	} {
		args = append(args, "--"+name+"-address", fmt.Sprintf("%s:%d", ip, port))
	}
	p := startProcess(t, ip, l, env, args...)
	call{method: http.MethodGet, url: p.url(operatorPort, "/-/ready")}.await(t, 200, startTimeout)
	client, err := operator.NewClient(operator.ClientConfig{Addresses: []string{p.address(operatorPort)}})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	cfg := &fleet.Configuration{
		Format: fleet.Format, Processes: 1,
		AvailabilityZones: []fleet.AvailabilityZone{{Name: "zone-1", Region: "region-1"}},
		Pools: []fleet.Pool{
			{Name: "spare", Spare: true, Budget: fleet.Budget{MaxUnavailable: 1}},
			{Name: "etching", Budget: fleet.Budget{MaxUnavailable: 1}},
		},
		Instances: []fleet.Instance{{
			Name: "worker-1", AvailabilityZone: "zone-1", Rack: "rack-1", Pool: "etching",
			Processors: 16, MemoryMiB: 65536, Slots: 8, Connections: 64,
		}},
		Teams: []fleet.Team{{Name: "field-crews", Share: 1, UpperLimit: 8}},
		Queues: []fleet.Queue{{
			Name: nodeQueue, Pool: "etching", Teams: []string{"field-crews"}, MaxRun: fleet.Duration(5 * time.Second),
			MaxWaiting: 1000, MaxWait: fleet.Duration(2 * time.Second),
		}},
		Waves: []fleet.Wave{}, Weights: fleet.Weights{Buffer: 1, RollOut: 1, Moves: 1, Share: 1},
	}
	text, err := cfg.Print()
	assert.NilError(t, err)
	_, err = client.Submit(ctx, operator.Submission{
		OperationID: operator.NewOperationID(), Document: bytes.TrimSpace(text), WaitInForce: true,
	})
	assert.NilError(t, err)
	secret, err := client.Grant(ctx, operator.NewOperationID(), "field-crews")
	assert.NilError(t, err)
	return p, secret.String()
}
