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

// faultInjector makes all file operations of a store fail from one step on and then discards the unsynced data.
type faultInjector struct {
	steps, failAt   int
	tornPercent     int                 // percentage of unsynced data that reaches the disk
	loseRenames     bool                // whether unsynced renames are lost
	currentPath     map[*os.File]string // path of each file after renames
	syncedBytes     map[*os.File]int64
	unsyncedRenames []rename // since the last sync of the directory
}

type rename struct {
	from, to string
	replaced []byte // content of the replaced file; nil when there was none
}

func (x *faultInjector) failStep() bool {
	x.steps++
	return x.failAt > 0 && x.steps >= x.failAt
}

func (x *faultInjector) install(cfg *Config) {
	x.currentPath, x.syncedBytes = map[*os.File]string{}, map[*os.File]int64{}
	cfg.Write = func(f *os.File, p []byte) (int, error) {
		if x.currentPath[f] == "" {
			x.currentPath[f] = f.Name()
		}
		if x.steps >= x.failAt && x.failAt > 0 {
			return 0, errCrash
		}
		if x.failStep() {
			n, _ := f.Write(p[:len(p)*x.tornPercent/100])
			return n, errCrash
		}
		return f.Write(p)
	}
	cfg.Sync = func(f *os.File) error {
		if x.failStep() {
			return errCrash
		}
		if info, err := f.Stat(); err == nil && info.IsDir() {
			x.unsyncedRenames = nil
		} else {
			x.syncedBytes[f] = info.Size()
		}
		return nil
	}
	cfg.Rename = func(from, to string) error {
		if x.failStep() {
			return errCrash
		}
		replaced, _ := os.ReadFile(to)
		x.unsyncedRenames = append(x.unsyncedRenames, rename{from, to, replaced})
		for f, path := range x.currentPath {
			if path == from {
				x.currentPath[f] = to
			}
		}
		return os.Rename(from, to)
	}
	cfg.Remove = func(path string) error {
		if x.failStep() {
			return errCrash
		}
		return os.Remove(path)
	}
}

// simulatePowerFailure reduces the files to a state that a power failure could leave on disk.
func (x *faultInjector) simulatePowerFailure(t *testing.T) {
	for f, path := range x.currentPath {
		if info, err := os.Stat(path); err == nil {
			syncedSize := x.syncedBytes[f]
			assert.NilError(t, os.Truncate(path, syncedSize+(info.Size()-syncedSize)*int64(x.tornPercent)/100))
		}
	}
	for i := len(x.unsyncedRenames) - 1; i >= 0 && x.loseRenames; i-- {
		r := x.unsyncedRenames[i]
		assert.NilError(t, os.Rename(r.to, r.from))
		if r.replaced != nil {
			assert.NilError(t, os.WriteFile(r.to, r.replaced, fileMode))
		}
	}
}

// expectedState is the state that a store must return; runWorkload updates it like a raft core.
type expectedState struct {
	hardState        *raftpb.HardState
	snapshotPosition position
	entries          []*raftpb.Entry
}

func (e expectedState) withSave(hs *raftpb.HardState, entries []*raftpb.Entry) expectedState {
	if hs != nil {
		e.hardState = hs
	}
	if len(entries) > 0 {
		kept := entries[0].Index - e.snapshotPosition.index - 1
		e.entries = append(e.entries[:kept:kept], entries...)
	}
	return e
}

func (e expectedState) withSnapshot(p position) expectedState {
	var rest []*raftpb.Entry
	for _, o := range e.entries {
		if o.Index == p.index && o.Term == p.term {
			rest = e.entries[o.Index-e.snapshotPosition.index:]
		}
	}
	e.snapshotPosition, e.entries = p, rest
	return e
}

func (e expectedState) equal(p raft.PersistentState) bool {
	if len(p.Entries) != len(e.entries) || !proto.Equal(p.HardState, e.hardState) ||
		(p.Snapshot == nil) != (e.snapshotPosition.index == 0) {
		return false
	}
	for i := range e.entries {
		if !proto.Equal(p.Entries[i], e.entries[i]) {
			return false
		}
	}
	return p.Snapshot == nil || p.Snapshot.Meta.Index == e.snapshotPosition.index &&
		p.Snapshot.Meta.Term == e.snapshotPosition.term &&
		string(p.Snapshot.Data) == fmt.Sprint(e.snapshotPosition)
}

