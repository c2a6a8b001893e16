package workload

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// maxListedEnds is how many ends a worker lists at once; a list of this length may lack later ends.
const maxListedEnds = 500

// maxWorkersPerEnds and maxEndsPerCommand keep a command with ends far below the maximum size of a log entry.
const (
	maxWorkersPerEnds = 32
	maxEndsPerCommand = 1000
)

// advanceSession sends the requests that are due for a session.
func (e *Engine) advanceSession(s *session) {
	if s.endsPending && e.now-s.endsProposedAt >= proposalTimeout {
		s.endsPending, s.pendingEnd, s.settled = false, 0, false
	}
	if s.successorMs > 0 {
		e.endReplaced(s)
		return
	}
	if s.operationUntil > 0 && e.now >= s.operationUntil {
		s.operationUntil = 0
		e.doubt(s)
	}
	e.recordOverdueStarts(s)
	e.releaseUnstartableRuns(s)
	if !s.endsPending {
		if len(s.runs) > 0 && s.failures > 0 && e.now > s.leasesExpireBy {
			e.giveUpRuns(s)
		}
		e.endGivenUpRuns(s)
	}
	e.updateSuspension(s)
	e.recordHarmlessTasks(s)
	e.renewLease(s)
	e.stopRunsOutlastingDrain(s)
	due := s.sortedRuns(func(r *run) bool {
		// A start grants a lease, which a worker that doesn't answer must not get.
		return !r.requestInFlight() && e.now >= r.retryAt && !r.inherited && (s.failures == 0 || r.attempts == 0 && r.shouldStop) &&
			(r.shouldStop && r.stoppedAt == 0 || !r.shouldStop && r.startedAt == 0)
	})
	for _, r := range due {
		switch {
		case r.shouldStop && r.stoppedAt == 0:
			r.stopInFlight = true
			r.attempts++
			e.addAction(StopRun{RequestHeader: e.requestHeader(s), Name: r.name})
		case !r.shouldStop && !r.givenUp && r.startedAt == 0 && s.clockKnown && !s.suspension.active && e.knowsCapacity(s) &&
			e.mayRequestStart(s, r):
			e.startRun(s, r)
		}
	}
}

func (e *Engine) startRun(s *session, r *run) {
	st := r.task.Step()
	r.startInFlight = true
	r.attempts++
	r.requestedAt = e.now
	if s.unansweredAcks > 0 {
		// A later incarnation that has executed the start must not forget its end.
		s.startEpoch++
		s.unansweredAcks = 0
	}
	r.ticket = e.advice.ticket(st, s.worker.Number())
	e.lateStarts.recordSent(s.worker.ID(), r)
	e.addAction(StartRun{
		RequestHeader: e.leaseHeader(s), Name: r.name, Spec: st.Occurrence.Job.Spec, Checkpoint: r.checkpoint,
		Ticket: r.ticket,
	})
}

// mustAskForRuns reports whether the worker is asked for its runs and ends: if runs are assigned to it, if it listed a
// run that isn't, if it lacks the acknowledgement of a recorded end, if its heartbeat is overdue, if it has to show
// that requests reach it, or if an operation may have ended the incarnation.
func (e *Engine) mustAskForRuns(s *session) bool {
	switch {
	case len(s.runs) > 0:
		return true
	case s.failures >= idleAttempts:
		// A worker that is lost sends no heartbeats.
		return s.lastHeartbeat > s.renewalSentAt
	}
	return s.failures > 0 || s.mustList || s.hasUnassignedRuns || s.ackedEnd < s.worker.LastRecordedEnd() ||
		e.isOverdue(s) || s.isDoubted()
}

// awaitsEnds reports whether the next renewal waits for ends that are not recorded yet, as the worker would list them again
// at once. If that takes long, the lease is renewed meanwhile.
func (s *session) awaitsEnds(now time.Duration) bool {
	return s.endsPending &&
		now < max(s.endsProposedAt+pendingEndsWait, s.leasedAt+pendingEndsLeaseAge, s.renewalSentAt+pendingEndsLeaseAge)
}

