package disk

import (
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

func testConfig(t testing.TB) Config {
	return Config{Dir: filepath.Join(t.TempDir(), "data"), Log: logr.Discard()}
}

func entry(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: index, Term: term, Type: raftpb.EntryType_ENTRY_TYPE_COMMAND, Data: []byte("command")}
}

func equalEntries(t testing.TB, got, want []*raftpb.Entry) {
	t.Helper()
	assert.Equal(t, len(got), len(want))
	for i := range got {
		assert.Assert(t, proto.Equal(got[i], want[i]), "got %v, want %v", got[i], want[i])
	}
}

// Guards against a restart that loses or changes the persisted state.
func TestReopenRestoresState(t *testing.T) {
	cfg := testConfig(t)
	s, err := Open(cfg)
	assert.NilError(t, err)
	id := s.Identity()
	meta := &raftpb.SnapshotMeta{Index: 1, Term: 1, Members: []*raftpb.Member{{Id: id, Voter: true}}}
	assert.NilError(t, s.SaveSnapshot(meta, nil))
	assert.NilError(t, s.Save(&raftpb.HardState{Term: 2, Vote: id}, []*raftpb.Entry{
		entry(2, 2), entry(3, 2), entry(4, 2),
	}))
	assert.NilError(t, s.Save(&raftpb.HardState{Term: 3}, []*raftpb.Entry{entry(3, 3)}))
	_, err = Open(cfg)
	assert.ErrorContains(t, err, "another process uses the directory")
	assert.NilError(t, s.Close())

	s, err = Open(cfg)
	assert.NilError(t, err)
	assert.Equal(t, s.Identity(), id)
	p, err := s.Load()
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(p.HardState, &raftpb.HardState{Term: 3}))
	assert.Assert(t, proto.Equal(p.Snapshot.Meta, meta))
	equalEntries(t, p.Entries, []*raftpb.Entry{entry(2, 2), entry(3, 3)})
	assert.NilError(t, s.Close())
}
