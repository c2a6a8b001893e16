package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// link is the outgoing session to one address.
type link struct {
	mu      sync.Mutex
	session *yamux.Session
	retryAt time.Time
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close()
	}
}

// session returns the open session to an address, or dials one.
func (t *Transport) session(ctx context.Context, address string) (*yamux.Session, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, ErrUnreachable.New("transport is closed")
	}
	l, ok := t.links[address]
	if !ok {
		l = &link{}
		t.links[address] = l
	}
	t.mu.Unlock()

	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	if time.Now().Before(l.retryAt) {
		return nil, ErrUnreachable.New("last dial of %s failed; waiting before the next", address)
	}
	conn, err := t.dial(ctx, address)
	if err != nil {
		l.retryAt = time.Now().Add(dialPause)
		return nil, ErrUnreachable.Wrap(err, "dial %s", address)
	}
	session, err := yamux.Client(t.count(conn), sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, ErrUnreachable.Wrap(err, "start session to %s", address)
	}
	l.session = session
	return session, nil
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
		_ = conn.Close()
		return nil, err
	}
	tc := tls.Client(conn, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tc, nil
}
