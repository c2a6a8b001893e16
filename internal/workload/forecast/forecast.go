package forecast

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// slackJobs is the number of jobs over which their slack is averaged.
const slackJobs = 16

// movePrice is the price of a move, as the time for which an instance in a pool costs the same: 0.037 at 0.033 per second.
const movePrice = 1100 * time.Millisecond

// maxHeightTime is how long a busy period is expected to need its usual height whatever its rate. The height may come from a
// burst in one that lasted for minutes.
const maxHeightTime = 15 * time.Second

// Reason tells what a forecast is based on; it is empty if nothing is expected.
type Reason string

// Reasons of forecasts.
const (
	// Arrivals is the rate at which jobs arrive.
	Arrivals Reason = "arrivals"
	// BusyPeriod is what earlier busy periods needed at their height, in one that has begun.
	BusyPeriod Reason = "busy-period"
	// Rhythm is a busy period that hasn't begun, but followed busy periods like the last ones before.
	Rhythm Reason = "rhythm"
)

// Config holds the settings of a forecaster.
type Config struct {
	// MoveDuration is how long an instance is out of service when it moves to another pool.
	MoveDuration time.Duration
	// WithoutRhythm leaves out everything but the arrival rate.
	WithoutRhythm bool
}

// Forecaster predicts the demand of pools. It must be used by one goroutine.
type Forecaster struct {
	cfg   Config
	pools map[string]*pool
}

// pool is what the forecaster knows about a pool.
type pool struct {
	arrivals arrivals
	// slack is the mean slack of the last jobs, see ObserveSlack.
	slack time.Duration
	rhythm
}

// New returns a forecaster that has seen no demand.
func New(cfg Config) *Forecaster {
	return &Forecaster{cfg: cfg, pools: map[string]*pool{}}
}

// ObserveArrival records an accepted job of a pool. Its work is in the units of a resource times milliseconds.
func (f *Forecaster) ObserveArrival(name string, now time.Duration, work ledger.Resources) {
	p := f.pool(name)
	p.arrivals = p.arrivals.add(now, work)
}

// ObserveSlack records how much longer the latency objective of an accepted job of a pool is than its estimated run time.
func (f *Forecaster) ObserveSlack(name string, slack time.Duration) {
	p := f.pool(name)
	if len(p.arrivals) <= 1 {
		p.slack = slack
	}
	p.slack += (slack - p.slack) / slackJobs
}

func (f *Forecaster) pool(name string) *pool {
	if f.pools[name] == nil {
		f.pools[name] = &pool{rhythm: rhythm{after: map[string]*lag{}}}
	}
	return f.pools[name]
}

// Arriving returns the resources that the work that arrives keeps in use.
func (f *Forecaster) Arriving(name string, now time.Duration) ledger.Resources {
	return f.pool(name).arrivals.rate(now)
}

// Expected returns the resources that jobs of limited duration will need in a pool when an instance that moves now arrives,
// as far as arrivals and busy periods tell, and the reason. Needs that are expected because of a rhythm are not confirmed by
// arrivals yet.
func (f *Forecaster) Expected(name string, now time.Duration) (ledger.Resources, Reason) {
	p := f.pool(name)
	r, reason := p.arrivals.rate(now), Reason("")
	if r != (ledger.Resources{}) {
		reason = Arrivals
	}
	switch {
	case p.busy && now+f.cfg.MoveDuration < p.start+min(p.duration, maxHeightTime) && size(p.height) > size(r):
		return p.height.Max(r), BusyPeriod
	case p.forecast != nil && p.forecast.Acted && size(p.height) > size(r):
		return p.height.Max(r), Rhythm
	}
	return r, reason
}

// KeptFor returns what a pool will need in a busy period that is predicted soon enough that its idle instances cost less
// than to turn them off and on again.
func (f *Forecaster) KeptFor(name string, now time.Duration) ledger.Resources {
	return f.upcoming(name, now+2*movePrice)
}

// TakenFor returns what a pool will need in a busy period that is predicted soon enough that idle instances of other pools
// cost less until they are moved to it than to turn them off.
func (f *Forecaster) TakenFor(name string, now time.Duration) ledger.Resources {
	return f.upcoming(name, now+f.lead(f.pool(name))+movePrice)
}

func (f *Forecaster) upcoming(name string, until time.Duration) ledger.Resources {
	p := f.pool(name)
	if fc := p.forecast; fc != nil && fc.confidence >= minConfidence && fc.Begin <= until {
		return p.height
	}
	return ledger.Resources{}
}

// HasSeen reports whether a job of a pool was accepted.
func (f *Forecaster) HasSeen(name string) bool { return len(f.pool(name).arrivals) > 0 }

// Upcoming returns the forecast of a pool that counts for its size, nil if there is none.
func (f *Forecaster) Upcoming(name string) *Forecast {
	if fc := f.pool(name).forecast; fc != nil && fc.Acted {
		return fc
	}
	return nil
}
