package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/member"
)

// fill acquires all that a process can get of the team's limit.
func (p *process) fill() (n int) {
	for p.acquire(team, maxRun) {
		n++
	}
	return n
}

func (p *process) finish(n int) {
	p.end(func(unit) bool { n--; return n >= 0 })
}

// round lets all processes renew, the leader decide and all processes apply what was decided.
func (g *group) round() {
	for _, p := range g.processes {
		p.renew()
	}
	g.settle()
	for _, p := range g.processes {
		p.deliver()
	}
}

// Guards against requests that use units of a lowered capacity that running jobs already take.
func TestLoweredCapacityCountsReservedUnits(t *testing.T) {
	g := newGroup(1, limit(10))
	assert.NilError(t, g.job("+"+team))
	assert.NilError(t, g.job("+"+team))
	g.round()
	g.limit(2)
	g.processes[0].deliver()
	assert.Equal(t, g.processes[0].fill(), 0)
	assert.NilError(t, g.check())
}

// Guards against a part of a lowered capacity that passes to another process while its holder still uses it.
func TestLoweredCapacityIsNotDividedTwice(t *testing.T) {
	g := warm(100, 100, 100)
	a, b := g.processes[0], g.processes[1]
	for range 40 {
		assert.Assert(t, b.acquire(team, maxRun))
	}
	g.limit(20)
	a.deliver()
	b.deliver()
	assert.Equal(t, a.fill(), 10)
	for range 3 {
		a.renew()
		g.settle()
		b.deliver()
	}
	g.limit(19) // A further version does not divide the units anew either.
	b.deliver()
	b.finish(40)
	assert.Equal(t, b.fill(), 10)
	assert.NilError(t, g.check())
}

// Guards against use of a lowered capacity that an expired process may still use.
func TestLoweredCapacityCountsExpiredProcesses(t *testing.T) {
	g := warm(4, 4, 4)
	assert.Equal(t, g.processes[0].fill(), 2)
	g.pass(member.ExpireAfter + time.Millisecond)
	g.processes[1].renew()
	g.settle()
	g.limit(2)
	g.processes[1].deliver()
	assert.Equal(t, g.processes[1].fill(), 0)
	assert.NilError(t, g.check())
}

// Guards against a process with more demand than units that starts work as fast as it ends and so never returns any.
func TestBusyHolderReturnsRecalledUnits(t *testing.T) {
	g := warm(10, 10, 0)
	a, b := g.processes[0], g.processes[1]
	assert.Equal(t, a.fill(), 10)
	b.holder.SetDemand(team, 10)
	for range 8 {
		a.finish(2)
		a.fill()
		g.round()
		b.fill()
	}
	assert.Equal(t, len(b.units), 5)
	assert.NilError(t, g.check())
}

// Guards against a grant that is never tried again after the log refused it, as it does when it is full.
func TestRefusedGrantIsRetried(t *testing.T) {
	g := newGroup(1, limit(3))
	g.decide()
	g.flight = nil
	for range 11 {
		g.pass(100 * time.Millisecond)
		g.settle()
	}
	g.processes[0].renew()
	g.processes[0].deliver()
	assert.Equal(t, g.processes[0].fill(), 3)
}

// Guards against units that stay charged for ever because the log refused the end of a lease or of a membership.
func TestRefusedEndOfMemberIsRetried(t *testing.T) {
	g := warm(3, 3, 3)
	silent := g.processes[0]
	for range 2 {
		g.pass(member.ExpireAfter + time.Millisecond)
		g.renewOthers(silent)
		g.decide()
		g.flight = nil
	}
	for range 12 {
		g.pass(time.Second)
		g.renewOthers(silent)
		g.settle()
	}
	assert.Assert(t, !g.members.Live(silent.id))
	g.pass(maxRun)
	g.renewOthers(silent)
	g.decide()
	g.flight = nil
	for range 2 {
		g.pass(time.Second)
		g.renewOthers(silent)
		g.settle()
	}
	assert.Equal(t, len(g.members.Members()), 1)
	assert.Equal(t, g.state.used(team), g.state.resource(team).allocations[g.processes[1].id].units())
}

// Guards against an instance that never drains because a new leader does not recall its slots.
func TestNewLeaderRecallsRemovedResource(t *testing.T) {
	g := newGroup(1, func(g *group) { g.configure(document(1, 1)) })
	g.settle()
	g.settle()
	g.processes[0].deliver()
	slot := SlotResource("rack-1")
	assert.Assert(t, g.state.used(slot) > 0)
	g.configure(document(0, 1))
	g.settle()
	g.k.Lead(g.now)
	for range 2 {
		g.settle()
		g.processes[0].deliver()
		g.processes[0].renew()
	}
	g.settle()
	assert.Equal(t, g.state.used(slot), uint64(0))
}
