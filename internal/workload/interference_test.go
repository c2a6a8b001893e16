package workload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// mix is a load of jobs of kinds "a" and "b", of which "a" takes twice as long beside "b".
type mix struct {
	*sim
	r *rand.Rand
	// hasEffect is whether "b" slows down "a", and slow the worker on which all takes three times as long.
	hasEffect bool
	slow      *fakeWorker
	// namesJobs gives each job an image of its own, so that there is nothing to learn.
	namesJobs bool
	jobs      int
	diverted  int
	// working and slowed are the times that runs of "a" have worked, in total and beside "b".
	working, slowed time.Duration
}

func newMix(t *testing.T) *mix {
	m := &mix{sim: newSim(t), r: rand.New(rand.NewPCG(1, 1)), hasEffect: true}
	image := func(r *fakeRun) string { return m.steps[r.name.Job][r.name.Step].Image[:1] }
	m.slowdown = func(w *fakeWorker, r *fakeRun) float64 {
		factor := 1.0
		if w == m.slow {
			factor = 3
		}
		if image(r) != "a" {
			return factor
		}
		m.working += simStep
		if len(w.sortedRuns(func(o *fakeRun) bool { return image(o) == "b" })) > 0 {
			m.slowed += simStep
			if m.hasEffect {
				factor *= 2
			}
		}
		return factor
	}
	m.e.Configure(workload.Config{
		WallClock: func() time.Time { return time.UnixMilli(1_000_000).Add(m.now) }, MaxLease: m.maxLease,
		IncrementCounter: func(name, _, _ string) {
			if name == "hibiscusroute_interference_placements_total" {
				m.diverted++
			}
		},
	})
	m.configure(1, nil, "glass")
	m.addWorkers("glass", 8)
	m.run(2 * time.Second)
	return m
}

// play submits jobs of two tasks for d, one in each gap on average, and returns the share of their time that the runs of "a"
// were slowed down by "b", and the mean time that the jobs took.
func (m *mix) play(d, gap time.Duration) (slowed float64, latency time.Duration) {
	m.working, m.slowed = 0, 0
	first := m.jobs
	for end := m.now + d; m.now < end; {
		st := step(2, 4000, 1000, 500)
		if st.Image = []string{"a", "b"}[m.r.IntN(2)]; m.namesJobs {
			st.Image += fmt.Sprint(m.jobs)
		}
		m.submit("glass", fmt.Sprint("j-", m.jobs), st)
		m.jobs++
		m.run(time.Duration(m.r.Int64N(int64(2 * gap))))
	}
	slowed = float64(m.slowed) / float64(m.working)
	m.run(20 * time.Second)
	for i := first; i < m.jobs; i++ {
		j := m.e.State().JobByID(fmt.Sprint("j-", i))
		assert.Equal(m.t, string(j.State()), "completed")
		latency += time.Duration(j.EndedMs-j.AcceptedMs) * time.Millisecond / time.Duration(m.jobs-first)
	}
	return slowed, latency
}

// Guards against kinds that share workers although they slow each other down and others have room, against tasks that wait
// because of that, and against other placements than before where no kinds slow each other down.
func TestKindsThatSlowEachOtherAreKeptApart(t *testing.T) {
	for _, tc := range []struct {
		name      string
		gap       time.Duration
		hasEffect bool
		maxPart   float64 // of the slowed time without learning
	}{
		{"room", 120 * time.Millisecond, true, 0.5},
		{"no-room", 30 * time.Millisecond, true, 1},
		{"room-without-effect", 120 * time.Millisecond, false, 1},
		{"no-room-without-effect", 30 * time.Millisecond, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var slowed [2]float64
			var latency [2]time.Duration
			var requests [2]string
			for i := range 2 {
				m := newMix(t)
				m.namesJobs, m.hasEffect = i == 0, tc.hasEffect
				m.play(10*time.Second, tc.gap)
				slowed[i], latency[i] = m.play(15*time.Second, tc.gap)
				requests[i] = fmt.Sprint(m.requests)
				assert.Equal(t, m.e.CountingPairs() > 0, tc.hasEffect && !m.namesJobs)
				assert.Equal(t, m.diverted > 0, tc.hasEffect && !m.namesJobs)
			}
			if !tc.hasEffect {
				assert.Assert(t, requests[1] == requests[0])
				return
			}
			assert.Assert(t, slowed[1] < tc.maxPart*slowed[0], "%v", slowed)
			assert.Assert(t, latency[1] < latency[0], "%v", latency)
		})
	}
}

