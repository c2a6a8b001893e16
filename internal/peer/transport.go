package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer/peerpb"
)

const (
	// keepAliveInterval and writeTimeout limit the use of a silently lost connection to about 3 s. After a partition ends,
	// a new connection works immediately, whereas an old one may wait for a late TCP retransmission.
	keepAliveInterval = time.Second
	writeTimeout      = 2 * time.Second
	dialTimeout       = time.Second
	// redialDelay is the minimum time between a failed dial and the next one, so that frequent senders do not dial an
	// unreachable peer continuously.
	redialDelay = 200 * time.Millisecond
	// maxStreamsPerSession limits the number of streams that a peer may have open in a session.
	maxStreamsPerSession = 1024
)

// Namespace is the errorx namespace of this package.
var Namespace = errorx.NewNamespace("peer")

var (
	// ErrUnreachable reports a peer to which no stream could be opened; the request was not sent.
	ErrUnreachable = Namespace.NewType("unreachable")
	// ErrInterrupted reports a call that ended without an answer; the peer may have handled it.
	ErrInterrupted = Namespace.NewType("interrupted")
)

// Handler serves a stream that a peer opened; from is the name of the peer's process.
type Handler func(ctx context.Context, from string, s *Stream) error

// Config holds the settings of a transport.
type Config struct {
	// Name is the name of this process.
	Name string
	// Listener accepts connections of peers; Serve closes it.
	Listener net.Listener
	// TLS authenticates both sides; nil means unencrypted connections, which the settings allow on loopback only.
	TLS *tls.Config
	// Timestamp returns the hybrid logical clock for messages to peers, and ObserveTimestamp receives the clocks of peers;
	// both may be nil.
	Timestamp        func() uint64
	ObserveTimestamp func(stamp uint64)
	// Dial connects to an address; nil uses a net.Dialer. Tests replace it to simulate partitions.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Log receives rejected peers and failed streams.
	Log logr.Logger
}

// Transport opens streams to peers and serves the streams that peers open.
type Transport struct {
	cfg      Config
	handlers map[string]Handler
	sent     atomic.Uint64
	received atomic.Uint64

	mu               sync.Mutex
	clientSessions   map[string]*clientSession
	acceptedSessions map[*yamux.Session]struct{}
	closed           bool
}

// New builds a transport.
func New(cfg Config) (*Transport, error) {
	if cfg.Name == "" || cfg.Listener == nil {
		return nil, errorx.IllegalArgument.New("transport needs a name and a listener")
	}
	if cfg.Timestamp == nil {
		cfg.Timestamp = func() uint64 { return 0 }
	}
	if cfg.ObserveTimestamp == nil {
		cfg.ObserveTimestamp = func(uint64) {}
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return &Transport{
		cfg:              cfg,
		handlers:         map[string]Handler{},
		clientSessions:   map[string]*clientSession{},
		acceptedSessions: map[*yamux.Session]struct{}{},
	}, nil
}

// Handle registers the handler for a kind of stream; it must be called before Serve.
func (t *Transport) Handle(kind string, h Handler) { t.handlers[kind] = h }

// Address returns the address on which the transport accepts connections of peers.
func (t *Transport) Address() string { return t.cfg.Listener.Addr().String() }

// Bytes returns the number of bytes sent to and received from peers since the transport was built.
func (t *Transport) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// Serve accepts connections of peers until ctx is done or the transport is closed.
func (t *Transport) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.Close() }) // best-effort cleanup
	defer stop()
	for {
		conn, err := t.cfg.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || t.isClosed() {
				return nil
			}
			return errorx.Decorate(err, "accept peer")
		}
		go t.serveConn(ctx, conn)
	}
}

// Open opens a stream to the peer at an address; the stream ends when ctx is done.
func (t *Transport) Open(ctx context.Context, address, kind string) (*Stream, error) {
	session, tracked, err := t.sessionTo(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "open stream to %s", address)
	}
	s := newStream(ctx, conn, tracked, writeTimeout)
	if err := s.Send(&peerpb.Hello{Name: t.cfg.Name, Kind: kind, Stamp: t.cfg.Timestamp()}); err != nil {
		_ = s.Close() // best-effort cleanup
		return nil, ErrUnreachable.Wrap(err, "open stream to %s", address)
	}
	return s, nil
}

