package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/job/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/job/schedule"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
)

const (
	// reissue is the time after which an action without an answer is issued again; a retry of the driver ends sooner.
	reissue = 2 * time.Second
	// sweep is the interval of the work that depends on time only.
	sweep = time.Second
	// watch is the interval at which the driver compares all running jobs with the platform's tasks; changes reach the
	// kernel sooner. Since 8,000 tasks are about 800 KB, a shorter interval would take more than the 6 KB/s allowed.
	watch = 5 * time.Minute
	// watchSoon is the least interval when an instance came back, which may have lost its tasks.
	watchSoon = 10 * time.Second
	// lostAfter is how long an instance must be lost before its tasks are given up. The platform's leases on tasks end
	// within this time, so that none of them still runs.
	lostAfter = 30 * time.Second
	// maxReports bounds one command of reports to about 32 KB.
	maxReports = 256
	// urgentPatience and patience are how long one means of preemption is given before the next is tried. Urgent work
	// must start within 3.3 s: checkpoint, throttle and stop have 1 s each.
	urgentPatience = time.Second
	patience       = 10 * time.Second
)

// soft is the state of the leader that is not replicated.
type soft struct {
	reports   []*jobpb.Report
	stale     map[TaskRef]struct{}
	issued    map[string]issued
	sent      map[string]time.Duration
	escalated map[string]escalation
	lost      map[string]time.Duration
	watchAt   time.Duration
	watched   time.Duration
	losses    map[string]uint64 // by instance, at the last look
	sweepAt   time.Duration
	pools     uint64
}

type issued struct {
	name  string
	epoch uint64
	at    time.Duration
}

type escalation struct {
	how jobpb.How
	at  time.Duration
}

func (s *State) lead(now time.Duration) {
	s.scheduler.Reset()
	s.soft = soft{
		stale: map[TaskRef]struct{}{}, issued: map[string]issued{}, sent: map[string]time.Duration{},
		escalated: map[string]escalation{}, lost: map[string]time.Duration{}, losses: map[string]uint64{},
		watchAt: now, sweepAt: now,
	}
}

func (s *State) observe(now time.Duration, ev kernel.Event) {
	switch e := ev.(type) {
	case TaskReport:
		s.observeTask(now, e)
	case TaskReports:
		for _, r := range e {
			s.observeTask(now, r)
		}
	case UsageReport:
		s.observeUsage(e)
	case UsageReports:
		for _, r := range e {
			s.observeUsage(r)
		}
	}
}

func (s *State) observeUsage(e UsageReport) {
	if j, ok := s.ledger.Jobs()[e.Job]; ok && j.Epoch == e.Epoch && !j.Throttled {
		s.scheduler.Estimator().AddUsage(schedule.JobClass(j), ledger.JobResources(j.Submit.Declared), e.Used, e.Ran)
	}
}

func (s *State) observeTask(now time.Duration, e TaskReport) {
	alive := e.Outcome == jobpb.Outcome_OUTCOME_STARTED || e.Outcome == jobpb.Outcome_OUTCOME_RUNNING
	ref := TaskRef{Job: e.Job, Epoch: e.Epoch}
	j, ok := s.ledger.Jobs()[e.Job]
	if !ok || j.Instance == "" || j.Epoch != e.Epoch {
		// The task runs although its start was given up, or its record is gone.
		if alive {
			s.soft.stale[ref] = struct{}{}
		}
		return
	}
	if alive {
		s.scheduler.RecordRunning(now, j)
		if j.Phase != jobpb.Phase_PHASE_STARTING && (e.Throttled == j.Throttled || e.Throttled != j.Throttle) {
			return // nothing new
		}
	}
	if e.Outcome == jobpb.Outcome_OUTCOME_REFUSED {
		s.scheduler.RecordRejection(now, j)
	}
	if e.Outcome == jobpb.Outcome_OUTCOME_FINISHED {
		s.scheduler.RecordFinish(now, j)
	}
	s.soft.reports = append(s.soft.reports, &jobpb.Report{
		Key: e.Job, Epoch: e.Epoch, Outcome: e.Outcome, Throttled: e.Throttled, Reason: e.Reason,
	})
}

