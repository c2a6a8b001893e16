package inbound

import (
	"context"
	"net"
	"syscall"

	"github.com/joomcode/errorx"
)

const (
	// initialBuffer is the size of the kernel's receive buffer of a connection on which no large body was sent. A listener
	// hands it on to its connections, which fill it even before they are accepted.
	initialBuffer = 6 << 10
	// bufferFactor is how much of the size that was set for a receive buffer Linux fills at most.
	bufferFactor = 2
	// bufferShare is the share of the limit of bytes that the connections waiting at one listener may occupy, and that all
	// larger receive buffers may add.
	bufferShare = 0.125
)

// ProbeConnections is the number of connections that may wait at a listener for probes, metrics or operators, which few call.
const ProbeConnections = 64

// Listen opens a TCP listener at which at most the given number of connections wait to be accepted; 0 derives the number
// from the limits of the gate.
func (g *Gate) Listen(address string, waiting int) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Set before the first client can connect, since a connection keeps the size that the listener had then.
		g.setOption(raw, address, func(fd int) error {
			return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, initialBuffer)
		})
		return nil
	}}
	cfg.SetMultipathTCP(false) // its sockets have further buffers
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errorx.Decorate(err, "listen on %s", address)
	}
	if waiting == 0 {
		waiting = g.cfg.Limits.waiting()
	}
	if tcp, ok := ln.(*net.TCPListener); ok && waiting > 0 {
		raw, err := tcp.SyscallConn()
		if err != nil {
			_ = ln.Close() // nothing was accepted
			return nil, errorx.Decorate(err, "limit the queue of connections on %s", address)
		}
		// The net package uses the limit of the operating system; a further call replaces it.
		g.setOption(raw, address, func(fd int) error { return syscall.Listen(fd, waiting) })
	}
	return ln, nil
}

// setOption sets an option of a socket. Without it the process may exceed its memory, but serves.
func (g *Gate) setOption(raw syscall.RawConn, address string, set func(fd int) error) {
	var err error
	if controlErr := raw.Control(func(fd uintptr) { err = set(int(fd)) }); controlErr != nil {
		err = controlErr
	}
	if err != nil {
		g.cfg.Log.Error(err, "failed to limit the buffers of a socket", "address", address)
	}
}

// waiting returns how many connections may wait at a listener, or 0 for no limit.
func (l Limits) waiting() int { return int(l.buffers() / (bufferFactor * initialBuffer)) }

// buffers returns how many bytes larger receive buffers may add, or 0 for no limit.
func (l Limits) buffers() int64 { return int64(bufferShare * float64(l.Bytes)) }

// takeBuffer charges n bytes for a larger receive buffer and reports whether there is room. It closes no connections, as
// bodies also arrive without.
func (g *Gate) takeBuffer(n int64) bool {
	l := g.cfg.Limits
	if sum := g.buffers.Add(n); l.Bytes > 0 && (sum > l.buffers() || g.bytes.Load()+n > threshold(l.Bytes)) {
		g.buffers.Add(-n)
		return false
	}
	g.bytes.Add(n)
	return true
}

// growBuffer enlarges the kernel's receive buffer for a body of the given length, which is negative if unknown. Without
// room the body only arrives more slowly. The buffer stays until the connection is closed, since the client may fill what
// was offered to it at any time.
func (c *conn) growBuffer(length int64) {
	g := c.gate
	n := int64(bufferFactor * (g.cfg.ReceiveBuffer - initialBuffer))
	if length >= 0 && length <= initialBuffer || n <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sock, ok := c.Conn.(syscall.Conn)
	if !ok || c.grown > 0 || c.rejected || c.closed {
		return
	}
	raw, err := sock.SyscallConn()
	if err != nil || !g.takeBuffer(n) {
		return // without an open connection the next read fails
	}
	c.own += n
	c.grown = n
	g.setOption(raw, c.RemoteAddr().String(), func(fd int) error { return enlarge(fd, g.cfg.ReceiveBuffer) })
}

// enlarge sets the size of a receive buffer. One that is larger, of a listener with other settings, is left, as clients that
// use it already would wait for the next window probe.
func enlarge(fd, size int) error {
	if n, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF); err != nil || n >= bufferFactor*size {
		return err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, size); err != nil {
		return err
	}
	// Some kernels keep the limit of the window that followed from the size at the start of the connection.
	return syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, size)
}
