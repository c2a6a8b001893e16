package timeline

import (
	"sync/atomic"
	"time"
)

const (
	// timestampCounterBits of a stamp count events within a millisecond; the bits above hold milliseconds since the Unix epoch.
	timestampCounterBits = 16
	// MaxDrift is how far an observed stamp may be ahead of the local clock. Synchronised clocks differ by much less, so
	// that causality holds between them, and times in the timeline are wrong by no more than this. A stamp beyond it
	// comes from a process with a wrong clock, which would otherwise drag all other clocks along for good.
	MaxDrift = 10 * time.Second
)

// Clock is a hybrid logical clock; it is safe for concurrent use. A stamp is larger than all stamps that were issued or
// accepted before it, also while the wall clock stands still or goes back.
type Clock struct {
	now      func() time.Time
	last     atomic.Uint64
	rejected atomic.Uint64
}

// NewClock returns a clock that follows a wall clock.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// firstStampAt returns the first stamp of a time; times before the Unix epoch have stamp 0.
func firstStampAt(t time.Time) uint64 { return uint64(max(t.UnixMilli(), 0)) << timestampCounterBits }

// StampTime returns the time of a stamp in milliseconds.
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

// Observe takes over a stamp that was received, unless it is more than MaxDrift ahead of the local clock.
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
