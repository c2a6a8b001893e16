package endpoint

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
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

// attempt decides between the first write to a connection and the conclusion that nothing was written.
type attempt struct{ state atomic.Int32 }

const (
	attemptOpen = iota
	attemptWritten
	attemptSealed
)

// write reports whether a byte may be written for the attempt.
func (a *attempt) write() bool {
	return a.state.CompareAndSwap(attemptOpen, attemptWritten) || a.state.Load() == attemptWritten
}

// seal forbids any later write and reports the state; it settles races with a write that is about to start.
func (a *attempt) seal() SendState {
	if a.state.CompareAndSwap(attemptOpen, attemptSealed) || a.state.Load() == attemptSealed {
		return NotSent
	}
	return MaybeSent
}

// conn is a connection to an endpoint that belongs to one attempt at a time.
type conn struct {
	net.Conn
	attempt atomic.Pointer[attempt]
}

// Write refuses bytes unless the connection belongs to an attempt that may still write.
func (c *conn) Write(p []byte) (int, error) {
	if a := c.attempt.Load(); a == nil || !a.write() {
		return 0, errorx.IllegalState.New("write after the attempt was given up")
	}
	return c.Conn.Write(p)
}

// DispatcherConfig holds the settings of a dispatcher.
type DispatcherConfig struct {
	// Processes returns the number of hibiscusroute processes among which connections are divided.
	Processes func() int
	// DialTimeout bounds the time to connect; 0 uses 1 s.
	DialTimeout time.Duration
	// Dial connects to an endpoint; nil uses a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dispatcher sends attempts to endpoints; it is safe for concurrent use.
type Dispatcher struct {
	cfg       DispatcherConfig
	dedicated *http.Transport
	pooled    *http.Transport
}

// NewDispatcher builds a dispatcher.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	d := &Dispatcher{cfg: cfg}
	d.dedicated = &http.Transport{DialContext: d.dial, DisableKeepAlives: true, DisableCompression: true}
	d.pooled = &http.Transport{DialContext: d.dial, DisableCompression: true}
	return d
}

func (d *Dispatcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.DialTimeout)
	defer cancel()
	c, err := d.cfg.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

type idempotentKey struct{}

// WithIdempotent marks the requests of a context as idempotent, so that they may use pooled connections.
func WithIdempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentKey{}, true)
}

// Do sends one attempt to the target. The body of the response must be closed. On an error, NotSent is certain.
// Requests use a connection of their own unless the context was marked by WithIdempotent.
func (d *Dispatcher) Do(ctx context.Context, t *Target, req *http.Request) (*http.Response, SendState, error) {
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.attempt.Store(a)
		}
	}}
	transport := d.dedicated
	if ctx.Value(idempotentKey{}) != nil {
		transport = d.pooled
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.URL.Scheme, req.URL.Host = "http", t.address
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, a.seal(), errorx.Decorate(err, "send to instance %s", t.instance)
	}
	return resp, MaybeSent, nil
}
