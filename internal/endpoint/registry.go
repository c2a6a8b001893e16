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
	// ErrNoEndpoint reports that no endpoint of the queue's pool accepts work.
	ErrNoEndpoint = Namespace.NewType("no-endpoint")
	// ErrNoSlot reports that this process has no free slot permit of any usable endpoint.
	ErrNoSlot = Namespace.NewType("no-slot")
	// ErrTruncated reports a response that ended earlier than its framing says, or whose framing doesn't show its end.
	ErrTruncated = Namespace.NewType("truncated")
)

const (
	// ttlIntervals is the TTL of an announcement in announcement intervals.
	ttlIntervals = 3
	maxInterval  = time.Minute
	// peerTimeout is the time without updates after which the reports of another process are ignored.
	peerTimeout = 3 * time.Second
	// recordRetention is how long records that are no longer live are kept, so that late announcements are recognized as
	// stale. It is much longer than a connection can delay a message.
	recordRetention     = time.Hour
	defaultMaxInstances = 8192
)

// slotResourcePrefix is the prefix of the quota resource for the slots of an instance.
const slotResourcePrefix = "slot/"

// Config holds the settings of a registry.
type Config struct {
	// Key is the bearer key that endpoints must present; if it is empty, announcements need no key.
	Key string
	// View returns the control state, or an error if this process has no lease.
	View func() (*view.View, error)
	// TryAcquire acquires a permit of a quota resource such as slot/<instance>, if one is free.
	TryAcquire func(resource string) (release func(), ok bool)
	// SetDemand reports how many permits of a resource this process can use; it may be nil.
	SetDemand func(resource string, n int)
	// Send sends an update to all connected processes without blocking; it may be nil.
	Send func(u *endpointpb.Update)
	// MaxInstances limits the records of instances that are not checked against the configuration; 0 uses 8,192.
	MaxInstances int
	// Now returns the time; nil uses time.Now.
	Now func() time.Time
	// Rand returns a random number in [0, n); nil uses math/rand/v2.
	Rand func(n int) int
	// Metrics is the set in which metrics are registered; nil uses a new set.
	Metrics *metrics.Set
	// Log receives changes of endpoints.
	Log logr.Logger
}

// Registry holds the endpoints known to this process; it is safe for concurrent use.
type Registry struct {
	cfg         Config
	incarnation uint64 // random ID of this run of the process
	stats       statistics

	mu              sync.Mutex
	instances       map[string]*instance
	peers           map[string]*peer
	lastID          uint32
	pendingRenewals map[*instance]struct{} // sent with the next batch
	changed         chan struct{}
	hasWatcher      bool // whether Changed returned the current channel
}

// instance is the record of the endpoint of one instance.
type instance struct {
	name        string
	address     string
	incarnation uint64
	sequence    uint64
	leaving     bool
	receivedAt  time.Time // of the newest announcement
	interval    time.Duration
	reporter    *peer // nil when this process received the newest announcement

	id            uint32 // in updates of this process, 0 before the first one
	idIncarnation uint64 // incarnation to which id belongs
	sentAddress   string // last sent to the other processes

	localRunning  int // attempts of this process that are running
	remoteRunning int // estimate for the attempts of other processes
	health        health
}

// peer is another process, which reports the announcements that it receives.
type peer struct {
	incarnation uint64
	lastContact time.Time
	byID        map[uint32]reportedInstance
}

// reportedInstance is the instance and incarnation to which an ID in the renewals of a peer refers.
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
		cfg: cfg, incarnation: rand.Uint64(), //nolint:gosec // distinguishes incarnations, not a secret
		instances: map[string]*instance{}, peers: map[string]*peer{}, pendingRenewals: map[*instance]struct{}{},
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

// Changed returns a channel that is closed when an endpoint or a slot permit may have become usable.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasWatcher = true
	return r.changed
}

// notifyChanged closes the channel that Changed returned.
func (r *Registry) notifyChanged() {
	if r.hasWatcher {
		close(r.changed)
		r.changed, r.hasWatcher = make(chan struct{}), false
	}
}

// isLive reports whether the newest announcement has not expired and the endpoint accepts work.
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

// announceInterval returns the time between announcements of an endpoint with n live endpoints. It limits the traffic
// to 100 announcements per second in all processes together; 1 s is short enough for a fleet of 50 endpoints.
func announceInterval(n int) time.Duration {
	return min(max(time.Duration(n)*10*time.Millisecond, time.Second), maxInterval)
}
