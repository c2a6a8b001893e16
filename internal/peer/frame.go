package peer

import "encoding/binary"

const (
	// frameHeader is the length of a header of yamux in bytes: version, type, flags, stream and length.
	frameHeader = 12
	// frameData is the type of a frame whose length is that of the body that follows.
	frameData = 0
)

// frames joins each header of yamux with its body, which come in calls of their own, into one write.
type frames struct {
	pending []byte
}

// next returns what is to be written now, nothing for a header whose body is still to come.
func (f *frames) next(p []byte) []byte {
	if len(f.pending) == 0 && len(p) == frameHeader && p[1] == frameData && binary.BigEndian.Uint32(p[8:]) > 0 {
		f.pending = append(f.pending, p...)
		return nil
	}
	if len(f.pending) == 0 {
		return p
	}
	f.pending = append(f.pending, p...)
	whole := f.pending
	f.pending = f.pending[:0]
	return whole
}
