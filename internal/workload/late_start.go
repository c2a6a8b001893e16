package workload

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// lateStartsSlack is how long a record of late starts also covers starts that are sent after it, so that it isn't repeated for
// each of them.
const lateStartsSlack = time.Second

// overdueAfter is the time after which a start without an answer is recorded although its answer is not due, in case the leader
// is lost until then. Workers answer within a round trip.
const overdueAfter = 200 * time.Millisecond

// resolvedDelay is the time after which the log is told of resolved starts although no other command is proposed.
const resolvedDelay = 50 * time.Millisecond

// assignNumberBits is the number of low bits of the number of an Assign command that count the commands of a term.
const assignNumberBits = 32

// lateStartTable holds the starts that may be carried out late, by the ID of the worker. The next incarnation with the ID
// executes them as long as it has got no request of its own.
type lateStartTable struct {
	byID map[string]*lateStarts
	// open holds the runs with a start that may be on its way without a record of it, unlisted those that their incarnation has not
	// listed.
	open, unlisted map[*run]bool
	// proposedResolved is the last number that a command has told of the others, at proposedResolvedAt.
	proposedResolved   uint64
	proposedResolvedAt time.Duration
	// checkAt is when starts are to be recorded next.
	checkAt time.Duration
	// started holds the long-running runs whose only start was carried out, as a list has shown, until that is in the log.
	started []*run
}

// lateStarts tells until when starts for the incarnations of an ID may be carried out late.
type lateStarts struct {
	// inFlight is the number of starts whose answer is not due yet.
	inFlight int
	// unresolved is the number of runs whose only start has no answer, and about which no list has told yet. None of these
	// starts is carried out after unresolvedUntil.
	unresolved      int
	unresolvedUntil time.Duration
	// possibleUntil is when none of the other starts without an answer is carried out any more.
	possibleUntil time.Duration
	// recordedUntil is what the log tells of the starts without an answer, proposedUntil what was proposed at proposedAt. The log
	// has to tell of mustRecordUntil.
	recordedUntil, proposedUntil, proposedAt, mustRecordUntil time.Duration
}

// of returns the starts for an ID, creating an entry if there is none.
func (t *lateStartTable) of(id string) *lateStarts {
	l := t.byID[id]
	if l == nil {
		l = &lateStarts{}
		t.byID[id] = l
	}
	return l
}

// extend notes that a start for an ID may be carried out late until a time.
func (t *lateStartTable) extend(id string, until time.Duration) {
	l := t.of(id)
	l.possibleUntil = max(l.possibleUntil, until)
	t.mustRecord(l, until)
}

// mustRecord notes that the log has to tell of starts until a time.
func (t *lateStartTable) mustRecord(l *lateStarts, until time.Duration) {
	l.mustRecordUntil = max(l.mustRecordUntil, until)
	if l.mustRecordUntil > l.recordedUntil {
		t.checkAt = 0
	}
}

// recordAgain notes that the log has to tell of the starts for an ID again, as what it tells is older than a run that was
// assigned since.
func (t *lateStartTable) recordAgain(id string) {
	l := t.of(id)
	l.recordedUntil, l.proposedUntil = 0, 0
	t.checkAt = 0
}

// addUnresolved notes that the only start of a run for an ID may have no answer.
func (t *lateStartTable) addUnresolved(id string, r *run, until time.Duration) {
	r.startUnresolved, r.unresolvedUntil = true, until
	l := t.of(id)
	l.unresolved++
	l.unresolvedUntil = max(l.unresolvedUntil, until)
}

// resolve notes that a list has shown a run for an ID, and so its only start was carried out, or that the start may still be
// carried out late, as a list lacks the run or the run has ended otherwise.
func (t *lateStartTable) resolve(id string, r *run, isListed bool) {
	r.carriedOut = r.carriedOut || isListed
	if !r.startUnresolved {
		return
	}
	r.startUnresolved = false
	t.of(id).unresolved--
	if isListed && r.startCopies == 1 {
		r.lateUntil = 0
		t.closeRecorded(id, r)
		return
	}
	t.extend(id, r.unresolvedUntil)
}

