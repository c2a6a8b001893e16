package workload

import (
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// lateStartsSlack is how long a record of late starts also covers starts that are sent after it, so that it isn't repeated for
// each of them.
const lateStartsSlack = time.Second

// lateStartTable holds the starts that may be carried out late, by the ID of the worker. The next incarnation with the ID
// executes them as long as it has got no request of its own.
type lateStartTable struct {
	byID map[string]*lateStarts
	// hasUnrecorded is set while a start may be carried out later than the log tells.
	hasUnrecorded bool
	// retryAt is when a record that was proposed and not applied is proposed again.
	retryAt time.Duration
}

// lateStarts tells until when starts for the incarnations of an ID may be carried out late.
type lateStarts struct {
	// inFlight is the number of starts whose answer is not due yet.
	inFlight int
	// inherited is the number of runs that an earlier leader assigned and no list has shown. Their starts may be on their way.
	inherited int
	// possibleUntil is when none of the starts without an answer is carried out any more, recordedUntil what the log tells.
	possibleUntil, recordedUntil time.Duration
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
	t.hasUnrecorded = t.hasUnrecorded || l.possibleUntil > l.recordedUntil
}

func (t *lateStartTable) recordSent(id string) { t.of(id).inFlight++ }

// recordResult records the result of a start. Of one that was sent twice, the first copy has had no answer.
func (t *lateStartTable) recordResult(ev StartRunResult) {
	l := t.of(ev.Request.ID)
	l.inFlight = max(l.inFlight-1, 0)
	if ev.Outcome == NoAnswer || ev.Repeated {
		t.extend(ev.Request.ID, ev.SentAt+ledger.MaxRequestDelay)
	}
	if *l == (lateStarts{}) {
		delete(t.byID, ev.Request.ID)
	}
}

// inheritLateStarts takes over what earlier leaders recorded, and the starts of the runs that they assigned.
func (e *Engine) inheritLateStarts() {
	e.lateStarts = lateStartTable{byID: map[string]*lateStarts{}}
	for id, endMs := range e.state.LateStarts() {
		until := e.now + millis(endMs-e.state.Clock())
		*e.lateStarts.of(id) = lateStarts{possibleUntil: until, recordedUntil: until}
	}
	for _, w := range e.state.Workers() {
		if n := len(w.Runs()); n > 0 {
			e.lateStarts.of(w.ID()).inherited = n
		}
	}
}

// inheritedStartsUntil returns when no start of an earlier leader is carried out any more.
func (e *Engine) inheritedStartsUntil() time.Duration {
	return e.leadingSince + MaxConfirmationAge + ledger.MaxRequestDelay
}

// resolveInheritedStart records that a list was requested of the worker of a run that an earlier leader assigned. If it
// shows the run, its only start that is not recorded was carried out. If not, it may still be.
func (e *Engine) resolveInheritedStart(s *session, r *run, isListed bool) {
	if !r.startUnresolved {
		return
	}
	r.startUnresolved = false
	l := e.lateStarts.of(s.worker.ID())
	l.inherited = max(l.inherited-1, 0)
	if !isListed {
		e.lateStarts.extend(s.worker.ID(), e.inheritedStartsUntil())
	}
}

// lateStartsUntil returns until when the next incarnation on an instance, in a pool, could carry out a late start if it had
// the ID of the last one; 0 if it couldn't. Instances of a spare pool are off.
func (e *Engine) lateStartsUntil(in *instance, pool string) time.Duration {
	id := in.lastWorker
	l := e.lateStarts.byID[id]
	if l == nil || e.state.Pool(pool).GetSpare() {
		return 0
	}
	until := l.possibleUntil
	if l.inFlight > 0 {
		until = e.now + ledger.MaxRequestDelay
	}
	if l.inherited > 0 {
		until = max(until, e.inheritedStartsUntil())
	}
	if until <= e.now {
		delete(e.lateStarts.byID, id)
		return 0
	}
	return until
}

// hasUnrecordedLateStarts reports whether a start for an ID may be carried out later than the log tells. No further start is
// requested meanwhile: a later leader takes a run that is listed for one whose only start was carried out.
func (e *Engine) hasUnrecordedLateStarts(id string) bool {
	l := e.lateStarts.byID[id]
	return l != nil && l.possibleUntil > l.recordedUntil && l.possibleUntil > e.now
}

// recordLateStarts proposes to record the starts that got no answer.
func (e *Engine) recordLateStarts() {
	t := &e.lateStarts
	if !t.hasUnrecorded || e.now < t.retryAt {
		return
	}
	m := &workloadpb.LateStarts{}
	remaining := time.Duration(0)
	for id, l := range t.byID {
		if e.hasUnrecordedLateStarts(id) {
			m.Workers = append(m.Workers, id)
			remaining = max(remaining, l.possibleUntil-e.now)
		}
	}
	if len(m.Workers) == 0 {
		t.hasUnrecorded = false
		return
	}
	slices.Sort(m.Workers)
	m.RemainingMs = (remaining + lateStartsSlack).Milliseconds()
	t.retryAt = e.now + proposalTimeout
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_LateStarts{LateStarts: m}})
}

// handleRecordedLateStarts handles a record of this leader, proposed at a time, that is in the log.
func (e *Engine) handleRecordedLateStarts(m *workloadpb.LateStarts, proposedAt time.Duration) {
	e.lateStarts.retryAt = 0
	for _, id := range m.Workers {
		if l := e.lateStarts.byID[id]; l != nil {
			l.recordedUntil = max(l.recordedUntil, proposedAt+millis(m.RemainingMs))
		}
		if w := e.state.WorkerByID(id); w != nil && e.sessions[w.Number()] != nil {
			e.markDirty(e.sessions[w.Number()])
		}
	}
}

// logWaitForStarts writes a line if maintenance begins to wait for starts that may be carried out late.
func (e *Engine) logWaitForStarts(in *instance, until time.Duration) {
	if !in.operation.awaitsStarts {
		in.operation.awaitsStarts = true
		e.cfg.Log.Info("maintenance waits for starts that may be carried out late", "instance", in.Name, "worker",
			in.lastWorker, "wave", in.operation.wave, "for", (until - e.now).String())
	}
}

// turnOffForMaintenance moves an instance without runs, whose maintenance would have to wait for starts that may be carried
// out late, to the spare pool first. It can be maintained there at once, as no worker boots.
func (e *Engine) turnOffForMaintenance(in *instance) {
	if spare := e.sparePool(); spare != "" && in.operation.wave > 0 {
		move := e.newOperation(spare, 0)
		move.beforeWave = in.operation.wave
		in.operation = move
		e.cfg.Log.Info("moving instance to the spare pool before its maintenance; a start may be carried out late", "instance",
			in.Name, "worker", in.lastWorker, "from", in.Pool, "wave", move.beforeWave)
	}
}

// sparePool returns the name of the spare pool, empty if there is none.
func (e *Engine) sparePool() string {
	for _, p := range e.state.Document().GetPools() {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}
