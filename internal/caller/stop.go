package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
)

// rejectTimeout is the time to answer the requests that still waited when the time to stop was over.
const rejectTimeout = 500 * time.Millisecond

// Serve accepts connections of callers until Stop; connections above the bound are closed at once.
func (s *Server) Serve(l net.Listener) error {
	l = &boundedListener{Listener: l, sem: make(chan struct{}, s.cfg.MaxConnections), refusedConns: s.metrics.refusedConns}
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errorx.Decorate(err, "serve callers")
	}
	return nil
}

// Stop shuts down gracefully: it fails the readiness check, accepts work for the stop delay so that the load balancer
// can move away, then rejects new work as not run, lets accepted work finish and closes. When the context ends first,
// waiting requests are rejected as not run and the error says how many requests still run.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	select {
	case <-time.After(s.cfg.StopDelay):
	case <-ctx.Done():
	}
	s.rejecting.Store(true)
	if n := s.awaitIdle(ctx); n > 0 {
		s.scheduler.close()
		rejectCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), rejectTimeout)
		defer cancel()
		err := ctx.Err()
		if s.server.Shutdown(rejectCtx) != nil {
			err = errors.Join(err, s.server.Close())
		}
		return errorx.Decorate(err, "stop with %d requests in progress", n)
	}
	s.scheduler.close()
	s.closeUnusedConns()
	if err := s.server.Shutdown(ctx); err != nil {
		return errorx.Decorate(err, "close listener for callers")
	}
	return nil
}

// trackUnusedConn keeps track of connections on which no request has begun.
func (s *Server) trackUnusedConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unusedConns[c] = struct{}{}
	} else {
		delete(s.unusedConns, c)
	}
}

// closeUnusedConns closes connections that callers opened in advance, for which Shutdown would wait 5 s.
func (s *Server) closeUnusedConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unusedConns {
		_ = c.Close() // nothing was read or written
	}
}

// awaitIdle waits until no request is in progress and returns how many were when the context ended.
func (s *Server) awaitIdle(ctx context.Context) int {
	for {
		s.mu.Lock()
		n := s.active
		s.mu.Unlock()
		if n == 0 {
			return 0
		}
		select {
		case <-s.idle:
		case <-ctx.Done():
			return n
		}
	}
}

// boundedListener bounds the open connections.
type boundedListener struct {
	net.Listener
	sem          chan struct{}
	refusedConns *metrics.Counter
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.sem <- struct{}{}:
			return &boundedConn{Conn: c, sem: l.sem}, nil
		default:
			l.refusedConns.Inc()
			_ = c.Close() // nothing was read or written
		}
	}
}

type boundedConn struct {
	net.Conn
	once sync.Once
	sem  chan struct{}
}

// Close closes the connection and gives its place free.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.sem })
	return err
}
