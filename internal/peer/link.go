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
	carrier *countedConn
	retryAt time.Time
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close() // it is given up
	}
}

// session returns the open session to an address with its connection, or dials one.
func (t *Transport) session(ctx context.Context, address string) (*yamux.Session, *countedConn, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, nil, ErrUnreachable.New("transport is closed")
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
		return l.session, l.carrier, nil
	}
	if time.Now().Before(l.retryAt) {
		return nil, nil, ErrUnreachable.New("last dial of %s failed; waiting before the next", address)
	}
	conn, err := t.dial(ctx, address)
	if err != nil {
		l.retryAt = time.Now().Add(dialPause)
		return nil, nil, ErrUnreachable.Wrap(err, "dial %s", address)
	}
	carrier := t.count(conn)
	session, err := yamux.Client(carrier, sessionConfig())
	if err != nil {
		_ = conn.Close() // it is given up
		return nil, nil, ErrUnreachable.Wrap(err, "start session to %s", address)
	}
	l.session, l.carrier = session, carrier
	return session, carrier, nil
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
		_ = conn.Close() // it is given up
		return nil, err
	}
	tc := tls.Client(conn, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // it is given up
		return nil, err
	}
	return tc, nil
}