// noteListed notes that the incarnation that a run is assigned to has listed it.
func (t *lateStartTable) noteListed(id string, r *run) {
	if !r.carriedOut && r.startCopies <= 1 && r.task.Step().Step.Lasting {
		t.started = append(t.started, r)
	}
	delete(t.unlisted, r)
	t.resolve(id, r, true)
}

// closeRecorded notes that no start of a run is on its way without a record of it, if that is so.
func (t *lateStartTable) closeRecorded(id string, r *run) {
	if r.lateUntil == 0 || r.lateUntil <= t.of(id).recordedUntil && r.hasRecord() {
		delete(t.open, r)
	}
}

// assignment returns the run as the ledger has it, the zero value if it has ended.
func (r *run) assignment() ledger.ActiveRun {
	for _, a := range r.task.ActiveRuns {
		if a.Run == r.key.Run {
			return a
		}
	}
	return ledger.ActiveRun{}
}

// hasRecord reports whether the log has told of starts of the run's worker without an answer since the run was assigned.
func (r *run) hasRecord() bool {
	a := r.assignment()
	return a.Worker != nil && a.Worker.MayRunLate(a)
}

// recordSent notes that the start of a run for an ID is sent.
func (t *lateStartTable) recordSent(id string, r *run) {
	t.of(id).inFlight++
	t.open[r] = true
	r.startCopies++
}

// recordResult records the result of a start; the run is nil if it has ended. Of a start that was sent twice, the first copy
// has had no answer.
func (t *lateStartTable) recordResult(r *run, ev StartRunResult) {
	id, until := ev.Request.ID, ev.EndedAt+ledger.MaxRequestDelay
	l := t.of(id)
	l.inFlight = max(l.inFlight-1, 0)
	switch {
	case ev.Outcome != NoAnswer && !ev.Repeated:
		if r != nil {
			r.startCopies--
			t.closeRecorded(id, r)
		}
		if *l == (lateStarts{}) {
			delete(t.byID, id)
		}
	case r == nil:
		t.extend(id, until)
	case ev.Repeated || ev.Closed || r.startCopies > 1:
		r.lateUntil = max(r.lateUntil, until)
		t.extend(id, until)
	case !r.carriedOut:
		r.lateUntil = until
		t.addUnresolved(id, r, until)
		t.mustRecord(l, until)
	}
}

// lateStartUntil returns until when a start of the run that has no answer may be carried out, 0 if there is none.
func (r *run) lateStartUntil(now time.Duration) time.Duration {
	until := r.lateUntil
	if r.startInFlight && (!r.carriedOut || r.startCopies > 1) {
		until = max(until, now+RequestTimeout+ledger.MaxRequestDelay)
	}
	if until <= now {
		return 0
	}
	return until
}

// mayBeOfSuccessor reports whether a later incarnation may have answered the start of the run, as no list has shown it.
func (r *run) mayBeOfSuccessor() bool { return r.unattributed && !r.carriedOut }

// logLateStart writes a line on a run that ends while a start of it may still be carried out.
func (e *Engine) logLateStart(s *session, r *run, kind string) {
	until := r.lateStartUntil(e.now)
	if until == 0 {
		if r.mayBeOfSuccessor() {
			e.cfg.IncrementCounter("hibiscusroute_runs_ended_before_late_starts_total", "kind", "unlisted")
			e.cfg.Log.Info("run ended that a later incarnation may have started", "worker", s.worker.ID(), "boot", s.worker.Number(),
				"kind", kind, "job", r.name.Job, "step", r.name.Step, "index", r.name.Index, "run", r.name.Run,
				"answers", s.failures == 0, "replaced", s.successorMs > 0)
		}
		return
	}
	e.cfg.IncrementCounter("hibiscusroute_runs_ended_before_late_starts_total", "kind", kind)
	e.cfg.Log.Info("run ended while a start of it may be carried out late", "worker", s.worker.ID(), "boot", s.worker.Number(),
		"kind", kind, "job", r.name.Job, "step", r.name.Step, "index", r.name.Index, "run", r.name.Run,
		"late-starts-end-in", (until - e.now).String(), "answers", s.failures == 0, "replaced", s.successorMs > 0)
}

