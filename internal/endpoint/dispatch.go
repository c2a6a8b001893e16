package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// maxResponseHeader bounds the header of a response in bytes.
	maxResponseHeader = 64 << 10
	// idleTimeout closes pooled connections without traffic.
	idleTimeout = 30 * time.Second
	// linkRetention is the time after which an unused link is dropped.
	linkRetention = 5 * time.Minute
)

// SendState says whether a byte of a request can have reached an endpoint.
type SendState int

const (
	// NotSent means that certainly no byte of the request was written.
	NotSent SendState = iota
	// MaybeSent means that at least one byte of the request was handed to a connection.
	MaybeSent
)

// String returns the name of the state.
func (s SendState) String() string {
	if s == NotSent {
		return "not-sent"
	}
	return "maybe-sent"
}

// DispatcherConfig holds the settings of a dispatcher.
type DispatcherConfig struct {
	// DialTimeout bounds the time to connect; 0 uses 1 s.
	DialTimeout time.Duration
	// Dial connects to an endpoint; nil uses a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now returns the time; nil uses time.Now.
	Now func() time.Time
}

// Dispatcher sends attempts to endpoints; it is safe for concurrent use.
type Dispatcher struct {
	cfg DispatcherConfig

	mu    sync.Mutex
	links map[string]*link
}

// NewDispatcher builds a dispatcher.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Dispatcher{cfg: cfg, links: map[string]*link{}}
}

// link returns the connections to the target; a new address gets a new link and closes the old idle connections.
func (d *Dispatcher) link(t *Target) *link {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	l := d.links[t.instance]
	if l == nil || l.address != t.address || l.limit != t.connections {
		if l != nil {
			l.evictIdle()
		}
		l = newLink(d.cfg, t.address, t.connections)
		d.links[t.instance] = l
		for name, old := range d.links {
			if old != l && now.Sub(old.used) > linkRetention {
				old.evictIdle()
				delete(d.links, name)
			}
		}
	}
	l.used = now
	return l
}

// Close closes the connections; it is called after the last request ended.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		l.evictIdle()
		l.pooled.CloseIdleConnections() // gives up dials that no request waits for any more
	}
}

type idempotentKey struct{}

// WithIdempotent marks the requests of a context as idempotent, so that they may use pooled connections.
func WithIdempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentKey{}, true)
}

// Do sends one attempt to the target. The body of the response must be closed; reading it fails with ErrTruncated
// when the response ends before its framing says so. On an error, NotSent is certain. A request uses a new connection
// of its own unless the context was marked by WithIdempotent, because the HTTP transport silently repeats some
// requests on a reused connection.
func (d *Dispatcher) Do(ctx context.Context, t *Target, req *http.Request) (*http.Response, SendState, error) {
	return d.DoAttempt(ctx, &Attempt{}, t, req)
}

// DoAttempt is Do for an attempt that another goroutine may seal meanwhile.
func (d *Dispatcher) DoAttempt(
	ctx context.Context, a *Attempt, t *Target, req *http.Request,
) (*http.Response, SendState, error) {
	l := d.link(t)
	transport := l.dedicated
	if ctx.Value(idempotentKey{}) != nil {
		transport = l.pooled
	}
	for {
		var last *conn
		evicted := false
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			last, _ = info.Conn.(*conn) // the transport was built with such connections only
			evicted = last == nil || !last.take(a)
		}}
		out := req.Clone(httptrace.WithClientTrace(ctx, trace))
		out.URL.Scheme, out.URL.Host = "http", l.address
		resp, err := transport.RoundTrip(out)
		if err == nil {
			err = checkFraming(resp)
			if err == nil {
				resp.Body = &wholeBody{body: resp.Body, rest: func() { last.rest(a) }}
				return resp, MaybeSent, nil
			}
			_ = resp.Body.Close() // the response is unusable anyway
			return nil, MaybeSent, errorx.Decorate(err, "response of instance %s", t.instance)
		}
		// A connection that was evicted when the transport handed it out says nothing about the endpoint.
		if evicted && ctx.Err() == nil && a.state.Load() == attemptOpen && rewind(req) {
			continue
		}
		return nil, a.CancelUnsent(), errorx.Decorate(err, "send to instance %s", t.instance)
	}
}

// rewind makes the body of a request readable from its start again, if it can.
func rewind(req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	if req.GetBody == nil {
		return false
	}
	body, err := req.GetBody()
	req.Body = body
	return err == nil
}

// checkFraming refuses a response whose end can't be told from a broken connection, and a change of protocol.
func checkFraming(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errorx.UnsupportedOperation.New("endpoint switched protocols")
	}
	if resp.Request.Method == http.MethodHead {
		return nil
	}
	if resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked") {
		return ErrTruncated.New("response is framed by the end of the connection only")
	}
	return nil
}

// wholeBody reports a response that ends early as truncated.
type wholeBody struct {
	body io.ReadCloser
	rest func()
}

// Read reads from the response.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = ErrTruncated.Wrap(err, "response ended early")
	}
	return n, err
}

// Close closes the response and lets its connection rest.
func (b *wholeBody) Close() error {
	err := b.body.Close()
	b.rest()
	return err
}
