package control

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
)

// slowGroup is a running group of founders whose syncs can be slowed down.
type slowGroup struct {
	t         *testing.T
	voters    []*Voter
	syncDelay atomic.Int64
}

func newSlowGroup(t *testing.T, size int) *slowGroup {
	t.Helper()
	g := &slowGroup{t: t}
	var listeners []net.Listener
	var founders []string
	for range size {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners, founders = append(listeners, ln), append(founders, ln.Addr().String())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, ln := range listeners {
		v, transport := newFounderOnDisk(t, ln, founders, logr.Discard(), func(*os.File) error {
			time.Sleep(time.Duration(g.syncDelay.Load()))
			return nil
		})
		g.voters = append(g.voters, v)
		group.Go(func() { assert.Check(t, transport.Serve(ctx)) })
		group.Go(func() { assert.Check(t, v.Run(ctx)) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return g
}

// leader waits until a voter leads and returns it.
func (g *slowGroup) leader(within time.Duration) *Voter {
	g.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, v := range g.voters {
			if v.QuorumConfirmed(LeaderLease) {
				return v
			}
		}
	}
	g.t.Fatalf("no leader within %v", within)
	return nil
}

// read returns how long a quorum read of a voter takes.
func (g *slowGroup) read(v *Voter) time.Duration {
	g.t.Helper()
	beganAt, done := time.Now(), make(chan raft.ReadResult, 1)
	assert.NilError(g.t, v.post(g.t.Context(), func() { v.quorumRead(func(r raft.ReadResult) { done <- r }) }))
	r := <-done
	assert.Assert(g.t, !r.Failed, "the read failed after %v", time.Since(beganAt))
	return time.Since(beganAt)
}

// propose proposes a command and returns a channel that gets its error.
func (g *slowGroup) propose(v *Voter) chan error {
	g.t.Helper()
	done := make(chan error, 1)
	assert.NilError(g.t, v.post(g.t.Context(), func() {
		err := v.propose(kernel.Command{Plugin: recorderName}, nil, func(_ kernel.Result, err error) { done <- err })
		if err != nil {
			done <- err
		}
	}))
	return done
}

// Guards against a leader that answers nothing, or loses its leadership, while the disks of the group are slow.
func TestSlowDisksHoldUpNoReads(t *testing.T) {
	g := newSlowGroup(t, 3)
	l := g.leader(10 * time.Second)
	assert.NilError(t, <-g.propose(l))
	term := l.Term()
	g.syncDelay.Store(int64(1200 * time.Millisecond))
	var proposals []chan error
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		proposals = append(proposals, g.propose(l))
		d := g.read(l)
		assert.Assert(t, d < electionTicks*tickInterval, "a read took %v", d)
		age, ok := l.ConfirmationAge()
		assert.Assert(t, ok && age < electionTicks*tickInterval, "leads: %t, confirmed %v ago", ok, age)
	}
	g.syncDelay.Store(0)
	for i, done := range proposals {
		assert.NilError(t, <-done, "proposal %d", i)
	}
	assert.Equal(t, l.Term(), term)
}

// Guards against a group that elects no leader while all of its disks are slow.
func TestSlowDisksElectLeader(t *testing.T) {
	g := newSlowGroup(t, 3)
	l := g.leader(10 * time.Second)
	g.syncDelay.Store(int64(1200 * time.Millisecond))
	assert.NilError(t, l.TransferLeadership(t.Context()))
	for end := time.Now().Add(5 * time.Second); l.Leading() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	next := g.leader(15 * time.Second)
	assert.NilError(t, <-g.propose(next))
}

// Guards against logs that wait for a snapshot of each voter, taken at the same time, while disks are slow.
func TestSlowDisksDeferSnapshots(t *testing.T) {
	g := newSlowGroup(t, 3)
	l := g.leader(10 * time.Second)
	assert.NilError(t, <-g.propose(l))
	snapshotIndex := func() uint64 {
		ch := make(chan uint64, 1)
		assert.NilError(t, l.post(t.Context(), func() { ch <- l.snapshotIndex }))
		return <-ch
	}
	first := snapshotIndex()
	g.syncDelay.Store(int64(slowSave))
	for range 2 {
		var done chan error
		for range snapshotEntries {
			done = g.propose(l)
		}
		assert.NilError(t, <-done)
		assert.Equal(t, snapshotIndex(), first)
	}
	g.syncDelay.Store(0)
	for end := time.Now().Add(5 * time.Second); snapshotIndex() == first; time.Sleep(10 * time.Millisecond) {
		assert.NilError(t, <-g.propose(l))
		assert.Assert(t, time.Now().Before(end), "no snapshot although the disks are fast again")
	}
}
