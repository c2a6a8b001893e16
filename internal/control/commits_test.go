package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
)

// Guards against a delay that is that of an earlier time, or that counts the save before an entry's own.
func TestCommitDelay(t *testing.T) {
	type tick struct {
		lastIndex, applied uint64
	}
	for _, tt := range []struct {
		name          string
		ticks         []tick // once a second
		want          time.Duration
		appliedBefore time.Duration
	}{
		{"idle", []tick{{1, 1}, {1, 1}, {1, 1}}, 0, 3 * time.Second},
		{"fast", []tick{{1, 1}, {5, 5}, {9, 9}}, 0, 3 * time.Second},
		{"stalled", []tick{{1, 1}, {5, 1}, {9, 1}, {12, 1}}, 2 * time.Second, time.Second},
		{"slow", []tick{{1, 1}, {5, 1}, {9, 1}, {12, 1}, {15, 9}}, 2 * time.Second, 3 * time.Second},
		{"fast-again", []tick{{5, 1}, {9, 1}, {12, 1}, {15, 15}}, 0, 4 * time.Second},
		{"idle-again", []tick{{5, 1}, {5, 1}, {5, 1}, {5, 5}, {5, 5}, {5, 5}}, 0, 6 * time.Second},
		{"slow-long-ago", []tick{{5, 1}, {5, 1}, {5, 1}, {5, 5}, {5, 5}, {5, 5}, {6, 5}}, 0, 6 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w, now := commitWatch{}, time.Duration(0)
			for _, tk := range tt.ticks {
				now += time.Second
				w.observe(now, tk.lastIndex, tk.applied)
			}
			assert.Equal(t, w.delay(now), tt.want)
			assert.Equal(t, w.appliedBefore(), tt.appliedBefore)
		})
	}
}

// Guards against a leader that isn't told that the disks of the group are slow, or that they are fast again.
func TestSlowDisksAreTold(t *testing.T) {
	g := newSlowGroup(t, 3)
	l := g.leader(10 * time.Second)
	assert.NilError(t, <-g.propose(l))
	slowSince := time.Now()
	g.syncDelay.Store(int64(1500 * time.Millisecond))
	first := g.propose(l)
	untilDelay := func(within time.Duration, reached func(d time.Duration) bool) {
		t.Helper()
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if reached(g.toldDelay(l)) {
				return
			}
			g.propose(l)
		}
		t.Fatalf("the leader was last told of %v", g.toldDelay(l))
	}
	untilDelay(3*time.Second, func(d time.Duration) bool { return d >= 1200*time.Millisecond })
	assert.Assert(t, time.Since(slowSince) >= 1200*time.Millisecond)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		g.propose(l)
		d := g.toldDelay(l)
		assert.Assert(t, d >= 1200*time.Millisecond && d <= 3500*time.Millisecond, "told of %v", d)
	}
	assert.NilError(t, <-first)
	g.syncDelay.Store(0)
	untilDelay(5*time.Second, func(d time.Duration) bool { return d < 400*time.Millisecond })
}

// toldDelay returns the delay of commits that the kernel of a leader was told last.
func (g *slowGroup) toldDelay(v *Voter) time.Duration {
	g.t.Helper()
	told := make(chan time.Duration, 1)
	assert.NilError(g.t, v.post(g.t.Context(), func() {
		r, ok := kernel.Lookup[*recorder](v.kernel, recorderName)
		assert.Check(g.t, ok)
		told <- r.commitDelay
	}))
	return <-told
}
