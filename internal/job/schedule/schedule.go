package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/job/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Policy selects how waiting jobs are ordered and whether running ones are preempted.
type Policy int

const (
	// Fair divides a full pool by weighted max-min shares, starts urgent work first, and preempts.
	Fair Policy = iota
	// FirstInFirstOut starts jobs in the order of submission where they fit and never preempts; it is the baseline.
	FirstInFirstOut
)

const (
	// maxStarts bounds the starts of a pool in one decision, so that a burst doesn't delay other commands.
	maxStarts = 32
	// maxTries bounds the jobs of one team that are tried in one decision when the first ones don't fit.
	maxTries = 8
	// reserveAfter is how long a job that doesn't fit waits before an instance is kept free for it.
	reserveAfter = 30 * time.Second
	// agedGrant and preemptGrant are how long room is kept. A preemption that needs all three means ends within the
	// latter.
	agedGrant    = 10 * time.Minute
	preemptGrant = 30 * time.Second
	// urgentHold is how long urgent work waits for others to end before it preempts; checkpoint, throttle and stop take
	// 2 s more before the last one is tried, which leaves 0.7 s of the 3.3 s for calls.
	urgentHold = 600 * time.Millisecond
	// endsSoon is the expected time to the end below which waiting is cheaper than preempting.
	endsSoon = 5 * time.Second
)

// grant keeps room on an instance for a waiting job.
type grant struct {
	instance string
	until    time.Duration
	// aged is true when the room is kept because of the job's age; there is at most one such grant in a pool.
	aged bool
}

// round is one decision for one pool.
type round struct {
	*Scheduler
	now       time.Duration
	propose   ProposeFunc
	pool      string
	list      []placement.Candidate
	later     []placement.Resources // free once the preempted jobs are gone
	at        map[string]int        // index in list by instance
	total     placement.Resources
	teams     map[string]*teamRound
	spread    map[string]*placement.JobCounts
	starts    int
	gap       float64
	hold      time.Duration
	preempted map[string]struct{}
}

type teamRound struct {
	name    string
	weight  float64
	used    placement.Resources
	want    placement.Resources
	ideal   float64
	room    int // starts left within the upper limit
	waiting []*jobpb.Job
	tries   int
}

// share is the team's dominant share divided by its weight.
func (t *teamRound) share(total placement.Resources) float64 {
	return t.used.DominantShare(total) / t.weight
}

// Schedule starts waiting jobs of a pool and preempts for those that must not wait.
func (s *Scheduler) Schedule(now time.Duration, pool string, propose ProposeFunc) {
	var waiting []*jobpb.Job
	for _, q := range s.cfg.Current().Queues {
		if q.Pool == pool {
			waiting = append(waiting, s.ledger.WaitingByQueue()[q.Name]...)
		}
	}
	if len(waiting) == 0 {
		return
	}
	r := s.round(now, pool, propose)
	slices.SortFunc(waiting, ledger.BySeq)
	for _, j := range waiting {
		if _, ok := s.since[j.Key]; !ok {
			s.since[j.Key] = now
		}
		if s.ledger.MisfitReason(j) != "" {
			propose(MisfitCommand(j))
			continue
		}
		t := r.team(j.Submit.Team)
		t.waiting = append(t.waiting, j)
		t.want = t.want.Add(r.size(j))
	}
	if s.policy == FirstInFirstOut {
		for _, j := range waiting {
			r.try(j)
		}
	} else {
		r.fair()
	}
	if r.starts >= maxStarts {
		s.ledger.DirtyPools()[pool] = struct{}{}
	}
}

func (s *Scheduler) round(now time.Duration, pool string, propose ProposeFunc) *round {
	weights := s.cfg.Current().Weights
	// Only the ratio of the weights counts: the more moves cost against share, the larger a difference of shares and
	// the longer a wait are accepted before work is preempted.
	cost := (1 + weights.Moves) / (1 + weights.Share)
	r := &round{
		Scheduler: s, now: now, propose: propose, pool: pool, at: map[string]int{}, teams: map[string]*teamRound{},
		spread: map[string]*placement.JobCounts{}, preempted: map[string]struct{}{},
		gap:  min(0.3, max(0.04, 0.05*cost)),
		hold: min(30*time.Second, max(2*time.Second, time.Duration(float64(5*time.Second)*cost))),
	}
	for _, in := range s.ledger.Members(pool) {
		if _, admit := s.pools.PoolOf(in.Name); !admit || s.ledger.QuarantinePending(in.Name) {
			continue
		}
		r.add(in)
	}
	return r
}

