package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/rate"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

const (
	// minRate is the number of requests per second from which on relays are used. Below it the leader's processor time
	// suffices, and a direct request takes one hop less.
	minRate = 400
	// directInterval is how long the leader calls a worker itself after it didn't answer a relay, which may be cut off
	// from it.
	directInterval = 10 * time.Second
)

var errSilent = errorx.NewNamespace("relay-link").NewType("silent")

// RouterConfig holds the settings of a router.
type RouterConfig struct {
	// Open opens a stream of StreamKind to the process with a peer address.
	Open func(ctx context.Context, address string) (*peer.Stream, error)
	// Relays returns the peer addresses of the processes that may send requests, which must know the terms of the leaders.
	Relays func() []string
	// Term returns the term of this leader.
	Term func() uint64
	// ConfirmationAge returns the time since a quorum has confirmed this leader, and whether one has.
	ConfirmationAge func() (time.Duration, bool)
	// Observe passes results to the control loop of the leader, however long that is busy.
	Observe func(ctx context.Context, events []kernel.Event)
	// Now returns the monotonic time of the control loop.
	Now func() time.Duration
	Log logr.Logger
}

// Router hands the leader's requests to workers over to relays.
type Router struct {
	cfg RouterConfig

	mu    sync.Mutex
	term  context.Context // of the links; a new term has a new one
	links map[string]*link
	// directUntil is until when workers that didn't answer a relay are called directly, by their ID.
	directUntil map[string]time.Duration
	requests    rate.Counter
}

// NewRouter returns a router.
func NewRouter(cfg RouterConfig) *Router { return &Router{cfg: cfg} }

// Route hands requests to workers over to relays, and returns the actions that the caller has to execute itself. The
// context ends with the term of the leader.
func (r *Router) Route(ctx context.Context, actions []kernel.Action) (direct []kernel.Action) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != ctx {
		r.term, r.links, r.directUntil, r.requests = ctx, map[string]*link{}, map[string]time.Duration{}, rate.Counter{}
	}
	r.requests.Add(now, countRequests(actions))
	if r.requests.PerSecond() < minRate {
		return actions
	}
	ready := r.readyLinks(ctx, now)
	if len(ready) == 0 {
		return actions
	}
	queued := map[*link][]*request{}
	for _, a := range actions {
		h, ok := workload.HeaderOf(a)
		if !ok || r.mustCallDirectly(h.ID, now) {
			direct = append(direct, a)
			continue
		}
		l := chooseLink(ready, h.ID)
		queued[l] = append(queued[l], &request{action: a, sentAt: now})
	}
	for l, list := range queued {
		l.queue.add(list...)
	}
	return direct
}

// countRequests returns the number of requests to workers.
func countRequests(actions []kernel.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := workload.HeaderOf(a); ok {
			n++
		}
	}
	return n
}

// readyLinks returns the links to relays that are ready, and opens links to those that have none.
func (r *Router) readyLinks(ctx context.Context, now time.Duration) []*link {
	var ready []*link
	for _, address := range r.cfg.Relays() {
		l := r.links[address]
		if l == nil {
			l = newLink(ctx, &r.cfg, address, r.cfg.Term(), r.callDirectly)
			r.links[address] = l
			go l.run()
		}
		if l.isReady(now) {
			ready = append(ready, l)
		}
	}
	return ready
}

// chooseLink returns the same link for a worker as long as it is ready, so that connections to workers are used again.
func chooseLink(ready []*link, worker string) *link {
	return slices.MaxFunc(ready, func(a, b *link) int {
		return cmp.Compare(linkWeight(a, worker), linkWeight(b, worker))
	})
}

func linkWeight(l *link, worker string) uint64 { return xxhash.Sum64String(worker + "@" + l.address) }

// callDirectly makes the leader call a worker itself for a while.
func (r *Router) callDirectly(worker string) {
	now := r.cfg.Now()
	go func() { // A link calls this with its lock held.
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.directUntil != nil {
			r.directUntil[worker] = now + directInterval
		}
	}()
}

func (r *Router) mustCallDirectly(worker string, now time.Duration) bool {
	until, ok := r.directUntil[worker]
	if ok && now >= until {
		delete(r.directUntil, worker)
	}
	return ok && now < until
}
