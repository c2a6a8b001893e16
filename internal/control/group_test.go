package control

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/disk"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

// newFounder returns a founder of a group, which doesn't run yet, and its transport.
func newFounder(t *testing.T, ln net.Listener, founders []string, log logr.Logger) (*Voter, *peer.Transport) {
	t.Helper()
	return newFounderOnDisk(t, ln, founders, log, nil)
}

// newFounderOnDisk is newFounder with another function that makes files durable, unless sync is nil.
func newFounderOnDisk(
	t *testing.T, ln net.Listener, founders []string, log logr.Logger, sync func(f *os.File) error,
) (*Voter, *peer.Transport) {
	t.Helper()
	self := ln.Addr().String()
	store, err := disk.Open(disk.Config{
		Dir: filepath.Join(t.TempDir(), "group"), Log: log, Sync: sync,
		NewIdentity: func() (string, error) { return FounderIdentity(self), nil },
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, store.Close()) })
	persisted, err := store.Load()
	assert.NilError(t, err)
	transport, err := peer.New(peer.Config{Name: self, Listener: ln, Log: log})
	assert.NilError(t, err)
	v, err := New(Config{
		Name: self, PeerAddress: self, Store: store, Persisted: persisted, Transport: transport, Bootstrap: true,
		Founders: founders, Log: log,
	})
	assert.NilError(t, err)
	return v, transport
}

// runFounder runs a founder of a group until the test ends.
func runFounder(t *testing.T, ln net.Listener, founders []string) *Voter {
	t.Helper()
	v, transport := newFounder(t, ln, founders, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { assert.Check(t, transport.Serve(ctx)) })
	group.Go(func() { assert.Check(t, v.Run(ctx)) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return v
}

// Guards against a leader whose list of members makes processes ask a voter that is gone before those that answer.
func TestLeaderListsSilentVotersLast(t *testing.T) {
	var founders []string
	var listeners []net.Listener
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		founders, listeners = append(founders, ln.Addr().String()), append(listeners, ln)
	}
	const lost = "127.0.0.1:1" // The members are ordered by identity, and this one comes first.
	founders = append(founders, lost)
	voters := []*Voter{runFounder(t, listeners[0], founders), runFounder(t, listeners[1], founders)}
	var leader *Voter
	for end := time.Now().Add(10 * time.Second); leader == nil; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no voter leads")
		i := slices.IndexFunc(voters, func(v *Voter) bool { return v.Leading() && v.Group().Missing == 1 })
		if i >= 0 {
			leader = voters[i]
		}
	}
	var list []string
	listed := make(chan struct{})
	assert.NilError(t, leader.post(t.Context(), func() {
		defer close(listed)
		list = leader.memberAddresses()
	}))
	<-listed
	assert.Equal(t, len(list), len(founders))
	assert.Equal(t, list[len(list)-1], lost, "%v", list)
}
