package caller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

var (
	errQueueFull = Namespace.NewType("queue-full")
	errTooLate   = Namespace.NewType("too-late")
	errNoLease   = Namespace.NewType("no-lease")
	errClosed    = Namespace.NewType("closed")
	errNoOther   = Namespace.NewType("no-other-endpoint")
)

// tickLength is the time between checks for what announces itself by no event, such as the end of an ejection, and
// between reports of demand.
const tickLength = 100 * time.Millisecond

type schedulerConfig struct {
	view       func() (*view.View, error)
	pick       func(v *view.View, queue string, avoid []string) (*endpoint.Target, error)
	demand     func(v *view.View, pool string, waiting int, avoid [][]string)
	endpoints  func() <-chan struct{}
	tryAcquire func(resource string) (release func(), ok bool)
	setDemand  func(resource string, n int)
	changed    func() <-chan struct{}
	now        func() time.Time
	metrics    *metrics.Set
	violation  func(name, text string)
}

// scheduler decides which waiting request starts next.
type scheduler struct {
	cfg    schedulerConfig
	wake   chan struct{}
	closed chan struct{}

	mu     sync.Mutex
	ended  bool
	pools  map[string]*poolQueue
	teams  map[string]*teamCount
	queues map[string]*queueCount
}

// teamCount counts what a team uses in this process.
type teamCount struct {
	permits, running, waiting int
	peak                      int // of running plus waiting since the last report of demand
}

type queueCount struct{ waiting, running int }

// waiter is a request that waits for a team permit and a slot permit.
type waiter struct {
	queue  fleet.Queue
	team   string
	weight float64
	avoid  []string
	permit func() // the team permit that a retry already holds
	flow   *flow
	ready  chan grant
}

// grant is the outcome of waiting.
type grant struct {
	view   *view.View
	target *endpoint.Target
	permit func()
	flow   *flow
	cost   float64
	at     time.Time
	err    error
}

func newScheduler(cfg schedulerConfig) *scheduler {
	s := &scheduler{
		cfg: cfg, wake: make(chan struct{}, 1), closed: make(chan struct{}),
		pools: map[string]*poolQueue{}, teams: map[string]*teamCount{}, queues: map[string]*queueCount{},
	}
	go s.run()
	return s
}

// run starts waiting requests when permits or endpoints appear, and reports demand.
func (s *scheduler) run() {
	tick := time.NewTicker(tickLength)
	defer tick.Stop()
	for {
		var changed, endpoints <-chan struct{}
		if s.anyWaiting() {
			if s.cfg.changed != nil {
				changed = s.cfg.changed()
			}
			endpoints = s.cfg.endpoints()
			// A change between the last look and the two lines above would otherwise be missed.
			s.pump()
		}
		select {
		case <-s.wake:
			s.report()
		case <-changed:
		case <-endpoints:
		case <-tick.C:
			s.report()
		case <-s.closed:
			return
		}
	}
}

func (s *scheduler) anyWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		if p.waiting > 0 {
			return true
		}
	}
	return false
}

// close rejects all waiting requests and ends the background work.
func (s *scheduler) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	close(s.closed)
	for _, p := range s.pools {
		s.failAll(p, errClosed.New("this process is stopping"))
	}
}

// acquire waits until the request may start. It fails with errQueueFull, errTooLate, errNoLease, errNoOther, errClosed
// or the error of the context; the text says what was missing.
func (s *scheduler) acquire(ctx context.Context, w *waiter) (grant, error) {
	w.ready = make(chan grant, 1)
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return grant{}, errClosed.New("this process is stopping")
	}
	if err := s.enqueue(ctx, w); err != nil {
		s.mu.Unlock()
		return grant{}, err
	}
	s.mu.Unlock()
	select {
	case g := <-w.ready:
		return g, g.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.remove(w)
	blocked := w.flow.blockReason
	s.mu.Unlock()
	if removed {
		return grant{}, errorx.Decorate(ctx.Err(), "%s", blocked)
	}
	g := <-w.ready
	return g, g.err
}

// enqueue starts the request at once or queues it when the queue has room and its turn can come in time.
func (s *scheduler) enqueue(ctx context.Context, w *waiter) error {
	p := s.pool(w.queue.Pool)
	tc, qc := s.team(w.team), s.queue(w.queue.Name)
	w.flow = p.ensureFlow(w.queue.Urgent, w.team, w.weight, s.cfg.now())
	if deadline, ok := ctx.Deadline(); ok && w.permit == nil {
		if wait := w.flow.estimateWait(s.cfg.now()); wait > deadline.Sub(s.cfg.now()) {
			return errTooLate.New("%d requests of the team wait already, for about %s",
				len(w.flow.queued), wait.Round(time.Millisecond))
		}
	}
	if w.permit != nil {
		w.flow.retries = append(w.flow.retries, w)
	} else {
		w.flow.queued = append(w.flow.queued, w)
	}
	p.waiting++
	tc.waiting++
	qc.waiting++
	tc.peak = max(tc.peak, tc.running+tc.waiting)
	s.pumpPool(p)
	if len(w.ready) > 0 {
		return nil
	}
	if w.permit == nil && qc.waiting > w.queue.MaxWaiting {
		s.remove(w)
		return errQueueFull.New("%d requests wait in queue %s; %s", qc.waiting, w.queue.Name, w.flow.blockReason)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

func (s *scheduler) pool(name string) *poolQueue {
	p := s.pools[name]
	if p == nil {
		p = newPoolQueue(name)
		s.pools[name] = p
	}
	return p
}

func (s *scheduler) team(name string) *teamCount {
	tc := s.teams[name]
	if tc == nil {
		tc = &teamCount{}
		s.teams[name] = tc
	}
	return tc
}

func (s *scheduler) queue(name string) *queueCount {
	qc := s.queues[name]
	if qc == nil {
		qc = &queueCount{}
		s.queues[name] = qc
		for kind, n := range map[string]*int{"waiting": &qc.waiting, "running": &qc.running} {
			s.cfg.metrics.GetOrCreateGauge(fmt.Sprintf("hibiscusroute_%s{queue=%q}", kind, name), func() float64 {
				s.mu.Lock()
				defer s.mu.Unlock()
				return float64(*n)
			})
		}
	}
	return qc
}

// remove takes a request out of its flow; it is false when the request was granted or failed meanwhile.
func (s *scheduler) remove(w *waiter) bool {
	if !w.flow.removeWaiter(w) {
		return false
	}
	s.uncount(w)
	return true
}

func (s *scheduler) uncount(w *waiter) {
	s.pools[w.queue.Pool].waiting--
	s.teams[w.team].waiting--
	s.queues[w.queue.Name].waiting--
}

func (s *scheduler) failAll(p *poolQueue, err error) {
	for _, f := range p.allFlows() {
		for _, w := range append(f.retries, f.queued...) {
			s.uncount(w)
			w.ready <- grant{err: err}
		}
		f.queued, f.retries = nil, nil
	}
}

// pump starts what can start in all pools.
func (s *scheduler) pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		s.pumpPool(p)
	}
}

