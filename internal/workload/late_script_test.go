package workload_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// lateRequestsCost divides the default number of seeds of the random test of late requests.
const lateRequestsCost = 2

// Guards against requests for an earlier incarnation of a worker that a later one carries out, so that a task runs twice.
func TestRandomLateRequests(t *testing.T) {
	playSeeds(t, newLateRequestScript, (*randomRuns+lateRequestsCost-1)/lateRequestsCost)
}

// newLateRequestScript returns the script of a seed with workers that start again under their IDs while requests for them
// are held up. It has no other crashes, as those count for the tasks that run on the workers.
func newLateRequestScript(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 19))
	sc := script{
		seed: seed, lease: []time.Duration{6 * time.Second, 10 * time.Second}[r.IntN(2)], spare: -1, pools: []int{2 + r.IntN(4)},
		advice: []bool{false}, cap: []int64{0}, delay: []time.Duration{0, 3 * simStep, 10 * simStep}[r.IntN(3)],
		stop: time.Duration(r.IntN(3)) * 10 * simStep, end: 60 * time.Second,
	}
	between := func(a, b time.Duration) time.Duration {
		return (a + time.Duration(r.Int64N(int64(b-a)))).Round(simStep)
	}
	add := func(kind string, at, d time.Duration, n uint64) {
		sc.actions = append(sc.actions, action{at: at, d: d, kind: kind, n: n})
	}
	for range 1 + r.IntN(4) {
		add("lasting", between(0, 2*time.Second), 0, r.Uint64())
	}
	for range 1 + r.IntN(3) {
		add("stream", between(0, 20*time.Second), between(10*time.Second, 40*time.Second), r.Uint64())
	}
	for range r.IntN(8) {
		kind := []string{"burst", "cancel", "lasting", "fail", "leader", "unanswered", "late", "silent", "mute"}[r.IntN(9)]
		add(kind, between(2*time.Second, 45*time.Second), between(200*time.Millisecond, 8*time.Second), r.Uint64())
	}
	for range 4 + r.IntN(8) {
		n, at, held := r.Uint64(), between(3*time.Second, 40*time.Second), between(300*time.Millisecond, 4*time.Second)
		crash, down := between(200*time.Millisecond, held+time.Second), between(100*time.Millisecond, 3*time.Second)
		add("hold-up", at, held, n)
		add("restart", at+crash, down, n)
		if r.IntN(2) == 0 {
			add("cut-off", at+crash+down+between(50*time.Millisecond, 2500*time.Millisecond),
				between(time.Second, 9*time.Second), n)
		}
		if r.IntN(3) == 0 {
			add("leader", at+between(0, 6*time.Second), 0, r.Uint64())
		}
	}
	slices.SortStableFunc(sc.actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	sc.skip()
	return sc
}

// applyLate applies the events of scripts with late requests. Those with the same n apply to the same instance.
func (p *player) applyLate(a action, r *rand.Rand) bool {
	names := p.instanceNames()
	name := names[a.n>>8%uint64(len(names))]
	w := p.workers[p.instances[name].Worker]
	switch a.kind {
	case "hold-up", "restart", "cut-off":
	default:
		return false
	}
	if w == nil || w.dead || w.draining {
		return true
	}
	switch a.kind {
	case "hold-up":
		p.heldUntil[w.m.Id] = p.now + a.d
		p.check.disturb(p.now + a.d)
		p.logf("requests for %s are held up until %v", w.m.Id, p.now+a.d)
	case "restart":
		delays := []time.Duration{a.d}
		if r.IntN(3) == 0 {
			delays = append(delays, p.drawRestart(r), p.drawRestart(r))
		}
		p.restartWorker(name, delays)
	case "cut-off":
		flag := []*bool{&w.unreachable, &w.deaf}[r.IntN(2)]
		*flag = true
		p.check.disturb(p.now + a.d)
		p.logf("cut off: %s for %v", w.m.Id, a.d)
		p.scheduleLasting(a.d, func() { *flag = false })
	}
	return true
}

func (p *player) drawRestart(r *rand.Rand) time.Duration {
	return 100*time.Millisecond + time.Duration(r.IntN(290))*simStep
}

