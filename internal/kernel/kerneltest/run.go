// Package kerneltest drives a kernel with virtual time in the tests of plug-ins.
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

// TB is the part of testing.TB and rapid.T that a run needs.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
}

var _ TB = (testing.TB)(nil)

// Main runs the tests of a package with a fixed seed and number of rapid checks; flags on the command line win.
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

// Harness is a control group reduced to its leader: each command commits as soon as it is proposed.
type Harness struct {
	// Kernel is the kernel of the present leader.
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
	// FailOverAfter is the number of commands, counted from 1, after which the leader changes; FailOverBefore is the one that a
	// leader change loses. Zero means never.
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

// AddReplica makes another kernel apply every command from now on; with viewOnly it is that of an entry process.
func (r *Harness) AddReplica(viewOnly bool) *kernel.Kernel {
	r.tb.Helper()
	k, err := kernel.New(kernel.Config{
		ViewOnly: viewOnly, Log: logr.Discard(),
		OnViolation: func(plugin string, err error) { r.tb.Fatalf("invariant of plug-in %s of a replica: %v", plugin, err) },
	})
	if err != nil {
		r.tb.Fatalf("build replica: %v", err)
	}
	data, err := r.Kernel.Snapshot(viewOnly)
	if err != nil {
		r.tb.Fatalf("snapshot: %v", err)
	}
	if err := k.Restore(data); err != nil {
		r.tb.Fatalf("restore replica: %v", err)
	}
	r.replicas = append(r.replicas, replica{kernel: k, viewOnly: viewOnly})
	return k
}

// RequireEqual fails the test when the replica's state differs from the leader's.
func (r *Harness) RequireEqual(replica *kernel.Kernel, viewOnly bool) {
	r.tb.Helper()
	want, err := r.Kernel.Snapshot(viewOnly)
	if err != nil {
		r.tb.Fatalf("snapshot: %v", err)
	}
	got, err := replica.Snapshot(viewOnly)
	if err != nil {
		r.tb.Fatalf("snapshot of replica: %v", err)
	}
	if !bytes.Equal(want, got) {
		r.tb.Fatalf("replica differs from leader after command %d", r.Index)
	}
}

// New returns a run with an empty kernel.
func New(tb TB, lead func(k *kernel.Kernel)) *Harness {
	r := &Harness{tb: tb, OnNewLeader: lead}
	r.Kernel = r.build()
	r.Kernel.BecomeLeader(r.Now)
	return r
}

func (r *Harness) build() *kernel.Kernel {
	r.tb.Helper()
	k, err := kernel.New(kernel.Config{
		Log:         logr.Discard(),
		OnViolation: func(plugin string, err error) { r.tb.Fatalf("invariant of plug-in %s: %v", plugin, err) },
	})
	if err != nil {
		r.tb.Fatalf("build kernel: %v", err)
	}
	if r.OnNewLeader != nil {
		r.OnNewLeader(k)
	}
	return k
}

// Apply commits a command.
func (r *Harness) Apply(c kernel.Command) kernel.Result {
	r.Index++
	c.At = time.Duration(r.Index) * time.Millisecond
	res := r.Kernel.Apply(r.Index, c)
	changes, ship, err := r.Kernel.Changes(c.Plugin)
	if err != nil {
		r.tb.Fatalf("changes for entry processes: %v", err)
	}
	for _, other := range r.replicas {
		switch {
		case !other.viewOnly:
			other.kernel.Apply(r.Index, c)
			if _, _, err := other.kernel.Changes(c.Plugin); err != nil {
				r.tb.Fatalf("changes of a replica: %v", err)
			}
			continue
		case ship:
			other.kernel.Apply(r.Index, c)
		default:
			other.kernel.Skip(r.Index)
		}
		if err := other.kernel.Merge(changes); err != nil {
			r.tb.Fatalf("merge changes: %v", err)
		}
	}
	if r.OnApplied != nil {
		r.OnApplied(c, res)
	}
	return res
}

// MustApply commits a command that must succeed.
func (r *Harness) MustApply(c kernel.Command, err error) kernel.Result {
	r.tb.Helper()
	if err != nil {
		r.tb.Fatalf("build command: %v", err)
	}
	res := r.Apply(c)
	if res.Err != nil {
		r.tb.Fatalf("command %s: %v", c.Plugin, res.Err)
	}
	return res
}

// Configure submits a configuration.
func (r *Harness) Configure(cfg *fleet.Configuration) {
	r.tb.Helper()
	doc, err := cfg.Print()
	if err != nil {
		r.tb.Fatalf("print configuration: %v", err)
	}
	state, _ := kernel.Lookup[*configuration.State](r.Kernel, configuration.Name)
	r.MustApply(configuration.SubmitCommand("", state.Version(), doc))
}

// Observe hands an event to the leader and lets it decide.
func (r *Harness) Observe(ev kernel.Event) {
	r.Kernel.Observe(r.Now, ev)
	r.decide()
}

// Advance runs the ticks of a time span.
func (r *Harness) Advance(d time.Duration) {
	for end := r.Now + d; r.Now < end; {
		r.Now += Tick
		r.decide()
	}
}

// decide lets the leader decide and commits its commands. After a leader change the rest of the decision is lost.
func (r *Harness) decide() {
	d := r.Kernel.Decide(r.Now)
	for _, c := range d.Commands {
		r.Proposed++
		if r.Proposed == r.FailOverBefore {
			r.FailOver()
			return
		}
		r.Apply(c)
		if r.Proposed == r.FailOverAfter {
			r.FailOver()
			return
		}
	}
	for _, a := range d.Actions {
		if r.RunAction != nil {
			r.RunAction(a)
		}
	}
}

// FailOver replaces the leader by one that was restored from its snapshot.
func (r *Harness) FailOver() {
	r.tb.Helper()
	data, err := r.Kernel.Snapshot(false)
	if err != nil {
		r.tb.Fatalf("snapshot: %v", err)
	}
	k := r.build()
	if err := k.Restore(data); err != nil {
		r.tb.Fatalf("restore: %v", err)
	}
	r.Kernel = k
	k.BecomeLeader(r.Now)
}
