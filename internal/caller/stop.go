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

// rejectTime is the time to answer the requests that still waited when the time to stop was over.
const rejectTime = 500 * time.Millisecond

// Serve accepts connections of callers until Stop; connections above the bound are closed at once.
func (s *Server) Serve(l net.Listener) error {
	l = &boundedListener{Listener: l, places: make(chan struct{}, s.cfg.MaxConnections), refused: s.stat.refused}
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
	s.refusing.Store(true)
	if n := s.await(ctx); n > 0 {
		s.sched.close()
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), rejectTime)
		defer cancel()
		err := ctx.Err()
		if s.server.Shutdown(late) != nil {
			err = errors.Join(err, s.server.Close())
		}
		return errorx.Decorate(err, "stop with %d requests in progress", n)
	}
	s.sched.close()
	s.closeUnused()
	if err := s.server.Shutdown(ctx); err != nil {
		return errorx.Decorate(err, "close listener for callers")
	}
	return nil
}

// noteState keeps track of connections on which no request has begun.
func (s *Server) noteState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[c] = struct{}{}
	} else {
		delete(s.unused, c)
	}
}

// closeUnused closes connections that callers opened in advance, for which Shutdown would wait 5 s.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unused {
		_ = c.Close() // nothing was read or written
	}
}

// await waits until no request is in progress and returns how many were when the context ended.
func (s *Server) await(ctx context.Context) int {
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
	places  chan struct{}
	refused *metrics.Counter
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.places <- struct{}{}:
			return &boundedConn{Conn: c, places: l.places}, nil
		default:
			l.refused.Inc()
			_ = c.Close() // nothing was read or written
		}
	}
}

type boundedConn struct {
	net.Conn
	once   sync.Once
	places chan struct{}
}

// Close closes the connection and gives its place free.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.places })
	return err
}