func (r *round) add(in *fleet.Instance) {
	s := r.Scheduler
	c := placement.Candidate{
		InstanceName: in.Name, Zone: in.AvailabilityZone, Rack: in.Rack, Capacity: ledger.Capacity(in), Free: ledger.Capacity(in),
	}
	if s.pools.RampingUp(in.Name) { // a quarter of the slots at first
		c.Free.Slots = max(1, c.Free.Slots/4)
	}
	later := c.Free
	if u := s.ledger.Allocations()[in.Name]; u != nil {
		c.Free = c.Free.Sub(u.Charge())
		later = c.Free
		for _, j := range u.Jobs() {
			t := r.team(j.Submit.Team)
			t.used = t.used.Add(ledger.JobResources(j.Charge))
			t.want = t.want.Add(ledger.JobResources(j.Charge))
			r.kind(j).AddJobs(c, 1)
			if j.Phase == jobpb.Phase_PHASE_CHECKPOINTING || ledger.HasEnded(j) {
				later = later.Add(ledger.JobResources(j.Charge))
			} else if j.Throttle && !j.Throttled {
				later.MilliProcessors += j.Charge.MilliProcessors / 2
			}
		}
	}
	r.at[in.Name] = len(r.list)
	r.list = append(r.list, c)
	r.later = append(r.later, later)
	r.total = r.total.Add(c.Capacity)
}

func (r *round) team(name string) *teamRound {
	t, ok := r.teams[name]
	if !ok {
		cfg := r.ledger.Index().Teams[name]
		t = &teamRound{name: name, weight: float64(max(1, cfg.Share)), room: cfg.UpperLimit - r.ledger.RunningByTeam()[name]}
		r.teams[name] = t
	}
	return t
}

func (r *round) kind(j *jobpb.Job) *placement.JobCounts {
	p, ok := r.spread[JobClass(j)]
	if !ok {
		p = &placement.JobCounts{}
		r.spread[JobClass(j)] = p
	}
	return p
}

// size returns what a job is charged: the estimate, as far as the largest worker has room for it.
func (r *round) size(j *jobpb.Job) placement.Resources {
	declared := ledger.JobResources(j.Submit.Declared)
	size := r.estimator.CorrectedSize(JobClass(j), declared)
	for i := range r.list {
		if size.Fits(r.list[i].Capacity) {
			return size
		}
	}
	return declared
}

// try starts a job when it fits now.
func (r *round) try(j *jobpb.Job) bool {
	s := r.Scheduler
	t := r.team(j.Submit.Team)
	if r.starts >= maxStarts || t.room < 1 {
		return false
	}
	need := r.size(j)
	i := placement.Pick(need, r.list, *r.kind(j), j.Previous, func(name string) bool {
		_, refused := s.refused[refusal{j.Key, name}]
		return refused || slices.Contains(j.FailedOn, name)
	})
	if i < 0 {
		return false
	}
	c := &r.list[i]
	m := &jobpb.Start{
		Key: j.Key, Epoch: j.Epoch + 1, Instance: c.InstanceName, InstanceEpoch: s.pools.Epoch(c.InstanceName), Charge: ledger.ResourcesToProto(need),
	}
	if !r.propose(fmt.Sprintf("start %s %d", j.Key, m.Epoch), &jobpb.Command{Change: &jobpb.Command_Start{Start: m}}) {
		return false
	}
	f, ok := s.inflight[r.pool]
	if !ok {
		f = inflight{keys: map[string]struct{}{}, at: r.now}
		s.inflight[r.pool] = f
	}
	f.keys[j.Key] = struct{}{}
	c.Free, r.later[i] = c.Free.Sub(need), r.later[i].Sub(need)
	r.kind(j).AddJobs(*c, 1)
	t.used = t.used.Add(need)
	t.room--
	r.starts++
	delete(s.granted, j.Key)
	return true
}

