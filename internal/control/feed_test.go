package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kernelpb"
)

// Guards against a feed that grows without bound, and against a process that skips updates that the feed has dropped.
func TestFeedIsBoundedAndHasNoGaps(t *testing.T) {
	for _, tc := range []struct {
		name    string
		body    int
		updates int
	}{
		{"by number", 0, 5 * maxFeedUpdates},
		{"by bytes", 16 << 10, 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const base = 7
			f := newFeed(base)
			for i := range tc.updates {
				f.add(&controlpb.Update{
					Index: uint64(base + 1 + i), Command: &kernelpb.Command{Body: make([]byte, tc.body)},
				})
				assert.Assert(t, len(f.updates) <= 2*maxFeedUpdates)
				assert.Assert(t, f.size <= 2*maxFeedBytes+tc.body+64)
			}
			last := uint64(base + tc.updates)
			_, _, ok := f.after(base)
			assert.Assert(t, !ok, "a process that needs dropped updates must get a snapshot")
			list, _, ok := f.after(f.base)
			assert.Assert(t, ok)
			for i, u := range list {
				assert.Equal(t, u.Index, f.base+uint64(i)+1)
			}
			assert.Equal(t, list[len(list)-1].Index, last)
			_, _, ok = f.after(last + 1)
			assert.Assert(t, !ok, "a voter that lags behind the process can't serve it")
		})
	}
}

// Guards against a version that is reported to be in force while a live process may still act on an older one.
func TestRolloutWaitsForEachLiveProcess(t *testing.T) {
	live := map[string]bool{"a": true, "b": true, "c": true}
	isLive := func(id string) bool { return live[id] }
	var r rollouts
	r.add(3, 100, time.Second, []string{"a", "b", "c"})
	steps := []struct {
		name      string
		do        func()
		completed int
	}{
		{"no process has applied it", func() {}, 0},
		{"one applied an earlier index", func() { r.recordApplied("a", 99) }, 0},
		{"one applied it", func() { r.recordApplied("a", 100) }, 0},
		{"another applied a later index", func() { r.recordApplied("b", 150) }, 0},
		{"the last one expired", func() { delete(live, "c") }, 1},
		{"a version is reported only once", func() {}, 0},
	}
	for _, s := range steps {
		s.do()
		assert.Equal(t, len(r.complete(4*time.Second, isLive)), s.completed, s.name)
	}
	m := r.encode(func(d time.Duration) int64 { return int64(d) })
	assert.Equal(t, m[0].InForceAfter, int64(3*time.Second))
}
