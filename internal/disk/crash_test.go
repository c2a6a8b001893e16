package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

var errCrash = errors.New("simulated crash")

// faults stops a store at one step and then takes back what was not synced.
type faults struct {
	steps, failAt int
	torn          int                 // percentage of an unsynced write that reaches the disk
	undo          bool                // unsynced renames are lost
	current       map[*os.File]string // present name, which differs from the one under which the file was opened
	synced        map[*os.File]int64
	renames       []rename // since the last sync of the directory
}

type rename struct {
	from, to string
	replaced []byte // nil when there was no file
}

func (x *faults) fail() bool {
	x.steps++
	return x.failAt > 0 && x.steps >= x.failAt
}

func (x *faults) install(cfg *Config) {
	x.current, x.synced = map[*os.File]string{}, map[*os.File]int64{}
	cfg.Write = func(f *os.File, p []byte) (int, error) {
		if x.current[f] == "" {
			x.current[f] = f.Name()
		}
		if x.steps >= x.failAt && x.failAt > 0 {
			return 0, errCrash
		}
		if x.fail() {
			n, _ := f.Write(p[:len(p)*x.torn/100])
			return n, errCrash
		}
		return f.Write(p)
	}
	cfg.Sync = func(f *os.File) error {
		if x.fail() {
			return errCrash
		}
		if info, err := f.Stat(); err == nil && info.IsDir() {
			x.renames = nil
		} else {
			x.synced[f] = info.Size()
		}
		return nil
	}
	cfg.Rename = func(from, to string) error {
		if x.fail() {
			return errCrash
		}
		replaced, _ := os.ReadFile(to)
		x.renames = append(x.renames, rename{from, to, replaced})
		for f, path := range x.current {
			if path == from {
				x.current[f] = to
			}
		}
		return os.Rename(from, to)
	}
	cfg.Remove = func(path string) error {
		if x.fail() {
			return errCrash
		}
		return os.Remove(path)
	}
}

// crash leaves on the disk what a power failure could leave.
func (x *faults) crash(t *testing.T) {
	for f, path := range x.current {
		if info, err := os.Stat(path); err == nil {
			keep := x.synced[f]
			assert.NilError(t, os.Truncate(path, keep+(info.Size()-keep)*int64(x.torn)/100))
		}
	}
	for i := len(x.renames) - 1; i >= 0 && x.undo; i-- {
		r := x.renames[i]
		assert.NilError(t, os.Rename(r.to, r.from))
		if r.replaced != nil {
			assert.NilError(t, os.WriteFile(r.to, r.replaced, fileMode))
		}
	}
}

// expected is the state that a store must show; the workload keeps it like a raft core would.
type expected struct {
	hs      *raftpb.HardState
	snap    position
	entries []*raftpb.Entry
}

func (e expected) save(hs *raftpb.HardState, entries []*raftpb.Entry) expected {
	if hs != nil {
		e.hs = hs
	}
	if len(entries) > 0 {
		keep := entries[0].Index - e.snap.index - 1
		e.entries = append(e.entries[:keep:keep], entries...)
	}
	return e
}

func (e expected) snapshot(p position) expected {
	var rest []*raftpb.Entry
	for _, o := range e.entries {
		if o.Index == p.index && o.Term == p.term {
			rest = e.entries[o.Index-e.snap.index:]
		}
	}
	e.snap, e.entries = p, rest
	return e
}

func (e expected) equal(p raft.PersistentState) bool {
	if len(p.Entries) != len(e.entries) || !proto.Equal(p.HardState, e.hs) || (p.Snapshot == nil) != (e.snap.index == 0) {
		return false
	}
	for i := range e.entries {
		if !proto.Equal(p.Entries[i], e.entries[i]) {
			return false
		}
	}
	return p.Snapshot == nil || p.Snapshot.Meta.Index == e.snap.index && p.Snapshot.Meta.Term == e.snap.term &&
		string(p.Snapshot.Data) == fmt.Sprint(e.snap)
}

// workload runs saves and snapshots until one fails. It returns the state before and after the failed step.
func workload(s *Store) (before, after expected, err error) {
	save := func(hs *raftpb.HardState, entries ...*raftpb.Entry) {
		if err == nil {
			before, after = after, after.save(hs, entries)
			err = s.Save(hs, entries)
		}
	}
	snapshot := func(index, term uint64) {
		if err == nil {
			p := position{index, term}
			before, after = after, after.snapshot(p)
			err = s.SaveSnapshot(&raftpb.SnapshotMeta{Index: index, Term: term}, []byte(fmt.Sprint(p)))
		}
	}
	snapshot(1, 1)
	save(&raftpb.HardState{Term: 2, Vote: "a"})
	save(nil, entry(2, 2), entry(3, 2), entry(4, 2))
	for i := uint64(5); i < 12; i++ { // some segments
		save(nil, entry(i, 2))
	}
	save(&raftpb.HardState{Term: 3}, entry(8, 3), entry(9, 3)) // replaces the entries after 7
	snapshot(8, 3)                                             // keeps entry 9
	save(nil, entry(10, 3))
	save(&raftpb.HardState{Term: 4}, entry(9, 4), entry(10, 4), entry(11, 4))
	snapshot(10, 5) // replaces a log that conflicts with it
	save(&raftpb.HardState{Term: 5, Vote: "b"})
	save(nil, entry(11, 5))
	if err == nil {
		before = after
	}
	return before, after, err
}

