package interference

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fixture plays runs of kinds on workers, one after the other.
type fixture struct {
	table    *Table
	now      time.Duration
	duration time.Duration // of a run
	a, x, y  *Kind
	workers  []*Worker
	group    uint64
	changes  []Change
	// Runs beside others are of the same job, beside others for this share of their time, or beside throttled ones.
	sameJob, throttled bool
	besideShare        float64
}

func newFixture(volatile bool) *fixture {
	f := &fixture{table: New(), duration: 500 * time.Millisecond, besideShare: 1}
	f.a, f.x, f.y = f.table.Kind(0, "a", false), f.table.Kind(0, "x", volatile), f.table.Kind(0, "y", false)
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
		w.Throttle(f.now, others[len(others)-1], f.throttled)
	}
	r := w.Start(f.now, k)
	end := f.now + f.duration
	f.now += time.Duration(f.besideShare * float64(f.duration))
	for _, o := range others {
		w.End(f.now, o)
	}
	f.now = end
	f.group++
	group := f.group
	if f.sameJob && len(beside) > 0 {
		group = 1 << 32
	}
	f.table.Observe(f.now, w, r, group, value)
	w.End(f.now, r)
	f.update()
}

func (f *fixture) update() { f.changes = append(f.changes, f.table.Update(f.now)...) }

// play plays n runs of "a" with and without "x" in turn, on as many workers, with values that repeat.
func (f *fixture) play(n, workers int, with, without []float64) {
	for i := range n {
		f.run(i%workers, f.a, with[i%len(with)], f.x)
		if without != nil {
			f.run(i%workers, f.a, without[i%len(without)])
		}
	}
}

// Guards against pairs that count without clear evidence, by chance or by nature, and against ones that are missed.
func TestPairCountsOnlyWithClearEvidence(t *testing.T) {
	type list = []float64
	for _, tc := range []struct {
		name          string
		n, workers    int
		with, without list
		want          bool
		change        func(f *fixture)
	}{
		{"clear", 16, 4, list{2, 2.04, 2.08}, list{1, 1.02, 1.04}, true, nil},
		{"small", 16, 4, list{1.15}, list{1}, false, nil},
		{"faster", 16, 4, list{0.5}, list{1}, false, nil},
		{"few-runs", 7, 4, list{2}, list{1}, false, nil},
		{"few-workers", 16, 2, list{2}, list{1}, false, nil},
		{"never-without", 24, 4, list{2}, nil, false, nil},
		{"varies-by-nature", 24, 4, list{1.5, 3, 4.5}, list{1, 2, 3}, false, nil},
		{"varies-by-nature-below", 24, 4, list{4}, list{1, 2, 3}, false, nil},
		{"overlaps", 24, 4, list{1.1, 1.8, 1.8}, list{1, 1.3, 1.3}, false, nil},
		{"one-large-job", 24, 4, list{2}, list{1}, false, func(f *fixture) { f.sameJob = true }},
		{"throttled", 24, 4, list{2}, list{1}, false, func(f *fixture) { f.throttled = true }},
		{"beside-half-of-the-run", 24, 4, list{2}, list{1}, false, func(f *fixture) { f.besideShare = 0.5 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(false)
			if tc.change != nil {
				tc.change(f)
			}
			f.play(tc.n, tc.workers, tc.with, tc.without)
			assert.Equal(t, f.table.Slows(f.a, f.x), tc.want)
			assert.Equal(t, f.table.Avoided(f.a)&f.x.Set() != 0, tc.want)
			assert.Equal(t, f.table.Avoided(f.x)&f.a.Set() != 0, tc.want)
			assert.Assert(t, !f.table.Slows(f.x, f.a))
		})
	}
}

// Guards against pairs that count because of something else.
func TestPairDoesNotCountForOtherCauses(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(f *fixture, i int)
	}{
		{"slow-workers", func(f *fixture, i int) {
			if i < 12 {
				f.run(3+i%3, f.a, 1)
				f.run(3+i%3, f.y, 1)
				return
			}
			f.run(i%3, f.y, 2) // "x" is only on workers where all is slow.
			f.run(i%3, f.a, 2, f.x)
			f.run(3+i%3, f.a, 1)
		}},
		{"effect-of-another-kind", func(f *fixture, i int) {
			if f.run(i%4, f.a, 1); i < 24 {
				f.run(i%4, f.a, 3, f.y)
			} else {
				f.run(i%4, f.a, 3, f.x, f.y)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(false)
			for i := range 48 {
				tc.play(f, i)
				assert.Assert(t, !f.table.Slows(f.a, f.x))
			}
		})
	}
}

// Guards against a kind that slows down others of its kind and is taken for one that doesn't, as its own run is always there.
func TestKindSlowsItself(t *testing.T) {
	f := newFixture(false)
	f.x = f.a
	f.play(16, 4, []float64{2}, []float64{1})
	assert.Assert(t, f.table.Slows(f.a, f.a))
}

// Guards against pairs that count for good after their effect has ended or nothing more is known of it.
func TestPairCeasesToCount(t *testing.T) {
	for _, tc := range []struct {
		name     string
		volatile bool
		wait     time.Duration
		n        int
		with     float64
		without  []float64
		reason   string
	}{
		{"contradicted", false, 0, 10, 1, []float64{1}, "contradicted"},
		{"old", false, stableHold, 0, 0, nil, "evidence-too-old"},
		{"old-volatile", true, volatileHold, 0, 0, nil, "evidence-too-old"},
		{"recent", false, volatileHold, 0, 0, nil, ""},
		{"recent-volatile", true, volatileWindow, 0, 0, nil, ""},
		{"never-without-any-more", false, 0, 80, 2, nil, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(tc.volatile)
			f.duration = 100 * time.Millisecond
			f.play(24, 4, []float64{2}, []float64{1})
			f.now += updateInterval
			f.update()
			assert.Assert(t, f.table.Slows(f.a, f.x))
			f.now += tc.wait
			f.play(tc.n, 4, []float64{tc.with}, tc.without)
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
	assert.Equal(t, most, 512)
	assert.Equal(t, len(f.table.byName), 64)
	assert.Assert(t, len(f.workers[0].presences) <= 2*maxKinds, "%d", len(f.workers[0].presences))
}
