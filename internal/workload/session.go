package workload

import (
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/interference"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// grantedLeaseFraction is the fraction of the longest lease that is granted. The rest covers the time that a
	// request is in transit.
	grantedLeaseFraction = 0.8
	// maxGrantedLease bounds a lease, however long a worker accepts it: the tasks of a lost worker start elsewhere only
	// after the longest lease that it may hold, and each change of leader begins that wait anew. It outlasts a change of
	// leader of 2 s after a renewal that waited for renewalWait.
	maxGrantedLease = 4800 * time.Millisecond
	// MaxConfirmationAge is the maximum time since a quorum confirmed the leader at which it still sends requests to
	// workers. A worker that knows a later leader rejects them.
	MaxConfirmationAge = 2 * time.Second
	// fullLeaseAge is the maximum time since such a confirmation at which a lease is granted in full. A later leader gives
	// runs up only after this time and the longest lease, so a leader with an older confirmation shortens its leases by the
	// rest. It covers a heartbeat of the leader and the answers to it.
	fullLeaseAge = 200 * time.Millisecond
	// unrecordedFullLeaseAge replaces fullLeaseAge for leaders that recorded none, as those of earlier versions.
	unrecordedFullLeaseAge = 2 * time.Second
	// minClockRate is the slowest rate of a worker's clock that the platform allows.
	minClockRate = 0.98
	// expiryMargin covers the time that a worker needs to end its runs when the lease expires.
	expiryMargin = 100 * time.Millisecond
	// renewalWait is how long a worker waits for the end of a run before it answers a lease renewal. Leases are renewed
	// once in this time, which leaves more than half of a lease for a change of leader.
	renewalWait = 1500 * time.Millisecond
	// pendingEndsWait is how long a lease isn't renewed after ends were proposed, which is enough for most commits.
	pendingEndsWait = 100 * time.Millisecond
	// pendingEndsLeaseAge is the age from which on a lease is renewed although ends are not recorded yet.
	pendingEndsLeaseAge = time.Second
	// startupRenewalWait replaces renewalWait while a long-running task is starting: other tasks may wait until it is
	// ready.
	startupRenewalWait = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time between attempts to reach a worker that failed.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// idleAttempts is how often in a row a worker without runs is asked before the next attempt waits for a heartbeat.
	idleAttempts = 3
	// heartbeatDelay is how late a heartbeat may be before an idle worker is asked for its runs, and gets none until it
	// answers. A worker that is lost while it is idle is noticed before the runs of others that were lost with it restart.
	heartbeatDelay = 500 * time.Millisecond
	// startEpochBits is the number of low bits of a fencing token that count the starts after acknowledgements. Tokens stay
	// exact in a double-precision number for two million terms.
	startEpochBits = 32
	// maxMissedHeartbeats is how many heartbeats in a row a worker may miss before it gets no further runs, because its
	// capacity may have shrunk.
	maxMissedHeartbeats = 2
)

// worstCaseDuration returns how long d on the slowest clock of a worker takes, including expiryMargin.
func worstCaseDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d)/minClockRate) + expiryMargin
}

// grantedLease returns the duration of the leases that leaders grant.
func (e *Engine) grantedLease() time.Duration {
	return min(time.Duration(float64(e.cfg.MaxLease)*grantedLeaseFraction), maxGrantedLease)
}

