package disk

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/disk/diskpb"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// singleVoter runs a raft group with a single voter on a store and takes a snapshot every 300 entries.
type singleVoter struct {
	store         *Store
	core          *raft.Core
	state         bytes.Buffer
	lastApplied   uint64
	snapshotIndex uint64 // index of the newest snapshot
}

func startSingleVoter(t testing.TB, cfg Config) *singleVoter {
	t.Helper()
	s, err := Open(cfg)
	assert.NilError(t, err)
	p, err := s.Load()
	assert.NilError(t, err)
	if p.Snapshot == nil {
		p = raft.Bootstrap([]*raftpb.Member{{Id: s.Identity(), Voter: true}})
		assert.NilError(t, s.SaveSnapshot(p.Snapshot.Meta, nil))
		assert.NilError(t, s.Save(p.HardState, nil))
	}
	d := &singleVoter{store: s, lastApplied: p.Snapshot.Meta.Index, snapshotIndex: p.Snapshot.Meta.Index}
	d.state.Write(p.Snapshot.Data)
	d.core, err = raft.New(raft.Config{
		ID: s.Identity(), PersistentState: p, ElectionTicks: 5, HeartbeatTicks: 1, Rand: rand.New(rand.NewPCG(1, 1)).IntN,
	})
	assert.NilError(t, err)
	for d.core.Status().Role != raft.Leader {
		d.core.Tick()
	}
	d.processReady(t)
	return d
}

func (d *singleVoter) processReady(t testing.TB) {
	for rd, ok := d.core.Ready(); ok; rd, ok = d.core.Ready() {
		if rd.Save != nil {
			assert.NilError(t, d.store.Save(rd.Save.HardState, rd.Save.Entries))
			d.core.Saved(rd.Save)
		}
		for _, e := range rd.CommittedEntries {
			assert.Equal(t, e.Index, d.lastApplied+1)
			d.state.Write(e.Data)
			d.lastApplied = e.Index
		}
		d.core.Advance(rd)
		if d.lastApplied%300 == 0 && d.lastApplied != d.snapshotIndex {
			d.snapshotIndex = d.lastApplied
			meta, err := d.core.SnapshotMeta(d.lastApplied)
			assert.NilError(t, err)
			data := bytes.Clone(d.state.Bytes())
			assert.NilError(t, d.store.SaveSnapshot(meta, data))
			assert.NilError(t, d.core.Compact(d.lastApplied, data))
		}
	}
}

func (d *singleVoter) propose(t testing.TB, n int) {
	for i := range n {
		_, err := d.core.Propose(fmt.Appendf(nil, "%d,", i))
		assert.NilError(t, err)
		d.processReady(t)
	}
}

// Guards against a restart that loses, repeats or reorders changes.
func TestRestartAfterManyChanges(t *testing.T) {
	cfg := testConfig(t)
	d := startSingleVoter(t, cfg)
	d.propose(t, 1000)
	state := d.state.String()
	for range 3 {
		assert.NilError(t, d.store.Close())
		d = startSingleVoter(t, cfg)
		assert.Equal(t, d.state.String(), state)
	}
	d.propose(t, 1)
	assert.Equal(t, d.state.String(), state+"0,")
	assert.NilError(t, d.store.Close())
}

func BenchmarkRestart(b *testing.B) {
	cfg := testConfig(b)
	d := startSingleVoter(b, cfg)
	d.propose(b, 1000)
	for b.Loop() {
		assert.NilError(b, d.store.Close())
		d = startSingleVoter(b, cfg)
	}
	assert.NilError(b, d.store.Close())
}

func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, err := Open(testConfig(b))
			assert.NilError(b, err)
			data, next := make([]byte, 256), uint64(1)
			entries := make([]*raftpb.Entry, n)
			for b.Loop() {
				for i := range entries {
					entries[i] = &raftpb.Entry{Index: next, Term: 1, Type: raftpb.EntryType_ENTRY_TYPE_COMMAND, Data: data}
					next++
				}
				if err := s.Save(nil, entries); err != nil {
					b.Fatal(err)
				}
			}
			assert.NilError(b, s.Close())
		})
	}
}

// Guards against file contents that make the decoder panic, and against records that change when they are decoded and
// encoded again.
func FuzzRecord(f *testing.F) {
	good, err := encodeMessage(recordBatch, 7, &raftpb.HardState{Term: 3, Vote: "a"})
	assert.NilError(f, err)
	f.Add(good)
	f.Add(append(bytes.Repeat([]byte{0}, 20), good...))
	batch, err := proto.Marshal(&diskpb.Batch{Entries: []*raftpb.Entry{
		entry(5, 1), entry(6, 1), entry(5, 2), entry(4, 3),
	}})
	assert.NilError(f, err)
	f.Add(batch)
	// Every position of this input looks like a record of about a million bytes; the decoder must not compute a payload
	// checksum for each of them.
	f.Add(bytes.Repeat([]byte{0, 0, 15, 0, 0, 0, 0, 0, 3, 9, 0, 0, 0, 0, 0, 0, 0}, 1<<17))
	f.Fuzz(func(t *testing.T, data []byte) {
		hasLaterRecord(data, 1)
		s := &Store{}
		entries, err := s.replayRecord("log", 1, 1, record{kind: recordBatch, seq: 1, payload: data}, nil)
		if err == nil {
			assert.Equal(t, len(entries), len(s.entries.locations))
		}
		r, n, ok := parseRecord(data)
		if !ok {
			return
		}
		again, err := appendRecord(nil, r)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, data[:n])
	})
}
