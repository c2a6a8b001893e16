package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/disk/diskpb"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

const (
	lockName      = "lock"
	identityName  = "identity"
	formatVersion = 1
)

// Store is an open data directory; it must be used from one goroutine only.
type Store struct {
	cfg       Config
	identity  string
	lock      *os.File
	failure   error
	recovered *raft.PersistentState // nil after Load

	segmentFile      *os.File // newest segment
	segmentSize      int64
	lastSeq          uint64 // sequence number of the last record
	hardState        *raftpb.HardState
	segmentNumber    uint64 // number of the newest segment
	oldestSegment    uint64 // number of the oldest segment
	snapshotPosition position
	entries          entryIndex
}

// position is the index and term of a log entry; the index is zero when there is none.
type position struct{ index, term uint64 }

// entryIndex maps the index of each live entry to its term and segment.
type entryIndex struct {
	firstIndex uint64
	locations  []entryLocation
}

type entryLocation struct{ term, segment uint64 }

func (x *entryIndex) nextIndex() uint64 { return x.firstIndex + uint64(len(x.locations)) }

func (x *entryIndex) setLocation(index, term, segment uint64) {
	if index < x.firstIndex || len(x.locations) == 0 {
		x.firstIndex, x.locations = index, x.locations[:0]
	}
	x.locations = append(x.locations[:index-x.firstIndex], entryLocation{term, segment})
}

// dropThrough removes the entries up to and including index.
func (x *entryIndex) dropThrough(index uint64) {
	if index < x.firstIndex {
		return
	}
	n := min(index+1-x.firstIndex, uint64(len(x.locations)))
	x.locations = append([]entryLocation(nil), x.locations[n:]...)
	x.firstIndex = index + 1
}

// Open locks the directory, initializes it if it is new, and recovers the log and the newest snapshot.
func Open(cfg Config) (*Store, error) {
	cfg.setDefaults()
	s := &Store{cfg: cfg}
	if err := s.openDirectory(); err != nil {
		_ = s.closeFiles() // the first error is returned
		return nil, errorx.Decorate(err, "open data directory %s", cfg.Dir)
	}
	return s, nil
}

func (s *Store) openDirectory() error {
	if err := os.Mkdir(s.cfg.Dir, dirMode); err != nil && !errors.Is(err, fs.ErrExist) {
		return errorx.Decorate(err, "create directory")
	}
	if err := s.syncDir(filepath.Dir(s.cfg.Dir)); err != nil {
		return err
	}
	if err := s.acquireLock(); err != nil {
		return err
	}
	names, err := s.listFiles()
	if err != nil {
		return err
	}
	switch err := s.readIdentity(); {
	case errors.Is(err, fs.ErrNotExist):
		return s.initialize(names)
	case err != nil:
		return err
	}
	return s.recoverState(names)
}

// acquireLock locks the directory; the operating system releases the lock when the process ends.
func (s *Store) acquireLock() error {
	f, err := os.OpenFile(s.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errorx.Decorate(err, "open lock file")
	}
	s.lock = f
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return ErrLocked.Wrap(err, "another process uses the directory")
	}
	return nil
}

// fileNumbers holds the numbers of the log segments and the indexes of the snapshots in a directory, both in ascending
// order.
type fileNumbers struct{ segments, snapshots []uint64 }

// listFiles returns the segments and snapshots of the directory and removes temporary files of interrupted writes.
func (s *Store) listFiles() (fileNumbers, error) {
	var n fileNumbers
	files, err := os.ReadDir(s.cfg.Dir) // sorted by name, which sorts numbers of fixed width too
	if err != nil {
		return n, errorx.Decorate(err, "list directory")
	}
	for _, f := range files {
		name := f.Name()
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.remove(name); err != nil {
				return n, err
			}
		}
		if number, ok := parseFileName(segmentNameFormat, name); ok {
			n.segments = append(n.segments, number)
		}
		if index, ok := parseFileName(snapshotNameFormat, name); ok {
			n.snapshots = append(n.snapshots, index)
		}
	}
	return n, nil
}

func (s *Store) readIdentity() error {
	path := s.path(identityName)
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the data directory
	if err != nil {
		return err
	}
	r, n, ok := parseRecord(data)
	m := &diskpb.Identity{}
	if !ok || n != len(data) || r.kind != recordIdentity || proto.Unmarshal(r.payload, m) != nil || m.Id == "" {
		return damagedError(path, 0, "the identity is unreadable")
	}
	s.identity = m.Id
	return nil
}

