package forecast

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// busy is a busy period of a pool.
type busy struct {
	pool       string
	begin, end time.Duration
}

// playUntil plays busy periods with 50 jobs per second that keep 50 cores in use, and returns the forecasts that have ended.
func playUntil(f *Forecaster, from, to time.Duration, list []busy) []Forecast {
	var ended []Forecast
	for now := from; now < to; now += 20 * time.Millisecond {
		for _, b := range list {
			if b.begin <= now && now < b.end {
				f.ObserveArrival(b.pool, now, ledger.Resources{CPU: 1_000_000})
				f.ObserveReady(b.pool, ledger.Resources{CPU: 50_000})
			}
		}
		if now%(100*time.Millisecond) == 0 {
			ended = append(ended, f.Advance(now)...)
		}
	}
	return ended
}

// inTurn returns busy periods of 4 s in turn.
func inTurn(n int, pools ...string) []busy {
	var list []busy
	for i := range n {
		begin := time.Duration(i) * 4 * time.Second
		list = append(list, busy{pools[i%len(pools)], begin, begin + 4*time.Second})
	}
	return list
}

// Guards against busy periods that are predicted too late for a move, too early, or from what is no rhythm.
func TestRhythm(t *testing.T) {
	const s = time.Second
	for _, tt := range []struct {
		name   string
		load   []busy
		at     time.Duration
		pool   string
		cpu    int64 // thousandths of a core, 0 if none may be expected
		reason Reason
	}{
		{"nothing seen", nil, 10 * s, "a", 0, ""},
		{"first cycle", inTurn(1, "a", "b"), 3 * s, "b", 0, ""},
		{"too early", inTurn(5, "a", "b"), 17900 * time.Millisecond, "b", 0, ""},
		{"a move ahead", inTurn(5, "a", "b"), 18300 * time.Millisecond, "b", 50_000, Rhythm},
		{"not confirmed yet", inTurn(5, "a", "b"), 20300 * time.Millisecond, "b", 50_000, Rhythm},
		{"lapsed", inTurn(5, "a", "b"), 21200 * time.Millisecond, "b", 0, ""},
		{"begun", inTurn(6, "a", "b"), 20300 * time.Millisecond, "b", 50_000, BusyPeriod},
		{"ends before a move", inTurn(6, "a", "b"), 23 * s, "b", 44_000, Arrivals},
		{"one pool alone", []busy{{"a", 0, 4 * s}, {"a", 10 * s, 14 * s}}, 18500 * time.Millisecond, "a", 50_000, Rhythm},
		{"jobs at once", []busy{{"a", 0, s / 5}, {"a", 10 * s, 10*s + s/5}, {"a", 20 * s, 20*s + s/5}}, 28500 * time.Millisecond, "a", 0, ""},
		{"after a burst out of turn", append(inTurn(9, "a", "b", "c", "d"), busy{"a", 25 * s, 27 * s}), 27500 * time.Millisecond, "b", 0, ""},
		{"in turn after a burst", append(inTurn(9, "a", "b", "c", "d"), busy{"a", 25 * s, 27 * s}), 34300 * time.Millisecond, "b", 50_000, Rhythm},
		{"without an end", []busy{{"a", 0, 40 * s}}, 39 * s, "a", 44_000, Arrivals},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := New(Config{MoveDuration: 1500 * time.Millisecond})
			playUntil(f, 0, tt.at, tt.load)
			r, reason := f.Expected(tt.pool, tt.at)
			assert.Equal(t, reason, tt.reason)
			assert.Assert(t, float64(r.CPU) >= 0.9*float64(tt.cpu) && float64(r.CPU) <= 1.1*float64(tt.cpu), "%d", r.CPU)
		})
	}
}

// Guards against forecasts that are used again and again although the pool shows no rhythm.
func TestForecastsWithoutRhythmStop(t *testing.T) {
	f := New(Config{MoveDuration: 1500 * time.Millisecond})
	var load []busy
	begin := time.Duration(0)
	random := rand.New(rand.NewPCG(1, 2))
	for range 40 {
		begin += 5*time.Second + time.Duration(random.Int64N(int64(20*time.Second)))
		load = append(load, busy{"a", begin, begin + 3*time.Second})
	}
	wrong := 0
	for _, fc := range playUntil(f, 0, begin, load) {
		if fc.Acted && !fc.Right {
			wrong++
		}
	}
	t.Logf("%d wrong", wrong)
	assert.Assert(t, wrong <= 8, "%d of 40", wrong)
}

// Guards against a pool that gets instances in each cycle of the others although it isn't busy any more.
func TestForecastsOfSilentPoolStop(t *testing.T) {
	f := New(Config{MoveDuration: 1500 * time.Millisecond})
	load := slices.DeleteFunc(inTurn(120, "a", "b", "c", "d"), func(b busy) bool { return b.pool == "c" && b.begin > 100*time.Second })
	wrong := 0
	for _, fc := range playUntil(f, 0, 480*time.Second, load) {
		if fc.Acted && !fc.Right {
			wrong++
		}
	}
	assert.Assert(t, wrong >= 1 && wrong <= 6, "%d of 24", wrong)
}

// Guards against a cost of each decision that grows with the third power of the number of pools, and against a rhythm of many
// pools that isn't seen.
func TestLagsAreLimited(t *testing.T) {
	f := New(Config{MoveDuration: 1500 * time.Millisecond})
	names := make([]string, 25)
	for i := range names {
		names[i] = fmt.Sprint("pool-", i)
	}
	at := 26*4*time.Second + 2300*time.Millisecond
	playUntil(f, 0, at, inTurn(27, names...))
	for name, p := range f.pools {
		assert.Assert(t, len(p.after) <= 9, "%s: %d", name, len(p.after))
	}
	_, reason := f.Expected("pool-2", at)
	assert.Equal(t, reason, Rhythm)
}

// Guards against a burst in a long busy period for whose height the pool keeps instances all through later ones.
func TestLongPeriodsKeepNoHeight(t *testing.T) {
	f := New(Config{MoveDuration: 1500 * time.Millisecond})
	steady := func(from, to, gap time.Duration) (list []busy) {
		for ; from < to; from += gap {
			list = append(list, busy{"a", from, from + 1})
		}
		return list
	}
	const s = time.Second
	playUntil(f, 0, 2*s, []busy{{"a", 0, 2 * s}})
	playUntil(f, 2*s, 120*s, steady(2*s, 120*s, 40*time.Millisecond))
	playUntil(f, 120*s, 170*s, steady(130*s, 170*s, 40*time.Millisecond))
	r, reason := f.Expected("a", 170*s)
	assert.Equal(t, reason, Arrivals)
	assert.Assert(t, r.CPU < 25_000, "%d", r.CPU)
}

// Guards against jobs with little slack that wait for a move, and instances that wait for jobs with much slack.
func TestLeadDependsOnSlack(t *testing.T) {
	for _, tt := range []struct{ slack, lead time.Duration }{
		{0, 1900 * time.Millisecond}, {time.Second, 1900 * time.Millisecond}, {2500 * time.Millisecond, 900 * time.Millisecond},
		{time.Minute, 0},
	} {
		f := New(Config{MoveDuration: 1500 * time.Millisecond})
		f.ObserveArrival("a", 0, ledger.Resources{CPU: 1})
		f.ObserveSlack("a", tt.slack)
		assert.Equal(t, f.lead(f.pool("a")), tt.lead)
	}
}
