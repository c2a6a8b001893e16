package site_test

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/site"
)

const (
	founders = 3
	// catchUpTime is the time after which a new process counts for the tolerated losses instead of the one that it replaces.
	catchUpTime = 4 * time.Second
)

// newControlGroup returns a group of n processes, of which the founders run and have a configuration.
func newControlGroup(t *testing.T, n int) *controlGroup {
	t.Helper()
	platform := &fakePlatform{startedAt: time.Now(), runs: map[string]time.Time{}, startCount: map[string]int{}}
	g := &controlGroup{
		t: t, processes: make([]*site.Control, n), stops: make([]func(), n),
		cfg: site.ControlConfig{Zone: "a", ToleratedLosses: 1, Port: platform.port(), Log: logr.Discard()},
	}
	for range n {
		g.addresses, g.dirs = append(g.addresses, freeAddress(t)), append(g.dirs, t.TempDir())
	}
	for i := range founders {
		g.start(i)
	}
	g.configure(1)
	return g
}

// followers returns the founders that don't lead.
func (g *controlGroup) followers() []int {
	g.t.Helper()
	leader := g.leader()
	var list []int
	for i := range founders {
		if i != leader {
			list = append(list, i)
		}
	}
	return list
}

// awaitVoter waits until a process is a voter.
func awaitVoter(t *testing.T, c *site.Control) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !c.IsVoter(t.Context()); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the process is no voter")
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
	// calm is the time after the last replacement, in which the group has to recover.
	const calm = 4 * time.Second
	g := newControlGroup(t, 2*founders)
	// Each replacement is a voter before its predecessor stops, and the next one starts right after that.
	for i := founders; i < 2*founders; i++ {
		g.start(i)
		awaitVoter(t, g.processes[i])
		g.stop(i - founders)
	}
	time.Sleep(calm)
	g.stop(founders)
	g.dirs[founders] = t.TempDir()
	g.start(founders)
	g.configure(2)
	awaitVoter(t, g.processes[founders])
}

// Guards against a replacement that waits as a learner for the removal of a voter that has stopped: if the next voter stops
// meanwhile, two of four are left.
func TestNextReplacedVoterStopsBeforeRemovalOfLast(t *testing.T) {
	g := newControlGroup(t, founders+2)
	g.start(founders)
	awaitVoter(t, g.processes[founders])
	time.Sleep(catchUpTime)
	replaced := g.followers()
	g.stop(replaced[0])
	time.Sleep(400 * time.Millisecond) // The leader misses the voter before the next replacement has caught up.
	g.start(founders + 1)
	time.Sleep(450 * time.Millisecond) // The replacement has caught up, and the voter isn't removed yet.
	g.stop(replaced[1])
	g.configure(2)
}

// Guards against voters that stop together after their replacements have caught up, and leave no quorum.
func TestReplacedVotersThatStopTogetherKeepQuorum(t *testing.T) {
	g := newControlGroup(t, 2*founders)
	for i := founders; i < 2*founders; i++ {
		g.start(i)
	}
	for i := founders; i < 2*founders; i++ {
		awaitVoter(t, g.processes[i])
	}
	time.Sleep(catchUpTime)
	for i := range founders {
		g.stop(i)
	}
	g.configure(2)
}

// Guards against a replaced voter that counts for the quorum after it has stopped, so that the loss of a disk right then
// ends the group.
func TestLostDiskRightAfterReplacedVoterStopsKeepsQuorum(t *testing.T) {
	g := newControlGroup(t, founders+2)
	g.start(founders)
	awaitVoter(t, g.processes[founders])
	time.Sleep(catchUpTime)
	others := g.followers() // A transfer of the leadership would delay the loss.
	replaced, lost := others[0], others[1]
	g.stop(replaced)
	g.stop(lost)
	g.addresses[founders+1] = g.addresses[lost] // the same machine with an empty disk
	g.start(founders + 1)
	g.configure(2)
}
