package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// clientSession holds the outgoing session to one address.
type clientSession struct {
	mu      sync.Mutex
	session *yamux.Session
	tracked *trackedConn
	dial    *dial // in progress, or nil
	retryAt time.Time
	closed  bool
}

// dial is an attempt to start a session. It belongs to no caller, so that callers with little time left don't make it
// fail for others. The other fields are set once done is closed.
type dial struct {
	cancel  context.CancelFunc
	done    chan struct{}
	session *yamux.Session
	tracked *trackedConn
	err     error
}

func (s *clientSession) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.dial != nil {
		s.dial.cancel()
	}
	if s.session != nil {
		_ = s.session.Close() // best-effort cleanup
	}
}

// sessionTo returns the session to an address and its connection. If there is no open session, it waits for a dial of
// the address until ctx is done.
func (t *Transport) sessionTo(ctx context.Context, address string) (*yamux.Session, *trackedConn, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, nil, errClosed()
	}
	s, ok := t.clientSessions[address]
	if !ok {
		s = &clientSession{}
		t.clientSessions[address] = s
	}
	t.mu.Unlock()

	s.mu.Lock()
	if s.session != nil && !s.session.IsClosed() {
		defer s.mu.Unlock()
		return s.session, s.tracked, nil
	}
	d, err := t.joinDial(s, address)
	s.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	select {
	case <-d.done:
		return d.session, d.tracked, d.err
	case <-ctx.Done():
		return nil, nil, ErrUnreachable.Wrap(ctx.Err(), "dial %s", address)
	}
}

// joinDial returns the dial of an address that is in progress, or starts one. The caller holds s.mu.
func (t *Transport) joinDial(s *clientSession, address string) (*dial, error) {
	switch {
	case s.closed:
		return nil, errClosed()
	case s.dial != nil:
		return s.dial, nil
	case time.Now().Before(s.retryAt):
		return nil, ErrUnreachable.New("last dial of %s failed; waiting before the next", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &dial{cancel: cancel, done: make(chan struct{})}
	s.dial = d
	go t.runDial(ctx, s, d, address)
	return d, nil
}

func (t *Transport) runDial(ctx context.Context, s *clientSession, d *dial, address string) {
	defer close(d.done)
	defer d.cancel()
	d.session, d.tracked, d.err = t.startSession(ctx, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dial = nil
	switch {
	case d.err != nil:
		s.retryAt = time.Now().Add(redialDelay)
	case s.closed:
		_ = d.session.Close() // best-effort cleanup
		d.err = errClosed()
	default:
		s.session, s.tracked = d.session, d.tracked
	}
}

func errClosed() error { return ErrUnreachable.New("transport is closed") }

func (t *Transport) startSession(ctx context.Context, address string) (*yamux.Session, *trackedConn, error) {
	conn, err := t.dial(ctx, address)
	if err != nil {
		return nil, nil, ErrUnreachable.Wrap(err, "dial %s", address)
	}
	tracked := t.trackConn(conn)
	session, err := yamux.Client(tracked, sessionConfig())
	if err != nil {
		_ = conn.Close() // best-effort cleanup
		return nil, nil, ErrUnreachable.Wrap(err, "start session to %s", address)
	}
	return session, tracked, nil
}

func (t *Transport) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := t.cfg.Dial(ctx, address)
	if err != nil || t.cfg.TLS == nil {
		return conn, err
	}
	cfg := t.cfg.TLS.Clone()
	if cfg.ServerName, _, err = net.SplitHostPort(address); err != nil {
		_ = conn.Close() // best-effort cleanup
		return nil, err
	}
	tc := tls.Client(conn, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // best-effort cleanup
		return nil, err
	}
	return tc, nil
}
