package workload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	peakDuration = 4500 * time.Millisecond
	// peakStart is the part of a peak in which callers waited for instances.
	peakStart = 2 * time.Second
)

// peakQueue is the load of a queue in its peak. The deployments have four times as many instances and tasks for each job.
type peakQueue struct {
	pool          string
	instances     int
	jobsPerSecond float64
	steps         float64 // mean
	cpu, ms       int64
}

var peakQueues = []peakQueue{
	{"a", 15, 70, 1.6, 3100, 800}, {"b", 17, 15, 2, 6700, 1700}, {"c", 19, 80, 1.6, 3100, 800}, {"d", 21, 17, 2, 6700, 1700},
}

// peaks plays queues that peak in turn.
type peaks struct {
	*sim
	random *rand.Rand
	jobs   []peakJob
	begin  time.Duration
	// instanceTime is the sum of the times of instances in pools, poolTime that by pool. counters holds the counters of leaders.
	instanceTime time.Duration
	poolTime     map[string]time.Duration
	counters     map[string]int
}

type peakJob struct {
	id        string
	cycle     int
	at        time.Duration // since the begin of the peak, negative outside
	objective time.Duration
}

func newPeaks(t *testing.T, rhythm bool) *peaks {
	t.Helper()
	p := &peaks{
		sim: newSim(t), random: rand.New(rand.NewPCG(1, 2)),
		counters: map[string]int{}, poolTime: map[string]time.Duration{},
	}
	cfg := workload.Config{
		WallClock:        func() time.Time { return time.UnixMilli(1_000_000).Add(p.now) },
		IncrementCounter: func(name, label, value string) { p.counters[fmt.Sprintf("%s{%s=%s}", name, label, value)]++ },
		Log:              p.log,
	}
	if !rhythm {
		cfg = cfg.WithoutRhythm()
	}
	p.e.Configure(cfg)
	p.startTerm()
	names := []string{"spare"}
	for _, q := range peakQueues {
		names = append(names, q.pool)
	}
	p.configure(1, func(d *workloadpb.Document) {
		for _, q := range d.Queues {
			q.Stretch = 1.6
		}
	}, names...)
	for _, q := range peakQueues {
		p.addWorkers(q.pool, q.instances)
		p.submit(q.pool, "last-"+q.pool, lasting(6, 500, 500))
	}
	p.addWorkers("spare", 14)
	p.run(time.Second)
	p.begin = p.now
	return p
}

// play plays load for d, in which the queues that are not silent peak in turn and have a twentieth of it in between.
func (p *peaks) play(d time.Duration, silent ...string) {
	for end := p.now + d; p.now < end; {
		n := int((p.now - p.begin) / peakDuration)
		at := (p.now - p.begin) % peakDuration
		for i, q := range peakQueues {
			rate, since := q.jobsPerSecond, at
			if n%len(peakQueues) != i || len(silent) > 0 && silent[0] == q.pool {
				rate, since = rate/100, -1
			}
			for p.random.Float64() < rate*simStep.Seconds() {
				p.submitJob(q, n/len(peakQueues), since)
				rate -= 1 / simStep.Seconds()
			}
		}
		p.run(simStep)
		for _, row := range p.instances {
			if row.Pool != "spare" {
				p.instanceTime += simStep
				p.poolTime[row.Pool] += simStep
			}
		}
	}
}

func (p *peaks) submitJob(q peakQueue, cycle int, at time.Duration) {
	var steps []*workloadpb.Step
	for i := 0; i == 0 || i == 1 && p.random.Float64() < q.steps-1; i++ {
		s := step(1, q.cpu, 1000, q.ms)
		if i > 0 {
			s.After = []int32{0}
		}
		steps = append(steps, s)
	}
	j := peakJob{
		id: fmt.Sprintf("%s-%d", q.pool, len(p.jobs)), cycle: cycle, at: at,
		objective: 600*time.Millisecond + time.Duration(len(steps))*time.Duration(float64(q.ms)*1.6)*time.Millisecond,
	}
	p.submit(q.pool, j.id, steps...)
	p.jobs = append(p.jobs, j)
}