// initialize sets up a new directory. It writes the identity last, so that a directory without identity was never in
// use unless the identity was deleted.
func (s *Store) initialize(n fileNumbers) error {
	if len(n.snapshots) > 0 || len(n.segments) > 1 || len(n.segments) == 1 && !s.isUnusedFirstSegment(n.segments[0]) {
		return damagedError(s.path(identityName), 0, "the identity is missing from a directory with a log")
	}
	id, err := s.cfg.NewIdentity()
	if err != nil {
		return errorx.Decorate(err, "generate identity")
	}
	s.identity, s.oldestSegment, s.hardState = id, 1, &raftpb.HardState{}
	s.entries.firstIndex, s.recovered = 1, &raft.PersistentState{}
	if err := s.startSegment(1); err != nil {
		return err
	}
	f, err := s.createFile(identityName, func(f *os.File) error {
		buf, err := encodeMessage(recordIdentity, 0, &diskpb.Identity{Id: id})
		if err != nil {
			return err
		}
		return s.writeAll(f, buf)
	})
	if err != nil {
		return err
	}
	return f.Close()
}

// Identity returns the identity that was generated when the directory was created.
func (s *Store) Identity() string { return s.identity }

// Load returns the state that Open recovered. It may be called once, before the first save.
func (s *Store) Load() (raft.PersistentState, error) {
	if s.failure != nil {
		return raft.PersistentState{}, s.failure
	}
	if s.recovered == nil {
		return raft.PersistentState{}, errorx.IllegalState.New("the persisted state was already loaded")
	}
	p := *s.recovered
	s.recovered = nil
	return p, nil
}

// Save appends entries and, unless it is nil, hs to the log and syncs the log. After a write error the store is
// unusable: the operating system may have dropped unsynced data, so that a second sync would succeed although the data
// is lost.
func (s *Store) Save(hs *raftpb.HardState, entries []*raftpb.Entry) error {
	if s.failure != nil {
		return s.failure
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := s.checkEntryOrder(entries); err != nil {
		return err
	}
	return s.recordFailure(s.save(hs, entries))
}

func (s *Store) checkEntryOrder(entries []*raftpb.Entry) error {
	next := s.entries.nextIndex()
	for i, e := range entries {
		if e.Index > next || e.Index <= s.snapshotPosition.index || i > 0 && e.Index != next {
			return errorx.IllegalArgument.New("entry %d can't be saved: the log goes from %d to %d", e.Index,
				s.snapshotPosition.index, next-1)
		}
		next = e.Index + 1
	}
	return nil
}

func (s *Store) save(hs *raftpb.HardState, entries []*raftpb.Entry) error {
	if s.segmentSize >= s.cfg.SegmentBytes {
		if err := s.startSegment(s.segmentNumber + 1); err != nil {
			return err
		}
	}
	buf, err := encodeMessage(recordBatch, s.lastSeq+1, &diskpb.Batch{HardState: hs, Entries: entries})
	if err != nil {
		return err
	}
	if err := s.writeAll(s.segmentFile, buf); err != nil {
		return err
	}
	if err := s.cfg.Sync(s.segmentFile); err != nil {
		return errorx.Decorate(err, "sync %s", s.path(fmt.Sprintf(segmentNameFormat, s.segmentNumber)))
	}
	s.lastSeq++
	s.segmentSize += int64(len(buf))
	if hs != nil {
		s.hardState = proto.CloneOf(hs)
	}
	for _, e := range entries {
		s.entries.setLocation(e.Index, e.Term, s.segmentNumber)
	}
	return nil
}

// recordFailure makes the store unusable if err is not nil, and returns the failure of the store.
func (s *Store) recordFailure(err error) error {
	if err != nil && s.failure == nil {
		s.failure = ErrFailed.Wrap(err, "the data directory is unusable until the process restarts")
	}
	return s.failure
}

// Close closes the files and releases the lock of the directory.
func (s *Store) Close() error {
	if s.failure == nil {
		s.failure = ErrFailed.New("the data directory is closed")
	}
	return s.closeFiles()
}

func (s *Store) closeFiles() error {
	var errs []error
	for _, f := range []*os.File{s.segmentFile, s.lock} {
		if f != nil {
			errs = append(errs, f.Close())
		}
	}
	s.segmentFile, s.lock = nil, nil
	return errors.Join(errs...)
}
