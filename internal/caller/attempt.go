package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

// maxBufferedResponseBytes is the length up to which a response is buffered whole before it is passed on, so that a
// failure before its end can still be answered by an error response or a retry.
const maxBufferedResponseBytes = 256 << 10

var errResponseMismatch = Namespace.NewType("mismatch")

// attemptResult is the result of one attempt.
type attemptResult struct {
	resp    *http.Response
	state   endpoint.SendState
	err     error
	prefix  []byte // the buffered beginning of the response's body
	isWhole bool   // prefix is the whole body
}

// sendOnce sends the request once. When the caller's deadline passes or the caller disconnects, it cancels an attempt
// of which no byte was written. Any other attempt is detached: it keeps its permits until it ends, because the endpoint
// still runs the request.
func (ar *activeRequest) sendOnce() (res attemptResult, detached bool) {
	q, s := ar.q, ar.q.server
	out, err := q.buildOutgoing()
	if err != nil {
		return attemptResult{err: err}, false
	}
	ctx := ar.ctx
	if q.idempotent {
		ctx = endpoint.WithIdempotent(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	attempt := &endpoint.Attempt{}
	done := make(chan attemptResult, 1)
	started := s.cfg.Now()
	go func() { done <- q.roundTrip(ctx, attempt, ar.grant.target, out) }()
	select {
	case res = <-done:
	case <-ar.callerCtx.Done():
		if attempt.CancelUnsent() == endpoint.MaybeSent {
			ar.detachAttempt(done, cancel)
			return attemptResult{}, true
		}
		cancel()
		res = <-done
	}
	q.endpointTime += s.cfg.Now().Sub(started)
	if res.err != nil || res.isWhole {
		cancel()
		ar.reportResult(res)
	} else {
		// The rest of the response is read under this context, so it is canceled only when the active request ends.
		context.AfterFunc(ar.ctx, cancel)
	}
	return res, false
}

// detachAttempt waits for the attempt in the background, discards its response, reports its result and then releases
// everything that the active request holds.
func (ar *activeRequest) detachAttempt(done chan attemptResult, cancel context.CancelFunc) {
	ar.maybeSent = true
	ar.q.server.addActive()
	detached := *ar
	ar.released = true
	go func() {
		defer detached.q.server.removeActive()
		defer detached.releaseAll()
		defer cancel()
		res := <-done
		if res.err == nil && !res.isWhole {
			if _, res.err = io.Copy(io.Discard, res.resp.Body); res.err == nil {
				res.isWhole = true
			}
			_ = res.resp.Body.Close() // the response is discarded
		}
		detached.reportResult(res)
	}()
}

// reportResult reports to the registry whether the endpoint served the attempt. Failures that the caller caused are not
// reported.
func (ar *activeRequest) reportResult(res attemptResult) {
	q := ar.q
	if q.stream != nil && q.stream.readErr.Load() != nil {
		return
	}
	if res.err != nil {
		if res.state == endpoint.NotSent && ar.callerCtx.Err() != nil {
			return
		}
		if errorx.IsOfType(res.err, endpoint.ErrTruncated) {
			q.server.metrics.truncatedResponses.Inc()
			q.server.cfg.Record(timeline.Event{
				Kind: "response-truncated", Request: q.id, Team: q.team, Instance: ar.grant.target.Instance(),
			})
		}
		ar.grant.target.ReportResult(false)
		return
	}
	code := res.resp.StatusCode
	ar.grant.target.ReportResult(code < http.StatusInternalServerError || code == http.StatusNotImplemented)
}

// roundTrip sends the request and reads the response up to maxBufferedResponseBytes.
func (q *request) roundTrip(
	ctx context.Context, attempt *endpoint.Attempt, target *endpoint.Target, out *http.Request,
) attemptResult {
	resp, state, err := q.server.cfg.Dispatcher.DoAttempt(ctx, attempt, target, out)
	if err != nil {
		return attemptResult{state: state, err: err}
	}
	res := attemptResult{resp: resp, state: state}
	if id := resp.Header.Get(headerRequestID); id != "" && id != q.id {
		// A connection carries one request at a time, so the endpoint sent more than one response or the wrong one.
		q.server.metrics.mismatchedResponses.Inc()
		q.server.cfg.Log.Info("endpoint sent the response to another request; the attempt fails",
			"instance", target.Instance(), "request", q.id, "other", id)
		res.err = errResponseMismatch.New("the response belongs to another request")
	} else {
		res.prefix, res.err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponseBytes+1))
	}
	res.isWhole = res.err == nil && len(res.prefix) <= maxBufferedResponseBytes
	if res.err != nil || res.isWhole {
		if err := resp.Body.Close(); err != nil && res.err == nil {
			q.server.cfg.Log.V(1).Info("failed to close the body of a response", "request", q.id, "error", err.Error())
		}
	}
	return res
}

