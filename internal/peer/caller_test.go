package peer

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/peer/peerpb"
)

// Guards against a handler that works on, and holds one of the session's streams, for a caller that has given up.
func TestHandlerEndsWithItsCaller(t *testing.T) {
	a, b := startTransport(t, "a", nil), startTransport(t, "b", nil)
	ended := make(chan struct{})
	b.handlers["wait"] = UnaryHandler(b, func(ctx context.Context, _ string, _ *peerpb.Hello) (proto.Message, error) {
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, a.Call(ctx, b.Address(), "wait", &peerpb.Hello{}, &peerpb.Hello{}) != nil)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the handler did not end")
	}
}

// Guards against a handler that is cut short while its caller waits.
func TestHandlerGoesOnWhileItsCallerWaits(t *testing.T) {
	a, b := startTransport(t, "a", nil), startTransport(t, "b", nil)
	b.handlers["wait"] = UnaryHandler(b, func(ctx context.Context, _ string, m *peerpb.Hello) (proto.Message, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(200 * time.Millisecond):
			return m, nil
		}
	})
	_, err := call(t, a, b, "wait", &peerpb.Hello{})
	assert.NilError(t, err)
}

// Guards against a call that passes for one that may have been handled although nothing was written to its connection.
func TestCallOnClosedConnectionIsNotSent(t *testing.T) {
	for _, closed := range []bool{false, true} {
		a, b := startTransport(t, "a", nil), startTransport(t, "b", nil)
		ctx, cancel := context.WithCancel(t.Context())
		s, err := a.Open(ctx, b.Address(), "echo")
		assert.NilError(t, err)
		if closed {
			assert.NilError(t, s.tracked.Close())
		} else {
			cancel() // The caller gives up.
		}
		err = a.callOn(ctx, s, b.Address(), "echo", &peerpb.Hello{}, &peerpb.Hello{})
		assert.Assert(t, errorx.IsOfType(err, ErrUnreachable), "%v", err)
		cancel()
	}
}
