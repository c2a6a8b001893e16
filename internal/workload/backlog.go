package workload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/backlog"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// backlogAge is how long the sums of work are used for decisions before they are computed again, which took 0.9 ms with 600
	// jobs and 350 workers. Objectives are several times longer.
	backlogAge = 100 * time.Millisecond
	// minLabelRate is the number of instances that jobs with a label count for that no worker of the pool has, as they don't run.
	minLabelRate = 0.01
	// unreachableCapacityTime is how long an unreachable worker counts as capacity of its pool.
	unreachableCapacityTime = 5 * time.Second
)

// backlogTable is the accepted work of each pool as decisions on new jobs need it. It is computed from the jobs of the ledger;
// the ratios, the gates and the unapplied submissions are known to this leader only.
type backlogTable struct {
	// pools is computed again after backlogAge; nil if it has to be at once.
	pools   map[string]*poolBacklog
	builtAt time.Duration
	// movable holds the numbers of instances that may come to each pool, from the last decision on moves; nil before the first.
	movable map[string]float64
	ratios  backlog.Ratios
	gates   map[gateKey]*backlog.Gate
	// unapplied holds the jobs of submissions that were let through and are not applied yet, by their IDs.
	unapplied map[string]unappliedJob
	// rejectedAt is when a job was last rejected, by queue.
	rejectedAt map[string]time.Duration
}

// gateKey identifies jobs on which one gate decides: those of a queue within or beyond the shares of their accounts.
type gateKey struct {
	queue       string
	beyondShare bool
}

// unappliedJob is a job that may be accepted at any moment.
type unappliedJob struct {
	job         *ledger.Job
	queue       *workloadpb.Queue
	beyondShare bool
}

// poolBacklog is the accepted work of a pool, in the order in which it runs.
type poolBacklog struct {
	instances  float64
	reserved   backlog.Work // by long-running tasks, in instances
	capacity   ledger.Resources
	labels     map[string]int // instances by label
	candidates []schedule.Candidate
	jobs       []backlog.Job // parallel to candidates
	limits     []backlog.Work
	limitIDs   map[string]int
	estimates  map[string]estimates // of the accepted jobs, by queue
}

// estimates are sums over the steps of jobs.
type estimates struct{ totalMs, steps, chainSteps, jobs int64 }

// rejectBacklog returns after which time a new job may be handed in again because the accepted work leaves no time for it, 0 if
// it may be accepted. It then counts as accepted until its submission is forgotten.
func (e *Engine) rejectBacklog(m *workloadpb.Submit) (after time.Duration, reason string) {
	q, account, _ := e.state.Route(m.Host, m.Path, m.Id, m.Key)
	if !e.cfg.LimitsBacklog || q == nil || m.MaxRuns > 0 || q.SloMs <= 0 && q.Stretch <= 0 ||
		slices.ContainsFunc(m.Steps, func(s *workloadpb.Step) bool { return s.Lasting }) {
		return 0, ""
	}
	if e.sparePool() != "" && (!e.fleet.listed || e.backlog.movable == nil) {
		return 0, "" // What the pool can have is not known yet.
	}
	b := &e.backlog
	if b.pools == nil || e.now-b.builtAt >= backlogAge {
		e.buildBacklog()
	}
	p := b.pools[q.Pool]
	if p == nil || p.capacity.CPU <= 0 {
		return 0, ""
	}
	u := unappliedJob{
		job: ledger.NewJob(m, q, account, e.wallClockMs()), queue: q, beyondShare: !e.shares.hasToken(e.state, account, e.now),
	}
	u.job.Number = math.MaxUint64 // It is accepted after all others.
	in := e.backlogOrder()
	in.BeyondShare = func(*ledger.Job) bool { return u.beyondShare }
	c := in.NewCandidate(u.job.Occurrences()[0], q)
	compare := in.CompareFunc()
	position, _ := slices.BinarySearchFunc(p.candidates, c, func(a, b schedule.Candidate) int {
		return cmp.Or(compare(a, b), -1) // Another one that may be accepted at any moment comes first.
	})
	p.addEstimates(&c, q.Name)
	job := e.backlogJob(p, &c, q)
	if label := m.Steps[len(m.Steps)-1].Label; label != "" && p.labels[label] == 0 {
		job.Limit = 0 // An instance with the label may come.
	}
	input := backlog.Input{
		New: job, Accepted: p.jobs, Position: position, Instances: p.instances, Arriving: b.movable[q.Pool],
		Reserved: p.reserved, MoveDuration: e.cfg.MoveDuration, Limits: p.limits, Objective: e.typicalObjective(p, q),
	}
	key := gateKey{q.Name, u.beyondShare}
	if b.gates == nil {
		b.gates = map[gateKey]*backlog.Gate{}
	}
	if b.gates[key] == nil {
		b.gates[key] = &backlog.Gate{}
	}
	if after, reason = b.gates[key].Decide(e.now, m.Id, input); after > 0 {
		if b.rejectedAt == nil {
			b.rejectedAt = map[string]time.Duration{}
		}
		b.rejectedAt[q.Name] = e.now
		return after, reason
	}
	if b.unapplied == nil {
		b.unapplied = map[string]unappliedJob{}
	}
	b.unapplied[m.Id] = u
	p.candidates, p.jobs = slices.Insert(p.candidates, position, c), slices.Insert(p.jobs, position, job)
	return 0, ""
}

