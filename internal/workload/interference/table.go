package interference

import "time"

const (
	// maxPairs bounds the pairs for which there is evidence, to less than 1 MB.
	maxPairs = 512
	// minWorkers is on how many workers a kind must have been beside another, so that a slow worker doesn't pass for an
	// effect.
	minWorkers = 3
	// minSamplesOfWorker is how many samples of a worker without the other kind serve as its own baseline.
	minSamplesOfWorker = 3
	// minEffect is the ratio from which a pair counts, and endedEffect the one below which it doesn't any more.
	minEffect   = 1.25
	endedEffect = 1.1
	// maxSpread is the ratio of the interquartile range to the median, without the other kind, from which the values of a
	// kind vary too widely by nature.
	maxSpread = 0.4
	// stableWindow and volatileWindow are how long evidence is used. The effects of best-effort tasks and those on
	// latency-sensitive ones change within seconds.
	stableWindow   = 30 * time.Second
	volatileWindow = 5 * time.Second
	// stableHold and volatileHold are how long a pair counts after the last evidence for it. Most tasks avoid each other
	// meanwhile, and each time that the pair is learned anew, some don't.
	stableHold   = 60 * time.Second
	volatileHold = 15 * time.Second
	// updateInterval is the time between two evaluations of the evidence.
	updateInterval = 250 * time.Millisecond
)

// Table holds the evidence on pairs of kinds. Its memory is bounded.
type Table struct {
	kinds     [maxKinds]*Kind
	byName    map[string]*Kind
	fullUntil time.Duration
	pairs     [maxKinds][maxKinds]*pair // by the kind that is slowed and the other one
	pairCount int
	counting  int
	slowedBy  [maxKinds]Set
	avoided   [maxKinds]Set
	updatedAt time.Duration
	changes   []Change
}

// pair is the evidence that a kind is slowed down by another one.
type pair struct {
	kind, other   *Kind
	with, without samples
	counts        bool
	ratio         float64 // the last one that made it count
}

// Change tells that a pair begins or ceases to count.
type Change struct {
	Kind, Other string
	Counts      bool
	// Reason tells why the pair ceases to count.
	Reason string
	// Ratio is the value with the other kind relative to the one without it, 0 if it isn't known any more.
	Ratio                  float64
	With, Without, Workers int
}

// New returns a table without evidence.
func New() *Table { return &Table{byName: map[string]*Kind{}} }

// Counting returns the number of pairs that count.
func (t *Table) Counting() int { return t.counting }

// Slows reports whether a kind is slowed down by another one.
func (t *Table) Slows(kind, other *Kind) bool {
	return kind.Set() != 0 && t.slowedBy[kind.index]&other.Set() != 0
}

// Avoided returns the kinds that slow a kind down or are slowed down by it.
func (t *Table) Avoided(k *Kind) Set {
	if k.Set() == 0 {
		return 0
	}
	return t.avoided[k.index]
}

// Observe adds a measurement of a run on a worker, which ends now. The values of a group are alike for other reasons than
// their workers; group 0 has no such values.
func (t *Table) Observe(now time.Duration, w *Worker, r *Run, group uint64, value float64) {
	k := r.kind
	if k.Set() == 0 || value <= 0 || now <= r.since {
		return
	}
	beside, unclear := w.besides(now, r)
	k.seenAt = now
	beside.each(func(i int) { t.kinds[i].seenAt = now })
	if k.typical > 0 {
		w.addResult(result{at: now, kind: k.Set(), beside: beside, slow: value >= slowRatio*k.typical})
	}
	if w.isSlow(now) {
		return
	}
	m := sample{at: now, worker: w.number, group: group, value: value}
	k.addValue(m)
	strongest := t.strongest(k, beside)
	beside.each(func(i int) {
		if p := t.pairOf(now, k, t.kinds[i]); p != nil && (strongest == nil || strongest == p) {
			p.with.add(m)
		}
	})
	if strongest != nil {
		return // It isn't typical of runs without any other kind.
	}
	for i, p := range t.pairs[k.index] {
		if p != nil && (beside|unclear)&(1<<i) == 0 {
			p.without.add(m)
		}
	}
}

// strongest returns the pair with the greatest effect of those that count and whose other kind is in a set. What it does must
// not be taken for an effect of the others.
func (t *Table) strongest(k *Kind, beside Set) *pair {
	var best *pair
	(beside & t.slowedBy[k.index]).each(func(i int) {
		if p := t.pairs[k.index][i]; best == nil || p.ratio > best.ratio {
			best = p
		}
	})
	return best
}

