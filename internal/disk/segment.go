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
	segmentFormat  = "log-%016x"
	snapshotFormat = "snapshot-%016x"
)

func parseName(pattern, name string) (uint64, bool) {
	var n uint64
	_, err := fmt.Sscanf(name, pattern, &n)
	return n, err == nil && fmt.Sprintf(pattern, n) == name
}

// startSegment begins a new segment.
func (s *Store) startSegment(number uint64) error {
	h := &diskpb.SegmentHeader{
		Format: format, Identity: s.identity, Number: number, FirstNeeded: s.oldest, HardState: s.state,
		SnapshotIndex: s.snap.index, SnapshotTerm: s.snap.term,
	}
	buf, err := encodeMessage(recordSegment, s.seq+1, h)
	if err != nil {
		return err
	}
	f, err := s.createFile(fmt.Sprintf(segmentFormat, number), func(f *os.File) error { return s.writeAll(f, buf) })
	if err != nil {
		return err
	}
	old := s.log
	s.log, s.size, s.number = f, int64(len(buf)), number
	s.seq++
	if old != nil {
		return old.Close()
	}
	return nil
}

// unused reports whether a segment holds no record besides its header.
func (s *Store) unused(number uint64) bool {
	data, err := os.ReadFile(s.path(fmt.Sprintf(segmentFormat, number)))
	if err != nil {
		return false
	}
	r, n, ok := parseRecord(data)
	return ok && n == len(data) && r.kind == recordSegment && number == 1
}

// recover reads the log and the newest snapshot.
func (s *Store) recover(n names) error {
	if len(n.segments) == 0 {
		return damaged(s.path(fmt.Sprintf(segmentFormat, 1)), 0, "the log is missing")
	}
	last := n.segments[len(n.segments)-1]
	h, err := s.readHeader(last)
	if err != nil {
		return err
	}
	s.oldest, s.seq = h.FirstNeeded, 0
	var entries []*raftpb.Entry
	for number := h.FirstNeeded; number <= last; number++ {
		if entries, err = s.replay(number, number == last, entries); err != nil {
			return err
		}
	}
	if err := s.recoverSnapshot(n.snapshots, entries); err != nil {
		return err
	}
	for _, number := range n.segments {
		if number < s.oldest {
			if err := s.remove(fmt.Sprintf(segmentFormat, number)); err != nil {
				return err
			}
		}
	}
	return s.syncDir(s.cfg.Dir)
}

func (s *Store) readHeader(number uint64) (*diskpb.SegmentHeader, error) {
	path := s.path(fmt.Sprintf(segmentFormat, number))
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the data directory
	if err != nil {
		return nil, errorx.Decorate(err, "read log segment")
	}
	r, _, ok := parseRecord(data)
	if !ok {
		return nil, damaged(path, 0, "the segment header is unreadable")
	}
	return s.parseHeader(path, number, r)
}

func (s *Store) parseHeader(path string, number uint64, r record) (*diskpb.SegmentHeader, error) {
	h := &diskpb.SegmentHeader{}
	switch err := proto.Unmarshal(r.payload, h); {
	case err != nil || r.kind != recordSegment || h.Number != number:
		return nil, damaged(path, 0, "the segment header is invalid")
	case h.Format != format:
		return nil, damaged(path, 0, "format %d is unknown", h.Format)
	case h.Identity != s.identity:
		return nil, damaged(path, 0, "the segment belongs to identity %s instead of %s", h.Identity, s.identity)
	}
	return h, nil
}

// replay applies a segment to the entries read so far. Only the last segment may end in a torn record.
func (s *Store) replay(number uint64, last bool, entries []*raftpb.Entry) ([]*raftpb.Entry, error) {
	path := s.path(fmt.Sprintf(segmentFormat, number))
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the data directory
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, damaged(path, 0, "the segment is missing")
	case err != nil:
		return nil, errorx.Decorate(err, "read log segment")
	}
	offset := 0
	for offset < len(data) {
		r, n, ok := parseRecord(data[offset:])
		if !ok {
			if !last || offset == 0 || laterRecord(data[offset+1:], s.seq+1) {
				return nil, damaged(path, offset, "a record is unreadable")
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
		return nil, damaged(path, 0, "the segment is empty")
	}
	if last {
		// The previous process may have stopped before or because of a failed sync. The operating system can then hold
		// pages that are neither on disk nor written by another sync, so the segment is written again.
		s.log, err = s.createFile(fmt.Sprintf(segmentFormat, number), func(f *os.File) error {
			return s.writeAll(f, data[:offset])
		})
		if err != nil {
			return nil, err
		}
		s.number, s.size = number, int64(offset)
	}
	return entries, nil
}

func (s *Store) replayRecord(path string, offset int, number uint64, r record, entries []*raftpb.Entry) ([]*raftpb.Entry, error) {
	if s.seq != 0 && r.seq != s.seq+1 {
		return nil, damaged(path, offset, "record %d follows record %d", r.seq, s.seq)
	}
	s.seq = r.seq
	if offset == 0 {
		h, err := s.parseHeader(path, number, r)
		if err != nil {
			return nil, err
		}
		s.state = h.HardState
		s.snap = position{h.SnapshotIndex, h.SnapshotTerm}
		return s.dropThrough(entries, s.snap.index), nil
	}
	b := &diskpb.Batch{}
	if err := proto.Unmarshal(r.payload, b); err != nil || r.kind != recordBatch {
		return nil, damaged(path, offset, "a record of type %d is invalid", r.kind)
	}
	if b.HardState != nil {
		s.state = b.HardState
	}
	for _, e := range b.Entries {
		next := e.Index
		if len(entries) > 0 {
			next = entries[len(entries)-1].Index + 1
		}
		if e.Index == 0 || e.Index > next {
			return nil, damaged(path, offset, "entry %d follows entry %d", e.Index, next-1)
		}
		if len(entries) > 0 && e.Index >= entries[0].Index {
			entries = entries[:e.Index-entries[0].Index]
		} else {
			entries = nil
		}
		entries = append(entries, e)
		s.entries.put(e.Index, e.Term, number)
	}
	return entries, nil
}

// dropThrough removes the entries through index.
func (s *Store) dropThrough(entries []*raftpb.Entry, index uint64) []*raftpb.Entry {
	s.entries.trim(index)
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		s.entries = entryIndex{first: index + 1}
	}
	return entries
}