// fair starts urgent jobs first, then those of the teams with the smallest weighted share. Jobs that don't fit are
// passed over, but room is kept for those that preempted others and for one that has waited long.
func (r *round) fair() {
	s := r.Scheduler
	queues := s.ledger.Index().Queues
	urgent, normal := map[string][]*jobpb.Job{}, map[string][]*jobpb.Job{}
	var grantedUrgent, grantedNormal []*jobpb.Job
	aged := false
	for name, t := range r.teams {
		for _, j := range t.waiting {
			g, granted := s.granted[j.Key]
			granted = granted && r.now < g.until
			switch first := queues[j.Submit.Queue].Urgent; {
			case granted && first:
				grantedUrgent = append(grantedUrgent, j)
			case granted:
				grantedNormal = append(grantedNormal, j)
				aged = aged || g.aged
			case first:
				urgent[name] = append(urgent[name], j)
			default:
				normal[name] = append(normal[name], j)
			}
		}
	}
	r.startGranted(grantedUrgent)
	for _, j := range r.fill(urgent) {
		if r.now >= s.since[j.Key]+urgentHold {
			r.makeRoom(j, true)
		}
		s.ledger.DirtyPools()[r.pool] = struct{}{} // looks again at the next tick
	}
	r.startGranted(grantedNormal)
	blocked := r.fill(normal)
	if len(blocked) == 0 {
		return
	}
	r.ideals()
	slices.SortFunc(blocked, ledger.BySeq)
	for _, j := range blocked {
		waited := r.now - s.since[j.Key]
		t := r.team(j.Submit.Team)
		if waited >= r.hold && t.room > 0 && t.ideal-t.used.DominantShare(r.total) > r.gap {
			r.makeRoom(j, false)
		}
		if !aged && waited >= reserveAfter && t.room > 0 {
			aged = r.reserve(j)
		}
	}
}

// startGranted starts jobs for which room was made, and keeps that room for the others.
func (r *round) startGranted(list []*jobpb.Job) {
	slices.SortFunc(list, ledger.BySeq)
	for _, j := range list {
		i, ok := r.at[r.granted[j.Key].instance]
		if !ok {
			delete(r.granted, j.Key) // the instance left the pool
		}
		if !r.try(j) && ok {
			r.keep(i, j)
		}
	}
}

// keep takes the room for a job out of what others may use.
func (r *round) keep(i int, j *jobpb.Job) {
	need := r.size(j)
	r.list[i].Free, r.later[i] = r.list[i].Free.Sub(need), r.later[i].Sub(need)
}

// fill starts jobs team by team and returns those that were tried and don't fit.
func (r *round) fill(lists map[string][]*jobpb.Job) []*jobpb.Job {
	var blocked []*jobpb.Job
	for _, t := range r.teams {
		t.tries = 0
	}
	for {
		var next *teamRound
		for name, list := range lists {
			t := r.teams[name]
			if len(list) == 0 || t.tries >= maxTries || t.room < 1 {
				continue
			}
			if next == nil || cmp.Or(cmp.Compare(t.share(r.total), next.share(r.total)),
				cmp.Compare(list[0].Seq, lists[next.name][0].Seq)) < 0 {
				next = t
			}
		}
		if next == nil || r.starts >= maxStarts {
			return blocked
		}
		j := lists[next.name][0]
		lists[next.name] = lists[next.name][1:]
		if !r.try(j) {
			next.tries++
			blocked = append(blocked, j)
		}
	}
}

// ideals sets the max-min share of each team for its present demand.
func (r *round) ideals() {
	names := make([]string, 0, len(r.teams))
	for name := range r.teams {
		names = append(names, name)
	}
	slices.Sort(names)
	demands := make([]placement.Demand, 0, len(names))
	for _, name := range names {
		t := r.teams[name]
		demands = append(demands, placement.Demand{Weight: int(t.weight), Amount: t.want})
	}
	for i, part := range placement.MaxMin(r.total, demands) {
		t := r.teams[names[i]]
		t.ideal = part * t.want.DominantShare(r.total)
	}
}

// reserve grants the job the instance on which the least is in its way.
func (r *round) reserve(j *jobpb.Job) bool {
	best := -1
	for i := range r.list {
		c := &r.list[i]
		if !r.size(j).Fits(c.Capacity) || slices.Contains(j.FailedOn, c.InstanceName) {
			continue
		}
		if best < 0 || c.Free.DominantShare(c.Capacity) > r.list[best].Free.DominantShare(r.list[best].Capacity) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r.granted[j.Key] = grant{
		instance: r.list[best].InstanceName, until: r.now + agedGrant, aged: true,
	}
	return true
}
