package claim

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
)

// A record consists of the length of its body, the CRC-32C of length, kind and body, the kind and the body. One group
// commit is one record, so that a torn write never leaves a valid record after an invalid one.
const (
	recordHeaderSize  = 9
	maxRecordSize     = 16 << 20
	stateRecord       = 1 // claimpb.State, the first record of each segment
	commitRecord      = 2 // claimpb.Commit
	segmentNameFormat = "claims-%016x"
	// maxSegmentSize bounds the memory that a restart needs to read a segment.
	maxSegmentSize = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// decorate adds context to an error and returns nil for a nil error.
func decorate(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return errorx.Decorate(err, format, args...)
}

// appendRecord appends the encoding of a record to data.
func appendRecord(data []byte, kind byte, body []byte) []byte {
	start := len(data)
	data = binary.LittleEndian.AppendUint32(data, uint32(len(body)))
	data = binary.LittleEndian.AppendUint32(data, 0)
	data = append(data, kind)
	data = append(data, body...)
	binary.LittleEndian.PutUint32(data[start+4:], recordChecksum(data[start:]))
	return data
}

func recordChecksum(record []byte) uint32 {
	sum := crc32.Update(0, castagnoli, record[:4])
	return crc32.Update(sum, castagnoli, record[8:])
}

// readRecord returns the record at the start of data and its size. The size is 0 if there is no valid record.
func readRecord(data []byte) (kind byte, body []byte, size int) {
	if len(data) < recordHeaderSize {
		return 0, nil, 0
	}
	n := binary.LittleEndian.Uint32(data)
	kind = data[8]
	if n > maxRecordSize || int(n) > len(data)-recordHeaderSize || (kind != stateRecord && kind != commitRecord) {
		return 0, nil, 0
	}
	size = recordHeaderSize + int(n)
	if binary.LittleEndian.Uint32(data[4:]) != recordChecksum(data[:size]) {
		return 0, nil, 0
	}
	return kind, data[recordHeaderSize:size], size
}

// hasValidRecord reports whether a valid record starts anywhere in data.
func hasValidRecord(data []byte) bool {
	for i := range data {
		if _, _, size := readRecord(data[i:]); size > 0 {
			return true
		}
	}
	return false
}

// decodeSegment calls apply for each record and returns the number of valid bytes. Invalid bytes are a torn write if no
// valid record follows them. Otherwise the segment is damaged, which is an error.
func decodeSegment(data []byte, apply func(*claimpb.Commit) error) (validSize int, err error) {
	for validSize < len(data) {
		kind, body, size := readRecord(data[validSize:])
		if size == 0 {
			if hasValidRecord(data[validSize+1:]) {
				return validSize, errorx.IllegalState.New("invalid record at offset %d is followed by valid records", validSize)
			}
			return validSize, nil
		}
		c, err := decodeBody(kind, body)
		if err == nil && validSize == 0 && c.State == nil {
			err = errorx.IllegalFormat.New("segment does not start with a state record")
		}
		if err == nil {
			err = apply(c)
		}
		if err != nil {
			return validSize, errorx.Decorate(err, "record at offset %d", validSize)
		}
		validSize += size
	}
	return validSize, nil
}

// decodeBody decodes the body of a record. A state record becomes a commit that contains only the state.
func decodeBody(kind byte, body []byte) (*claimpb.Commit, error) {
	c := &claimpb.Commit{}
	if kind == stateRecord {
		c.State = &claimpb.State{}
		return c, proto.Unmarshal(body, c.State)
	}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, err
	}
	for _, e := range c.Entries {
		if _, _, err := decodeClaim(e.Team, e.Id, e.Token); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// journal is a write-ahead log in segments; records are appended to the newest one. It is used by one goroutine.
type journal struct {
	storage       storage
	path          string           // for error messages
	firstSegment  uint64           // oldest segment
	activeSegment uint64           // newest segment, 0 before the first rotation
	activeSize    int64            // bytes in the newest segment
	totalSize     int64            // bytes in all segments
	closedSizes   map[uint64]int64 // bytes of each closed segment
	maxIDTimes    map[uint64]int64 // highest ID time in each segment
}

func newJournal(st storage, path string) *journal {
	return &journal{
		storage: st, path: path, firstSegment: 1, closedSizes: map[uint64]int64{}, maxIDTimes: map[uint64]int64{},
	}
}

func segmentName(n uint64) string { return fmt.Sprintf(segmentNameFormat, n) }

// listSegments returns the numbers of the segment files in ascending order.
func (j *journal) listSegments() ([]uint64, error) {
	names, err := j.storage.list()
	if err != nil {
		return nil, errorx.Decorate(err, "list claim journal %s", j.path)
	}
	var numbers []uint64
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, segmentNameFormat, &n); err != nil || segmentName(n) != name {
			if strings.HasPrefix(name, "claims-") {
				return nil, errorx.IllegalState.New("unexpected file %s/%s", j.path, name)
			}
			continue
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// load replays all segments. It truncates a torn write at the end of the newest one, removes obsolete segments and
// returns an error if anything else is damaged.
func (j *journal) load(apply func(*claimpb.Commit) error) error {
	numbers, err := j.listSegments()
	if err != nil {
		return err
	}
	if numbers, err = j.removeIncompleteSegment(numbers); err != nil || len(numbers) == 0 {
		return err
	}
	if numbers, err = j.removeObsoleteSegments(numbers); err != nil {
		return err
	}
	j.activeSegment = numbers[len(numbers)-1]
	for i, n := range numbers {
		if n != j.firstSegment+uint64(i) {
			return errorx.IllegalState.New(
				"claim journal %s lacks segment %s", j.path, segmentName(j.firstSegment+uint64(i)))
		}
		if err := j.loadSegment(n, apply); err != nil {
			return errorx.Decorate(err, "claim journal %s/%s", j.path, segmentName(n))
		}
	}
	return nil
}

// removeIncompleteSegment removes the newest segment if its first record is incomplete. Such a segment contains no
// acknowledged claim, because its first record is synced before the next one is written.
func (j *journal) removeIncompleteSegment(numbers []uint64) ([]uint64, error) {
	if len(numbers) == 0 {
		return nil, nil
	}
	last := numbers[len(numbers)-1]
	data, err := j.storage.read(segmentName(last))
	if err != nil {
		return nil, errorx.Decorate(err, "read claim journal")
	}
	valid, err := decodeSegment(data, func(*claimpb.Commit) error { return nil })
	if err != nil {
		return nil, errorx.Decorate(err, "claim journal %s/%s", j.path, segmentName(last))
	}
	if valid > 0 {
		return numbers, nil
	}
	if err := j.storage.remove(segmentName(last)); err != nil {
		return nil, errorx.Decorate(err, "remove incomplete segment")
	}
	return numbers[:len(numbers)-1], decorate(j.storage.syncDir(), "sync claim directory")
}

// removeObsoleteSegments removes the segments before the first one that the newest segment names. A crash during their
// removal can leave any of them on disk.
func (j *journal) removeObsoleteSegments(numbers []uint64) ([]uint64, error) {
	last := numbers[len(numbers)-1]
	data, err := j.storage.read(segmentName(last))
	if err != nil {
		return nil, errorx.Decorate(err, "read claim journal")
	}
	kind, body, size := readRecord(data)
	if size == 0 || kind != stateRecord {
		return nil, errorx.IllegalState.New(
			"claim journal %s/%s does not start with a state record", j.path, segmentName(last))
	}
	c, err := decodeBody(kind, body)
	if err != nil {
		return nil, errorx.Decorate(err, "claim journal %s/%s: state at offset 0", j.path, segmentName(last))
	}
	j.firstSegment = c.State.FirstSegment
	for len(numbers) > 0 && numbers[0] < j.firstSegment {
		if err := j.storage.remove(segmentName(numbers[0])); err != nil {
			return nil, errorx.Decorate(err, "remove segment")
		}
		numbers = numbers[1:]
	}
	if len(numbers) == 0 {
		return nil, errorx.IllegalState.New(
			"claim journal %s/%s names a first segment after itself", j.path, segmentName(last))
	}
	return numbers, decorate(j.storage.syncDir(), "sync claim directory")
}

func (j *journal) loadSegment(n uint64, apply func(*claimpb.Commit) error) error {
	data, err := j.storage.read(segmentName(n))
	if err != nil {
		return err
	}
	validSize, err := decodeSegment(data, func(c *claimpb.Commit) error {
		j.raiseMaxIDTime(n, c)
		return apply(c)
	})
	if err != nil {
		return err
	}
	j.totalSize += int64(validSize)
	if n != j.activeSegment {
		if validSize != len(data) {
			return errorx.IllegalState.New("invalid record at offset %d of a closed segment", validSize)
		}
		j.closedSizes[n] = int64(validSize)
		return nil
	}
	j.activeSize = int64(validSize)
	if validSize == len(data) {
		return nil
	}
	if err := j.storage.truncate(segmentName(n), j.activeSize); err != nil {
		return errorx.Decorate(err, "truncate torn tail at offset %d", validSize)
	}
	return decorate(j.storage.sync(segmentName(n)), "sync")
}

// raiseMaxIDTime updates the highest ID time of a segment with the entries of a commit.
func (j *journal) raiseMaxIDTime(n uint64, c *claimpb.Commit) {
	for _, e := range c.Entries {
		j.maxIDTimes[n] = max(j.maxIDTimes[n], requestID(e.Id).unixMilli())
	}
}

// writeCommit appends a commit to the newest segment and syncs it.
func (j *journal) writeCommit(c *claimpb.Commit) error {
	body, err := proto.Marshal(c)
	if err != nil {
		return errorx.Decorate(err, "encode commit")
	}
	if err := j.writeRecord(commitRecord, body); err != nil {
		return err
	}
	j.raiseMaxIDTime(j.activeSegment, c)
	return nil
}

// writeRecord appends a record to the newest segment and syncs it.
func (j *journal) writeRecord(kind byte, body []byte) error {
	if len(body) > maxRecordSize {
		return errorx.IllegalState.New("record of %d bytes is too large", len(body))
	}
	record := appendRecord(nil, kind, body)
	if err := j.storage.append(segmentName(j.activeSegment), record); err != nil {
		return errorx.Decorate(err, "write claim journal")
	}
	if err := j.storage.sync(segmentName(j.activeSegment)); err != nil {
		return errorx.Decorate(err, "sync claim journal")
	}
	j.activeSize += int64(len(record))
	j.totalSize += int64(len(record))
	return nil
}

// rotate starts a new segment with a state record and removes the oldest segments whose IDs are all below the floor.
// The remaining segments are always consecutive, so that load detects a missing one.
func (j *journal) rotate(s *claimpb.State) error {
	first := j.firstSegment
	for first <= j.activeSegment && j.maxIDTimes[first] < s.Floor {
		first++
	}
	s.FirstSegment = first
	body, err := proto.Marshal(s)
	if err != nil {
		return errorx.Decorate(err, "encode state")
	}
	if err := j.storage.create(segmentName(j.activeSegment + 1)); err != nil {
		return errorx.Decorate(err, "create segment")
	}
	if j.activeSegment > 0 {
		j.closedSizes[j.activeSegment] = j.activeSize
	}
	j.activeSegment++
	j.activeSize = 0
	if err := j.writeRecord(stateRecord, body); err != nil {
		return err
	}
	if err := j.storage.syncDir(); err != nil {
		return errorx.Decorate(err, "sync claim directory")
	}
	for ; j.firstSegment < first; j.firstSegment++ {
		if err := j.storage.remove(segmentName(j.firstSegment)); err != nil {
			return errorx.Decorate(err, "remove segment")
		}
		j.totalSize -= j.closedSizes[j.firstSegment]
		delete(j.closedSizes, j.firstSegment)
		delete(j.maxIDTimes, j.firstSegment)
	}
	return nil
}
