package raft

import (
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

const (
	// maxChunkBytes limits the snapshot data of one message.
	maxChunkBytes = 64 << 10
	// maxSnapshotBytes limits the size of a snapshot, and so the memory that a member can make another one allocate.
	maxSnapshotBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotTransfer is the transfer of a snapshot to a member. A transfer under way goes on with its snapshot when the
// leader takes a newer one.
type snapshotTransfer struct {
	snapshot     *Snapshot
	checksum     uint32
	offset       uint64 // number of bytes that the member has received
	lastSentTick uint64 // when the last chunk was sent
}

// incomingSnapshot is a snapshot that arrives in chunks. It is kept when the leader changes, so that a new leader that
// sends the same snapshot resumes the transfer.
type incomingSnapshot struct {
	meta     *raftpb.SnapshotMeta
	size     uint64
	checksum uint32
	data     []byte
}

// startSnapshotTransfer sends an empty chunk, whose response tells how many bytes the member already has.
func (c *Core) startSnapshotTransfer(id string, p *progress) {
	p.startProbing(p.nextIndex)
	p.state = transferring
	p.transfer = &snapshotTransfer{snapshot: c.snapshot, checksum: crc32.Checksum(c.snapshot.Data, castagnoli)}
	c.sendChunk(id, p, 0)
}

// sendChunk sends up to limit bytes of the snapshot from the current offset.
func (c *Core) sendChunk(id string, p *progress, limit uint64) {
	t := p.transfer
	t.lastSentTick = c.tickCount
	size := uint64(len(t.snapshot.Data))
	c.send(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, To: id, Snapshot: t.snapshot.Meta, Size: size,
		Checksum: t.checksum, Offset: t.offset, Data: t.snapshot.Data[t.offset:min(t.offset+limit, size)],
	})
}

// resumeSnapshotTransfer asks the member for its offset if no chunk was sent for a heartbeat interval, because the
// last chunk or its response may be lost. A transfer at offset 0 starts again if there is a newer snapshot.
func (c *Core) resumeSnapshotTransfer(id string, p *progress) {
	switch {
	case c.tickCount-p.transfer.lastSentTick < uint64(c.cfg.HeartbeatTicks):
	case p.transfer.offset == 0 && p.transfer.snapshot != c.snapshot:
		c.startSnapshotTransfer(id, p)
	default:
		c.sendChunk(id, p, 0)
	}
}

func (c *Core) onSnapshotResponse(m *raftpb.Message, p *progress) {
	if p.state != transferring || m.LogIndex != p.transfer.snapshot.Meta.Index || m.Checksum != p.transfer.checksum {
		return
	}
	if size := uint64(len(p.transfer.snapshot.Data)); m.Offset < size {
		p.transfer.offset = m.Offset
		c.sendChunk(m.From, p, maxChunkBytes)
	}
}

func (c *Core) onSnapshot(m *raftpb.Message) error {
	meta := m.Snapshot
	if meta.Index <= c.commitIndex || c.log.matchesTerm(meta.Index, meta.Term) {
		// The log already contains everything that the snapshot covers.
		c.commitTo(meta.Index)
		c.incoming = nil
		c.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_RESPONSE, To: m.From, LogIndex: c.commitIndex})
		return nil
	}
	r := c.incoming
	if r == nil || !proto.Equal(r.meta, meta) || r.size != m.Size || r.checksum != m.Checksum {
		r = &incomingSnapshot{meta: meta, size: m.Size, checksum: m.Checksum}
		c.incoming = r
	}
	if m.Offset == uint64(len(r.data)) {
		r.data = append(r.data, m.Data...)
	}
	if uint64(len(r.data)) < r.size {
		c.send(&raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_RESPONSE, To: m.From, LogIndex: meta.Index,
			Offset: uint64(len(r.data)), Checksum: r.checksum,
		})
		return nil
	}
	c.incoming = nil
	if crc32.Checksum(r.data, castagnoli) != r.checksum {
		return ErrInvalid.New("snapshot at %d from %q has a wrong checksum", meta.Index, m.From)
	}
	c.installSnapshot(&Snapshot{Meta: meta, Data: r.data})
	c.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_RESPONSE, To: m.From, LogIndex: meta.Index})
	return nil
}

// installSnapshot replaces the whole log with a snapshot.
func (c *Core) installSnapshot(s *Snapshot) {
	c.log.reset(s.Meta.Index, s.Meta.Term)
	c.commitIndex, c.lastApplied = s.Meta.Index, s.Meta.Index
	c.snapshot, c.snapshotToRestore, c.snapshotToSave = s, s, s
	c.baseMembership = s.Meta.Members
	c.updateMembership()
}

// SnapshotMeta returns the metadata for a snapshot of the state after the entry at index, which must be applied.
func (c *Core) SnapshotMeta(index uint64) (*raftpb.SnapshotMeta, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.lastApplied || c.snapshot != nil && index < c.snapshot.Meta.Index {
		return nil, ErrInvalid.New("no snapshot is possible at %d: entries through %d are applied", index, c.lastApplied)
	}
	return &raftpb.SnapshotMeta{Index: index, Term: term, Members: c.membersAt(index)}, nil
}

// Compact records that the driver has saved a snapshot of the state after the entry at index, and discards the
// entries that the snapshot covers, except for the trailing ones that members which lag slightly may need. It does nothing if a
// later snapshot of the leader has replaced the log meanwhile.
func (c *Core) Compact(index uint64, state []byte) error {
	if c.snapshot != nil && index < c.snapshot.Meta.Index {
		return nil
	}
	meta, err := c.SnapshotMeta(index)
	if err != nil {
		return err
	}
	c.snapshot = &Snapshot{Meta: meta, Data: state}
	newBase, size := index, 0
	for newBase > c.log.baseIndex && index-newBase < maxTrailingEntries {
		if size += entrySize(c.log.entries[newBase-c.log.baseIndex-1]); size > maxTrailingBytes {
			break
		}
		newBase--
	}
	members := c.membersAt(newBase)
	c.log.discardThrough(newBase)
	c.baseMembership = members
	return nil
}