// Guards against pairs that outlive their effect or the leader that has learned them, and against ones that a slow worker
// brings about.
func TestInterferenceIsLearnedAnew(t *testing.T) {
	m := newMix(t)
	m.play(10*time.Second, 120*time.Millisecond)
	assert.Equal(t, m.e.CountingPairs(), 1)
	m.startTerm()
	assert.Equal(t, m.e.CountingPairs(), 0)
	m.play(10*time.Second, 120*time.Millisecond)
	assert.Equal(t, m.e.CountingPairs(), 1)

	m.hasEffect = false
	m.play(30*time.Second, 60*time.Millisecond)
	assert.Equal(t, m.e.CountingPairs(), 0)

	m.slow = m.workers[sortedIDs(m.workers)[0]]
	for _, gap := range []time.Duration{120 * time.Millisecond, 60 * time.Millisecond, 30 * time.Millisecond} {
		m.play(20*time.Second, gap)
		assert.Equal(t, m.e.CountingPairs(), 0)
	}
}

// Guards against best-effort tasks beside latency-sensitive ones of a kind that they disturb, while they don't disturb those of
// another one, and against a pair that counts for long after its effect has ended.
func TestBestEffortTasksAvoidKindsThatTheyDisturb(t *testing.T) {
	m := newMix(t)
	effect := int64(40)
	m.slowdown = func(w *fakeWorker, _ *fakeRun) float64 {
		w.load = 20
		if len(w.sortedRuns(func(o *fakeRun) bool { return o.name.Job[0] == 'e' })) > 0 &&
			len(w.sortedRuns(func(o *fakeRun) bool { return o.name.Job == "firm" })) == 0 {
			w.load += effect
		}
		return 1
	}
	for _, job := range []string{"weak", "firm"} {
		st := lastingStep(4, 1, 0)
		st.TargetMs, st.Image = 100, job
		m.submit("glass", job, st)
		m.run(2 * time.Second)
	}
	// play returns how many of the best-effort tasks, three in each round, disturb others.
	play := func(rounds int) (disturbed int) {
		for range rounds {
			st := step(3, 500, 100, 2000)
			st.Fills, st.Image = true, "effort"
			m.submit("glass", fmt.Sprint("e", m.jobs), st)
			m.jobs++
			m.run(time.Second)
			for _, w := range m.workers {
				if w.load > 20 {
					disturbed++
				}
			}
			m.run(3 * time.Second)
		}
		return disturbed
	}
	assert.Assert(t, play(11) <= 18)
	assert.Assert(t, m.diverted >= 18)
	assert.Equal(t, m.e.CountingPairs(), 1)
	effect = 0
	play(6)
	assert.Equal(t, m.e.CountingPairs(), 0)
}

// Guards against a leader that panics because a worker lists a latency-sensitive run as running and as ended.
func TestRunListedAfterItsEnd(t *testing.T) {
	m := newMix(t)
	st := lastingStep(1, 1, 0)
	st.TargetMs, st.Image = 100, "c"
	m.submit("glass", "j", st)
	m.run(2 * time.Second)
	for _, w := range m.workers {
		for _, r := range w.runs {
			m.awaitRenewal(w)
			list := w.list(*w.renewal)
			list.Ended = append(list.Ended, workload.EndedRun{Number: w.lastEnd + 1, Name: r.name, How: workloadpb.How_HOW_FAILED})
			m.k.Observe(m.now, list)
			return
		}
	}
	t.Fatal("no run was started")
}

func (m *mix) awaitRenewal(w *fakeWorker) {
	for w.renewal == nil {
		m.run(simStep)
	}
}
