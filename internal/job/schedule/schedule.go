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
	// FirstInFirstOut starts jobs in the order of submission where they fit, and never preempts. It is the baseline for
	// comparisons.
	FirstInFirstOut
)

const (
	// maxStartsPerRound limits the starts of a pool in one round, so that a burst doesn't delay other commands.
	maxStartsPerRound = 32
	// maxTriesPerTeam limits the jobs of one team that are tried without success in one round.
	maxTriesPerTeam = 8
	// reserveAfter is how long a job that doesn't fit waits before an instance is reserved for it.
	reserveAfter = 30 * time.Second
	// agedReservation and preemptReservation are how long reservations last. A preemption that tries checkpoint, throttle
	// and stop in turn ends within preemptReservation.
	agedReservation    = 10 * time.Minute
	preemptReservation = 30 * time.Second
	// urgentPreemptDelay is how long an urgent job waits for others to end before it preempts them. Checkpoint and
	// throttle take up to 2 s more before the stop, which leaves 0.7 s of the allowed 3.3 s for calls.
	urgentPreemptDelay = 600 * time.Millisecond
	// minRemainingToPreempt is the expected remaining time of a job below which waiting for its end is cheaper than
	// preempting it.
	minRemainingToPreempt = 5 * time.Second
)

// reservation holds capacity of an instance free for a waiting job.
type reservation struct {
	instance string
	until    time.Duration
	// aged is true if the reservation was made because of the job's waiting time. A pool has at most one of these.
	aged bool
}

// round is one scheduling round of a pool.
type round struct {
	*Scheduler
	now            time.Duration
	propose        ProposeFunc
	pool           string
	candidates     []placement.Candidate
	futureFree     []placement.Resources // free after the pending preemptions, by index in candidates
	candidateIndex map[string]int        // index in candidates by instance
	total          placement.Resources
	teams          map[string]*teamState
	jobCounts      map[string]*placement.JobCounts // by job class
	starts         int
	shareGap       float64             // difference from the ideal share above which a team preempts or is preempted
	preemptAfter   time.Duration       // least waiting time before a job that isn't urgent preempts others
	preempted      map[string]struct{} // jobs preempted in this round
}

// teamState is what a team uses and demands of the pool in one round.
type teamState struct {
	name       string
	weight     float64
	used       placement.Resources
	demand     placement.Resources
	idealShare float64
	startsLeft int // starts until the upper limit
	waiting    []*jobpb.Job
	tries      int // failed tries in the current pass
}

// weightedShare returns the dominant share of the team divided by its weight.
func (t *teamState) weightedShare(total placement.Resources) float64 {
	return t.used.DominantShare(total) / t.weight
}

// Schedule runs a scheduling round of a pool: it starts waiting jobs and preempts running ones where the policy
// requires it.
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
	r := s.newRound(now, pool, propose)
	slices.SortFunc(waiting, ledger.BySeq)
	for _, j := range waiting {
		if _, ok := s.waitingSince[j.Key]; !ok {
			s.waitingSince[j.Key] = now
		}
		if s.ledger.MisfitReason(j) != "" {
			propose(MisfitCommand(j))
			continue
		}
		t := r.team(j.Submit.Team)
		t.waiting = append(t.waiting, j)
		t.demand = t.demand.Add(r.chargeFor(j))
	}
	if s.policy == FirstInFirstOut {
		for _, j := range waiting {
			r.tryStart(j)
		}
	} else {
		r.startFair()
	}
	if r.starts >= maxStartsPerRound {
		s.ledger.DirtyPools()[pool] = struct{}{}
	}
}

func (s *Scheduler) newRound(now time.Duration, pool string, propose ProposeFunc) *round {
	weights := s.cfg.Current().Weights
	// Only the ratio of the weights matters. The higher the weight of moves compared with that of shares, the larger the
	// share gap and the longer the wait that are accepted before jobs are preempted.
	cost := (1 + weights.Moves) / (1 + weights.Share)
	r := &round{
		Scheduler: s, now: now, propose: propose, pool: pool,
		candidateIndex: map[string]int{}, teams: map[string]*teamState{}, jobCounts: map[string]*placement.JobCounts{},
		preempted:    map[string]struct{}{},
		shareGap:     min(0.3, max(0.04, 0.05*cost)),
		preemptAfter: min(30*time.Second, max(2*time.Second, time.Duration(float64(5*time.Second)*cost))),
	}
	for _, in := range s.ledger.Members(pool) {
		if _, admit := s.pools.PoolOf(in.Name); !admit || s.ledger.QuarantinePending(in.Name) {
			continue
		}
		r.addInstance(in)
	}
	return r
}