// session is what the leader knows about an incarnation of a worker.
type session struct {
	worker *ledger.Worker
	runs   map[ledger.RunKey]*run
	dirty  bool // is in Engine.dirtySessions

	lastHeartbeat     time.Duration
	heartbeatSequence uint64
	capacityKnownAt   time.Duration // last heartbeat that this leader received, 0 if there was none
	capacityClockMs   int64         // the worker's clock in that heartbeat, 0 if there was none
	drainDeadline     time.Duration

	// The worker's clock showed at least workerClockMs at clockReadAt.
	workerClockMs int64
	clockReadAt   time.Duration
	clockKnown    bool
	// leasedAt is when the last lease was granted.
	leasedAt time.Duration
	// leasesExpireBy is when every lease that was granted has certainly expired.
	leasesExpireBy time.Duration
	suspension     suspension
	// fenced is set once the incarnation rejects requests for earlier ones with its ID.
	fenced bool
	// successorMs is the start in Unix milliseconds of the latest known incarnation with the same ID, which executes what is
	// requested for this one; 0 if there is none.
	successorMs int64
	replacedAt  time.Duration // the successor became known
	// successorHeartbeat is the last one of the successor that was not recorded, received at successorSeenAt.
	successorHeartbeat *workloadpb.Report
	successorSeenAt    time.Duration
	// settled is set once the successor rejects requests for this incarnation and has no run that was requested from it.
	settled bool

	renewalInFlight bool
	renewalSentAt   time.Duration
	nextRenewalAt   time.Duration
	ackedEnd        int64 // last recorded end whose acknowledgement reached the worker
	// startEpoch is the part of the fencing token that separates starts from the acknowledgements before them, and
	// unansweredAcks is the number of these that were sent with the current token and may be carried out later.
	startEpoch     uint64
	unansweredAcks int
	mustList       bool // the worker is asked for its runs and ends although no run is assigned
	endsPending    bool // an Ends command was proposed and is not applied yet
	endsProposedAt time.Duration
	pendingEnd     int64 // number of the last end of the worker's list in this command, 0 if it has none of them

	failures              int
	failingSince          time.Duration
	unansweredAt          time.Duration // the answer to the first request that failed was due
	lastAnswerAt          time.Duration
	mustAnswer            bool          // gets no new runs until it answers a request
	listedAt              time.Duration // the last list to this leader was requested, 0 if there was none
	hasUnassignedRuns     bool          // lists runs that are not assigned to it
	listFull              bool          // the last list may lack ends
	consecutiveFailedRuns int           // runs that failed since one succeeded
	excludedUntil         time.Duration
	reservedForOperation  bool // gets no new runs because its instance is moved or maintained
	// operationUntil is when no operation on its instance that an earlier leader announced is carried out any more, 0 if there
	// is none or the worker has been asked since.
	operationUntil time.Duration
	// doubtedAt is when the platform accepted an operation that may have ended the incarnation. Only the answer to a
	// later request shows that it did not.
	doubtedAt time.Duration
	// confirmedAt is when the latest request was sent that the incarnation answered.
	confirmedAt time.Duration
	// kinds records which kinds of tasks run on the worker. listAnsweredAt is when the last list was answered.
	kinds          *interference.Worker
	listAnsweredAt time.Duration
}

// run is what the leader knows about an assigned run.
type run struct {
	key  ledger.RunKey
	task *ledger.Task
	name RunName
	// assignNumber is the number of the command that assigned the run, 0 if an earlier version proposed it.
	assignNumber uint64
	// checkpoint is the one that the run starts from.
	checkpoint string
	ticket     string

	inherited       bool          // assigned by an earlier leader, and the worker was not asked for it yet
	startCopies     int           // requests to start it without an answer, with those of earlier leaders
	startUnresolved bool          // the only one has no answer, and no list has told yet whether it was carried out
	unresolvedUntil time.Duration // if startUnresolved, the start may be carried out late until then
	// lateUntil is until when starts without an answer, as far as they are known, may be carried out; 0 if there are none.
	lateUntil  time.Duration
	carriedOut bool // a list has shown the run
	// startedProposedAt is when it was last proposed to record that the start was carried out.
	startedProposedAt time.Duration
	startInFlight     bool
	stopInFlight      bool
	attempts          int
	requestedAt       time.Duration // its start was last requested
	unlistedAt        time.Duration // the worker was last asked for a list that lacks the run
	retryAt           time.Duration
	startedAt         time.Duration // the worker acknowledged the start
	shouldStop        bool
	doubtful          bool          // a request to start it got no answer of this incarnation, so a later one may execute it
	unattributed      bool          // the answer to its start may be that of a later incarnation
	repeated          bool          // a request to start it was sent twice
	givenUp           bool          // its end is or will be proposed, so it must not start
	harmlessAt        time.Duration // its task was last proposed to be recorded as harmless
	lost              bool          // was given up because its worker doesn't answer, and may have started
	stoppedAt         time.Duration // the worker acknowledged the stop

	listed         bool
	measured       bool // its run time was recorded
	lastCheckpoint string
	progress       int
	load           int64
	// throttlePercent is the share of its speed at which the run may work.
	throttlePercent  int
	throttleInFlight bool // a change was requested and has no result yet
	throttledAt      time.Duration
	timing           runTiming
}