// renewLease renews the lease and asks for the worker's runs and ends.
func (e *Engine) renewLease(s *session) {
	if s.renewalInFlight || s.awaitsEnds(e.now) || e.now < s.nextRenewalAt || s.isResuming() || !e.mustAskForRuns(s) {
		return
	}
	h := RenewLease{RequestHeader: e.requestHeader(s), AckedEnd: s.endToAcknowledge(), Wait: renewalWait}
	if len(s.runs) > 0 {
		h.RequestHeader = e.leaseHeader(s)
	}
	if !s.clockKnown || len(s.runs) == 0 && !s.hasUnassignedRuns || s.mustList || s.failures > 0 || s.isDoubted() ||
		s.pendingEnd > 0 {
		// Requests to a worker that doesn't answer grant no lease, so its answer must not be put off. A worker that has ends
		// to list answers at once.
		h.Wait = 0
	}
	for _, r := range s.runs {
		if r.task.Step().Step.Lasting && r.progress < 100 {
			h.Wait = min(h.Wait, startupRenewalWait)
			break
		}
	}
	h.Wait = min(h.Wait, s.suspectWait(e.now))
	if s.mixesLatencySensitiveAndBestEffort() {
		h.Wait = min(h.Wait, throttleRenewalWait)
	}
	s.renewalInFlight, s.renewalSentAt = true, e.now
	if s.lastAnswerAt > 0 && h.AckedEnd == 0 && s.ackedEnd < s.worker.LastRecordedEnd() {
		s.nextRenewalAt = e.now + minRetryDelay // The worker lists these ends again, so it doesn't wait.
	}
	if h.AckedEnd > 0 {
		s.unansweredAcks++
	}
	e.addAction(h)
}

// endToAcknowledge returns the number of the last end that the worker may forget. It is 0 if all recorded ends are
// acknowledged, or if a later incarnation may get the request, which would forget ends that are not recorded.
func (s *session) endToAcknowledge() int64 {
	if s.failures > 0 || s.lastAnswerAt == 0 || s.ackedEnd >= s.worker.LastRecordedEnd() {
		return 0
	}
	for _, r := range s.runs {
		// The end of the run may be missing in a list that is full until others are forgotten.
		if (r.doubtful || r.startInFlight) && !r.listed && !s.listFull {
			return 0
		}
	}
	return s.worker.LastRecordedEnd()
}

func (e *Engine) handleRenewLeaseResult(ev RenewLeaseResult) {
	s := e.sessions[ev.Request.Incarnation]
	if s == nil {
		return
	}
	s.renewalInFlight = false
	e.markDirty(s)
	if ev.Request.AckedEnd > 0 && ev.Request.FencingToken == e.tokenFor(s) && ev.Outcome != NoAnswer && !ev.Repeated {
		s.unansweredAcks--
	}
	if e.isOvertaken(s, ev.Outcome, ev.Request.RequestHeader) {
		return // It is sent again with the higher token.
	}
	switch ev.Outcome {
	case Accepted:
		e.recordAnswer(s, ev.Answer)
		e.recordFence(s, ev.EndedAt)
		s.mustList, s.ackedEnd = false, max(s.ackedEnd, ev.Request.AckedEnd)
		e.reconcileRuns(s, ev)
		s.listedAt = max(ev.SentAt, 1)
	case OtherIncarnation:
		e.handleOtherIncarnation(s, "lease renewal", ev.Answer)
		e.settleRuns(s, ev)
	case Withheld:
		s.nextRenewalAt = e.now + minRetryDelay
	default:
		e.recordFailure(s, "hold", ev.Answer, ev.SentAt+ev.Request.Wait)
		s.nextRenewalAt = e.now + s.retryDelay()
	}
}