// restartWorker crashes the worker of an instance, which starts again under its ID. The delays are, in turn, how long it
// is down and how long it is up.
func (p *player) restartWorker(instance string, delays []time.Duration) {
	w := p.workers[p.instances[instance].Worker]
	if w == nil || w.dead || w.draining {
		return
	}
	w.dead = true
	p.check.disturb(p.now + delays[0])
	p.logf("restart: %s, after %v", w.m.Id, delays[0])
	p.scheduleLasting(delays[0], func() {
		p.reboot(instance, w, 0)
		if len(delays) > 2 {
			p.check.disturb(p.now + delays[1])
			p.scheduleLasting(delays[1], func() { p.restartWorker(instance, delays[2:]) })
		}
	})
}

// startMute lets some incarnations send their first heartbeats late.
func (p *player) startMute(w *fakeWorker) bool {
	if p.script.operations {
		return p.startUnknown(w)
	}
	if p.heldUntil[w.m.Id] == 0 || p.draw(3, "mute", w.m.Id) > 0 {
		return false
	}
	d := time.Duration(1+p.draw(200, "mute for", w.m.Id)) * simStep
	p.check.disturb(p.now + d)
	p.scheduleLasting(d, func() { w.mute = false })
	return true
}

// lateRequest is a request that was held up and gets no answer.
type lateRequest struct {
	a    kernel.Action
	h    workload.RequestHeader
	sent time.Duration
	// settledAt is when the leader proposed or recorded the end of the run that is to start; 0 if it has not.
	settledAt time.Duration
	// isDone is set once the log tells that the task was done by a worker with the ID.
	isDone bool
	// startedOn is the later incarnation that has started the run, nil if none has.
	startedOn *fakeWorker
	delivered bool
}

// holdUp carries out a request after a time, at the incarnation that has the ID then.
func (p *player) holdUp(a kernel.Action, h workload.RequestHeader, after time.Duration) {
	q := &lateRequest{a: a, h: h, sent: p.sentAt}
	p.held = append(p.held, q)
	p.scheduleLasting(after, func() { p.deliverLate(q) })
	timeout := time.Second
	if r, ok := a.(workload.RenewLease); ok {
		timeout += r.Wait
	}
	p.schedule(timeout, func() { p.fail(a, workload.NoAnswer, q.sent) })
}

// deliverLate carries out a request that was held up, unless it was carried out before.
func (p *player) deliverLate(q *lateRequest) {
	if q.delivered {
		return
	}
	q.delivered = true
	p.executeLate(q)
	if q.startedOn == nil {
		p.held = slices.DeleteFunc(p.held, func(o *lateRequest) bool { return o == q })
	}
}

// mayHoldUp holds up most requests for some workers.
func (p *player) mayHoldUp(a kernel.Action, h workload.RequestHeader) bool {
	if p.now >= p.heldUntil[h.ID] || p.draw(4, "held", h.ID, fmt.Sprintf("%T", a)) == 0 {
		return false
	}
	longest := []int{280, 980}[p.draw(2, "held long", h.ID)]
	p.holdUp(a, h, 200*time.Millisecond+time.Duration(p.draw(longest+1, "held for", h.ID))*simStep)
	return true
}

func (p *player) executeLate(q *lateRequest) {
	w := p.worker(q.h.Target)
	if w == nil {
		return
	}
	if q.isUnpreventable(w) {
		p.logf("late %s of incarnation %d at %s is left out", p.identity(q.a), q.h.StartedMs, w.m.Id)
		return
	}
	p.check.disturb(p.now)
	o := w.execute(q.a, q.sent)
	if start, ok := q.a.(workload.StartRun); ok && o == workload.Accepted && !w.reached && w.runs[taskKey(start.Name)] != nil {
		q.startedOn = w
	}
	p.logf("late %s (token %d, incarnation %d) at %s (token %d, incarnation %d): %v", p.identity(q.a), q.h.FencingToken,
		q.h.StartedMs, w.m.Id, w.fencingToken, w.m.BornMs, o)
}

// isUnpreventable reports whether no leader can keep a late request from doing harm at a later incarnation, because none of
// its requests for that one has arrived, which would have raised the fencing token. After an operation on the instance each
// leader can, as it could have waited with the operation.
//   - A start, if the task was done before by a worker with the ID, as its end can't wait for that. Nothing else that a leader
//     sends can get there first.
//   - A renewal that acknowledges a success of that incarnation, whose run came from another late start.
func (q *lateRequest) isUnpreventable(w *fakeWorker) bool {
	if w.reached || w.m.BornMs == q.h.StartedMs {
		return false
	}
	switch a := q.a.(type) {
	case workload.StartRun:
		if q.settledAt == 0 || w.followsOperation(q.sent) || !q.isDone {
			return false
		}
		return !w.known || q.settledAt < w.knownAt || q.settledAt >= w.heardAt+w.sim.maxLease
	case workload.RenewLease:
		return slices.ContainsFunc(w.successes, func(e success) bool {
			return e.number <= a.AckedEnd && !w.followsOperation(e.sent)
		})
	}
	return false
}

