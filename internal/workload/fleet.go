package workload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/forecast"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// minListInterval is the shortest time between two reads of the list of instances. Each read costs money.
	minListInterval = 700 * time.Millisecond
	// maxListAge is the age at which the list is read again although no change is known.
	maxListAge = 10 * time.Second
	// fleetInterval is the time between decisions on instances. Moves take more than a second, so a shorter interval
	// gains little.
	fleetInterval = 100 * time.Millisecond
	// operationRetryDelay is the time before an operation that was not carried out is requested again.
	operationRetryDelay = 500 * time.Millisecond
	// returnMargin covers instances that return later than their move or maintenance takes.
	returnMargin = 500 * time.Millisecond
	// takeoverMargin covers the time that the last request of the previous leader was in transit.
	takeoverMargin = 500 * time.Millisecond
	// drainTimeout is how long an instance that is due for a move or maintenance may continue its runs.
	drainTimeout = 1500 * time.Millisecond
	// maxRoomWait is how long maintenance waits for room for the long-running tasks of the instance. An instance can move
	// to the pool in this time.
	maxRoomWait = 4 * time.Second
	// maxReadyWait is how long maintenance waits for tasks that its long-running steps can't miss. Those of a lost worker
	// are ready again in this time: a lease later and after their start.
	maxReadyWait = 8 * time.Second
	// maxReservedWait is how long a long-running task waits for maintenance of an instance whose worker could run it.
	maxReservedWait = 2 * time.Second
	// heldUpRetryDelay is the time before maintenance that was held up is tried again.
	heldUpRetryDelay = 5 * time.Second
	// recordRetryDelay is the time before a record of maintenance that is not in the log is proposed again.
	recordRetryDelay = time.Second
)

// fleet is what the leader knows about instances.
type fleet struct {
	instances map[string]*instance
	byWorker  map[string]*instance
	listed    bool
	listedAt  time.Duration
	// listSentAt is when the list that instances holds was requested.
	listSentAt   time.Duration
	listInFlight bool
	stale        bool
	advancedAt   time.Duration
	noSurplusAt  map[string]time.Duration // when a pool last had no more instances than it needs
	// unplacedSince is the time since which a pool has had a long-running task without a worker.
	unplacedSince map[string]time.Duration
	// loggedReason is the reason of the last log line on a forecast that changes what a pool wants.
	loggedReason map[string]forecast.Reason
	// triedAt is when a pool last got an instance for steps that the adviser has denied each worker.
	triedAt      map[string]time.Duration
	startClockMs int64 // the ledger's clock when this leader started
	// maybeMaintained holds the instances whose maintenance may have been carried out without this leader knowing.
	maybeMaintained map[waveInstance]bool
	// waveKnownAt is when this leader first knew a wave. An older list may lack instances of the wave that have just come.
	waveKnownAt map[int64]time.Duration
	unrecorded  []*maintenanceRecord
}

// waveInstance identifies an instance in a maintenance wave.
type waveInstance struct {
	wave     int64
	instance string
}

// maintenanceRecord is an answer of the platform that is to be recorded: the maintenance of an instance has begun, or
// the instance is gone.
type maintenanceRecord struct {
	waveInstance
	gone       bool
	proposedAt time.Duration // 0 if it was not proposed yet
}

// instance is an entry of the list of instances, with the operation on it.
type instance struct {
	Instance
	// lastWorker is the ID of the last worker that is known.
	lastWorker string
	operation  *operation
	idleSince  time.Duration // 0 while it is busy
	movedAt    time.Duration // when a move was last begun
	// maintainAfter is the time before which no maintenance starts, because it was held up.
	maintainAfter time.Duration
	// awaitsReady is set if it was held up until its long-running steps can miss their tasks.
	awaitsReady bool
	// lateMovesUntil is when no move of the instance that got no answer is carried out any more.
	lateMovesUntil time.Duration
	// changedAt is when an operation on it last ended. An older list shows another pool or worker.
	changedAt time.Duration
	// returnedTo is the pool to which that operation returned it, empty if the operation was given up.
	returnedTo string
	// maybeAwayUntil is when maintenance is over that was given up and may have been carried out nevertheless.
	maybeAwayUntil time.Duration
	// outlivedBy is the incarnation that outlived requests for its first maintenance in a wave, so that they were not
	// carried out; 0 if there is none.
	outlivedBy uint64
}

