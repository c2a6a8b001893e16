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
	retryAt time.Time
}

func (s *clientSession) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil {
		_ = s.session.Close() // best-effort cleanup
	}
}

// sessionTo returns the session to an address and its connection. It dials the address if there is no open session.
func (t *Transport) sessionTo(ctx context.Context, address string) (*yamux.Session, *trackedConn, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, nil, ErrUnreachable.New("transport is closed")
	}
	s, ok := t.clientSessions[address]
	if !ok {
		s = &clientSession{}
		t.clientSessions[address] = s
	}
	t.mu.Unlock()

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil && !s.session.IsClosed() {
		return s.session, s.tracked, nil
	}
	if time.Now().Before(s.retryAt) {
		return nil, nil, ErrUnreachable.New("last dial of %s failed; waiting before the next", address)
	}
	conn, err := t.dial(ctx, address)
	if err != nil {
		s.retryAt = time.Now().Add(redialDelay)
		return nil, nil, ErrUnreachable.Wrap(err, "dial %s", address)
	}
	tracked := t.trackConn(conn)
	session, err := yamux.Client(tracked, sessionConfig())
	if err != nil {
		_ = conn.Close() // best-effort cleanup
		return nil, nil, ErrUnreachable.Wrap(err, "start session to %s", address)
	}
	s.session, s.tracked = session, tracked
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