// reconcileRuns compares the worker's lists with the runs that are assigned to it.
func (e *Engine) reconcileRuns(s *session, ev RenewLeaseResult) {
	m := &workloadpb.Ends{Worker: s.worker.Number()}
	ended := map[ledger.RunKey]bool{}
	for _, row := range ev.Ended {
		if row.Number <= s.worker.LastRecordedEnd() {
			continue
		}
		k, ok := e.runKey(row.Name)
		if ok {
			ended[k] = true
			if r := s.runs[k]; r != nil {
				e.lateStarts.noteListed(s.worker.ID(), r)
				e.observeRunTime(r, row.How, ev.EndedAt)
				r.startedAt = max(r.startedAt, 1) // The start isn't repeated until the end is recorded.
				e.noteEnded(s, r, row.How, ev.SentAt, ev.EndedAt)
			}
		}
		if s.pendingEnd > 0 {
			continue // Later ends must not be recorded without those before, whose command may be lost.
		}
		m.Noted = max(m.Noted, row.Number)
		if ok {
			m.Ends = append(m.Ends, &workloadpb.End{
				Subtask: k.TaskMessage(), Run: k.Run, How: row.How, Checkpoint: row.Checkpoint, Number: row.Number,
			})
			e.cfg.IncrementCounter("hibiscusroute_runs_ended_total", "how", endName(row.How))
			log := e.cfg.Log
			if row.How == workloadpb.How_HOW_DONE {
				log = log.V(1) // The log lines of the job cover the runs that succeed.
			}
			log.Info("run ended", "job", row.Name.Job, "step", row.Name.Step, "index", row.Name.Index, "run", row.Name.Run,
				"how", endName(row.How), "worker", s.worker.ID(), "boot", s.worker.Number())
		}
	}
	listed := map[ledger.RunKey]bool{}
	s.hasUnassignedRuns, s.listFull = false, len(ev.Ended) >= maxListedEnds
	for _, row := range ev.Running {
		k, ok := e.runKey(row.Name)
		r := s.runs[k]
		if !ok || r == nil {
			if !ended[k] {
				s.hasUnassignedRuns = true
				e.cfg.IncrementCounter("hibiscusroute_unexpected_lists_total", "kind", "unassigned-run")
				e.cfg.Log.Info("worker lists a run that is not assigned to it; stopping the run", "worker", s.worker.ID(),
					"boot", s.worker.Number(), "pool", s.worker.Pool(), "predecessors", s.worker.Predecessors(),
					"first-list", s.listedAt == 0, "job", row.Name.Job, "step", row.Name.Step, "index", row.Name.Index,
					"run", row.Name.Run, "lease-ends-in", (s.leasesExpireBy - e.now).String())
				e.addAction(StopRun{RequestHeader: e.requestHeader(s), Name: row.Name})
			}
			continue
		}
		listed[k] = true
		e.lateStarts.noteListed(s.worker.ID(), r)
		r.inherited, r.unattributed, r.listed = false, false, true
		if r.startedAt == 0 {
			r.startedAt = ev.EndedAt
		}
		r.lastCheckpoint, r.progress, r.load = cmp.Or(row.Checkpoint, r.lastCheckpoint), row.Percent, row.Load
		e.noteListed(s, r, row, ev.EndedAt)
	}
	s.listAnsweredAt = ev.EndedAt
	if !s.listFull {
		for k, r := range s.runs {
			if listed[k] || ended[k] {
				continue
			}
			r.unlistedAt = ev.SentAt
			e.lateStarts.resolve(s.worker.ID(), r, false)
			if e.hasVanished(r, ev.SentAt) && !s.endsPending {
				e.cfg.IncrementCounter("hibiscusroute_unexpected_lists_total", "kind", "vanished-run")
				e.cfg.Log.Info("worker lists a run neither as running nor as ended", "worker", s.worker.ID(),
					"boot", s.worker.Number(), "job", r.name.Job, "step", r.name.Step, "index", r.name.Index,
					"run", r.name.Run, "last-recorded-end", s.worker.LastRecordedEnd())
				m.Ends = append(m.Ends, voidEnd(r))
			}
		}
	}
	e.adjustThrottles(s)
	e.proposeEnds(s, m)
}

// endName returns how a run ended in kebab case.
func endName(h workloadpb.How) string { return strings.ToLower(strings.TrimPrefix(h.String(), "HOW_")) }

// hasVanished reports whether a run that a list lacks has certainly ended without being listed, or never started.
func (e *Engine) hasVanished(r *run, listedAt time.Duration) bool {
	if r.inherited {
		// The worker rejects requests of the earlier leader from now on, so this leader requests the start again.
		r.inherited = false
		return false
	}
	if r.stoppedAt > 0 {
		return !r.requestInFlight() && r.stoppedAt+e.cfg.StopTimeout < listedAt
	}
	return !r.requestInFlight() && r.startedAt > 0 && r.startedAt < listedAt
}

func voidEnd(r *run) *workloadpb.End {
	return &workloadpb.End{
		Subtask: r.key.TaskMessage(), Run: r.key.Run, How: workloadpb.How_HOW_VOID, Checkpoint: r.lastCheckpoint,
	}
}

