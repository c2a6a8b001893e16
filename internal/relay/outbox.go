package relay

import (
	"context"
	"sync"
	"time"
)

// outbox collects what is sent in the next frame. It has one reader.
type outbox[T any] struct {
	wake    chan struct{}
	takenAt time.Time // belongs to the reader

	mu   sync.Mutex
	list []T
}

func (o *outbox[T]) init() { o.wake = make(chan struct{}, 1) }

func (o *outbox[T]) add(items ...T) {
	o.mu.Lock()
	o.list = append(o.list, items...)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default: // The reader is woken already.
	}
}

func (o *outbox[T]) take() []T {
	o.takenAt = time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.list
	o.list = nil
	return list
}

// wait returns once something was added, but no sooner than flushInterval after the last take. It also returns once a time
// has passed or ctx is done.
func (o *outbox[T]) wait(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-o.wake:
	case <-timer.C:
		return
	case <-ctx.Done():
		return
	}
	time.Sleep(flushInterval - time.Since(o.takenAt))
}