// Guards against a crash at any step that loses an acknowledged save, keeps half of one or leaves a directory that does
// not open, also when the process stops again while it recovers.
func TestCrashAtEveryStep(t *testing.T) {
	crashes := 0
	for _, torn := range []int{0, 50, 100} {
		for _, undo := range []bool{false, true} {
			for failAt, done := 1, false; !done; failAt++ {
				x := &faults{failAt: failAt, torn: torn, undo: undo}
				cfg := testConfig(t)
				cfg.SegmentBytes = 200
				clean := cfg
				x.install(&cfg)
				var before, after expected
				s, err := Open(cfg)
				if err == nil {
					before, after, err = workload(s)
					assert.Assert(t, err == nil || s.Save(&raftpb.HardState{Term: 9}, nil) == err, "usable after %v", err)
					assert.NilError(t, s.Close())
				}
				done = err == nil
				crashes++
				x.crash(t)
				verify(t, clean, failAt, torn == 50, before, after)
			}
		}
	}
	t.Logf("%d crashes", crashes)
}

func verify(t *testing.T, cfg Config, failAt int, interrupt bool, before, after expected) {
	load := func(s *Store) raft.PersistentState {
		p, err := s.Load()
		assert.NilError(t, err)
		assert.Assert(t, before.equal(p) || after.equal(p), "step %d: got %v, want %v or %v", failAt, p, before, after)
		return p
	}
	for again := 1; interrupt; again++ {
		x := &faults{failAt: again, torn: 50, undo: again%2 == 0}
		faulty := cfg
		x.install(&faulty)
		s, err := Open(faulty)
		if err == nil {
			assert.NilError(t, s.Close())
			break
		}
		assert.ErrorContains(t, err, errCrash.Error(), "step %d, then %d", failAt, again)
		x.crash(t)
	}
	cfg.Sync = func(*os.File) error { return nil } // nothing is lost from here on
	s, err := Open(cfg)
	assert.NilError(t, err)
	p := load(s)
	next := uint64(1 + len(p.Entries))
	if p.Snapshot != nil {
		next += p.Snapshot.Meta.Index
	}
	assert.NilError(t, s.Save(&raftpb.HardState{Term: 9}, []*raftpb.Entry{entry(next, 9)}))
	assert.NilError(t, s.Close())
}

// Guards against damage that goes unnoticed, or that is taken for a torn record.
func TestDamage(t *testing.T) {
	cfg := testConfig(t)
	cfg.SegmentBytes = 200
	s, err := Open(cfg)
	assert.NilError(t, err)
	_, state, err := workload(s)
	assert.NilError(t, err)
	for i := uint64(12); i < 25; i++ {
		state = state.save(nil, []*raftpb.Entry{entry(i, 5)})
		assert.NilError(t, s.Save(nil, []*raftpb.Entry{entry(i, 5)}))
	}
	last := s.path(fmt.Sprintf(segmentFormat, s.number))
	assert.NilError(t, s.Close())
	files, err := filepath.Glob(filepath.Join(cfg.Dir, "*-*"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 3)
	for _, path := range append(files, s.path(identityName)) {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		tail := len(data)
		if path == last { // its last record can't be told from a torn one
			for n := 0; n < len(data); {
				_, size, _ := parseRecord(data[n:])
				tail, n = n, n+size
			}
		}
		for i := range tail {
			data[i] ^= 4
			assert.NilError(t, os.WriteFile(path, data, fileMode))
			_, err := Open(cfg)
			assert.ErrorContains(t, err, path+" at offset ", "bit flip at %d", i)
			data[i] ^= 4
		}
		_, first, _ := parseRecord(data)
		if _, second, ok := parseRecord(data[first:]); ok && first+second < len(data) {
			assert.NilError(t, os.WriteFile(path, slices.Concat(data[:first], data[first+second:]), fileMode))
			_, err := Open(cfg)
			assert.ErrorContains(t, err, path+" at offset ", "the second record is missing")
		}
		assert.NilError(t, os.WriteFile(path, data, fileMode))
		if path == last {
			continue // no other file depends on the newest segment
		}
		assert.NilError(t, os.Rename(path, path+"~"))
		_, err = Open(cfg)
		assert.ErrorContains(t, err, "at offset 0", "%s is missing", path)
		assert.NilError(t, os.Rename(path+"~", path))
	}
	s, err = Open(cfg)
	assert.NilError(t, err)
	p, err := s.Load()
	assert.NilError(t, err)
	assert.Assert(t, state.equal(p))
	assert.NilError(t, s.Close())
}