func (e *Engine) openSession(w *ledger.Worker) *session {
	s := &session{
		worker: w, runs: map[ledger.RunKey]*run{}, fenced: w.Predecessors() == 0 || w.AssignedSinceMs() > 0,
		kinds: interference.NewWorker(w.Number()),
	}
	e.sessions[w.Number()] = s
	e.markDirty(s)
	e.cfg.Log.Info("worker registered", "worker", w.ID(), "boot", w.Number(), "predecessors", w.Predecessors(),
		"pool", w.Pool(), "address", w.Address())
	return s
}

func newRun(k ledger.RunKey, t *ledger.Task) *run {
	return &run{
		key: k, task: t, checkpoint: t.Checkpoint, shouldStop: ledger.MustStop(t), throttlePercent: 100,
		name: RunName{Job: t.Step().Occurrence.Job.ID, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index, Run: k.Run},
	}
}

func (r *run) requestInFlight() bool { return r.startInFlight || r.stopInFlight }

// adoptInheritedRuns adds the runs that an earlier leader assigned.
func (e *Engine) adoptInheritedRuns(s *session) {
	e.adoptAssignedRuns(s)
	for _, r := range s.runs {
		// An earlier leader may have requested the start without an answer.
		r.inherited, r.doubtful = true, true
		e.inheritStart(s, r)
	}
	s.mustList = true
}

// adoptAssignedRuns adds the runs that were assigned since the last call.
func (e *Engine) adoptAssignedRuns(s *session) {
	for k, t := range s.worker.Runs() {
		if s.runs[k] == nil {
			r := newRun(k, t)
			r.assignNumber = t.RunOn(s.worker).AssignNumber()
			r.timing.kind = e.kindOf(t.Step())
			s.runs[k], e.lateStarts.open[r], e.lateStarts.unlisted[r] = r, true, true
		}
	}
}

// sortedRuns returns the runs that a condition holds for, in a fixed order: the requests and decisions on them depend on
// those before.
func (s *session) sortedRuns(keep func(r *run) bool) []*run {
	var list []*run
	for _, r := range s.runs {
		if keep(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return a.key.Compare(b.key) })
	return list
}

// removeEndedRuns removes the runs whose ends were recorded, and counts consecutive failures.
func (e *Engine) removeEndedRuns(s *session, m *workloadpb.Ends) {
	if s.pendingEnd <= s.worker.LastRecordedEnd() {
		s.endsPending, s.pendingEnd = false, 0
	}
	for k, r := range s.runs {
		if s.worker.Runs()[k] == nil {
			e.logLateStart(s, r, "run-ended")
			e.lateStarts.resolve(s.worker.ID(), r, false)
			e.lateStarts.forget(r)
			e.noteGone(s, r, e.now)
			delete(s.runs, k)
		}
	}
	if m.Noted > 0 {
		for _, e := range m.Ends {
			switch e.How {
			case workloadpb.How_HOW_DONE:
				s.consecutiveFailedRuns = 0
			case workloadpb.How_HOW_FAILED:
				s.consecutiveFailedRuns++
			}
		}
	}
}

func (s *session) target() Target {
	return Target{
		Incarnation: s.worker.Number(), ID: s.worker.ID(), Address: s.worker.Address(), StartedMs: s.worker.StartedMs(),
	}
}

