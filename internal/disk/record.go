package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
)

// Record types; the zero byte is none, so that a hole in a file is never a record.
const (
	recordIdentity       = 1
	recordSegment        = 2
	recordBatch          = 3
	recordSnapshot       = 4
	recordSnapshotData   = 5
	recordSnapshotFinish = 6
)

const (
	// recordHeader is the length and the CRC-32C of the payload, the type, the sequence number and the CRC-32C of these.
	recordHeader = headerFields + 4
	headerFields = 4 + 4 + 1 + 8
	// maxPayload bounds what a damaged length can make the reader allocate or scan.
	maxPayload = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	kind    byte
	seq     uint64
	payload []byte
}

// appendRecord encodes a record.
func appendRecord(buf []byte, r record) ([]byte, error) {
	if len(r.payload) > maxPayload {
		return nil, errorx.IllegalArgument.New("record of %d bytes exceeds %d bytes", len(r.payload), maxPayload)
	}
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r.payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(r.payload, castagnoli))
	buf = append(buf, r.kind)
	buf = binary.LittleEndian.AppendUint64(buf, r.seq)
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
	return append(buf, r.payload...), nil
}

// encodeMessage encodes a record with a message.
func encodeMessage(kind byte, seq uint64, m proto.Message) ([]byte, error) {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errorx.Decorate(err, "encode record")
	}
	return appendRecord(nil, record{kind: kind, seq: seq, payload: payload})
}

// parseHeader decodes the header at the start of buf and returns the record without its payload.
func parseHeader(buf []byte) (r record, length int, ok bool) {
	if len(buf) < recordHeader ||
		binary.LittleEndian.Uint32(buf[headerFields:]) != crc32.Checksum(buf[:headerFields], castagnoli) {
		return record{}, 0, false
	}
	n := binary.LittleEndian.Uint32(buf)
	return record{kind: buf[8], seq: binary.LittleEndian.Uint64(buf[9:])}, int(n), n <= maxPayload && buf[8] != 0
}

// parseRecord decodes the record at the start of buf; n is its encoded length. The payload aliases buf.
func parseRecord(buf []byte) (r record, n int, ok bool) {
	r, length, ok := parseHeader(buf)
	n = recordHeader + length
	if !ok || n > len(buf) {
		return record{}, 0, false
	}
	r.payload = buf[recordHeader:n]
	if binary.LittleEndian.Uint32(buf[4:]) != crc32.Checksum(r.payload, castagnoli) {
		return record{}, 0, false
	}
	return r, n, true
}

// laterRecord reports whether buf contains a record header with a sequence number above seq, at any position. Headers
// have a checksum of their own, because a checksum of the payload at each position took 10 s for a segment of 4 MiB with
// a payload that resembles headers.
func laterRecord(buf []byte, seq uint64) bool {
	for i := range buf {
		if r, _, ok := parseHeader(buf[i:]); ok && r.seq > seq && r.seq-seq <= uint64(len(buf)) {
			return true
		}
	}
	return false
}
