package endpoint

import (
	"context"
	"net"
	"net/http"
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

// Seal forbids a first write from now on and reports the state. It settles the race with a transport goroutine that
// is about to write when the attempt ends, for instance at its deadline. After MaybeSent the attempt goes on.
func (a *Attempt) Seal() SendState {
	if a.state.CompareAndSwap(attemptOpen, attemptSealed) || a.state.Load() == attemptSealed {
		return NotSent
	}
	return MaybeSent
}

// conn is a connection to an endpoint that belongs to one attempt at a time.
type conn struct {
	net.Conn
	attempt atomic.Pointer[Attempt]
	once    sync.Once
	closed  func()
}

// Write refuses bytes unless the connection belongs to an attempt that may write.
func (c *conn) Write(p []byte) (int, error) {
	if a := c.attempt.Load(); a == nil || !a.write() {
		return 0, errorx.IllegalState.New("write after the attempt was given up")
	}
	return c.Conn.Write(p)
}

// Close closes the connection and gives its place free.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
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
	freed chan struct{}
}

func newLink(cfg DispatcherConfig, address string, limit int) *link {
	l := &link{address: address, limit: limit, freed: make(chan struct{})}
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
		l.pooled.CloseIdleConnections()
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errorx.Decorate(ctx.Err(), "wait for one of %d connections to %s", l.limit, address)
		}
	}
	c, err := cfg.Dial(ctx, network, address)
	if err != nil {
		l.free()
		return nil, err
	}
	return &conn{Conn: c, closed: l.free}, nil
}

func (l *link) free() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	close(l.freed)
	l.freed = make(chan struct{})
}
