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
	errQueueFull       = Namespace.NewType("queue-full")
	errTooLate         = Namespace.NewType("too-late")
	errNoLease         = Namespace.NewType("no-lease")
	errClosed          = Namespace.NewType("closed")
	errNoOtherEndpoint = Namespace.NewType("no-other-endpoint")
)

// tickInterval is the time between checks for what announces itself by no event, such as the end of an ejection, and
// between reports of demand.
const tickInterval = 100 * time.Millisecond

type schedulerConfig struct {
	view             func() (*view.View, error)
	pick             func(v *view.View, queue string, avoid []string) (*endpoint.Target, error)
	demand           func(v *view.View, pool string, waiting int, avoid [][]string)
	endpointsChanged func() <-chan struct{}
	tryAcquire       func(resource string) (release func(), ok bool)
	setDemand        func(resource string, n int)
	allocationGrown  func() <-chan struct{}
	now              func() time.Time
	metrics          *metrics.Set
	reportViolation  func(name, text string)
}

// scheduler decides which waiting request starts next.
type scheduler struct {
	cfg           schedulerConfig
	demandChanged chan struct{}
	closed        chan struct{}

	mu       sync.Mutex
	isClosed bool
	pools    map[string]*poolQueue
	teams    map[string]*teamCounts
	queues   map[string]*queueCounts
}

// teamCounts counts what a team uses in this process.
type teamCounts struct {
	permits, running, waiting int
	peak                      int // of running plus waiting since the last report of demand
}

type queueCounts struct{ waiting, running int }

// waiter is a request that waits for a team permit and a slot permit.
type waiter struct {
	queue      fleet.Queue
	team       string
	weight     float64
	avoid      []string
	teamPermit func() // the team permit that a retry already holds
	flow       *flow
	granted    chan grant
}

// grant is the outcome of waiting.
type grant struct {
	view        *view.View
	target      *endpoint.Target
	teamPermit  func()
	flow        *flow
	chargedCost float64
	grantedAt   time.Time
	err         error
}

func newScheduler(cfg schedulerConfig) *scheduler {
	s := &scheduler{
		cfg: cfg, demandChanged: make(chan struct{}, 1), closed: make(chan struct{}),
		pools: map[string]*poolQueue{}, teams: map[string]*teamCounts{}, queues: map[string]*queueCounts{},
	}
	go s.run()
	return s
}

// run starts waiting requests when permits or endpoints appear, and reports demand.
func (s *scheduler) run() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var allocationGrown, endpointsChanged <-chan struct{}
		if s.hasWaiting() {
			if s.cfg.allocationGrown != nil {
				allocationGrown = s.cfg.allocationGrown()
			}
			endpointsChanged = s.cfg.endpointsChanged()
			// A change between the last look and the two lines above would otherwise be missed.
			s.grantAllPools()
		}
		select {
		case <-s.demandChanged:
			s.reportDemand()
		case <-allocationGrown:
		case <-endpointsChanged:
		case <-tick.C:
			s.reportDemand()
		case <-s.closed:
			return
		}
	}
}

func (s *scheduler) hasWaiting() bool {
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
	if s.isClosed {
		return
	}
	s.isClosed = true
	close(s.closed)
	for _, p := range s.pools {
		s.failWaiters(p, errClosed.New("this process is stopping"))
	}
}

// acquirePermits waits until the request may start. It fails with errQueueFull, errTooLate, errNoLease, errNoOther, errClosed
// or the error of the context; the text says what was missing.
func (s *scheduler) acquirePermits(ctx context.Context, w *waiter) (grant, error) {
	w.granted = make(chan grant, 1)
	s.mu.Lock()
	if s.isClosed {
		s.mu.Unlock()
		return grant{}, errClosed.New("this process is stopping")
	}
	if err := s.enqueueWaiter(ctx, w); err != nil {
		s.mu.Unlock()
		return grant{}, err
	}
	s.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, g.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.removeWaiter(w)
	reason := w.flow.blockReason
	s.mu.Unlock()
	if removed {
		return grant{}, errorx.Decorate(ctx.Err(), "%s", reason)
	}
	g := <-w.granted
	return g, g.err
}

// enqueueWaiter starts the request at once or queues it when the queue has room and its turn can come in time.
func (s *scheduler) enqueueWaiter(ctx context.Context, w *waiter) error {
	p := s.ensurePool(w.queue.Pool)
	tc, qc := s.ensureTeam(w.team), s.ensureQueue(w.queue.Name)
	w.flow = p.ensureFlow(w.queue.Urgent, w.team, w.weight, s.cfg.now())
	if deadline, ok := ctx.Deadline(); ok && w.teamPermit == nil {
		if wait := w.flow.estimateWait(s.cfg.now()); wait > deadline.Sub(s.cfg.now()) {
			return errTooLate.New("%d requests of the team wait already, for about %s",
				len(w.flow.queued), wait.Round(time.Millisecond))
		}
	}
	if w.teamPermit != nil {
		w.flow.retries = append(w.flow.retries, w)
	} else {
		w.flow.queued = append(w.flow.queued, w)
	}
	p.waiting++
	tc.waiting++
	qc.waiting++
	tc.peak = max(tc.peak, tc.running+tc.waiting)
	s.grantPool(p)
	if len(w.granted) > 0 {
		return nil
	}
	if w.teamPermit == nil && qc.waiting > w.queue.MaxWaiting {
		s.removeWaiter(w)
		return errQueueFull.New("%d requests wait in queue %s; %s", qc.waiting, w.queue.Name, w.flow.blockReason)
	}
	select {
	case s.demandChanged <- struct{}{}:
	default:
	}
	return nil
}

