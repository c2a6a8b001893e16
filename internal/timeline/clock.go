package timeline

import (
	"sync/atomic"
	"time"
)

const (
	// timestampCounterBits is the number of low bits of a stamp that count events within a millisecond. The bits above
	// them hold the milliseconds since the Unix epoch.
	timestampCounterBits = 16
	// MaxDrift is the longest time by which an observed stamp may be ahead of the local clock. Synchronized clocks differ
	// by much less, so that causality holds between them, and times in the timeline are wrong by at most this. A stamp
	// further ahead comes from a process with a wrong clock; accepting it would advance the clocks of all processes
	// permanently.
	MaxDrift = 10 * time.Second
)

// Clock is a hybrid logical clock; it is safe for concurrent use. Each stamp is larger than all stamps that were issued
// or accepted before it, even if the wall clock stands still or goes back.
type Clock struct {
	now      func() time.Time
	last     atomic.Uint64
	rejected atomic.Uint64
}

// NewClock returns a clock that is based on the given wall clock.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// firstStampAt returns the smallest stamp of a time; it is 0 for times before the Unix epoch.
func firstStampAt(t time.Time) uint64 { return uint64(max(t.UnixMilli(), 0)) << timestampCounterBits }

// StampTime returns the wall time of a stamp, to the millisecond.
func StampTime(stamp uint64) time.Time { return time.UnixMilli(int64(stamp >> timestampCounterBits)) }

// Stamp returns a new stamp.
func (c *Clock) Stamp() uint64 {
	wall := firstStampAt(c.now())
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Observe advances the clock to a received stamp, unless the stamp is more than MaxDrift ahead of the local clock.
func (c *Clock) Observe(stamp uint64) {
	last := c.last.Load()
	if stamp <= last {
		return
	}
	if stamp >= firstStampAt(c.now().Add(MaxDrift+time.Millisecond)) {
		c.rejected.Add(1)
		return
	}
	for stamp > last && !c.last.CompareAndSwap(last, stamp) {
		last = c.last.Load()
	}
}

// Rejected returns how many stamps were rejected because they were too far ahead of the local clock. Events that follow
// such a stamp may be ordered before their causes.
func (c *Clock) Rejected() uint64 { return c.rejected.Load() }