func (e *Engine) proposeEnds(s *session, m *workloadpb.Ends) {
	if len(m.Ends) == 0 && m.Noted == 0 {
		return
	}
	slices.SortStableFunc(m.Ends, func(a, b *workloadpb.End) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Subtask.Job, b.Subtask.Job),
			cmp.Compare(a.Subtask.Occurrence, b.Subtask.Occurrence), cmp.Compare(a.Subtask.Step, b.Subtask.Step),
			cmp.Compare(a.Subtask.Index, b.Subtask.Index), cmp.Compare(a.Run, b.Run))
	})
	s.endsPending, s.endsProposedAt, s.pendingEnd = true, e.now, max(s.pendingEnd, m.Noted)
	m.LateStartsRemainingMs = e.unrecordedLateStarts(s).Milliseconds()
	for _, end := range m.Ends {
		if r := s.runs[ledger.RunKeyOf(end.Subtask, end.Run)]; r != nil && end.How != workloadpb.How_HOW_DONE {
			end.LateStartRemainingMs = e.remainingLateStart(s, r).Milliseconds()
			end.LaterKnown = s.successorMs > 0
			end.StartIgnored = end.How == workloadpb.How_HOW_LOST && s.lastAnswerAt > r.requestedAt+overdueAfter
		}
	}
	e.pendingEnds = append(e.pendingEnds, m)
}

// flushEnds proposes the ends that were decided on since the last command. With many workers, a command for each of them
// would cost more than all else that is decided about them.
func (e *Engine) flushEnds() {
	for len(e.pendingEnds) > 0 {
		m := e.pendingEnds[0]
		n, rows := 1, len(m.Ends)
		for n < min(len(e.pendingEnds), maxWorkersPerEnds) && rows+len(e.pendingEnds[n].Ends) <= maxEndsPerCommand {
			rows += len(e.pendingEnds[n].Ends)
			n++
		}
		m.More = e.pendingEnds[1:n:n]
		e.pendingEnds = e.pendingEnds[n:]
		e.addCommand(&workloadpb.Command{Change: &workloadpb.Command_Ends{Ends: m}})
	}
	e.pendingEnds = nil
}

// giveUpRuns gives up the runs of a worker whose lease has certainly expired.
func (e *Engine) giveUpRuns(s *session) {
	for _, r := range s.runs {
		r.giveUpAsLost()
	}
	e.cfg.Log.Info("lease of an unreachable worker expired; giving up its runs", "worker", s.worker.ID(),
		"boot", s.worker.Number(), "runs", len(s.runs))
	s.mustList = true
	e.askIdleWorkers(s)
}

// giveUpAsLost gives up a run whose worker is lost.
func (r *run) giveUpAsLost() {
	r.givenUp, r.lost = true, r.attempts > 0 || r.repeated || r.inherited || r.startedAt > 0
}

// askIdleWorkers asks the idle workers that may take the runs of a lost worker, unless they have answered since it was
// lost. Their heartbeats don't show that requests reach them.
func (e *Engine) askIdleWorkers(lost *session) {
	pools := map[string]bool{}
	for _, r := range lost.runs {
		pools[e.state.QueueOf(r.task.Step().Occurrence.Job).GetPool()] = true
	}
	for _, w := range e.state.Workers() {
		if s := e.sessions[w.Number()]; pools[w.Pool()] && len(s.runs) == 0 && s.lastAnswerAt < lost.failingSince {
			s.mustAnswer, s.mustList = true, true
			e.renewLease(s)
		}
	}
}

// endGivenUpRuns records the ends of the runs that were given up. They must not start even if the worker answers before
// that is in the log, because other runs of their tasks may be assigned then.
func (e *Engine) endGivenUpRuns(s *session) {
	m := &workloadpb.Ends{Worker: s.worker.Number()}
	for _, r := range s.runs {
		if r.givenUp {
			end := voidEnd(r)
			if r.lost {
				end.How = workloadpb.How_HOW_LOST
			}
			m.Ends = append(m.Ends, end)
		}
	}
	e.proposeEnds(s, m)
}

func (e *Engine) runKey(n RunName) (ledger.RunKey, bool) {
	j := e.state.JobByID(n.Job)
	if j == nil {
		return ledger.RunKey{}, false
	}
	return ledger.RunKey{Job: j.Number, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index, Run: n.Run}, true
}

func (e *Engine) findRun(incarnation uint64, n RunName) (*session, *run) {
	s := e.sessions[incarnation]
	if s == nil {
		return nil, nil
	}
	e.markDirty(s)
	k, _ := e.runKey(n)
	return s, s.runs[k]
}

