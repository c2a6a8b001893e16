package endpoint

import (
	"slices"
	"sync"

	"github.com/hibiscusroute/hibiscusroute/internal/view"
)

// Target is an endpoint chosen for one attempt; it holds a slot permit until Release.
type Target struct {
	instance    string
	zone        string
	rack        string
	address     string
	connections int
	release     func()
	once        sync.Once
}

// Instance returns the name of the instance.
func (t *Target) Instance() string { return t.instance }

// AvailabilityZone returns the availability zone of the instance.
func (t *Target) AvailabilityZone() string { return t.zone }

// Rack returns the rack of the instance.
func (t *Target) Rack() string { return t.rack }

// Release returns the slot permit; further calls do nothing.
func (t *Target) Release() { t.once.Do(t.release) }

// Pick chooses a usable endpoint of the queue's pool and takes a slot permit of it; avoid names instances of earlier
// attempts. It fails with ErrNoEndpoint or ErrNoSlot.
func (r *Registry) Pick(v *view.View, queue string, avoid []string) (*Target, error) {
	q, ok := v.Queue(queue)
	if !ok {
		return nil, ErrNoEndpoint.New("no queue %q", queue)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := false
	for _, vi := range v.PoolInstances(q.Pool) {
		i := r.instances[vi.Name]
		if i == nil || !vi.Admit || i.leaving || slices.Contains(avoid, vi.Name) {
			continue
		}
		usable = true
		release, ok := r.cfg.TryAcquire(slotResource + vi.Name)
		if !ok {
			continue
		}
		i.local++
		return &Target{
			instance: vi.Name, zone: vi.AvailabilityZone, rack: vi.Rack, address: i.address,
			connections: vi.Connections,
			release: func() {
				release()
				r.mu.Lock()
				i.local--
				r.notify()
				r.mu.Unlock()
			},
		}, nil
	}
	if usable {
		return nil, ErrNoSlot.New("no free slot permit for queue %s", queue)
	}
	return nil, ErrNoEndpoint.New("no usable endpoint for queue %s", queue)
}
