package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against limits that leave a process no room to work, or that are above those of its machine.
func TestLimitsAreDerivedFromTheProcess(t *testing.T) {
	for _, tt := range []struct {
		memoryMiB, descriptors int
		share                  float64
		want                   Limits
		waiting                int
	}{
		{184, 4100, 0.875, Limits{Bytes: 46 << 20, Connections: 3587}, 490},
		{408, 4096, 0.375, Limits{Bytes: 102 << 20, Connections: 1536}, 1088},
		{64, 100, 0.875, Limits{Bytes: 16 << 20, Connections: 68}, 170},
		{0, 20, 0.5, Limits{Connections: 1}, 0},
		{0, 0, 0.5, Limits{}, 0},
	} {
		l := NewLimits(tt.memoryMiB, tt.descriptors, tt.share)
		assert.Equal(t, l, tt.want)
		assert.Equal(t, l.waiting(), tt.waiting)
	}
}

// Guards against a gate that closes connections of others than the slowest and largest senders, or more than needed.
func TestSlowestAndLargestSendersGoFirst(t *testing.T) {
	for _, tt := range []struct {
		name               string
		bytes, connections int64
		want               []int
	}{
		{"nothing", 0, 0, nil},
		{"one", 1, 0, []int{2}},
		{"bytes", 300, 0, []int{2, 1}},
		{"connections", 0, 3, []int{2, 1, 0}},
		{"idle-ones-last", 1 << 20, 0, []int{2, 1, 0, 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			candidates := []candidate{
				{bytes: 200, age: time.Second}, {bytes: 100, age: 4 * time.Second}, {bytes: 250, age: 2 * time.Second},
				{idle: true, bytes: 900, age: time.Minute},
			}
			all := append([]candidate(nil), candidates...)
			var got []int
			for _, v := range selectVictims(candidates, tt.bytes, tt.connections) {
				for i := range all {
					if v == all[i] {
						got = append(got, i)
					}
				}
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// pipeListener hands out the server's ends of in-memory connections.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against exit paths that keep what a request or a connection took from the budgets, and against wrong responses to
// clients at the limits.
func TestEveryExitReturnsWhatItTook(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	for _, tt := range []struct {
		name, sent, want string
		limit            int64
	}{
		{"whole", post + "Content-Length: 3\r\n\r\nabc", "200", 1 << 20},
		{"chunked", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "200", 1 << 20},
		{"largest", post + "Content-Length: 30000\r\n\r\n" + strings.Repeat("x", 30000), "200", 1 << 20},
		{"too-large", post + "Transfer-Encoding: chunked\r\n\r\n7531\r\n" + strings.Repeat("x", 30001) + "\r\n0\r\n\r\n", "413", 1 << 20},
		{"declared-too-large", post + "Content-Length: 30001\r\n\r\n", "413", 1 << 20},
		{"long-header", post + "A: " + strings.Repeat("x", 15<<10) + "\r\n\r\n", "200", 1 << 20},
		{"oversized-header", post + "A: " + strings.Repeat("x", 21<<10) + "\r\n\r\n", "431", 1 << 20},
		{"late-body", post + "Content-Length: 3\r\n\r\nab", "408", 1 << 20},
		{"late-header", post, "", 1 << 20},
		{"no-room-for-the-header", post + "\r\n", "503", 36 << 10},
		{"no-room-for-the-body", post + "Content-Length: 30000\r\n\r\n" + strings.Repeat("x", 20000), "503", 52 << 10},
		{"no-room-to-handle", post + "Content-Length: 30000\r\n\r\n" + strings.Repeat("x", 30000), "503", 118 << 10},
		{"not-read", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab", "200", 1 << 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Config{Limits: Limits{Bytes: tt.limit, Connections: 8}})
				srv := &http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
				srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodGet {
						return
					}
					if _, err := ReadBody(w, r, 30000); err != nil {
						WriteError(w, err)
					}
				})
				g.Protect(srv, DefaultBodyTimeout)
				ln := pipeListener{make(chan net.Conn, 1)}
				client, server := net.Pipe()
				ln.conns <- server
				go func() { _ = srv.Serve(g.Listener(ln)) }() // ends with the listener
				time.Sleep(14 * time.Second)                  // a new connection may be idle for as long as a used one
				go func() { _, _ = io.WriteString(client, tt.sent) }()
				response, err := io.ReadAll(client)
				assert.Assert(t, err == nil || errors.Is(err, io.ErrClosedPipe))
				_, status, _ := strings.Cut(string(response), " ")
				assert.Equal(t, status[:min(3, len(status))], tt.want, "%s", response)
				assert.Equal(t, strings.Contains(string(response), "Retry-After"), tt.want == "503")
				assert.NilError(t, client.Close())
				close(ln.conns)
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.Equal(t, g.bytes.Load(), int64(0))
				assert.Equal(t, g.connections.Load(), int64(0))
				assert.Equal(t, g.leavingBytes.Load(), int64(0))
				assert.Equal(t, g.leavingConnections.Load(), int64(0))
			})
		})
	}
}