// backlogOrder returns the input that orders jobs as the scheduler does.
func (e *Engine) backlogOrder() schedule.Input {
	return schedule.Input{
		State: e.state, NowMs: e.wallClockMs(), Order: e.cfg.JobOrder, BeyondShare: e.shares.isBeyondShare,
	}
}

// buildBacklog adds up the work of each pool.
func (e *Engine) buildBacklog() {
	b := &e.backlog
	b.pools, b.builtAt = map[string]*poolBacklog{}, e.now
	e.countCapacity()
	in := e.backlogOrder()
	add := func(o *ledger.Occurrence, q *workloadpb.Queue) {
		p := b.pools[q.GetPool()]
		if p == nil {
			return
		}
		c := in.NewCandidate(o, q)
		if c.IsLongRunning() {
			p.reserve(o)
			return
		}
		p.addEstimates(&c, q.Name)
		if !c.IsTooLate() {
			p.candidates = append(p.candidates, c)
		}
	}
	for _, j := range e.state.ActiveJobs() {
		for _, o := range j.Occurrences() {
			add(o, e.state.QueueOf(j))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.unapplied)) {
		u := b.unapplied[id]
		in.BeyondShare = func(*ledger.Job) bool { return u.beyondShare }
		add(u.job.Occurrences()[0], u.queue)
	}
	for _, p := range b.pools {
		slices.SortStableFunc(p.candidates, in.CompareFunc())
		p.jobs = make([]backlog.Job, len(p.candidates))
		for i := range p.candidates {
			p.jobs[i] = e.backlogJob(p, &p.candidates[i], p.candidates[i].Queue())
		}
	}
}

// countCapacity counts the instances of each pool and their mean capacity.
func (e *Engine) countCapacity() {
	for _, w := range e.state.Workers() {
		s := e.sessions[w.Number()]
		if !e.state.MayTakeRuns(w) || w.HasLeft() || s == nil || s.failures > 0 && e.now-s.failingSince > unreachableCapacityTime {
			continue
		}
		p := e.backlog.pools[w.Pool()]
		if p == nil {
			p = &poolBacklog{labels: map[string]int{}, limits: make([]backlog.Work, 1), limitIDs: map[string]int{},
				estimates: map[string]estimates{}}
			e.backlog.pools[w.Pool()] = p
		}
		p.instances++
		p.capacity = p.capacity.Plus(w.Capacity())
		for _, l := range w.Labels() {
			p.labels[l]++
		}
	}
	for _, p := range e.backlog.pools {
		n := int64(p.instances)
		p.capacity = ledger.Resources{CPU: p.capacity.CPU / n, Memory: p.capacity.Memory / n}
	}
}

// countMovable records how many instances may come to each pool: those that move there already, and its part of the spare ones
// and of the surplus of other pools. Pools that lack instances get them in proportion to what they lack.
func (e *Engine) countMovable(pools []*poolView) {
	free, lacking := 0.0, 0.0
	for _, v := range pools {
		if v.spare {
			free += float64(v.have)
			continue
		}
		free += float64(max(v.have-v.want, 0))
		lacking += float64(max(v.want-v.have, 0))
	}
	e.backlog.movable = map[string]float64{}
	for _, v := range pools {
		lacks := float64(max(v.want-v.have, 0))
		surplus := float64(max(v.have-v.want, 0))
		part := lacks + max(free-surplus-lacking, 0)
		if lacking > free {
			part = free * lacks / lacking
		}
		e.backlog.movable[v.name] = float64(v.growing) + part
	}
}

// reserve takes the part of the pool that long-running tasks use.
func (p *poolBacklog) reserve(o *ledger.Occurrence) {
	for _, s := range o.Steps {
		need := ledger.RequiredCapacity(s.Step)
		p.reserved = p.reserved.Plus(p.rateOf(need).Times(float64(s.Unfinished())))
	}
}

// rateOf returns resources as a number of instances.
func (p *poolBacklog) rateOf(r ledger.Resources) backlog.Work {
	return backlog.Work{
		CPU: float64(r.CPU) / float64(max(p.capacity.CPU, 1)), Memory: float64(r.Memory) / float64(max(p.capacity.Memory, 1)),
	}
}

func (p *poolBacklog) addEstimates(c *schedule.Candidate, queue string) {
	sum := p.estimates[queue]
	sum.jobs++
	sum.chainSteps += int64(c.ChainSteps())
	for _, s := range c.Occurrence().Steps {
		sum.totalMs += s.Step.EstimateMs
		sum.steps++
	}
	p.estimates[queue] = sum
}

