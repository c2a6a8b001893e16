package main

import (
	"io"
	"net"
	"sync/atomic"
)

// proxy forwards connections. Once it is silent, the bytes of answers are not delivered any more, and connections stay open.
type proxy struct {
	listener net.Listener
	target   string
	silent   atomic.Bool
}

// startProxy starts a proxy on a loopback address.
func (r *rig) startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	r.onStop(func() { _ = l.Close() }) // closed at the end of the program in any case
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }() // Nothing is left to be sent.
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }() // Nothing is left to be sent.
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(s, c) // ends with either connection
		_ = s.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := s.Read(buffer)
		if err != nil {
			if p.silent.Load() {
				<-gone // The end of the connection isn't delivered either.
			}
			return
		}
		if p.silent.Load() {
			continue
		}
		if _, err := c.Write(buffer[:n]); err != nil {
			return
		}
	}
}