func (r *round) addInstance(in *fleet.Instance) {
	s := r.Scheduler
	c := placement.Candidate{
		InstanceName: in.Name, Zone: in.AvailabilityZone, Rack: in.Rack,
		Capacity: ledger.Capacity(in), Free: ledger.Capacity(in),
	}
	if s.pools.RampingUp(in.Name) { // offers a quarter of its slots
		c.Free.Slots = max(1, c.Free.Slots/4)
	}
	futureFree := c.Free
	if allocation := s.ledger.Allocations()[in.Name]; allocation != nil {
		c.Free = c.Free.Sub(allocation.Charge())
		futureFree = c.Free
		for _, j := range allocation.Jobs() {
			t := r.team(j.Submit.Team)
			t.used = t.used.Add(ledger.JobResources(j.Charge))
			t.demand = t.demand.Add(ledger.JobResources(j.Charge))
			r.jobCountsOf(j).AddJobs(c, 1)
			if j.Phase == jobpb.Phase_PHASE_CHECKPOINTING || ledger.HasEnded(j) {
				futureFree = futureFree.Add(ledger.JobResources(j.Charge))
			} else if j.Throttle && !j.Throttled {
				futureFree.MilliProcessors += j.Charge.MilliProcessors / 2
			}
		}
	}
	r.candidateIndex[in.Name] = len(r.candidates)
	r.candidates = append(r.candidates, c)
	r.futureFree = append(r.futureFree, futureFree)
	r.total = r.total.Add(c.Capacity)
}

func (r *round) team(name string) *teamState {
	t, ok := r.teams[name]
	if !ok {
		cfg := r.ledger.Index().Teams[name]
		t = &teamState{
			name: name, weight: float64(max(1, cfg.Share)), startsLeft: cfg.UpperLimit - r.ledger.RunningByTeam()[name],
		}
		r.teams[name] = t
	}
	return t
}

func (r *round) jobCountsOf(j *jobpb.Job) *placement.JobCounts {
	counts, ok := r.jobCounts[JobClass(j)]
	if !ok {
		counts = &placement.JobCounts{}
		r.jobCounts[JobClass(j)] = counts
	}
	return counts
}

// chargeFor returns the resources to charge a job: the estimate, or the declared ones if the estimate fits no instance.
func (r *round) chargeFor(j *jobpb.Job) placement.Resources {
	declared := ledger.JobResources(j.Submit.Declared)
	estimate := r.estimator.CorrectedSize(JobClass(j), declared)
	for i := range r.candidates {
		if estimate.Fits(r.candidates[i].Capacity) {
			return estimate
		}
	}
	return declared
}

// tryStart proposes the start of a job on the best instance, if it fits on any.
func (r *round) tryStart(j *jobpb.Job) bool {
	s := r.Scheduler
	t := r.team(j.Submit.Team)
	if r.starts >= maxStartsPerRound || t.startsLeft < 1 {
		return false
	}
	charge := r.chargeFor(j)
	i := placement.Pick(charge, r.candidates, *r.jobCountsOf(j), j.Previous, func(name string) bool {
		_, wasRejected := s.rejectedAt[rejection{j.Key, name}]
		return wasRejected || slices.Contains(j.FailedOn, name)
	})
	if i < 0 {
		return false
	}
	c := &r.candidates[i]
	m := &jobpb.Start{
		Key: j.Key, Epoch: j.Epoch + 1, Instance: c.InstanceName, InstanceEpoch: s.pools.Epoch(c.InstanceName),
		Charge: ledger.ResourcesToProto(charge),
	}
	if !r.propose(fmt.Sprintf("start %s %d", j.Key, m.Epoch), &jobpb.Command{Change: &jobpb.Command_Start{Start: m}}) {
		return false
	}
	inFlight, ok := s.startsInFlight[r.pool]
	if !ok {
		inFlight = inFlightStarts{keys: map[string]struct{}{}, at: r.now}
		s.startsInFlight[r.pool] = inFlight
	}
	inFlight.keys[j.Key] = struct{}{}
	c.Free, r.futureFree[i] = c.Free.Sub(charge), r.futureFree[i].Sub(charge)
	r.jobCountsOf(j).AddJobs(*c, 1)
	t.used = t.used.Add(charge)
	t.startsLeft--
	r.starts++
	delete(s.reservations, j.Key)
	return true
}

