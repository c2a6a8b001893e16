package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/peer/peerpb"
)

// newDialer returns a transport that dials with the given function.
func newDialer(t *testing.T, dial func(ctx context.Context, address string) (net.Conn, error)) *Transport {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tr, err := New(Config{Name: "dialer", Listener: ln, Dial: dial, Log: logr.Discard()})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = tr.Close() }) // The test may have closed it.
	return tr
}

// echo calls the peer at an address and returns how long that took.
func echo(tr *Transport, address string, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	begin := time.Now()
	err := tr.Call(ctx, address, "echo", &peerpb.Hello{Kind: "x"}, &peerpb.Hello{})
	return time.Since(begin), err
}

// Guards against a call that waits longer than its context allows because another call dials the same silent peer.
func TestCallEndsWithItsContextWhileOtherDials(t *testing.T) {
	dialing := make(chan struct{}, 1)
	tr := newDialer(t, func(ctx context.Context, _ string) (net.Conn, error) {
		dialing <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	first := make(chan error, 1)
	go func() {
		_, err := echo(tr, "silent", 5*time.Second)
		first <- err
	}()
	<-dialing
	took, err := echo(tr, "silent", 100*time.Millisecond)
	assert.Assert(t, errorx.IsOfType(err, ErrUnreachable), "%v", err)
	assert.Assert(t, took < dialTimeout/2, "a call with a timeout of 100 ms took %s", took)
	assert.Assert(t, errorx.IsOfType(<-first, ErrUnreachable))
}

// Guards against a caller with little time left whose dial fails for all others, which then wait before the next one.
func TestShortCallLeavesDialToOthers(t *testing.T) {
	const latency = 100 * time.Millisecond
	server := startTransport(t, "server", nil)
	var dials atomic.Int32
	tr := newDialer(t, func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(latency):
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	})
	_, err := echo(tr, server.Address(), latency/5)
	assert.Assert(t, errorx.IsOfType(err, ErrUnreachable), "%v", err)
	failed := make(chan error)
	const others = 8
	for range others {
		go func() {
			_, err := echo(tr, server.Address(), 5*time.Second)
			failed <- err
		}()
	}
	for range others {
		assert.Check(t, <-failed)
	}
	assert.Equal(t, dials.Load(), int32(1))
}

// Guards against a dial that outlives its transport, and against a session that such a dial leaves open.
func TestCloseEndsDial(t *testing.T) {
	dialing, ended := make(chan struct{}), make(chan struct{})
	tr := newDialer(t, func(ctx context.Context, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	called := make(chan error, 1)
	go func() {
		_, err := echo(tr, "silent", 5*time.Second)
		called <- err
	}()
	<-dialing
	begin := time.Now()
	assert.NilError(t, tr.Close())
	<-ended
	assert.Assert(t, errorx.IsOfType(<-called, ErrUnreachable))
	assert.Assert(t, time.Since(begin) < dialTimeout/2, "closing took %s", time.Since(begin))
}
