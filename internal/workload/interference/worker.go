package interference

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// besideShare is the share of a run for which a kind must be beside it to count as beside it, and absentShare the share
	// up to which it counts as absent. In between, the run tells nothing about the kind.
	besideShare = 0.6
	absentShare = 0.1
	// slowRatio is the ratio to the typical value of its kind from which a run is slow.
	slowRatio = 1.2
	// slowWorkerShare is the share of slow runs, of several kinds, from which a worker is slow by itself, by its last
	// maxResults runs that are no older than resultAge.
	slowWorkerShare = 0.75
	maxResults      = 12
	minResults      = 4
	resultAge       = stableWindow
)

// Worker records which kinds of tasks run on a worker, and whether all of them are slow there.
type Worker struct {
	number    uint64
	presences []presence
	results   [maxResults]result
	n         int // number of results that were ever added
}

// presence is how long runs of a kind have been on a worker.
type presence struct {
	kind            *Kind
	runs, throttled int
	at              time.Duration // the totals are known until then
	totals
}

// totals are the times with at least one and two runs, and those with a throttled run.
type totals struct{ one, two, throttled time.Duration }

// advanced returns the totals at a time.
func (p *presence) advanced(now time.Duration) totals {
	t, d := p.totals, now-p.at
	if p.runs > 0 {
		t.one += d
	}
	if p.runs > 1 {
		t.two += d
	}
	if p.throttled > 0 {
		t.throttled += d
	}
	return t
}

// result tells whether a run was slow, and what was beside it.
type result struct {
	at     time.Duration
	kind   Set
	beside Set
	slow   bool
}

// Run is a run of a task on a worker.
type Run struct {
	kind      *Kind
	throttled bool
	// since is the begin of the measurement, and marks are the totals then.
	since time.Duration
	marks []totals
}

// NewWorker returns the record of a worker without runs.
func NewWorker(number uint64) *Worker { return &Worker{number: number} }

// presenceOf returns the presence of a kind. The entry of a kind that has lost its place is used again; only differences of
// the totals matter.
func (w *Worker) presenceOf(k *Kind) *presence {
	i := slices.IndexFunc(w.presences, func(p presence) bool { return p.kind == k })
	if i < 0 {
		i = slices.IndexFunc(w.presences, func(p presence) bool { return p.runs == 0 && p.kind.Set() == 0 })
		if i < 0 {
			w.presences = append(w.presences, presence{})
			i = len(w.presences) - 1
		}
		w.presences[i].kind = k
	}
	return &w.presences[i]
}

// change changes the number of runs of a kind, and of those that are throttled.
func (w *Worker) change(now time.Duration, k *Kind, runs, throttled int) {
	p := w.presenceOf(k)
	p.totals, p.at = p.advanced(now), now
	p.runs, p.throttled = p.runs+runs, p.throttled+throttled
}

// Start records that a run of a kind has started, and begins a measurement.
func (w *Worker) Start(now time.Duration, k *Kind) *Run {
	r := &Run{kind: k}
	w.change(now, k, 1, 0)
	w.Restart(now, r)
	return r
}

// End records that a run has ended.
func (w *Worker) End(now time.Duration, r *Run) {
	w.Throttle(now, r, false)
	w.change(now, r.kind, -1, 0)
}

// Throttle records whether a run is throttled. How it acts on others at full speed doesn't show then.
func (w *Worker) Throttle(now time.Duration, r *Run, throttled bool) {
	if r.throttled == throttled {
		return
	}
	r.throttled = throttled
	n := 1
	if !throttled {
		n = -1
	}
	w.change(now, r.kind, 0, n)
}

// Restart begins another measurement of a run.
func (w *Worker) Restart(now time.Duration, r *Run) {
	r.since, r.marks = now, r.marks[:0]
	for i := range w.presences {
		r.marks = append(r.marks, w.presences[i].advanced(now))
	}
}

// Since returns when the measurement began.
func (r *Run) Since() time.Duration { return r.since }

// besides returns the kinds that were beside a run during the measurement, and those for which that is unclear.
func (w *Worker) besides(now time.Duration, r *Run) (beside, unclear Set) {
	d := float64(now - r.since)
	for i := range w.presences {
		p := &w.presences[i]
		t := p.advanced(now)
		var mark totals
		if i < len(r.marks) {
			mark = r.marks[i]
		}
		share := float64(t.one-mark.one) / d
		if p.kind == r.kind {
			share = float64(t.two-mark.two) / d
		}
		switch {
		case share <= absentShare:
		case share < besideShare || float64(t.throttled-mark.throttled)/d > absentShare:
			unclear |= p.kind.Set()
		default:
			beside |= p.kind.Set()
		}
	}
	return beside, unclear
}

func (w *Worker) addResult(r result) {
	w.results[w.n%maxResults] = r
	w.n++
}

// isSlow reports whether the worker is slow by itself: runs of several kinds are, and no kind was beside most of them.
func (w *Worker) isSlow(now time.Duration) bool {
	n, slow, kinds := 0, 0, Set(0)
	var beside [maxKinds]int
	for _, r := range w.results[:min(w.n, maxResults)] {
		if now-r.at > resultAge {
			continue
		}
		n++
		if r.slow {
			slow++
			kinds |= r.kind
			r.beside.each(func(i int) { beside[i]++ })
		}
	}
	return n >= minResults && float64(slow) >= slowWorkerShare*float64(n) && bits.OnesCount64(uint64(kinds)) > 1 &&
		float64(slices.Max(beside[:])) < slowWorkerShare*float64(slow)
}
