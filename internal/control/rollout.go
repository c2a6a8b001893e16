package control

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
)

// maxRollouts bounds the number of configuration versions whose rollout the leader reports.
const maxRollouts = 64

// rollout tracks one configuration version until every live process has applied it.
type rollout struct {
	version, index uint64
	acceptedAt     time.Duration
	inForceAt      time.Duration
	waiting        map[string]bool // processes that may still act on an older version
}

// rollouts tracks the newest configuration versions. It is soft state of the leader.
type rollouts struct{ list []*rollout }

func (r *rollouts) reset() { r.list = nil }

func (r *rollouts) add(version, index uint64, now time.Duration, members []string) {
	ro := &rollout{version: version, index: index, acceptedAt: now, waiting: map[string]bool{}}
	for _, id := range members {
		ro.waiting[id] = true
	}
	r.list = append(r.list, ro)
	if len(r.list) > maxRollouts {
		r.list = r.list[1:]
	}
}

// recordApplied records that a process has applied the log up to index.
func (r *rollouts) recordApplied(id string, index uint64) {
	for _, ro := range r.list {
		if index >= ro.index {
			delete(ro.waiting, id)
		}
	}
}

// complete marks and returns the versions that have come into force. isLive reports whether a process may still act;
// complete does not wait for other processes.
func (r *rollouts) complete(now time.Duration, isLive func(id string) bool) (completed []*rollout) {
	for _, ro := range r.list {
		if ro.inForceAt != 0 {
			continue
		}
		for id := range ro.waiting {
			if !isLive(id) {
				delete(ro.waiting, id)
			}
		}
		if len(ro.waiting) == 0 {
			ro.inForceAt = now
			completed = append(completed, ro)
		}
	}
	return completed
}

func (r *rollouts) encode(toUnixNano func(time.Duration) int64) []*controlpb.Rollout {
	var list []*controlpb.Rollout
	for _, ro := range r.list {
		m := &controlpb.Rollout{Version: ro.version, Index: ro.index, AcceptedAt: toUnixNano(ro.acceptedAt)}
		if ro.inForceAt != 0 {
			m.InForceAfter = int64(max(ro.inForceAt-ro.acceptedAt, 1))
		}
		for id := range ro.waiting {
			m.Waiting = append(m.Waiting, id)
		}
		list = append(list, m)
	}
	return list
}
