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
	// reissueInterval is the time after which an action without a response is issued again. It is longer than the driver's
	// own retries take.
	reissueInterval = 2 * time.Second
	// periodicInterval is the interval of the work that no event triggers.
	periodicInterval = time.Second
	// watchInterval is the interval at which the driver compares all running jobs with the platform's tasks, in addition
	// to the changes that it reports at once. A list of 8,000 tasks has about 800 KB, so that a shorter interval would
	// exceed the allowed 6 KB/s.
	watchInterval = 5 * time.Minute
	// minWatchInterval is the minimum time between two comparisons when an instance returns, as it may have lost its
	// tasks.
	minWatchInterval = 10 * time.Second
	// lostTimeout is how long an instance must be unreachable before its tasks are considered lost. The platform's leases
	// on tasks expire within this time, so that none of the tasks still runs.
	lostTimeout = 30 * time.Second
	// maxReportsPerCommand limits a command to about 32 KB.
	maxReportsPerCommand = 256
	// urgentEscalationDelay and escalationDelay are how long one means of preemption has before the next one is tried.
	// Urgent jobs must start within 3.3 s, which leaves 1 s each for checkpoint, throttle and stop.
	urgentEscalationDelay = time.Second
	escalationDelay       = 10 * time.Second
)

// leaderState is the part of the state that isn't replicated and exists on the leader only.
type leaderState struct {
	reports          []*jobpb.Report          // not proposed yet
	staleTasks       map[TaskRef]struct{}     // tasks to stop
	issuedActions    map[string]issuedAction  // the last action of each job
	proposedAt       map[string]time.Duration // by command key
	escalations      map[string]escalation    // by job
	unreachableSince map[string]time.Duration // by instance
	nextWatchAt      time.Duration
	lastWatchAt      time.Duration
	losses           map[string]uint64 // by instance, at the last check
	nextPeriodicAt   time.Duration
	poolsRevision    uint64
}

type issuedAction struct {
	name  string
	epoch uint64
	at    time.Duration
}

// escalation holds the current means of a preemption and when it was first seen.
type escalation struct {
	how jobpb.How
	at  time.Duration
}

