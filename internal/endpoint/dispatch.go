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
	// maxResponseHeaderBytes bounds the header of a response in bytes.
	maxResponseHeaderBytes = 64 << 10
	// idleConnTimeout closes pooled connections without traffic.
	idleConnTimeout = 30 * time.Second
	// connPoolRetention is the time after which an unused link is dropped.
	connPoolRetention = 5 * time.Minute
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

	mu        sync.Mutex
	connPools map[string]*connPool
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
	return &Dispatcher{cfg: cfg, connPools: map[string]*connPool{}}
}

// connPool returns the connections to the target; a new address gets a new connPool and closes the old idle connections.
func (d *Dispatcher) connPool(t *Target) *connPool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	p := d.connPools[t.instance]
	if p == nil || p.address != t.address || p.limit != t.connections {
		if p != nil {
			p.evictIdle()
		}
		p = newConnPool(d.cfg, t.address, t.connections)
		d.connPools[t.instance] = p
		for name, old := range d.connPools {
			if old != p && now.Sub(old.lastUsed) > connPoolRetention {
				old.evictIdle()
				delete(d.connPools, name)
			}
		}
	}
	p.lastUsed = now
	return p
}

// Close closes the connections; it is called after the last request ended.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.connPools {
		p.evictIdle()
		p.pooled.CloseIdleConnections() // gives up dials that no request waits for any more
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
	p := d.connPool(t)
	transport := p.dedicated
	if ctx.Value(idempotentKey{}) != nil {
		transport = p.pooled
	}
	for {
		var assigned *conn
		evicted := false
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			assigned, _ = info.Conn.(*conn) // the transport was built with such connections only
			evicted = assigned == nil || !assigned.assign(a)
		}}
		out := req.Clone(httptrace.WithClientTrace(ctx, trace))
		out.URL.Scheme, out.URL.Host = "http", p.address
		resp, err := transport.RoundTrip(out)
		if err == nil {
			err = checkFraming(resp)
			if err == nil {
				resp.Body = &responseBody{body: resp.Body, onClose: func() { assigned.markIdle(a) }}
				return resp, MaybeSent, nil
			}
			_ = resp.Body.Close() // the response is unusable anyway
			return nil, MaybeSent, errorx.Decorate(err, "response of instance %s", t.instance)
		}
		// A connection that was evicted when the transport handed it out says nothing about the endpoint.
		if evicted && ctx.Err() == nil && a.state.Load() == attemptUnsent && rewindBody(req) {
			continue
		}
		return nil, a.CancelUnsent(), errorx.Decorate(err, "send to instance %s", t.instance)
	}
}

// rewindBody makes the body of a request readable from its start again, if it can.
func rewindBody(req *http.Request) bool {
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

// responseBody reports a response that ends early as truncated.
type responseBody struct {
	body    io.ReadCloser
	onClose func()
}

// Read reads from the response.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = ErrTruncated.Wrap(err, "response ended early")
	}
	return n, err
}

// Close closes the response and lets its connection rest.
func (b *responseBody) Close() error {
	err := b.body.Close()
	b.onClose()
	return err
}
