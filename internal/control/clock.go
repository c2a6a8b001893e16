package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxRounds bounds the heartbeat rounds whose times are kept. A leader starts a round in each tick and one for waiting
// reads.
const maxRounds = 64

// LeaderLease is how long no other voter can become leader after the start of a heartbeat round that a quorum answered,
// because a voter that heard from a leader waits for an election timeout. It is one tick shorter than that timeout,
// because the clocks of the voters differ.
const LeaderLease = (electionTicks - 1) * tickInterval

// BootTime returns the time in nanoseconds of a monotonic clock that also runs while the machine is suspended, or 0 if
// the clock can't be read.
func BootTime() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // With 0, QuorumConfirmed reports false. Every Linux kernel that Go supports has this clock.
	}
	return ts.Nano()
}

// roundTimes records when the newest heartbeat rounds were sent. The time is taken before a round is sent, so that an
// answer does not confirm leadership for the time after a pause of the process between the two.
type roundTimes struct {
	newest uint64
	sentAt [maxRounds]int64
}

// record sets the time of all rounds up to newest that have none.
func (r *roundTimes) record(newest uint64) {
	if newest < r.newest {
		*r = roundTimes{} // The count restarted with a new term.
	}
	now := BootTime()
	for n := max(r.newest+1, max(newest, maxRounds)-maxRounds+1); n <= newest; n++ {
		r.sentAt[n%maxRounds] = now
	}
	r.newest = newest
}

// timeOf returns when round n was sent, or 0 if that is not known.
func (r *roundTimes) timeOf(n uint64) int64 {
	if n == 0 || n > r.newest || r.newest-n >= maxRounds {
		return 0
	}
	return r.sentAt[n%maxRounds]
}

// recordRounds records the times of new heartbeat rounds, and when the newest one that a quorum answered was sent.
func (v *Voter) recordRounds() {
	newest, confirmed := v.core.HeartbeatRounds()
	v.roundTimes.record(newest)
	if at := v.roundTimes.timeOf(confirmed); at > v.confirmedAt.Load() {
		v.confirmedAt.Store(at)
	}
}

// QuorumConfirmed reports whether this voter leads and a quorum confirmed its leadership within the last d, including
// any time for which the machine was suspended. If d is at most LeaderLease, no other voter can lead now.
func (v *Voter) QuorumConfirmed(d time.Duration) bool {
	age, ok := v.ConfirmationAge()
	return ok && age < d
}

// ConfirmationAge returns the time since a quorum confirmed the leadership of this voter, including any time for which
// the machine was suspended, and whether this voter leads and was confirmed.
func (v *Voter) ConfirmationAge() (time.Duration, bool) {
	at, now := v.confirmedAt.Load(), BootTime()
	return time.Duration(now - at), v.isLeader.Load() && at > 0 && now >= at
}
