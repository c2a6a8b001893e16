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

// maxBufferedResponseBytes is the length up to which a response is buffered and can fail cleanly.
const maxBufferedResponseBytes = 256 << 10

var errResponseMismatch = Namespace.NewType("mismatch")

// attemptResult is the outcome of one attempt. Without an error, head holds the response or, unless whole, its beginning.
type attemptResult struct {
	resp    *http.Response
	state   endpoint.SendState
	err     error
	prefix  []byte
	isWhole bool
}

// sendOnce sends the request once. When the caller's deadline passes or the caller is gone, a request of which no byte
// was written is given up. Any other goes on without the caller and keeps its permits until it ends, because the
// endpoint still runs it; detached is true then.
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
		// The rest of the response is read under this context, which ends with the run.
		context.AfterFunc(ar.ctx, cancel)
	}
	return res, false
}

// detachAttempt lets the attempt go on without the caller.
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
			_ = res.resp.Body.Close() // nobody takes the response any more
		}
		detached.reportResult(res)
	}()
}

// reportResult tells the registry whether the endpoint served the attempt; faults of the caller don't count.
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

// roundTrip sends the request and reads the response up to the buffered length.
func (q *request) roundTrip(ctx context.Context, attempt *endpoint.Attempt, target *endpoint.Target, out *http.Request) attemptResult {
	resp, state, err := q.server.cfg.Dispatcher.DoAttempt(ctx, attempt, target, out)
	if err != nil {
		return attemptResult{state: state, err: err}
	}
	res := attemptResult{resp: resp, state: state}
	if id := resp.Header.Get(headerRequestID); id != "" && id != q.id {
		// Connections carry one request at a time, so the endpoint sent more than one response or the wrong one.
		q.server.metrics.mismatchedResponses.Inc()
		q.server.cfg.Log.Info("endpoint sent the response to another request", "instance", target.Instance(), "request", q.id,
			"other", id)
		res.err = errResponseMismatch.New("the response belongs to another request")
	} else {
		res.prefix, res.err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponseBytes+1))
	}
	res.isWhole = res.err == nil && len(res.prefix) <= maxBufferedResponseBytes
	if res.err != nil || res.isWhole {
		if err := resp.Body.Close(); err != nil && res.err == nil {
			q.server.cfg.Log.V(1).Info("close of response failed", "request", q.id, "error", err.Error())
		}
	}
	return res
}

// buildOutgoing builds the request for an endpoint.
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
	delete(out.Header, "Authorization") // the key is for hibiscusroute only
	delete(out.Header, "Expect")
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
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

// writeResponse passes the response on. A whole one gives its permits back before the caller takes it.
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
	if res.isWhole && q.incoming.Method != http.MethodHead && code != http.StatusNoContent && code != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(res.prefix)))
	}
	s.metrics.addedLatency.Update((s.cfg.Now().Sub(q.arrivedAt) - q.waitTime - q.endpointTime).Seconds())
	control := http.NewResponseController(rp.w)
	_ = control.SetWriteDeadline(time.Now().Add(s.cfg.WriteTimeout)) // it fails on a closed connection only, as the next write does
	rp.w.WriteHeader(code)
	_, err := rp.w.Write(res.prefix)
	if res.isWhole {
		if err != nil {
			s.cfg.Log.V(1).Info("caller took no answer", "request", q.id, "error", err.Error())
		}
		_ = control.SetWriteDeadline(time.Time{}) // it fails on a closed connection only, as the next write does
		return
	}
	ar.streamResponse(res, control, err)
}

// streamResponse copies the rest of a long response. The caller's connection is aborted when the response is truncated, so
// that the caller can't take a part for the whole.
func (ar *activeRequest) streamResponse(res attemptResult, control *http.ResponseController, writeErr error) {
	q := ar.q
	buf := make([]byte, 32<<10)
	var readErr error
	for writeErr == nil && readErr == nil {
		var n int
		n, readErr = res.resp.Body.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(q.server.cfg.WriteTimeout)) // it fails on a closed connection only, as the next write does
			_, writeErr = q.reply.w.Write(buf[:n])
		}
	}
	if writeErr != nil && readErr == nil {
		// The endpoint still runs the request; its permits go back when the response ended.
		done := make(chan attemptResult, 1)
		done <- res
		ar.detachAttempt(done, func() {})
		panic(http.ErrAbortHandler)
	}
	_ = res.resp.Body.Close() // read to its end or unusable
	if readErr != io.EOF {
		res.err = readErr
	}
	ar.reportResult(res)
	ar.releaseAll()
	if res.err != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	_ = control.SetWriteDeadline(time.Time{}) // it fails on a closed connection only, as the next write does
}
