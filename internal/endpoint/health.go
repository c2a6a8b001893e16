package endpoint

import (
	"math"
	"time"
)

const (
	// maxConsecutive is the number of failures in a row after which an endpoint is ejected.
	maxConsecutive = 5
	// An endpoint is also ejected when half of at least minSamples attempts within the window failed.
	windowBuckets = 10
	bucketLength  = time.Second
	minSamples    = 20
	// ejectBase doubles with each ejection in a row, up to ejectMax.
	ejectBase = 5 * time.Second
	ejectMax  = time.Minute
	// rampLength is the time over which a re-admitted endpoint returns to its full share, starting at rampStart.
	rampLength = 30 * time.Second
	rampStart  = 0.1
	// ejectDivisor caps the ejected endpoints of a pool at one in three live ones.
	ejectDivisor = 3
	// failurePenalty multiplies the load of an endpoint that fails everything. Without it the low running count of
	// an endpoint that fails fast would attract most of the work.
	failurePenalty = 10
	// penaltyHalfLife lets an endpoint that gets no work because of its failures be tried again.
	penaltyHalfLife = 3 * time.Second
)

// health counts the results of attempts at one instance and holds its ejection.
type health struct {
	consecutive int
	buckets     [windowBuckets]struct{ at, total, failed int64 }
	rate        float64 // moving average of failures at rateAt, 0 to 1
	rateAt      time.Time
	ejections   int // in a row
	until       time.Time
}

func (h *health) record(now time.Time, ok bool) {
	const smoothing = 0.2
	at := now.UnixNano() / int64(bucketLength)
	b := &h.buckets[at%windowBuckets]
	if b.at != at {
		b.at, b.total, b.failed = at, 0, 0
	}
	b.total++
	h.rate, h.rateAt = h.decayed(now), now
	if ok {
		h.consecutive = 0
		h.rate -= h.rate * smoothing
		if h.ejections > 0 && now.Sub(h.until) >= rampLength {
			h.ejections = 0
		}
		return
	}
	b.failed++
	h.consecutive++
	h.rate += (1 - h.rate) * smoothing
}

// decayed returns the average of failures, which fades while there are no results.
func (h *health) decayed(now time.Time) float64 {
	if h.rate == 0 {
		return 0
	}
	return h.rate * math.Exp2(-float64(now.Sub(h.rateAt))/float64(penaltyHalfLife))
}

// bad reports whether the results ask for an ejection. During the ramp a single failure is enough.
func (h *health) bad(now time.Time) bool {
	if h.ejections > 0 && h.consecutive > 0 && now.Sub(h.until) < rampLength {
		return true
	}
	at := now.UnixNano() / int64(bucketLength)
	var total, failed int64
	for _, b := range h.buckets {
		if at-b.at < windowBuckets {
			total, failed = total+b.total, failed+b.failed
		}
	}
	return h.consecutive >= maxConsecutive || total >= minSamples && 2*failed >= total
}

func (h *health) eject(now time.Time) {
	h.until = now.Add(min(ejectBase<<min(h.ejections, 8), ejectMax))
	h.ejections++
	h.consecutive, h.rate = 0, 0
	clear(h.buckets[:])
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }

// share returns the part of its work that the endpoint gets, which grows after an ejection.
func (h *health) share(now time.Time) float64 {
	if h.ejections == 0 || now.Sub(h.until) >= rampLength {
		return 1
	}
	return rampStart + (1-rampStart)*float64(now.Sub(h.until))/float64(rampLength)
}

// ReportResult records whether the endpoint served an attempt, and ejects it when its results are bad and the cap of its
// pool allows it. An attempt that ended for a reason of the caller is not reported.
func (t *Target) ReportResult(ok bool) {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	h := &t.record.health
	h.record(now, ok)
	if ok || h.ejected(now) || !h.bad(now) {
		return
	}
	live, ejected := 0, 0
	for _, vi := range t.view.PoolInstances(t.pool) {
		if i := r.instances[vi.Name]; i != nil && vi.AcceptsWork && i.isLive(now) {
			live++
			if i.health.ejected(now) {
				ejected++
			}
		}
	}
	if ejected+1 > live/ejectDivisor {
		r.stats.capped.Inc()
		return
	}
	h.eject(now)
	r.stats.ejected.Inc()
	r.cfg.Log.Info("endpoint ejected", "instance", t.instance, "until", h.until, "ejections", h.ejections)
}
