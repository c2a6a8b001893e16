package forecast

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

const (
	// beginRatio is the ratio of a rate to the highest ones of the last busy periods from which another one begins. The rate of
	// the first 100 ms is about half of these, because it leaves out what may be chance.
	beginRatio = 0.4
	// endRatio is the ratio of a rate to the highest one of a busy period below which the period ends, after endDelay.
	endRatio = 0.2
	endDelay = 500 * time.Millisecond
	// endLag is how long the longest window shows more than endRatio after the last job.
	endLag = 600 * time.Millisecond
	// minPeriod is the shortest busy period that counts. A shorter one is over before an instance has moved.
	minPeriod = time.Second
	// maxLag is the longest time between busy periods of which one is predicted from the other.
	maxLag = 2 * time.Minute
	// maxPredecessors is the number of other pools whose busy periods one is predicted from, those that began last. The cost
	// of a decision grows with its square for each pool.
	maxPredecessors = 8
	// minTolerance and maxTolerance bound how much earlier or later than predicted a busy period may begin, which is a part
	// of 1/toleranceShare of the lag. A forecast that isn't confirmed by then, and confirmDelay later, ends.
	minTolerance, maxTolerance = 400 * time.Millisecond, time.Second
	toleranceShare             = 8
	// confirmDelay is how long a rate of 15 jobs per second takes until a window has enough of them.
	confirmDelay = 400 * time.Millisecond
	// startupMargin is how much longer than a move it takes until a worker gets runs: the announcement of the move, the
	// worker's first heartbeat and its first lease.
	startupMargin = 400 * time.Millisecond
	// minConfidence is the probability of a forecast from which it is used. Without the instance, jobs worth about 0.6 are
	// late; a wrong forecast costs two moves of 0.037 and 3 s of 0.033. So it pays from 0.23; the rest is a margin for
	// deployments whose jobs are worth less. A lag that was seen once is used until it has been wrong once.
	minConfidence = 0.4
	// recordDecay is the weight that the earlier forecasts of a pool keep when one more has proven right or wrong.
	recordDecay = 0.8
	// maxSeen bounds how often a lag counts, and so the number of busy periods out of turn after which it is replaced.
	maxSeen = 4
	// maxReadyRatio bounds the height of a busy period by the rate of its work, because jobs that waited for instances
	// add to what it seemed to need.
	maxReadyRatio = 1.5
)

// rhythm is what is known about the busy periods of a pool.
type rhythm struct {
	begun  bool // there was a busy period
	busy   bool
	start  time.Duration // of the present or last busy period
	busyAt time.Duration // when the present one last had a sufficient rate
	counts bool          // the last busy period was long enough, or may become so

	highest  ledger.Resources // rate of the present busy period
	readySum ledger.Resources // what ready tasks needed in the present busy period, for readyNum observations
	readyNum int64
	lags     map[string]time.Duration // by which the present one follows those of the other pools

	// usual is the highest rate of the last busy periods, height what they needed, the latest counting half.
	usual    ledger.Resources
	height   ledger.Resources
	duration time.Duration
	// after holds the lags that have been seen, by the pool whose busy period came before.
	after map[string]*lag
	// right and wrong are the numbers of forecasts that have proven so, the earlier ones counting less.
	right, wrong float64
	forecast     *Forecast
}

// lag is the time by which the busy period of a pool follows that of another one, or its own last one.
type lag struct {
	length time.Duration
	seen   int // times with about this length, less those with another one
	// lapsedFor is the start of the busy period after which the lag last proved wrong.
	lapsedFor time.Duration
	lapsed    bool
}

// Forecast is a predicted busy period.
type Forecast struct {
	// Pool is the pool that will be busy, After the one whose busy period it follows.
	Pool, After string
	// Begin is when it is predicted to begin.
	Begin time.Duration
	// Seen is how often this was seen, less how often the other pool was busy at another time.
	Seen int
	// Acted reports whether the forecast counted for the size of the pool.
	Acted bool
	// Right reports whether the busy period began about when it was predicted.
	Right bool

	tolerance  time.Duration
	confidence float64
}