// operation is a move or the maintenance of an instance.
type operation struct {
	// pool is the target of a move, empty for maintenance.
	pool string
	wave int64
	// beforeWave is the wave of the maintenance that follows a move to the spare pool, 0 if there is none.
	beforeWave int64
	// first is set if no request for the maintenance may have been carried out before this operation.
	first bool
	// incarnation is the number of the incarnation that ends with the operation, 0 if the instance had no worker.
	incarnation     uint64
	createdAt       time.Duration
	announcedAt     time.Duration // the announcement was proposed and its request was not sent yet; 0 otherwise
	requestInFlight bool
	requested       bool // a request was sent and may be carried out
	requestedAt     time.Duration
	outcomeUnknown  bool // a request got no answer
	// maybeRepeated is set if the operation may have been carried out earlier. The platform then accepts the request
	// without doing anything, so the runs on the instance may continue.
	maybeRepeated bool
	retryAt       time.Duration
	awayUntil     time.Duration // the request was accepted; the instance is out of service until then
	// awaitsStarts is set once the operation has waited for starts that may be carried out late.
	awaitsStarts bool
	// lacksRoom is set while no other worker has room for a long-running task on the instance, awaitsReady while
	// long-running tasks on it can't be stopped, because too many of their steps are unavailable, and none is being stopped.
	lacksRoom, awaitsReady bool
	// lacksRoomSince and awaitsReadySince are the times since which that is so, keepsWaitingSince since which a task waits
	// that could run on the instance.
	lacksRoomSince, awaitsReadySince, keepsWaitingSince time.Duration
}

func (e *Engine) newOperation(pool string, wave int64) *operation {
	return &operation{
		pool: pool, wave: wave, createdAt: e.now,
		lacksRoomSince: e.now, awaitsReadySince: e.now, keepsWaitingSince: e.now,
	}
}

func (f *fleet) reset() {
	*f = fleet{
		instances: map[string]*instance{}, byWorker: map[string]*instance{}, stale: true,
		noSurplusAt: map[string]time.Duration{}, unplacedSince: map[string]time.Duration{},
		triedAt: map[string]time.Duration{}, loggedReason: map[string]forecast.Reason{},
		maybeMaintained: map[waveInstance]bool{},
		waveKnownAt:     map[int64]time.Duration{},
	}
}

// advanceFleet refreshes the list of instances, and decides on moves and maintenance.
func (e *Engine) advanceFleet() {
	f := &e.fleet
	if e.now-f.advancedAt < fleetInterval {
		return
	}
	f.advancedAt = e.now
	e.proposeMaintenanceRecords()
	age := e.now - f.listedAt
	if !f.listInFlight && (f.stale && age >= minListInterval || age >= maxListAge) {
		f.listInFlight = true
		e.addAction(ListInstances{})
	}
	if !f.listed {
		return
	}
	for _, in := range f.sortedInstances() {
		e.advanceOperation(in)
	}
	for _, w := range e.state.Waves() {
		if !ledger.WaveCompleted(w) {
			e.advanceWave(w)
		}
	}
	e.balancePools()
	e.updateReservations()
}

// updateReservations reserves the workers whose instances are moved or maintained, and releases all others.
func (e *Engine) updateReservations() {
	reserved := map[uint64]bool{}
	for _, in := range e.fleet.instances {
		if in.operation == nil {
			continue
		}
		// The list may name the next incarnation once the operation was requested.
		reserved[in.operation.incarnation] = true
		if s := e.sessionOf(in); s != nil && !in.operation.requested {
			reserved[s.worker.Number()] = true
		}
	}
	for n, s := range e.sessions {
		s.reservedForOperation = reserved[n]
	}
}

func (e *Engine) sessionOf(in *instance) *session {
	if in == nil {
		return nil
	}
	w := e.state.WorkerByID(in.Worker)
	if w == nil {
		return nil
	}
	return e.sessions[w.Number()]
}