// onTime returns the share of the jobs within their objective that were submitted at the start of the peaks of a cycle.
func (p *peaks) onTime(cycle int, pool string) float64 {
	n, ok := 0, 0
	for _, j := range p.jobs {
		if j.cycle != cycle || j.at < 0 || j.at >= peakStart || pool != "" && j.id[:1] != pool {
			continue
		}
		n++
		job := p.e.State().JobByID(j.id)
		if job.EndedMs > 0 && time.Duration(job.EndedMs-job.AcceptedMs)*time.Millisecond <= j.objective {
			ok++
		}
	}
	return float64(ok) / float64(n)
}

// Guards against pools that get the instances for a peak only once it has begun, although the peaks have come in turn
// before, and against instances that cost more than they bring.
func TestPoolsGrowAheadOfPeaksInTurn(t *testing.T) {
	t.Parallel()
	reactive, ahead := newPeaks(t, false), newPeaks(t, true)
	for _, p := range []*peaks{reactive, ahead} {
		p.play(3 * 4 * peakDuration)
		p.run(5 * time.Second)
		t.Logf("on time in cycles 1 and 2 %.3f %.3f, of a and c %.3f %.3f, instances %s, moves %d", p.onTime(1, ""), p.onTime(2, ""),
			p.onTime(2, "a"), p.onTime(2, "c"), p.instanceTime, p.moves)
	}
	for _, pool := range []string{"a", "c"} {
		late := 1 - reactive.onTime(2, pool)
		assert.Assert(t, 1-ahead.onTime(2, pool) <= late/2, "%s: %.3f on time, %.3f without a forecast", pool,
			ahead.onTime(2, pool), 1-late)
	}
	assert.Assert(t, ahead.onTime(1, "") >= reactive.onTime(1, ""))
	assert.Assert(t, ahead.instanceTime < reactive.instanceTime*6/5, "%s, %s without a forecast", ahead.instanceTime,
		reactive.instanceTime)
}

// Guards against a rhythm that is lost for good when the leader changes, and against pools that lack instances because the
// platform rejects some moves.
func TestForecastSurvivesLeaderChangeAndRejectedMoves(t *testing.T) {
	t.Parallel()
	p := newPeaks(t, true)
	p.rejectRequest = func(a kernel.Action) (workload.Outcome, bool) {
		m, ok := a.(workload.MoveInstance)
		return workload.Busy, ok && m.Instance[len(m.Instance)-1] == '3'
	}
	p.play(6 * peakDuration)
	p.play(peakDuration / 2)
	p.startTerm()
	p.play(10*peakDuration - peakDuration/2)
	p.run(5 * time.Second)
	t.Logf("on time by cycle %.3f %.3f %.3f %.3f", p.onTime(0, ""), p.onTime(1, ""), p.onTime(2, ""), p.onTime(3, ""))
	for _, pool := range []string{"a", "c"} {
		assert.Assert(t, p.onTime(3, pool) > 0.95, "%s: %.3f", pool, p.onTime(3, pool))
	}
}

// Guards against a forecast that proves wrong and keeps its instances, or is made again and again.
func TestWrongForecastCostsLittle(t *testing.T) {
	t.Parallel()
	p := newPeaks(t, true)
	p.play(2 * 4 * peakDuration)
	// From now on, the third queue has no peaks.
	for range 3 {
		p.play(2*peakDuration-2500*time.Millisecond, "c")
		begin, most := p.poolTime["c"], 0
		for range 2 * peakDuration / (100 * time.Millisecond) {
			p.play(100*time.Millisecond, "c")
			most = max(most, p.countInstances("c"))
		}
		spent := p.poolTime["c"] - begin
		t.Logf("at most %d instances, %s", most, spent)
		assert.Assert(t, spent < time.Duration(most)*4500*time.Millisecond+2*2*peakDuration, "%s for %d instances", spent, most)
		p.play(2500*time.Millisecond, "c")
	}
	notUsed := p.counters["hibiscusroute_forecasts_total{outcome=not-used}"]
	t.Logf("%d not used", notUsed)
	assert.Assert(t, notUsed >= 1 && notUsed <= 3, "%d", notUsed)
}
