package workload

import "time"

// lateStarts tells until when starts for the incarnations of a worker's ID may be carried out late, because they have had no
// answer. The next incarnation with the ID executes them as long as it has got no request of its own.
type lateStarts struct {
	// inFlight is the number of starts whose answer is not due yet.
	inFlight int
	// possibleUntil is when none of the others is carried out any more.
	possibleUntil time.Duration
}

// lateStartsOf returns the starts for an ID, creating an entry if there is none.
func (e *Engine) lateStartsOf(id string) *lateStarts {
	l := e.lateStarts[id]
	if l == nil {
		l = &lateStarts{}
		e.lateStarts[id] = l
	}
	return l
}

func (e *Engine) recordStartSent(id string) { e.lateStartsOf(id).inFlight++ }

// recordStartResult records the result of a start. A start that was sent twice has had one answer only.
func (e *Engine) recordStartResult(ev StartRunResult) {
	l := e.lateStartsOf(ev.Request.ID)
	l.inFlight = max(l.inFlight-1, 0)
	if ev.Outcome == NoAnswer || ev.Repeated {
		l.possibleUntil = max(l.possibleUntil, ev.SentAt+maxRequestDelay)
	}
	if l.inFlight == 0 && e.now >= l.possibleUntil {
		delete(e.lateStarts, ev.Request.ID)
	}
}

// lateStartsPossibleUntil returns until when a start for an ID may be carried out late, 0 if none may.
func (e *Engine) lateStartsPossibleUntil(id string) time.Duration {
	switch l := e.lateStarts[id]; {
	case l == nil:
		return 0
	case l.inFlight > 0:
		return e.now + maxRequestDelay
	case e.now >= l.possibleUntil:
		delete(e.lateStarts, id)
		return 0
	default:
		return l.possibleUntil
	}
}

// logLateStarts writes a line if an operation on an instance is requested while a start for its worker may be carried out late.
func (e *Engine) logLateStarts(in *instance) {
	if until := e.lateStartsPossibleUntil(in.Worker); until > 0 {
		e.cfg.Log.Info("requesting an instance operation while a start may be carried out late", "instance", in.Name,
			"worker", in.Worker, "pool", in.operation.pool, "wave", in.operation.wave, "late-for", (until - e.now).String())
	}
}