func (s *State) resetLeaderState(now time.Duration) {
	s.scheduler.Reset()
	s.leader = leaderState{
		staleTasks: map[TaskRef]struct{}{}, issuedActions: map[string]issuedAction{},
		proposedAt:  map[string]time.Duration{},
		escalations: map[string]escalation{}, unreachableSince: map[string]time.Duration{}, losses: map[string]uint64{},
		nextWatchAt: now, nextPeriodicAt: now,
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
	isRunning := e.Outcome == jobpb.Outcome_OUTCOME_STARTED || e.Outcome == jobpb.Outcome_OUTCOME_RUNNING
	ref := TaskRef{Job: e.Job, Epoch: e.Epoch}
	j, ok := s.ledger.Jobs()[e.Job]
	if !ok || j.Instance == "" || j.Epoch != e.Epoch {
		// The platform runs a task whose run has ended or whose job was dropped.
		if isRunning {
			s.leader.staleTasks[ref] = struct{}{}
		}
		return
	}
	if isRunning {
		s.scheduler.RecordRunning(now, j)
		if j.Phase != jobpb.Phase_PHASE_STARTING && (e.Throttled == j.Throttled || e.Throttled != j.Throttle) {
			return // no change
		}
	}
	if e.Outcome == jobpb.Outcome_OUTCOME_REFUSED {
		s.scheduler.RecordRejection(now, j)
	}
	if e.Outcome == jobpb.Outcome_OUTCOME_FINISHED {
		s.scheduler.RecordFinish(now, j)
	}
	s.leader.reports = append(s.leader.reports, &jobpb.Report{
		Key: e.Job, Epoch: e.Epoch, Outcome: e.Outcome, Throttled: e.Throttled, Reason: e.Reason,
	})
}

func (s *State) decide(now time.Duration) kernel.Decision {
	d := &decision{s: s, now: now}
	for len(s.leader.reports) > 0 {
		n := min(len(s.leader.reports), maxReportsPerCommand)
		m := &jobpb.Reports{Reports: s.leader.reports[:n]}
		s.leader.reports = s.leader.reports[n:]
		d.propose("", &jobpb.Command{Change: &jobpb.Command_Reports{Reports: m}})
	}
	for _, ref := range slices.SortedFunc(maps.Keys(s.leader.staleTasks), compareRefs) {
		d.out.Actions = append(d.out.Actions, StopTask(ref))
	}
	clear(s.leader.staleTasks)
	d.issueActions()
	isPeriodicDue := now >= s.leader.nextPeriodicAt
	if isPeriodicDue || s.leader.poolsRevision != s.pools.Revision() {
		s.leader.poolsRevision = s.pools.Revision()
		d.checkInstances()
	}
	if isPeriodicDue {
		s.leader.nextPeriodicAt = now + periodicInterval
		d.doPeriodicWork()
	}
	if s.ledger.TakeQuotaShortage() || isPeriodicDue {
		d.reportDemand()
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

// decision collects the output of one call of decide.
type decision struct {
	s   *State
	now time.Duration
	out kernel.Decision
}

// propose adds a command. A command with the same key isn't added again within periodicInterval; an empty key is never
// limited.
func (d *decision) propose(key string, m *jobpb.Command) bool {
	if key != "" {
		if at, ok := d.s.leader.proposedAt[key]; ok && d.now < at+periodicInterval {
			return false
		}
		d.s.leader.proposedAt[key] = d.now
	}
	c, err := kernel.NewCommand(Name, "", m)
	if err == nil {
		d.out.Commands = append(d.out.Commands, c)
	}
	return err == nil
}

// issueActions issues the actions that bring the platform in line with the committed state, and escalates preemptions
// that take too long.
func (d *decision) issueActions() {
	s := d.s
	for _, key := range slices.Sorted(maps.Keys(s.ledger.AwaitingPlatform())) {
		j := s.ledger.Jobs()[key]
		if j.Phase == jobpb.Phase_PHASE_CHECKPOINTING {
			d.escalatePreemption(j)
		}
		if s.ledger.StartOutcomeUnknown(j) {
			d.proposeLost(j)
			continue
		}
		a := pendingAction(j)
		last, ok := s.leader.issuedActions[key]
		if ok && last.epoch == j.Epoch && last.name == a.ActionName() && d.now < last.at+reissueInterval {
			continue
		}
		s.leader.issuedActions[key] = issuedAction{name: a.ActionName(), epoch: j.Epoch, at: d.now}
		d.out.Actions = append(d.out.Actions, a)
	}
}

// pendingAction returns the action for a job that awaits the platform.
func pendingAction(j *jobpb.Job) kernel.Action {
	switch {
	case ledger.HasEnded(j) || j.Preempted == jobpb.How_HOW_STOP:
		return StopTask{Job: j.Key, Epoch: j.Epoch}
	case j.Phase == jobpb.Phase_PHASE_STARTING:
		return StartTask{
			Job: j.Key, Epoch: j.Epoch, Instance: j.Instance, InstanceEpoch: j.InstanceEpoch,
			Limits: ledger.JobResources(j.Charge), Payload: j.Submit.Payload, Checkpoint: j.Checkpoint,
		}
	case j.Throttle != j.Throttled:
		return ThrottleTask{Job: j.Key, Epoch: j.Epoch, On: j.Throttle}
	}
	return CheckpointTask{Job: j.Key, Epoch: j.Epoch}
}

// escalatePreemption proposes the next means of preemption if the current one has taken too long.
func (d *decision) escalatePreemption(j *jobpb.Job) {
	e, ok := d.s.leader.escalations[j.Key]
	if !ok || e.how != j.Preempted {
		d.s.leader.escalations[j.Key] = escalation{how: j.Preempted, at: d.now}
		return
	}
	delay := escalationDelay
	if j.UrgentPreempt {
		delay = urgentEscalationDelay
	}
	if d.now < e.at+delay || j.Drain || j.Preempted == jobpb.How_HOW_STOP {
		return
	}
	d.proposePreemption(j, j.Preempted+1, j.UrgentPreempt, false)
}

func (d *decision) proposePreemption(j *jobpb.Job, how jobpb.How, urgent, drain bool) {
	d.propose(schedule.PreemptCommand(j, how, urgent, drain))
}

// checkInstances proposes to checkpoint the jobs on draining instances and to mark the jobs on lost ones as lost.
func (d *decision) checkInstances() {
	s := d.s
	for _, name := range slices.Sorted(maps.Keys(s.ledger.Allocations())) {
		isUnreachable, isDraining := s.pools.Unreachable(name), s.pools.Draining(name)
		if n := s.pools.Losses(name); !isUnreachable && s.leader.losses[name] != n {
			s.leader.losses[name] = n
			s.leader.nextWatchAt = min(s.leader.nextWatchAt, max(d.now, s.leader.lastWatchAt+minWatchInterval))
		}
		since, wasUnreachable := s.leader.unreachableSince[name]
		switch {
		case !isUnreachable:
			delete(s.leader.unreachableSince, name)
		case !wasUnreachable:
			s.leader.unreachableSince[name] = d.now
		}
		isLost := isUnreachable && wasUnreachable && d.now >= since+lostTimeout
		if !isLost && !isDraining {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(s.ledger.Allocations()[name].Jobs())) {
			j := s.ledger.Jobs()[key]
			switch {
			case isLost:
				d.proposeLost(j)
			case j.Phase == jobpb.Phase_PHASE_RUNNING && j.Submit.Idempotent && j.Preempted < jobpb.How_HOW_CHECKPOINT:
				d.proposePreemption(j, jobpb.How_HOW_CHECKPOINT, false, true)
			}
		}
	}
}

func (d *decision) proposeLost(j *jobpb.Job) {
	ref := &jobpb.Ref{Key: j.Key, Epoch: j.Epoch}
	d.propose(fmt.Sprintf("lost %s %d", j.Key, j.Epoch), &jobpb.Command{Change: &jobpb.Command_Lost{Lost: ref}})
}

// doPeriodicWork does the work that no event triggers: it marks pools for scheduling, drops stale entries, restores
// throttled jobs and asks the driver to compare its tasks.
func (d *decision) doPeriodicWork() {
	s := d.s
	for _, queue := range slices.Sorted(maps.Keys(s.ledger.WaitingByQueue())) {
		list := s.ledger.WaitingByQueue()[queue]
		if q, ok := s.ledger.Index().Queues[queue]; ok && len(list) > 0 {
			s.ledger.DirtyPools()[q.Pool] = struct{}{}
			continue
		}
		for _, j := range list { // the queue was removed from the configuration
			d.propose(schedule.MisfitCommand(j))
		}
	}
	maps.DeleteFunc(s.leader.proposedAt, func(_ string, at time.Duration) bool { return d.now >= at+periodicInterval })
	hasNoInstance := func(key string) bool { j, ok := s.ledger.Jobs()[key]; return !ok || j.Instance == "" }
	maps.DeleteFunc(s.leader.issuedActions, func(key string, _ issuedAction) bool { return hasNoInstance(key) })
	maps.DeleteFunc(s.leader.escalations, func(key string, _ escalation) bool { return hasNoInstance(key) })
	s.scheduler.RemoveStale(d.now)
	d.proposeUnthrottles()
	if d.now < s.leader.nextWatchAt {
		return
	}
	s.leader.nextWatchAt, s.leader.lastWatchAt = d.now+watchInterval, d.now
	w := WatchTasks{}
	for _, key := range slices.Sorted(maps.Keys(s.ledger.Jobs())) {
		j := s.ledger.Jobs()[key]
		if j.Phase == jobpb.Phase_PHASE_RUNNING || j.Phase == jobpb.Phase_PHASE_CHECKPOINTING {
			w.Tasks = append(w.Tasks, TaskRef{Job: key, Epoch: j.Epoch})
		}
	}
	d.out.Actions = append(d.out.Actions, w)
}

// reportDemand reports the demand for team quota and slots to the quota plug-in.
func (d *decision) reportDemand() {
	if setDemand := d.s.ledger.Quota().SetDemand; setDemand != nil {
		setDemand(d.s.ledger.QuotaDemand())
	}
}

// proposeUnthrottles proposes to end the throttling of jobs in whose queue no job waits. The ledger rejects the command
// if the instance has no capacity left.
func (d *decision) proposeUnthrottles() {
	s := d.s
	for _, name := range slices.Sorted(maps.Keys(s.ledger.Allocations())) {
		for _, key := range slices.Sorted(maps.Keys(s.ledger.Allocations()[name].Jobs())) {
			j := s.ledger.Jobs()[key]
			if j.Phase != jobpb.Phase_PHASE_RUNNING || !j.Throttled || !j.Throttle ||
				len(s.ledger.WaitingByQueue()[j.Submit.Queue]) > 0 {
				continue
			}
			ref := &jobpb.Ref{Key: key, Epoch: j.Epoch}
			d.propose("unthrottle "+key, &jobpb.Command{Change: &jobpb.Command_Unthrottle{Unthrottle: ref}})
		}
	}
}