// requestHeader returns the header of a request to the worker that grants no lease.
func (e *Engine) requestHeader(s *session) RequestHeader {
	return RequestHeader{Target: s.target(), FencingToken: e.tokenFor(s)}
}

// tokenFor returns the fencing token of requests to a worker. A later leader knows all incarnations that an earlier one has
// registered, so its tokens are higher than those of requests that start runs, grant leases or acknowledge ends.
func (e *Engine) tokenFor(s *session) uint64 {
	token := e.term + s.worker.Predecessors()
	if s.successorMs > 0 {
		return (token + 1) << startEpochBits
	}
	return token<<startEpochBits + s.startEpoch
}

// isOvertaken reports whether the worker rejected a request because one with a higher token of this leader came first.
func (e *Engine) isOvertaken(s *session, o Outcome, h RequestHeader) bool {
	return o == Fenced && h.FencingToken < e.tokenFor(s)
}

// recordFence records that an incarnation has carried out a request of this leader at a time, and so rejects those for earlier
// incarnations from then on. One of them may have granted the longest lease just before.
func (e *Engine) recordFence(s *session, at time.Duration) {
	if !s.fenced {
		s.fenced, s.leasesExpireBy = true, max(s.leasesExpireBy, at+worstCaseDuration(e.cfg.MaxLease))
	}
}

// leaseHeader returns the header of a request to the worker, with a lease if the worker answers, its clock is known and
// its leases are not suspended.
// A request to a worker that doesn't answer must not postpone the time at which its runs are given up.
func (e *Engine) leaseHeader(s *session) RequestHeader {
	h := e.requestHeader(s)
	if !s.clockKnown || s.failures > 0 || s.suspension.active || s.worker.HasLeft() {
		return h
	}
	lease := e.grantedLease()
	h.LeaseExpiryMs, s.leasedAt = s.earliestClockMs(e.now)+lease.Milliseconds(), e.now
	s.leasesExpireBy = max(s.leasesExpireBy, e.now+worstCaseDuration(lease))
	return h
}

// ShortenLease shortens the lease of a request that a leader sends at a time since a quorum confirmed it.
func (h *RequestHeader) ShortenLease(confirmationAge time.Duration) {
	if rest := confirmationAge - fullLeaseAge; rest > 0 && h.LeaseExpiryMs > 0 {
		h.LeaseExpiryMs = max(h.LeaseExpiryMs-rest.Milliseconds()-1, 1)
	}
}

// earliestClockMs returns the earliest time that the worker's clock may show, if a reading of it is known.
func (s *session) earliestClockMs(now time.Duration) int64 {
	return s.workerClockMs + int64(minClockRate*float64((now-s.clockReadAt).Milliseconds()))
}

// recordClock records a reading of the worker's clock that was taken no later than at, unless the last reading tells
// more, because this one was held up on its way.
func (s *session) recordClock(clock int64, at time.Duration) {
	elapsed := float64((at - s.clockReadAt).Milliseconds())
	if !s.clockKnown || float64(clock-s.workerClockMs) >= minClockRate*elapsed {
		s.workerClockMs, s.clockReadAt, s.clockKnown = clock, at, true
	}
}

// recordAnswer records that the worker answered. An answer that may be that of a later incarnation tells nothing.
func (e *Engine) recordAnswer(s *session, a Answer) {
	if a.Unattributed {
		return
	}
	if s.failures > 0 {
		e.cfg.Log.Info("worker is reachable again", "worker", s.worker.ID(), "boot", s.worker.Number(),
			"failures", s.failures)
	}
	s.failures, s.lastAnswerAt, s.mustAnswer = 0, a.EndedAt, false
	if a.Outcome != OtherIncarnation {
		s.confirmedAt = max(s.confirmedAt, a.SentAt)
	}
	s.recordClock(a.ClockMs, a.EndedAt)
}

