package control

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
)

// maxFeedUpdates and maxFeedBytes bound the updates that are kept for processes that reconnect. A process that needs
// older ones gets a snapshot.
const (
	maxFeedUpdates = 1024
	maxFeedBytes   = 1 << 20
)

// feed keeps the newest updates for the view streams.
type feed struct {
	mu      sync.Mutex
	base    uint64 // index before the first update
	updates []*controlpb.Update
	sizes   []int
	size    int
	changed chan struct{}
	closed  bool
}

func newFeed(base uint64) *feed { return &feed{base: base, changed: make(chan struct{})} }

func (f *feed) add(u *controlpb.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := proto.Size(u)
	f.updates, f.sizes, f.size = append(f.updates, u), append(f.sizes, size), f.size+size
	if len(f.updates) >= 2*maxFeedUpdates || f.size >= 2*maxFeedBytes {
		f.trim()
	}
	f.notify()
}

// trim drops the oldest updates until the bounds are met. It is called at twice the bounds, so that the copy is rare.
func (f *feed) trim() {
	n := 0
	for len(f.updates)-n > maxFeedUpdates || f.size > maxFeedBytes {
		f.size -= f.sizes[n]
		n++
	}
	if n == 0 {
		return
	}
	f.base = f.updates[n-1].Index
	f.updates, f.sizes = slices.Clone(f.updates[n:]), slices.Clone(f.sizes[n:])
}

func (f *feed) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// reset drops all updates, because a snapshot has replaced the state.
func (f *feed) reset(base uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.base, f.updates, f.sizes, f.size = base, nil, nil, 0
	f.notify()
}

func (f *feed) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.notify()
}

// after returns the updates that follow index. The channel is closed at the next change of the feed. ok is false if the
// feed is closed, no longer has all of these updates, or has not reached index.
func (f *feed) after(index uint64) (updates []*controlpb.Update, changed <-chan struct{}, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.base + uint64(len(f.updates))
	if f.closed || index < f.base || index > last {
		return nil, f.changed, false
	}
	return f.updates[index-f.base:], f.changed, true
}