// buildOutgoing builds the HTTP request for an endpoint.
func (q *request) buildOutgoing() (*http.Request, error) {
	u, err := url.ParseRequestURI(q.path)
	if err != nil {
		return nil, errorx.Decorate(err, "parse path")
	}
	u.RawQuery = q.incoming.URL.RawQuery
	out := &http.Request{
		Method: q.incoming.Method, URL: u, Host: q.incoming.Host, Header: make(http.Header, len(q.incoming.Header)+2),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: q.contentLength,
	}
	copyHeader(out.Header, q.incoming.Header)
	delete(out.Header, "Authorization") // the caller's key is for hibiscusroute only
	delete(out.Header, "Expect")
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = []string{""} // stops net/http from adding its own
	}
	out.Header.Set(headerRequestID, q.id)
	left := q.queue.MaxRun.Std()
	if !q.deadline.IsZero() {
		left = min(left, q.deadline.Sub(q.server.cfg.Now()))
	}
	out.Header.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	switch {
	case q.stream != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(q.body), q.stream))
	case q.contentLength > 0:
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(q.body)), nil }
		out.Body, _ = out.GetBody() // can't fail
	}
	return out, nil
}

// writeResponse writes the response to the caller. It releases the permits before it writes a whole response, so that a
// slow caller does not hold them.
func (ar *activeRequest) writeResponse(res attemptResult) {
	q, s, rp := ar.q, ar.q.server, ar.q.reply
	if res.resp.Request.Header.Get(headerRequestID) != rp.requestID {
		s.reportViolation("own-answer", "response for another request than "+rp.requestID)
		ar.releaseAll()
		rp.reject(http.StatusInternalServerError, outcomeUnknown, "internal", "the response belongs to another request")
		return
	}
	if res.isWhole {
		ar.releaseAll()
	}
	if !rp.markAnswered() {
		return
	}
	h := rp.w.Header()
	copyHeader(h, res.resp.Header)
	if s.stopping.Load() {
		h.Set("Connection", "close")
	}
	h.Set(headerRequestID, q.id)
	code := res.resp.StatusCode
	if res.isWhole && q.incoming.Method != http.MethodHead &&
		code != http.StatusNoContent && code != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(res.prefix)))
	}
	s.metrics.addedLatency.Update((s.cfg.Now().Sub(q.arrivedAt) - q.waitTime - q.endpointTime).Seconds())
	control := http.NewResponseController(rp.w)
	// Setting a deadline fails only on a closed connection, on which the next write fails too.
	_ = control.SetWriteDeadline(time.Now().Add(s.cfg.WriteTimeout))
	rp.w.WriteHeader(code)
	_, err := rp.w.Write(res.prefix)
	if res.isWhole {
		if err != nil {
			s.cfg.Log.V(1).Info("failed to write the response to the caller", "request", q.id, "error", err.Error())
		}
		_ = control.SetWriteDeadline(time.Time{}) // fails only on a closed connection
		return
	}
	ar.streamResponse(res, control, err)
}

// streamResponse copies the rest of a long response. It aborts the caller's connection when the response is truncated,
// so that the caller can't take the part for a complete response.
func (ar *activeRequest) streamResponse(res attemptResult, control *http.ResponseController, writeErr error) {
	q := ar.q
	buf := make([]byte, 32<<10)
	var readErr error
	for writeErr == nil && readErr == nil {
		var n int
		n, readErr = res.resp.Body.Read(buf)
		if n > 0 {
			// Setting a deadline fails only on a closed connection, on which the next write fails too.
			_ = control.SetWriteDeadline(time.Now().Add(q.server.cfg.WriteTimeout))
			_, writeErr = q.reply.w.Write(buf[:n])
		}
	}
	if writeErr != nil && readErr == nil {
		// The endpoint still runs the request, so the permits are released at the end of the response.
		done := make(chan attemptResult, 1)
		done <- res
		ar.detachAttempt(done, func() {})
		panic(http.ErrAbortHandler)
	}
	_ = res.resp.Body.Close() // the body was read to its end or failed
	if readErr != io.EOF {
		res.err = readErr
	}
	ar.reportResult(res)
	ar.releaseAll()
	if res.err != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	_ = control.SetWriteDeadline(time.Time{}) // fails only on a closed connection
}