// runWorkload runs saves and snapshots until one fails. It returns the state before and after the failed step.
func runWorkload(s *Store) (before, after expectedState, err error) {
	save := func(hs *raftpb.HardState, entries ...*raftpb.Entry) {
		if err == nil {
			before, after = after, after.withSave(hs, entries)
			err = s.Save(hs, entries)
		}
	}
	snapshot := func(index, term uint64) {
		if err == nil {
			p := position{index, term}
			before, after = after, after.withSnapshot(p)
			err = s.SaveSnapshot(&raftpb.SnapshotMeta{Index: index, Term: term}, []byte(fmt.Sprint(p)))
		}
	}
	snapshot(1, 1)
	save(&raftpb.HardState{Term: 2, Vote: "a"})
	save(nil, entry(2, 2), entry(3, 2), entry(4, 2))
	for i := uint64(5); i < 12; i++ { // fills several segments
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

// Guards against a crash that loses an acknowledged save, keeps a part of a save or leaves a directory that cannot be
// opened. Crashes at each step of the workload and again during recovery.
func TestCrashAtEveryStep(t *testing.T) {
	crashes := 0
	for _, torn := range []int{0, 50, 100} {
		for _, loseRenames := range []bool{false, true} {
			for failAt, done := 1, false; !done; failAt++ {
				x := &faultInjector{failAt: failAt, tornPercent: torn, loseRenames: loseRenames}
				cfg := testConfig(t)
				cfg.SegmentBytes = 200
				faultFreeConfig := cfg
				x.install(&cfg)
				var before, after expectedState
				s, err := Open(cfg)
				if err == nil {
					before, after, err = runWorkload(s)
					assert.Assert(t, err == nil || s.Save(&raftpb.HardState{Term: 9}, nil) == err, "usable after %v", err)
					assert.NilError(t, s.Close())
				}
				done = err == nil
				crashes++
				x.simulatePowerFailure(t)
				verifyRecovery(t, faultFreeConfig, failAt, torn == 50, before, after)
			}
		}
	}
	t.Logf("%d crashes", crashes)
}

func verifyRecovery(t *testing.T, cfg Config, failAt int, interruptRecovery bool, before, after expectedState) {
	load := func(s *Store) raft.PersistentState {
		p, err := s.Load()
		assert.NilError(t, err)
		assert.Assert(t, before.equal(p) || after.equal(p), "step %d: got %v, want %v or %v", failAt, p, before, after)
		return p
	}
	for recoveryFailAt := 1; interruptRecovery; recoveryFailAt++ {
		x := &faultInjector{failAt: recoveryFailAt, tornPercent: 50, loseRenames: recoveryFailAt%2 == 0}
		faulty := cfg
		x.install(&faulty)
		s, err := Open(faulty)
		if err == nil {
			assert.NilError(t, s.Close())
			break
		}
		assert.ErrorContains(t, err, errCrash.Error(), "step %d, then %d", failAt, recoveryFailAt)
		x.simulatePowerFailure(t)
	}
	cfg.Sync = func(*os.File) error { return nil } // later steps need no sync because no crash follows
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

// Guards against corruption that is not detected or is mistaken for a torn record.
func TestDamageIsDetected(t *testing.T) {
	cfg := testConfig(t)
	cfg.SegmentBytes = 200
	s, err := Open(cfg)
	assert.NilError(t, err)
	_, state, err := runWorkload(s)
	assert.NilError(t, err)
	for i := uint64(12); i < 25; i++ {
		state = state.withSave(nil, []*raftpb.Entry{entry(i, 5)})
		assert.NilError(t, s.Save(nil, []*raftpb.Entry{entry(i, 5)}))
	}
	last := s.path(fmt.Sprintf(segmentNameFormat, s.segmentNumber))
	assert.NilError(t, s.Close())
	files, err := filepath.Glob(filepath.Join(cfg.Dir, "*-*"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 3)
	for _, path := range append(files, s.path(identityName)) {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		tail := len(data)
		if path == last { // corruption of the last record looks like a torn record
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