func (e *Engine) handleListInstancesResult(ev ListInstancesResult) {
	f := &e.fleet
	f.listInFlight = false
	f.listedAt = max(e.now, 1)
	if ev.Outcome != Accepted {
		e.cfg.Log.Info("failed to list instances", "outcome", ev.Outcome.String())
		f.stale = true
		return
	}
	f.stale, f.listed, f.listSentAt = false, true, ev.SentAt
	rows := map[string]*instance{}
	clear(f.byWorker)
	for _, row := range ev.Instances {
		if rows[row.Name] != nil && e.state.Pool(row.Pool) == nil {
			// A lone entry of such a pool counts: the maintenance of its instance may be due.
			e.cfg.Log.Info("ignored an entry of another writer in the list of instances", "instance", row.Name, "pool", row.Pool)
			continue
		}
		in := f.instances[row.Name]
		if in == nil {
			in = &instance{}
		}
		in.Instance = row
		in.lastWorker = cmp.Or(row.Worker, in.lastWorker, e.state.LastOrder(row.Name).GetWorker())
		rows[row.Name] = in
		if row.Worker != "" {
			f.byWorker[row.Worker] = in
		}
	}
	for name, in := range f.instances {
		// The answer to a request needs its operation, also if a list lacks the instance.
		if rows[name] == nil && in.operation != nil && in.operation.requested {
			rows[name] = in
		}
	}
	f.instances = rows
}

// advanceOperation continues the move or maintenance of an instance.
func (e *Engine) advanceOperation(in *instance) {
	op := in.operation
	if op == nil || op.requestInFlight || e.now < op.retryAt ||
		op.announcedAt > 0 && e.now-op.announcedAt < proposalTimeout {
		return
	}
	if op.awayUntil > 0 {
		e.endOperation(in)
		return
	}
	s := e.sessionOf(in)
	if !op.requested && !e.knowsRuns(in, s) {
		return
	}
	if op.requested && e.isUnansweredHeldUp(in) {
		return
	}
	if !op.requested && !e.prepareOperation(in, s) {
		return
	}
	if e.mustWaitForTakeover(in.Name) {
		return
	}
	maybeMaintained := e.fleet.maybeMaintained[waveInstance{op.wave, in.Name}]
	if s != nil && !op.outcomeUnknown {
		op.incarnation, op.first = s.worker.Number(), !maybeMaintained
	}
	op.maybeRepeated = maybeMaintained ||
		op.wave == 0 && s != nil && s.worker.Pool() == op.pool
	if op.announcedAt > 0 {
		e.cfg.Log.Info("announcement of an instance operation was not applied; repeating it", "instance", in.Name,
			"wave", op.wave, "pool", op.pool)
	}
	op.announcedAt = e.now
	// Operations are announced in the log, so that the next leader knows for which instances it must not request
	// operations for a while, and to which workers it must give no runs.
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_Order{
		Order: &workloadpb.Order{
			Instances: []string{in.Name}, Wave: op.wave,
			Workers: []string{in.lastWorker}, Incarnations: []uint64{op.incarnation},
		},
	}})
}

// prepareOperation prepares an instance for its operation: nothing may run on it, and no start be on its way that the next
// incarnation could execute. It reports whether the operation can be requested, and may give it up.
func (e *Engine) prepareOperation(in *instance, s *session) bool {
	op := in.operation
	lateUntil := e.lateStartsUntil(in, cmp.Or(op.pool, in.Pool))
	if s == nil {
		return lateUntil == 0
	}
	switch {
	case e.assignPending:
		// The pending Assign command may give the worker runs.
		return false
	case op.wave == 0 && lateUntil > 0:
		in.operation = nil
		return false
	case op.wave == 0 && e.couldRunWaitingTask(op, s):
		e.cfg.Log.Info("instance is not moved; a task waits for it", "instance", in.Name, "pool", op.pool)
		in.operation = nil
		return false
	case op.wave == 0 && len(s.worker.Runs()) > 0:
		if e.now-op.createdAt > drainTimeout {
			in.operation = nil
		}
		return false
	case op.wave > 0 && e.isHeldUp(op, s):
		e.cfg.Log.Info("maintenance is held up; trying again later", "instance", in.Name, "wave", op.wave,
			"lacks-room", op.lacksRoom, "awaits-ready", op.awaitsReady)
		e.postponeOperation(in)
		return false
	case op.wave > 0 && !e.evacuate(in, s):
		return false
	case lateUntil > 0:
		if !e.turnOffForMaintenance(in, s) {
			e.logWaitForStarts(in, lateUntil)
		}
		return false
	}
	return true
}

