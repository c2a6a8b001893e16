package workload_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// apply applies an event of the script.
func (p *player) apply(a action) {
	r := rand.New(rand.NewPCG(a.n, 2))
	until := p.now + a.d
	pool := r.IntN(len(p.script.pools))
	if p.removed[poolName(pool)] || p.applyCrowded(a, pool, r) || p.applyLate(a, r) || p.applyDemand(a, pool, r) {
		return
	}
	switch a.kind {
	case "lasting":
		p.submitLasting(pool, drawLasting(r))
		return
	case "stream":
		s := stream{until: until, next: p.now, period: time.Duration(5+r.IntN(45)) * simStep, pool: pool, n: a.n}
		p.streams = append(p.streams, s)
		p.logf("stream of small jobs to %s every %v until %v", poolName(pool), s.period, until)
		return
	case "burst":
		p.logf("burst of small jobs to %s", poolName(pool))
		for range 20 {
			p.submitSmall(pool, r)
		}
		return
	case "cancel":
		if len(p.jobs) > 0 {
			i := r.IntN(len(p.jobs))
			p.cancelJob(p.jobs[i])
			p.jobs = slices.Delete(p.jobs, i, i+1)
		}
		return
	case "wave":
		p.startWave(r)
		return
	case "fail", "done":
		p.endRuns(a.kind, r)
		return
	case "resize":
		p.resizeWorker(a, r)
		return
	}
	p.check.disturb(p.now)
	switch a.kind {
	case "crash", "gone", "silent", "deaf", "mute", "unhealthy", "drain":
		for range 1 + r.IntN(2) {
			p.disturbWorker(a, r)
		}
	case "late":
		p.lateUntil = max(p.lateUntil, until)
		p.check.disturb(until)
		p.logf("some starts are late until %v", until)
	case "unanswered":
		p.unansweredUntil = max(p.unansweredUntil, until)
		p.check.disturb(until)
		p.logf("some requests are carried out without an answer until %v", until)
	case "platform":
		p.platformUntil = max(p.platformUntil, until)
		p.check.disturb(until)
		p.logf("calls to the platform fail until %v", until)
	case "adviser":
		p.adviserUntil = max(p.adviserUntil, until)
		p.check.disturb(until)
		p.logf("calls to the adviser fail until %v", until)
	case "leader":
		// Some of the commands that the last leader proposed are lost.
		if n := len(p.uncommitted); n > 0 {
			p.applyCommitted(p.uncommitted[r.IntN(n)].at - time.Duration(r.IntN(2)))
		}
		p.loseLeader()
		p.scheduleLasting(time.Duration(r.IntN(150))*simStep, p.startTerm)
		p.check.disturb(p.now + leaderSettles)
		p.logf("the leader is lost")
	case "restore":
		p.loseLeader()
		data, err := p.k.Snapshot(false)
		assert.NilError(p.t, err)
		assert.NilError(p.t, p.k.Restore(data))
		p.scheduleLasting(time.Duration(r.IntN(150))*simStep, p.startTerm)
		p.check.disturb(p.now + leaderSettles)
		p.logf("the leader is lost, and the next one starts from a snapshot")
	case "deadly", "deadly-lasting":
		steps := []*workloadpb.Step{step(1+r.Int32N(6), 500*(1+r.Int64N(8)), 1000, 300+100*r.Int64N(20))}
		if a.kind == "deadly-lasting" {
			steps = drawLasting(r)
		}
		p.deadly[fmt.Sprintf("j%d", p.nextJob+1)] = true
		p.logf("submit %s, which crashes workers, to %s: %v", p.submitJob(pool, steps...), poolName(pool), steps)
	case "stale-report":
		var gone []*fakeWorker
		for _, id := range sortedIDs(p.workers) {
			if p.workers[id].dead {
				gone = append(gone, p.workers[id])
			}
		}
		if len(gone) > 0 {
			w := gone[r.IntN(len(gone))]
			p.logf("delayed heartbeat of %s", w.m.Id)
			p.report(w)
		}
	case "configure":
		if len(p.doc.Accounts) > 0 {
			p.doc.Accounts[r.IntN(len(p.doc.Accounts))].Allowance.Cpu = []int64{0, 24000, 60000, 120000}[r.IntN(4)]
		}
		p.configureAll()
		p.logf("configuration %d", p.doc.Version)
	case "queue-moves":
		p.doc.Queues[pool].Pool = poolName(r.IntN(len(p.script.pools)))
		p.configureAll()
		p.logf("queue %s is run by pool %s", poolName(pool), p.doc.Queues[pool].Pool)
	}
}

