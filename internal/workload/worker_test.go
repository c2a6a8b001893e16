package workload_test

import (
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// shrinkGrace is how long a worker may still be filled to the capacity that it had before it shrank: contactMs of the
// users' rules and one heartbeat.
const shrinkGrace = 4500 * time.Millisecond

// maxListedEnds is how many ends a worker lists at once.
const maxListedEnds = 500

type fakeWorker struct {
	sim           *sim
	m             *workloadpb.Worker
	startedAt     time.Duration
	dead          bool // has exited, so it answers nothing
	unreachable   bool // answers nothing and keeps running
	deaf          bool // gets no requests, but sends heartbeats
	mute          bool // sends no heartbeats, but answers
	unhealthy     bool // rejects all requests
	fencingToken  uint64
	known         bool // to the leader, since knownAt
	knownAt       time.Duration
	heardAt       time.Duration // last heartbeat or answer within MaxRequestDelay after knownAt
	reached       bool          // by a request of a leader that knew of this incarnation
	leaseExpiryMs int64
	runs          map[string]*fakeRun
	highestRun    map[string]int32
	ended         []workload.EndedRun
	lastEnd       int64
	// successes are the successful ends that are not acknowledged, as long as the lease has not expired since.
	successes       []success
	renewal         *workload.RenewLease
	renewalSentAt   time.Duration
	renewalDeadline time.Duration
	sequence        uint64
	draining        bool
	leavesAt        time.Duration // 0 if it is not known
	clockGain       int64         // thousandths by which the clock is fast
	// how is how runs end that have worked for their estimated time.
	how workloadpb.How
	// load is listed for every run.
	load int64
	// stuck runs never end by themselves.
	stuck bool
	// formerCapacities are those that the worker had before its capacity changed.
	formerCapacities []formerCapacity
}

// formerCapacity is a capacity that a worker had until a time.
type formerCapacity struct {
	ledger.Resources
	until time.Duration
}

// success is a successful end in the list of a worker. A task may start again only if its success is never recorded, as
// after a crash or a lapsed lease.
type success struct {
	number int64
	task   string
	// sent is when the start of the run was sent.
	sent time.Duration
	// startedAgain is set if the task has started again since. The end must not be acknowledged then.
	startedAgain bool
}

type fakeRun struct {
	name        workload.RunName
	task        string // taskKey of the name
	need        ledger.Resources
	sent        time.Duration // the start
	startedAt   time.Duration
	endsAt      time.Duration
	longRunning bool
}

// resize changes the capacity of a worker. Runs that don't fit any more stay, and the next heartbeat shows the change.
func (w *fakeWorker) resize(capacity *workloadpb.Resources) {
	w.formerCapacities = append(w.formerCapacities, formerCapacity{ledger.ResourcesOf(w.m.Capacity), w.sim.now})
	w.m.Capacity = capacity
}

// mayStart reports whether a start that was sent at a time keeps the worker within its capacity.
func (w *fakeWorker) mayStart(need ledger.Resources, sent time.Duration) bool {
	return need.Within(w.free()) || slices.ContainsFunc(w.formerCapacities, func(c formerCapacity) bool {
		return sent < c.until+shrinkGrace && need.Within(w.free().Plus(c.Minus(ledger.ResourcesOf(w.m.Capacity))))
	})
}

func (w *fakeWorker) clockMs() int64 {
	ms := (w.sim.now - w.startedAt).Milliseconds()
	return ms + ms*w.clockGain/1000
}

// sortedRuns returns the runs that match by task, so that a seed gives the same ends again.
func (w *fakeWorker) sortedRuns(matches func(r *fakeRun) bool) []*fakeRun {
	var list []*fakeRun
	for _, r := range w.runs {
		if matches == nil || matches(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *fakeRun) int { return strings.Compare(a.task, b.task) })
	return list
}

func (w *fakeWorker) end(r *fakeRun, how workloadpb.How) {
	delete(w.runs, r.task)
	w.lastEnd++
	w.ended = append(w.ended, workload.EndedRun{Number: w.lastEnd, Name: r.name, How: how})
	if how == workloadpb.How_HOW_DONE {
		w.sim.done[r.task]++
		w.sim.doneOn[r.task] = w.m.Id
		if !r.longRunning { // Long-running tasks start again however they end.
			w.successes = append(w.successes, success{number: w.lastEnd, task: r.task, sent: r.sent})
		}
	}
}

// acknowledge removes the ends that the leader has recorded.
func (w *fakeWorker) acknowledge(number int64) {
	w.ended = slices.DeleteFunc(w.ended, func(e workload.EndedRun) bool { return e.Number <= number })
	w.successes = slices.DeleteFunc(w.successes, func(e success) bool {
		if e.number > number {
			return false
		}
		assert.Assert(w.sim.t, !e.startedAgain, "%s started again and then its success was recorded", e.task)
		w.sim.noted[e.task] = true
		return true
	})
}

// grant renews the lease of a worker by a request that a deposed leader sends at a time since a quorum confirmed it.
func (w *fakeWorker) grant(lease, confirmationAge time.Duration) {
	h := workload.RequestHeader{LeaseExpiryMs: w.clockMs() + lease.Milliseconds()}
	h.ShortenLease(confirmationAge)
	w.leaseExpiryMs = max(w.leaseExpiryMs, h.LeaseExpiryMs)
}

func (w *fakeWorker) list(h workload.RenewLease) workload.RenewLeaseResult {
	done := workload.RenewLeaseResult{
		Request: h, Answer: w.answer(workload.Accepted, w.renewalSentAt),
		Ended: slices.Clone(w.ended[:min(len(w.ended), maxListedEnds)]),
	}
	for _, r := range w.sortedRuns(nil) {
		percent := 100
		if r.longRunning && w.sim.now-r.startedAt < w.sim.startupTime {
			percent = 0
		}
		done.Running = append(done.Running, workload.RunStatus{Name: r.name, Percent: percent, Load: w.load})
	}
	return done
}

func (w *fakeWorker) answer(o workload.Outcome, sent time.Duration) workload.Answer {
	return workload.Answer{Outcome: o, ClockMs: w.clockMs(), SentAt: sent, EndedAt: w.sim.now}
}

func (w *fakeWorker) acceptHeader(o workload.RequestHeader) {
	w.fencingToken = max(w.fencingToken, o.FencingToken)
	w.leaseExpiryMs = max(w.leaseExpiryMs, min(o.LeaseExpiryMs, w.clockMs()+w.sim.maxLease.Milliseconds()))
}

func (w *fakeWorker) stop(a workload.StopRun) {
	task := taskKey(a.Name)
	if r := w.runs[task]; r != nil && r.name.Run == a.Name.Run {
		if w.sim.stopTime == 0 {
			w.end(r, workloadpb.How_HOW_STOPPED)
		} else {
			w.sim.scheduleLasting(w.sim.stopTime, func() {
				if w.runs[task] == r && !w.dead {
					w.end(r, workloadpb.How_HOW_STOPPED)
				}
			})
		}
	}
	w.highestRun[task] = max(w.highestRun[task], a.Name.Run)
}

// execute carries out a request that was sent at a time, whichever incarnation it was meant for.
func (w *fakeWorker) execute(a kernel.Action, sent time.Duration) workload.Outcome {
	h, _ := targetOf(a)
	if h.FencingToken < w.fencingToken {
		return workload.Fenced
	}
	w.reached = w.reached || h.StartedMs == w.m.BornMs || w.known && sent >= w.knownAt
	if start, ok := a.(workload.StartRun); ok {
		return w.start(start, sent)
	}
	w.acceptHeader(h)
	switch a := a.(type) {
	case workload.RenewLease:
		w.acknowledge(a.AckedEnd)
	case workload.StopRun:
		w.stop(a)
	}
	return workload.Accepted
}

// markKnown notes that the leader hears of the incarnation now.
func (w *fakeWorker) markKnown() {
	if !w.known {
		w.known, w.knownAt = true, w.sim.now
	}
	if w.sim.now <= w.knownAt+ledger.MaxRequestDelay {
		w.heardAt = w.sim.now
	}
}

// start carries out a start that was sent at a time and is not fenced.
func (w *fakeWorker) start(a workload.StartRun, sent time.Duration) workload.Outcome {
	s := w.sim
	assert.Assert(s.t, a.LeaseExpiryMs > 0, "%v starts without a lease", a.Name)
	if a.LeaseExpiryMs <= w.clockMs() {
		return workload.DeadlineExceeded
	}
	if s.checkTicket != nil && !s.checkTicket(w, a) {
		return workload.BadTicket
	}
	w.acceptHeader(a.RequestHeader)
	task := taskKey(a.Name)
	if r := w.runs[task]; r != nil && r.name.Run == a.Name.Run {
		return workload.Accepted
	}
	if a.Name.Run <= w.highestRun[task] {
		return workload.Outdated
	}
	st := s.steps[a.Name.Job][a.Name.Step]
	assert.Assert(s.t, s.poolsOfQueue[s.prefixes[a.Name.Job]][w.m.Pool], "%s starts on worker %s of pool %s, to which no"+
		" configuration sends its queue", task, w.m.Id, w.m.Pool)
	assert.Assert(s.t, st.Label == "" || slices.Contains(w.m.Labels, st.Label), "%s starts on worker %s without the label %s",
		task, w.m.Id, st.Label)
	r := &fakeRun{
		name: a.Name, task: task, need: ledger.RequiredCapacity(st), longRunning: st.Lasting, sent: sent, startedAt: s.now,
		endsAt: s.now + time.Duration(st.EstimateMs)*time.Millisecond,
	}
	assert.Assert(s.t, w.mayStart(r.need, sent), "%s brings worker %s over its capacity %v: it needs %v, free are %v", task,
		w.m.Id, w.m.Capacity, r.need, w.free())
	w.runs[task], w.highestRun[task] = r, a.Name.Run
	assert.Equal(s.t, a.Spec, "spec "+a.Name.Job)
	if st.MaxPerWorker > 0 {
		n := len(w.sortedRuns(func(o *fakeRun) bool {
			return o.name.Job == a.Name.Job && o.name.Occurrence == a.Name.Occurrence && o.name.Step == a.Name.Step
		}))
		assert.Assert(s.t, n <= int(st.MaxPerWorker), "%d tasks of the step of %s run on worker %s", n, task, w.m.Id)
	}
	if s.isDeadly != nil && s.isDeadly(task) {
		w.startDeadly(r)
	}
	if !st.Speculative {
		assert.Assert(s.t, !s.noted[task], "%s starts again after it was done", task)
		for _, o := range s.workers {
			for i := range o.successes {
				if e := &o.successes[i]; e.task == task && !o.dead {
					e.startedAgain = true
				}
			}
			assert.Assert(s.t, o == w || o.dead || o.runs[task] == nil, "%s runs twice, on %s and on %s", task, o.m.Id, w.m.Id)
		}
	}
	return workload.Accepted
}
