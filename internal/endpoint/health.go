package endpoint

import (
	"math"
	"time"
)

const (
	// maxConsecutiveFailures is the number of consecutive failures after which an endpoint is ejected.
	maxConsecutiveFailures = 5
	// An endpoint is also ejected if half of the attempts within the window failed, given at least minWindowAttempts.
	windowBuckets     = 10
	bucketDuration    = time.Second
	minWindowAttempts = 20
	// baseEjectDuration doubles with each consecutive ejection, up to maxEjectDuration.
	baseEjectDuration = 5 * time.Second
	maxEjectDuration  = time.Minute
	// rampDuration is the time in which a readmitted endpoint returns from initialRampShare to its full share of work.
	rampDuration     = 30 * time.Second
	initialRampShare = 0.1
	// ejectDivisor limits the ejected endpoints of a pool to one third of the live ones.
	ejectDivisor = 3
	// failurePenalty increases the load that is assumed for an endpoint in proportion to its failure rate. Without it,
	// an endpoint that fails fast would attract most of the work, because few requests run on it.
	failurePenalty = 10
	// penaltyHalfLife is the half-life of the failure rate. The decay lets an endpoint that gets no work because of its
	// failures be tried again.
	penaltyHalfLife = 3 * time.Second
)

// health holds the results of attempts on one instance and the state of its ejection.
type health struct {
	consecutiveFailures int
	// buckets counts the results of the window. The field at is the time of a bucket in units of bucketDuration.
	buckets              [windowBuckets]struct{ at, total, failed int64 }
	failureRate          float64 // moving average at failureRateAt, 0 to 1
	failureRateAt        time.Time
	consecutiveEjections int
	ejectedUntil         time.Time
}

func (h *health) recordResult(now time.Time, ok bool) {
	const smoothing = 0.2
	bucket := now.UnixNano() / int64(bucketDuration)
	b := &h.buckets[bucket%windowBuckets]
	if b.at != bucket {
		b.at, b.total, b.failed = bucket, 0, 0
	}
	b.total++
	h.failureRate, h.failureRateAt = h.decayedFailureRate(now), now
	if ok {
		h.consecutiveFailures = 0
		h.failureRate -= h.failureRate * smoothing
		if h.consecutiveEjections > 0 && now.Sub(h.ejectedUntil) >= rampDuration {
			h.consecutiveEjections = 0
		}
		return
	}
	b.failed++
	h.consecutiveFailures++
	h.failureRate += (1 - h.failureRate) * smoothing
}

// decayedFailureRate returns the failure rate, which decays while there are no results.
func (h *health) decayedFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-float64(now.Sub(h.failureRateAt))/float64(penaltyHalfLife))
}

// shouldEject reports whether the results justify an ejection. During the ramp a single failure is sufficient.
func (h *health) shouldEject(now time.Time) bool {
	if h.consecutiveEjections > 0 && h.consecutiveFailures > 0 && now.Sub(h.ejectedUntil) < rampDuration {
		return true
	}
	bucket := now.UnixNano() / int64(bucketDuration)
	var total, failed int64
	for _, b := range h.buckets {
		if bucket-b.at < windowBuckets {
			total, failed = total+b.total, failed+b.failed
		}
	}
	return h.consecutiveFailures >= maxConsecutiveFailures || total >= minWindowAttempts && 2*failed >= total
}

func (h *health) eject(now time.Time) {
	h.ejectedUntil = now.Add(min(baseEjectDuration<<min(h.consecutiveEjections, 8), maxEjectDuration))
	h.consecutiveEjections++
	h.consecutiveFailures, h.failureRate = 0, 0
	clear(h.buckets[:])
}

func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// workShare returns the fraction of its normal work that the endpoint gets, which grows from initialRampShare to 1
// after an ejection.
func (h *health) workShare(now time.Time) float64 {
	if h.consecutiveEjections == 0 || now.Sub(h.ejectedUntil) >= rampDuration {
		return 1
	}
	return initialRampShare + (1-initialRampShare)*float64(now.Sub(h.ejectedUntil))/float64(rampDuration)
}

// ReportResult records whether an attempt succeeded. It ejects the endpoint if too many attempts failed and the limit
// of ejected endpoints in its pool permits it. Attempts that ended because of the caller must not be reported.
func (t *Target) ReportResult(ok bool) {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	h := &t.record.health
	h.recordResult(now, ok)
	if ok || h.isEjected(now) || !h.shouldEject(now) {
		return
	}
	live, ejected := 0, 0
	for _, vi := range t.view.PoolInstances(t.pool) {
		if i := r.instances[vi.Name]; i != nil && vi.AcceptsWork && i.isLive(now) {
			live++
			if i.health.isEjected(now) {
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
	r.cfg.Log.Info("endpoint ejected", "instance", t.instance, "until", h.ejectedUntil,
		"ejections", h.consecutiveEjections)
}