// Call sends one request to the peer at an address and waits for the response. It returns ErrUnreachable if the request
// was not sent, ErrInterrupted if the outcome is unknown, and otherwise the error of the handler.
func (t *Transport) Call(ctx context.Context, address, kind string, req, resp proto.Message) error {
	s, err := t.Open(ctx, address, kind)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // best-effort cleanup
	return t.callOn(ctx, s, address, kind, req, resp)
}

// callOn sends the request of a call on its stream and waits for the response.
func (t *Transport) callOn(ctx context.Context, s *Stream, address, kind string, req, resp proto.Message) error {
	if ctx.Err() != nil || s.tracked.isClosed() {
		return ErrUnreachable.New("connection to %s was closed before the call %s was sent", address, kind)
	}
	if err := s.Send(req); err != nil {
		return ErrInterrupted.Wrap(err, "call %s at %s", kind, address)
	}
	m := &peerpb.Response{}
	if err := s.Receive(m); err != nil {
		return ErrInterrupted.Wrap(err, "call %s at %s", kind, address)
	}
	t.cfg.ObserveTimestamp(m.Stamp)
	if err := decodeError(m); err != nil {
		return err
	}
	if err := proto.Unmarshal(m.Body, resp); err != nil {
		return ErrInterrupted.Wrap(err, "decode response of %s", kind)
	}
	return nil
}

// UnaryHandler returns a handler that answers the single request of a stream with the single response of h. The context of
// h ends when the caller closes the stream.
func UnaryHandler[T any, P interface {
	*T
	proto.Message
}](t *Transport, h func(ctx context.Context, from string, req P) (proto.Message, error)) Handler {
	return func(ctx context.Context, from string, s *Stream) error {
		req := P(new(T))
		if err := s.Receive(req); err != nil {
			return err
		}
		m := &peerpb.Response{Stamp: t.cfg.Timestamp()}
		callCtx, stop := s.watchCaller(ctx)
		resp, err := h(callCtx, from, req)
		gone := callCtx.Err()
		stop()
		if gone != nil {
			return errorx.Decorate(gone, "caller has gone")
		}
		if err != nil {
			encodeError(m, err)
		} else if m.Body, err = proto.Marshal(resp); err != nil {
			return errorx.Decorate(err, "encode response")
		}
		return s.Send(m)
	}
}

var transportErrors = []*errorx.Type{ErrUnreachable, ErrInterrupted}

// encodeError preserves the error types of this package in addition to those of commands, so that a handler that could
// not forward a request can tell the caller whether the request may have been handled.
func encodeError(m *peerpb.Response, err error) {
	for _, t := range transportErrors {
		if errorx.IsOfType(err, t) {
			m.ErrorKind, m.Error = t.FullName(), errorx.Cast(err).Message()
			return
		}
	}
	m.ErrorKind, m.Error = kernel.EncodeError(err)
}

func decodeError(m *peerpb.Response) error {
	for _, t := range transportErrors {
		if m.ErrorKind == t.FullName() {
			return t.New("%s", m.Error)
		}
	}
	return kernel.DecodeError(m.ErrorKind, m.Error)
}

// Close closes all sessions and stops accepting connections.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	sessions, accepted := t.clientSessions, t.acceptedSessions
	t.clientSessions, t.acceptedSessions = map[string]*clientSession{}, map[*yamux.Session]struct{}{}
	t.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
	for session := range accepted {
		_ = session.Close() // best-effort cleanup
	}
	return t.cfg.Listener.Close()
}

func (t *Transport) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

