package platform_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/maintenancepb"
	"github.com/hibiscusroute/hibiscusroute/internal/platform"
	"github.com/hibiscusroute/hibiscusroute/internal/platform/platformtest"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// driverLoop runs a kernel and a driver against the fake platform over HTTP; a millisecond of real time is one tick of
// virtual time.
type driverLoop struct {
	*kerneltest.Harness
	mu          sync.Mutex
	virtualTime time.Duration
	events      chan kernel.Event
	driver      *platform.Driver
	stop        func()
}

func (l *driverLoop) now() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Unix(0, 0).Add(l.virtualTime)
}

// startDriver starts a new driver, as a new leader does.
func (l *driverLoop) startDriver(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	l.driver = platform.NewDriver(platform.DriverConfig{
		Client:       platform.NewClient(platform.ClientConfig{Address: address, Backoff: time.Millisecond}),
		PollInterval: 20 * time.Millisecond, Log: logr.Discard(),
		Observe: func(ev kernel.Event) {
			select {
			case l.events <- ev:
			case <-ctx.Done():
			}
		},
	})
	var wg sync.WaitGroup
	wg.Go(func() { l.driver.Run(ctx) })
	l.stop = func() { cancel(); wg.Wait() }
}

func (l *driverLoop) advanceTicks(ticks int) {
	for range ticks {
		time.Sleep(time.Millisecond)
		l.Observe(maintenance.Redundancy{Full: true})
		for more := true; more; {
			select {
			case ev := <-l.events:
				l.Observe(ev)
			default:
				more = false
			}
		}
		l.Advance(kerneltest.Tick)
		l.mu.Lock()
		l.virtualTime = l.Now
		l.mu.Unlock()
	}
}

// Guards against lost jobs, jobs that run twice and a stalled wave when kernel, driver and protocol are used together.
// Responses are lost, one instance fails all tasks, another is unreachable for a while, jobs are canceled, and the
// leader changes.
func TestKernelDriverAndProtocol(t *testing.T) {
	shape := kerneltest.FleetShape{
		Pools: 2, PerPool: 6, Teams: 3, Processors: 16, MemoryMiB: 64 << 10, Budget: fleet.Budget{MaxUnavailable: 2},
	}
	cfg := shape.Configuration()
	cfg.Waves = []fleet.Wave{{
		Name: "wave", Pools: []string{"pool-0", "pool-1"}, MaxParallel: 4, DrainDeadline: fleet.Duration(time.Hour),
	}}
	for _, z := range cfg.AvailabilityZones {
		cfg.Waves[0].Order = append(cfg.Waves[0].Order, z.Name)
	}
	var instances []string
	for _, in := range cfg.Instances {
		instances = append(instances, in.Name)
	}
	l := &driverLoop{events: make(chan kernel.Event, 1000)}
	rnd := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	fake := platformtest.New(platformtest.Config{
		Instances: instances, Now: l.now, RebootDuration: 10 * time.Second, UsageDelay: 5 * time.Second,
		RunDuration: func(platform.StartRequest) time.Duration { return 15 * time.Second },
		DropResponse: func(string) bool {
			mu.Lock()
			defer mu.Unlock()
			return rnd.Float64() < 0.2
		},
	})
	server := httptest.NewServer(fake)
	defer server.Close()
	l.Harness = kerneltest.New(t, nil)
	l.RunAction = func(a kernel.Action) { l.driver.Enqueue(a) }
	l.startDriver(server.URL)
	defer func() { l.stop() }()
	l.Configure(cfg)
	fake.SetFailing(instances[1], true)
	startWave, err := maintenance.ControlCommand("", "wave", maintenancepb.Verb_VERB_START)
	assert.NilError(t, err)
	assert.ErrorContains(t, l.Apply(startWave).Err, "try again", "a wave was started before any instance was known")
	l.advanceTicks(3)
	l.MustApply(startWave, nil)
	for n := range 120 {
		l.MustApply(job.SubmitCommand("", &jobpb.Submit{
			Id: fmt.Sprintf("00000000-%04x-7000-8000-000000000000", 1+n), Team: kerneltest.Team(n % 3),
			Queue: kerneltest.Queue(n % 2), Idempotent: n%3 > 0, ExpectedRun: int64(15 * time.Second),
			Declared: &jobpb.Resources{MilliProcessors: 4000, MemoryMib: 1024},
		}))
		if n%10 == 9 {
			l.MustApply(job.CancelCommand(
				"", kerneltest.Team((n-5)%3), fmt.Sprintf("00000000-%04x-7000-8000-000000000000", 1+n-5),
			))
		}
		l.advanceTicks(3)
		switch n {
		case 40:
			fake.SetUnreachable(instances[2], true)
		case 60, 90:
			l.stop()
			l.FailOver()
			l.startDriver(server.URL)
		case 100:
			fake.SetUnreachable(instances[2], false)
		}
	}
	var list []*jobpb.Job
	var waves []*maintenancepb.Wave
	for range 100 {
		l.advanceTicks(100)
		q, err := job.TeamQuery("", true)
		assert.NilError(t, err)
		body, err := l.Kernel.Query(job.Name, q)
		assert.NilError(t, err)
		list, err = job.DecodeJobs(body)
		assert.NilError(t, err)
		body, err = l.Kernel.Query(maintenance.Name, nil)
		assert.NilError(t, err)
		waves, err = maintenance.DecodeState(body)
		assert.NilError(t, err)
		if len(list) == 0 && len(waves[0].Pending) <= 1 && len(waves[0].Permits) == 0 {
			break
		}
	}
	assert.Equal(t, len(list), 0, "%v", list)
	// The instance that fails all tasks is quarantined, so that its maintenance waits for an operator.
	assert.Assert(t, len(waves[0].Permits) == 0 && len(waves[0].Maintained) >= 11, "%v", waves[0])
	for n := 0; n < 120; n += 3 {
		key := job.Key(kerneltest.Team(n%3), fmt.Sprintf("00000000-%04x-7000-8000-000000000000", 1+n))
		assert.Assert(t, fake.StartCount(key) <= 1, "job %s ran %d times", key, fake.StartCount(key))
	}
}
