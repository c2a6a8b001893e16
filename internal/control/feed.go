package control

import (
	"sync"

	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
)

// feedLength is how many updates are kept for processes that reconnect; others start from a snapshot.
const feedLength = 1024

// feed holds the newest updates for the view streams.
type feed struct {
	mu      sync.Mutex
	base    uint64 // index before the first update
	updates []*controlpb.Update
	grown   chan struct{}
	closed  bool
}

func newFeed(base uint64) *feed { return &feed{base: base, grown: make(chan struct{})} }

func (f *feed) add(u *controlpb.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates = append(f.updates, u)
	if n := len(f.updates) - feedLength; n >= feedLength {
		// Half of the updates is dropped at once, so that the copy is rare.
		f.base = f.updates[n-1].Index
		f.updates = append([]*controlpb.Update(nil), f.updates[n:]...)
	}
	f.wake()
}

func (f *feed) wake() {
	close(f.grown)
	f.grown = make(chan struct{})
}

// reset drops all updates after a snapshot replaced the state.
func (f *feed) reset(base uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.base, f.updates = base, nil
	f.wake()
}

func (f *feed) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.wake()
}

// after returns the updates after an index; ok is false when some of them are gone. The channel is closed when there
// are more.
func (f *feed) after(index uint64) (updates []*controlpb.Update, grown <-chan struct{}, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.base + uint64(len(f.updates))
	if f.closed || index < f.base || index > last {
		return nil, f.grown, false
	}
	return f.updates[index-f.base:], f.grown, true
}