func (p *player) submitLasting(pool int, steps []*workloadpb.Step) {
	id := p.submitJob(pool, steps...)
	p.check.addJob(id)
	p.jobs = append(p.jobs, id)
	p.logf("submit %s to %s: %v", id, poolName(pool), steps)
}

func (p *player) cancelJob(id string) {
	p.logf("cancel %s", id)
	q := p.queue[id]
	key := ""
	if p.check.accounts[id] != "" {
		key = "k" + q
	}
	p.call(&workloadpb.Command{Change: &workloadpb.Command_Cancel{
		Cancel: &workloadpb.Cancel{Host: "h", Path: "/" + q + "/" + id, Id: id, Key: key},
	}})
	p.cancelled[id] = true
	p.check.cancelJob(id)
}

func (p *player) startWave(r *rand.Rand) {
	p.nextWave++
	w := &workloadpb.Wave{Number: p.nextWave, DurationMs: 20000, Cap: 1 + r.Int32N(3)}
	p.waveCaps[w.Number] = w.Cap
	for _, name := range p.instanceNames() {
		if r.IntN(2) == 0 {
			w.Instances = append(w.Instances, name)
		}
	}
	if len(w.Instances) > 0 {
		p.logf("wave %d of %v, cap %d", w.Number, w.Instances, w.Cap)
		p.call(&workloadpb.Command{Change: &workloadpb.Command_Wave{Wave: w}})
	}
}

