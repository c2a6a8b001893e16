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

// tickInterval is the time between reports of demand, and between checks for changes without an event, such as the end
// of an ejection.
const tickInterval = 100 * time.Millisecond

type schedulerConfig struct {
	view             func() (*view.View, error)
	pick             func(v *view.View, queue string, avoid []string) (*endpoint.Target, error)
	reportDemand     func(v *view.View, pool string, waiting int, avoid [][]string)
	endpointsChanged func() <-chan struct{}
	tryAcquire       func(resource string) (release func(), ok bool)
	setDemand        func(resource string, n int)
	allocationGrown  func() <-chan struct{}
	now              func() time.Time
	metrics          *metrics.Set
	reportViolation  func(name, text string)
}

// scheduler decides which waiting request starts next and grants it a team permit and a slot.
type scheduler struct {
	cfg           schedulerConfig
	demandChanged chan struct{} // wakes run to report the demand of a new waiter
	closed        chan struct{} // closed by close

	mu       sync.Mutex
	isClosed bool
	pools    map[string]*poolQueue
	teams    map[string]*teamCounts
	queues   map[string]*queueCounts
}

// teamCounts counts the permits and requests of a team in this process.
type teamCounts struct {
	permits, running, waiting int
	peak                      int // maximum of running plus waiting since the last report of demand
}

// queueCounts counts the requests of a queue in this process.
type queueCounts struct{ waiting, running int }

// waiter is a request that waits for a team permit and a slot.
type waiter struct {
	queue      fleet.Queue
	team       string
	weight     float64
	avoid      []string // instances of earlier attempts
	teamPermit func()   // releases the team permit that a retry already holds; nil for a first attempt
	flow       *flow
	granted    chan grant
}

// grant is the result of waiting: a team permit and a slot, or an error.
type grant struct {
	view        *view.View // by which the target was picked
	target      *endpoint.Target
	teamPermit  func()
	flow        *flow
	chargedCost float64 // estimated run time in seconds
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

// run grants permits and slots to waiting requests when allocations or endpoints change, and reports demand.
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
			// Without this, a change before the channels were fetched would be missed.
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

// close rejects all waiting requests and stops run.
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

// acquirePermits waits until the request may start. It fails with errQueueFull, errTooLate, errNoLease,
// errNoOtherEndpoint, errClosed or the error of the context, which is decorated with what was missing.
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

// enqueueWaiter grants the request its permits at once or queues it. It fails when the queue is full or when the
// request is not expected to start before the deadline of the context.
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

// removeWaiter removes a request from its flow; it reports false when the request was granted or failed meanwhile.
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

// failWaiters removes all waiting requests of a pool and gives them an error.
func (s *scheduler) failWaiters(p *poolQueue, err error) {
	for _, f := range p.allFlows() {
		for _, w := range append(f.retries, f.queued...) {
			s.uncountWaiter(w)
			w.granted <- grant{err: err}
		}
		f.queued, f.retries = nil, nil
	}
}

// grantAllPools grants permits and slots to the waiting requests of all pools as far as possible.
func (s *scheduler) grantAllPools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		s.grantPool(p)
	}
}

// grantPool grants team permits and slots to the waiting requests of a pool in fair order as far as possible.
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
		w.granted <- grant{
			view: v, target: target, teamPermit: permit, flow: f, chargedCost: p.chargeFlow(f, now), grantedAt: now,
		}
	}
}

// acquireTeamPermit acquires a team permit and returns its release function, or nil when no permit is free.
func (s *scheduler) acquireTeamPermit(team string) func() {
	release, ok := s.cfg.tryAcquire("team/" + team)
	if !ok {
		return nil
	}
	s.teams[team].permits++
	return release
}

// returnTeamPermit releases a team permit.
func (s *scheduler) returnTeamPermit(team string, teamPermit func()) {
	s.teams[team].permits--
	teamPermit()
}

// startRequest counts a running request. It reports false, and the request must not be sent, when the team would run
// more requests than the permits that this process holds for it.
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

// returnSlot releases the slot of a grant and charges its flow the measured time instead of the estimate.
func (s *scheduler) returnSlot(g grant) {
	g.target.Release()
	s.mu.Lock()
	defer s.mu.Unlock()
	g.flow.correctCharge(g.chargedCost, s.cfg.now().Sub(g.grantedAt))
}

// finishRequest releases the team permit and grants it, and the slot that was returned before, to waiting requests.
// isCounted tells whether startRequest counted the request.
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

// reportDemand reports how many team permits and slots this process could use, removes unused teams and prunes flows.
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
		s.cfg.reportDemand(v, name, d.waiting, d.avoid)
	}
}
