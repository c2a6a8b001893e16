package forecast

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

const (
	// minWindowJobs is the number of jobs in a window from which its rate counts. With fewer, a few large jobs at once by
	// chance would ask for many instances.
	minWindowJobs = 6
	// lowRateJobs is the number of jobs over which a rate is computed that is too low for the windows. With fewer, two jobs
	// in quick succession by chance look like the start of a busy period; with more, a busy period is detected late.
	lowRateJobs = 4
	// maxSilentGaps is the time without a new job, in mean gaps between jobs, after which a busy period of a low rate ends.
	maxSilentGaps = 3
	// minGap is the lower bound of the mean gap between jobs of a low rate.
	minGap = 300 * time.Millisecond
)

// windows are the times over which arrival rates are computed. A short one detects a steep rise early, a long one gives a
// more accurate rate.
var windows = []time.Duration{
	100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
}

// arrival is an accepted job. Its work is in the units of a resource times milliseconds.
type arrival struct {
	at   time.Duration
	work ledger.Resources
}

// arrivals holds the newest jobs of a pool, the oldest first: those of the longest window, and at least lowRateJobs.
type arrivals []arrival

func (l arrivals) add(now time.Duration, work ledger.Resources) arrivals {
	l = append(l, arrival{now, work})
	drop := 0
	for drop < len(l)-lowRateJobs && now-l[drop].at > windows[len(windows)-1] {
		drop++
	}
	return l[drop:]
}

// rate returns the work that arrives per millisecond, which is the resources that it keeps in use; zero outside a busy period.
func (l arrivals) rate(now time.Duration) ledger.Resources {
	r, _ := l.windowRate(now)
	return r.Max(l.lowRate(now))
}

// windowRate returns the largest rate of a window, and the first arrival in the shortest window with a rate.
func (l arrivals) windowRate(now time.Duration) (r ledger.Resources, since time.Duration) {
	for _, window := range slices.Backward(windows) {
		sum, n := ledger.Resources{}, 0
		first := now
		for i := len(l) - 1; i >= 0 && now-l[i].at < window; i-- {
			sum, n, first = sum.Plus(l[i].work), n+1, l[i].at
		}
		if n < minWindowJobs {
			continue
		}
		// The number of jobs in a window varies by about its square root. Without that much less, each short cluster of a
		// steady load would look like a rise.
		certain := (float64(n) - math.Sqrt(float64(n))) / float64(n)
		r, since = r.Max(scale(sum, certain/float64(window.Milliseconds()))), first
	}
	return r, since
}

// lowRate returns the rate over the last lowRateJobs jobs, which may be longer ago than the windows.
func (l arrivals) lowRate(now time.Duration) ledger.Resources {
	if len(l) < lowRateJobs {
		return ledger.Resources{}
	}
	newest := l[len(l)-lowRateJobs:]
	first, last := newest[0].at, newest[lowRateJobs-1].at
	gap := max((last-first)/(lowRateJobs-1), minGap)
	if now-last > maxSilentGaps*gap {
		return ledger.Resources{}
	}
	sum := ledger.Resources{}
	for _, a := range newest[1:] {
		sum = sum.Plus(a.work)
	}
	return scale(sum, 1/float64(max(last-first, minGap).Milliseconds()))
}

func scale(r ledger.Resources, f float64) ledger.Resources {
	by := func(n int64) int64 { return int64(math.Round(float64(n) * f)) }
	return ledger.Resources{CPU: by(r.CPU), Memory: by(r.Memory), Accelerators: by(r.Accelerators)}
}
