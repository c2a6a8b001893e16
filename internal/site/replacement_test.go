package site_test

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/site"
)

// awaitVoter waits until a process is a voter.
func (g *controlGroup) awaitVoter(i int) {
	g.t.Helper()
	for end := time.Now().Add(10 * time.Second); !g.processes[i].IsVoter(g.t.Context()); time.Sleep(20 * time.Millisecond) {
		assert.Assert(g.t, time.Now().Before(end), "process %d is no voter", i)
	}
}

// stop stops a process and waits until its address is free.
func (g *controlGroup) stop(i int) {
	g.t.Helper()
	g.stops[i]()
	g.processes[i] = nil
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		ln, err := net.Listen("tcp", g.addresses[i])
		if err == nil {
			assert.NilError(g.t, ln.Close())
			return
		}
		assert.Assert(g.t, time.Now().Before(end), "the address of process %d is in use", i)
	}
}

// Guards against voters that are gone but count for the quorum for good, so that the loss of one disk ends the group.
func TestLostDiskAfterOverlappingReplacementsKeepsQuorum(t *testing.T) {
	const (
		founders = 3
		// calm is the time after the last replacement, in which the group has to recover.
		calm = 4 * time.Second
	)
	platform := &fakePlatform{startedAt: time.Now(), runs: map[string]time.Time{}, startCount: map[string]int{}}
	g := &controlGroup{
		t: t, processes: make([]*site.Control, 2*founders), stops: make([]func(), 2*founders),
		cfg: site.ControlConfig{Zone: "a", Port: platform.port(), Log: logr.Discard()},
	}
	for range 2 * founders {
		g.addresses, g.dirs = append(g.addresses, freeAddress(t)), append(g.dirs, t.TempDir())
	}
	for i := range founders {
		g.start(i)
	}
	g.configure(1)
	// Each replacement is a voter before its predecessor stops, and the next one starts right after that.
	for i := founders; i < 2*founders; i++ {
		g.start(i)
		g.awaitVoter(i)
		g.stop(i - founders)
	}
	time.Sleep(calm)
	g.stop(founders)
	g.dirs[founders] = t.TempDir()
	g.start(founders)
	g.configure(2)
	g.awaitVoter(founders)
}