func tolerance(lag time.Duration) time.Duration {
	return min(max(lag/toleranceShare, minTolerance), maxTolerance)
}

// lapsesAt returns when a forecast that isn't confirmed ends.
func (fc *Forecast) lapsesAt() time.Duration { return fc.Begin + fc.tolerance + confirmDelay }

// size makes rates of a pool comparable.
func size(r ledger.Resources) float64 {
	if r.CPU > 0 {
		return float64(r.CPU)
	}
	return float64(r.Memory)
}

// Advance updates the busy periods and forecasts of all pools, and returns the forecasts that have ended. It is called
// periodically, several times within minPeriod.
func (f *Forecaster) Advance(now time.Duration) []Forecast {
	if f.cfg.WithoutRhythm {
		return nil
	}
	var ended []Forecast
	names := slices.Sorted(maps.Keys(f.pools))
	for _, name := range names {
		p := f.pools[name]
		rate, since := p.arrivals.windowRate(now)
		switch {
		case p.busy && size(rate) >= endRatio*size(p.highest) && size(rate) > 0:
			p.busyAt, p.highest = now, p.highest.Max(rate)
		case p.busy && now-p.busyAt >= endDelay:
			p.endPeriod(name)
		case !p.busy && size(rate) > 0 && size(rate) >= beginRatio*size(p.usual):
			f.beginPeriod(name, since, now)
			if fc := p.forecast; fc != nil && (fc.Acted || since >= fc.Begin-fc.tolerance) {
				fc.Right = true
				ended = append(ended, p.endForecast())
			}
			p.forecast = nil
		}
	}
	for _, name := range names {
		if fc, ok := f.updateForecast(name, now); ok {
			ended = append(ended, fc)
		}
	}
	return ended
}

// ObserveReady records what the ready tasks of a pool need that run for a limited time.
func (f *Forecaster) ObserveReady(name string, need ledger.Resources) {
	if p := f.pool(name); p.busy {
		p.readySum, p.readyNum = p.readySum.Plus(need), p.readyNum+1
	}
}

func (f *Forecaster) beginPeriod(name string, start, now time.Duration) {
	p := f.pools[name]
	lags := map[string]time.Duration{}
	var others []string
	for other, o := range f.pools {
		// Of several busy periods of this pool, only the first follows that of another pool.
		if o.begun && o.counts && start-o.start <= maxLag && o.start < start && (other == name || !p.begun || p.start < o.start) {
			lags[other] = start - o.start
			if other != name {
				others = append(others, other)
			}
		}
	}
	if len(others) > maxPredecessors {
		slices.SortFunc(others, func(a, b string) int { return cmp.Or(cmp.Compare(lags[a], lags[b]), cmp.Compare(a, b)) })
		for _, other := range others[maxPredecessors:] {
			delete(lags, other)
		}
	}
	p.begun, p.busy, p.counts, p.start, p.busyAt, p.lags = true, true, true, start, now, lags
	p.highest, p.readySum, p.readyNum = ledger.Resources{}, ledger.Resources{}, 0
}

