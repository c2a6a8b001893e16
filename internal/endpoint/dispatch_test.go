package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// rawServer listens on a TCP port and calls serve for each connection with its number, which starts at 1.
func rawServer(t *testing.T, serve func(n int, c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close() //nolint:errcheck // the peer may have closed it
				serve(n, c.(*net.TCPConn))
			})
		}
	})
	return l.Addr().String()
}

func readRequest(c net.Conn) bool {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func newTarget(address string, connections int) *Target {
	return &Target{instance: "i-0", address: address, connections: connections, release: func() {}}
}

func newRequest(t *testing.T, method, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, "http://endpoint/x", strings.NewReader(body))
	assert.NilError(t, err)
	return req
}

// Guards against NotSent for a request of which a byte was written, and against a truncated response that is treated as
// complete.
func TestSendStateAndTruncation(t *testing.T) {
	respond := func(text string) func(int, *net.TCPConn) {
		return func(_ int, c *net.TCPConn) {
			if readRequest(c) {
				_, _ = io.WriteString(c, text)
			}
		}
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	const head = "HTTP/1.1 200 OK\r\n"
	for _, tc := range []struct {
		name  string
		serve func(int, *net.TCPConn)
		state SendState
		fails bool // Do fails
		whole bool
	}{
		{"connection refused", nil, NotSent, true, false},
		{"reset before a byte is read", func(_ int, c *net.TCPConn) { resetConn(c) }, MaybeSent, true, false},
		{"reset after the request", func(_ int, c *net.TCPConn) { readRequest(c); resetConn(c) }, MaybeSent, true, false},
		{"no answer", respond(""), MaybeSent, true, false},
		{"cut status line", respond("HTTP/1.1 20"), MaybeSent, true, false},
		{"cut header", respond(head + "Content-Le"), MaybeSent, true, false},
		{"cut at byte 0", respond(head + "Content-Length: 10\r\n\r\n"), MaybeSent, false, false},
		{"cut in the middle", respond(head + "Content-Length: 10\r\n\r\n01234"), MaybeSent, false, false},
		{"cut before the last byte", respond(head + "Content-Length: 10\r\n\r\n012345678"), MaybeSent, false, false},
		{"whole", respond(head + "Content-Length: 10\r\n\r\n0123456789"), MaybeSent, false, true},
		{"empty", respond("HTTP/1.1 204 No Content\r\n\r\n"), MaybeSent, false, true},
		{"chunked", respond(head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n"), MaybeSent, false, true},
		{
			"chunked without terminator", respond(head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n"),
			MaybeSent, false, false,
		},
		{
			"chunked with a cut terminator", respond(head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n"),
			MaybeSent, false, false,
		},
		{"framed by close", respond(head + "\r\n0123456789"), MaybeSent, true, false},
		{"two lengths", respond(head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n01"), MaybeSent, true, false},
		{"oversized header", respond(head + "X: " + strings.Repeat("x", 1<<20) + "\r\n\r\n"), MaybeSent, true, false},
		{
			"other protocol", respond("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
			MaybeSent, true, false,
		},
	} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %t", tc.name, idempotent), func(t *testing.T) {
				address := closed.Addr().String()
				if tc.serve != nil {
					address = rawServer(t, tc.serve)
				}
				d := NewDispatcher(DispatcherConfig{})
				defer d.Close()
				ctx := t.Context()
				if idempotent {
					ctx = WithIdempotent(ctx)
				}
				resp, state, err := d.Do(ctx, newTarget(address, 4), newRequest(t, http.MethodPost, "body"))
				assert.Equal(t, err != nil, tc.fails, "%v", err)
				// A connection that is reset early can fail before or after the first write, so both states are correct.
				if tc.name != "reset before a byte is read" {
					assert.Equal(t, state, tc.state)
				}
				if err != nil {
					return
				}
				_, err = io.ReadAll(resp.Body)
				assert.NilError(t, resp.Body.Close())
				assert.Equal(t, err == nil, tc.whole, "%v", err)
				assert.Assert(t, err == nil || errorx.IsOfType(err, ErrTruncated))
			})
		}
	}
}

// Guards against non-idempotent requests that the HTTP transport silently repeats when the server closes a kept-alive
// connection as the next request arrives.
func TestTransportNeverRepeatsNonIdempotent(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	address := rawServer(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for k := 0; ; k++ {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			mu.Lock()
			seen[req.Header.Get("Hibiscusroute-Request-Id")]++
			mu.Unlock()
			if k > 0 {
				resetConn(c)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	d := NewDispatcher(DispatcherConfig{})
	defer d.Close()
	for n := range 200 {
		// net/http repeats requests without a body that have an idempotent method or an Idempotency-Key header.
		req := newRequest(t, []string{http.MethodGet, http.MethodDelete, http.MethodPost}[n%3], "")
		req.Body = http.NoBody
		req.Header.Set("Idempotency-Key", "k")
		ctx, id := t.Context(), fmt.Sprintf("n-%d", n)
		if n%2 == 0 {
			ctx, id = WithIdempotent(ctx), fmt.Sprintf("i-%d", n)
		}
		req.Header.Set("Hibiscusroute-Request-Id", id)
		if resp, _, err := d.Do(ctx, newTarget(address, 2), req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, resp.Body.Close())
		}
	}
	repeated := 0
	for id, n := range seen {
		if id[0] == 'n' {
			assert.Equal(t, n, 1, id)
		} else if n > 1 {
			repeated++
		}
	}
	assert.Assert(t, repeated > 0, "the transport repeated no idempotent request, so this test proves nothing")
}

// Guards against a request that is written after Do returned NotSent, when the deadline coincides with the first write.
func TestNotSentAtDeadline(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	seen := map[string]bool{}
	address := rawServer(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			mu.Lock()
			seen[req.Header.Get("Hibiscusroute-Request-Id")] = true
			mu.Unlock()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	d := NewDispatcher(DispatcherConfig{})
	defer d.Close()
	const n = 2000
	var notSent [n]atomic.Bool
	var wg sync.WaitGroup
	permits := make(chan struct{}, 8)
	for k := range n {
		wait := time.Duration(rnd.IntN(600)) * time.Microsecond
		permits <- struct{}{}
		wg.Go(func() {
			defer func() { <-permits }()
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			if k%2 == 0 {
				ctx = WithIdempotent(ctx)
			}
			req, err := http.NewRequest(http.MethodGet, "http://endpoint/x", nil)
			if err != nil {
				return
			}
			req.Header.Set("Hibiscusroute-Request-Id", fmt.Sprint(k))
			resp, state, err := d.Do(ctx, newTarget(address, 8), req)
			if err != nil {
				notSent[k].Store(state == NotSent)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		})
	}
	wg.Wait()
	time.Sleep(50 * time.Millisecond) // wait for late writes
	mu.Lock()
	defer mu.Unlock()
	count := 0
	for k := range n {
		if notSent[k].Load() {
			count++
			assert.Assert(t, !seen[fmt.Sprint(k)], "request %d was reported as not sent but arrived", k)
		}
	}
	t.Logf("%d of %d not sent, %d arrived", count, n, len(seen))
	assert.Assert(t, count > 0 && len(seen) > 0)
}

// Guards against a first write after CancelUnsent returned NotSent.
func TestCancelUnsentForbidsWrites(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		var arrived atomic.Bool
		address := rawServer(t, func(_ int, c *net.TCPConn) {
			if n, _ := c.Read(make([]byte, 1)); n > 0 {
				arrived.Store(true)
			}
		})
		a := &Attempt{}
		d := NewDispatcher(DispatcherConfig{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			assert.Check(t, a.CancelUnsent() == NotSent)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}})
		ctx := t.Context()
		if idempotent {
			ctx = WithIdempotent(ctx)
		}
		_, state, err := d.DoAttempt(ctx, a, newTarget(address, 2), newRequest(t, http.MethodPost, "body"))
		assert.Assert(t, err != nil)
		assert.Equal(t, state, NotSent)
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, !arrived.Load())
	}
}

// Guards against more connections to an instance than the limit of this process.
func TestConnectionsAreBounded(t *testing.T) {
	const limit = 3
	var open, maxOpen atomic.Int64
	address := rawServer(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	d := NewDispatcher(DispatcherConfig{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err // the transport cancels a dial when another connection becomes idle
		}
		for n := open.Add(1); ; {
			if old := maxOpen.Load(); n <= old || maxOpen.CompareAndSwap(old, n) {
				break
			}
		}
		return &countedConn{Conn: c, open: &open}, nil
	}})
	defer d.Close()
	var wg sync.WaitGroup
	permits := make(chan struct{}, limit)
	for k := range 300 {
		permits <- struct{}{}
		wg.Go(func() {
			defer func() { <-permits }()
			ctx := t.Context()
			if k%3 != 0 {
				ctx = WithIdempotent(ctx)
			}
			req, _ := http.NewRequest(http.MethodGet, "http://endpoint/x", nil)
			resp, _, err := d.Do(ctx, newTarget(address, limit), req)
			if !assert.Check(t, err) {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		})
	}
	wg.Wait()
	assert.Assert(t, maxOpen.Load() <= limit, "%d connections", maxOpen.Load())
}

type countedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
