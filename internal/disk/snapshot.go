package disk

import (
	"fmt"
	"os"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/disk/diskpb"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// snapshotRecordBytes is the data in one record of a snapshot file, so that an error names a useful offset.
const snapshotRecordBytes = 1 << 20

// SaveSnapshot stores a snapshot durably and then removes the log segments and snapshots that it replaces. Entries after
// the snapshot stay if the log holds the entry at its position.
func (s *Store) SaveSnapshot(meta *raftpb.SnapshotMeta, data []byte) error {
	if s.failed != nil {
		return s.failed
	}
	if meta.GetIndex() <= s.snap.index {
		return errorx.IllegalArgument.New("snapshot at %d is not newer than the one at %d", meta.GetIndex(), s.snap.index)
	}
	return s.fail(s.saveSnapshot(meta, data))
}

func (s *Store) saveSnapshot(meta *raftpb.SnapshotMeta, data []byte) error {
	f, err := s.createFile(fmt.Sprintf(snapshotFormat, meta.Index), func(f *os.File) error {
		return s.writeSnapshot(f, meta, data)
	})
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return errorx.Decorate(err, "close snapshot")
	}
	return s.adopt(position{meta.Index, meta.Term})
}

func (s *Store) writeSnapshot(f *os.File, meta *raftpb.SnapshotMeta, data []byte) error {
	h := &diskpb.SnapshotHeader{Format: format, Identity: s.identity, Meta: meta, Size: uint64(len(data))}
	buf, err := encodeMessage(recordSnapshot, 0, h)
	if err != nil {
		return err
	}
	for seq := uint64(1); ; seq++ {
		if err := s.writeAll(f, buf); err != nil {
			return err
		}
		if len(data) == 0 {
			break
		}
		n := min(len(data), snapshotRecordBytes)
		if buf, err = appendRecord(buf[:0], record{kind: recordSnapshotData, seq: seq, payload: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	if buf, err = appendRecord(buf[:0], record{kind: recordSnapshotFinish}); err != nil {
		return err
	}
	return s.writeAll(f, buf)
}

// adopt makes a snapshot the base of the log, in a new segment, and removes what is older.
func (s *Store) adopt(p position) error {
	keep := s.holds(p)
	previous := s.snap.index
	s.snap = p
	if keep {
		s.entries.trim(p.index)
	}
	if !keep || len(s.entries.list) == 0 {
		s.entries = entryIndex{first: p.index + 1}
	}
	// Segments without a live entry are not read again, so entries that the snapshot voids can't come back.
	first := s.number + 1
	for _, e := range s.entries.list {
		first = min(first, e.segment)
	}
	old := s.oldest
	s.oldest = first
	if err := s.startSegment(s.number + 1); err != nil {
		return err
	}
	for number := old; number < first; number++ {
		if err := s.remove(fmt.Sprintf(segmentFormat, number)); err != nil {
			return err
		}
	}
	if previous != 0 {
		if err := s.remove(fmt.Sprintf(snapshotFormat, previous)); err != nil {
			return err
		}
	}
	return s.syncDir(s.cfg.Dir)
}

// holds reports whether the log holds the entry at p.
func (s *Store) holds(p position) bool {
	i := p.index - s.entries.first
	return p.index >= s.entries.first && i < uint64(len(s.entries.list)) && s.entries.list[i].term == p.term
}

// recoverSnapshot reads the newest snapshot. When the process stopped after the snapshot was written and before the log
// referred to it, the log is brought up to date.
func (s *Store) recoverSnapshot(indexes []uint64, entries []*raftpb.Entry) error {
	if len(indexes) == 0 {
		if s.snap.index != 0 {
			return damaged(s.path(fmt.Sprintf(snapshotFormat, s.snap.index)), 0, "the snapshot is missing")
		}
		return s.setLoaded(nil, entries)
	}
	newest := indexes[len(indexes)-1]
	if newest < s.snap.index {
		return damaged(s.path(fmt.Sprintf(snapshotFormat, s.snap.index)), 0, "the snapshot is missing")
	}
	snapshot, err := s.readSnapshot(newest)
	if err != nil {
		return err
	}
	p := position{snapshot.Meta.Index, snapshot.Meta.Term}
	if newest > s.snap.index {
		if !s.holds(p) {
			entries = nil
		}
		for len(entries) > 0 && entries[0].Index <= newest {
			entries = entries[1:]
		}
		if err := s.adopt(p); err != nil {
			return err
		}
	}
	for _, index := range indexes {
		if index < newest {
			if err := s.remove(fmt.Sprintf(snapshotFormat, index)); err != nil {
				return err
			}
		}
	}
	return s.setLoaded(snapshot, entries)
}

func (s *Store) setLoaded(snapshot *raft.Snapshot, entries []*raftpb.Entry) error {
	if len(entries) > 0 && entries[0].Index != s.snap.index+1 {
		return damaged(s.path(fmt.Sprintf(segmentFormat, s.oldest)), 0, "the log begins with entry %d instead of %d",
			entries[0].Index, s.snap.index+1)
	}
	s.loaded = &raft.PersistentState{Snapshot: snapshot, Entries: entries}
	if s.state.GetTerm() != 0 {
		s.loaded.HardState = proto.CloneOf(s.state)
	}
	return nil
}

func (s *Store) readSnapshot(index uint64) (*raft.Snapshot, error) {
	path := s.path(fmt.Sprintf(snapshotFormat, index))
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the data directory
	if err != nil {
		return nil, errorx.Decorate(err, "read snapshot")
	}
	h := &diskpb.SnapshotHeader{}
	r, n, ok := parseRecord(data)
	if !ok || r.kind != recordSnapshot || proto.Unmarshal(r.payload, h) != nil || h.Format != format ||
		h.Identity != s.identity || h.Meta.GetIndex() != index {
		return nil, damaged(path, 0, "the snapshot header is invalid")
	}
	snapshot := &raft.Snapshot{Meta: h.Meta}
	for seq := uint64(1); ; seq++ {
		offset := n
		r, size, ok := parseRecord(data[offset:])
		n += size
		switch {
		case ok && r.kind == recordSnapshotData && r.seq == seq:
			snapshot.Data = append(snapshot.Data, r.payload...)
		case ok && r.kind == recordSnapshotFinish && uint64(len(snapshot.Data)) == h.Size && n == len(data):
			return snapshot, nil
		default:
			return nil, damaged(path, offset, "a record is unreadable")
		}
	}
}