func (p *player) instanceNames() []string {
	var names []string
	for name := range p.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// endRuns ends some long-running runs, as if they had failed or were done.
func (p *player) endRuns(kind string, r *rand.Rand) {
	how := workloadpb.How_HOW_FAILED
	if kind == "done" {
		how = workloadpb.How_HOW_DONE
	}
	var list []*fakeRun
	on := map[*fakeRun]*fakeWorker{}
	for _, id := range sortedIDs(p.workers) {
		for _, run := range p.workers[id].sortedRuns(func(r *fakeRun) bool { return r.longRunning }) {
			if !p.workers[id].dead {
				list = append(list, run)
				on[run] = p.workers[id]
			}
		}
	}
	for n := 1 + r.IntN(3); n > 0 && len(list) > 0; n-- {
		i := r.IntN(len(list))
		p.logf("run of %s on %s ends: %s", list[i].task, on[list[i]].m.Id, kind)
		on[list[i]].end(list[i], how)
		list = slices.Delete(list, i, i+1)
	}
}

// disturbWorker disturbs a worker that is up.
func (p *player) disturbWorker(a action, r *rand.Rand) {
	var names []string
	for _, name := range p.instanceNames() {
		if w := p.workers[p.instances[name].Worker]; w != nil && !w.dead && !w.draining {
			names = append(names, name)
		}
	}
	i, mode := r.Uint64(), r.IntN(4)
	if len(names) == 0 {
		return
	}
	name := names[i%uint64(len(names))]
	row := p.instances[name]
	w := p.workers[row.Worker]
	p.logf("%s: %s, mode %d, for %v", a.kind, w.m.Id, mode, a.d)
	set := func(flag *bool) {
		*flag = true
		p.check.disturb(p.now + a.d)
		p.scheduleLasting(a.d, func() {
			*flag = false
			p.logf("%s: %s, end", a.kind, w.m.Id)
		})
	}
	switch a.kind {
	case "gone":
		w.dead, row.Up = true, false
	case "crash":
		w.dead, row.Up = true, mode == 0
		p.check.disturb(p.now + a.d)
		p.scheduleLasting(a.d, func() { p.reboot(name, w, mode) })
	case "silent":
		set(&w.unreachable)
	case "deaf":
		set(&w.deaf)
	case "mute":
		set(&w.mute)
	case "unhealthy":
		set(&w.unhealthy)
	case "drain":
		leaves := 5 * time.Second
		w.draining, w.leavesAt = true, p.now+leaves
		p.check.disturb(p.now + leaves)
		p.report(w)
		p.scheduleLasting(leaves, func() { p.leave(name, w, a.d, mode) })
	}
}

// resizeWorker changes the capacity of a worker for a time. A heartbeat from before that may be delayed.
func (p *player) resizeWorker(a action, r *rand.Rand) {
	var list []*fakeWorker
	for _, id := range sortedIDs(p.workers) {
		if !p.workers[id].dead {
			list = append(list, p.workers[id])
		}
	}
	i, delay := r.Uint64(), time.Duration(r.IntN(800))*simStep
	isDelayed := r.IntN(3) == 0
	full := &workloadpb.Resources{Cpu: 16000, MemoryMib: 65536}
	c := proto.CloneOf(full)
	c.Cpu = c.Cpu * r.Int64N(9) / 8
	if r.IntN(2) == 0 {
		c.MemoryMib = c.MemoryMib * r.Int64N(9) / 8
	}
	if len(list) == 0 {
		return
	}
	w := list[i%uint64(len(list))]
	if isDelayed {
		m := p.heartbeat(w)
		p.scheduleLasting(delay, func() {
			if !p.leaderless {
				p.logf("delayed heartbeat %d of %s", m.GetReport().Sequence, w.m.Id)
				p.call(m)
			}
		})
	}
	p.logf("capacity of %s is %v for %v", w.m.Id, c, a.d)
	w.resize(c)
	p.scheduleLasting(a.d, func() {
		if !w.dead && w.m.Capacity == c {
			p.logf("capacity of %s is full again", w.m.Id)
			w.resize(full)
		}
	})
}

// leave ends a draining worker; its instance starts another worker later, or never.
func (p *player) leave(name string, w *fakeWorker, after time.Duration, mode int) {
	if w.dead {
		return
	}
	p.check.disturb(p.now)
	p.logf("leaves: %s", w.m.Id)
	if !w.unreachable && !w.mute {
		p.call(&workloadpb.Command{Change: &workloadpb.Command_Leave{
			Leave: &workloadpb.Leave{Id: w.m.Id, BornMs: w.m.BornMs, Announced: true},
		}})
	}
	w.dead, p.instances[name].Up = true, false
	if mode > 0 {
		p.check.disturb(p.now + after)
		p.scheduleLasting(after, func() { p.reboot(name, w, mode) })
	}
}

// reboot starts the worker of an instance again, under its old ID, with its old address, or as another one.
func (p *player) reboot(name string, old *fakeWorker, mode int) {
	row := p.instances[name]
	if p.workers[row.Worker] != old || !old.dead {
		return
	}
	row.Up = true
	p.check.disturb(p.now)
	id, address := old.m.Id, old.m.Address
	if mode == 2 {
		id = fmt.Sprintf("w-%s-%d", name, p.now.Milliseconds())
	}
	if mode == 3 {
		p.startWorker(name)
	} else {
		p.startWorkerAs(name, id, address)
	}
	p.logf("reboot: %s is %s", name, row.Worker)
}

// handle handles requests that meet a fault, and all requests to the adviser and to the platform.
func (p *player) handle(a kernel.Action) bool {
	sent := p.sentAt
	if h, ok := targetOf(a); ok {
		return p.handleWorkerRequest(a, h)
	}
	failing := func(until time.Duration) (workload.Outcome, bool) {
		if p.now >= until {
			return workload.Accepted, false
		}
		o := []workload.Outcome{workload.NoAnswer, workload.Busy, workload.Accepted}[p.draw(3, "fails", fmt.Sprintf("%T", a))]
		return o, o != workload.Accepted
	}
	switch a := a.(type) {
	case workload.RequestAdvice:
		if o, ok := failing(p.adviserUntil); ok {
			p.schedule(20*simStep, func() { p.fail(a, o, sent) })
			return true
		}
		p.advise(a)
		return true
	case workload.ListInstances:
		if o, ok := failing(p.platformUntil); ok {
			p.schedule(20*simStep, func() { p.fail(a, o, sent) })
			return true
		}
	case workload.MoveInstance:
		o, ok := failing(p.platformUntil)
		switch {
		case !ok:
			o = p.move(a)
		case o == workload.NoAnswer:
			p.maybeLater(a.Instance, func() workload.Outcome { return p.move(a) })
		}
		p.logf("move of %s to %s: %v", a.Instance, a.Pool, o)
		p.schedule(answerDelay(o), func() { p.fail(a, o, sent) })
		return true
	case workload.MaintainInstance:
		o, ok := failing(p.platformUntil)
		switch {
		case !ok:
			o = p.maintainInstance(a)
		case o == workload.NoAnswer:
			p.maybeLater(a.Instance, func() workload.Outcome { return p.maintainInstance(a) })
		}
		p.logf("maintenance of %s in wave %d: %v", a.Instance, a.Wave, o)
		p.schedule(answerDelay(o), func() { p.fail(a, o, sent) })
		return true
	}
	return false
}

// maybeLater carries out an operation on an instance that gets no answer at once, later or not at all.
func (p *player) maybeLater(instance string, operate func() workload.Outcome) {
	after := []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, -1}[p.draw(4, "carried out", instance)]
	if d := p.script.operationDelay; d > 0 && after > 0 {
		after = time.Duration(1+p.draw(int(d/simStep), "carried out after", instance)) * simStep
	}
	if after >= 0 {
		sent := p.sentAt
		p.check.disturb(p.now + after)
		p.scheduleLasting(after, func() {
			p.logf("operation on %s without an answer, sent at %v: %v", instance, sent, operate())
		})
	}
}

