package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

func seededRand(t *testing.T) func(int) int {
	t.Helper()
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	return newRand(seed)
}

func newRand(seed uint64) func(int) int { return rand.New(rand.NewPCG(seed, 0)).IntN }

func announceAll(r *Registry, n int, sequence uint64) {
	for k := range n {
		r.recordAnnouncement(ready(fmt.Sprintf("i-%d", k), 1, sequence))
	}
}

// Guards against work that concentrates on one instance, rack or zone.
func TestPickSpreadsWork(t *testing.T) {
	t.Run("fresh", func(t *testing.T) { checkPickSpread(t, seededRand(t)) })
	// With this seed, one zone got too much work while ties between instances were broken at random.
	t.Run("ties", func(t *testing.T) { checkPickSpread(t, newRand(7708824323512607544)) })
	// With this seed, one zone got too little work while the second candidate came from any other zone.
	t.Run("zones", func(t *testing.T) { checkPickSpread(t, newRand(95490863463366746)) })
}

func checkPickSpread(t *testing.T, random func(int) int) {
	t.Helper()
	v, c := fleetView(12), newClock()
	r := newRegistry(c, v, func(cfg *Config) { cfg.Rand = random })
	announceAll(r, 12, 1)
	zones, instances := map[string]int{}, map[string]int{}
	for range 48 {
		target, err := r.Pick(v, "plates", nil)
		assert.NilError(t, err)
		zones[target.AvailabilityZone()]++
		instances[target.Instance()]++
	}
	for name, n := range zones {
		assert.Assert(t, n >= 12 && n <= 20, "zone %s got %d of 48", name, n)
	}
	for name, n := range instances {
		assert.Assert(t, n <= 7, "instance %s got %d of 48", name, n)
	}
}

// Guards against a retry on the instance that failed, and in its failure domain if another one is available.
func TestPickAvoidsInstances(t *testing.T) {
	for _, tc := range []struct {
		name  string
		n     int
		avoid []string
		check func(t *Target) bool
	}{
		{"other zone", 6, []string{"i-0"}, func(t *Target) bool { return t.AvailabilityZone() != "z-0" }},
		{"third zone", 6, []string{"i-0", "i-1"}, func(t *Target) bool { return t.AvailabilityZone() == "z-2" }},
		{"other rack", 6, []string{"i-0", "i-1", "i-2"}, func(t *Target) bool { return t.Rack()[4:] == "r-1" }},
		{"last", 3, []string{"i-0", "i-2"}, func(t *Target) bool { return t.Instance() == "i-1" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, c := fleetView(tc.n), newClock()
			r := newRegistry(c, v, nil)
			announceAll(r, tc.n, 1)
			for range 50 {
				target, err := r.Pick(v, "plates", tc.avoid)
				assert.NilError(t, err)
				assert.Assert(t, tc.check(target), target.Instance())
				target.Release()
			}
		})
	}
	v, c := fleetView(1), newClock()
	r := newRegistry(c, v, nil)
	announceAll(r, 1, 1)
	_, err := r.Pick(v, "plates", []string{"i-0"})
	assert.Assert(t, errorx.IsOfType(err, ErrNoEndpoint))
}

// Guards against attempts without a slot permit, or above the connection limit of this process.
func TestPickNeedsPermitAndConnection(t *testing.T) {
	v, c := fleetView(2), newClock()
	permits := map[string]int{"slot/i-0": 3, "slot/i-1": 100}
	r := newRegistry(c, v, func(cfg *Config) {
		cfg.TryAcquire = func(resource string) (func(), bool) {
			if permits[resource] == 0 {
				return nil, false
			}
			permits[resource]--
			return func() { permits[resource]++ }, true
		}
	})
	announceAll(r, 2, 1)
	got := map[string]int{}
	var last *Target
	for {
		target, err := r.Pick(v, "plates", nil)
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, ErrNoSlot))
			break
		}
		got[target.Instance()]++
		last = target
	}
	assert.DeepEqual(t, got, map[string]int{"i-0": 3, "i-1": 8}) // 64 connections over 8 processes
	changed := r.Changed()
	last.Release()
	last.Release()
	<-changed
	_, err := r.Pick(v, "plates", nil)
	assert.NilError(t, err)
	_, err = r.Pick(v, "plates", nil)
	assert.Assert(t, errorx.IsOfType(err, ErrNoSlot), "the second release returned another permit")
}

// Guards against ejections of more than a third of a pool, and against failing endpoints that attract work because they
// fail fast.
func TestEjectionIsCapped(t *testing.T) {
	for _, tc := range []struct{ n, failing, ejected int }{
		{1, 1, 0}, {2, 2, 0}, {3, 1, 1}, {3, 3, 1}, {10, 2, 2}, {10, 10, 3},
	} {
		t.Run(fmt.Sprintf("%d of %d fail", tc.failing, tc.n), func(t *testing.T) {
			v, c := fleetView(tc.n), newClock()
			r := newRegistry(c, v, func(cfg *Config) { cfg.Rand = seededRand(t) })
			announceAll(r, tc.n, 1)
			sent, failed := 0, 0
			var running []*Target
			for range 2000 {
				// Healthy endpoints are almost full. Attempts on failing endpoints end at once, so these appear idle.
				c.advance(time.Millisecond)
				if len(running) >= 7*(tc.n-tc.failing) && len(running) > 0 {
					running[0].ReportResult(true)
					running[0].Release()
					running = running[1:]
				}
				target, err := r.Pick(v, "plates", nil)
				assert.NilError(t, err)
				sent++
				var k int
				_, err = fmt.Sscanf(target.Instance(), "i-%d", &k)
				assert.NilError(t, err)
				if k >= tc.failing {
					running = append(running, target)
					continue
				}
				failed++
				target.ReportResult(false)
				target.Release()
			}
			ejected := 0
			for _, i := range r.instances {
				if i.health.isEjected(c.Now()) {
					ejected++
				}
			}
			assert.Equal(t, ejected, tc.ejected)
			if tc.failing == tc.ejected && tc.failing < tc.n {
				assert.Assert(t, failed <= 10*tc.failing, "%d of %d attempts went to failing endpoints", failed, sent)
			}
		})
	}
}

