package inbound

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// MaxHeaderBytes limits the header of a request; net/http allows 4 KiB more. Longer ones are rejected with 431.
const MaxHeaderBytes = 16 << 10

// DefaultBodyTimeout is the time to send a body.
const DefaultBodyTimeout = 15 * time.Second

// Protect makes a server, whose other fields are set, observe the limits on the connections of the gate's listeners. A
// body must arrive within bodyTimeout, unless the handler sets another deadline; 0 means no limit.
func (g *Gate) Protect(srv *http.Server, bodyTimeout time.Duration) {
	srv.MaxHeaderBytes = MaxHeaderBytes
	stopping := &atomic.Bool{}
	handler, connState, connContext := srv.Handler, srv.ConnState, srv.ConnContext
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		if c, ok := nc.(*conn); ok {
			c.mu.Lock()
			c.server, c.stopping = srv, stopping
			c.mu.Unlock()
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	srv.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.becomeIdle()
		}
		if connState != nil {
			connState(nc, state)
		}
	}
	srv.RegisterOnShutdown(func() {
		stopping.Store(true) // also for connections that the server has accepted and not begun to read
		g.mu.Lock()
		defer g.mu.Unlock()
		for c := range g.conns {
			c.expire(srv)
		}
	})
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r.ContentLength != 0, bodyTimeout) {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		defer c.endRequest()
		c.growBuffer(r.ContentLength)
		handler.ServeHTTP(w, r)
	})
}
