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
	// keepAlive and writeTimeout bound how long a silently lost connection is used: about 3 s. A new connection
	// works at once after a partition ends, while an old one may wait for a late TCP retransmission.
	keepAlive    = time.Second
	writeTimeout = 2 * time.Second
	dialTimeout  = time.Second
	// dialPause keeps frequent senders from dialling an unreachable peer without end.
	dialPause = 200 * time.Millisecond
	// maxHandlers bounds the streams that one peer may have open at once.
	maxHandlers = 1024
)

// Namespace is the errorx namespace of this package.
var Namespace = errorx.NewNamespace("peer")

var (
	// ErrUnreachable reports a peer to which no stream could be opened; the request was not sent.
	ErrUnreachable = Namespace.NewType("unreachable")
	// ErrInterrupted reports a call that ended without an answer; the peer may have handled it.
	ErrInterrupted = Namespace.NewType("interrupted")
)

// Handler serves one stream that a peer opened; from is the name of the peer's process.
type Handler func(ctx context.Context, from string, s *Stream) error

// Config holds the settings of a transport.
type Config struct {
	// Name is the name of this process.
	Name string
	// Listener accepts connections of peers; Serve closes it.
	Listener net.Listener
	// TLS authenticates both sides; nil leaves connections plain, which settings allow on loopback only.
	TLS *tls.Config
	// Timestamp and Observe pass the hybrid logical clock along; both may be nil.
	Timestamp        func() uint64
	ObserveTimestamp func(stamp uint64)
	// Dial connects to an address; nil uses a net.Dialer. Tests cut links with it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  logr.Logger
}

// Transport opens streams to peers and serves those that peers open.
type Transport struct {
	cfg      Config
	handlers map[string]Handler
	sent     atomic.Uint64
	received atomic.Uint64

	mu       sync.Mutex
	links    map[string]*link
	accepted map[*yamux.Session]struct{}
	closed   bool
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
		cfg:      cfg,
		handlers: map[string]Handler{},
		links:    map[string]*link{},
		accepted: map[*yamux.Session]struct{}{},
	}, nil
}

// Handle sets the handler of a kind of stream; it must be called before Serve.
func (t *Transport) Handle(kind string, h Handler) { t.handlers[kind] = h }

// Address returns the address on which peers are accepted.
func (t *Transport) Address() string { return t.cfg.Listener.Addr().String() }

// Bytes returns the bytes sent to and received from peers since the start.
func (t *Transport) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// Serve accepts peers until ctx is done.
func (t *Transport) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.Close() }) // it is given up
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

// Open opens a long stream to the peer at an address; it ends with ctx.
func (t *Transport) Open(ctx context.Context, address, kind string) (*Stream, error) {
	session, carrier, err := t.session(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "open stream to %s", address)
	}
	s := newStream(ctx, conn, carrier, writeTimeout)
	if err := s.Send(&peerpb.Hello{Name: t.cfg.Name, Kind: kind, Stamp: t.cfg.Timestamp()}); err != nil {
		_ = s.Close() // it is given up
		return nil, ErrUnreachable.Wrap(err, "open stream to %s", address)
	}
	return s, nil
}

// Call sends one request to the peer at an address and waits for the response. It fails with ErrUnreachable when the
// request was not sent, with ErrInterrupted when the outcome is unknown, and else with the error of the handler.
func (t *Transport) Call(ctx context.Context, address, kind string, req, resp proto.Message) error {
	s, err := t.Open(ctx, address, kind)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // it is given up
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

// UnaryHandler makes a handler of a function that answers one request with one response.
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
		resp, err := h(ctx, from, req)
		if err != nil {
			encodeError(m, err)
		} else if m.Body, err = proto.Marshal(resp); err != nil {
			return errorx.Decorate(err, "encode response")
		}
		return s.Send(m)
	}
}

var ownErrors = []*errorx.Type{ErrUnreachable, ErrInterrupted}

