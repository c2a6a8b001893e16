package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/joomcode/errorx"
)

// call is a request to the API. It is sent to one address after the other until one of them gives a final response.
type call struct {
	method, path, query string
	header              map[string]string
	body                []byte
	// operationID is empty for reads.
	operationID string
	// extraTimeout is added to the timeouts of the call and of each attempt.
	extraTimeout time.Duration
}

// decoder decodes a successful response.
type decoder func(header http.Header, body io.Reader) error

// do sends a call to the addresses in turn until it gets a final response or the timeout expires. If a change gets no
// final response, do returns an error of KindOutcomeUnknown when a request may have reached a process, and one of
// KindUnavailable when none can have.
func (c *Client) do(ctx context.Context, r call, decode decoder) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+r.extraTimeout)
	defer cancel()
	mayBeApplied := false
	delay := c.cfg.RetryDelay
	var lastErr error
	for attempt := 0; ; attempt++ {
		connected, err := c.send(ctx, attempt%len(c.urls), r, decode)
		if err == nil {
			return nil
		}
		// The error of an earlier attempt is more useful than that of an attempt that the deadline canceled.
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err
		}
		var response *Error
		if errors.As(err, &response) && isFinal(response, mayBeApplied) {
			return err
		}
		mayBeApplied = mayBeApplied ||
			r.operationID != "" && connected && (response == nil || response.Kind == KindOutcomeUnknown)
		wait := time.Duration(0)
		if (attempt+1)%len(c.urls) == 0 {
			wait = delay
			delay = min(2*delay, 8*c.cfg.RetryDelay)
		}
		select {
		case <-ctx.Done():
			return c.noResponseError(r, mayBeApplied, lastErr)
		case <-time.After(wait):
		}
		// The select may pick the timer although the deadline has also expired.
		if ctx.Err() != nil {
			return c.noResponseError(r, mayBeApplied, lastErr)
		}
	}
}

// noResponseError returns the error of a call that got no final response.
func (c *Client) noResponseError(r call, mayBeApplied bool, lastErr error) error {
	if mayBeApplied {
		e := outcomeUnknownError(r.operationID)
		e.Message += " (last error: " + lastErr.Error() + ")"
		return e
	}
	text := "no process answered; check the operator addresses and resend"
	if r.operationID != "" {
		text = "the change was not applied: " + text
	}
	return &Error{Kind: KindUnavailable, Message: text + " (last error: " + lastErr.Error() + ")"}
}

// isFinal reports whether the response ends the call. Once a change may have been applied, only a response about the
// operation itself is final: a rejected key or request at another process doesn't tell the outcome.
func isFinal(e *Error, mayBeApplied bool) bool {
	switch e.Kind {
	case KindUnavailable, KindOutcomeUnknown:
		return false
	case KindUnauthorized, KindForbidden, KindMalformed, KindTooLarge, KindUnsupported, KindInternal:
		return !mayBeApplied
	}
	return true
}

// send sends the call to one address. It reports whether a connection was established; without one, nothing was sent.
func (c *Client) send(ctx context.Context, address int, r call, decode decoder) (connected bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout+r.extraTimeout)
	defer cancel()
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	build := func(ctx context.Context, _ any) (*http.Request, error) {
		u := c.urls[address].JoinPath(r.path)
		u.RawQuery = r.query
		req, err := http.NewRequestWithContext(ctx, r.method, u.String(), bytes.NewReader(r.body))
		if err != nil {
			return nil, err
		}
		if len(r.body) > 0 {
			req.Header.Set("Content-Type", "application/json")
		}
		if c.cfg.Key != "" {
			req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
		}
		if r.operationID != "" {
			req.Header.Set(HeaderOperationID, r.operationID)
		}
		for name, value := range r.header {
			req.Header.Set(name, value)
		}
		return req, nil
	}
	read := func(_ context.Context, resp *http.Response) (any, error) {
		if resp.StatusCode >= 300 {
			return nil, decodeError(resp)
		}
		if decode == nil {
			return nil, nil
		}
		if err := decode(resp.Header, http.MaxBytesReader(nil, resp.Body, maxResponseBytes)); err != nil {
			return nil, errorx.Decorate(err, "read answer")
		}
		return nil, nil
	}
	_, err = kithttp.NewExplicitClient(build, read, kithttp.SetClient(c.http)).Endpoint()(ctx, nil)
	return gotConn.Load(), err
}

// decodeError decodes an error response. A response in another format doesn't come from hibiscusroute.
func decodeError(resp *http.Response) error {
	data, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	if err != nil {
		return errorx.Decorate(err, "read error answer")
	}
	e := &Error{}
	if err := json.Unmarshal(data, e); err != nil || e.Kind == "" {
		return errorx.ExternalError.New("answer with status %d is not an answer of the operator API", resp.StatusCode)
	}
	e.Status = resp.StatusCode
	return e
}