// pairOf returns the pair of two kinds, which it adds in place of the one with the oldest evidence if there are too many, nil
// if all of these count.
func (t *Table) pairOf(now time.Duration, kind, other *Kind) *pair {
	if p := t.pairs[kind.index][other.index]; p != nil {
		return p
	}
	if t.pairCount >= maxPairs && !t.removeOldest(now) {
		return nil
	}
	p := &pair{kind: kind, other: other}
	t.pairs[kind.index][other.index] = p
	t.pairCount++
	return p
}

func (t *Table) removeOldest(now time.Duration) bool {
	var oldest *pair
	var at time.Duration
	for i := range t.pairs {
		for _, p := range t.pairs[i] {
			if p == nil || p.counts {
				continue
			}
			if newest := p.with.newest(); oldest == nil || newest < at {
				oldest, at = p, newest
			}
		}
	}
	if oldest == nil {
		return false
	}
	t.remove(now, oldest.kind.index, oldest.other.index, "evicted")
	return true
}

// remove removes a pair, if there is one.
func (t *Table) remove(now time.Duration, kind, other int, reason string) {
	if p := t.pairs[kind][other]; p != nil {
		if p.counts {
			t.setCounts(p, p.figures(now), reason)
		}
		t.pairs[kind][other] = nil
		t.pairCount--
	}
}

// Update evaluates the evidence if that is due, and returns the pairs that begin or cease to count.
func (t *Table) Update(now time.Duration) []Change {
	if now-t.updatedAt >= updateInterval {
		t.updatedAt = now
		for i := range t.pairs {
			for j, p := range t.pairs[i] {
				if p != nil {
					t.evaluate(now, p, i, j)
				}
			}
		}
	}
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Table) evaluate(now time.Duration, p *pair, kind, other int) {
	f := p.figures(now)
	switch {
	case p.counts && now-p.with.newest() > p.hold():
		t.setCounts(p, f, "evidence-too-old")
	case p.counts && f.isContradicted():
		t.setCounts(p, f, "contradicted")
	case p.counts && f.isClear():
		p.ratio = f.ratio
	case !p.counts && f.isClear():
		t.setCounts(p, f, "")
	case !p.counts && f.with == 0 && f.without == 0:
		t.remove(now, kind, other, "")
	}
}

// setCounts makes a pair begin to count, or cease to count for a reason.
func (t *Table) setCounts(p *pair, f figures, reason string) {
	i, j := p.kind.index, p.other.index
	if p.counts = reason == ""; p.counts {
		p.ratio = f.ratio
		t.counting++
		t.slowedBy[i] |= 1 << j
	} else {
		t.counting--
		t.slowedBy[i] &^= 1 << j
	}
	t.avoided = t.slowedBy
	for k, others := range t.slowedBy {
		others.each(func(o int) { t.avoided[o] |= 1 << k })
	}
	t.changes = append(t.changes, Change{
		Kind: p.kind.name, Other: p.other.name, Counts: p.counts, Reason: reason, Ratio: f.ratio,
		With: f.with, Without: f.without, Workers: f.workers,
	})
}

// figures are what the evidence on a pair amounts to at a time.
type figures struct {
	with, without, workers int
	ratio, lowRatio        float64 // median and lower quartile of the workers, 0 without samples of both sorts
	latest                 float64 // median of the workers for the last minSamples samples
	separate               bool    // most samples with the other kind exceed most of those without it
	spread                 float64 // of the samples without the other kind
}

func (p *pair) figures(now time.Duration) figures {
	// Values without the other kind change less than its effect. If they do, their spread tells.
	with, without := p.with.since(now-min(p.kind.window, p.other.window)), p.without.since(now-stableWindow)
	f := figures{with: len(with), without: len(without)}
	if len(with) < minSamples/2 || len(without) < minSamples/2 {
		return f
	}
	list := votes(with, without)
	f.workers, f.ratio, f.lowRatio = len(list), quantile(list, 0.5), quantile(list, 0.25)
	f.latest = quantile(votes(with[:min(len(with), minSamples)], without), 0.5)
	others := values(without)
	f.separate = quantile(values(with), 0.25) >= quantile(others, 0.75)
	f.spread = (quantile(others, 0.75) - quantile(others, 0.25)) / quantile(others, 0.5)
	return f
}

// hold returns how long the pair counts after the last evidence for it.
func (p *pair) hold() time.Duration {
	if min(p.kind.window, p.other.window) == volatileWindow {
		return volatileHold
	}
	return stableHold
}

// isClear reports whether the evidence is enough for a pair to count.
func (f figures) isClear() bool {
	return f.with >= minSamples && f.without >= minBaseline && f.workers >= minWorkers && f.ratio >= minEffect &&
		f.lowRatio >= endedEffect && f.separate && f.spread <= maxSpread
}

// isContradicted reports whether the latest evidence shows no effect any more.
func (f figures) isContradicted() bool { return f.latest > 0 && f.latest < endedEffect }