// Guards against an ejected endpoint that gets its full share of work again at once, or never.
func TestReadmissionIsGradual(t *testing.T) {
	v, c := fleetView(4), newClock()
	r := newRegistry(c, v, func(cfg *Config) { cfg.Rand = seededRand(t) })
	announceAll(r, 4, 1)
	failing := r.instances["i-0"]
	for range maxConsecutiveFailures {
		(&Target{registry: r, record: failing, view: v, instance: "i-0", pool: "web"}).ReportResult(false)
	}
	sequence := uint64(1)
	countPicks := func() int {
		sequence++
		announceAll(r, 4, sequence)
		n := 0
		for range 1000 {
			target, err := r.Pick(v, "plates", nil)
			assert.NilError(t, err)
			if target.record == failing {
				n++
			}
			target.Release()
		}
		return n
	}
	assert.Equal(t, countPicks(), 0)
	c.advance(baseEjectDuration)
	first := countPicks()
	assert.Assert(t, first > 0 && first < 80, "%d of 1000 just after the ejection", first)
	c.advance(rampDuration / 2)
	half := countPicks()
	assert.Assert(t, half > first && half < 220, "%d of 1000 halfway", half)
	c.advance(rampDuration / 2)
	full := countPicks()
	assert.Assert(t, full > 190, "%d of 1000 after the ramp", full)
	(&Target{registry: r, record: failing, view: v, instance: "i-0", pool: "web"}).ReportResult(true)
	assert.Assert(t, !failing.health.shouldEject(c.Now()))
	// A failure during a later ramp ejects again, for longer.
	for range maxConsecutiveFailures {
		(&Target{registry: r, record: failing, view: v, instance: "i-0", pool: "web"}).ReportResult(false)
	}
	c.advance(baseEjectDuration + time.Second)
	announceAll(r, 4, sequence+1)
	(&Target{registry: r, record: failing, view: v, instance: "i-0", pool: "web"}).ReportResult(false)
	assert.Assert(t, failing.health.ejectedUntil.Sub(c.Now()) > baseEjectDuration)
}

// Guards against waiting requests for which no slot permit is requested, for which permits of unusable endpoints are
// requested, or for which more permits than requests are requested.
func TestDemandIsSpreadOverUsableEndpoints(t *testing.T) {
	v, c := fleetView(3), newClock()
	demand := map[string]int{}
	r := newRegistry(c, v, func(cfg *Config) { cfg.SetDemand = func(resource string, n int) { demand[resource] = n } })
	announceAll(r, 3, 1)
	var targets []*Target
	for range 6 {
		target, err := r.Pick(v, "plates", nil)
		assert.NilError(t, err)
		targets = append(targets, target)
	}
	r.recordAnnouncement(leaving("i-0", 1, 2))
	r.ReportDemand(v, "web", 5, nil)
	for _, target := range targets {
		demand["slot/"+target.Instance()]--
	}
	assert.Equal(t, demand["slot/i-0"], 0)
	first, second := demand["slot/i-1"], demand["slot/i-2"]
	assert.Assert(t, first+second == 5 && min(first, second) == 2, "%d and %d", first, second)
}

// Guards against a retry for which only permits of the endpoint that failed are requested.
func TestDemandOfRetriesAvoidsFailedEndpoints(t *testing.T) {
	for incarnation := range uint64(3) {
		v, c := fleetView(3), newClock()
		demand := map[string]int{}
		r := newRegistry(c, v, func(cfg *Config) { cfg.SetDemand = func(resource string, n int) { demand[resource] = n } })
		r.incarnation = incarnation
		announceAll(r, 3, 1)
		r.ReportDemand(v, "web", 0, [][]string{{"i-0", "i-1"}})
		assert.Equal(t, demand["slot/i-2"], 1, "incarnation %d", incarnation)
		r.ReportDemand(v, "web", 1, [][]string{{"i-0", "i-1"}, {"i-1"}, {"i-0", "i-1", "i-2"}})
		assert.Equal(t, demand["slot/i-0"]+demand["slot/i-1"]+demand["slot/i-2"], 3,
			"one for each request that an endpoint can serve")
		assert.Assert(t, demand["slot/i-2"] >= 1, "%v", demand)
		assert.Assert(t, demand["slot/i-0"]+demand["slot/i-2"] >= 2, "%v", demand)
	}
}

// Guards against an endpoint that attracts work because it fails fast, and that the limit of ejections keeps in use.
func TestFastFailuresDontAttractWork(t *testing.T) {
	v, c := fleetView(2), newClock()
	r := newRegistry(c, v, func(cfg *Config) { cfg.Rand = seededRand(t) })
	announceAll(r, 2, 1)
	failed := 0
	var running []*Target
	for range 2000 {
		c.advance(time.Millisecond)
		if len(running) == 7 {
			running[0].ReportResult(true)
			running[0].Release()
			running = running[1:]
		}
		target, err := r.Pick(v, "plates", nil)
		assert.NilError(t, err)
		if target.Instance() == "i-1" {
			running = append(running, target)
			continue
		}
		failed++
		target.ReportResult(false)
		target.Release()
	}
	assert.Assert(t, failed < 300, "%d of 2000 attempts went to the failing endpoint", failed)
}