func (t *Transport) serveConn(ctx context.Context, conn net.Conn) {
	verify := func(string) error { return nil }
	if t.cfg.TLS != nil {
		tc := tls.Server(conn, t.cfg.TLS)
		hctx, cancel := context.WithTimeout(ctx, dialTimeout)
		err := tc.HandshakeContext(hctx)
		cancel()
		if err != nil {
			t.cfg.Log.Info("peer failed the TLS handshake", "address", conn.RemoteAddr().String(), "reason", err.Error())
			_ = conn.Close() // best-effort cleanup
			return
		}
		verify = func(name string) error { return verifyPeerName(tc.ConnectionState(), name) }
		conn = tc
	}
	tracked := t.trackConn(conn)
	session, err := yamux.Server(tracked, sessionConfig())
	if err != nil {
		_ = conn.Close() // best-effort cleanup
		return
	}
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		_ = session.Close() // best-effort cleanup
		return
	}
	t.acceptedSessions[session] = struct{}{}
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.acceptedSessions, session)
		t.mu.Unlock()
		_ = session.Close() // best-effort cleanup
	}()
	sctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := make(chan struct{}, maxStreamsPerSession)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		limit <- struct{}{}
		go func() {
			defer func() { <-limit }()
			t.serveStream(sctx, stream, tracked, verify)
		}()
	}
}

func (t *Transport) serveStream(
	ctx context.Context, conn net.Conn, tracked *trackedConn, verify func(name string) error,
) {
	s := newStream(ctx, conn, tracked, writeTimeout)
	defer func() { _ = s.Close() }() // best-effort cleanup
	hello := &peerpb.Hello{}
	if err := s.Receive(hello); err != nil {
		return
	}
	if err := verify(hello.Name); err != nil {
		t.cfg.Log.Info("peer certificate does not match the process name", "name", hello.Name, "reason", err.Error())
		return
	}
	t.cfg.ObserveTimestamp(hello.Stamp)
	h, ok := t.handlers[hello.Kind]
	if !ok {
		t.cfg.Log.Info("peer opened a stream of unknown kind", "name", hello.Name, "kind", hello.Kind)
		return
	}
	if err := h(ctx, hello.Name, s); err != nil {
		t.cfg.Log.V(1).Info("stream of peer ended", "name", hello.Name, "kind", hello.Kind, "reason", err.Error())
	}
}

func verifyPeerName(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return errorx.IllegalState.New("peer sent no certificate")
	}
	return state.PeerCertificates[0].VerifyHostname(name)
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// trackConn wraps a connection to count its bytes and to unblock its streams when it is closed.
func (t *Transport) trackConn(conn net.Conn) *trackedConn {
	return &trackedConn{Conn: conn, transport: t, streams: map[net.Conn]struct{}{}}
}

// trackedConn counts the bytes of a connection and tracks its streams.
type trackedConn struct {
	net.Conn
	transport *Transport
	coalescer frameCoalescer

	mu      sync.Mutex
	streams map[net.Conn]struct{}
	closed  bool
}

// addStream registers a stream, which Close unblocks.
func (c *trackedConn) addStream(stream net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[stream] = struct{}{}
	if c.closed {
		interruptStream(stream)
	}
}

// isClosed reports whether the connection was closed, so that nothing can be written to it.
func (c *trackedConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *trackedConn) removeStream(stream net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, stream)
}

// Close unblocks the calls of all streams before it closes the connection: in yamux, blocked calls spin from the time a
// session starts to close until the connection is closed, and on a single core this prevents the closing.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for stream := range c.streams {
		interruptStream(stream)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// interruptStream makes blocked and later reads and writes of a stream fail.
func interruptStream(stream net.Conn) {
	// Closing a yamux stream does not unblock a read; a deadline in the past does.
	_ = stream.SetDeadline(time.Unix(1, 0)) // fails on a closed stream only
}

func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transport.received.Add(uint64(n))
	return n, err
}

// Write returns len(p) unless the write fails, also when it delays a header. Only one goroutine of yamux calls it.
func (c *trackedConn) Write(p []byte) (int, error) {
	frame := c.coalescer.coalesce(p)
	if len(frame) == 0 {
		return len(p), nil
	}
	n, err := c.Conn.Write(frame)
	c.transport.sent.Add(uint64(n))
	if err != nil {
		return 0, err
	}
	return len(p), nil
}
