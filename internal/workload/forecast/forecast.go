package forecast

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// Reason tells what a forecast is based on; it is empty if nothing is expected.
type Reason string

// Reasons of forecasts.
const (
	// Arrivals is the rate at which jobs arrive.
	Arrivals Reason = "arrivals"
)

// Config holds the settings of a forecaster.
type Config struct {
	// MoveDuration is how long an instance is out of service when it moves to another pool.
	MoveDuration time.Duration
}

// Forecaster predicts the demand of pools. It must be used by one goroutine.
type Forecaster struct {
	cfg   Config
	pools map[string]*pool
}

// pool is what the forecaster knows about a pool.
type pool struct {
	arrivals arrivals
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

func (f *Forecaster) pool(name string) *pool {
	if f.pools[name] == nil {
		f.pools[name] = &pool{}
	}
	return f.pools[name]
}

// Expected returns the resources that jobs of limited duration will need in a pool when an instance that moves now arrives,
// as far as arrivals tell, and the reason.
func (f *Forecaster) Expected(name string, now time.Duration) (ledger.Resources, Reason) {
	r := f.pool(name).arrivals.rate(now)
	if r == (ledger.Resources{}) {
		return r, ""
	}
	return r, Arrivals
}
