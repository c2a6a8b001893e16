package interference

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fixture plays runs of kind "a" on workers, one after the other, each for 500 ms.
type fixture struct {
	table   *Table
	now     time.Duration
	a, x, y *Kind
	workers []*Worker
	group   uint64
	changes []Change
}

func newFixture(volatile bool) *fixture {
	f := &fixture{table: New()}
	f.a = f.table.Kind(0, "a", false)
	f.x, f.y = f.table.Kind(0, "x", volatile), f.table.Kind(0, "y", false)
	for i := range 6 {
		f.workers = append(f.workers, NewWorker(uint64(i+1)))
	}
	return f
}

// run plays a run of a kind beside others on a worker, and observes a value.
func (f *fixture) run(worker int, k *Kind, value float64, beside ...*Kind) {
	w := f.workers[worker]
	var others []*Run
	for _, o := range beside {
		others = append(others, w.Start(f.now, o))
	}
	r := w.Start(f.now, k)
	f.now += 500 * time.Millisecond
	f.group++
	f.table.Observe(f.now, w, r, f.group, value)
	w.End(f.now, r)
	for _, o := range others {
		w.End(f.now, o)
	}
	f.update()
}

func (f *fixture) update() { f.changes = append(f.changes, f.table.Update(f.now)...) }

// play plays n runs of "a" with and without "x" on each of the workers from one on, with values that differ by 2 % each.
func (f *fixture) play(n, first, workers int, with, without float64) {
	for i := range n * workers {
		wobble := 1 + 0.02*float64(i%3)
		f.run(first+i%workers, f.a, with*wobble, f.x)
		f.run(first+i%workers, f.a, without*wobble)
	}
}

// Guards against pairs that count without clear evidence, by chance or because of something else, and against ones that are
// missed.
func TestPairCountsOnlyWithClearEvidence(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(f *fixture)
		want bool
	}{
		{"clear", func(f *fixture) { f.play(4, 0, 4, 2, 1) }, true},
		{"small", func(f *fixture) { f.play(4, 0, 4, 1.15, 1) }, false},
		{"faster", func(f *fixture) { f.play(4, 0, 4, 0.5, 1) }, false},
		{"few-runs", func(f *fixture) { f.play(1, 0, 5, 2, 1) }, false},
		{"few-workers", func(f *fixture) { f.play(8, 0, 2, 2, 1) }, false},
		{"never-without", func(f *fixture) {
			for i := range 24 {
				f.run(i%4, f.a, 2, f.x)
			}
		}, false},
		{"varies-by-nature", func(f *fixture) {
			for i := range 24 {
				f.run(i%4, f.a, []float64{1, 2, 3}[i%3]*1.5, f.x)
				f.run(i%4, f.a, []float64{1, 2, 3}[i%3])
			}
		}, false},
		{"varies-by-nature-below", func(f *fixture) {
			for i := range 24 {
				f.run(i%4, f.a, 4, f.x)
				f.run(i%4, f.a, []float64{1, 2, 3}[i%3])
			}
		}, false},
		{"overlaps", func(f *fixture) {
			for i := range 24 {
				f.run(i%4, f.a, []float64{1.1, 1.8, 1.8}[i%3], f.x)
				f.run(i%4, f.a, []float64{1, 1.3, 1.3}[i%3])
			}
		}, false},
		{"one-large-job", func(f *fixture) {
			for i := range 24 {
				f.group = 1000
				f.run(i%4, f.a, 2, f.x)
				f.group = uint64(i)
				f.run(i%4, f.a, 1)
			}
		}, false},
		{"slow-worker", func(f *fixture) {
			f.play(1, 1, 5, 1, 1)
			for i := range 24 {
				f.run(0, f.a, 2, f.x)
				f.run(1+i%5, f.a, 1)
			}
		}, false},
		{"slow-workers", func(f *fixture) {
			for i := range 48 {
				f.run(3+i%3, f.a, 1)
				f.run(3+i%3, f.y, 1)
			}
			for i := range 36 { // "x" is only on workers where all is slow.
				f.run(i%3, f.y, 2)
				f.run(i%3, f.a, 2, f.x)
				f.run(3+i%3, f.a, 1)
			}
		}, false},
		{"effect-of-another-kind", func(f *fixture) {
			for i := range 24 {
				f.run(i%4, f.a, 3, f.y)
				f.run(i%4, f.a, 1)
			}
			for i := range 24 {
				f.run(i%4, f.a, 3, f.x, f.y)
				f.run(i%4, f.a, 1)
			}
		}, false},
		{"beside-half-of-the-run", func(f *fixture) {
			for i := range 24 {
				w := f.workers[i%4]
				r, o := w.Start(f.now, f.a), w.Start(f.now, f.x)
				f.now += 250 * time.Millisecond
				w.End(f.now, o)
				f.now += 250 * time.Millisecond
				f.table.Observe(f.now, w, r, 0, 2)
				w.End(f.now, r)
				f.run(i%4, f.a, 1)
			}
		}, false},
		{"throttled", func(f *fixture) {
			for i := range 24 {
				w := f.workers[i%4]
				o := w.Start(f.now, f.x)
				w.Throttle(f.now, o, true)
				f.run(i%4, f.a, 2)
				w.End(f.now, o)
				f.run(i%4, f.a, 1)
			}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(false)
			tc.play(f)
			assert.Equal(t, f.table.Slows(f.a, f.x), tc.want)
			assert.Equal(t, f.table.Avoided(f.a)&f.x.Set() != 0, tc.want)
			assert.Equal(t, f.table.Avoided(f.x)&f.a.Set() != 0, tc.want)
			assert.Assert(t, !f.table.Slows(f.x, f.a))
		})
	}
}

