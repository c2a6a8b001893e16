package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/peer/peerpb"
)

// slowClose delays the closing of a connection, as when the goroutine that closes it is not scheduled.
type slowClose struct {
	net.Conn
	delay time.Duration
}

func (c slowClose) Close() error {
	time.Sleep(c.delay)
	return c.Conn.Close()
}

// Guards against a blocked call that spins from the end of its session until the connection is closed.
func TestReceiveEndsBeforeConnectionCloses(t *testing.T) {
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		return ln
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := New(Config{Name: "server", Listener: listen(), Log: logr.Discard()})
	assert.NilError(t, err)
	server.Handle("wait", func(ctx context.Context, _ string, _ *Stream) error {
		<-ctx.Done()
		return nil
	})
	go func() { _ = server.Serve(ctx) }()
	const closeDelay = 2 * time.Second
	client, err := New(Config{
		Name: "client", Listener: listen(), Log: logr.Discard(),
		Dial: func(ctx context.Context, a string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", a)
			return slowClose{conn, closeDelay}, err
		},
	})
	assert.NilError(t, err)
	s, err := client.Open(ctx, server.Address(), "wait")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Receive(&peerpb.Response{}) }()
	time.Sleep(50 * time.Millisecond)
	go func() { _ = client.Close() }()
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(closeDelay / 2):
		t.Fatal("the blocked call did not end before the connection was closed")
	}
}