// carryOutUnanswered carries out an operation of a deposed leader.
func (p *player) carryOutUnanswered(a kernel.Action) {
	switch a := a.(type) {
	case workload.MoveInstance:
		p.logf("move of %s to %s for a deposed leader: %v", a.Instance, a.Pool, p.move(a))
	case workload.MaintainInstance:
		p.logf("maintenance of %s in wave %d for a deposed leader: %v", a.Instance, a.Wave, p.maintainInstance(a))
	}
}

func answerDelay(o workload.Outcome) time.Duration {
	if o == workload.NoAnswer {
		return time.Second
	}
	return 2 * simStep
}

func (p *player) move(a workload.MoveInstance) workload.Outcome {
	row := p.instances[a.Instance]
	w := p.workers[row.Worker]
	switch {
	case row.Pool == a.Pool:
		return workload.Accepted
	case !row.Up || w != nil && w.draining:
		return workload.Busy
	}
	p.noteOperation(a.Instance)
	p.restart(a.Instance, a.Pool, 1500*time.Millisecond)
	return workload.Accepted
}

func (p *player) maintainInstance(a workload.MaintainInstance) workload.Outcome {
	row := p.instances[a.Instance]
	w := p.workers[row.Worker]
	switch {
	case p.lastWave[a.Instance] == a.Wave:
		return workload.Accepted
	case !row.Up || w != nil && w.draining:
		return workload.Busy
	}
	p.noteOperation(a.Instance)
	p.noteMaintenance(a)
	p.maintain(a)
	return workload.Accepted
}