// isUnansweredHeldUp reports whether an operation whose requests got no answer isn't requested again, because a task that
// waits could run on the worker. The worker is released once no request can be carried out any more, so that the operation
// ends no task that starts there.
func (e *Engine) isUnansweredHeldUp(in *instance) bool {
	op := in.operation
	s := e.sessions[op.incarnation]
	if s == nil || !e.isHeldUp(op, s) {
		return false
	}
	settledAt := op.requestedAt + e.cfg.MaxOperationDelay
	if e.now < settledAt {
		return true
	}
	e.cfg.Log.Info("requests for an instance operation get no answer and a task waits; trying again later",
		"instance", in.Name, "wave", op.wave, "pool", op.pool)
	e.postponeOperation(in)
	in.changedAt, in.returnedTo = e.now, ""
	if op.wave > 0 {
		in.maybeAwayUntil = settledAt + e.cfg.MaintenanceDuration
		if op.first {
			in.outlivedBy = op.incarnation
		}
	}
	e.doubt(s)
	return true
}

// postponeOperation gives up an operation that is held up.
func (e *Engine) postponeOperation(in *instance) {
	if in.awaitsReady = in.operation.awaitsReady; !in.awaitsReady {
		in.maintainAfter = e.now + heldUpRetryDelay
	}
	in.operation = nil
}

// endOperation ends an operation that was accepted, once the instance is in service again.
func (e *Engine) endOperation(in *instance) {
	op := in.operation
	s := e.sessions[op.incarnation]
	switch {
	case s != nil && op.maybeRepeated && !s.isDoubted():
		e.cfg.Log.Info("worker outlived an instance operation that was carried out before", "instance", in.Name,
			"wave", op.wave, "pool", op.pool, "worker", s.worker.ID(), "boot", s.worker.Number())
	case e.now <= op.awayUntil:
		return
	case s != nil:
		e.doubt(s)
	}
	in.returnedTo = cmp.Or(op.pool, in.Pool)
	in.operation, in.changedAt, e.fleet.stale = nil, e.now, true
}

// sendAnnounced sends the requests of the operations whose announcement is now in the log. An announcement that was
// repeated may be applied twice, and that of an operation that was given up may come late; neither sends a request.
func (e *Engine) sendAnnounced(m *workloadpb.Order) {
	for _, name := range m.Instances {
		in := e.fleet.instances[name]
		if in == nil || in.operation == nil || in.operation.announcedAt == 0 || in.operation.wave != m.Wave {
			continue
		}
		op := in.operation
		op.announcedAt, op.requestInFlight, op.requested, op.requestedAt = 0, true, true, e.now
		if op.wave > 0 {
			e.addAction(MaintainInstance{Instance: name, Wave: op.wave, FencingToken: e.term})
		} else {
			e.addAction(MoveInstance{Instance: name, Pool: op.pool, FencingToken: e.term})
		}
	}
}

// lastOrderAge returns the minimum time that has passed since an earlier leader announced its last operation on an
// instance, or the maximum duration if no earlier leader's operation is known.
func (e *Engine) lastOrderAge(instance string) time.Duration {
	o := e.state.LastOrder(instance)
	if o == nil || o.Term == e.term {
		return math.MaxInt64
	}
	return millis(e.fleet.startClockMs-o.AtMs) + e.now - e.leadingSince
}

// inheritOperations keeps runs from the incarnations that operations of earlier leaders may still end. Such an operation
// doesn't wait for the starts of this leader.
func (e *Engine) inheritOperations() {
	for name, o := range e.state.LastOrders() {
		wait := ledger.MaxRequestDelay - e.lastOrderAge(name)
		if s := e.sessions[o.Incarnation]; s != nil && wait > 0 {
			s.operationUntil = max(s.operationUntil, e.now+wait)
		}
	}
}