// handleAnswer updates the session of the worker that a request for a run was sent to; the run is nil if it has ended.
func (e *Engine) handleAnswer(incarnation uint64, n RunName, a Answer) (*session, *run) {
	s, r := e.findRun(incarnation, n)
	if s == nil {
		return nil, nil
	}
	if a.ClockMs > 0 {
		e.recordAnswer(s, a)
	}
	if a.Outcome == OtherIncarnation {
		e.handleOtherIncarnation(s, "request", a)
	}
	if r != nil && a.Outcome == OtherIncarnation && a.ExecutedBy == 0 {
		r.retryAt = e.now + proposalTimeout // The end of the incarnation was proposed.
	}
	return s, r
}

func (e *Engine) handleStartRunResult(ev StartRunResult) {
	s, r := e.handleAnswer(ev.Request.Incarnation, ev.Request.Name, ev.Answer)
	e.lateStarts.recordResult(r, ev)
	if r == nil {
		return
	}
	if r.lateUntil > 0 && !r.hasRecord() {
		e.lateStarts.recordAgain(s.worker.ID())
	}
	r.startInFlight = false
	r.repeated = r.repeated || ev.Repeated
	r.doubtful = r.doubtful || ev.Outcome == NoAnswer || ev.Repeated || ev.ExecutedBy > 0
	if ev.Closed && r.startCopies == 1 {
		r.retryAt = e.now // An idle connection that the worker closes doesn't show that it is unreachable.
		return
	}
	switch ev.Outcome {
	case Accepted, Outdated:
		// An outdated run is in the worker's lists, or has vanished.
		r.startedAt, r.unattributed = ev.EndedAt, ev.Unattributed
		if ev.Outcome == Accepted {
			e.noteStartResult(s, r, ev)
		}
		delete(e.rejections, r.task.Step())
	case NoCapacity, BadTicket, Unhealthy, Malformed:
		e.cfg.Log.Info("worker rejected the start of a run", "worker", s.worker.ID(), "job", r.name.Job, "step", r.name.Step,
			"index", r.name.Index, "run", r.name.Run, "outcome", ev.Outcome.String())
		s.excludedUntil = e.now + maxRetryDelay
		switch ev.Outcome {
		case BadTicket:
			e.advice.rejectTicket(r.task.Step(), s.worker.Number(), ev.Request.Ticket)
		case Malformed:
			e.rejections.addRejection(r.task.Step(), e.now)
		}
		r.handleRejectedStart()
	case DeadlineExceeded:
		r.retryAt = e.now
	case Withheld:
		r.attempts--
		r.retryAt = e.now + minRetryDelay
	case Fenced:
		r.retryAt = e.now + maxRetryDelay
	case OtherIncarnation:
		// Either its end was proposed, or the run is stopped at the later incarnation.
	default:
		e.recordFailure(s, "start", ev.Answer, ev.SentAt)
		r.retryAt = e.now + s.retryDelay()
	}
}

// handleRejectedStart gives up a run that a worker rejected. An earlier attempt without an answer may still be carried
// out, so the run is stopped first to rule that out.
func (r *run) handleRejectedStart() {
	if r.attempts > 1 || r.repeated {
		r.shouldStop = true
		return
	}
	r.givenUp = true
}

func (e *Engine) handleStopRunResult(ev StopRunResult) {
	s, r := e.handleAnswer(ev.Request.Incarnation, ev.Request.Name, ev.Answer)
	if r == nil {
		return
	}
	r.stopInFlight = false
	switch ev.Outcome {
	case Accepted:
		r.stoppedAt = ev.EndedAt
	case Fenced:
		if !e.isOvertaken(s, ev.Outcome, ev.Request.RequestHeader) {
			r.retryAt = e.now + maxRetryDelay
		}
	case OtherIncarnation:
		// The list of the later incarnation shows whether the run has ended there.
	case NoAnswer, Unreachable:
		e.recordFailure(s, "stop", ev.Answer, ev.SentAt)
		r.retryAt = e.now + s.retryDelay()
	default:
		r.retryAt = e.now + maxRetryDelay
	}
}

// stopRunsOutlastingDrain stops the runs that can't end before their draining worker leaves, and those of one that has left, so
// that they continue elsewhere in time.
func (e *Engine) stopRunsOutlastingDrain(s *session) {
	if !s.worker.IsDraining() {
		return
	}
	left := s.drainDeadline - e.now
	for _, r := range s.runs {
		if s.worker.HasLeft() {
			r.shouldStop = true
			continue
		}
		step := r.task.Step().Step
		remaining := time.Duration(step.EstimateMs)*time.Millisecond - (e.now - r.startedAt)
		if r.startedAt > 0 && (step.Lasting || remaining > left) {
			r.shouldStop = true
		}
	}
}
