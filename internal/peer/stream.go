package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxFrameBytes limits the size of a frame, so that a faulty peer can't exhaust the memory.
const maxFrameBytes = 1 << 20

// Stream carries protobuf frames in both directions. One Send and one Receive may run concurrently.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	// timeout limits each Send, which a peer that stopped reading would otherwise block forever.
	timeout          time.Duration
	tracked          *trackedConn
	stopContextWatch func() bool
}

func newStream(ctx context.Context, conn net.Conn, tracked *trackedConn, timeout time.Duration) *Stream {
	s := &Stream{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn), timeout: timeout, tracked: tracked}
	tracked.addStream(conn)
	s.stopContextWatch = context.AfterFunc(ctx, func() {
		interruptStream(conn)
		_ = conn.Close() // best-effort cleanup
	})
	return s
}

// Send writes one frame; it fails when the peer does not accept the frame within the write timeout.
func (s *Stream) Send(m proto.Message) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return errorx.Decorate(err, "set write deadline")
	}
	if _, err := protodelim.MarshalTo(s.w, m); err != nil {
		return errorx.Decorate(err, "send frame")
	}
	if err := s.w.Flush(); err != nil {
		return errorx.Decorate(err, "send frame")
	}
	return nil
}

// Receive reads one frame; it blocks until a frame arrives, the stream ends or its context is done.
func (s *Stream) Receive(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := opts.UnmarshalFrom(s.r, m); err != nil {
		return errorx.Decorate(err, "receive frame")
	}
	return nil
}

// watchCaller returns a context that ends when the peer closes the stream or sends anything more. Nothing else may receive
// from the stream, neither before stop is called nor afterwards.
func (s *Stream) watchCaller(ctx context.Context) (callCtx context.Context, stop func()) {
	callCtx, cancel := context.WithCancel(ctx)
	go func() {
		_, _ = s.r.ReadByte() // ends with an error when the stream does
		cancel()
	}()
	return callCtx, func() {
		cancel()
		_ = s.conn.SetReadDeadline(time.Unix(1, 0)) // fails on a closed stream only
	}
}

// Close ends the stream in both directions.
func (s *Stream) Close() error {
	s.stopContextWatch()
	s.tracked.removeStream(s.conn)
	return s.conn.Close()
}
