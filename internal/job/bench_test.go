package job_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
)

// submitArrivals submits the jobs of one second. Queues take turns with bursts: each one gets 5 times its mean for 10 s
// of every 50 s, and 1/20 of its mean otherwise. Two of the six teams submit most of the jobs. Rate is the mean number
// of jobs per worker and second; the run times fill about nine tenths of the fleet.
func submitArrivals(
	w *harness, rnd *rand.Rand, shape kerneltest.FleetShape, rate float64, second int, n *int,
) (urgent []string) {
	for p := range shape.Pools {
		mean := float64(shape.PerPool) * rate
		if (second+10*p)%50 < 10 {
			mean *= 5
		} else {
			mean /= 20
		}
		count := int(mean)
		if rnd.Float64() < mean-float64(count) {
			count++
		}
		for range count {
			team := (p/5*6 + []int{0, 0, 0, 0, 1, 1, 1, 2, 2, 3, 4, 5}[rnd.Intn(12)]) % shape.Teams
			queue := kerneltest.Queue(p)
			isUrgent := rnd.Float64() < 0.05
			if isUrgent {
				queue = kerneltest.UrgentQueue(p)
			}
			m := submission(*n, team, queue, rnd.Float64() < 0.7)
			*n++
			m.Declared.MilliProcessors = int64(1+rnd.Intn(4)) * int64(shape.Processors) * 1000 / 16
			run := time.Duration((5 + 10*rnd.Float64()) * 0.4 / rate * float64(time.Second))
			switch rnd.Intn(20) {
			case 0:
				run *= 10
			case 1:
				run /= 10
			}
			w.runTime[job.Key(m.Team, m.Id)] = run
			if key := w.submit(m); isUrgent {
				urgent = append(urgent, key)
			}
		}
	}
	return urgent
}

// BenchmarkPolicies reports the distance from fair shares, the moves and the waiting times of each policy for the same
// seeded jobs.
func BenchmarkPolicies(b *testing.B) {
	for _, bench := range []struct {
		name   string
		shape  kerneltest.FleetShape
		policy job.Policy
	}{
		{"water/fair", kerneltest.SmallWorkers, job.Fair},
		{"water/fifo", kerneltest.SmallWorkers, job.FirstInFirstOut},
		{"jars/fair", kerneltest.LargeWorkers, job.Fair},
		{"jars/fifo", kerneltest.LargeWorkers, job.FirstInFirstOut},
	} {
		b.Run(bench.name, func(b *testing.B) {
			for b.Loop() {
				measurePolicy(b, bench.shape, bench.policy)
			}
		})
	}
}

func measurePolicy(b *testing.B, shape kerneltest.FleetShape, policy job.Policy) {
	const seconds = 600
	w := newHarness(b, shape)
	s, _ := kernel.Lookup[*job.State](w.Kernel, job.Name)
	s.UsePolicy(policy)
	rnd := rand.New(rand.NewSource(1))
	n := 0
	sums := map[string]float64{}
	submitted := map[string]time.Duration{}
	for second := range seconds {
		for _, key := range submitArrivals(w, rnd, shape, 0.4, second, &n) {
			submitted[key] = w.Now
		}
		w.runFor(time.Second)
		list := w.listJobs(true)
		for p := range shape.Pools {
			for team, d := range shareDistances(list, shape, p) {
				sums[team] += d / float64(seconds*shape.Pools)
			}
		}
	}
	w.runFor(5 * time.Minute)
	mean, worst := 0.0, 0.0
	for _, d := range sums {
		mean += d / float64(len(sums))
		worst = max(worst, d)
	}
	late, longest := 0, time.Duration(0)
	for key, at := range submitted {
		wait := w.firstStart[key] - at
		if longest = max(longest, wait); wait > 3300*time.Millisecond {
			late++
		}
	}
	hours := float64(seconds) / 3600
	b.ReportMetric(100*mean, "mean-distance-%")
	b.ReportMetric(100*worst, "worst-team-distance-%")
	b.ReportMetric(float64(w.moves)/float64(n), "moves/job")
	b.ReportMetric(float64(w.moves)/hours, "moves/hour")
	b.ReportMetric(float64(w.preemptions)/hours, "preemptions/hour")
	b.ReportMetric(float64(late), "urgent-late")
	b.ReportMetric(longest.Seconds(), "urgent-longest-s")
	b.ReportMetric(float64(n), "jobs")
	b.ReportMetric(float64(len(w.listJobs(true))), "left")
}

// BenchmarkDecide measures one second of a fleet under bursts, and the size of its snapshot.
func BenchmarkDecide(b *testing.B) {
	for _, bench := range []struct {
		workers int
		rate    float64
		shape   kerneltest.FleetShape
	}{
		{50, 0.4, kerneltest.SmallWorkers},
		{50, 0.04, kerneltest.SmallWorkers},
		{250, 0.04, kerneltest.FleetShape{Pools: 25, PerPool: 10, Teams: 40, Processors: 16, MemoryMiB: 64 << 10}},
		{990, 0.04, kerneltest.FleetShape{Pools: 110, PerPool: 9, Teams: 170, Processors: 16, MemoryMiB: 64 << 10}},
	} {
		b.Run(fmt.Sprintf("%d-workers-%v", bench.workers, bench.rate), func(b *testing.B) {
			w := newHarness(b, bench.shape)
			rnd := rand.New(rand.NewSource(1))
			n, second := 0, 0
			for ; second < 30; second++ {
				submitArrivals(w, rnd, bench.shape, bench.rate, second, &n)
				w.runFor(time.Second)
			}
			var before, after runtime.MemStats
			decisions := uint64(0)
			took := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				submitArrivals(w, rnd, bench.shape, bench.rate, second, &n)
				second++
				w.runFor(900 * time.Millisecond)
				runtime.ReadMemStats(&before)
				at := time.Now()
				w.Now += kerneltest.Tick
				w.Kernel.Decide(w.Now)
				took += time.Since(at)
				runtime.ReadMemStats(&after)
				decisions++
			}
			data, err := w.Kernel.Snapshot(false)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(took.Microseconds())/float64(decisions), "µs/decision")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/1024, "KiB/decision")
			b.ReportMetric(float64(len(data))/1024, "KiB-snapshot")
		})
	}
}

// BenchmarkMemory measures the heap size of 16,384 waiting jobs without payloads on 50 workers.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		w := newHarness(b, kerneltest.SmallWorkers)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for n := range 16384 {
			m := submission(n, n%6, firstQueue, true)
			m.Payload = nil
			w.MustApply(job.SubmitCommand("", m))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/16384, "B/job")
		at := time.Now()
		w.Kernel.Decide(w.Now)
		b.ReportMetric(float64(time.Since(at).Microseconds()), "µs/first-decision")
		runtime.KeepAlive(w)
	}
}
