package workload

import (
	"math"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// listPause is the least time between two reads of the list of instances, each of which is paid for.
	listPause = 700 * time.Millisecond
	// listAge is after how long the list is read again although nothing is known to have changed.
	listAge = 10 * time.Second
	// fleetInterval is the time between decisions on instances. Moves take more than a second, so faster ones gain little.
	fleetInterval = 100 * time.Millisecond
	// dutyPause is the time before an order for an instance that was not carried out is repeated.
	dutyPause = 500 * time.Millisecond
	// downMargin covers that an instance is back later than its move or upkeep takes.
	downMargin = 500 * time.Millisecond
	// takeOverMargin covers that an order of the last leader was on its way for a while.
	takeOverMargin = 500 * time.Millisecond
	// drainPatience is how long an instance that is due for upkeep may go on with what it runs.
	drainPatience = 1500 * time.Millisecond
)

// fleet is what the leader knows about instances.
type fleet struct {
	rows     map[string]*instance
	byWorker map[string]*instance
	listed   bool
	listedAt time.Duration
	listing  bool
	stale    bool
	drivenAt time.Duration
	grownAt  map[string]time.Duration // when a pool last had too few instances
	// shortSince is since when a subtask that lasts has no worker in a pool.
	shortSince map[string]time.Duration
	clock      int64 // the ledger's clock when this leader began
	// maintained holds the upkeeps that may have been carried out without this leader knowing.
	maintained map[upkeep]bool
}

// upkeep is that of an instance in a wave.
type upkeep struct {
	wave     int64
	instance string
}

// instance is a row of the list with what is being done to it.
type instance struct {
	Instance
	duty      *duty
	idleSince time.Duration // 0 while it is busy
}

// duty is a move or an upkeep of an instance.
type duty struct {
	// pool is the target of a move, empty for an upkeep.
	pool string
	wave int64
	// boot is the number of the boot that ends with the order, 0 when the instance had none.
	boot     uint64
	began    time.Duration
	ordering bool
	ordered  bool // an order was sent and may be carried out
	doubtful bool // an order had no answer
	// repeated orders may have been carried out earlier. The cloud confirms them then without doing anything, so that
	// what runs on the instance may go on.
	repeated bool
	retryAt  time.Duration
	till     time.Duration // confirmed; the instance is away until then
}

func (f *fleet) reset() {
	*f = fleet{
		rows: map[string]*instance{}, byWorker: map[string]*instance{}, stale: true, grownAt: map[string]time.Duration{},
		shortSince: map[string]time.Duration{}, maintained: map[upkeep]bool{},
	}
}

// driveFleet keeps the list of instances and decides on moves and upkeep.
func (e *Engine) driveFleet() {
	f := &e.fleet
	if e.now-f.drivenAt < fleetInterval {
		return
	}
	f.drivenAt = e.now
	age := e.now - f.listedAt
	if !f.listing && (f.stale && age >= listPause || age >= listAge) {
		f.listing = true
		e.addAction(ListInstances{})
	}
	if !f.listed {
		return
	}
	for _, in := range f.sorted() {
		e.driveDuty(in)
	}
	for _, w := range e.state.Waves() {
		if !ledger.WaveCompleted(w) {
			e.driveWave(w)
		}
	}
	e.drivePools()
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

func (e *Engine) onInstances(ev ListInstancesResult) {
	f := &e.fleet
	f.listing = false
	f.listedAt = max(e.now, 1)
	if ev.Outcome != Accepted {
		e.cfg.Log.Info("list of instances was not read", "outcome", ev.Outcome.String())
		f.stale = true
		return
	}
	f.stale, f.listed = false, true
	rows := map[string]*instance{}
	clear(f.byWorker)
	for _, row := range ev.Instances {
		in := f.rows[row.Name]
		if in == nil {
			in = &instance{}
		}
		in.Instance = row
		rows[row.Name] = in
		if row.Worker != "" {
			f.byWorker[row.Worker] = in
		}
	}
	f.rows = rows
}

// driveDuty carries on with the move or upkeep of an instance.
func (e *Engine) driveDuty(in *instance) {
	d := in.duty
	if d == nil || d.ordering || e.now < d.retryAt {
		return
	}
	s := e.sessionOf(in)
	if d.till == 0 && !d.ordered && !e.certain(in, s) {
		return
	}
	if d.till > 0 {
		if e.now > d.till {
			in.duty, e.fleet.stale = nil, true
			// A boot that was heard of since goes on, as nothing was done.
			if s := e.sessions[d.boot]; s != nil && d.repeated && max(s.lastHeartbeat, s.lastAnswerAt) > d.till-downMargin {
				s.reservedForOperation = false
			}
		}
		return
	}
	if s != nil && !d.ordered {
		s.reservedForOperation = true
		switch {
		case e.assignPending:
			// A command that is under way may give it work.
			return
		case d.wave == 0 && len(s.worker.Runs()) > 0:
			if e.now-d.began > drainPatience {
				e.drop(in, s)
			}
			return
		case d.wave > 0 && !e.vacate(s, e.now-d.began):
			return
		}
	}
	if e.heldBack(in.Name) {
		return
	}
	if s != nil && !d.doubtful {
		d.boot = s.worker.Number()
	}
	d.repeated = e.fleet.maintained[upkeep{d.wave, in.Name}] || d.wave == 0 && s != nil && s.worker.Pool() == d.pool
	d.ordering, d.ordered = true, true
	// Orders are announced in the log, so that the next leader knows which instances it must leave alone for a while.
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_Order{
		Order: &workloadpb.Order{Instances: []string{in.Name}, Wave: d.wave},
	}})
}

