package caller

import (
	"container/heap"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/endpoint/endpointpb"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// simulatedRequest is a waiting or running request in simulated time.
type simulatedRequest struct {
	at time.Duration // arrival while the request waits, then the end of its run
	g  grant
	w  *waiter
}

// requestHeap orders running requests by the end of their runs.
type requestHeap []simulatedRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(simulatedRequest)) }
func (h *requestHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// teamLoad describes the requests of one team in a simulation.
type teamLoad struct {
	team     string
	share    int
	urgent   bool
	interval time.Duration // time between arrivals
	runTime  time.Duration
	limit    int // number of team permits
}

// usage is what a team got in a simulation.
type usage struct {
	slotTime    time.Duration
	longestWait time.Duration
	maxRunning  int
}

// simulate runs the scheduler in simulated time on a pool with 8 slots and returns the usage by team.
func simulate(t *testing.T, tc string, length time.Duration, loads []teamLoad) map[string]*usage {
	t.Helper()
	start := time.Unix(1_700_000_000, 0)
	now := start
	limits, used := map[string]int{"slot/i-0": 8}, map[string]int{}
	c := &fleet.Configuration{
		Processes: 1, Instances: []fleet.Instance{{Name: "i-0", Pool: "web", Slots: 8, Connections: 64}},
		Queues: []fleet.Queue{
			{Name: "urgent", Pool: "web", Urgent: true, MaxWaiting: 1 << 20},
			{Name: "other", Pool: "web", MaxWaiting: 1 << 20},
		},
	}
	for _, l := range loads {
		limits["team/"+l.team] = l.limit
		c.Teams = append(c.Teams, fleet.Team{Name: l.team, Share: l.share})
	}
	v := view.New(view.Config{Configuration: c})
	acquire := func(resource string) (func(), bool) {
		if used[resource] >= limits[resource] {
			return nil, false
		}
		used[resource]++
		return func() { used[resource]-- }, true
	}
	viewNow := func() (*view.View, error) { return v, nil }
	r := endpoint.New(endpoint.Config{
		View: viewNow, TryAcquire: acquire, Now: func() time.Time { return start }, Log: logr.Discard(),
	})
	r.ReceiveUpdate("peer", &endpointpb.Update{Boot: 1, Full: true, Reports: []*endpointpb.Report{
		{Id: 1, Instance: "i-0", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, IntervalMs: 1000},
	}})
	s := &scheduler{
		cfg: schedulerConfig{
			view: viewNow, pick: r.Pick, reportDemand: r.ReportDemand, endpointsChanged: r.Changed, tryAcquire: acquire,
			now: func() time.Time { return now }, metrics: metrics.NewSet(),
			reportViolation: func(name, text string) { t.Errorf("%s: %s", name, text) },
		},
		demandChanged: make(chan struct{}, 1), closed: make(chan struct{}),
		pools: map[string]*poolQueue{}, teams: map[string]*teamCounts{}, queues: map[string]*queueCounts{},
	}
	usages := map[string]*usage{}
	next := make([]time.Duration, len(loads))
	var running requestHeap
	granted, waiting := map[string]chan grant{}, map[string][]simulatedRequest{}
	takes := map[string]time.Duration{}
	for _, l := range loads {
		usages[l.team] = &usage{}
		takes[l.team], granted[l.team] = l.runTime, make(chan grant, 1)
	}
	// startGranted starts the granted requests. The requests of a team start in order of arrival.
	startGranted := func() {
		for _, l := range loads {
			if len(granted[l.team]) == 0 {
				continue
			}
			g := <-granted[l.team]
			assert.NilError(t, g.err)
			w, at := waiting[l.team][0].w, start.Add(waiting[l.team][0].at)
			waiting[l.team] = waiting[l.team][1:]
			assert.Assert(t, s.startRequest(w.team, w.queue.Name))
			u := usages[w.team]
			u.longestWait = max(u.longestWait, now.Sub(at))
			u.maxRunning = max(u.maxRunning, s.teams[w.team].running)
			ran := takes[w.team]
			// Run times are long in the first second of each 4 s, so that the estimate is always wrong.
			if w.team == "a" && tc == "run times that change" && now.Sub(start)%(4*time.Second) < time.Second {
				ran = time.Second
			}
			heap.Push(&running, simulatedRequest{now.Sub(start) + ran, g, w})
		}
	}
	for at := time.Duration(0); at < length; {
		at = length
		for _, n := range next {
			at = min(at, n)
		}
		if len(running) > 0 {
			at = min(at, running[0].at)
		}
		now = start.Add(at)
		for len(running) > 0 && running[0].at <= at {
			e := heap.Pop(&running).(simulatedRequest)
			s.returnSlot(e.g)
			s.finishRequest(e.w.team, e.w.queue.Name, e.g.teamPermit, true)
			usages[e.w.team].slotTime += now.Sub(e.g.grantedAt)
			startGranted()
		}
		for k, l := range loads {
			if next[k] > at {
				continue
			}
			next[k] = at + l.interval
			q, _ := v.Queue(map[bool]string{true: "urgent", false: "other"}[l.urgent])
			w := &waiter{queue: q, team: l.team, weight: float64(l.share), granted: granted[l.team]}
			s.mu.Lock()
			assert.NilError(t, s.enqueueWaiter(context.Background(), w))
			s.mu.Unlock()
			waiting[l.team] = append(waiting[l.team], simulatedRequest{at: at, w: w})
			startGranted()
		}
	}
	return usages
}

// Guards against a team that gets more than its share of a full pool by sending more requests, longer requests or
// bursts, a team that waits although it stays within its share, and a team that runs more requests than its permits.
func TestTeamsShareAFullPool(t *testing.T) {
	const length = 20 * time.Second
	for _, tc := range []struct {
		name  string
		loads []teamLoad
		check func(u map[string]*usage) error
	}{
		{"equal shares, burst of five times the mean", []teamLoad{
			{"a", 1, false, 2500 * time.Microsecond, 100 * time.Millisecond, 100},  // demands 40 slots
			{"b", 1, false, 12500 * time.Microsecond, 100 * time.Millisecond, 100}, // demands 8 slots
		}, func(u map[string]*usage) error { return ratio(u, 1) }},
		{"shares of 3 and 1", []teamLoad{
			{"a", 3, false, 5 * time.Millisecond, 100 * time.Millisecond, 100},
			{"b", 1, false, 5 * time.Millisecond, 100 * time.Millisecond, 100},
		}, func(u map[string]*usage) error { return ratio(u, 3) }},
		{"run times that differ tenfold", []teamLoad{
			{"a", 1, false, 10 * time.Millisecond, 500 * time.Millisecond, 100},
			{"b", 1, false, time.Millisecond, 50 * time.Millisecond, 100},
		}, func(u map[string]*usage) error { return ratio(u, 1) }},
		{"run times that change", []teamLoad{
			{"a", 1, false, 10 * time.Millisecond, 50 * time.Millisecond, 100},
			{"b", 1, false, 10 * time.Millisecond, 50 * time.Millisecond, 100},
		}, func(u map[string]*usage) error { return ratio(u, 1) }},
		{"a team within its share hardly waits", []teamLoad{
			{"a", 1, false, 2500 * time.Microsecond, 100 * time.Millisecond, 100},
			{"b", 1, false, 50 * time.Millisecond, 100 * time.Millisecond, 100}, // demands 2 of its 4 slots
		}, func(u map[string]*usage) error {
			if got := u["b"].slotTime; got < length*19/10 {
				return fmt.Errorf("b got %s", got)
			}
			if u["b"].longestWait > 250*time.Millisecond {
				return fmt.Errorf("b waited %s", u["b"].longestWait)
			}
			return nil
		}},
		{"urgent work goes first", []teamLoad{
			{"a", 100, false, 2500 * time.Microsecond, 100 * time.Millisecond, 100},
			{"b", 1, true, 25 * time.Millisecond, 100 * time.Millisecond, 100}, // demands 4 slots
		}, func(u map[string]*usage) error {
			if u["b"].longestWait > 100*time.Millisecond {
				return fmt.Errorf("urgent work waited %s", u["b"].longestWait)
			}
			return nil
		}},
		{"upper limit below the share", []teamLoad{
			{"a", 1, false, 5 * time.Millisecond, 100 * time.Millisecond, 2},
			{"b", 1, false, 5 * time.Millisecond, 100 * time.Millisecond, 100},
		}, func(u map[string]*usage) error {
			if u["a"].maxRunning > 2 {
				return fmt.Errorf("a ran %d", u["a"].maxRunning)
			}
			return ratio(u, 2.0/6)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := simulate(t, tc.name, length, tc.loads)
			t.Logf("a: %+v, b: %+v", *u["a"], *u["b"])
			assert.NilError(t, tc.check(u))
		})
	}
}

// ratio returns an error unless the slot time of a is want times that of b, within 5%.
func ratio(u map[string]*usage, want float64) error {
	got := float64(u["a"].slotTime) / float64(u["b"].slotTime)
	if got < want*0.95 || got > want*1.05 {
		return fmt.Errorf("ratio is %.3f, want %.3f", got, want)
	}
	return nil
}

// Guards against retries that multiply an overload.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	b := newRetryBudget()
	retries := 0
	for range 1000 {
		b.recordRequest()
		for b.takeRetry() {
			retries++
		}
	}
	assert.Assert(t, retries <= 1000*retriesPerRequest+retryBurst, "%d retries", retries)
	assert.Assert(t, retries >= 1000*retriesPerRequest, "%d retries", retries)
}
