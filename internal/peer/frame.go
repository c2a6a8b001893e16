package peer

import "encoding/binary"

const (
	// frameHeaderBytes is the size of a yamux frame header: version, type, flags, stream ID and length.
	frameHeaderBytes = 12
	// frameTypeData is the type of a data frame; its length field is the size of the body that follows the header.
	frameTypeData = 0
)

// frameCoalescer joins each yamux header with its body into one write, because yamux passes them in separate calls.
type frameCoalescer struct {
	pending []byte
}

// coalesce returns the bytes to write now; there are none for a header whose body follows in the next call.
func (f *frameCoalescer) coalesce(p []byte) []byte {
	if len(f.pending) == 0 && len(p) == frameHeaderBytes && p[1] == frameTypeData && binary.BigEndian.Uint32(p[8:]) > 0 {
		f.pending = append(f.pending, p...)
		return nil
	}
	if len(f.pending) == 0 {
		return p
	}
	f.pending = append(f.pending, p...)
	frame := f.pending
	f.pending = f.pending[:0]
	return frame
}