// recordOverdueStarts makes sure that the log tells of the starts that should have been answered.
func (e *Engine) recordOverdueStarts(s *session) {
	for _, r := range s.runs {
		if r.startInFlight && !r.carriedOut && r.isOverdue(e.now) {
			e.lateStarts.mustRecord(e.lateStarts.of(s.worker.ID()), r.requestedAt+RequestTimeout+ledger.MaxRequestDelay)
		}
	}
}

func (r *run) isOverdue(now time.Duration) bool { return now-r.requestedAt >= overdueAfter }

// inheritLateStarts takes over what earlier leaders recorded.
func (e *Engine) inheritLateStarts() {
	e.lateStarts = lateStartTable{byID: map[string]*lateStarts{}, open: map[*run]bool{}, unlisted: map[*run]bool{}}
	for id, endMs := range e.state.LateStarts() {
		until := e.now + millis(endMs-e.state.Clock())
		*e.lateStarts.of(id) = lateStarts{possibleUntil: until}
	}
}

// inheritStart takes over the start of a run that an earlier leader assigned. A leader repeats no start that is not
// recorded, so there is one at most unless there is a record.
func (e *Engine) inheritStart(s *session, r *run) {
	l, id := e.lateStarts.of(s.worker.ID()), s.worker.ID()
	a := r.task.RunOn(s.worker)
	until := e.leadingSince + MaxConfirmationAge + ledger.MaxRequestDelay
	r.startCopies = 1
	if l.possibleUntil > 0 {
		r.startCopies = 2
	}
	if s.worker.MayRunLate(a) && !a.HasStarted() {
		r.lateUntil = l.possibleUntil
	}
	if !e.state.IsStartResolved(a) && !a.HasStarted() {
		r.lateUntil = max(r.lateUntil, until)
	}
	r.unattributed = !e.state.IsListed(a)
	if !r.unattributed {
		delete(e.lateStarts.unlisted, r)
	}
	if r.lateUntil > 0 {
		e.lateStarts.mustRecord(l, r.lateUntil)
	} else {
		delete(e.lateStarts.open, r)
	}
	e.lateStarts.addUnresolved(id, r, until)
}

// lastAssignBefore returns the last number of an Assign command before those of the given runs.
func (e *Engine) lastAssignBefore(runs map[*run]bool) uint64 {
	last := max(e.term<<assignNumberBits, e.lastAssign)
	for r := range runs {
		last = min(last, max(r.assignNumber, 1)-1)
	}
	return last
}

// forget removes a run that has ended.
func (t *lateStartTable) forget(r *run) {
	delete(t.open, r)
	delete(t.unlisted, r)
}

// proposeResolvedAssigns tells the next leader of resolved starts if no other command does so.
func (e *Engine) proposeResolvedAssigns() {
	t := &e.lateStarts
	if e.now-t.proposedResolvedAt < resolvedDelay {
		return
	}
	m := &workloadpb.LateStarts{Started: t.unrecordedStarted(e.now)}
	if len(m.Started) > 0 || e.lastAssignBefore(t.open) > t.proposedResolved {
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_LateStarts{LateStarts: m}})
	}
}

// unrecordedStarted returns the runs of which the log has to tell that their starts were carried out.
func (t *lateStartTable) unrecordedStarted(now time.Duration) []*workloadpb.StartedRun {
	t.started = slices.DeleteFunc(t.started, func(r *run) bool {
		a := r.assignment()
		return a.Worker == nil || a.HasStarted()
	})
	var list []*workloadpb.StartedRun
	for _, r := range t.started {
		if r.startedProposedAt == 0 || now-r.startedProposedAt >= proposalTimeout {
			r.startedProposedAt = now
			list = append(list, &workloadpb.StartedRun{
				Subtask: r.key.TaskMessage(), Run: r.key.Run, Worker: r.assignment().Worker.Number(),
			})
		}
	}
	return list
}