// handleWorkerRequest handles a request that reaches a worker with a fault, or another worker than it is meant for.
func (p *player) handleWorkerRequest(a kernel.Action, h workload.RequestHeader) bool {
	sent := p.sentAt
	p.noteSettled(p.now)
	if start, ok := a.(workload.StartRun); ok && *traceRuns {
		p.logf("  start of %s#%d for %s, token %d, incarnation %d, sent at %v", taskKey(start.Name), start.Name.Run, h.ID,
			h.FencingToken, h.StartedMs, sent)
	}
	if p.mayHoldUp(a, h) {
		return true
	}
	var w *fakeWorker
	for _, id := range sortedIDs(p.workers) {
		if o := p.workers[id]; !o.dead && o.m.Address == h.Address {
			w = o
		}
	}
	if w == nil || w.unreachable || w.deaf {
		return false
	}
	answer := func(o workload.Outcome) bool {
		p.schedule(simStep, func() { p.fail(a, o, sent) })
		return true
	}
	if w.m.Id != h.ID {
		return answer(workload.OtherIncarnation)
	}
	if w.unhealthy {
		return answer(workload.Unhealthy)
	}
	if w.m.BornMs != h.StartedMs {
		return false
	}
	start, ok := a.(workload.StartRun)
	if ok && p.now < p.lateUntil && p.draw(2, "late", start.Name, h.Incarnation) == 0 {
		after := 2*time.Second + time.Duration(p.draw(1000, "delay", start.Name, h.Incarnation))*simStep
		p.holdUp(a, h, after)
		p.logf("start of %s#%d on %s is late by %v", taskKey(start.Name), start.Name.Run, w.m.Id, after)
		return true
	}
	if p.now < p.unansweredUntil && p.draw(3, "unanswered", h.Incarnation, fmt.Sprintf("%T", a)) == 0 {
		w.execute(a, sent)
		p.schedule(time.Second, func() { p.fail(a, workload.NoAnswer, sent) })
		return true
	}
	return false
}

// allows reports whether the policy of a queue lets a worker run a step.
func (p *player) allows(w *fakeWorker, job string, step int32) bool {
	return p.queueOf(job).GetAdvice() == nil || p.fixed(3, "allows", job, step, w.m.Id) > 0
}

// advise answers one call after the other. A ticket names the step, the incarnation and the end of its validity.
func (p *player) advise(a workload.RequestAdvice) {
	sent := p.sentAt
	p.adviserFreeAt = max(p.adviserFreeAt, p.now) + time.Duration(50+5*len(a.Workers))*time.Millisecond
	p.schedule(p.adviserFreeAt-p.now, func() {
		r := workload.AdviceResult{
			Request: a, Outcome: workload.Accepted, Tickets: map[string]string{}, Validity: 3 * time.Second, SentAt: sent,
		}
		for _, id := range a.Workers {
			if w := p.workers[id]; w != nil && p.allows(w, a.Step.Job, a.Step.Step) {
				r.Tickets[id] = fmt.Sprintf("%s.%d.%d|%d|%d", a.Step.Job, a.Step.Occurrence, a.Step.Step, w.m.BornMs,
					(p.now + 3*time.Second).Milliseconds())
			}
		}
		p.k.Observe(p.now, r)
	})
}

func (p *player) ticketIsValid(w *fakeWorker, a workload.StartRun) bool {
	if p.queueOf(a.Name.Job).GetAdvice() == nil {
		return true
	}
	f := strings.Split(a.Ticket, "|")
	if len(f) != 3 || f[0] != fmt.Sprintf("%s.%d.%d", a.Name.Job, a.Name.Occurrence, a.Name.Step) ||
		f[1] != fmt.Sprint(w.m.BornMs) {
		return false
	}
	until, err := strconv.ParseInt(f[2], 10, 64)
	return err == nil && p.now.Milliseconds() <= until
}
