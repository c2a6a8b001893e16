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
	// recordHeader is the length of the payload, the CRC-32C of all that follows it and of the length, the type and the
	// sequence number.
	recordHeader = 4 + 4 + 1 + 8
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
	buf = append(buf, 0, 0, 0, 0, r.kind)
	buf = binary.LittleEndian.AppendUint64(buf, r.seq)
	buf = append(buf, r.payload...)
	binary.LittleEndian.PutUint32(buf[start+4:], checksum(buf[start:]))
	return buf, nil
}

// encodeMessage encodes a record with a message.
func encodeMessage(kind byte, seq uint64, m proto.Message) ([]byte, error) {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errorx.Decorate(err, "encode record")
	}
	return appendRecord(nil, record{kind: kind, seq: seq, payload: payload})
}

// checksum covers a record without its checksum field.
func checksum(buf []byte) uint32 {
	return crc32.Update(crc32.Checksum(buf[:4], castagnoli), castagnoli, buf[8:])
}

// parseRecord decodes the record at the start of buf; n is its encoded length. The payload aliases buf.
func parseRecord(buf []byte) (r record, n int, ok bool) {
	if len(buf) < recordHeader {
		return record{}, 0, false
	}
	length := binary.LittleEndian.Uint32(buf)
	if length > maxPayload || int(length) > len(buf)-recordHeader || buf[8] == 0 {
		return record{}, 0, false
	}
	n = recordHeader + int(length)
	if binary.LittleEndian.Uint32(buf[4:]) != checksum(buf[:n]) {
		return record{}, 0, false
	}
	return record{kind: buf[8], seq: binary.LittleEndian.Uint64(buf[9:]), payload: buf[recordHeader:n]}, n, true
}

// laterRecord reports whether buf contains a record with a sequence number above seq, at any position.
func laterRecord(buf []byte, seq uint64) bool {
	for i := range buf {
		if len(buf)-i < recordHeader {
			return false
		}
		// The sequence number is compared first, because the checksum of each position would be slow.
		if s := binary.LittleEndian.Uint64(buf[i+9:]); s <= seq || s-seq > uint64(len(buf)) {
			continue
		}
		if _, _, ok := parseRecord(buf[i:]); ok {
			return true
		}
	}
	return false
}
