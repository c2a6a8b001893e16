package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes and of the stand-ins; each of them has a loopback address of its own.
const (
	frontPort   = 8340
	readyPort   = 8343
	controlPort = 8345
	cloudPort   = 8346
	workerPort  = 8347
	firstPort   = 7000
	lastPort    = 7015
)

// bounds are the values of the settings that the cases need.
type bounds struct {
	requireFencing bool
	heartbeatMS    int
	holdMaxMS      int
	leaseMS        int
	maintenanceS   float64
}

func smallDeployment() bounds {
	return bounds{heartbeatMS: 1500, holdMaxMS: 6000, leaseMS: 3000, maintenanceS: 2}
}

// fencedDeployment is a deployment whose cloud checks fencing tokens.
func fencedDeployment() bounds {
	b := smallDeployment()
	b.requireFencing = true
	return b
}

// process is a process of the deploy file.
type process struct {
	name, address string
	control       bool
	restarts      int
	mu            sync.Mutex
	cmd           *exec.Cmd
	ended         chan struct{}
}

// system is a small deployment: three control and two entry processes.
type system struct {
	rec       *record
	dir       string
	prefix    string // of the loopback addresses
	bounds    bounds
	processes []*process
	program   string
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newSystem chooses addresses whose ports are free.
func newSystem(rec *record, b bounds) (*system, error) {
	dir, err := os.MkdirTemp("", "drill-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/hibiscusroute")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, bounds: b, program: program}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)) //nolint:gosec // Any free address will do.
		if s.isFree() {
			break
		}
	}
	for i, zone := range zones {
		s.processes = append(s.processes, &process{name: "core-" + zone, address: s.address(10 + i), control: true})
	}
	for i := range 2 {
		s.processes = append(s.processes, &process{name: "front-" + zones[i], address: s.address(20 + i)})
	}
	return s, nil
}

func (s *system) address(n int) string { return fmt.Sprintf("%s%d", s.prefix, n) }

func (s *system) isFree() bool {
	for _, port := range []int{frontPort, controlPort, cloudPort, workerPort, firstPort, firstPort + 1} {
		ln, err := net.Listen("tcp", net.JoinHostPort(s.address(10), fmt.Sprint(port)))
		if err != nil {
			return false
		}
		if err := ln.Close(); err != nil {
			return false
		}
	}
	return true
}

// settings returns the settings file of a process.
func (s *system) settings(i int) string {
	p := s.processes[i]
	zone := zones[i%len(zones)]
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("nodeName: %q\nrole: %q\nmachineClass: %q", p.name, role(p), class(p))
	line("ip: %q\nzone: %q\nregion: \"region-1\"\nzones:", p.address, zone)
	for _, z := range zones {
		line("  %s: \"region-1\"", z)
	}
	if p.control {
		line("serves:\n  - \"control\"\nlisten:\n  control: \"%s:%d\"", p.address, controlPort)
		line("dataDir: %q\nlossCounts: true", filepath.Join(s.dir, p.name))
	} else {
		line("serves:\n  - \"front\"\nlisten:\n  front: \"%s:%d\"\n  ready: \"%s:%d\"", p.address, frontPort, p.address, readyPort)
		line("dataDir: null\nlossCounts: false")
	}
	line("internalPortRange:\n  - %d\n  - %d\nseeds:", firstPort, lastPort)
	for _, c := range s.processes {
		if c.control {
			line("  - \"%s:%d\"", c.address, controlPort)
		}
	}
	line("bootstrap: %t", p.restarts == 0)
	line("limits:\n  cpuShare: 0.6\n  cores: 1\n  memoryMb: 284\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 128")
	line("discovery: \"registry\"\nentry: \"vip\"\nheartbeatMs: %d", s.bounds.heartbeatMS)
	line("contracts: [base, drain, config, cost, recover, sched, tenants, quota, advice, upkeep, sharing]")
	line("faultTolerance:\n  machines: 1\n  zones: 0\n  regions: 0")
	line("bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 3000\n  ackTimeoutMs: 4000\n  catchUpS: 4\n  drainMs: 2000")
	line("  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n  maxSkewMs: 5000")
	line("  strictRevocation: false\n  revokeMs: 5000\n  quotaWindowS: 5\n  quotaOverage: 0.1\n  quotaSlack: 20\n  recoveryS: 12")
	line("  holdMaxMs: %d\n  stopTimeoutMs: 200\n  gangTimeoutMs: 3000\n  cancel_ms: 3000\n  visible_ms: 3000", s.bounds.holdMaxMS)
	line("  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  crossRackFactor: 1.5\n  checkpointIntervalS: 2\n  restoreMs: 100")
	line("  noticeMs: 4500\n  moveS: 1.5\n  maintenanceS: %g\n  requireFencing: %t", s.bounds.maintenanceS, s.bounds.requireFencing)
	line("  leaseMs: %d\n  thawSlackMs: 300\n  paceMs: 100\n  harmMs: 4000", s.bounds.leaseMS)
	line("config_mode: \"highest\"\ncontrolMode: \"rpc\"\nadvice: null")
	line("cloud:\n  address: \"%s:%d\"\n  ratePerS: 64.0\n  duties: []\n  dutyPerS: 64.0", s.address(1), cloudPort)
	return b.String()
}

