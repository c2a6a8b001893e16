package control

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/disk"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

const recorderName = "recorder"

// immediateBody is the body of commands that recorder answers without an entry.
const immediateBody = "immediate"

// recorder is a plug-in that records the terms of the leader and how long its last commit took.
type recorder struct {
	terms       []kernel.LeadershipGained
	commitDelay time.Duration
}

func init() {
	kernel.Register(recorderName, nil, func(k *kernel.Kernel) kernel.Plugin {
		r := &recorder{}
		k.Provide(recorderName, r)
		return kernel.Plugin{Observe: r.observe, Respond: r.respond}
	})
}

func (r *recorder) respond(_ time.Duration, c kernel.Command) ([]byte, kernel.ReplyMode) {
	if string(c.Body) == immediateBody {
		return c.Body, kernel.Immediate
	}
	return nil, kernel.Replicate
}

func (r *recorder) observe(_ time.Duration, ev kernel.Event) {
	switch ev := ev.(type) {
	case kernel.LeadershipGained:
		r.terms = append(r.terms, ev)
	case kernel.CommitDelay:
		r.commitDelay = ev.Delay
	}
}

// lead runs the only voter of a group until it leads, and returns its term. With snapshot, it leaves a snapshot behind.
func lead(t *testing.T, dir string, snapshot bool) kernel.LeadershipGained {
	t.Helper()
	store, err := disk.Open(disk.Config{Dir: dir, Log: logr.Discard()})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, store.Close()) }()
	persisted, err := store.Load()
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	transport, err := peer.New(peer.Config{Name: "v", Listener: ln, Log: logr.Discard()})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	v, err := New(Config{
		Name: "v", PeerAddress: ln.Addr().String(), Store: store, Persisted: persisted, Transport: transport,
		Bootstrap: true, Log: logr.Discard(), LeadershipChanged: func(leading bool) {
			if leading {
				cancel()
			}
		},
	})
	assert.NilError(t, err)
	r, ok := kernel.Lookup[*recorder](v.kernel, recorderName)
	assert.Assert(t, ok)
	assert.NilError(t, v.Run(ctx))
	if snapshot {
		s, err := v.takeSnapshot()
		assert.NilError(t, err)
		assert.NilError(t, diskJob{snapshot: s}.write(store))
	}
	assert.Equal(t, len(r.terms), 1)
	return r.terms[0]
}

// Guards against a leader that takes another term than that of the last leader in its log for the previous one.
func TestLeaderKnowsPreviousTerm(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "group")
	previous := uint64(1) // of the group's first snapshot
	for _, snapshot := range []bool{false, true, false} {
		ev := lead(t, dir, snapshot)
		assert.Equal(t, ev.PreviousTerm, previous)
		assert.Assert(t, ev.Term > previous)
		previous = ev.Term
	}
}

// Guards against the only voter of a group that isn't confirmed as leader while it has nothing to send.
func TestOnlyVoterStaysConfirmed(t *testing.T) {
	g := newSlowGroup(t, 1)
	l := g.leader(10 * time.Second)
	for range 20 {
		time.Sleep(tickInterval)
		age, ok := l.ConfirmationAge()
		assert.Assert(t, ok && age < LeaderLease, "leads: %t, confirmed %v ago", ok, age)
	}
}
