package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the first deployment on the users' page SYSTEM.md.
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
	"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "strictRevocation": false,
	"revokeMs": 5000, "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20, "recoveryS": 12, "holdMaxMs": 6000,
	"stopTimeoutMs": 200, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
	"status_s": 120, "crossRackFactor": 1.5, "checkpointIntervalS": 2, "restoreMs": 100, "noticeMs": 4500, "moveS": 1.5,
	"maintenanceS": 2, "requireFencing": false, "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000,
}

const (
	heartbeatMs = 1500
	// frontCount is the number of entry machines, as on the users' first site.
	frontCount = 8
	// firstInternal is the offset of the first internal port from the port of control.
	firstInternal = 10
)

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path) //nolint:gosec // The caller chooses the folder of the case.
	return &recorder{begin: time.Now(), file: f}, err
}

// taskName is the name of a subtask on the wire, ID.K.STEP.INDEX, parts of which can look like an address.
var taskName = regexp.MustCompile(`([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)`)

// logf writes a line. The names of subtasks get slashes instead of points, so that only addresses look like addresses.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.begin).Seconds()) +
		taskName.ReplaceAllString(fmt.Sprintf(format, args...), "$1/$2/$3/$4")
	_, _ = fmt.Fprintln(r.file, line) // A lost line of the record doesn't change the result.
}

// process is a process of the product.
type process struct {
	name, ip, dir string
	settings      map[string]any
	cmd           *exec.Cmd
	done          chan struct{}
}

// deployment is a small deployment of the product, with its stand-ins.
type deployment struct {
	rec      *recorder
	dir      string
	network  string // first two numbers of all addresses
	port     int    // of control
	controls []*process
	fronts   []*process
	workers  []*worker
	cloud    string
	pool     string

	mu      sync.Mutex
	leader  string
	stopped bool
	reads   int             // of the list of machines
	upkeeps map[string]bool // machines whose maintenance has begun
	wg      sync.WaitGroup
}

var errNoPorts = errors.New("no free ports on loopback")

// newDeployment prepares three machines for control and the entry machines.
func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, pool: "desk", upkeeps: map[string]bool{}}
	for range 50 {
		d.network = fmt.Sprintf("127.%d", 20+rand.IntN(200)) //nolint:gosec // Any free address will do.
		d.port = 20000 + 50*rand.IntN(200)                   //nolint:gosec // Any free port will do.
		if d.isFree(d.port) && d.isFree(d.port+1) && d.isFree(d.port+2) && d.isFree(d.port+firstInternal) {
			return d, nil
		}
	}
	return nil, errNoPorts
}

func (d *deployment) isFree(port int) bool {
	for _, n := range []string{"1.1", "1.2", "1.3", "1.4", "2.1", "2.8", "4.1"} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%s:%d", d.network, n, port))
		if err != nil {
			return false
		}
		_ = l.Close() // It was only opened to see whether the port is free.
	}
	return true
}

func (d *deployment) controlAddress(n int) string {
	return fmt.Sprintf("%s.1.%d:%d", d.network, n+1, d.port)
}
func (d *deployment) frontAddress(n int) string {
	return fmt.Sprintf("%s.2.%d:%d", d.network, n+1, d.port+1)
}

// start starts the platform's list of machines and all processes.
func (d *deployment) start() error {
	d.cloud = fmt.Sprintf("%s.4.1:%d", d.network, d.port)
	l, err := net.Listen("tcp", d.cloud)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(d.serveCloud), ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = srv.Serve(l) }() // It ends with the harness.
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, d.controlAddress(i))
	}
	for i := range 3 {
		if err := d.addControl(i, seeds); err != nil {
			return err
		}
	}
	for i := range frontCount {
		ip := fmt.Sprintf("%s.2.%d", d.network, i+1)
		p := d.newProcess(fmt.Sprintf("front-%d", i+1), ip, "front", "front", seeds)
		p.settings["listen"] = map[string]any{
			"front": d.frontAddress(i), "ready": fmt.Sprintf("%s:%d", ip, d.port+2),
		}
		d.fronts = append(d.fronts, p)
	}
	for _, p := range append(append([]*process{}, d.controls...), d.fronts...) {
		if err := d.launch(p); err != nil {
			return err
		}
	}
	return nil
}

// addControl prepares machine n for control, with an empty disk.
func (d *deployment) addControl(n int, seeds []string) error {
	ip := fmt.Sprintf("%s.1.%d", d.network, n+1)
	p := d.newProcess(fmt.Sprintf("core-%d", n+1), ip, "core", "control", seeds)
	p.settings["listen"] = map[string]any{"control": d.controlAddress(n)}
	p.settings["dataDir"] = filepath.Join(d.dir, p.name)
	p.settings["lossCounts"] = true
	d.controls = append(d.controls, p)
	return os.Mkdir(filepath.Join(d.dir, p.name), 0o700) //nolint:gosec // The folder is temporary.
}

