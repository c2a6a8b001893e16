package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

var shape = kerneltest.FleetShape{
	Pools: 2, PerPool: 4, Processors: 16, MemoryMiB: 64 << 10, MinInstances: 3, Budget: fleet.Budget{MaxUnavailable: 1},
}

func TestMain(m *testing.M) { kerneltest.Main(m, 60) }

func state(r *kerneltest.Harness) *pool.State {
	s, _ := kernel.Lookup[*pool.State](r.Kernel, pool.Name)
	return s
}

func newRun(tb kerneltest.TB) *kerneltest.Harness {
	r := kerneltest.New(tb, nil)
	r.Configure(shape.Configuration())
	r.Advance(kerneltest.Tick)
	return r
}

func poolOf(r *kerneltest.Harness, instance string) string {
	name, admitted := state(r).PoolOf(instance)
	if admitted {
		return name + " admitted"
	}
	return name
}

// Guards against a move that skips the lease wait, leaves the instance usable by two pools, or ignores running work.
func TestMoveReleasesBeforeUse(t *testing.T) {
	r := newRun(t)
	busy := true
	state(r).AddBusyCheck(func(string) bool { return busy })
	before := state(r).Epoch("worker-0000")
	r.MustApply(pool.MoveCommand("op-1", "worker-0000", "pool-1"))
	r.Advance(kerneltest.Tick)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-0")
	r.Advance(time.Minute)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-0", "work still runs")
	busy = false
	r.Advance(300 * time.Millisecond)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-1 admitted")
	assert.Assert(t, state(r).Epoch("worker-0000") > before)

	r.MustApply(pool.MoveCommand("op-2", "worker-0001", "pool-1"))
	r.Advance(time.Minute)
	assert.Equal(t, poolOf(r, "worker-0001"), "pool-0 admitted", "pool-0 may not go below 3 instances")
}

// Guards against a move that is lost, repeated or left incomplete when the leader changes at any step.
func TestMoveSurvivesLeaderChangeAtEachStep(t *testing.T) {
	for _, lose := range []bool{false, true} {
		for at := uint64(1); at <= 6; at++ {
			r := kerneltest.New(t, nil)
			if lose {
				r.FailOverBefore = at
			} else {
				r.FailOverAfter = at
			}
			r.Configure(shape.Configuration())
			r.Advance(kerneltest.Tick)
			for range 20 { // retry until the instance is known, as an operator would
				c, err := pool.MoveCommand("", "worker-0000", "pool-1")
				assert.NilError(t, err)
				if r.Apply(c).Err == nil {
					break
				}
				r.Advance(kerneltest.Tick)
			}
			r.Advance(20 * time.Second)
			assert.Equal(t, poolOf(r, "worker-0000"), "pool-1 admitted", "leader change at %d", at)
			assert.Equal(t, state(r).Summary("pool-0").Serving, 3)
		}
	}
}

