package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a leader that counts as confirmed after a pause of its process. A round confirms leadership only for
// the time at which it was sent, measured by a clock that does not stop with the process.
func TestRoundConfirmsLeadershipAtSendTime(t *testing.T) {
	r := roundTimes{}
	r.record(1)
	first := r.timeOf(1)
	assert.Assert(t, first > 0)
	time.Sleep(5 * time.Millisecond)
	r.record(1)
	assert.Equal(t, r.timeOf(1), first)
	r.record(3)
	assert.Assert(t, r.timeOf(3) > first)
	assert.Equal(t, r.timeOf(4), int64(0))
	r.record(3 + maxRounds)
	assert.Equal(t, r.timeOf(3), int64(0), "the time of a dropped round is unknown")
	r.record(1)
	assert.Assert(t, r.timeOf(1) > first, "the count restarts with a new term")
	v := &Voter{}
	v.isLeader.Store(true)
	assert.Assert(t, !v.QuorumConfirmed(1<<62), "no round has been confirmed yet")
	v.confirmedAt.Store(BootTime() - int64(LeaderLease) - 1)
	assert.Assert(t, !v.QuorumConfirmed(LeaderLease))
	v.confirmedAt.Store(BootTime())
	assert.Assert(t, v.QuorumConfirmed(LeaderLease))
}
