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

// maxAttempts is the maximum number of attempts to send one request.
const maxAttempts = 3

// activeRequest is a request that holds a team permit and a slot and may be sent.
type activeRequest struct {
	q         *request
	ctx       context.Context // bounded by the maximum run time, not by the caller
	cancel    context.CancelFunc
	callerCtx context.Context
	grant     grant
	hasSlot   bool // grant holds a slot that was not returned
	isCounted bool // the scheduler counts the request as running
	claim     Claim
	avoid     []string // instances of earlier attempts
	maybeSent bool     // a byte of an attempt may have reached an endpoint
	released  bool
}

// serveQueue queues a request, sends it to an endpoint and answers it.
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
	callerCtx, cancelCaller := q.callerContext()
	defer cancelCaller()
	wait, cancelWait := q.waitContext(callerCtx)
	defer cancelWait()
	started := s.cfg.Now()
	g, err := s.scheduler.acquirePermits(wait, q.newWaiter())
	q.waitTime = s.cfg.Now().Sub(started)
	s.metrics.waitTime.Update(q.waitTime.Seconds())
	if err != nil {
		q.releaseBodyBytes()
		status, reason := waitErrorStatus(err, callerCtx)
		rp.reject(status, outcomeNotRun, reason, err.Error())
		return
	}
	ar := &activeRequest{q: q, callerCtx: callerCtx, grant: g, hasSlot: true}
	// When the attempt is detached, detachAttempt releases everything and this call does nothing.
	defer ar.releaseAll()
	if errResp := ar.prepareToSend(); errResp != nil {
		outcome := outcomeNotRun
		if errResp.reason == reasonDuplicate || errResp.reason == reasonExpired {
			outcome = outcomeUnknown
		}
		rp.reject(errResp.status, outcome, errResp.reason, errResp.message)
		return
	}
	ar.ctx, ar.cancel = context.WithTimeout(context.WithoutCancel(r.Context()), q.queue.MaxRun.Std())
	ar.sendWithRetries()
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

// waitErrorStatus returns the status and reason of the answer to a request that stopped waiting because of err.
func waitErrorStatus(err error, callerCtx context.Context) (int, string) {
	switch {
	case errorx.IsOfType(err, errQueueFull):
		return http.StatusTooManyRequests, "queue-full"
	case errorx.IsOfType(err, errTooLate):
		return http.StatusServiceUnavailable, "too-late"
	case errorx.IsOfType(err, errNoLease):
		return http.StatusServiceUnavailable, "no-lease"
	case errorx.IsOfType(err, errClosed):
		return http.StatusServiceUnavailable, "stopping"
	case errors.Is(callerCtx.Err(), context.DeadlineExceeded):
		return http.StatusGatewayTimeout, "deadline"
	case callerCtx.Err() != nil:
		return http.StatusServiceUnavailable, "canceled"
	}
	return http.StatusServiceUnavailable, "max-wait"
}

const (
	reasonDuplicate = "duplicate"
	reasonExpired   = "request-id-expired"
)

// prepareToSend checks again that the request may be sent, because the lease, the key or the queue may have changed
// while it waited, and claims the identifier of a request that is not idempotent.
func (ar *activeRequest) prepareToSend() *errorResponse {
	q, s := ar.q, ar.q.server
	if errResp := ar.recheckAdmission(); errResp != nil {
		return errResp
	}
	if ar.isCounted = s.scheduler.startRequest(q.team, q.queue.Name); !ar.isCounted {
		return &errorResponse{http.StatusInternalServerError, "internal", "the team runs more than its permits"}
	}
	if q.idempotent {
		return nil
	}
	ctx, cancel := context.WithTimeout(ar.callerCtx, claimTimeout)
	defer cancel()
	claim, err := s.cfg.Claim(ctx, q.team, q.id)
	ar.claim = claim
	switch {
	case err == nil && claim.Outcome == ClaimWon:
		return ar.recheckAdmission()
	case claim.Outcome == ClaimDuplicate:
		s.cfg.Record(timeline.Event{Kind: "duplicate-request", Request: q.id, Team: q.team})
		return &errorResponse{http.StatusConflict, reasonDuplicate, "this request identifier was sent before"}
	case claim.Outcome == ClaimExpired:
		return &errorResponse{
			http.StatusConflict, reasonExpired, "the record of requests doesn't reach back to this identifier",
		}
	}
	message := "the request identifier could not be claimed"
	if err != nil {
		message += ": " + err.Error()
	}
	return &errorResponse{http.StatusServiceUnavailable, "claim-unavailable", message}
}

// recheckAdmission checks the lease, the caller's context and the authorization again.
func (ar *activeRequest) recheckAdmission() *errorResponse {
	v, err := ar.q.server.cfg.View()
	if err != nil {
		return &errorResponse{http.StatusServiceUnavailable, "no-lease", err.Error()}
	}
	if err := ar.callerCtx.Err(); err != nil {
		status, reason := waitErrorStatus(err, ar.callerCtx)
		return &errorResponse{status, reason, "the caller's deadline passed or the caller is gone"}
	}
	return ar.q.authorize(v, ar.q.queue.Name)
}

