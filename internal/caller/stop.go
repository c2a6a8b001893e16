package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
)

// rejectTimeout is the time to reject the requests that still wait when the context of Stop ends.
const rejectTimeout = 500 * time.Millisecond

// Serve accepts connections from callers until Stop. It closes connections above MaxConnections at once.
func (s *Server) Serve(l net.Listener) error {
	l = &boundedListener{
		Listener: l, sem: make(chan struct{}, s.cfg.MaxConnections), refusedConns: s.metrics.refusedConns,
	}
	if err := s.server.Serve(s.cfg.Inbound.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
		return errorx.Decorate(err, "serve callers")
	}
	return nil
}

// Stop shuts the server down gracefully. It fails the readiness check and accepts requests for StopDelay, in which the
// load balancer takes the process out of rotation. Then it rejects new requests as not run, waits for the accepted ones
// and closes. When the context ends first, it rejects the waiting requests as not run and returns an error with the
// number of requests in progress.
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

// trackUnusedConn records the connections on which no request has begun.
func (s *Server) trackUnusedConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unusedConns[c] = struct{}{}
	} else {
		delete(s.unusedConns, c)
	}
}

// closeUnusedConns closes connections that callers opened in advance; Shutdown would wait 5 s for them.
func (s *Server) closeUnusedConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unusedConns {
		_ = c.Close() // nothing was read or written
	}
}

// awaitIdle waits until no request is in progress and returns 0. When the context ends first, it returns the number of
// requests in progress.
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

// boundedListener limits the number of open connections and closes further ones.
type boundedListener struct {
	net.Listener
	sem          chan struct{}
	refusedConns *metrics.Counter
}

// Accept returns the next connection within the limit.
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

// boundedConn is a connection that counts against the limit of its listener.
type boundedConn struct {
	net.Conn
	once sync.Once
	sem  chan struct{}
}

// Close closes the connection and releases its place in the limit.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.sem })
	return err
}

// SyscallConn implements syscall.Conn.
func (c *boundedConn) SyscallConn() (syscall.RawConn, error) {
	sock, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sock.SyscallConn()
}

// CloseWrite lets the server end its side of the connection first.
func (c *boundedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
