package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxRounds bounds the heartbeat rounds whose times are kept; a leader sends one in a tick, and one for waiting reads.
const maxRounds = 64

// LeaderLease is how long no other voter can become leader after the start of a heartbeat round that a quorum answered: a
// voter that heard from a leader waits for an election timeout. It is one tick shorter than the timeout, because the
// clocks of voters differ.
const LeaderLease = (electionTicks - 1) * tickInterval

// bootTime returns nanoseconds on a steady clock that goes on while the machine is suspended, 0 when it can't be read.
func bootTime() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // Nothing counts as confirmed then; every Linux kernel that Go supports has this clock.
	}
	return ts.Nano()
}

// roundTimes remembers when heartbeat roundTimes were sent. A round is stamped before it is sent, so that its confirmation says
// nothing about the time after a pause of the process in between.
type roundTimes struct {
	newest uint64
	sentAt [maxRounds]int64
}

func (r *roundTimes) record(newest uint64) {
	if newest < r.newest {
		*r = roundTimes{} // another term
	}
	now := bootTime()
	for n := max(r.newest+1, max(newest, maxRounds)-maxRounds+1); n <= newest; n++ {
		r.sentAt[n%maxRounds] = now
	}
	r.newest = newest
}

// timeOf returns when a round was sent, 0 when that is not known.
func (r *roundTimes) timeOf(n uint64) int64 {
	if n == 0 || n > r.newest || r.newest-n >= maxRounds {
		return 0
	}
	return r.sentAt[n%maxRounds]
}

// recordRounds stamps new heartbeat rounds and notes when the newest confirmed one was sent.
func (v *Voter) recordRounds() {
	newest, confirmed := v.core.Rounds()
	v.roundTimes.record(newest)
	if at := v.roundTimes.timeOf(confirmed); at > v.confirmedAt.Load() {
		v.confirmedAt.Store(at)
	}
}

// QuorumConfirmed reports whether this voter leads and a quorum confirmed its leadership within the last d, including any
// time for which the machine was suspended. If d is at most LeaderLease, no other voter can lead now.
func (v *Voter) QuorumConfirmed(d time.Duration) bool {
	at, now := v.confirmedAt.Load(), bootTime()
	return v.isLeader.Load() && at > 0 && now >= at && now-at < int64(d)
}
