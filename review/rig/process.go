package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each has a loopback address of its own.
const (
	controlPort = 8345
	frontPort   = 8340
	readyPort   = 8343
	cloudPort   = 8344
	firstPort   = 7000
	lastPort    = 7015
)

// grace is the time between SIGTERM and SIGKILL, as in the settings.
const grace = 6 * time.Second

// process is a process of the deploy file.
type process struct {
	name, ip string
	control  bool
	settings string // path

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  io.Writer
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// settingsText returns the settings file of a process, which is that of a small deployment.
func (r *rig) settingsText(p *process, bootstrap bool) string {
	var seeds strings.Builder
	for _, c := range r.controls {
		fmt.Fprintf(&seeds, "  - %q\n", c.address(controlPort))
	}
	serves, listen, dataDir := "front", fmt.Sprintf("  front: %q\n  ready: %q\n", p.address(frontPort), p.address(readyPort)), "null"
	if p.control {
		serves, listen = "control", fmt.Sprintf("  control: %q\n", p.address(controlPort))
		dataDir = fmt.Sprintf("%q", filepath.Join(r.dir, p.name))
	}
	return fmt.Sprintf(`nodeName: %q
role: %q
machineClass: %q
serves:
  - %q
ip: %q
zone: "z1"
region: "r1"
zones:
  z1: "r1"
listen:
%sinternalPortRange:
  - %d
  - %d
seeds:
%sbootstrap: %t
lossCounts: %t
limits:
  cpuShare: 0.6
  cores: 1
  memoryMb: 284
  maxFds: 4096
  linkMbps: 1000.0
  diskMb: 128
dataDir: %s
discovery: "registry"
entry: "vip"
heartbeatMs: %d
faultTolerance:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  contactMs: 3000
  ackTimeoutMs: 4000
  catchUpS: 4
  drainMs: %d
  graceS: 6
  configApplyMs: 2000
  maxSkewMs: 5000
  recoveryS: 12
  holdMaxMs: %d
  stopTimeoutMs: %d
  gangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  crossRackFactor: 1.5
  checkpointIntervalS: 2
  restoreMs: 100
  noticeMs: 4500
  moveS: 1.5
  maintenanceS: 2
  requireFencing: false
  leaseMs: 3000
  paceMs: 100
config_mode: "highest"
controlMode: "rpc"
advice: %q
cloud:
  address: %q
  ratePerS: 64.0
  duties: []
  dutyPerS: 64.0
`, p.name, serves, serves, serves, p.ip, listen, firstPort, lastPort, seeds.String(), bootstrap, p.control, dataDir,
		heartbeat.Milliseconds(), drainTime.Milliseconds(), maxLease.Milliseconds(), stopTimeout.Milliseconds(),
		r.cloudAddress(), r.cloudAddress())
}

// newProcess adds a process with a settings file.
func (r *rig) newProcess(name string, n int, control bool) (*process, error) {
	kind := 2
	if control {
		kind = 1
	}
	p := &process{
		name: name, ip: fmt.Sprintf("%s.%d.%d", r.network, kind, n), control: control,
		settings: filepath.Join(r.dir, name+".yaml"),
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log")) //nolint:gosec // The folder is a temporary one.
	if err != nil {
		return nil, err
	}
	p.log = log
	if control {
		return p, os.MkdirAll(filepath.Join(r.dir, name), 0o700) //nolint:gosec // The folder is a temporary one.
	}
	return p, nil
}

// start starts a process with the command of the deploy file.
func (r *rig) start(p *process, bootstrap bool) error {
	//nolint:gosec // The folder is a temporary one.
	if err := os.WriteFile(p.settings, []byte(r.settingsText(p, bootstrap)), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(r.program, "serve", "--trusted-network") //nolint:gosec // The program is the one under review.
	cmd.Env = append(os.Environ(), "HIBISCUSROUTE_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait() // Its log tells how it ended.
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
	r.rec.printf("%s started, pid %d", p.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to a process that was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if the process has ended
	}
}

// stop ends a process that was started.
func (p *process) stop() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-done
	}
}

// kill kills a process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// leads reports whether the log of a control process says that it leads.
func (r *rig) leads(p *process) bool {
	data, err := os.ReadFile(filepath.Join(r.dir, p.name+".log")) //nolint:gosec // The folder is a temporary one.
	if err != nil {
		return false
	}
	text := string(data)
	return strings.LastIndex(text, "started leading the control group") > strings.LastIndex(text, "stopped leading the control group")
}

// leader returns the control process that led last, nil if none did.
func (r *rig) leader() *process {
	for _, p := range r.controls {
		if r.leads(p) {
			return p
		}
	}
	return nil
}