// pumpPool starts waiting requests in fair order until permits or slots run out.
func (s *scheduler) pumpPool(p *poolQueue) {
	if p.waiting == 0 {
		return
	}
	v, err := s.cfg.view()
	if err != nil {
		s.failAll(p, errNoLease.Wrap(err, "no lease"))
		return
	}
	p.unblockFlows()
	for {
		f := p.nextFlow()
		if f == nil {
			return
		}
		w := f.nextWaiter()
		permit := w.permit
		if permit == nil {
			if permit = s.acquireTeam(w.team); permit == nil {
				f.blocked, f.blockReason = true, "the team holds no free permit"
				continue
			}
		}
		target, err := s.cfg.pick(v, w.queue.Name, w.avoid)
		if err != nil {
			if w.permit == nil {
				s.returnTeam(w.team, permit)
			}
			f.blockReason = "no free slot"
			if errorx.IsOfType(err, endpoint.ErrNoEndpoint) {
				f.blockReason = "no usable endpoint"
			}
			if len(w.avoid) == 0 {
				// No other request of the pool would find a slot either.
				p.setBlockReason(f.blockReason)
				return
			}
			if errorx.IsOfType(err, endpoint.ErrNoEndpoint) {
				s.remove(w)
				w.ready <- grant{err: errNoOther.New("no other usable endpoint")}
				continue
			}
			f.retriesStalled = true
			continue
		}
		s.remove(w)
		now := s.cfg.now()
		w.ready <- grant{view: v, target: target, permit: permit, flow: f, cost: p.chargeFlow(f, now), at: now}
	}
}

// acquireTeam takes a team permit and counts it; it is nil when none is free.
func (s *scheduler) acquireTeam(team string) func() {
	release, ok := s.cfg.tryAcquire("team/" + team)
	if !ok {
		return nil
	}
	s.teams[team].permits++
	return release
}

// returnTeam gives a team permit back.
func (s *scheduler) returnTeam(team string, release func()) {
	s.teams[team].permits--
	release()
}

// start counts a running request. It is false, and the request must not be sent, when the team would run more than
// the permits that this process holds for it.
func (s *scheduler) start(team, queue string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	tc := s.team(team)
	if tc.running >= tc.permits {
		s.cfg.violation("team-permits", fmt.Sprintf("team %s runs %d of %d permits", team, tc.running, tc.permits))
		return false
	}
	tc.running++
	tc.peak = max(tc.peak, tc.running+tc.waiting)
	s.queue(queue).running++
	return true
}

// settle gives the slot of a grant back and charges its flow the time that it really took.
func (s *scheduler) settle(g grant) {
	g.target.Release()
	s.mu.Lock()
	defer s.mu.Unlock()
	g.flow.correctCharge(g.cost, s.cfg.now().Sub(g.at))
}

// finish gives the team permit back and starts what waits for it or for the slot that was settled before; started
// tells whether start counted the request.
func (s *scheduler) finish(team, queue string, permit func(), started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if started {
		s.teams[team].running--
		s.queues[queue].running--
	}
	s.returnTeam(team, permit)
	for _, p := range s.pools {
		s.pumpPool(p)
	}
}

// report tells the quota holder what this process could use.
func (s *scheduler) report() {
	v, err := s.cfg.view()
	if err != nil {
		return
	}
	s.mu.Lock()
	teams, pools := map[string]int{}, map[string]*poolDemand{}
	for name, tc := range s.teams {
		teams[name] = tc.peak
		tc.peak = tc.running + tc.waiting
		if _, ok := v.Team(name); !ok && tc.peak == 0 && tc.permits == 0 {
			delete(s.teams, name)
		}
	}
	for name, p := range s.pools {
		pools[name] = p.demand()
		p.pruneFlows()
	}
	s.mu.Unlock()
	if s.cfg.setDemand != nil {
		for name, n := range teams {
			s.cfg.setDemand("team/"+name, n)
		}
	}
	for name, d := range pools {
		s.cfg.demand(v, name, d.waiting, d.avoid)
	}
}