// backlogJob returns what is left of a job. A task that runs counts half, as it has done half of its work on average.
func (e *Engine) backlogJob(p *poolBacklog, c *schedule.Candidate, q *workloadpb.Queue) backlog.Job {
	o := c.Occurrence()
	ratio := e.backlog.ratios.Ratio(q.Name)
	j := backlog.Job{Queue: q.Name, BeyondShare: c.IsBeyondShare(), Priority: q.Priority}
	label := ""
	for _, s := range o.Steps {
		n := float64(s.Waiting()) + float64(s.Unfinished()-s.Waiting())/2
		if n > 0 {
			j.Work = j.Work.Plus(p.taskWork(s.Step).Times(n * ratio * float64(s.Step.EstimateMs)))
			label = s.Step.Label
		}
	}
	j.Chain = time.Duration(ratio * float64(c.ChainMs()) * float64(time.Millisecond))
	objective := max(c.ObjectiveMs(), q.SloMs+int64(q.Stretch*float64(c.ChainSteps())*e.typicalRunMs(p, q.Name)))
	begin := c.DueAtMs() - c.ObjectiveMs() - e.wallClockMs()
	j.Due, j.Until = millis(begin+objective), millis(begin+schedule.LateFactor*objective)
	allowance := ledger.ResourcesOf(e.state.Account(o.Job.Account).GetAllowance())
	switch {
	case label != "":
		// Instances that come to the pool have the label as often as those that it has.
		rate := max(float64(p.labels[label]), minLabelRate) * (1 + e.backlog.movable[q.Pool]/p.instances)
		j.Limit = p.limit("label "+label, backlog.Work{CPU: rate, Memory: rate})
	case allowance.CPU > 0 || allowance.Memory > 0:
		j.Limit = p.limit("account "+o.Job.Account, p.rateOf(allowance))
	}
	return j
}

// typicalRunMs returns the run time of a typical task of a queue, 0 if it is not known. The objective of a job follows from its
// real run times, which its own estimate may understate by far.
func (e *Engine) typicalRunMs(p *poolBacklog, queue string) float64 {
	if d := e.backlog.ratios.RunTime(queue); d > 0 {
		return float64(d.Milliseconds())
	}
	sum := p.estimates[queue]
	return float64(sum.totalMs) / float64(max(sum.steps, 1))
}

// typicalObjective returns the latency objective of a typical job of a queue.
func (e *Engine) typicalObjective(p *poolBacklog, q *workloadpb.Queue) time.Duration {
	sum := p.estimates[q.Name]
	chain := float64(sum.chainSteps) / float64(max(sum.jobs, 1)) * e.typicalRunMs(p, q.Name)
	return millis(q.SloMs + int64(q.Stretch*chain))
}

// taskWork returns the part of an instance that a task of a step occupies, counting what remains unused on a full instance.
func (p *poolBacklog) taskWork(s *workloadpb.Step) backlog.Work {
	need := ledger.RequiredCapacity(s)
	part := func(need, capacity int64) float64 {
		if need <= 0 || capacity <= 0 {
			return 0
		}
		return 1 / float64(max(capacity/need, 1))
	}
	return backlog.Work{CPU: part(need.CPU, p.capacity.CPU), Memory: part(need.Memory, p.capacity.Memory)}
}

// limit returns the index of a limit.
func (p *poolBacklog) limit(name string, rate backlog.Work) int {
	if i, ok := p.limitIDs[name]; ok {
		return i
	}
	p.limits = append(p.limits, rate)
	p.limitIDs[name] = len(p.limits) - 1
	return len(p.limits) - 1
}

// forget removes the submission of a job, which was applied or is lost. The job stays in the sums until they are computed again.
func (b *backlogTable) forget(id string) { delete(b.unapplied, id) }

// removeJob frees the place of a job that has ended.
func (b *backlogTable) removeJob(j *ledger.Job) {
	for _, p := range b.pools {
		for i := len(p.candidates) - 1; i >= 0; i-- {
			if p.candidates[i].Occurrence().Job.ID == j.ID {
				p.candidates, p.jobs = slices.Delete(p.candidates, i, i+1), slices.Delete(p.jobs, i, i+1)
			}
		}
	}
}

// rejectingQueues returns the queues whose jobs are rejected because of the backlog.
func (b *backlogTable) rejectingQueues(now time.Duration) []string {
	var list []string
	for q, at := range b.rejectedAt {
		if now-at < overloadMemory {
			list = append(list, q)
		}
	}
	slices.Sort(list)
	return list
}

// observeRunTime learns from the end of a run how far the estimates of its queue are off.
func (e *Engine) observeRunTime(r *run, how workloadpb.How, endedAt time.Duration) {
	step := r.task.Step()
	if how != workloadpb.How_HOW_DONE || r.requestedAt == 0 || r.startedAt < r.requestedAt || r.measured || step.Step.Lasting ||
		step.Step.Fills {
		return
	}
	r.measured = true
	if q := e.state.QueueOf(step.Occurrence.Job); q != nil {
		e.backlog.ratios.Observe(q.Name, millis(step.Step.EstimateMs), endedAt-r.startedAt)
	}
}
