package control

import "time"

const (
	// manyCalls is the number of calls per second from which on other processes are asked to send them in batches.
	manyCalls = 300
	// callWindow is the time over which calls are counted.
	callWindow = time.Second
)

// callRate counts the calls of other processes in the current window and in the last one.
type callRate struct {
	windowEnd     time.Duration
	current, last int
}

func (r *callRate) add(now time.Duration, n int) {
	if now >= r.windowEnd {
		if r.last = r.current; now >= r.windowEnd+callWindow {
			r.last = 0
		}
		r.current, r.windowEnd = 0, now+callWindow
	}
	r.current += n
}

// isMany reports whether the last window or the current one had many calls.
func (r *callRate) isMany() bool { return max(r.current, r.last) >= manyCalls }
