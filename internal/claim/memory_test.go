package claim

import (
	"context"
	"errors"
	"math/rand"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
)

var errCrash = errors.New("crashed")

// memoryFile is a file of a memoryDisk.
type memoryFile struct {
	data    []byte
	synced  int
	created bool // its creation is durable
	removed bool // removed, but not durably
}

// memoryDisk is a directory in memory that may lose unsynced data in a crash. All operations fail from step crashAt on;
// 0 means that none fails.
type memoryDisk struct {
	files          map[string]*memoryFile
	steps, crashAt int
}

// countStep counts an operation and returns errCrash if it fails.
func (d *memoryDisk) countStep() error {
	d.steps++
	if d.crashAt > 0 && d.steps >= d.crashAt {
		return errCrash
	}
	return nil
}

// crash drops a random part of the unsynced data and may corrupt the rest of it.
func (d *memoryDisk) crash(rng *rand.Rand) {
	for name, f := range d.files {
		if (f.removed && rng.Intn(2) == 0) || (!f.created && rng.Intn(2) == 0) {
			delete(d.files, name)
			continue
		}
		f.data = f.data[:f.synced+rng.Intn(len(f.data)-f.synced+1)]
		if n := len(f.data); n > f.synced && rng.Intn(2) == 0 {
			f.data[f.synced+rng.Intn(n-f.synced)] ^= 0x55
		}
		f.removed, f.created, f.synced = false, true, len(f.data)
	}
	d.crashAt, d.steps = 0, 0
}

func (d *memoryDisk) open(string) (storage, error) {
	get := func(name string) (*memoryFile, error) {
		if f := d.files[name]; f != nil && !f.removed {
			return f, nil
		}
		return nil, errors.New("no such file")
	}
	change := func(name string, apply func(f *memoryFile)) error {
		f, err := get(name)
		if err == nil {
			if err = d.countStep(); err == nil || len(f.data) == f.synced {
				apply(f) // a crash may come after the change, but a failed sync makes nothing durable
			}
		}
		return err
	}
	return storage{
		list: func() (names []string, err error) {
			for name, f := range d.files {
				if !f.removed {
					names = append(names, name)
				}
			}
			return names, nil
		},
		read: func(name string) ([]byte, error) {
			f, err := get(name)
			if err != nil {
				return nil, err
			}
			return slices.Clone(f.data), nil
		},
		create: func(name string) error {
			if f := d.files[name]; f != nil && !f.removed {
				return errors.New("file exists")
			}
			d.files[name] = &memoryFile{}
			return d.countStep()
		},
		append: func(name string, data []byte) error {
			return change(name, func(f *memoryFile) { f.data = append(f.data, data...) })
		},
		sync: func(name string) error { return change(name, func(f *memoryFile) { f.synced = len(f.data) }) },
		truncate: func(name string, size int64) error {
			return change(name, func(f *memoryFile) { f.data, f.synced = f.data[:size], int(size) })
		},
		remove: func(name string) error { return change(name, func(f *memoryFile) { f.removed = true }) },
		syncDir: func() error {
			if err := d.countStep(); err != nil {
				return err
			}
			for name, f := range d.files {
				if f.created = true; f.removed {
					delete(d.files, name)
				}
			}
			return nil
		},
		close: func() error { return nil },
	}, nil
}

// testClock is a wall clock and a monotonic clock that advance together, except that the wall clock may jump.
type testClock struct{ wall, elapsed atomic.Int64 }

func newTestClock() *testClock {
	c := &testClock{}
	c.wall.Store(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())
	return c
}

func (c *testClock) Now() time.Time         { return time.Unix(0, c.wall.Load()) }
func (c *testClock) Elapsed() time.Duration { return time.Duration(c.elapsed.Load()) }
func (c *testClock) jump(d time.Duration)   { c.wall.Add(int64(d)) }
func (c *testClock) advance(d time.Duration) {
	c.jump(d)
	c.elapsed.Add(int64(d))
}

// idAt returns a UUIDv7 with the given time and n as its last byte.
func idAt(at time.Time, n byte) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}

func claimRequest(t testing.TB, id string, token byte, epoch uint64) *claimpb.ClaimRequest {
	t.Helper()
	parsed, err := parseID(id)
	assert.NilError(t, err)
	return &claimpb.ClaimRequest{Team: "a", Id: parsed[:], Token: []byte{7: token}, Epoch: epoch}
}

func voters(identities ...string) (list []*claimpb.Voter) {
	for _, id := range identities {
		list = append(list, &claimpb.Voter{Identity: id, Address: id})
	}
	return list
}

// group is a set of keepers by identity, with direct calls instead of a network.
type group map[string]*Keeper

func (g group) call(ctx context.Context, address, kind string, req, resp proto.Message) (err error) {
	k := g[address]
	if k == nil {
		return errors.New("unreachable")
	}
	var m proto.Message
	switch kind {
	case KindClaim:
		m, err = k.Claim(ctx, req.(*claimpb.ClaimRequest))
	case KindRelease:
		m, err = k.Release(ctx, req.(*claimpb.ReleaseRequest))
	case KindCopy:
		m, err = k.Copy(ctx, req.(*claimpb.CopyRequest))
	}
	if err == nil {
		proto.Merge(resp, m)
	}
	return err
}

func testConfig(identity string, clock *testClock, disk *memoryDisk) Config {
	return Config{
		Identity: identity, AllowNewJournal: len(disk.files) == 0, Now: clock.Now, Elapsed: clock.Elapsed,
		Log: logr.Discard(), open: disk.open,
	}
}

func newMemoryDisk() *memoryDisk { return &memoryDisk{files: map[string]*memoryFile{}} }