// recordFailure records that a request, whose answer was due at a time, failed.
func (e *Engine) recordFailure(s *session, request string, a Answer, due time.Duration) {
	s.failures++
	if a.Refused && s.worker.HasLeft() {
		s.leasesExpireBy = min(s.leasesExpireBy, e.now-1) // Its runs have ended with it.
	}
	if s.failures == 1 {
		s.failingSince, s.unansweredAt = e.now, due
		e.cfg.Log.Info("request to worker failed", "worker", s.worker.ID(), "boot", s.worker.Number(), "order", request,
			"outcome", a.Outcome.String(), "runs", len(s.runs), "lease-ends-in", (s.leasesExpireBy - e.now).String())
	}
}

func (s *session) retryDelay() time.Duration {
	return min(minRetryDelay*time.Duration(max(s.failures, 1)), maxRetryDelay)
}

// endByOperation proposes to record that an operation on the instance has ended the incarnation of a session. Its runs may
// have crashed it before, unless it has given a sign of life since it stopped answering.
func (e *Engine) endByOperation(s *session) {
	silent := max(s.confirmedAt, s.capacityKnownAt) <= s.unansweredAt
	e.endIncarnation(s, "its instance is moved or maintained", &workloadpb.Leave{Lost: silent})
}

func (e *Engine) endIncarnation(s *session, reason string, m *workloadpb.Leave) {
	m.Id, m.BornMs = s.worker.ID(), s.worker.StartedMs()
	e.cfg.Log.Info("ending incarnation of a worker", "worker", s.worker.ID(), "boot", s.worker.Number(),
		"reason", reason, "runs", len(s.runs))
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_Leave{Leave: m}})
}

// doubt records that the incarnation of a session may have ended, and asks the worker.
func (e *Engine) doubt(s *session) {
	s.doubtedAt = e.now
	e.markDirty(s)
}

// isDoubted reports whether an operation may have ended the incarnation.
func (s *session) isDoubted() bool { return s.confirmedAt < s.doubtedAt }

// seenAt returns when the worker last sent a heartbeat or an answer.
func (s *session) seenAt() time.Duration { return max(s.lastHeartbeat, s.lastAnswerAt) }

// isOverdue reports whether a worker should have sent a heartbeat or an answer by now.
func (e *Engine) isOverdue(s *session) bool {
	return e.now-s.seenAt() > e.cfg.HeartbeatInterval+heartbeatDelay
}

// knowsCapacity reports whether the capacity of a worker is recent enough to start runs on it. A worker that answers may
// have changed its capacity since its last heartbeat.
func (e *Engine) knowsCapacity(s *session) bool {
	return s.capacityKnownAt > 0 && !e.isCapacityOutdated(s)
}

// isCapacityOutdated reports whether the capacity of a worker is too old to start runs on it. A new leader waits as long
// for the first heartbeat of a worker.
func (e *Engine) isCapacityOutdated(s *session) bool {
	age := e.now - max(s.capacityKnownAt, e.leadingSince)
	if s.capacityClockMs > 0 {
		// The heartbeat may have been delayed, which shows once the worker answers.
		age = max(age, millis(s.earliestClockMs(e.now)-s.capacityClockMs))
	}
	return age > maxMissedHeartbeats*e.cfg.HeartbeatInterval+heartbeatDelay
}

// isUsable reports whether a worker may take new runs.
func (e *Engine) isUsable(s *session) bool { return e.exclusion(s) == "" }

// exclusion returns why a worker may not take new runs, empty if it may.
func (e *Engine) exclusion(s *session) string {
	switch {
	case s.successorMs > 0:
		return "replaced"
	case s.failures > 0:
		return "unreachable"
	case s.mustAnswer:
		return "unanswered"
	case !s.clockKnown:
		return "clock-unknown"
	case !s.fenced:
		return "not-fenced"
	case s.worker.IsDraining():
		return "draining"
	case e.isEvacuated(s):
		return "zone-evacuated"
	case s.hasUnassignedRuns:
		return "lists-unassigned-runs"
	case s.reservedForOperation || s.operationUntil > 0:
		return "reserved-for-operation"
	case s.isDoubted():
		return "maybe-ended"
	case e.now < s.excludedUntil:
		return "rejected-a-start"
	case e.isOverdue(s):
		return "no-heartbeat"
	case !e.knowsCapacity(s):
		return "capacity-unknown"
	}
	return ""
}

