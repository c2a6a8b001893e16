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
	for {
		s.mu.Lock()
		n := s.active
		s.mu.Unlock()
		if n == 0 {
			break
		}
		select {
		case <-s.idle:
		case <-ctx.Done():
			s.sched.close()
			return errorx.Decorate(errors.Join(ctx.Err(), s.server.Close()), "stop with %d requests in progress", n)
		}
	}
	s.sched.close()
	if err := s.server.Shutdown(ctx); err != nil {
		return errorx.Decorate(err, "close listener for callers")
	}
	return nil
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
