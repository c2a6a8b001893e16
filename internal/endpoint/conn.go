package endpoint

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// Attempt is one try to send a request. It records whether a byte was written to a connection, and can be canceled
// before the first write. The zero value is an attempt of which nothing was written.
type Attempt struct{ state atomic.Int32 }

const (
	attemptUnsent = iota
	attemptWritten
	attemptCanceled
)

// allowWrite marks the attempt as written and reports whether bytes may be written for it.
func (a *Attempt) allowWrite() bool {
	return a.state.CompareAndSwap(attemptUnsent, attemptWritten) || a.state.Load() == attemptWritten
}

// CancelUnsent cancels the attempt unless a byte was written, and returns the resulting state. A transport goroutine
// that is about to write, for example at the deadline, can't write after NotSent was returned. After MaybeSent the
// attempt continues.
func (a *Attempt) CancelUnsent() SendState {
	if a.state.CompareAndSwap(attemptUnsent, attemptCanceled) || a.state.Load() == attemptCanceled {
		return NotSent
	}
	return MaybeSent
}

// conn is a connection to an endpoint that belongs to one attempt at a time.
type conn struct {
	net.Conn
	pool      *connPool
	closeOnce sync.Once

	mu      sync.Mutex
	attempt *Attempt // current or last attempt
	busy    bool
	evicted bool
}

// assign assigns the connection to an attempt. It returns false if the connection was evicted.
func (c *conn) assign(a *Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.attempt, c.busy = a, true
	return true
}

// markIdle marks the connection as idle, unless the transport has assigned it to another attempt since.
func (c *conn) markIdle(a *Attempt) {
	c.mu.Lock()
	idle := c.attempt == a
	if idle {
		c.busy = false
	}
	c.mu.Unlock()
	if idle {
		c.pool.notifyAvailable()
	}
}

// evict closes the connection if it is idle, so that it can't be assigned again.
func (c *conn) evict() {
	c.mu.Lock()
	idle := !c.busy && !c.evicted
	c.evicted = c.evicted || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close() // no request uses it
	}
}

// Write fails unless the connection is assigned to an attempt that may write.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	a, evicted := c.attempt, c.evicted
	c.mu.Unlock()
	if evicted || a == nil || !a.allowWrite() {
		return 0, errorx.IllegalState.New("write after the attempt was given up")
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from its pool.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.pool.remove(c) })
	return err
}

// connPool limits and holds the connections of this process to one endpoint.
type connPool struct {
	address   string
	dedicated *http.Transport // uses a new connection for each request
	pooled    *http.Transport // reuses idle connections
	lastUsed  time.Time       // guarded by the dispatcher's mutex

	mu        sync.Mutex
	limit     int
	open      int // connections that are open or being dialed
	conns     map[*conn]struct{}
	available chan struct{} // closed when a connection is closed or becomes idle
}

func newConnPool(cfg DispatcherConfig, address string, limit int) *connPool {
	p := &connPool{address: address, limit: limit, conns: map[*conn]struct{}{}, available: make(chan struct{})}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return p.dial(ctx, cfg, network, address)
	}
	p.dedicated = &http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableKeepAlives: true,
	}
	p.pooled = &http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		MaxIdleConnsPerHost: limit, MaxConnsPerHost: limit, IdleConnTimeout: idleConnTimeout,
	}
	return p
}

// dial connects to the endpoint. At the limit it closes idle pooled connections and waits until one is available.
func (p *connPool) dial(ctx context.Context, cfg DispatcherConfig, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		if p.open < p.limit {
			p.open++
			p.mu.Unlock()
			break
		}
		available := p.available
		p.mu.Unlock()
		p.evictIdle()
		select {
		case <-available:
		case <-ctx.Done():
			return nil, errorx.Decorate(ctx.Err(), "wait for one of %d connections to %s", p.limit, address)
		}
	}
	c, err := cfg.Dial(ctx, network, address)
	if err != nil {
		p.remove(nil)
		return nil, err
	}
	wrapped := &conn{Conn: c, pool: p}
	p.mu.Lock()
	p.conns[wrapped] = struct{}{}
	p.mu.Unlock()
	return wrapped, nil
}

// evictIdle closes the idle connections. CloseIdleConnections of the transport can't be used, because it also closes a
// connection whose response without a body was read but not yet returned, and that response would be lost.
func (p *connPool) evictIdle() {
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	for _, c := range conns {
		c.evict()
	}
}

// remove removes a connection from the pool. A nil connection is one that could not be dialed.
func (p *connPool) remove(c *conn) {
	p.mu.Lock()
	p.open--
	delete(p.conns, c)
	p.mu.Unlock()
	p.notifyAvailable()
}

// notifyAvailable wakes the goroutines that wait for a connection.
func (p *connPool) notifyAvailable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.available)
	p.available = make(chan struct{})
}
