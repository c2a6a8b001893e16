package endpoint

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint/endpointpb"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
)

// Namespace is the errorx namespace of this package.
var Namespace = errorx.NewNamespace("endpoint")

var (
	// ErrNoEndpoint reports that no endpoint of the queue's pool may take work now.
	ErrNoEndpoint = Namespace.NewType("no-endpoint")
	// ErrNoSlot reports that endpoints are usable but this process holds no free slot permit of any of them.
	ErrNoSlot = Namespace.NewType("no-slot")
	// ErrTruncated reports a response that ended before its framing says so, or whose framing can't tell.
	ErrTruncated = Namespace.NewType("truncated")
)

// slotResource is the prefix of the quota resource for the slots of an instance.
const slotResource = "slot/"

// Config holds the settings of a registry.
type Config struct {
	// Key authenticates endpoints as a bearer key; empty accepts announcements without one.
	Key string
	// View returns the control state; its error means that there is no lease.
	View func() (*view.View, error)
	// TryAcquire takes a permit of a quota resource such as slot/<instance>.
	TryAcquire func(resource string) (release func(), ok bool)
	// SetDemand reports how many permits of a resource this process could use; it may be nil.
	SetDemand func(resource string, n int)
	// Send hands an update to every connected process without blocking; nil sends nothing.
	Send func(u *endpointpb.Update)
	// Now returns the time; nil uses time.Now.
	Now func() time.Time
	// Rand draws a number in [0, n); nil uses math/rand/v2.
	Rand func(n int) int
	// Metrics receives counters and gauges; nil uses a set of its own.
	Metrics *metrics.Set
	// Log receives changes of endpoints.
	Log logr.Logger
}

// Registry holds the endpoints known to this process; it is safe for concurrent use.
type Registry struct {
	cfg Config

	mu        sync.Mutex
	instances map[string]*instance
	changed   chan struct{}
}

// instance is what is known about the endpoint of one instance.
type instance struct {
	name        string
	address     string
	incarnation uint64
	sequence    uint64
	leaving     bool
	running     int // as announced
	seen        time.Time
	local       int // attempts of this process
}

// New builds a registry.
func New(cfg Config) *Registry {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.IntN
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Registry{cfg: cfg, instances: map[string]*instance{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when an endpoint or a slot may have become usable.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
