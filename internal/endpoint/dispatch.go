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
	maxResponseHeaderBytes = 64 << 10
	idleConnTimeout        = 30 * time.Second
	// connPoolRetention is the time after which an unused connection pool is removed.
	connPoolRetention = 5 * time.Minute
)

// SendState tells whether any byte of a request may have reached an endpoint.
type SendState int

const (
	// NotSent means that no byte of the request was written to a connection.
	NotSent SendState = iota
	// MaybeSent means that at least one byte of the request was passed to a connection.
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
	// DialTimeout limits the time to connect; 0 uses 1 s.
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
	connPools map[string]*connPool // by instance name
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

// connPool returns the connection pool of the target. When the address or the connection limit of the target has
// changed, it creates a new pool and closes the idle connections of the old one.
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

// Close closes the connections. It must be called after the last request has ended.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.connPools {
		p.evictIdle()
		p.pooled.CloseIdleConnections() // cancels dials that no request waits for
	}
}

type idempotentKey struct{}

// WithIdempotent marks the requests of a context as idempotent, so that they may use pooled connections.
func WithIdempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentKey{}, true)
}

// Do sends a request to the target once. The caller must close the body of the response. Reading the body fails with
// ErrTruncated if the response ends earlier than its framing says. NotSent with an error guarantees that no byte was
// written. Each request uses a new connection unless the context was marked by WithIdempotent, because the HTTP
// transport silently repeats some requests on a reused connection.
func (d *Dispatcher) Do(ctx context.Context, t *Target, req *http.Request) (*http.Response, SendState, error) {
	return d.DoAttempt(ctx, &Attempt{}, t, req)
}

// DoAttempt is like Do, with an attempt that another goroutine may cancel concurrently.
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
			assigned, _ = info.Conn.(*conn) // the transport dials no other type
			evicted = assigned == nil || !assigned.assign(a)
		}}
		attemptReq := req.Clone(httptrace.WithClientTrace(ctx, trace))
		attemptReq.URL.Scheme, attemptReq.URL.Host = "http", p.address
		resp, err := transport.RoundTrip(attemptReq)
		if err == nil {
			err = checkFraming(resp)
			if err == nil {
				resp.Body = &responseBody{body: resp.Body, onClose: func() { assigned.markIdle(a) }}
				return resp, MaybeSent, nil
			}
			_ = resp.Body.Close() // the response is unusable anyway
			return nil, MaybeSent, errorx.Decorate(err, "response of instance %s", t.instance)
		}
		// The transport can return a connection just as it is evicted, which is no failure of the endpoint.
		if evicted && ctx.Err() == nil && a.state.Load() == attemptUnsent && rewindBody(req) {
			continue
		}
		return nil, a.CancelUnsent(), errorx.Decorate(err, "send to instance %s", t.instance)
	}
}

// rewindBody resets the body of a request to its start, and reports whether that was possible.
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

// checkFraming rejects protocol switches, and responses whose end can't be distinguished from a broken connection.
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

// responseBody returns ErrTruncated for a response that ends early.
type responseBody struct {
	body    io.ReadCloser
	onClose func()
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = ErrTruncated.Wrap(err, "response ended early")
	}
	return n, err
}

// Close closes the response and marks its connection as idle.
func (b *responseBody) Close() error {
	err := b.body.Close()
	b.onClose()
	return err
}