// releaseAll releases the slot, the team permit and the buffer, and also the claim when certainly no byte was sent.
// Calls after the first do nothing.
func (ar *activeRequest) releaseAll() {
	if ar.released {
		return
	}
	ar.released = true
	s := ar.q.server
	if ar.cancel != nil {
		ar.cancel()
	}
	if ar.hasSlot {
		s.scheduler.returnSlot(ar.grant)
	}
	s.scheduler.finishRequest(ar.q.team, ar.q.queue.Name, ar.grant.teamPermit, ar.isCounted)
	ar.q.releaseBodyBytes()
	if !ar.maybeSent && ar.claim.Release != nil &&
		ar.claim.Outcome != ClaimDuplicate && ar.claim.Outcome != ClaimExpired {
		// The claim is released even when the caller has disconnected, so that the caller can send the request again.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ar.q.incoming.Context()), claimReleaseTimeout)
		defer cancel()
		ar.claim.Release(ctx)
	}
}

const (
	// claimTimeout is long enough for the failover of a voter. The slot is held but idle in this time.
	claimTimeout        = 2 * time.Second
	claimReleaseTimeout = 2 * time.Second
)

// sendWithRetries sends the request until an endpoint answers or no further attempt is allowed, and answers the caller.
func (ar *activeRequest) sendWithRetries() {
	q, s := ar.q, ar.q.server
	for n := 1; ; n++ {
		res, detached := ar.sendOnce()
		if detached {
			status, reason := waitErrorStatus(ar.callerCtx.Err(), ar.callerCtx)
			q.reply.reject(status, outcomeUnknown, reason,
				"the deadline passed or the caller is gone while the request ran")
			return
		}
		ar.maybeSent = ar.maybeSent || res.state == endpoint.MaybeSent
		if res.err == nil {
			ar.writeResponse(res)
			return
		}
		if !ar.mayRetry(res, n) || !ar.acquireOtherEndpoint() {
			status, reason := ar.errorStatus(res)
			outcome := outcomeUnknown
			if !ar.maybeSent {
				outcome = outcomeNotRun
			}
			ar.releaseAll()
			q.reply.reject(status, outcome, reason, res.err.Error())
			return
		}
		s.metrics.retries.Inc()
		s.cfg.Record(timeline.Event{
			Kind: "retry", Request: q.id, Team: q.team, Instance: ar.grant.target.Instance(), Text: res.err.Error(),
		})
	}
}

// mayRetry reports whether another attempt is safe, still in time and within the retry budget, from which it takes a
// retry.
func (ar *activeRequest) mayRetry(res attemptResult, n int) bool {
	q := ar.q
	if !q.idempotent && res.state == endpoint.MaybeSent || q.stream != nil && q.stream.started.Load() {
		return false
	}
	if n >= maxAttempts || ar.ctx.Err() != nil || ar.callerCtx.Err() != nil {
		return false
	}
	if !q.server.retryBudget.takeRetry() {
		q.server.metrics.retriesWithoutBudget.Inc()
		return false
	}
	return true
}

// acquireOtherEndpoint returns the slot and acquires one of an endpoint that was not tried before; it keeps the team
// permit.
func (ar *activeRequest) acquireOtherEndpoint() bool {
	q := ar.q
	ar.avoid = append(ar.avoid, ar.grant.target.Instance())
	q.server.scheduler.returnSlot(ar.grant)
	ar.hasSlot = false
	w := q.newWaiter()
	w.avoid, w.teamPermit = ar.avoid, ar.grant.teamPermit
	ctx, cancel := context.WithTimeout(ar.callerCtx, q.maxWait())
	defer cancel()
	stop := context.AfterFunc(ar.ctx, cancel)
	defer stop()
	started := q.server.cfg.Now()
	g, err := q.server.scheduler.acquirePermits(ctx, w)
	q.waitTime += q.server.cfg.Now().Sub(started)
	if err != nil {
		return false
	}
	ar.grant, ar.hasSlot = g, true
	return ar.recheckAdmission() == nil
}

// errorStatus returns the status and reason of the answer to a request that failed with res.
func (ar *activeRequest) errorStatus(res attemptResult) (int, string) {
	if ar.q.stream != nil {
		if readErr := ar.q.stream.readErr.Load(); readErr != nil {
			if errors.Is(*readErr, errBodyTooLarge) {
				return http.StatusRequestEntityTooLarge, "body-too-large"
			}
			return http.StatusRequestTimeout, "body-incomplete"
		}
	}
	switch {
	case ar.ctx.Err() != nil:
		return http.StatusGatewayTimeout, "max-run"
	case ar.callerCtx.Err() != nil:
		return http.StatusGatewayTimeout, "deadline"
	case errorx.IsOfType(res.err, errResponseMismatch):
		return http.StatusBadGateway, "response-mismatch"
	case errorx.IsOfType(res.err, endpoint.ErrTruncated):
		return http.StatusBadGateway, "response-truncated"
	case res.state == endpoint.NotSent:
		return http.StatusBadGateway, "connect-failed"
	}
	return http.StatusBadGateway, "endpoint-failed"
}
