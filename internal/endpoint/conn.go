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

// Attempt decides between the first write to a connection and the conclusion that nothing was written. Its zero value
// is an attempt that has not started.
type Attempt struct{ state atomic.Int32 }

const (
	attemptUnsent = iota
	attemptWritten
	attemptCanceled
)

// allowWrite reports whether a byte may be written for the attempt.
func (a *Attempt) allowWrite() bool {
	return a.state.CompareAndSwap(attemptUnsent, attemptWritten) || a.state.Load() == attemptWritten
}

// CancelUnsent forbids a first write from now on and reports the state. It settles the race with a transport goroutine that
// is about to write when the attempt ends, for instance at its deadline. After MaybeSent the attempt goes on.
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
	attempt *Attempt // the current or last one
	busy    bool
	evicted bool
}

// assign assigns the connection to an attempt; it is false when the connection was evicted.
func (c *conn) assign(a *Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.attempt, c.busy = a, true
	return true
}

// markIdle marks the connection as idle, unless the transport gave it to another attempt meanwhile.
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

// evict closes the connection if it is idle.
func (c *conn) evict() {
	c.mu.Lock()
	idle := !c.busy && !c.evicted
	c.evicted = c.evicted || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close() // no request is on it
	}
}

// Write refuses bytes unless the connection belongs to an attempt that may write.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	a, evicted := c.attempt, c.evicted
	c.mu.Unlock()
	if evicted || a == nil || !a.allowWrite() {
		return 0, errorx.IllegalState.New("write after the attempt was given up")
	}
	return c.Conn.Write(p)
}

// Close closes the connection and gives its place free.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.pool.remove(c) })
	return err
}

// connPool holds the connections of this process to one endpoint.
type connPool struct {
	address   string
	dedicated *http.Transport
	pooled    *http.Transport
	lastUsed  time.Time // guarded by the dispatcher's mutex

	mu        sync.Mutex
	limit     int
	open      int
	conns     map[*conn]struct{}
	available chan struct{} // closed when a connection was closed or became idle
}

func newConnPool(cfg DispatcherConfig, address string, limit int) *connPool {
	p := &connPool{address: address, limit: limit, conns: map[*conn]struct{}{}, available: make(chan struct{})}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return p.dial(ctx, cfg, network, address)
	}
	p.dedicated = &http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes, DisableKeepAlives: true,
	}
	p.pooled = &http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		MaxIdleConnsPerHost: limit, MaxConnsPerHost: limit, IdleConnTimeout: idleConnTimeout,
	}
	return p
}

// dial connects once a place within the limit is free; idle pooled connections give way.
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
		freed := p.available
		p.mu.Unlock()
		p.evictIdle()
		select {
		case <-freed:
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

// evictIdle closes the idle connections. CloseIdleConnections of the transport is of no use here: it also closes a
// connection whose response without a body was read but not yet handed over, and the response is lost.
func (p *connPool) evictIdle() {
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	for _, c := range conns {
		c.evict()
	}
}

// remove gives the place of a connection free; nil stands for one that was not made.
func (p *connPool) remove(c *conn) {
	p.mu.Lock()
	p.open--
	delete(p.conns, c)
	p.mu.Unlock()
	p.notifyAvailable()
}

func (p *connPool) notifyAvailable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.available)
	p.available = make(chan struct{})
}
