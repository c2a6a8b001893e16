package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// run is a request that holds permits.
type run struct {
	q       *request
	ctx     context.Context // bounded by the maximum run time, not by the caller
	cancel  context.CancelFunc
	caller  context.Context
	grant   grant
	slot    bool // grant holds a slot
	started bool // the scheduler counts the request as running
	claim   Claim
	avoid   []string
	maybe   bool // a byte of an attempt may have reached an endpoint
	over    bool
}

func (s *Server) serveQueue(rp *reply, r *http.Request, queuePath string) {
	q, errResp := s.parseRequest(rp, r, queuePath)
	if errResp == nil {
		errResp = q.readBody(rp.w)
	}
	if errResp != nil {
		if q != nil {
			q.releaseBodyBytes()
		}
		rp.reject(errResp.status, outcomeNotRun, errResp.reason, errResp.message)
		return
	}
	s.retryBudget.recordRequest()
	caller, cancelCaller := q.callerContext()
	defer cancelCaller()
	wait, cancelWait := q.waitContext(caller)
	defer cancelWait()
	started := s.cfg.Now()
	g, err := s.scheduler.acquirePermits(wait, q.newWaiter())
	q.waitTime = s.cfg.Now().Sub(started)
	s.metrics.waitTime.Update(q.waitTime.Seconds())
	if err != nil {
		q.releaseBodyBytes()
		status, reason := waitFault(err, caller)
		rp.reject(status, outcomeNotRun, reason, err.Error())
		return
	}
	t := &run{q: q, caller: caller, grant: g, slot: true}
	// The permits go back in any case; a run that goes on without its caller has taken over this duty.
	defer t.release()
	if ref := t.prepare(); ref != nil {
		outcome := outcomeNotRun
		if ref.reason == reasonDuplicate || ref.reason == reasonExpired {
			outcome = outcomeUnknown
		}
		rp.reject(ref.status, outcome, ref.reason, ref.message)
		return
	}
	t.ctx, t.cancel = context.WithTimeout(context.WithoutCancel(r.Context()), q.queue.MaxRun.Std())
	t.attempts()
}

func (q *request) newWaiter() *waiter {
	w := &waiter{queue: q.queue, team: q.team, weight: 1}
	if v, err := q.server.cfg.View(); err == nil {
		if t, ok := v.Team(q.team); ok {
			w.weight = float64(t.Share)
		}
	}
	return w
}

// waitFault returns status and reason for a request that could not start.
func waitFault(err error, caller context.Context) (int, string) {
	switch {
	case errorx.IsOfType(err, errQueueFull):
		return http.StatusTooManyRequests, "queue-full"
	case errorx.IsOfType(err, errTooLate):
		return http.StatusServiceUnavailable, "too-late"
	case errorx.IsOfType(err, errNoLease):
		return http.StatusServiceUnavailable, "no-lease"
	case errorx.IsOfType(err, errClosed):
		return http.StatusServiceUnavailable, "stopping"
	case errors.Is(caller.Err(), context.DeadlineExceeded):
		return http.StatusGatewayTimeout, "deadline"
	case caller.Err() != nil:
		return http.StatusServiceUnavailable, "canceled"
	}
	return http.StatusServiceUnavailable, "max-wait"
}

const (
	reasonDuplicate = "duplicate"
	reasonExpired   = "request-id-expired"
)

// prepare makes sure that the request may be sent now: what held when it arrived may have changed while it waited.
func (t *run) prepare() *errorResponse {
	q, s := t.q, t.q.server
	if ref := t.recheck(); ref != nil {
		return ref
	}
	if t.started = s.scheduler.startRequest(q.team, q.queue.Name); !t.started {
		return &errorResponse{http.StatusInternalServerError, "internal", "the team runs more than its permits"}
	}
	if q.idempotent {
		return nil
	}
	ctx, cancel := context.WithTimeout(t.caller, claimTimeout)
	defer cancel()
	claim, err := s.cfg.Claim(ctx, q.team, q.id)
	t.claim = claim
	switch {
	case err == nil && claim.Outcome == ClaimWon:
		return t.recheck()
	case claim.Outcome == ClaimDuplicate:
		s.cfg.Record(timeline.Event{Kind: "duplicate-request", Request: q.id, Team: q.team})
		return &errorResponse{http.StatusConflict, reasonDuplicate, "this request identifier was sent before"}
	case claim.Outcome == ClaimExpired:
		return &errorResponse{http.StatusConflict, reasonExpired, "the record of requests doesn't reach back to this identifier"}
	}
	text := "the request identifier could not be claimed"
	if err != nil {
		text += ": " + err.Error()
	}
	return &errorResponse{http.StatusServiceUnavailable, "claim-unavailable", text}
}

