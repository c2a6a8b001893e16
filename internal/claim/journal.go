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

// A record is the length of its body, the CRC-32C of length, type and body, a type and the body. One group commit is
// one record, so that a torn write never leaves a valid record behind an invalid one.
const (
	headerSize   = 9
	maxRecord    = 16 << 20
	stateRecord  = 1 // claimpb.State, the first record of each segment
	commitRecord = 2 // claimpb.Commit
	segmentName  = "claims-%016x"
	// maxSegment keeps the memory low that a restart needs to read a segment.
	maxSegment = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// decorate adds context to an error and keeps nil.
func decorate(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return errorx.Decorate(err, format, args...)
}

// appendRecord appends the encoding of a record.
func appendRecord(data []byte, kind byte, body []byte) []byte {
	start := len(data)
	data = binary.LittleEndian.AppendUint32(data, uint32(len(body)))
	data = binary.LittleEndian.AppendUint32(data, 0)
	data = append(data, kind)
	data = append(data, body...)
	binary.LittleEndian.PutUint32(data[start+4:], recordSum(data[start:]))
	return data
}

func recordSum(record []byte) uint32 {
	sum := crc32.Update(0, castagnoli, record[:4])
	return crc32.Update(sum, castagnoli, record[8:])
}

// readRecord returns the record at the start of data and its size; size 0 means that there is no valid record.
func readRecord(data []byte) (kind byte, body []byte, size int) {
	if len(data) < headerSize {
		return 0, nil, 0
	}
	n := binary.LittleEndian.Uint32(data)
	kind = data[8]
	if n > maxRecord || int(n) > len(data)-headerSize || (kind != stateRecord && kind != commitRecord) {
		return 0, nil, 0
	}
	size = headerSize + int(n)
	if binary.LittleEndian.Uint32(data[4:]) != recordSum(data[:size]) {
		return 0, nil, 0
	}
	return kind, data[headerSize:size], size
}

// hasRecord reports whether a valid record starts anywhere in data.
func hasRecord(data []byte) bool {
	for i := range data {
		if _, _, size := readRecord(data[i:]); size > 0 {
			return true
		}
	}
	return false
}

// decodeSegment calls apply for each record and returns the number of valid bytes. A segment that ends in invalid bytes
// is torn when no valid record follows them, and damaged otherwise.
func decodeSegment(data []byte, apply func(*claimpb.Commit) error) (valid int, err error) {
	for valid < len(data) {
		kind, body, size := readRecord(data[valid:])
		if size == 0 {
			if hasRecord(data[valid+1:]) {
				return valid, errorx.IllegalState.New("invalid record at offset %d with valid records behind it", valid)
			}
			return valid, nil
		}
		c, err := decodeBody(kind, body)
		if err == nil && valid == 0 && c.State == nil {
			err = errorx.IllegalFormat.New("segment starts without state")
		}
		if err == nil {
			err = apply(c)
		}
		if err != nil {
			return valid, errorx.Decorate(err, "record at offset %d", valid)
		}
		valid += size
	}
	return valid, nil
}

// decodeBody returns a state record as a commit that holds nothing else.
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

// journal is a sequence of segments, of which the newest is written. It is used by one goroutine.
type journal struct {
	st     storage
	path   string           // for error messages
	first  uint64           // oldest segment
	active uint64           // newest segment, 0 before the first rotation
	size   int64            // bytes in the newest segment
	bytes  int64            // bytes in all segments
	sizes  map[uint64]int64 // bytes of each closed segment
	newest map[uint64]int64 // highest ID time in each segment
}

func newJournal(st storage, path string) *journal {
	return &journal{st: st, path: path, first: 1, sizes: map[uint64]int64{}, newest: map[uint64]int64{}}
}

func segment(n uint64) string { return fmt.Sprintf(segmentName, n) }

// segments returns the numbers of the files in ascending order.
func (j *journal) segments() ([]uint64, error) {
	names, err := j.st.list()
	if err != nil {
		return nil, errorx.Decorate(err, "list claim journal %s", j.path)
	}
	var numbers []uint64
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, segmentName, &n); err != nil || segment(n) != name {
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

// load replays all segments. It cuts off a torn tail of the newest one, removes segments that are no longer needed and
// fails on damage anywhere else.
func (j *journal) load(apply func(*claimpb.Commit) error) error {
	numbers, err := j.segments()
	if err != nil {
		return err
	}
	if numbers, err = j.dropUnfinished(numbers); err != nil || len(numbers) == 0 {
		return err
	}
	if numbers, err = j.dropUnneeded(numbers); err != nil {
		return err
	}
	j.active = numbers[len(numbers)-1]
	for i, n := range numbers {
		if n != j.first+uint64(i) {
			return errorx.IllegalState.New("claim journal %s lacks segment %s", j.path, segment(j.first+uint64(i)))
		}
		if err := j.loadSegment(n, apply); err != nil {
			return errorx.Decorate(err, "claim journal %s/%s", j.path, segment(n))
		}
	}
	return nil
}

// dropUnfinished removes the newest segment when its first record was never completed. No claim was answered from such
// a segment, because its first record is synced before the next one is written.
func (j *journal) dropUnfinished(numbers []uint64) ([]uint64, error) {
	if len(numbers) == 0 {
		return nil, nil
	}
	last := numbers[len(numbers)-1]
	data, err := j.st.read(segment(last))
	if err != nil {
		return nil, errorx.Decorate(err, "read claim journal")
	}
	valid, err := decodeSegment(data, func(*claimpb.Commit) error { return nil })
	if err != nil {
		return nil, errorx.Decorate(err, "claim journal %s/%s", j.path, segment(last))
	}
	if valid > 0 {
		return numbers, nil
	}
	if err := j.st.remove(segment(last)); err != nil {
		return nil, errorx.Decorate(err, "remove unfinished segment")
	}
	return numbers[:len(numbers)-1], decorate(j.st.syncDir(), "sync claim directory")
}

// dropUnneeded removes segments that the newest one no longer counts; a crash can leave any of them behind.
func (j *journal) dropUnneeded(numbers []uint64) ([]uint64, error) {
	last := numbers[len(numbers)-1]
	data, err := j.st.read(segment(last))
	if err != nil {
		return nil, errorx.Decorate(err, "read claim journal")
	}
	kind, body, size := readRecord(data)
	if size == 0 || kind != stateRecord {
		return nil, errorx.IllegalState.New("claim journal %s/%s starts without state", j.path, segment(last))
	}
	c, err := decodeBody(kind, body)
	if err != nil {
		return nil, errorx.Decorate(err, "claim journal %s/%s: state at offset 0", j.path, segment(last))
	}
	j.first = c.State.FirstSegment
	for len(numbers) > 0 && numbers[0] < j.first {
		if err := j.st.remove(segment(numbers[0])); err != nil {
			return nil, errorx.Decorate(err, "remove segment")
		}
		numbers = numbers[1:]
	}
	if len(numbers) == 0 {
		return nil, errorx.IllegalState.New("claim journal %s/%s needs a later segment", j.path, segment(last))
	}
	return numbers, decorate(j.st.syncDir(), "sync claim directory")
}

func (j *journal) loadSegment(n uint64, apply func(*claimpb.Commit) error) error {
	data, err := j.st.read(segment(n))
	if err != nil {
		return err
	}
	valid, err := decodeSegment(data, func(c *claimpb.Commit) error {
		j.note(n, c)
		return apply(c)
	})
	if err != nil {
		return err
	}
	j.bytes += int64(valid)
	if n != j.active {
		if valid != len(data) {
			return errorx.IllegalState.New("invalid record at offset %d of a closed segment", valid)
		}
		j.sizes[n] = int64(valid)
		return nil
	}
	j.size = int64(valid)
	if valid == len(data) {
		return nil
	}
	if err := j.st.truncate(segment(n), j.size); err != nil {
		return errorx.Decorate(err, "truncate torn tail at offset %d", valid)
	}
	return decorate(j.st.sync(segment(n)), "sync")
}

// note raises the highest ID time of a segment.
func (j *journal) note(n uint64, c *claimpb.Commit) {
	for _, e := range c.Entries {
		j.newest[n] = max(j.newest[n], requestID(e.Id).time())
	}
}

// write appends a commit to the newest segment and syncs it.
func (j *journal) write(c *claimpb.Commit) error {
	body, err := proto.Marshal(c)
	if err != nil {
		return errorx.Decorate(err, "encode commit")
	}
	if err := j.append(commitRecord, body); err != nil {
		return err
	}
	j.note(j.active, c)
	return nil
}

func (j *journal) append(kind byte, body []byte) error {
	if len(body) > maxRecord {
		return errorx.IllegalState.New("record of %d bytes is too large", len(body))
	}
	record := appendRecord(nil, kind, body)
	if err := j.st.append(segment(j.active), record); err != nil {
		return errorx.Decorate(err, "write claim journal")
	}
	if err := j.st.sync(segment(j.active)); err != nil {
		return errorx.Decorate(err, "sync claim journal")
	}
	j.size += int64(len(record))
	j.bytes += int64(len(record))
	return nil
}

// rotate starts a segment with a state record and removes the oldest segments whose IDs are all below the floor. Only
// a prefix is removed, so that a missing segment is noticed.
func (j *journal) rotate(s *claimpb.State) error {
	first := j.first
	for first <= j.active && j.newest[first] < s.Floor {
		first++
	}
	s.FirstSegment = first
	body, err := proto.Marshal(s)
	if err != nil {
		return errorx.Decorate(err, "encode state")
	}
	if err := j.st.create(segment(j.active + 1)); err != nil {
		return errorx.Decorate(err, "create segment")
	}
	if j.active > 0 {
		j.sizes[j.active] = j.size
	}
	j.active++
	j.size = 0
	if err := j.append(stateRecord, body); err != nil {
		return err
	}
	if err := j.st.syncDir(); err != nil {
		return errorx.Decorate(err, "sync claim directory")
	}
	for ; j.first < first; j.first++ {
		if err := j.st.remove(segment(j.first)); err != nil {
			return errorx.Decorate(err, "remove segment")
		}
		j.bytes -= j.sizes[j.first]
		delete(j.sizes, j.first)
		delete(j.newest, j.first)
	}
	return nil
}