func role(p *process) string {
	if p.control {
		return "control"
	}
	return "entry"
}

func class(p *process) string {
	if p.control {
		return "core"
	}
	return "front"
}

// start starts a process with the command of the deploy file.
func (s *system) start(i int) error {
	p := s.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := os.MkdirAll(filepath.Join(s.dir, p.name), 0o700); err != nil {
		return err
	}
	path := filepath.Join(s.dir, p.name+".yaml")
	if err := os.WriteFile(path, []byte(s.settings(i)), 0o600); err != nil { //nolint:gosec // In the folder of the run.
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(s.program, "serve", "--trusted-network") //nolint:gosec // The program of the deploy file.
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HIBISCUSROUTE_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, also if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	p.restarts++
	s.rec.add("process %s started, attempt %d", p.name, p.restarts)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		s.rec.add("process %s ended: %v", p.name, err)
		if err := out.Close(); err != nil {
			s.rec.add("cannot close the log of %s: %v", p.name, err)
		}
		close(ended)
	}(p.ended)
	return nil
}

func (s *system) startAll() error {
	for i := range s.processes {
		if err := s.start(i); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a process.
func (s *system) signal(i int, sig syscall.Signal) {
	p := s.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	s.rec.add("signal %s to %s", sig, p.name)
	if err := p.cmd.Process.Signal(sig); err != nil {
		s.rec.add("cannot signal %s: %v", p.name, err)
	}
}

// kill kills a process and waits for its end.
func (s *system) kill(i int) {
	s.signal(i, syscall.SIGKILL)
	<-s.processes[i].ended
}

// stopAll ends all processes and removes their files.
func (s *system) stopAll() {
	for i, p := range s.processes {
		if p.cmd != nil {
			s.signal(i, syscall.SIGCONT)
			s.signal(i, syscall.SIGKILL)
			<-p.ended
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs are kept in", s.dir)
		return
	}
	if err := os.RemoveAll(s.dir); err != nil { //nolint:gosec // The folder of the run.
		s.rec.add("cannot remove the folder of the run: %v", err)
	}
}

func (s *system) controlAddresses() []string {
	var list []string
	for _, p := range s.processes {
		if p.control {
			list = append(list, net.JoinHostPort(p.address, fmt.Sprint(controlPort)))
		}
	}
	return list
}

func (s *system) frontAddresses() []string {
	var list []string
	for _, p := range s.processes {
		if !p.control {
			list = append(list, net.JoinHostPort(p.address, fmt.Sprint(frontPort)))
		}
	}
	return list
}

// await calls done until it returns true or the time has passed.
func await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}
