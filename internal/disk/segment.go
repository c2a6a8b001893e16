package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/disk/diskpb"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

const (
	segmentNameFormat  = "log-%016x"
	snapshotNameFormat = "snapshot-%016x"
)

func parseFileName(pattern, name string) (uint64, bool) {
	var n uint64
	_, err := fmt.Sscanf(name, pattern, &n)
	return n, err == nil && fmt.Sprintf(pattern, n) == name
}

// startSegment creates a segment and closes the previous one.
func (s *Store) startSegment(number uint64) error {
	h := &diskpb.SegmentHeader{
		Format: formatVersion, Identity: s.identity, Number: number, FirstNeeded: s.oldestSegment, HardState: s.hardState,
		SnapshotIndex: s.snapshotPosition.index, SnapshotTerm: s.snapshotPosition.term,
	}
	buf, err := encodeMessage(recordSegment, s.lastSeq+1, h)
	if err != nil {
		return err
	}
	f, err := s.createFile(fmt.Sprintf(segmentNameFormat, number), func(f *os.File) error { return s.writeAll(f, buf) })
	if err != nil {
		return err
	}
	old := s.segmentFile
	s.segmentFile, s.segmentSize, s.segmentNumber = f, int64(len(buf)), number
	s.lastSeq++
	if old != nil {
		return old.Close()
	}
	return nil
}

// isUnusedFirstSegment reports whether a segment is number 1 and contains no record except its header.
func (s *Store) isUnusedFirstSegment(number uint64) bool {
	data, err := os.ReadFile(s.path(fmt.Sprintf(segmentNameFormat, number)))
	if err != nil {
		return false
	}
	r, n, ok := parseRecord(data)
	return ok && n == len(data) && r.kind == recordSegment && number == 1
}

// recoverState reads the log and the newest snapshot and removes files that are no longer needed.
func (s *Store) recoverState(n fileNumbers) error {
	if len(n.segments) == 0 {
		return damagedError(s.path(fmt.Sprintf(segmentNameFormat, 1)), 0, "the log is missing")
	}
	last := n.segments[len(n.segments)-1]
	h, err := s.readSegmentHeader(last)
	if err != nil {
		return err
	}
	s.oldestSegment, s.lastSeq = h.FirstNeeded, 0
	var entries []*raftpb.Entry
	for number := h.FirstNeeded; number <= last; number++ {
		if entries, err = s.replaySegment(number, number == last, entries); err != nil {
			return err
		}
	}
	if err := s.recoverSnapshot(n.snapshots, entries); err != nil {
		return err
	}
	for _, number := range n.segments {
		if number < s.oldestSegment {
			if err := s.remove(fmt.Sprintf(segmentNameFormat, number)); err != nil {
				return err
			}
		}
	}
	return s.syncDir(s.cfg.Dir)
}

func (s *Store) readSegmentHeader(number uint64) (*diskpb.SegmentHeader, error) {
	path := s.path(fmt.Sprintf(segmentNameFormat, number))
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the data directory
	if err != nil {
		return nil, errorx.Decorate(err, "read log segment")
	}
	r, _, ok := parseRecord(data)
	if !ok {
		return nil, damagedError(path, 0, "the segment header is unreadable")
	}
	return s.parseSegmentHeader(path, number, r)
}

func (s *Store) parseSegmentHeader(path string, number uint64, r record) (*diskpb.SegmentHeader, error) {
	h := &diskpb.SegmentHeader{}
	switch err := proto.Unmarshal(r.payload, h); {
	case err != nil || r.kind != recordSegment || h.Number != number:
		return nil, damagedError(path, 0, "the segment header is invalid")
	case h.Format != formatVersion:
		return nil, damagedError(path, 0, "format %d is unknown", h.Format)
	case h.Identity != s.identity:
		return nil, damagedError(path, 0, "the segment belongs to identity %s instead of %s", h.Identity, s.identity)
	}
	return h, nil
}

// replaySegment applies the records of a segment to the entries read so far. Only the last segment may end with a torn
// record.
func (s *Store) replaySegment(number uint64, last bool, entries []*raftpb.Entry) ([]*raftpb.Entry, error) {
	path := s.path(fmt.Sprintf(segmentNameFormat, number))
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the data directory
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, damagedError(path, 0, "the segment is missing")
	case err != nil:
		return nil, errorx.Decorate(err, "read log segment")
	}
	offset := 0
	for offset < len(data) {
		r, n, ok := parseRecord(data[offset:])
		if !ok {
			if !last || offset == 0 || hasLaterRecord(data[offset+1:], s.lastSeq+1) {
				return nil, damagedError(path, offset, "a record is unreadable")
			}
			s.cfg.Log.Info("truncating a torn record at the end of the log", "file", path, "offset", offset,
				"bytes", len(data)-offset)
			break
		}
		if entries, err = s.replayRecord(path, offset, number, r, entries); err != nil {
			return nil, err
		}
		offset += n
	}
	if offset == 0 {
		return nil, damagedError(path, 0, "the segment is empty")
	}
	if last {
		// Rewrites the segment: if the previous process stopped before a sync or because a sync failed, the page cache may
		// contain pages that are neither on disk nor written by another sync.
		s.segmentFile, err = s.createFile(fmt.Sprintf(segmentNameFormat, number), func(f *os.File) error {
			return s.writeAll(f, data[:offset])
		})
		if err != nil {
			return nil, err
		}
		s.segmentNumber, s.segmentSize = number, int64(offset)
	}
	return entries, nil
}

func (s *Store) replayRecord(path string, offset int, number uint64, r record, entries []*raftpb.Entry) (
	[]*raftpb.Entry, error,
) {
	if s.lastSeq != 0 && r.seq != s.lastSeq+1 {
		return nil, damagedError(path, offset, "record %d follows record %d", r.seq, s.lastSeq)
	}
	s.lastSeq = r.seq
	if offset == 0 {
		h, err := s.parseSegmentHeader(path, number, r)
		if err != nil {
			return nil, err
		}
		s.hardState = h.HardState
		s.snapshotPosition = position{h.SnapshotIndex, h.SnapshotTerm}
		return s.dropEntriesThrough(entries, s.snapshotPosition.index), nil
	}
	b := &diskpb.Batch{}
	if err := proto.Unmarshal(r.payload, b); err != nil || r.kind != recordBatch {
		return nil, damagedError(path, offset, "a record of type %d is invalid", r.kind)
	}
	if b.HardState != nil {
		s.hardState = b.HardState
	}
	for _, e := range b.Entries {
		next := e.Index
		if len(entries) > 0 {
			next = entries[len(entries)-1].Index + 1
		}
		if e.Index == 0 || e.Index > next {
			return nil, damagedError(path, offset, "entry %d follows entry %d", e.Index, next-1)
		}
		if len(entries) > 0 && e.Index >= entries[0].Index {
			entries = entries[:e.Index-entries[0].Index]
		} else {
			entries = nil
		}
		entries = append(entries, e)
		s.entries.setLocation(e.Index, e.Term, number)
	}
	return entries, nil
}

// dropEntriesThrough removes the entries up to and including index.
func (s *Store) dropEntriesThrough(entries []*raftpb.Entry, index uint64) []*raftpb.Entry {
	s.entries.dropThrough(index)
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		s.entries = entryIndex{firstIndex: index + 1}
	}
	return entries
}