func (s *State) decide(now time.Duration) kernel.Decision {
	d := &decision{s: s, now: now}
	for len(s.soft.reports) > 0 {
		n := min(len(s.soft.reports), maxReports)
		m := &jobpb.Reports{Reports: s.soft.reports[:n]}
		s.soft.reports = s.soft.reports[n:]
		d.propose("", &jobpb.Command{Change: &jobpb.Command_Reports{Reports: m}})
	}
	for _, ref := range slices.SortedFunc(maps.Keys(s.soft.stale), compareRefs) {
		d.out.Actions = append(d.out.Actions, StopTask(ref))
	}
	clear(s.soft.stale)
	d.actions()
	swept := now >= s.soft.sweepAt
	if swept || s.soft.pools != s.pools.Revision() {
		s.soft.pools = s.pools.Revision()
		d.instances()
	}
	if swept {
		s.soft.sweepAt = now + sweep
		d.sweep()
	}
	if s.ledger.TakeQuotaShortage() || swept {
		d.want()
	}
	for _, name := range slices.Sorted(maps.Keys(s.ledger.Workers())) {
		if s.ledger.QuarantinePending(name) {
			s.pools.RequestQuarantine(name, "failed 3 different jobs in a row")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.ledger.DirtyPools())) {
		if s.scheduler.HasStartsInFlight(now, name) {
			continue
		}
		delete(s.ledger.DirtyPools(), name)
		s.scheduler.Schedule(now, name, d.propose)
	}
	return d.out
}

func compareRefs(a, b TaskRef) int {
	if a.Job != b.Job {
		if a.Job < b.Job {
			return -1
		}
		return 1
	}
	return int(int64(a.Epoch) - int64(b.Epoch))
}

// decision collects the output of one run of decide.
type decision struct {
	s   *State
	now time.Duration
	out kernel.Decision
}

// propose adds a command; one with the same key is proposed again only after a second without effect.
func (d *decision) propose(key string, m *jobpb.Command) bool {
	if key != "" {
		if at, ok := d.s.soft.sent[key]; ok && d.now < at+sweep {
			return false
		}
		d.s.soft.sent[key] = d.now
	}
	c, err := kernel.NewCommand(Name, "", m)
	if err == nil {
		d.out.Commands = append(d.out.Commands, c)
	}
	return err == nil
}

// actions issues what the platform has to do for committed state, and tries the next means of preemption.
func (d *decision) actions() {
	s := d.s
	for _, key := range slices.Sorted(maps.Keys(s.ledger.AwaitingPlatform())) {
		j := s.ledger.Jobs()[key]
		if j.Phase == jobpb.Phase_PHASE_CHECKPOINTING {
			d.escalate(j)
		}
		if s.ledger.StartOutcomeUnknown(j) {
			d.lost(j)
			continue
		}
		a := action(j)
		last, ok := s.soft.issued[key]
		if ok && last.epoch == j.Epoch && last.name == a.ActionName() && d.now < last.at+reissue {
			continue
		}
		s.soft.issued[key] = issued{name: a.ActionName(), epoch: j.Epoch, at: d.now}
		d.out.Actions = append(d.out.Actions, a)
	}
}

// action returns what the platform has to do for a pending job.
func action(j *jobpb.Job) kernel.Action {
	switch {
	case ledger.HasEnded(j) || j.Preempted == jobpb.How_HOW_STOP:
		return StopTask{Job: j.Key, Epoch: j.Epoch}
	case j.Phase == jobpb.Phase_PHASE_STARTING:
		return StartTask{
			Job: j.Key, Epoch: j.Epoch, Instance: j.Instance, InstanceEpoch: j.InstanceEpoch, Limits: ledger.JobResources(j.Charge),
			Payload: j.Submit.Payload, Checkpoint: j.Checkpoint,
		}
	case j.Throttle != j.Throttled:
		return ThrottleTask{Job: j.Key, Epoch: j.Epoch, On: j.Throttle}
	}
	return CheckpointTask{Job: j.Key, Epoch: j.Epoch}
}

func (d *decision) escalate(j *jobpb.Job) {
	e, ok := d.s.soft.escalated[j.Key]
	if !ok || e.how != j.Preempted {
		d.s.soft.escalated[j.Key] = escalation{how: j.Preempted, at: d.now}
		return
	}
	wait := patience
	if j.UrgentPreempt {
		wait = urgentPatience
	}
	if d.now < e.at+wait || j.Drain || j.Preempted == jobpb.How_HOW_STOP {
		return
	}
	d.preempt(j, j.Preempted+1, j.UrgentPreempt, false)
}

