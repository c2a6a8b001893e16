package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/member"
)

// acquireAll acquires all units of the team's limit that the process may use, and returns their number.
func (p *process) acquireAll() (n int) {
	for p.acquire(team, maxRun) {
		n++
	}
	return n
}

// releaseFirst releases the n units that were acquired first.
func (p *process) releaseFirst(n int) {
	p.releaseIf(func(runningUnit) bool { n--; return n >= 0 })
}

// runRound lets all processes renew, the leader decide and commit, and all processes apply the updates.
func (g *group) runRound() {
	for _, p := range g.processes {
		p.renew()
	}
	g.commitAll()
	for _, p := range g.processes {
		p.deliver()
	}
}

// Guards against requests that use units of a lowered capacity that running jobs already use.
func TestLoweredCapacityCountsReservedUnits(t *testing.T) {
	g := newGroup(1, withLimit(10))
	assert.NilError(t, g.applyJobCommand("+"+team))
	assert.NilError(t, g.applyJobCommand("+"+team))
	g.runRound()
	g.setLimit(2)
	g.processes[0].deliver()
	assert.Equal(t, g.processes[0].acquireAll(), 0)
	assert.NilError(t, g.check())
}

// Guards against units of a lowered capacity that are given to another process while their holder still uses them.
func TestLoweredCapacityIsNotDividedTwice(t *testing.T) {
	g := newWarmGroup(100, 100, 100)
	a, b := g.processes[0], g.processes[1]
	for range 40 {
		assert.Assert(t, b.acquire(team, maxRun))
	}
	g.setLimit(20)
	a.deliver()
	b.deliver()
	assert.Equal(t, a.acquireAll(), 10)
	for range 3 {
		a.renew()
		g.commitAll()
		b.deliver()
	}
	g.setLimit(19) // A further version doesn't divide the units again.
	b.deliver()
	b.releaseFirst(40)
	assert.Equal(t, b.acquireAll(), 10)
	assert.NilError(t, g.check())
}

// Guards against requests that use units of a lowered capacity that an expired process may still use.
func TestLoweredCapacityCountsExpiredProcesses(t *testing.T) {
	g := newWarmGroup(4, 4, 4)
	assert.Equal(t, g.processes[0].acquireAll(), 2)
	g.advance(member.ExpireAfter + time.Millisecond)
	g.processes[1].renew()
	g.commitAll()
	g.setLimit(2)
	g.processes[1].deliver()
	assert.Equal(t, g.processes[1].acquireAll(), 0)
	assert.NilError(t, g.check())
}

// Guards against a process that never returns recalled units because it starts work as fast as other work ends.
func TestBusyHolderReturnsRecalledUnits(t *testing.T) {
	g := newWarmGroup(10, 10, 0)
	a, b := g.processes[0], g.processes[1]
	assert.Equal(t, a.acquireAll(), 10)
	b.holder.SetDemand(team, 10)
	for range 8 {
		a.releaseFirst(2)
		a.acquireAll()
		g.runRound()
		b.acquireAll()
	}
	assert.Equal(t, len(b.units), 5)
	assert.NilError(t, g.check())
}

// Guards against a grant that is never proposed again after the log rejected it, as it does while it is full.
func TestRejectedGrantIsRetried(t *testing.T) {
	g := newGroup(1, withLimit(3))
	g.decide()
	g.proposed = nil
	for range 11 {
		g.advance(100 * time.Millisecond)
		g.commitAll()
	}
	g.processes[0].renew()
	g.processes[0].deliver()
	assert.Equal(t, g.processes[0].acquireAll(), 3)
}

// Guards against units that stay allocated forever because the log rejected the expiry of a lease or the removal of a
// member.
func TestRejectedEndOfMemberIsRetried(t *testing.T) {
	g := newWarmGroup(3, 3, 3)
	silent := g.processes[0]
	for range 2 {
		g.advance(member.ExpireAfter + time.Millisecond)
		g.renewOthers(silent)
		g.decide()
		g.proposed = nil
	}
	for range 12 {
		g.advance(time.Second)
		g.renewOthers(silent)
		g.commitAll()
	}
	assert.Assert(t, !g.members.Live(silent.id))
	g.advance(maxRun)
	g.renewOthers(silent)
	g.decide()
	g.proposed = nil
	for range 2 {
		g.advance(time.Second)
		g.renewOthers(silent)
		g.commitAll()
	}
	assert.Equal(t, len(g.members.Members()), 1)
	assert.Equal(t, g.state.used(team), g.state.resource(team).allocations[g.processes[1].id].units())
}

// Guards against an instance that is never drained because a new leader doesn't recall its slots.
func TestNewLeaderRecallsRemovedResource(t *testing.T) {
	g := newGroup(1, func(g *group) { g.configure(document(1, 1)) })
	g.commitAll()
	g.commitAll()
	g.processes[0].deliver()
	slot := SlotResource("rack-1")
	assert.Assert(t, g.state.used(slot) > 0)
	g.configure(document(0, 1))
	g.commitAll()
	g.k.BecomeLeader(g.now)
	for range 2 {
		g.commitAll()
		g.processes[0].deliver()
		g.processes[0].renew()
	}
	g.commitAll()
	assert.Equal(t, g.state.used(slot), uint64(0))
}