// startFair starts urgent jobs first, then those of the teams with the smallest weighted share. It skips jobs that
// don't fit, but reserves capacity for those that preempted others and for one that has waited longer than
// reserveAfter.
func (r *round) startFair() {
	s := r.Scheduler
	queues := s.ledger.Index().Queues
	urgent, normal := map[string][]*jobpb.Job{}, map[string][]*jobpb.Job{}
	var reservedUrgent, reservedNormal []*jobpb.Job
	hasAgedReservation := false
	for name, t := range r.teams {
		for _, j := range t.waiting {
			held, isReserved := s.reservations[j.Key]
			isReserved = isReserved && r.now < held.until
			switch isUrgent := queues[j.Submit.Queue].Urgent; {
			case isReserved && isUrgent:
				reservedUrgent = append(reservedUrgent, j)
			case isReserved:
				reservedNormal = append(reservedNormal, j)
				hasAgedReservation = hasAgedReservation || held.aged
			case isUrgent:
				urgent[name] = append(urgent[name], j)
			default:
				normal[name] = append(normal[name], j)
			}
		}
	}
	r.startReserved(reservedUrgent)
	for _, j := range r.startByShare(urgent) {
		if r.now >= s.waitingSince[j.Key]+urgentPreemptDelay {
			r.preemptFor(j, true)
		}
		s.ledger.DirtyPools()[r.pool] = struct{}{} // runs another round at the next tick
	}
	r.startReserved(reservedNormal)
	blocked := r.startByShare(normal)
	if len(blocked) == 0 {
		return
	}
	r.setIdealShares()
	slices.SortFunc(blocked, ledger.BySeq)
	for _, j := range blocked {
		waited := r.now - s.waitingSince[j.Key]
		t := r.team(j.Submit.Team)
		if waited >= r.preemptAfter && t.startsLeft > 0 && t.idealShare-t.used.DominantShare(r.total) > r.shareGap {
			r.preemptFor(j, false)
		}
		if !hasAgedReservation && waited >= reserveAfter && t.startsLeft > 0 {
			hasAgedReservation = r.reserveInstance(j)
		}
	}
}

// startReserved starts the jobs that have reservations, and holds back the capacity for those that don't fit yet.
func (r *round) startReserved(list []*jobpb.Job) {
	slices.SortFunc(list, ledger.BySeq)
	for _, j := range list {
		i, ok := r.candidateIndex[r.reservations[j.Key].instance]
		if !ok {
			delete(r.reservations, j.Key) // the instance left the pool
		}
		if !r.tryStart(j) && ok {
			r.holdBack(i, j)
		}
	}
}

// holdBack subtracts the charge of a job from the free capacity of a candidate, so that no other job gets it.
func (r *round) holdBack(i int, j *jobpb.Job) {
	charge := r.chargeFor(j)
	r.candidates[i].Free, r.futureFree[i] = r.candidates[i].Free.Sub(charge), r.futureFree[i].Sub(charge)
}

// startByShare starts jobs, each time the first one of the team with the smallest weighted share. It returns those that
// were tried and don't fit.
func (r *round) startByShare(waitingByTeam map[string][]*jobpb.Job) []*jobpb.Job {
	var blocked []*jobpb.Job
	for _, t := range r.teams {
		t.tries = 0
	}
	for {
		var next *teamState
		for name, list := range waitingByTeam {
			t := r.teams[name]
			if len(list) == 0 || t.tries >= maxTriesPerTeam || t.startsLeft < 1 {
				continue
			}
			if next == nil || cmp.Or(cmp.Compare(t.weightedShare(r.total), next.weightedShare(r.total)),
				cmp.Compare(list[0].Seq, waitingByTeam[next.name][0].Seq)) < 0 {
				next = t
			}
		}
		if next == nil || r.starts >= maxStartsPerRound {
			return blocked
		}
		j := waitingByTeam[next.name][0]
		waitingByTeam[next.name] = waitingByTeam[next.name][1:]
		if !r.tryStart(j) {
			next.tries++
			blocked = append(blocked, j)
		}
	}
}

// setIdealShares sets the max-min fair share of each team for its current demand.
func (r *round) setIdealShares() {
	names := make([]string, 0, len(r.teams))
	for name := range r.teams {
		names = append(names, name)
	}
	slices.Sort(names)
	demands := make([]placement.Demand, 0, len(names))
	for _, name := range names {
		t := r.teams[name]
		demands = append(demands, placement.Demand{Weight: int(t.weight), Amount: t.demand})
	}
	for i, satisfied := range placement.MaxMin(r.total, demands) {
		t := r.teams[names[i]]
		t.idealShare = satisfied * t.demand.DominantShare(r.total)
	}
}

// reserveInstance reserves the instance with the most free capacity among those that are large enough for the job.
func (r *round) reserveInstance(j *jobpb.Job) bool {
	best := -1
	for i := range r.candidates {
		c := &r.candidates[i]
		if !r.chargeFor(j).Fits(c.Capacity) || slices.Contains(j.FailedOn, c.InstanceName) {
			continue
		}
		if best < 0 ||
			c.Free.DominantShare(c.Capacity) > r.candidates[best].Free.DominantShare(r.candidates[best].Capacity) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r.reservations[j.Key] = reservation{
		instance: r.candidates[best].InstanceName, until: r.now + agedReservation, aged: true,
	}
	return true
}