// loseDisk empties the disk of a process that has ended.
func (d *deployment) loseDisk(p *process) error {
	d.rec.logf("%s loses its disk", p.name)
	dir := filepath.Join(d.dir, p.name)
	if err := os.RemoveAll(dir); err != nil { //nolint:gosec // The folder is temporary.
		return err
	}
	return os.Mkdir(dir, 0o700) //nolint:gosec // The folder is temporary.
}

func (d *deployment) kill(p *process) {
	d.signal(p, syscall.SIGKILL)
	<-p.done
}

func (d *deployment) newProcess(name, ip, class, serves string, seeds []string) *process {
	return &process{name: name, ip: ip, dir: d.dir, settings: map[string]any{
		"nodeName": name, "role": map[string]string{"control": "control", "front": "entry"}[serves],
		"machineClass": class, "serves": []string{serves}, "ip": ip, "zone": "bole", "region": "addis",
		"zones":             map[string]string{"bole": "addis"},
		"internalPortRange": []int{d.port + firstInternal, d.port + firstInternal + 15},
		"seeds":             seeds, "bootstrap": true, "lossCounts": false,
		"limits": map[string]any{
			"cpuShare": 0.6, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128,
		},
		"discovery": "registry", "entry": "vip", "heartbeatMs": heartbeatMs,
		"contracts": []string{
			"base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "advice", "upkeep", "sharing",
		},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":         bounds, "config_mode": "highest", "controlMode": "rpc", "advice": d.cloud,
		"cloud": map[string]any{"address": d.cloud, "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0},
	}}
}

// launch starts a process with the command of the deploy file.
func (d *deployment) launch(p *process) error {
	data, err := json.MarshalIndent(p.settings, "", "  ") // JSON is YAML, too.
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, p.name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	cmd := exec.Command("target/hibiscusroute", "serve", "--trusted-network")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HIBISCUSROUTE_CONFIG=" + path}
	out, in, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = in, in
	err = cmd.Start()
	_ = in.Close() // The process has its own copy.
	if err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	d.rec.logf("started %s", p.name)
	d.wg.Go(func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			d.readLog(p, lines.Text())
		}
		_ = out.Close()
		_ = cmd.Wait() // The record shows how the process was ended.
		close(p.done)
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.stopped {
			d.rec.logf("%s ended: %v", p.name, cmd.ProcessState)
		}
	})
	return nil
}

// readLog reads who leads from the log of a process, and copies the lines that tell what the leader thinks of workers.
func (d *deployment) readLog(p *process, line string) {
	if strings.Contains(line, "started leading the control group") {
		d.mu.Lock()
		d.leader = p.name
		d.mu.Unlock()
	}
	for _, text := range []string{
		"leading", "incarnation", "worker registered", "assigned tasks", "job ended", "not assigned", "giving up",
		"worker rejected", "run ended", "worker failed", "membership change",
	} {
		if strings.Contains(line, text) {
			d.rec.logf("log of %s: %s", p.name, line)
			return
		}
	}
}

func (d *deployment) leaderName() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// follower returns a control process that doesn't lead, and its number.
func (d *deployment) follower() (*process, int) {
	name := d.leaderName()
	for i, p := range d.controls {
		if p.name != name {
			return p, i
		}
	}
	return nil, -1
}

func (d *deployment) signal(p *process, s syscall.Signal) {
	d.rec.logf("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s) // It fails only if the process has ended, which the record shows.
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	for _, w := range d.workers {
		w.crash()
	}
	for _, p := range append(append([]*process{}, d.controls...), d.fronts...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	_ = os.RemoveAll(d.dir) //nolint:gosec // A folder that stays does no harm.
}

// serveCloud answers reads of the list of machines, and carries out maintenance. The cases move no machine.
func (d *deployment) serveCloud(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/machines":
		list := []map[string]any{}
		d.mu.Lock()
		d.reads++
		for _, o := range d.workers {
			if row := o.machine(); row != nil {
				list = append(list, row)
			}
		}
		n := d.reads
		d.mu.Unlock()
		d.rec.logf("cloud: read %d of the list, %d machines", n, len(list))
		writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": ""})
	case "/machine-upkeep":
		d.serveUpkeep(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// serveUpkeep begins the maintenance of a machine, unless it has been done.
func (d *deployment) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	o := struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}{}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.workers {
		if "m-"+m.name != o.Machine {
			continue
		}
		d.rec.logf("cloud: upkeep of %s for wave %d is asked for, done before: %v", o.Machine, o.Wave, d.upkeeps[o.Machine])
		if d.upkeeps[o.Machine] {
			writeJSON(w, http.StatusOK, map[string]any{})
			return
		}
		d.upkeeps[o.Machine] = true
		m.crash()
		m.setState("upkeep")
		time.AfterFunc(2*time.Second, m.bootAnew)
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

func (d *deployment) countReads() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reads
}

func (d *deployment) hasUpkeep(machine string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upkeeps[machine]
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The caller has gone if it fails.
}