func (t *run) recheck() *errorResponse {
	v, err := t.q.server.cfg.View()
	if err != nil {
		return &errorResponse{http.StatusServiceUnavailable, "no-lease", err.Error()}
	}
	if err := t.caller.Err(); err != nil {
		status, reason := waitFault(err, t.caller)
		return &errorResponse{status, reason, "the caller's deadline passed or the caller is gone"}
	}
	return t.q.authorize(v, t.q.queue.Name)
}

// release returns slot, team permit and buffer, and the claim when certainly no byte was sent.
func (t *run) release() {
	if t.over {
		return
	}
	t.over = true
	s := t.q.server
	if t.cancel != nil {
		t.cancel()
	}
	if t.slot {
		s.scheduler.returnSlot(t.grant)
	}
	s.scheduler.finishRequest(t.q.team, t.q.queue.Name, t.grant.teamPermit, t.started)
	t.q.releaseBodyBytes()
	if !t.maybe && t.claim.Release != nil && t.claim.Outcome != ClaimDuplicate && t.claim.Outcome != ClaimExpired {
		// The release must arrive even when the caller is gone, so that the caller can send the request again.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(t.q.incoming.Context()), releaseTimeout)
		defer cancel()
		t.claim.Release(ctx)
	}
}

const (
	// claimTimeout covers a failover of a voter; the slot stays idle meanwhile.
	claimTimeout   = 2 * time.Second
	releaseTimeout = 2 * time.Second
)

// attempts sends the request until an endpoint answers or no further attempt is allowed.
func (t *run) attempts() {
	q, s := t.q, t.q.server
	for n := 1; ; n++ {
		res, detached := t.attempt()
		if detached {
			status, reason := waitFault(t.caller.Err(), t.caller)
			q.reply.reject(status, outcomeUnknown, reason, "the deadline passed or the caller is gone while the request ran")
			return
		}
		t.maybe = t.maybe || res.state == endpoint.MaybeSent
		if res.err == nil {
			t.answer(res)
			return
		}
		if !t.mayRetry(res, n) || !t.next() {
			status, reason := t.fault(res)
			outcome := outcomeUnknown
			if !t.maybe {
				outcome = outcomeNotRun
			}
			t.release()
			q.reply.reject(status, outcome, reason, res.err.Error())
			return
		}
		s.metrics.retries.Inc()
		s.cfg.Record(timeline.Event{
			Kind: "retry", Request: q.id, Team: q.team, Instance: t.grant.target.Instance(), Text: res.err.Error(),
		})
	}
}

// mayRetry reports whether another attempt can't run the request twice, has a chance and is within the budget.
func (t *run) mayRetry(res result, n int) bool {
	q := t.q
	if !q.idempotent && res.state == endpoint.MaybeSent || q.stream != nil && q.stream.started.Load() {
		return false
	}
	if n >= maxAttempts || t.ctx.Err() != nil || t.caller.Err() != nil {
		return false
	}
	if !q.server.retryBudget.takeRetry() {
		q.server.metrics.retriesWithoutBudget.Inc()
		return false
	}
	return true
}

// next exchanges the slot for one of another endpoint; the team permit stays.
func (t *run) next() bool {
	q := t.q
	t.avoid = append(t.avoid, t.grant.target.Instance())
	q.server.scheduler.returnSlot(t.grant)
	t.slot = false
	w := q.newWaiter()
	w.avoid, w.teamPermit = t.avoid, t.grant.teamPermit
	ctx, cancel := context.WithTimeout(t.caller, q.maxWait())
	defer cancel()
	stop := context.AfterFunc(t.ctx, cancel)
	defer stop()
	started := q.server.cfg.Now()
	g, err := q.server.scheduler.acquirePermits(ctx, w)
	q.waitTime += q.server.cfg.Now().Sub(started)
	if err != nil {
		return false
	}
	t.grant, t.slot = g, true
	return t.recheck() == nil
}

// fault returns status and reason of a failed request.
func (t *run) fault(res result) (int, string) {
	if t.q.stream != nil {
		if fault := t.q.stream.readErr.Load(); fault != nil {
			if errors.Is(*fault, errBodyTooLarge) {
				return http.StatusRequestEntityTooLarge, "body-too-large"
			}
			return http.StatusRequestTimeout, "body-incomplete"
		}
	}
	switch {
	case t.ctx.Err() != nil:
		return http.StatusGatewayTimeout, "max-run"
	case t.caller.Err() != nil:
		return http.StatusGatewayTimeout, "deadline"
	case errorx.IsOfType(res.err, errMismatch):
		return http.StatusBadGateway, "response-mismatch"
	case errorx.IsOfType(res.err, endpoint.ErrTruncated):
		return http.StatusBadGateway, "response-truncated"
	case res.state == endpoint.NotSent:
		return http.StatusBadGateway, "connect-failed"
	}
	return http.StatusBadGateway, "endpoint-failed"
}
