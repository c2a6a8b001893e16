package inbound

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connectionBytes is what an open connection occupies without a request: the stack of its goroutine, the buffers of
	// net/http for reading and writing, the connection itself, and what the kernel keeps until it is read.
	connectionBytes = 20<<10 + bufferFactor*initialBuffer
	// lineBytes is what a line of a header occupies besides its text; net/textproto counts the same for an entry.
	lineBytes = 200
	// newConnectionTimeout is the time in which a new connection must begin its first request, as far as the server
	// keeps idle connections that long. It equals the limit of the deployments for idle connections.
	newConnectionTimeout = 15 * time.Second
	// writeTimeout limits a write to a client that doesn't read, unless the server has set a deadline. The request of such
	// a client can't be rejected any more, so its connection would be kept for good.
	writeTimeout = 30 * time.Second
	// evictionTimeout limits the write of the response to a client that has to leave.
	evictionTimeout = 100 * time.Millisecond
)

// unavailable is the response to a request of which nothing was accepted.
var unavailable = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// phase is what a connection is used for.
type phase int

const (
	phaseNew    phase = iota // no byte was received yet
	phaseIdle                // the last request was answered
	phaseHeader              // a part of a header was received
	phaseBody                // the handler runs and the body is incomplete
	phaseRun                 // the handler runs and has the body
	phaseClosed              // closed by the gate
)

// phaseNames are the reasons in the metrics.
var phaseNames = [...]string{"new", "idle", "header", "body", "run", "closed"}

// conn is a connection of a client.
type conn struct {
	net.Conn
	gate *Gate

	// server and stopping are set before the first read, and nil for a server that the gate does not protect. stopping is
	// whether the server shuts down.
	server   *http.Server
	stopping *atomic.Bool

	mu    sync.Mutex // not held while the gate is charged; Gate.mu is taken before it
	phase phase
	since time.Time // start of the request, or of the wait for one
	// own is charged for the connection and the header of its request, held for bodies of the request.
	own, held int64
	grown     int64 // the part of own for a larger receive buffer
	// rejected is set if the body is not read any more, because another client needs the room.
	rejected, closed bool
	// answered is whether a response was sent, which the client may not have read.
	answered bool
	// ownWriteDeadline is whether the server has set the deadline of writes.
	ownWriteDeadline bool
	// bodyDeadline is whether the gate has set the deadline of reads.
	bodyDeadline bool
	// requestHold is released when the handler returns.
	requestHold int64
}

// Read implements net.Conn and charges what belongs to a header.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.chargeHeader(p[:n]) {
		return n, err
	}
	return 0, net.ErrClosed
}

func (c *conn) chargeHeader(data []byte) bool {
	c.mu.Lock()
	switch c.phase {
	case phaseNew, phaseIdle:
		first := c.phase == phaseNew
		c.phase, c.since = phaseHeader, time.Now()
		if first && c.server != nil && c.server.ReadHeaderTimeout > 0 {
			// A failure shows at the next read.
			_ = c.Conn.SetReadDeadline(c.since.Add(c.server.ReadHeaderTimeout))
		}
	case phaseHeader:
	case phaseClosed:
		c.mu.Unlock()
		return false
	default:
		c.mu.Unlock()
		return true // bodies are charged as they are kept
	}
	c.mu.Unlock()
	return c.chargeOwn(int64(len(data) + lineBytes*bytes.Count(data, []byte{'\n'})))
}

// chargeOwn charges bytes until the connection is idle or closed. It reports false if the connection is closed.
func (c *conn) chargeOwn(n int64) bool {
	if !c.gate.charge(n) {
		c.evict()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.gate.release(n)
		return false
	}
	c.own += n
	if c.rejected {
		c.gate.leavingBytes.Add(n)
	}
	return true
}

