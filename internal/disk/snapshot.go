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

// snapshotRecordBytes is the maximum data size of one record of a snapshot file. Small records make the offset in an
// error message useful.
const snapshotRecordBytes = 1 << 20

// SaveSnapshot stores a snapshot durably and then removes the log segments and snapshots that it replaces. Entries
// after the snapshot are kept if the log contains the entry at the snapshot's position.
func (s *Store) SaveSnapshot(meta *raftpb.SnapshotMeta, data []byte) error {
	if s.failure != nil {
		return s.failure
	}
	if meta.GetIndex() <= s.snapshotPosition.index {
		return errorx.IllegalArgument.New("snapshot at %d is not newer than the one at %d", meta.GetIndex(),
			s.snapshotPosition.index)
	}
	return s.recordFailure(s.saveSnapshot(meta, data))
}

func (s *Store) saveSnapshot(meta *raftpb.SnapshotMeta, data []byte) error {
	f, err := s.createFile(fmt.Sprintf(snapshotNameFormat, meta.Index), func(f *os.File) error {
		return s.writeSnapshot(f, meta, data)
	})
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return errorx.Decorate(err, "close snapshot")
	}
	return s.rebaseLog(position{meta.Index, meta.Term})
}

func (s *Store) writeSnapshot(f *os.File, meta *raftpb.SnapshotMeta, data []byte) error {
	h := &diskpb.SnapshotHeader{Format: formatVersion, Identity: s.identity, Meta: meta, Size: uint64(len(data))}
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

// rebaseLog starts a new segment whose log begins after the snapshot at p, and removes older segments and snapshots.
func (s *Store) rebaseLog(p position) error {
	containsSnapshotEntry := s.containsEntry(p)
	previousSnapshot := s.snapshotPosition.index
	s.snapshotPosition = p
	if containsSnapshotEntry {
		s.entries.dropThrough(p.index)
	}
	if !containsSnapshotEntry || len(s.entries.locations) == 0 {
		s.entries = entryIndex{firstIndex: p.index + 1}
	}
	// Recovery skips segments without a live entry, so that entries that the snapshot invalidates are not restored.
	oldestNeeded := s.segmentNumber + 1
	for _, e := range s.entries.locations {
		oldestNeeded = min(oldestNeeded, e.segment)
	}
	previousOldest := s.oldestSegment
	s.oldestSegment = oldestNeeded
	if err := s.startSegment(s.segmentNumber + 1); err != nil {
		return err
	}
	for number := previousOldest; number < oldestNeeded; number++ {
		if err := s.remove(fmt.Sprintf(segmentNameFormat, number)); err != nil {
			return err
		}
	}
	if previousSnapshot != 0 {
		if err := s.remove(fmt.Sprintf(snapshotNameFormat, previousSnapshot)); err != nil {
			return err
		}
	}
	return s.syncDir(s.cfg.Dir)
}

// containsEntry reports whether the log contains the entry at p.
func (s *Store) containsEntry(p position) bool {
	i := p.index - s.entries.firstIndex
	return p.index >= s.entries.firstIndex && i < uint64(len(s.entries.locations)) &&
		s.entries.locations[i].term == p.term
}

// recoverSnapshot reads the newest snapshot. If the process stopped after it wrote the snapshot and before the log
// referred to it, recoverSnapshot updates the log.
func (s *Store) recoverSnapshot(indexes []uint64, entries []*raftpb.Entry) error {
	if len(indexes) == 0 {
		if s.snapshotPosition.index != 0 {
			return damagedError(s.path(fmt.Sprintf(snapshotNameFormat, s.snapshotPosition.index)), 0, "the snapshot is missing")
		}
		return s.setRecovered(nil, entries)
	}
	newest := indexes[len(indexes)-1]
	if newest < s.snapshotPosition.index {
		return damagedError(s.path(fmt.Sprintf(snapshotNameFormat, s.snapshotPosition.index)), 0, "the snapshot is missing")
	}
	snapshot, err := s.readSnapshot(newest)
	if err != nil {
		return err
	}
	p := position{snapshot.Meta.Index, snapshot.Meta.Term}
	if newest > s.snapshotPosition.index {
		if !s.containsEntry(p) {
			entries = nil
		}
		for len(entries) > 0 && entries[0].Index <= newest {
			entries = entries[1:]
		}
		if err := s.rebaseLog(p); err != nil {
			return err
		}
	}
	for _, index := range indexes {
		if index < newest {
			if err := s.remove(fmt.Sprintf(snapshotNameFormat, index)); err != nil {
				return err
			}
		}
	}
	return s.setRecovered(snapshot, entries)
}

func (s *Store) setRecovered(snapshot *raft.Snapshot, entries []*raftpb.Entry) error {
	if len(entries) > 0 && entries[0].Index != s.snapshotPosition.index+1 {
		return damagedError(s.path(fmt.Sprintf(segmentNameFormat, s.oldestSegment)), 0,
			"the log begins with entry %d instead of %d", entries[0].Index, s.snapshotPosition.index+1)
	}
	s.recovered = &raft.PersistentState{Snapshot: snapshot, Entries: entries}
	if s.hardState.GetTerm() != 0 {
		s.recovered.HardState = proto.CloneOf(s.hardState)
	}
	return nil
}

func (s *Store) readSnapshot(index uint64) (*raft.Snapshot, error) {
	path := s.path(fmt.Sprintf(snapshotNameFormat, index))
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the data directory
	if err != nil {
		return nil, errorx.Decorate(err, "read snapshot")
	}
	h := &diskpb.SnapshotHeader{}
	r, n, ok := parseRecord(data)
	if !ok || r.kind != recordSnapshot || proto.Unmarshal(r.payload, h) != nil || h.Format != formatVersion ||
		h.Identity != s.identity || h.Meta.GetIndex() != index {
		return nil, damagedError(path, 0, "the snapshot header is invalid")
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
			return nil, damagedError(path, offset, "a record is unreadable")
		}
	}
}