func (s *session) schedulerView() *schedule.Worker {
	v := &schedule.Worker{Worker: s.worker, UnusedCPU: s.worker.Capacity().CPU, Suspect: s.consecutiveFailedRuns > 1}
	for k, t := range s.worker.Runs() {
		step := t.Step().Step
		v.UnusedCPU -= step.Need.GetCpu()
		if step.Fills {
			v.BestEffort++
		}
		if step.TargetMs > 0 {
			v.LatencySensitive++
		}
		if step.Lasting {
			v.LongRunning++
			v.LongRunningUsage = v.LongRunningUsage.Plus(ledger.RequiredCapacity(step))
		}
		r := s.runs[k]
		if r != nil {
			v.Kinds |= uint64(r.timing.kind.Set())
		}
		if r == nil || !s.isHarmless(r) {
			v.AddUnproven(t, t.IsIsolatedOn(s.worker))
		}
	}
	return v
}

// isForeign reports whether a heartbeat comes from another writer than a worker. It names a pool that the configuration
// lacks, or differs from the known heartbeats of its incarnation in what an incarnation keeps; w is the latest incarnation
// with its ID.
func (e *Engine) isForeign(m *workloadpb.Worker, w *ledger.Worker) bool {
	if w != nil && w.StartedMs() == m.GetBornMs() {
		return !w.HasIdentity(m)
	}
	return e.state.Document() != nil && e.state.Pool(m.GetPool()) == nil
}

// handleHeartbeat updates the session of the worker that sent a heartbeat. It reports whether the heartbeat must not be
// recorded, because a later one was received or it comes from another writer, who says nothing about any worker.
func (e *Engine) handleHeartbeat(r *workloadpb.Report) (mustIgnore bool) {
	w := e.state.WorkerByID(r.GetWorker().GetId())
	if e.isForeign(r.GetWorker(), w) {
		e.cfg.Log.Info("ignored a heartbeat of another writer", "worker", r.GetWorker().GetId(), "pool",
			r.GetWorker().GetPool(), "address", r.GetWorker().GetAddress(), "born", r.GetWorker().GetBornMs())
		return true
	}
	if w == nil {
		return false
	}
	s := e.sessions[w.Number()]
	if s != nil && e.leading && r.Worker.BornMs > w.StartedMs() {
		if r.Worker.Address != w.Address() {
			return false // Late requests for this incarnation don't reach the later one.
		}
		if !e.handleReplacement(s, r.Worker.BornMs) {
			return false
		}
		if r.Worker.BornMs == s.successorMs && r.Sequence >= s.successorHeartbeat.GetSequence() {
			s.successorHeartbeat, s.successorSeenAt = r, e.now
		}
		return true
	}
	if w.StartedMs() != r.Worker.BornMs {
		return false
	}
	if r.Sequence < w.RecordedSequence() || s != nil && r.Sequence < s.heartbeatSequence {
		e.cfg.Log.V(1).Info("ignored a delayed heartbeat", "worker", w.ID(), "boot", w.Number(), "sequence", r.Sequence)
		return true
	}
	if s == nil || !e.leading {
		return false
	}
	s.heartbeatSequence, s.lastHeartbeat, s.capacityKnownAt = r.Sequence, e.now, max(e.now, 1)
	s.capacityClockMs = r.ClockMs
	s.recordClock(r.ClockMs, e.now)
	e.markDirty(s)
	if r.Worker.Draining {
		s.drainDeadline = e.now + time.Duration(r.LeavesInMs)*time.Millisecond
	}
	return false
}
