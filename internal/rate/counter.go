package rate

import "time"

// window is the time over which events are counted.
const window = time.Second

// Counter counts events in the current second and in the last one.
type Counter struct {
	windowEnd     time.Duration
	current, last int
}

// Add counts n events at a time on a monotonic clock.
func (c *Counter) Add(now time.Duration, n int) {
	if now >= c.windowEnd {
		if c.last = c.current; now >= c.windowEnd+window {
			c.last = 0
		}
		c.current, c.windowEnd = 0, now+window
	}
	c.current += n
}

// PerSecond returns the larger of both counts, so that a burst is noticed at once and a short pause changes nothing.
func (c *Counter) PerSecond() int { return max(c.current, c.last) }
