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

// maxFrame bounds one frame in bytes, so that a faulty peer can't exhaust memory.
const maxFrame = 1 << 20

// Stream carries protobuf frames in both directions; Send and Receive may run at the same time, but not twice each.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	// timeout bounds each Send, because a peer that stopped reading would block it forever.
	timeout time.Duration
	carrier *countedConn
	stop    func() bool
}

func newStream(ctx context.Context, conn net.Conn, carrier *countedConn, timeout time.Duration) *Stream {
	s := &Stream{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn), timeout: timeout, carrier: carrier}
	carrier.add(conn)
	s.stop = context.AfterFunc(ctx, func() {
		interrupt(conn)
		_ = conn.Close() // it is given up
	})
	return s
}

// Send writes one frame; it fails when the peer does not take it in time.
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

// Receive reads one frame; it blocks until one arrives, the stream ends or its context is done.
func (s *Stream) Receive(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	if err := opts.UnmarshalFrom(s.r, m); err != nil {
		return errorx.Decorate(err, "receive frame")
	}
	return nil
}

// Close ends the stream in both directions.
func (s *Stream) Close() error {
	s.stop()
	s.carrier.remove(s.conn)
	return s.conn.Close()
}