func (s *scheduler) ensurePool(name string) *poolQueue {
	p := s.pools[name]
	if p == nil {
		p = newPoolQueue(name)
		s.pools[name] = p
	}
	return p
}

func (s *scheduler) ensureTeam(name string) *teamCounts {
	tc := s.teams[name]
	if tc == nil {
		tc = &teamCounts{}
		s.teams[name] = tc
	}
	return tc
}

func (s *scheduler) ensureQueue(name string) *queueCounts {
	qc := s.queues[name]
	if qc == nil {
		qc = &queueCounts{}
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

// removeWaiter takes a request out of its flow; it is false when the request was granted or failed meanwhile.
func (s *scheduler) removeWaiter(w *waiter) bool {
	if !w.flow.removeWaiter(w) {
		return false
	}
	s.uncountWaiter(w)
	return true
}

func (s *scheduler) uncountWaiter(w *waiter) {
	s.pools[w.queue.Pool].waiting--
	s.teams[w.team].waiting--
	s.queues[w.queue.Name].waiting--
}

func (s *scheduler) failWaiters(p *poolQueue, err error) {
	for _, f := range p.allFlows() {
		for _, w := range append(f.retries, f.queued...) {
			s.uncountWaiter(w)
			w.granted <- grant{err: err}
		}
		f.queued, f.retries = nil, nil
	}
}

// grantAllPools starts what can start in all pools.
func (s *scheduler) grantAllPools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		s.grantPool(p)
	}
}

// grantPool starts waiting requests in fair order until permits or slots run out.
func (s *scheduler) grantPool(p *poolQueue) {
	if p.waiting == 0 {
		return
	}
	v, err := s.cfg.view()
	if err != nil {
		s.failWaiters(p, errNoLease.Wrap(err, "no lease"))
		return
	}
	p.unblockFlows()
	for {
		f := p.nextFlow()
		if f == nil {
			return
		}
		w := f.nextWaiter()
		permit := w.teamPermit
		if permit == nil {
			if permit = s.acquireTeamPermit(w.team); permit == nil {
				f.blocked, f.blockReason = true, "the team holds no free permit"
				continue
			}
		}
		target, err := s.cfg.pick(v, w.queue.Name, w.avoid)
		if err != nil {
			if w.teamPermit == nil {
				s.returnTeamPermit(w.team, permit)
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
				s.removeWaiter(w)
				w.granted <- grant{err: errNoOtherEndpoint.New("no other usable endpoint")}
				continue
			}
			f.retriesStalled = true
			continue
		}
		s.removeWaiter(w)
		now := s.cfg.now()
		w.granted <- grant{view: v, target: target, teamPermit: permit, flow: f, chargedCost: p.chargeFlow(f, now), grantedAt: now}
	}
}

// acquireTeamPermit takes a team permit and counts it; it is nil when none is free.
func (s *scheduler) acquireTeamPermit(team string) func() {
	release, ok := s.cfg.tryAcquire("team/" + team)
	if !ok {
		return nil
	}
	s.teams[team].permits++
	return release
}

// returnTeamPermit gives a team permit back.
func (s *scheduler) returnTeamPermit(team string, teamPermit func()) {
	s.teams[team].permits--
	teamPermit()
}

// startRequest counts a running request. It is false, and the request must not be sent, when the team would run more than
// the permits that this process holds for it.
func (s *scheduler) startRequest(team, queue string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	tc := s.ensureTeam(team)
	if tc.running >= tc.permits {
		s.cfg.reportViolation("team-permits", fmt.Sprintf("team %s runs %d of %d permits", team, tc.running, tc.permits))
		return false
	}
	tc.running++
	tc.peak = max(tc.peak, tc.running+tc.waiting)
	s.ensureQueue(queue).running++
	return true
}

// returnSlot gives the slot of a grant back and charges its flow the time that it really took.
func (s *scheduler) returnSlot(g grant) {
	g.target.Release()
	s.mu.Lock()
	defer s.mu.Unlock()
	g.flow.correctCharge(g.chargedCost, s.cfg.now().Sub(g.grantedAt))
}

// finishRequest gives the team permit back and starts what waits for it or for the slot that was settled before; started
// tells whether start counted the request.
func (s *scheduler) finishRequest(team, queue string, teamPermit func(), isCounted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isCounted {
		s.teams[team].running--
		s.queues[queue].running--
	}
	s.returnTeamPermit(team, teamPermit)
	for _, p := range s.pools {
		s.grantPool(p)
	}
}

// reportDemand tells the quota holder what this process could use.
func (s *scheduler) reportDemand() {
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