// Guards against a kind that slows down others of its kind and is taken for one that doesn't, as its own run is always there.
func TestKindSlowsItself(t *testing.T) {
	f := newFixture(false)
	for i := range 12 {
		f.run(i%4, f.a, 2, f.a)
		f.run(i%4, f.a, 1)
	}
	assert.Assert(t, f.table.Slows(f.a, f.a))
}

// Guards against pairs that count for good after their effect has ended or nothing more is known of it.
func TestPairCeasesToCount(t *testing.T) {
	for _, tc := range []struct {
		name     string
		volatile bool
		play     func(f *fixture)
		reason   string
	}{
		{"contradicted", false, func(f *fixture) { f.play(2, 0, 4, 1, 1) }, "contradicted"},
		{"old", false, func(f *fixture) { f.now += stableHold }, "evidence-too-old"},
		{"old-volatile", true, func(f *fixture) { f.now += volatileHold }, "evidence-too-old"},
		{"recent", false, func(f *fixture) { f.now += volatileHold }, ""},
		{"recent-volatile", true, func(f *fixture) { f.now += volatileWindow }, ""},
		{"never-without-any-more", false, func(f *fixture) {
			for i := range 80 {
				f.run(i%4, f.a, 2, f.x)
			}
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(tc.volatile)
			for i := range 24 { // Both workers of a pair at a time, as the window of volatile kinds is short.
				f.now -= 400 * time.Millisecond
				f.run(i%4, f.a, 2, f.x)
				f.now -= 400 * time.Millisecond
				f.run(i%4, f.a, 1)
			}
			f.now += updateInterval
			f.update()
			assert.Assert(t, f.table.Slows(f.a, f.x))
			tc.play(f)
			f.now += updateInterval
			f.update()
			assert.Equal(t, f.table.Slows(f.a, f.x), tc.reason == "")
			assert.Equal(t, f.changes[len(f.changes)-1].Reason, tc.reason)
		})
	}
}

// Guards against memory that grows with the kinds, pairs or runs that were ever seen.
func TestMemoryIsBounded(t *testing.T) {
	f := newFixture(false)
	var last *Kind
	most := 0
	for i := range maxKinds + 8 {
		if i == maxKinds {
			f.now += kindIdleTime
		}
		if last = f.table.Kind(f.now, fmt.Sprint(i), false); last == nil {
			continue
		}
		var others []*Kind
		for _, o := range f.table.kinds {
			if o != nil {
				others = append(others, o)
			}
		}
		f.run(0, last, 1, others...)
		most = max(most, f.table.pairCount)
	}
	pairs := 0
	for i := range f.table.pairs {
		for _, p := range f.table.pairs[i] {
			if p != nil {
				pairs++
			}
		}
	}
	assert.Equal(t, pairs, f.table.pairCount)
	assert.Equal(t, most, 512)
	assert.Equal(t, len(f.table.byName), 64)
	assert.Assert(t, len(f.workers[0].presences) <= 2*maxKinds, "%d", len(f.workers[0].presences))
}
