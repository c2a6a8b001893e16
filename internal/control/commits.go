package control

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
)

// commitMemory is how long the delay of the last commit counts while nothing waits for a commit.
const commitMemory = time.Second

// logPosition is the end of the log at a tick.
type logPosition struct {
	index uint64
	at    time.Duration
	// after is the time of the tick before, which all entries up to index that the log lacked then follow.
	after time.Duration
}

// commitWatch measures at the ticks of the leader how long the log takes to commit an entry.
type commitWatch struct {
	uncommitted []logPosition // from the oldest entry on
	lastIndex   uint64        // at the last tick
	tickedAt    time.Duration
	committedAt time.Duration // an entry was last seen to be committed
	last        time.Duration // how long the newest committed entry took
}

// observe records the state of the log at a tick.
func (w *commitWatch) observe(now time.Duration, lastIndex, applied uint64) {
	if lastIndex > w.lastIndex {
		w.uncommitted, w.lastIndex = append(w.uncommitted, logPosition{lastIndex, now, w.tickedAt}), lastIndex
	}
	w.tickedAt = now
	for len(w.uncommitted) > 0 && w.uncommitted[0].index <= applied {
		w.last, w.committedAt = now-w.uncommitted[0].at, now
		w.uncommitted = w.uncommitted[1:]
	}
	if len(w.uncommitted) == 0 && now-w.committedAt > commitMemory {
		w.last = 0
	}
}

// delay returns how long a commit takes now.
func (w *commitWatch) delay(now time.Duration) time.Duration {
	if len(w.uncommitted) == 0 {
		return w.last
	}
	// Until the last commit, the oldest entry waited for the save before its own.
	return max(w.last, now-max(w.uncommitted[0].at, w.committedAt))
}

// appliedBefore returns a time before which no command was proposed that is not applied.
func (w *commitWatch) appliedBefore() time.Duration {
	if len(w.uncommitted) == 0 {
		return w.tickedAt
	}
	return w.uncommitted[0].after
}

// observeCommits tells the kernel of the leader how long commits take.
func (v *Voter) observeCommits() {
	if !v.leading {
		v.commits = commitWatch{}
		return
	}
	now := v.now()
	v.commits.observe(now, v.core.Status().LastIndex, v.kernel.Applied())
	v.kernel.Observe(now, kernel.CommitDelay{Delay: v.commits.delay(now), AppliedBefore: v.commits.appliedBefore()})
}
