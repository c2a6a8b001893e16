package inbound

import (
	"context"
	"net"
	"syscall"

	"github.com/joomcode/errorx"
)

const (
	// bufferFactor is how much of the size that was set for a receive buffer Linux fills at most.
	bufferFactor = 2
	// bufferShare is the share of the limit of bytes that the connections waiting at one listener may occupy.
	bufferShare = 0.125
)

// ProbeConnections is the number of waiting connections for a listener that only the operator's tools call.
const ProbeConnections = 64

// Listen opens a TCP listener at which at most the given number of connections wait to be accepted; 0 derives the number
// from the limits of the gate.
func (g *Gate) Listen(address string, waiting int) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Set before the first client can connect, since a connection keeps the size that the listener had then.
		g.control(raw, address, func(fd int) error {
			return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.cfg.ReceiveBuffer)
		})
		return nil
	}}
	cfg.SetMultipathTCP(false) // its sockets have further buffers
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errorx.Decorate(err, "listen on %s", address)
	}
	if waiting == 0 {
		waiting = g.waiting()
	}
	if tcp, ok := ln.(*net.TCPListener); ok && waiting > 0 {
		raw, err := tcp.SyscallConn()
		if err != nil {
			return nil, errorx.Decorate(err, "limit the queue of connections on %s", address)
		}
		// The net package uses the limit of the operating system; a further call replaces it.
		g.control(raw, address, func(fd int) error { return syscall.Listen(fd, waiting) })
	}
	return ln, nil
}

// control sets an option of a socket. Without it the process may exceed its memory, but serves.
func (g *Gate) control(raw syscall.RawConn, address string, set func(fd int) error) {
	var err error
	if controlErr := raw.Control(func(fd uintptr) { err = set(int(fd)) }); controlErr != nil {
		err = controlErr
	}
	if err != nil {
		g.cfg.Log.Error(err, "failed to limit the buffers of a socket", "address", address)
	}
}

// waiting returns how many connections may wait at a listener, or 0 for no limit.
func (g *Gate) waiting() int {
	return int(bufferShare * float64(g.cfg.Limits.Bytes) / float64(bufferFactor*g.cfg.ReceiveBuffer))
}
