// Package kerneltest runs a kernel in virtual time for the tests of plug-ins.
package kerneltest

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Tick is the interval at which the leader decides.
const Tick = 100 * time.Millisecond

// TB is the part of testing.TB and rapid.T that a harness needs.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
}

var _ TB = (testing.TB)(nil)

// Main runs the tests of a package with a fixed seed and number of rapid checks.
// Flags on the command line override both.
func Main(m *testing.M, checks int) {
	for name, value := range map[string]string{
		"rapid.seed": "20260701", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// Harness simulates a control group that consists of its leader only: each command commits when it is proposed.
type Harness struct {
	// Kernel is the kernel of the current leader.
	Kernel *kernel.Kernel
	// Now is the virtual time.
	Now time.Duration
	// Index is the index of the last applied command.
	Index uint64
	// OnNewLeader is called with each new leader's kernel; it may be nil.
	OnNewLeader func(k *kernel.Kernel)
	// RunAction runs an action; it may be nil.
	RunAction func(a kernel.Action)
	// OnApplied is called after each command; it may be nil.
	OnApplied func(c kernel.Command, r kernel.Result)
	// FailOverAfter is the number, counted from 1, of the command after which the leader fails over. FailOverBefore is the
	// number of the command that is lost because the leader fails over before it commits. Zero means never.
	FailOverAfter, FailOverBefore uint64
	// Proposed counts the commands decided by the leaders.
	Proposed uint64

	tb       TB
	replicas []replica
}

type replica struct {
	kernel   *kernel.Kernel
	viewOnly bool
}

// AddReplica returns a kernel with the leader's state that follows every later command; with viewOnly it is the kernel
// of an entry process.
func (h *Harness) AddReplica(viewOnly bool) *kernel.Kernel {
	h.tb.Helper()
	k, err := kernel.New(kernel.Config{
		ViewOnly: viewOnly, Log: logr.Discard(),
		OnViolation: func(plugin string, err error) {
			h.tb.Fatalf("invariant of plug-in %s of a replica: %v", plugin, err)
		},
	})
	if err != nil {
		h.tb.Fatalf("build replica: %v", err)
	}
	data, err := h.Kernel.Snapshot(viewOnly)
	if err != nil {
		h.tb.Fatalf("snapshot: %v", err)
	}
	if err := k.Restore(data); err != nil {
		h.tb.Fatalf("restore replica: %v", err)
	}
	h.replicas = append(h.replicas, replica{kernel: k, viewOnly: viewOnly})
	return k
}

// RequireEqual fails the test when the state of the replica differs from that of the leader.
func (h *Harness) RequireEqual(replica *kernel.Kernel, viewOnly bool) {
	h.tb.Helper()
	want, err := h.Kernel.Snapshot(viewOnly)
	if err != nil {
		h.tb.Fatalf("snapshot: %v", err)
	}
	got, err := replica.Snapshot(viewOnly)
	if err != nil {
		h.tb.Fatalf("snapshot of replica: %v", err)
	}
	if !bytes.Equal(want, got) {
		h.tb.Fatalf("replica differs from leader after command %d", h.Index)
	}
}

// New returns a harness with an empty kernel.
func New(tb TB, onNewLeader func(k *kernel.Kernel)) *Harness {
	h := &Harness{tb: tb, OnNewLeader: onNewLeader}
	h.Kernel = h.buildKernel()
	h.Kernel.BecomeLeader(h.Now)
	return h
}

func (h *Harness) buildKernel() *kernel.Kernel {
	h.tb.Helper()
	k, err := kernel.New(kernel.Config{
		Log:         logr.Discard(),
		OnViolation: func(plugin string, err error) { h.tb.Fatalf("invariant of plug-in %s: %v", plugin, err) },
	})
	if err != nil {
		h.tb.Fatalf("build kernel: %v", err)
	}
	if h.OnNewLeader != nil {
		h.OnNewLeader(k)
	}
	return k
}

// Apply commits a command and passes it to the replicas.
func (h *Harness) Apply(c kernel.Command) kernel.Result {
	h.Index++
	c.At = time.Duration(h.Index) * time.Millisecond
	res := h.Kernel.Apply(h.Index, c)
	changes, applyCommand, err := h.Kernel.Changes(c.Plugin)
	if err != nil {
		h.tb.Fatalf("changes for entry processes: %v", err)
	}
	for _, other := range h.replicas {
		switch {
		case !other.viewOnly:
			other.kernel.Apply(h.Index, c)
			if _, _, err := other.kernel.Changes(c.Plugin); err != nil {
				h.tb.Fatalf("changes of a replica: %v", err)
			}
			continue
		case applyCommand:
			other.kernel.Apply(h.Index, c)
		default:
			other.kernel.Skip(h.Index)
		}
		if err := other.kernel.Merge(changes); err != nil {
			h.tb.Fatalf("merge changes: %v", err)
		}
	}
	if h.OnApplied != nil {
		h.OnApplied(c, res)
	}
	return res
}

// MustApply commits a command that must succeed.
func (h *Harness) MustApply(c kernel.Command, err error) kernel.Result {
	h.tb.Helper()
	if err != nil {
		h.tb.Fatalf("build command: %v", err)
	}
	res := h.Apply(c)
	if res.Err != nil {
		h.tb.Fatalf("command %s: %v", c.Plugin, res.Err)
	}
	return res
}

// Configure submits a configuration.
func (h *Harness) Configure(cfg *fleet.Configuration) {
	h.tb.Helper()
	doc, err := cfg.Print()
	if err != nil {
		h.tb.Fatalf("print configuration: %v", err)
	}
	state, _ := kernel.Lookup[*configuration.State](h.Kernel, configuration.Name)
	h.MustApply(configuration.SubmitCommand("", state.Version(), doc))
}

// Observe passes an event to the leader and commits the resulting decision.
func (h *Harness) Observe(ev kernel.Event) {
	h.Kernel.Observe(h.Now, ev)
	h.commitDecision()
}

// Advance moves the virtual time forward by d, tick by tick.
func (h *Harness) Advance(d time.Duration) {
	for end := h.Now + d; h.Now < end; {
		h.Now += Tick
		h.commitDecision()
	}
}

// commitDecision commits the commands of the leader's decision and runs its actions. After a leader change the rest of
// the decision is lost.
func (h *Harness) commitDecision() {
	d := h.Kernel.Decide(h.Now)
	for _, c := range d.Commands {
		h.Proposed++
		if h.Proposed == h.FailOverBefore {
			h.FailOver()
			return
		}
		h.Apply(c)
		if h.Proposed == h.FailOverAfter {
			h.FailOver()
			return
		}
	}
	for _, a := range d.Actions {
		if h.RunAction != nil {
			h.RunAction(a)
		}
	}
}

// FailOver replaces the leader by one that is restored from the leader's snapshot.
func (h *Harness) FailOver() {
	h.tb.Helper()
	data, err := h.Kernel.Snapshot(false)
	if err != nil {
		h.tb.Fatalf("snapshot: %v", err)
	}
	k := h.buildKernel()
	if err := k.Restore(data); err != nil {
		h.tb.Fatalf("restore: %v", err)
	}
	h.Kernel = k
	k.BecomeLeader(h.Now)
}
