package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
)

// Record types. Zero is not a valid type, so that a zero-filled part of a file is never read as a record.
const (
	recordIdentity       = 1
	recordSegment        = 2
	recordBatch          = 3
	recordSnapshot       = 4
	recordSnapshotData   = 5
	recordSnapshotFinish = 6
)

const (
	// recordHeaderBytes is the size of a record header: the header fields and their CRC-32C.
	recordHeaderBytes = headerFieldsBytes + 4
	// headerFieldsBytes is the size of the payload length, the payload CRC-32C, the type and the sequence number.
	headerFieldsBytes = 4 + 4 + 1 + 8
	// maxPayloadBytes limits how much a corrupt length field can make the reader allocate or scan.
	maxPayloadBytes = 64 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	kind    byte
	seq     uint64
	payload []byte
}

// appendRecord appends the encoding of a record to buf.
func appendRecord(buf []byte, r record) ([]byte, error) {
	if len(r.payload) > maxPayloadBytes {
		return nil, errorx.IllegalArgument.New("record of %d bytes exceeds %d bytes", len(r.payload), maxPayloadBytes)
	}
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r.payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(r.payload, crcTable))
	buf = append(buf, r.kind)
	buf = binary.LittleEndian.AppendUint64(buf, r.seq)
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[start:], crcTable))
	return append(buf, r.payload...), nil
}

// encodeMessage encodes a record whose payload is m.
func encodeMessage(kind byte, seq uint64, m proto.Message) ([]byte, error) {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errorx.Decorate(err, "encode record")
	}
	return appendRecord(nil, record{kind: kind, seq: seq, payload: payload})
}

// parseHeader decodes the record header at the start of buf; length is that of the payload, which is not decoded.
func parseHeader(buf []byte) (r record, length int, ok bool) {
	if len(buf) < recordHeaderBytes ||
		binary.LittleEndian.Uint32(buf[headerFieldsBytes:]) != crc32.Checksum(buf[:headerFieldsBytes], crcTable) {
		return record{}, 0, false
	}
	n := binary.LittleEndian.Uint32(buf)
	return record{kind: buf[8], seq: binary.LittleEndian.Uint64(buf[9:])}, int(n), n <= maxPayloadBytes && buf[8] != 0
}

// parseRecord decodes the record at the start of buf; n is its encoded length. The payload aliases buf.
func parseRecord(buf []byte) (r record, n int, ok bool) {
	r, length, ok := parseHeader(buf)
	n = recordHeaderBytes + length
	if !ok || n > len(buf) {
		return record{}, 0, false
	}
	r.payload = buf[recordHeaderBytes:n]
	if binary.LittleEndian.Uint32(buf[4:]) != crc32.Checksum(r.payload, crcTable) {
		return record{}, 0, false
	}
	return r, n, true
}

// hasLaterRecord reports whether buf contains, at any position, a record header with a sequence number above seq. It
// relies on the separate checksum of headers: verifying the payload checksum at each position takes 10 s for a 4 MiB
// segment whose payload resembles headers.
func hasLaterRecord(buf []byte, seq uint64) bool {
	for i := range buf {
		if r, _, ok := parseHeader(buf[i:]); ok && r.seq > seq && r.seq-seq <= uint64(len(buf)) {
			return true
		}
	}
	return false
}