// followsOperation reports whether an operation has ended an earlier incarnation with the ID of the worker since a time. It
// doesn't matter whether others have crashed before or after that.
func (w *fakeWorker) followsOperation(since time.Duration) bool {
	at, ok := w.sim.operatedAt[w.m.Id]
	return ok && at >= since
}

// noteSettled notes which of the late starts belong to runs that have ended for the leader by a time. A start that would
// be left out from then on is taken back if it was carried out before.
func (p *player) noteSettled(at time.Duration) {
	p.held = slices.DeleteFunc(p.held, func(q *lateRequest) bool {
		start, ok := q.a.(workload.StartRun)
		switch {
		case !ok:
		case !p.isSettled(start):
			q.settledAt = 0
		case q.settledAt == 0:
			q.settledAt = at
			fallthrough
		default:
			q.isDone = p.isDone(start)
		}
		w := q.startedOn
		switch {
		case w == nil:
			return false
		case w.dead || w.reached:
			return true
		case !q.isUnpreventable(w):
			return false
		}
		task := taskKey(start.Name)
		delete(w.runs, task)
		w.ended = slices.DeleteFunc(w.ended, func(e workload.EndedRun) bool { return e.Name == start.Name })
		w.successes = slices.DeleteFunc(w.successes, func(e success) bool { return e.task == task })
		p.logf("late start of %s#%d on %s is taken back", task, start.Name.Run, w.m.Id)
		return true
	})
}

// isDone reports whether the log tells that a task is done, by a run on a worker with the ID that a start was sent to.
func (p *player) isDone(a workload.StartRun) bool {
	n := a.Name
	if p.doneOn[taskKey(n)] != a.ID {
		return false
	}
	for _, o := range p.e.State().JobByID(n.Job).Occurrences() {
		if o.Number == n.Occurrence {
			return o.Steps[n.Step].Tasks[n.Index].Done
		}
	}
	return true
}

// isSettled reports whether the end of a run is in the log, or proposed.
func (p *player) isSettled(a workload.StartRun) bool {
	w, j := p.e.State().Worker(a.Incarnation), p.e.State().JobByID(a.Name.Job)
	if w == nil || j == nil {
		return true
	}
	n := a.Name
	key := ledger.RunKey{Job: j.Number, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index, Run: n.Run}
	return w.Runs()[key] == nil || slices.ContainsFunc(p.uncommitted, func(u uncommitted) bool {
		m := &workloadpb.Command{}
		assert.NilError(p.t, proto.Unmarshal(u.c.Body, m))
		if l := m.GetLeave(); l != nil {
			return l.Id == a.ID && l.BornMs == a.StartedMs
		}
		if r := m.GetReport(); r != nil {
			return r.Worker.Id == a.ID && r.Worker.BornMs > a.StartedMs
		}
		ends := m.GetEnds()
		return ends.GetWorker() == a.Incarnation && slices.ContainsFunc(ends.GetEnds(), func(e *workloadpb.End) bool {
			return proto.Equal(e.Subtask, key.TaskMessage()) && e.Run == n.Run
		})
	})
}

// noteLosses notes the jobs that the leader may give up, as a task of theirs seems to crash its workers. All crashes of
// these scripts come from restarts.
func (p *player) noteLosses() {
	if len(p.heldUntil) == 0 && !p.script.operations {
		return
	}
	for _, j := range p.e.State().ActiveJobs() {
		for _, o := range j.Occurrences() {
			for i := range o.Steps {
				p.suspected[j.ID] = p.suspected[j.ID] || slices.ContainsFunc(o.Steps[i].Tasks, func(t ledger.Task) bool {
					return len(t.Losses()) >= toleratedCrashes-1
				})
			}
		}
	}
	for id, isSuspected := range p.suspected {
		if j := p.e.State().JobByID(id); isSuspected && j != nil && j.State() == ledger.Failed {
			p.check.cancelJob(id)
		}
	}
}