// lateStartsUntil returns until when the next incarnation on an instance, in a pool, could carry out a late start if it had
// the ID of the last one; 0 if it couldn't. Instances of a spare pool are off.
func (e *Engine) lateStartsUntil(in *instance, pool string) time.Duration {
	l := e.lateStarts.byID[in.lastWorker]
	if l == nil || e.state.Pool(pool).GetSpare() {
		return 0
	}
	until := l.possibleUntil
	if l.inFlight > 0 {
		until = e.now + ledger.MaxRequestDelay
	}
	if l.unresolved > 0 {
		until = max(until, l.unresolvedUntil)
	}
	if until <= e.now {
		return 0
	}
	return until
}

// mayRequestStart reports whether the start of a run may be requested. A later leader takes a run that is listed for one
// whose only start was carried out, so all others must be in the log first.
func (e *Engine) mayRequestStart(s *session, r *run) bool {
	return !r.startUnresolved && e.unrecordedLateStarts(s) == 0
}

// unrecordedLateStarts returns for how long starts for a worker may be carried out that the log doesn't tell of, 0 if there are
// none.
func (e *Engine) unrecordedLateStarts(s *session) time.Duration {
	if l := e.lateStarts.byID[s.worker.ID()]; l != nil && l.isUnrecorded(e.now) {
		return l.mustRecordUntil - e.now
	}
	return 0
}

// isOver reports whether no start that has been sent can be carried out any more.
func (l *lateStarts) isOver(now time.Duration) bool {
	return l.inFlight == 0 && l.unresolved == 0 && l.possibleUntil <= now
}

// isUnrecorded reports whether a start may be carried out later than the log tells.
func (l *lateStarts) isUnrecorded(now time.Duration) bool {
	return l.mustRecordUntil > max(l.recordedUntil, now)
}

// recordLateStarts proposes to record the starts that got no answer.
func (e *Engine) recordLateStarts() {
	t := &e.lateStarts
	if e.now < t.checkAt {
		return
	}
	t.checkAt = math.MaxInt64
	m := &workloadpb.LateStarts{}
	remaining := time.Duration(0)
	for id, l := range t.byID {
		switch retryAt := l.proposedAt + proposalTimeout; {
		case l.isOver(e.now):
			delete(t.byID, id)
		case !l.isUnrecorded(e.now):
		case l.proposedUntil >= l.mustRecordUntil && e.now < retryAt:
			t.checkAt = min(t.checkAt, retryAt)
		default:
			m.Workers = append(m.Workers, id)
			remaining = max(remaining, l.mustRecordUntil-e.now)
		}
	}
	if len(m.Workers) == 0 {
		return
	}
	remaining += lateStartsSlack
	for _, id := range m.Workers {
		l := t.byID[id]
		l.proposedUntil, l.proposedAt = e.now+remaining, e.now
	}
	t.checkAt = min(t.checkAt, e.now+proposalTimeout)
	slices.Sort(m.Workers)
	m.RemainingMs = remaining.Milliseconds()
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_LateStarts{LateStarts: m}})
}

// handleRecordedLateStarts handles a record of this leader, proposed at a time, that is in the log.
func (e *Engine) handleRecordedLateStarts(m *workloadpb.LateStarts, proposedAt time.Duration) {
	for _, id := range m.Workers {
		if l := e.lateStarts.byID[id]; l != nil {
			l.recordedUntil = max(l.recordedUntil, proposedAt+millis(m.RemainingMs))
		}
		if w := e.state.WorkerByID(id); w != nil && e.sessions[w.Number()] != nil {
			s := e.sessions[w.Number()]
			for _, r := range s.runs {
				if !r.startInFlight || r.isOverdue(e.now) {
					e.lateStarts.closeRecorded(id, r)
				}
			}
			e.markDirty(s)
		}
	}
}
