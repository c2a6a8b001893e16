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
	lockName     = "lock"
	identityName = "identity"
	format       = 1
)

// Store is an open data directory; it must be used from one goroutine only.
type Store struct {
	cfg      Config
	identity string
	lock     *os.File
	failed   error
	loaded   *raft.PersistentState // until Load

	log     *os.File // newest segment
	size    int64
	seq     uint64 // of the last record
	state   *raftpb.HardState
	number  uint64 // of the newest segment
	oldest  uint64 // number of the oldest segment
	snap    position
	entries entryIndex
}

// position is a place in the log; its index is zero when there is none.
type position struct{ index, term uint64 }

// entryIndex knows term and segment of each live entry.
type entryIndex struct {
	first uint64
	list  []entryPlace
}

type entryPlace struct{ term, segment uint64 }

func (x *entryIndex) next() uint64 { return x.first + uint64(len(x.list)) }

func (x *entryIndex) put(index, term, segment uint64) {
	if index < x.first || len(x.list) == 0 {
		x.first, x.list = index, x.list[:0]
	}
	x.list = append(x.list[:index-x.first], entryPlace{term, segment})
}

// trim removes the entries through index.
func (x *entryIndex) trim(index uint64) {
	if index < x.first {
		return
	}
	n := min(index+1-x.first, uint64(len(x.list)))
	x.list = append([]entryPlace(nil), x.list[n:]...)
	x.first = index + 1
}

// Open locks the directory, creates what is missing in a new one, and reads and repairs the log.
func Open(cfg Config) (*Store, error) {
	cfg.setDefaults()
	s := &Store{cfg: cfg}
	if err := s.open(); err != nil {
		_ = s.closeFiles() // the first error counts
		return nil, errorx.Decorate(err, "open data directory %s", cfg.Dir)
	}
	return s, nil
}

func (s *Store) open() error {
	if err := os.Mkdir(s.cfg.Dir, dirMode); err != nil && !errors.Is(err, fs.ErrExist) {
		return errorx.Decorate(err, "create directory")
	}
	if err := s.syncDir(filepath.Dir(s.cfg.Dir)); err != nil {
		return err
	}
	if err := s.acquireLock(); err != nil {
		return err
	}
	names, err := s.list()
	if err != nil {
		return err
	}
	switch err := s.readIdentity(); {
	case errors.Is(err, fs.ErrNotExist):
		return s.create(names)
	case err != nil:
		return err
	}
	return s.recover(names)
}

// acquireLock takes a lock that the operating system drops when the process ends.
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

// names are the files of a directory, oldest first.
type names struct{ segments, snapshots []uint64 }

// list removes temporary files of an interrupted write and returns the others.
func (s *Store) list() (names, error) {
	var n names
	files, err := os.ReadDir(s.cfg.Dir) // ordered by name, so numbers of fixed width are in order
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
		if number, ok := parseName(segmentFormat, name); ok {
			n.segments = append(n.segments, number)
		}
		if index, ok := parseName(snapshotFormat, name); ok {
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
		return damaged(path, 0, "the identity is unreadable")
	}
	s.identity = m.Id
	return nil
}

// create sets up a new directory. The identity is written last: a directory without one holds nothing that was ever
// used, unless the identity was deleted.
func (s *Store) create(n names) error {
	if len(n.snapshots) > 0 || len(n.segments) > 1 || len(n.segments) == 1 && !s.unused(n.segments[0]) {
		return damaged(s.path(identityName), 0, "the identity is missing from a directory with a log")
	}
	id, err := s.cfg.NewIdentity()
	if err != nil {
		return errorx.Decorate(err, "draw identity")
	}
	s.identity, s.oldest, s.state = id, 1, &raftpb.HardState{}
	s.entries.first, s.loaded = 1, &raft.PersistentState{}
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

// Identity returns the identity that was drawn when the directory was created.
func (s *Store) Identity() string { return s.identity }

// Load returns what was found when the directory was opened; it may be called once, before the first save.
func (s *Store) Load() (raft.PersistentState, error) {
	if s.failed != nil {
		return raft.PersistentState{}, s.failed
	}
	if s.loaded == nil {
		return raft.PersistentState{}, errorx.IllegalState.New("the persisted state was already loaded")
	}
	p := *s.loaded
	s.loaded = nil
	return p, nil
}

// Save appends hs, unless it is nil, and entries to the log and syncs it. After an error the store is unusable: the
// operating system may have dropped the unsynced data, so that a second sync would report success without them.
func (s *Store) Save(hs *raftpb.HardState, entries []*raftpb.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := s.checkOrder(entries); err != nil {
		return err
	}
	return s.fail(s.save(hs, entries))
}

func (s *Store) checkOrder(entries []*raftpb.Entry) error {
	next := s.entries.next()
	for i, e := range entries {
		if e.Index > next || e.Index <= s.snap.index || i > 0 && e.Index != next {
			return errorx.IllegalArgument.New("entry %d can't be saved: the log goes from %d to %d", e.Index, s.snap.index,
				next-1)
		}
		next = e.Index + 1
	}
	return nil
}

func (s *Store) save(hs *raftpb.HardState, entries []*raftpb.Entry) error {
	if s.size >= s.cfg.SegmentBytes {
		if err := s.startSegment(s.number + 1); err != nil {
			return err
		}
	}
	buf, err := encodeMessage(recordBatch, s.seq+1, &diskpb.Batch{HardState: hs, Entries: entries})
	if err != nil {
		return err
	}
	if err := s.writeAll(s.log, buf); err != nil {
		return err
	}
	if err := s.cfg.Sync(s.log); err != nil {
		return errorx.Decorate(err, "sync %s", s.path(fmt.Sprintf(segmentFormat, s.number)))
	}
	s.seq++
	s.size += int64(len(buf))
	if hs != nil {
		s.state = proto.CloneOf(hs)
	}
	for _, e := range entries {
		s.entries.put(e.Index, e.Term, s.number)
	}
	return nil
}

// fail makes the store unusable after an error.
func (s *Store) fail(err error) error {
	if err != nil && s.failed == nil {
		s.failed = ErrFailed.Wrap(err, "the data directory is unusable until the process restarts")
	}
	return s.failed
}

// Close releases the directory.
func (s *Store) Close() error {
	if s.failed == nil {
		s.failed = ErrFailed.New("the data directory is closed")
	}
	return s.closeFiles()
}

func (s *Store) closeFiles() error {
	var errs []error
	for _, f := range []*os.File{s.log, s.lock} {
		if f != nil {
			errs = append(errs, f.Close())
		}
	}
	s.log, s.lock = nil, nil
	return errors.Join(errs...)
}