// mustWaitForTakeover reports whether no operation on an instance may be requested yet, because a request of an
// earlier leader may still be in transit.
func (e *Engine) mustWaitForTakeover(instance string) bool {
	return e.lastOrderAge(instance) < e.cfg.TakeoverDelay+takeoverMargin
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// knowsRuns reports whether it is known what runs on an instance: it is off, its worker answers, or the list is as new
// as the last known change. Otherwise a later incarnation than the listed one may have runs.
func (e *Engine) knowsRuns(in *instance, s *session) bool {
	if s != nil && s.failures == 0 || !e.fleet.stale {
		return true
	}
	return e.state.Pool(in.Pool).GetSpare()
}

// mayOperate reports whether an operation on an instance may begin: it is up, without another operation, and listed since the
// last one has ended.
func (e *Engine) mayOperate(in *instance) bool {
	return in.operation == nil && in.Up && e.fleet.listSentAt >= in.changedAt && !e.mustWaitForTakeover(in.Name)
}

// handleOperationResult handles the answer to the request of an operation.
func (e *Engine) handleOperationResult(name string, o Outcome) {
	in := e.fleet.instances[name]
	if in == nil || in.operation == nil {
		return
	}
	op := in.operation
	op.requestInFlight = false
	e.cfg.Log.Info("requested instance operation", "instance", name, "wave", op.wave, "pool", op.pool,
		"outcome", o.String(), "repeated", op.maybeRepeated)
	gone := false
	switch o {
	case Accepted:
		away := e.cfg.MoveDuration
		if op.wave > 0 {
			away = e.cfg.MaintenanceDuration
		}
		op.awayUntil = e.now + away + returnMargin
		// The list may name the next incarnation by now.
		if s := e.sessions[op.incarnation]; s != nil && op.maybeRepeated {
			e.doubt(s)
		} else if s != nil {
			e.endByOperation(s)
		}
	case Malformed, NotFound:
		gone = true
		e.fleet.stale = true
		in.operation = nil
	default:
		op.outcomeUnknown = op.outcomeUnknown || o == NoAnswer
		switch {
		case op.wave > 0 && op.outcomeUnknown:
			e.fleet.maybeMaintained[waveInstance{op.wave, name}] = true
		case o == NoAnswer:
			in.lateMovesUntil = op.requestedAt + ledger.MaxRequestDelay
		}
		op.retryAt = e.now + operationRetryDelay
		e.fleet.stale = true
		if op.requested = op.outcomeUnknown; o == Busy && !op.outcomeUnknown && (op.wave == 0 || !in.Up) {
			// Another instance may do as well.
			in.operation, in.maintainAfter = nil, op.retryAt
		}
		return
	}
	if op.wave > 0 {
		e.fleet.unrecorded = append(e.fleet.unrecorded, &maintenanceRecord{
			waveInstance: waveInstance{op.wave, name}, gone: gone,
		})
		e.proposeMaintenanceRecords()
	}
}

// proposeMaintenanceRecords proposes answers of the platform about maintenance until they are in the log.
func (e *Engine) proposeMaintenanceRecords() {
	f := &e.fleet
	f.unrecorded = slices.DeleteFunc(f.unrecorded, func(r *maintenanceRecord) bool {
		w := e.state.Wave(r.wave)
		return w == nil || slices.Contains(w.Begun, r.instance) || slices.Contains(w.Gone, r.instance)
	})
	for _, r := range f.unrecorded {
		if r.proposedAt > 0 && e.now-r.proposedAt < recordRetryDelay {
			continue
		}
		r.proposedAt = e.now
		m := &workloadpb.Maintained{Wave: r.wave}
		if r.gone {
			m.Gone = []string{r.instance}
		} else {
			m.Begun = []string{r.instance}
		}
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Maintained{Maintained: m}})
	}
}

// isUnrecorded reports whether the platform answered about the maintenance of an instance, and the log lacks that.
func (f *fleet) isUnrecorded(k waveInstance) bool {
	return slices.ContainsFunc(f.unrecorded, func(r *maintenanceRecord) bool { return r.waveInstance == k })
}
