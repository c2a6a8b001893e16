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
	attemptOpen = iota
	attemptWritten
	attemptSealed
)

// write reports whether a byte may be written for the attempt.
func (a *Attempt) write() bool {
	return a.state.CompareAndSwap(attemptOpen, attemptWritten) || a.state.Load() == attemptWritten
}

// CancelUnsent forbids a first write from now on and reports the state. It settles the race with a transport goroutine that
// is about to write when the attempt ends, for instance at its deadline. After MaybeSent the attempt goes on.
func (a *Attempt) CancelUnsent() SendState {
	if a.state.CompareAndSwap(attemptOpen, attemptSealed) || a.state.Load() == attemptSealed {
		return NotSent
	}
	return MaybeSent
}

// conn is a connection to an endpoint that belongs to one attempt at a time.
type conn struct {
	net.Conn
	link *link
	once sync.Once

	mu      sync.Mutex
	attempt *Attempt // the current or last one
	busy    bool
	evicted bool
}

// take assigns the connection to an attempt; it is false when the connection was evicted.
func (c *conn) take(a *Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.attempt, c.busy = a, true
	return true
}

// rest marks the connection as idle, unless the transport gave it to another attempt meanwhile.
func (c *conn) rest(a *Attempt) {
	c.mu.Lock()
	idle := c.attempt == a
	if idle {
		c.busy = false
	}
	c.mu.Unlock()
	if idle {
		c.link.signal()
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
	if evicted || a == nil || !a.write() {
		return 0, errorx.IllegalState.New("write after the attempt was given up")
	}
	return c.Conn.Write(p)
}

// Close closes the connection and gives its place free.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.link.remove(c) })
	return err
}

// link holds the connections of this process to one endpoint.
type link struct {
	address   string
	dedicated *http.Transport
	pooled    *http.Transport
	used      time.Time // guarded by the dispatcher's mutex

	mu    sync.Mutex
	limit int
	open  int
	conns map[*conn]struct{}
	freed chan struct{} // closed when a connection was closed or became idle
}

func newLink(cfg DispatcherConfig, address string, limit int) *link {
	l := &link{address: address, limit: limit, conns: map[*conn]struct{}{}, freed: make(chan struct{})}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return l.dial(ctx, cfg, network, address)
	}
	l.dedicated = &http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader, DisableKeepAlives: true,
	}
	l.pooled = &http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader,
		MaxIdleConnsPerHost: limit, MaxConnsPerHost: limit, IdleConnTimeout: idleTimeout,
	}
	return l
}

// dial connects once a place within the limit is free; idle pooled connections give way.
func (l *link) dial(ctx context.Context, cfg DispatcherConfig, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
	defer cancel()
	for {
		l.mu.Lock()
		if l.open < l.limit {
			l.open++
			l.mu.Unlock()
			break
		}
		freed := l.freed
		l.mu.Unlock()
		l.evictIdle()
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errorx.Decorate(ctx.Err(), "wait for one of %d connections to %s", l.limit, address)
		}
	}
	c, err := cfg.Dial(ctx, network, address)
	if err != nil {
		l.remove(nil)
		return nil, err
	}
	made := &conn{Conn: c, link: l}
	l.mu.Lock()
	l.conns[made] = struct{}{}
	l.mu.Unlock()
	return made, nil
}

// evictIdle closes the idle connections. CloseIdleConnections of the transport is of no use here: it also closes a
// connection whose response without a body was read but not yet handed over, and the response is lost.
func (l *link) evictIdle() {
	l.mu.Lock()
	list := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range list {
		c.evict()
	}
}

// remove gives the place of a connection free; nil stands for one that was not made.
func (l *link) remove(c *conn) {
	l.mu.Lock()
	l.open--
	delete(l.conns, c)
	l.mu.Unlock()
	l.signal()
}

func (l *link) signal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.freed)
	l.freed = make(chan struct{})
}