// encodeError keeps the types of this package besides those of commands: a handler that could not pass a request on
// tells the caller whether the request may have been handled.
func encodeError(m *peerpb.Response, err error) {
	for _, t := range ownErrors {
		if errorx.IsOfType(err, t) {
			m.ErrorKind, m.Error = t.FullName(), errorx.Cast(err).Message()
			return
		}
	}
	m.ErrorKind, m.Error = kernel.EncodeError(err)
}

func decodeError(m *peerpb.Response) error {
	for _, t := range ownErrors {
		if m.ErrorKind == t.FullName() {
			return t.New("%s", m.Error)
		}
	}
	return kernel.DecodeError(m.ErrorKind, m.Error)
}

// Close ends all sessions and stops accepting peers.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	links, accepted := t.links, t.accepted
	t.links, t.accepted = map[string]*link{}, map[*yamux.Session]struct{}{}
	t.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	for session := range accepted {
		_ = session.Close() // it is given up
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
			_ = conn.Close() // it is given up
			return
		}
		verify = func(name string) error { return verifyName(tc.ConnectionState(), name) }
		conn = tc
	}
	carrier := t.count(conn)
	session, err := yamux.Server(carrier, sessionConfig())
	if err != nil {
		_ = conn.Close() // it is given up
		return
	}
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		_ = session.Close() // it is given up
		return
	}
	t.accepted[session] = struct{}{}
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.accepted, session)
		t.mu.Unlock()
		_ = session.Close() // it is given up
	}()
	sctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := make(chan struct{}, maxHandlers)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		limit <- struct{}{}
		go func() {
			defer func() { <-limit }()
			t.serveStream(sctx, stream, carrier, verify)
		}()
	}
}

func (t *Transport) serveStream(ctx context.Context, conn net.Conn, carrier *countedConn, verify func(name string) error) {
	s := newStream(ctx, conn, carrier, writeTimeout)
	defer func() { _ = s.Close() }() // it is given up
	hello := &peerpb.Hello{}
	if err := s.Receive(hello); err != nil {
		return
	}
	if err := verify(hello.Name); err != nil {
		t.cfg.Log.Info("peer is not the process it names", "name", hello.Name, "reason", err.Error())
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

func verifyName(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return errorx.IllegalState.New("peer sent no certificate")
	}
	return state.PeerCertificates[0].VerifyHostname(name)
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// count wraps a connection so that its bytes are counted and its streams are woken when it closes.
func (t *Transport) count(conn net.Conn) *countedConn {
	return &countedConn{Conn: conn, t: t, streams: map[net.Conn]struct{}{}}
}

type countedConn struct {
	net.Conn
	t      *Transport
	frames frames

	mu      sync.Mutex
	streams map[net.Conn]struct{}
	closed  bool
}

// add registers a stream of the connection.
func (c *countedConn) add(stream net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[stream] = struct{}{}
	if c.closed {
		interrupt(stream)
	}
}

func (c *countedConn) remove(stream net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, stream)
}

// Close ends the blocked calls of all streams before it closes the connection: yamux lets them spin from the begin of a
// session's end until the connection is closed, and on one core that keeps the connection from being closed.
func (c *countedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for stream := range c.streams {
		interrupt(stream)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// interrupt makes blocked and later reads and writes of a stream fail.
func interrupt(stream net.Conn) {
	// Closing a yamux stream does not wake a blocked read; a deadline in the past does.
	_ = stream.SetDeadline(time.Unix(1, 0)) // It fails on a closed stream only.
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.received.Add(uint64(n))
	return n, err
}

// Write is called by one goroutine of yamux. It reports the length that it was given unless the write fails.
func (c *countedConn) Write(p []byte) (int, error) {
	whole := c.frames.next(p)
	if len(whole) == 0 {
		return len(p), nil
	}
	n, err := c.Conn.Write(whole)
	c.t.sent.Add(uint64(n))
	if err != nil {
		return 0, err
	}
	return len(p), nil
}