// Guards against a rejection of a request whose body is complete, which may have been accepted.
func TestCompleteRequestsAreNotRejected(t *testing.T) {
	g := New(Config{Limits: Limits{Connections: 2}})
	client, server := net.Pipe()
	defer func() { assert.NilError(t, client.Close()) }()
	c := g.admit(server)
	assert.Assert(t, c.beginRequest(true, 0))
	_, ok := c.candidate(time.Now())
	assert.Assert(t, ok)
	assert.Assert(t, c.endBody())
	_, ok = c.candidate(time.Now())
	assert.Assert(t, !ok)
	c.evict()
	assert.Assert(t, !c.rejected && !c.closed)
	assert.NilError(t, c.Close())
	assert.Equal(t, g.connections.Load(), int64(0))
}

// Guards against connections that are kept for good because their clients don't read the responses.
func TestUnreadResponsesEndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{})
		srv := &http.Server{ReadHeaderTimeout: 3 * time.Second, Handler: http.NotFoundHandler()}
		g.Protect(srv, DefaultBodyTimeout)
		ln := pipeListener{make(chan net.Conn, 1)}
		client, server := net.Pipe()
		ln.conns <- server
		go func() { _ = srv.Serve(g.Listener(ln)) }() // ends with the listener
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		assert.Equal(t, g.connections.Load(), int64(0))
		close(ln.conns)
	})
}

// Guards against a shutdown that waits for connections on which no request has begun.
func TestShutdownDoesNotWaitForNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{})
		srv := &http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		g.Protect(srv, DefaultBodyTimeout)
		ln := pipeListener{make(chan net.Conn, 1)}
		client, server := net.Pipe()
		defer func() { assert.NilError(t, client.Close()) }()
		ln.conns <- server
		go func() { _ = srv.Serve(g.Listener(ln)) }() // ends with the listener
		time.Sleep(time.Second)
		close(ln.conns)
		ctx, cancel := context.WithTimeout(t.Context(), 3100*time.Millisecond)
		defer cancel()
		assert.NilError(t, srv.Shutdown(ctx))
		assert.Equal(t, g.connections.Load(), int64(0))
	})
}

// Guards against a connection that the server begins to read after its shutdown has begun, which would wait for it.
func TestNewConnectionDuringShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{})
		srv := &http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		g.Protect(srv, DefaultBodyTimeout)
		client, server := net.Pipe()
		defer func() { assert.NilError(t, client.Close()) }()
		c := g.admit(server)
		srv.ConnContext(t.Context(), c)
		assert.NilError(t, srv.Shutdown(t.Context()))
		synctest.Wait()
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(srv.ReadHeaderTimeout)))
		began := time.Now()
		_, err := c.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, time.Since(began), srv.ReadHeaderTimeout)
		assert.NilError(t, c.Close())
	})
}

// Guards against a body that is read whole although only its beginning is wanted, or counted without a gate.
func TestBufferStopsAtTheLimit(t *testing.T) {
	for _, tt := range []struct {
		length int
		whole  bool
	}{{0, true}, {9, true}, {10, true}, {11, false}, {segmentBytes * 2, false}} {
		r := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(strings.NewReader(strings.Repeat("x", tt.length)), 1<<20))
		data, whole, release, err := Buffer(r, 10)
		assert.NilError(t, err)
		release()
		assert.Equal(t, whole, tt.whole)
		assert.Equal(t, len(data), min(tt.length, 11))
	}
}