func (d *decision) preempt(j *jobpb.Job, how jobpb.How, urgent, drain bool) {
	d.propose(schedule.PreemptCommand(j, how, urgent, drain))
}

// instances looks at the instances with jobs: those that leave are emptied, those that are lost are given up.
func (d *decision) instances() {
	s := d.s
	for _, name := range slices.Sorted(maps.Keys(s.ledger.Allocations())) {
		lost, leaving := s.pools.Unreachable(name), s.pools.Draining(name)
		if n := s.pools.Losses(name); !lost && s.soft.losses[name] != n {
			s.soft.losses[name] = n
			s.soft.watchAt = min(s.soft.watchAt, max(d.now, s.soft.watched+watchSoon))
		}
		since, ok := s.soft.lost[name]
		switch {
		case !lost:
			delete(s.soft.lost, name)
		case !ok:
			s.soft.lost[name] = d.now
		}
		givenUp := lost && ok && d.now >= since+lostAfter
		if !givenUp && !leaving {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(s.ledger.Allocations()[name].Jobs())) {
			j := s.ledger.Jobs()[key]
			switch {
			case givenUp:
				d.lost(j)
			case j.Phase == jobpb.Phase_PHASE_RUNNING && j.Submit.Idempotent && j.Preempted < jobpb.How_HOW_CHECKPOINT:
				d.preempt(j, jobpb.How_HOW_CHECKPOINT, false, true)
			}
		}
	}
}

func (d *decision) lost(j *jobpb.Job) {
	ref := &jobpb.Ref{Key: j.Key, Epoch: j.Epoch}
	d.propose(fmt.Sprintf("lost %s %d", j.Key, j.Epoch), &jobpb.Command{Change: &jobpb.Command_Lost{Lost: ref}})
}

// sweep does what depends on time only.
func (d *decision) sweep() {
	s := d.s
	for _, queue := range slices.Sorted(maps.Keys(s.ledger.WaitingByQueue())) {
		list := s.ledger.WaitingByQueue()[queue]
		if q, ok := s.ledger.Index().Queues[queue]; ok && len(list) > 0 {
			s.ledger.DirtyPools()[q.Pool] = struct{}{}
			continue
		}
		for _, j := range list { // the queue is no longer configured
			d.propose(schedule.MisfitCommand(j))
		}
	}
	maps.DeleteFunc(s.soft.sent, func(_ string, at time.Duration) bool { return d.now >= at+sweep })
	gone := func(key string) bool { j, ok := s.ledger.Jobs()[key]; return !ok || j.Instance == "" }
	maps.DeleteFunc(s.soft.issued, func(key string, _ issued) bool { return gone(key) })
	maps.DeleteFunc(s.soft.escalated, func(key string, _ escalation) bool { return gone(key) })
	s.scheduler.RemoveStale(d.now)
	d.unthrottle()
	if d.now < s.soft.watchAt {
		return
	}
	s.soft.watchAt, s.soft.watched = d.now+watch, d.now
	w := WatchTasks{}
	for _, key := range slices.Sorted(maps.Keys(s.ledger.Jobs())) {
		j := s.ledger.Jobs()[key]
		if j.Phase == jobpb.Phase_PHASE_RUNNING || j.Phase == jobpb.Phase_PHASE_CHECKPOINTING {
			w.Tasks = append(w.Tasks, TaskRef{Job: key, Epoch: j.Epoch})
		}
	}
	d.out.Actions = append(d.out.Actions, w)
}

// want tells the quota plug-in the demand for teams and slots.
func (d *decision) want() {
	if f := d.s.ledger.Quota().SetDemand; f != nil {
		f(d.s.ledger.QuotaDemand())
	}
}

// unthrottle gives processors back where there is room and nobody waits.
func (d *decision) unthrottle() {
	s := d.s
	for _, name := range slices.Sorted(maps.Keys(s.ledger.Allocations())) {
		for _, key := range slices.Sorted(maps.Keys(s.ledger.Allocations()[name].Jobs())) {
			j := s.ledger.Jobs()[key]
			if j.Phase != jobpb.Phase_PHASE_RUNNING || !j.Throttled || !j.Throttle || len(s.ledger.WaitingByQueue()[j.Submit.Queue]) > 0 {
				continue
			}
			ref := &jobpb.Ref{Key: key, Epoch: j.Epoch}
			d.propose("unthrottle "+key, &jobpb.Command{Change: &jobpb.Command_Unthrottle{Unthrottle: ref}})
		}
	}
}