func (p *pool) endPeriod(name string) {
	p.busy = false
	duration := p.busyAt - p.start - endLag
	if p.counts = duration >= minPeriod; !p.counts {
		return
	}
	height, usual := p.highest, p.highest
	if p.readyNum > 0 {
		mean := scale(p.readySum, 1/float64(p.readyNum))
		height = height.Max(mean)
		if limit := maxReadyRatio * size(p.highest); size(height) > limit {
			height = scale(height, limit/size(height))
		}
	}
	if p.duration > 0 {
		// Instances that are missing cost more than some that aren't needed.
		height, duration = height.Max(scale(height.Plus(p.height), 0.5)), (duration+p.duration)/2
		usual = scale(usual.Plus(p.usual), 0.5)
	}
	p.height, p.duration, p.usual = height, duration, usual
	for other, length := range p.lags {
		l := p.after[other]
		switch {
		case l != nil && (l.length-length).Abs() <= tolerance(length):
			l.length, l.seen = (l.length+length)/2, min(l.seen+1, maxSeen)
		case l != nil && l.seen > 1:
			l.seen--
		default:
			p.after[other] = &lag{length: length, seen: 1}
		}
	}
	for _, other := range slices.Sorted(maps.Keys(p.after)) {
		if _, ok := p.lags[other]; !ok && other != name && len(p.after) > maxPredecessors+1 {
			delete(p.after, other)
		}
	}
}

// updateForecast makes, replaces or ends the forecast of a pool. It returns one that has proven wrong.
func (f *Forecaster) updateForecast(name string, now time.Duration) (Forecast, bool) {
	p := f.pools[name]
	if fc := p.forecast; fc != nil && now > fc.lapsesAt() {
		for other, l := range p.after {
			// Another lag that predicts the same busy period is no further chance for it.
			if o := f.pools[other]; o.start+l.length < now+maxTolerance {
				// Without a busy period, nothing else reduces how often the lag counts.
				l.lapsed, l.lapsedFor, l.seen = true, o.start, max(l.seen-1, 1)
			}
		}
		return p.endForecast(), true
	}
	last := p.forecast
	p.forecast = nil
	if p.busy || p.duration == 0 {
		return Forecast{}, false
	}
	var candidates []*Forecast
	for _, other := range slices.Sorted(maps.Keys(p.after)) {
		l, o := p.after[other], f.pools[other]
		fc := &Forecast{Pool: name, After: other, Begin: o.start + l.length, Seen: l.seen, tolerance: tolerance(l.length)}
		if o.counts && o.start >= p.start && (!l.lapsed || l.lapsedFor != o.start) && now <= fc.lapsesAt() {
			candidates = append(candidates, fc)
		}
	}
	p.forecast = p.choose(candidates)
	if fc := p.forecast; fc != nil {
		fc.Acted = fc.confidence >= minConfidence && now >= fc.Begin-f.lead(p) ||
			last != nil && last.Acted && (last.Begin-fc.Begin).Abs() <= maxTolerance
	}
	return Forecast{}, false
}

// choose returns the candidate that most of the others agree with, nil if there is none. A pool that was busy out of turn
// predicts busy periods that the other pools don't.
func (p *pool) choose(candidates []*Forecast) *Forecast {
	var best *Forecast
	total, bestSupport := 0, 0
	for _, c := range candidates {
		total += c.Seen
		support := 0
		for _, o := range candidates {
			if (o.Begin - c.Begin).Abs() <= maxTolerance {
				support += o.Seen
			}
		}
		if best == nil || support > bestSupport || support == bestSupport &&
			(c.Seen > best.Seen || c.Seen == best.Seen && c.tolerance < best.tolerance) {
			best, bestSupport = c, support
		}
	}
	if best != nil {
		seen := float64(best.Seen)
		best.confidence = (p.right + seen) / (p.right + p.wrong + seen + 1) * float64(bestSupport) / float64(total)
	}
	return best
}

// lead returns how long before a predicted busy period instances move to a pool. Jobs with more slack than a move takes can
// wait for a part of it.
func (f *Forecaster) lead(p *pool) time.Duration {
	return max(f.cfg.MoveDuration+startupMargin-max(p.slack-f.cfg.MoveDuration, 0), 0)
}

// endForecast ends a forecast that has proven right or wrong, and weighs the next ones by that.
func (p *pool) endForecast() Forecast {
	fc := *p.forecast
	p.forecast = nil
	p.right, p.wrong = p.right*recordDecay, p.wrong*recordDecay
	if fc.Right {
		p.right++
	} else {
		p.wrong++
	}
	return fc
}