// announced sends the orders that the log now holds.
func (e *Engine) announced(m *workloadpb.Order) {
	for _, name := range m.Instances {
		in := e.fleet.rows[name]
		if in == nil || in.duty == nil || !in.duty.ordering {
			continue
		}
		if d := in.duty; d.wave > 0 {
			e.addAction(MaintainInstance{Instance: name, Wave: d.wave, FencingToken: e.term})
		} else {
			e.addAction(MoveInstance{Instance: name, Pool: d.pool, FencingToken: e.term})
		}
	}
}

// orderAge returns how long ago an earlier leader surely gave its last order for an instance.
func (e *Engine) orderAge(instance string) time.Duration {
	o := e.state.LastOrder(instance)
	if o == nil || o.Term == e.term {
		return math.MaxInt64
	}
	return millis(e.fleet.clock-o.AtMs) + e.now - e.leadingSince
}

// heldBack reports whether an instance gets no order yet, because an order of an earlier leader may be under way.
func (e *Engine) heldBack(instance string) bool {
	return e.orderAge(instance) < e.cfg.TakeoverDelay+takeOverMargin
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// certain reports whether it is known what runs on an instance: it is off, its worker answers, or the list is as new as
// the last change. Otherwise a later boot than the listed one may have work.
func (e *Engine) certain(in *instance, s *session) bool {
	if s != nil && s.failures == 0 || !e.fleet.stale {
		return true
	}
	return e.state.Pool(in.Pool).GetSpare()
}

// drop gives up a duty that was not ordered yet.
func (e *Engine) drop(in *instance, s *session) {
	in.duty = nil
	if s != nil {
		s.reservedForOperation = false
	}
}

// onDuty takes the answer to an order for an instance.
func (e *Engine) onDuty(name string, o Outcome) {
	in := e.fleet.rows[name]
	if in == nil || in.duty == nil {
		return
	}
	d := in.duty
	d.ordering = false
	e.cfg.Log.Info("instance was ordered away", "instance", name, "wave", d.wave, "pool", d.pool, "outcome", o.String(),
		"repeated", d.repeated)
	s := e.sessionOf(in)
	m := &workloadpb.Maintained{Wave: d.wave}
	switch o {
	case Accepted:
		away := e.cfg.MoveDuration
		if d.wave > 0 {
			away = e.cfg.MaintenanceDuration
			m.Begun = []string{name}
		}
		d.till = e.now + away + downMargin
		// The list may name the next boot by now.
		if s := e.sessions[d.boot]; s != nil && !d.repeated {
			e.endIncarnation(s, "its instance was ordered away")
		}
	case Malformed, NotFound:
		m.Gone = []string{name}
		e.fleet.stale = true
		e.drop(in, s)
	default:
		d.doubtful = d.doubtful || o == NoAnswer
		if d.wave > 0 && d.doubtful {
			e.fleet.maintained[upkeep{d.wave, name}] = true
		}
		d.retryAt = e.now + dutyPause
		e.fleet.stale = true
		if d.ordered = d.doubtful; o == Busy && !d.doubtful {
			e.drop(in, s)
		}
		return
	}
	if d.wave > 0 {
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Maintained{Maintained: m}})
	}
}