// Guards against a move that continues although its pool can no longer give up the instance, and against a canceled
// move that doesn't start again once the pool can give it up.
func TestMoveIsCanceledWhenPoolLosesInstance(t *testing.T) {
	r := newRun(t)
	r.MustApply(pool.MoveCommand("op-1", "worker-0000", "pool-1"))
	r.Advance(time.Second)
	r.Observe(pool.InstanceReport{Instance: "worker-0001"})
	r.Advance(10 * time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-0 admitted")
	r.Observe(pool.InstanceReport{Instance: "worker-0001"}) // a second report of the same fault
	r.Advance(time.Second)
	assert.Equal(t, state(r).Summary("pool-0").Lost, 1)
	r.Observe(pool.InstanceReport{Instance: "worker-0001", Healthy: true})
	r.Advance(10 * time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-1 admitted")
}

// Guards against a release that is applied after the operator canceled the move, and against a moved instance that is
// used although it became unhealthy during the move.
func TestMoveRaces(t *testing.T) {
	r := newRun(t)
	r.MustApply(pool.MoveCommand("op-1", "worker-0000", "pool-1"))
	r.Advance(3 * time.Second)
	r.Now += time.Second
	d := r.Kernel.Decide(r.Now)
	assert.Equal(t, len(d.Commands), 1)
	r.MustApply(pool.MoveCommand("op-2", "worker-0000", "pool-0"))
	assert.ErrorContains(t, r.Apply(d.Commands[0]).Err, "isn't wanted in pool pool-1")
	r.Advance(time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-0 admitted")
	r.MustApply(pool.MoveCommand("op-3", "worker-0000", "pool-1"))
	r.Advance(time.Second)
	r.Observe(pool.InstanceReport{Instance: "worker-0000"})
	r.Advance(10 * time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-1")
	assert.Equal(t, state(r).Summary("pool-1").Members, 4, "not a member before it is used")
	r.Observe(pool.InstanceReport{Instance: "worker-0000", Healthy: true})
	r.Advance(time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-1 admitted")
}

// Guards against an instance that changes pools without a release because it was removed and added again, and against
// an operator's request that outlives a newer configuration.
func TestConfigurationMovesInstances(t *testing.T) {
	r := newRun(t)
	cfg := shape.Configuration()
	cfg.Instances = cfg.Instances[1:]
	r.Configure(cfg)
	r.Advance(time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "")
	cfg = shape.Configuration()
	cfg.Instances[0].Pool = kerneltest.Spare
	r.Configure(cfg)
	r.Advance(2 * time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-0")
	r.Advance(3 * time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "spare admitted")
	r.MustApply(pool.MoveCommand("op-1", "worker-0000", "pool-1"))
	r.Advance(10 * time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-1 admitted")
	r.Configure(shape.Configuration())
	r.Advance(10 * time.Second)
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-0 admitted")
}

// Guards against stops that exceed the budget, and against a stop that is ended twice.
func TestStopIsChargedToBudget(t *testing.T) {
	r := newRun(t)
	s := state(r)
	epoch, err := s.BeginStop("worker-0000")
	assert.NilError(t, err)
	_, err = s.BeginStop("worker-0001")
	assert.ErrorContains(t, err, "no room in its availability budget")
	assert.NilError(t, s.MarkStopped("worker-0000", epoch))
	r.Observe(pool.InstanceReport{Instance: "worker-0000"})
	assert.Equal(t, s.Summary("pool-0").Lost, 0, "a rebooting instance is no unplanned loss")
	r.Observe(pool.InstanceReport{Instance: "worker-0000", Healthy: true})
	_, err = s.EndStop("worker-0000", epoch)
	assert.NilError(t, err)
	_, err = s.EndStop("worker-0000", epoch)
	assert.ErrorContains(t, err, "has epoch")
	assert.Equal(t, poolOf(r, "worker-0000"), "pool-0 admitted")
}

// Guards against any order of moves, losses, quarantines, configuration changes and leader changes that puts an
// instance in two pools or exceeds a budget. Check asserts both after each command.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRun(t)
		cfg := shape.Configuration()
		pools := []string{"pool-0", "pool-1", kerneltest.Spare}
		worker := rapid.Custom(func(t *rapid.T) string { return kerneltest.Worker(rapid.IntRange(0, 7).Draw(t, "worker")) })
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				if c, err := pool.MoveCommand("", worker.Draw(t, "move"), rapid.SampledFrom(pools).Draw(t, "to")); err == nil {
					r.Apply(c)
				}
			case 1:
				healthy := rapid.Bool().Draw(t, "healthy")
				r.Observe(pool.InstanceReport{Instance: worker.Draw(t, "report"), Healthy: healthy})
			case 2:
				i := rapid.IntRange(0, len(cfg.Instances)-1).Draw(t, "instance")
				before := cfg.Instances[i].Pool
				cfg.Instances[i].Pool = rapid.SampledFrom(pools).Draw(t, "pool")
				if len(cfg.Check()) > 0 { // an invalid configuration is never accepted
					cfg.Instances[i].Pool = before
				}
				r.Configure(cfg)
			case 3:
				r.FailOver()
			case 4:
				on := rapid.Bool().Draw(t, "on")
				if c, err := pool.QuarantineCommand("", worker.Draw(t, "quarantine"), on, "test"); err == nil {
					r.Apply(c)
				}
			case 5:
				w := worker.Draw(t, "stop")
				if epoch, err := state(r).BeginStop(w); err == nil {
					assert.Assert(t, epoch > 0)
					r.MustApply(pool.QuarantineCommand("", w, false, "")) // runs Check, as a command that begins a stop would
				}
			case 6:
				r.Advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "ticks")) * kerneltest.Tick)
			}
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	for _, bench := range []struct {
		name  string
		shape kerneltest.FleetShape
	}{
		{"50", kerneltest.SmallWorkers},
		{"250", kerneltest.FleetShape{Pools: 25, PerPool: 10, Teams: 40}},
		{"1000", kerneltest.FleetShape{Pools: 110, PerPool: 9, Teams: 170}},
	} {
		b.Run(bench.name, func(b *testing.B) {
			r := kerneltest.New(b, nil)
			r.Configure(bench.shape.Configuration())
			r.Advance(kerneltest.Tick)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Now += kerneltest.Tick
				r.Observe(pool.InstanceReport{Instance: kerneltest.Worker(i / 2 % 50), Healthy: i%2 == 1})
			}
		})
	}
}

// Guards against an entry process that halts because the steps of a move, which it merges at once, look like a violated
// invariant.
func TestEntryProcessMergesMove(t *testing.T) {
	r := newRun(t)
	entry := r.AddReplica(true)
	for _, to := range []string{"pool-1", "pool-0"} {
		r.MustApply(pool.MoveCommand("to-"+to, "worker-0000", to))
		r.Advance(time.Minute)
		assert.Equal(t, poolOf(r, "worker-0000"), to+" admitted")
		// An entry process checks its invariants when it applies a command, as it does with a new configuration.
		r.Configure(shape.Configuration())
	}
	r.RequireEqual(entry, true)
	assert.Equal(t, len(entry.Halted()), 0)
}
