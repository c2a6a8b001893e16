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

const (
	ttlIntervals = 3
	maxInterval  = time.Minute
	// peerTimeout is the silence after which the reports of another process no longer count.
	peerTimeout = 3 * time.Second
	// recordRetention keeps records that are no longer live, so that a late announcement is still recognised as old. It is
	// far longer than a connection can delay a message.
	recordRetention     = time.Hour
	defaultMaxInstances = 8192
)

// slotResourcePrefix is the prefix of the quota resource for the slots of an instance.
const slotResourcePrefix = "slot/"

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
	// MaxInstances bounds the records of instances that the configuration doesn't name; 0 uses 8,192.
	MaxInstances int
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
	cfg         Config
	incarnation uint64
	stats       statistics

	mu         sync.Mutex
	instances  map[string]*instance
	peers      map[string]*peer
	lastID     uint32
	pending    map[*instance]struct{} // renewals that the next batch sends
	changed    chan struct{}
	hasWatcher bool // changed was handed out since it was made
}

// instance is what is known about the endpoint of one instance.
type instance struct {
	name        string
	address     string
	incarnation uint64
	sequence    uint64
	leaving     bool
	receivedAt  time.Time // when the newest announcement was received
	interval    time.Duration
	reporter    *peer // nil when this process received the newest announcement

	id            uint32 // in updates of this process, 0 before the first
	idIncarnation uint64 // incarnation to which id belongs
	sentAddress   string // as last pushed to the other processes

	localRunning  int // attempts of this process
	remoteRunning int // estimate of the requests that other processes run there
	health        health
}

// peer is another process that reports what was announced to it.
type peer struct {
	incarnation uint64
	lastContact time.Time
	byID        map[uint32]reportedInstance
}

// reportedInstance is what a number in renewals of a peer stands for.
type reportedInstance struct {
	instance    *instance
	incarnation uint64
}

type statistics struct {
	accepted, stale, rejected, ejected, capped *metrics.Counter
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
	if cfg.MaxInstances == 0 {
		cfg.MaxInstances = defaultMaxInstances
	}
	m := cfg.Metrics
	r := &Registry{
		cfg: cfg, incarnation: rand.Uint64(), //nolint:gosec // tells runs apart, no secret
		instances: map[string]*instance{}, peers: map[string]*peer{}, pending: map[*instance]struct{}{},
		changed: make(chan struct{}),
		stats: statistics{
			accepted: m.GetOrCreateCounter(`hibiscusroute_announcements_total{result="accepted"}`),
			stale:    m.GetOrCreateCounter(`hibiscusroute_announcements_total{result="stale"}`),
			rejected: m.GetOrCreateCounter(`hibiscusroute_announcements_total{result="refused"}`),
			ejected:  m.GetOrCreateCounter(`hibiscusroute_ejections_total{result="ejected"}`),
			capped:   m.GetOrCreateCounter(`hibiscusroute_ejections_total{result="capped"}`),
		},
	}
	m.GetOrCreateGauge("hibiscusroute_endpoints_live", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.countLive(r.cfg.Now()))
	})
	return r
}

// Changed returns a channel that is closed when an endpoint or a slot may have become usable.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasWatcher = true
	return r.changed
}

func (r *Registry) notifyChanged() {
	if r.hasWatcher {
		close(r.changed)
		r.changed, r.hasWatcher = make(chan struct{}), false
	}
}

// isLive reports whether the newest announcement still counts and the endpoint takes new work.
func (i *instance) isLive(now time.Time) bool {
	if i.leaving || i.address == "" || now.Sub(i.receivedAt) > ttlIntervals*i.interval {
		return false
	}
	return i.reporter == nil || now.Sub(i.reporter.lastContact) <= peerTimeout
}

func (r *Registry) countLive(now time.Time) int {
	n := 0
	for _, i := range r.instances {
		if i.isLive(now) {
			n++
		}
	}
	return n
}

// announceInterval returns the time between announcements with n live endpoints: 100 announcements per second over all
// processes together keep the traffic bounded, and 1 s is short enough at today's 50 endpoints.
func announceInterval(n int) time.Duration {
	return min(max(time.Duration(n)*10*time.Millisecond, time.Second), maxInterval)
}
