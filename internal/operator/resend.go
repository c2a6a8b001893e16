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

// call is one request to the API, sent to one address after the other until one gives a final answer.
type call struct {
	method, path, query string
	header              map[string]string
	body                []byte
	// operation is the operation ID, empty for reads.
	operation string
	// extra is time that the server takes beyond the usual bounds of an attempt and of the call.
	extra time.Duration
}

// decoder reads a successful answer.
type decoder func(header http.Header, body io.Reader) error

// do sends a call within the deadline. A change that no process answered finally ends as outcome unknown when a request
// for it may have arrived anywhere, and as unavailable when none can have arrived.
func (c *Client) do(ctx context.Context, r call, decode decoder) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+r.extra)
	defer cancel()
	mayBeApplied := false
	pause := c.cfg.RetryDelay
	var last error
	for attempt := 0; ; attempt++ {
		connected, err := c.send(ctx, attempt%len(c.urls), r, decode)
		if err == nil {
			return nil
		}
		// An attempt that the deadline cuts short says less than the one before it.
		if last == nil || ctx.Err() == nil {
			last = err
		}
		var answer *Error
		if errors.As(err, &answer) && final(answer, mayBeApplied) {
			return err
		}
		mayBeApplied = mayBeApplied || r.operation != "" && connected && (answer == nil || answer.Kind == KindOutcomeUnknown)
		wait := time.Duration(0)
		if (attempt+1)%len(c.urls) == 0 {
			wait = pause
			pause = min(2*pause, 8*c.cfg.RetryDelay)
		}
		select {
		case <-ctx.Done():
			return c.giveUp(r, mayBeApplied, last)
		case <-time.After(wait):
		}
		// Both channels may be ready, so the deadline is checked before another attempt.
		if ctx.Err() != nil {
			return c.giveUp(r, mayBeApplied, last)
		}
	}
}

func (c *Client) giveUp(r call, mayBeApplied bool, last error) error {
	if mayBeApplied {
		e := unknown(r.operation)
		e.Message += " (last error: " + last.Error() + ")"
		return e
	}
	text := "no process answered; check the operator addresses and resend"
	if r.operation != "" {
		text = "the change was not applied: " + text
	}
	return &Error{Kind: KindUnavailable, Message: text + " (last error: " + last.Error() + ")"}
}

// final reports whether the answer ends the call. Once a request may have been applied, only an answer about the
// operation itself counts: that another process refuses the key or the request says nothing about it.
func final(e *Error, mayBeApplied bool) bool {
	switch e.Kind {
	case KindUnavailable, KindOutcomeUnknown:
		return false
	case KindUnauthorized, KindForbidden, KindMalformed, KindTooLarge, KindUnsupported, KindInternal:
		return !mayBeApplied
	}
	return true
}

// send sends the call to one address. It reports whether a connection was made; without one, nothing was sent.
func (c *Client) send(ctx context.Context, address int, r call, decode decoder) (connected bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout+r.extra)
	defer cancel()
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
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
		if r.operation != "" {
			req.Header.Set(HeaderOperationID, r.operation)
		}
		for name, value := range r.header {
			req.Header.Set(name, value)
		}
		return req, nil
	}
	read := func(_ context.Context, resp *http.Response) (any, error) {
		if resp.StatusCode >= 300 {
			return nil, readError(resp)
		}
		if decode == nil {
			return nil, nil
		}
		if err := decode(resp.Header, http.MaxBytesReader(nil, resp.Body, maxAnswer)); err != nil {
			return nil, errorx.Decorate(err, "read answer")
		}
		return nil, nil
	}
	_, err = kithttp.NewExplicitClient(build, read, kithttp.SetClient(c.http)).Endpoint()(ctx, nil)
	return got.Load(), err
}

// readError restores the error answer; an answer in another form comes from something else than hibiscusroute.
func readError(resp *http.Response) error {
	data, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxAnswer))
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