// hold charges n bytes for a body and reports whether there is room.
func (c *conn) hold(n int64) bool {
	if !c.gate.charge(n) {
		c.evict()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected || c.closed {
		c.gate.release(n)
		return false
	}
	c.held += n
	return true
}

// unhold releases n bytes of a body.
func (c *conn) unhold(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held -= n
	if c.rejected {
		c.gate.leavingBytes.Add(-n)
	}
	c.gate.release(n)
}

// beginRequest is called when a header is complete. It reports false if the connection was closed.
func (c *conn) beginRequest(hasBody bool, bodyTimeout time.Duration) bool {
	c.mu.Lock()
	pipelined := c.phase == phaseIdle // the header was received together with the request before
	if c.phase == phaseClosed || c.closed {
		c.mu.Unlock()
		return false
	}
	if pipelined {
		c.since = time.Now()
	}
	c.phase = phaseRun
	if hasBody {
		c.phase = phaseBody
		if bodyTimeout > 0 {
			c.bodyDeadline = true
			_ = c.Conn.SetReadDeadline(time.Now().Add(bodyTimeout)) // a failure shows at the next read
		}
	}
	c.mu.Unlock()
	return true
}

// endBody is called when the body is complete, or as far as the handler buffers it. It reports false if the body was
// rejected.
func (c *conn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected || c.closed {
		return false
	}
	c.phase = phaseRun
	if c.bodyDeadline {
		c.bodyDeadline = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // a failure shows at the next read
	}
	return true
}

// endRequest is called when the handler returns. The server may still read the rest of the body.
func (c *conn) endRequest() {
	c.mu.Lock()
	n := c.requestHold
	c.requestHold = 0
	c.mu.Unlock()
	if n > 0 {
		c.unhold(n)
	}
}

// becomeIdle is called when the response was sent and the connection waits for the next request.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.rejected {
		return
	}
	c.phase, c.since, c.bodyDeadline, c.answered = phaseIdle, time.Now(), false, true
	c.gate.release(c.own - connectionBytes - c.grown)
	c.own = connectionBytes + c.grown
}

// candidate describes the connection to the search for the slowest and largest senders. A request whose body is
// complete is not rejected any more, since it may have been accepted.
func (c *conn) candidate(now time.Time) (candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := candidate{conn: c, idle: c.phase == phaseIdle, bytes: c.own + c.held, age: now.Sub(c.since)}
	return v, !c.rejected && c.phase != phaseRun && c.phase != phaseClosed
}

// evict closes the connection, or rejects its request if a handler reads the body. It does nothing to a request whose
// body is complete.
func (c *conn) evict() {
	c.mu.Lock()
	if c.rejected || c.closed || c.phase == phaseRun || c.phase == phaseClosed {
		c.mu.Unlock()
		return
	}
	if c.phase == phaseBody {
		c.rejected = true
		c.gate.leavingBytes.Add(c.own + c.held)
		c.gate.leavingConnections.Add(1)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends the read of the handler, or the connection is broken
		c.mu.Unlock()
		return
	}
	reason := phaseNames[c.phase]
	respond, mayBlock := c.phase == phaseHeader, c.answered
	c.phase = phaseClosed
	c.mu.Unlock()
	c.gate.countClosed(reason)
	switch {
	case !respond:
		_ = c.Close() // nothing was received
	case mayBlock:
		go c.refuse()
	default:
		c.refuse()
	}
}

// refuse responds to a request of which nothing was accepted, and closes the connection.
func (c *conn) refuse() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(evictionTimeout)) // the connection is closed in any case
	_, _ = c.Conn.Write(unavailable)
	_ = c.Close() // the client has to send the request again
}

// isRejected reports whether the body is not read any more because another client needs the room.
func (c *conn) isRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

func (c *conn) inHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseHeader
}

// Close implements net.Conn and returns what was charged for the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	g := c.gate
	g.forget(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return err
	}
	c.closed = true
	if c.rejected {
		g.leavingBytes.Add(-c.own)
		g.leavingConnections.Add(-1)
	}
	g.release(c.own)
	g.buffers.Add(-c.grown)
	g.connections.Add(-1)
	return err
}

// CloseWrite lets the server end its side of the connection first.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Write implements net.Conn. It limits the time of a write, and counts responses to headers beyond the limit, which net/http writes by itself.
func (c *conn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("HTTP/1.1 431 ")) && c.inHeader() {
		c.gate.countRejected("header-size")
	}
	c.mu.Lock()
	own := c.ownWriteDeadline
	c.mu.Unlock()
	if !own {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a failure shows at the write
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn and leaves writes without a deadline of the server to the gate.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownWriteDeadline = !t.IsZero()
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. It leaves the deadline of a rejected request, and gives a new connection the time
// of an idle one to begin its first request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected {
		return os.ErrDeadlineExceeded
	}
	if c.phase == phaseNew && !t.IsZero() && c.server != nil && c.server.IdleTimeout > 0 && !c.stopping.Load() {
		if late := c.since.Add(min(c.server.IdleTimeout, newConnectionTimeout)); late.After(t) {
			t = late
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// expire ends the wait for the first request on a new connection of a server that shuts down, which waits for new
// connections. A connection that is younger than the time for a header keeps that time, as its request may be under way.
func (c *conn) expire(srv *http.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseNew && c.server == srv {
		_ = c.Conn.SetReadDeadline(c.since.Add(srv.ReadHeaderTimeout)) // fails if the connection is closed
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connOf returns the connection of a request, or nil if it doesn't count against a gate.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
