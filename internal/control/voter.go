package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/disk"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/member"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
	"github.com/hibiscusroute/hibiscusroute/internal/rate"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
	"github.com/hibiscusroute/hibiscusroute/internal/voter"
)

const (
	// tickInterval is the time unit of the replicated log and the interval between decisions of the kernel.
	tickInterval = 100 * time.Millisecond
	// heartbeatTicks and electionTicks give a heartbeat every 100 ms and an election timeout of 0.5 to 1 s.
	heartbeatTicks = 1
	electionTicks  = 5
	// startElectionTicks spreads the pre-votes of voters that start at the same moment over 0.4 s.
	startElectionTicks = 4
	// snapshotEntries is the number of entries between snapshots; a restart replays them in well under a second.
	snapshotEntries = 1000
	// snapshotBytes is the size of the entries that triggers a snapshot earlier, for the same reason. The largest entries
	// are configuration documents.
	snapshotBytes = 2 << 20
	// slowSnapshotFactor multiplies both while the disk is slow: a snapshot takes several syncs, for which the log waits, and the
	// voters take theirs at about the same time.
	slowSnapshotFactor = 8
	// maxCommandBytes bounds the size of a command, so that a message with it fits into a frame between processes.
	maxCommandBytes = 512 << 10
	// maxQueuedEvents bounds the functions that wait for the control loop.
	maxQueuedEvents = 1024
	// maxEventBatch bounds the functions that run in one round of the control loop.
	maxEventBatch = 256
	// outputInterval is the minimum time between rounds that decide and handle the output of the log. Events that arrive
	// meanwhile share messages, log entries and decisions.
	outputInterval = 4 * time.Millisecond
)

// Config configures a Voter.
type Config struct {
	Name             string
	PeerAddress      string
	AvailabilityZone string
	Store            *disk.Store
	// Persisted is the state that Store loaded.
	Persisted raft.PersistentState
	Transport *peer.Transport
	// Bootstrap starts a new group if the data directory is empty, with this voter only unless Founders is set.
	Bootstrap bool
	// Founders are the peer addresses of the initial voters of a new group, including this one; used with Bootstrap. The
	// voters may start in any order, each with the identity that FounderIdentity returns.
	Founders []string
	// RemoveLostAfter is how long the leader waits before it removes a voter that is unreachable or lagging, where
	// another one takes its place; 0 disables the removal. A removed voter that comes back must join again.
	RemoveLostAfter time.Duration
	// ToleratedLosses is the number of voters whose loss the group must tolerate, f. Lost voters leave a group that has more
	// than 2f+1 voters. If it is 0, f is unknown, and they leave groups with an even number of voters only.
	ToleratedLosses int
	// Setup is called with the kernel before the snapshot is restored. It may be nil.
	Setup func(k *kernel.Kernel)
	// RunActions is called with the actions that the kernel of the leader decided. It must not block and may be nil.
	RunActions func(actions []kernel.Action)
	// LeadershipChanged is called when this voter starts or stops leading. It must not block and may be nil.
	LeadershipChanged func(leading bool)
	// Violation is called for each violated invariant. It may be nil.
	Violation func(plugin string, err error)
	// Record adds an event to the time line. It may be nil.
	Record func(e timeline.Event)
	// ObserveHistogram adds a value to a histogram. It may be nil, and is called from several goroutines.
	ObserveHistogram func(name string, v float64)
	Log              logr.Logger
}

// Voter is one member of the control group.
type Voter struct {
	cfg       Config
	core      *raft.Core
	kernel    *kernel.Kernel
	startedAt time.Time
	events    chan func()
	done      chan struct{}
	sender    *sender
	saver     *saver
	feed      *feed

	// isLeader is a copy of leading for other goroutines.
	isLeader atomic.Bool
	// confirmedAt is the BootTime at which the newest heartbeat round that a quorum answered was sent.
	confirmedAt atomic.Int64
	// term is a copy of the newest term for other goroutines.
	term atomic.Uint64
	// group is a copy of the state of the group for other goroutines.
	group atomic.Pointer[GroupStatus]
	// answering is a copy of the addresses of the other voters that answer.
	answering atomic.Pointer[[]string]

	// The fields below belong to the control loop.
	leading         bool
	leadTerm        uint64
	lastAppliedTerm uint64 // term of the last entry that was applied
	decisionDue     bool   // also with each tick
	proposals       proposals
	readCallbacks   map[uint64]func(raft.ReadResult)
	unappliedReads  []raft.ReadResult
	waitingRenewals []func(raft.ReadResult) // renewals that wait for the quorum round of the next tick
	lastReadID      uint64
	snapshotIndex   uint64
	snapshotting    bool          // a snapshot is being saved
	lastSaveTook    time.Duration // of the log
	loggedBytes     int           // bytes of the entries applied since the last snapshot
	rollouts        rollouts
	lastRenewals    map[string]lastRenewal // soft state of the leader
	members         *member.State
	quotas          *quota.State
	configuration   *configuration.State
	voters          *voter.State
	proposedVoters  []*claimpb.Voter // proposed as the next membership of the at-most-once record
	runErr          error
	roundTimes      roundTimes
	calls           rate.Counter             // of other processes, heartbeats included
	missingSince    map[string]time.Duration // since when a voter has not been caught up or a learner silent
	limitRecordedAt map[string]time.Duration // when the holders of a team's limit were last recorded
	heardAt         map[string]time.Duration // when the last message of a member arrived
	leaderSeenAt    time.Duration            // when a leader was last known
	commits         commitWatch

	leaderlessLoggedAt time.Duration // 0 while a leader is known
}

// lastRenewal is what a process reported with its last lease renewal.
type lastRenewal struct {
	version, applied uint64
	at               time.Duration
}

// New returns a voter with the state of its data directory.
func New(cfg Config) (*Voter, error) {
	if cfg.Record == nil {
		cfg.Record = func(timeline.Event) {}
	}
	if cfg.ObserveHistogram == nil {
		cfg.ObserveHistogram = func(string, float64) {}
	}
	persisted := cfg.Persisted
	cfg.Persisted = raft.PersistentState{}
	var err error
	if persisted.Snapshot == nil && cfg.Bootstrap {
		if persisted, err = bootstrap(cfg); err != nil {
			return nil, err
		}
	}
	v := &Voter{
		cfg:           cfg,
		startedAt:     time.Now(),
		events:        make(chan func(), maxQueuedEvents),
		done:          make(chan struct{}),
		proposals:     newProposals(),
		readCallbacks: map[uint64]func(raft.ReadResult){},
		heardAt:       map[string]time.Duration{},
	}
	if v.kernel, err = kernel.New(kernel.Config{OnViolation: cfg.Violation, Log: cfg.Log}); err != nil {
		return nil, err
	}
	// These lookups can't fail, because this package imports the plug-ins.
	v.members, _ = kernel.Lookup[*member.State](v.kernel, member.Name)
	v.quotas, _ = kernel.Lookup[*quota.State](v.kernel, quota.Name)
	v.configuration, _ = kernel.Lookup[*configuration.State](v.kernel, configuration.Name)
	v.voters, _ = kernel.Lookup[*voter.State](v.kernel, voter.Name)
	if cfg.Setup != nil {
		cfg.Setup(v.kernel)
	}
	if s := persisted.Snapshot; s != nil {
		if err := v.restoreSnapshot(s); err != nil {
			return nil, err
		}
	}
	v.core, err = raft.New(raft.Config{
		ID: cfg.Store.Identity(), PersistentState: persisted,
		ElectionTicks: electionTicks, StartElectionTicks: startElectionTicks, HeartbeatTicks: heartbeatTicks, Rand: rand.IntN,
	})
	if err != nil {
		return nil, err
	}
	v.term.Store(v.core.Status().Term)
	v.sender = newSender(cfg.Transport, cfg.Log)
	v.saver = newSaver(cfg.Store)
	v.feed = newFeed(v.kernel.Applied())
	v.registerHandlers()
	return v, nil
}

// FounderIdentity returns the identity of the initial voter in Config.Founders with the given peer address.
func FounderIdentity(address string) string { return "founder-" + address }

func bootstrap(cfg Config) (raft.PersistentState, error) {
	members := []*raftpb.Member{localMember(cfg, true)}
	if len(cfg.Founders) > 0 {
		members = nil
		for _, a := range cfg.Founders {
			members = append(members, &raftpb.Member{Id: FounderIdentity(a), Name: a, Address: a, Voter: true})
		}
	}
	p := raft.Bootstrap(members)
	if err := cfg.Store.SaveSnapshot(p.Snapshot.Meta, p.Snapshot.Data); err != nil {
		return p, err
	}
	return p, cfg.Store.Save(p.HardState, nil)
}

func localMember(cfg Config, voter bool) *raftpb.Member {
	return &raftpb.Member{
		Id: cfg.Store.Identity(), Name: cfg.Name, Address: cfg.PeerAddress,
		AvailabilityZone: cfg.AvailabilityZone, Voter: voter,
	}
}

// Leading reports whether this voter leads the control group as far as it knows; see QuorumConfirmed.
func (v *Voter) Leading() bool { return v.isLeader.Load() }

// Term returns the newest term of which this voter knows a leader or for which it has voted.
func (v *Voter) Term() uint64 { return v.term.Load() }

// Now returns the monotonic time that is passed to the kernel.
func (v *Voter) Now() time.Duration { return v.now() }

func (v *Voter) now() time.Duration { return time.Since(v.startedAt) }

// Run runs the control loop until ctx is done or the data directory fails.
func (v *Voter) Run(ctx context.Context) error {
	go v.saver.run()
	defer v.saver.stop() // After close(v.done), as a job may take long.
	defer close(v.done)
	defer v.sender.close()
	defer v.feed.close()
	watchCtx, endWatch := context.WithCancel(ctx)
	defer endWatch()
	go v.watchProcessor(watchCtx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	output := time.NewTimer(0)
	defer output.Stop()
	for outputAt := v.now() - outputInterval; v.runErr == nil; {
		round := loopRound{}
		select {
		case <-ctx.Done():
			v.failPendingProposals()
			return nil
		case f := <-v.events:
			round.beganAt = v.now()
			f()
			round.events = 1 + v.handleQueuedEvents()
		case r := <-v.saver.results:
			round.beganAt = v.now()
			v.runErr = v.finishJob(r)
		case <-ticker.C:
			round.beganAt = v.now()
			v.onTick()
		case <-output.C:
			round.beganAt = v.now()
		}
		round.handledAt = v.now()
		if wait := outputAt + outputInterval - round.handledAt; wait > 0 {
			output.Reset(wait)
			v.logSlowRound(round)
			continue
		}
		if v.runErr == nil {
			v.handleOutput(&round)
		}
		outputAt = v.now()
		if v.decisionDue {
			output.Reset(outputInterval)
		}
		v.logSlowRound(round)
	}
	v.failPendingProposals()
	return v.runErr
}

// handleOutput decides if that is due, and handles the output of the log.
func (v *Voter) handleOutput(r *loopRound) {
	if v.decisionDue {
		v.decide()
	}
	r.decidedAt = v.now()
	v.runErr = v.processReady()
	r.readyAt = v.now()
}

// handleQueuedEvents runs the functions that are already queued, so that their log entries share messages. It returns
// how many there were.
func (v *Voter) handleQueuedEvents() (handled int) {
	for handled < maxEventBatch {
		select {
		case f := <-v.events:
			f()
			handled++
		default:
			return handled
		}
	}
	return handled
}

func (v *Voter) onTick() {
	v.core.Tick()
	v.detectLostLeadership()
	v.observeGroup()
	v.observeCommits()
	v.confirmRenewals()
	if v.leading {
		v.manageVoters()
	}
	v.decisionDue = true
}

// detectLostLeadership ends the leadership of this voter if its replicated log no longer leads. Leadership starts in
// applyEntry with the first entry of the term, because only then the state includes all commands of earlier terms.
func (v *Voter) detectLostLeadership() {
	st := v.core.Status()
	if v.leading && (st.Role != raft.Leader || st.Term != v.leadTerm) {
		v.leading = false
		v.isLeader.Store(false)
		v.failPendingProposals()
		v.kernel.Observe(v.now(), kernel.LeadershipLost{})
		v.cfg.Log.Info("stopped leading the control group", "term", v.leadTerm)
		v.cfg.Record(timeline.Event{Kind: "leader-stopped", Text: fmt.Sprintf("term %d", v.leadTerm)})
		if v.cfg.LeadershipChanged != nil {
			v.cfg.LeadershipChanged(false)
		}
	}
}

func (v *Voter) startLeading(term uint64) {
	v.leading, v.leadTerm = true, term
	v.isLeader.Store(true)
	v.rollouts.reset()
	v.lastRenewals = map[string]lastRenewal{}
	v.limitRecordedAt = map[string]time.Duration{}
	v.proposedVoters = nil
	v.missingSince = map[string]time.Duration{}
	v.kernel.BecomeLeader(v.now())
	// A leader starts with the first entry of its term, which every later leader has in its log.
	v.kernel.Observe(v.now(), kernel.LeadershipGained{Term: term, PreviousTerm: v.lastAppliedTerm})
	// An operator may still wait for a version that the previous leader accepted. Its rollout is tracked by the index of
	// this entry, which follows the version in the log, and its time counts from the change of leadership.
	if version := v.configuration.Version(); version > 0 {
		v.rollouts.add(version, v.kernel.Applied(), v.now(), v.members.LiveIDs())
	}
	v.decisionDue = true
	v.cfg.Log.Info("started leading the control group", "term", term)
	v.cfg.Record(timeline.Event{Kind: "leader-started", Text: fmt.Sprintf("term %d", term)})
	if v.cfg.LeadershipChanged != nil {
		v.cfg.LeadershipChanged(true)
	}
}

func (v *Voter) decide() {
	v.decisionDue = false
	if !v.leading {
		return
	}
	v.publishVoters(v.core.Status().Members)
	d := v.kernel.Decide(v.now())
	for _, c := range d.Commands {
		if _, err := v.appendCommand(c); err != nil {
			v.cfg.Log.V(1).Info("cannot propose a command that the kernel decided", "plugin", c.Plugin, "reason", err.Error())
		}
	}
	if len(d.Actions) > 0 && v.cfg.RunActions != nil {
		v.cfg.RunActions(d.Actions)
	}
}

// processReady sends, applies and answers all output of the replicated log, and hands over to the disk what is to be saved.
func (v *Voter) processReady() error {
	for {
		rd, ok := v.core.Ready()
		v.recordRounds()
		if !ok {
			return nil
		}
		v.term.Store(v.core.Term())
		if rd.Snapshot != nil {
			if err := v.installSnapshot(rd.Snapshot); err != nil {
				return err
			}
		}
		v.sendMessages(rd.Messages)
		switch {
		case rd.Save == nil:
		case rd.Save.IsEmpty():
			v.finishSave(rd.Save)
		default:
			v.saver.jobs <- diskJob{save: rd.Save}
		}
		for _, e := range rd.CommittedEntries {
			if err := v.applyEntry(e); err != nil {
				return err
			}
		}
		v.answerReads(rd.Reads)
		v.core.Advance(rd)
		v.detectLostLeadership()
		if err := v.maybeSnapshot(); err != nil {
			return err
		}
	}
}

// finishJob handles the result of the disk.
func (v *Voter) finishJob(r diskResult) error {
	if r.err != nil {
		return r.err
	}
	if r.snapshot != nil {
		v.observeSave(r.took, "snapshot", 0)
		return v.finishSnapshot(r.snapshot)
	}
	v.lastSaveTook = r.took
	v.observeSave(r.took, "log", len(r.save.Entries))
	v.finishSave(r.save)
	return nil
}

func (v *Voter) finishSave(s *raft.Save) {
	v.core.Saved(s)
	v.sendMessages(s.Messages)
}

func (v *Voter) sendMessages(messages []*raftpb.Message) {
	if len(messages) == 0 {
		return
	}
	addresses := map[string]string{}
	for _, m := range v.core.Status().Members {
		addresses[m.Member.Id] = m.Member.Address
	}
	for _, m := range messages {
		m.Address = v.cfg.PeerAddress
		v.sender.send(m, addresses[m.To])
	}
}

func (v *Voter) applyEntry(e *raftpb.Entry) error {
	v.loggedBytes += len(e.Data)
	update := &controlpb.Update{Index: e.Index}
	var result kernel.Result
	if e.Type == raftpb.EntryType_ENTRY_TYPE_COMMAND {
		c, err := decodeCommand(e.Data)
		if err != nil {
			return errorx.Decorate(err, "entry %d", e.Index)
		}
		version := v.configuration.Version()
		result = v.kernel.Apply(e.Index, c)
		sections, ship, err := v.kernel.Changes(c.Plugin)
		if err != nil {
			return err
		}
		update.Changes = sections
		if ship {
			update.Command = encodeCommand(c, time.Unix(0, int64(c.At)))
		}
		if next := v.configuration.Version(); next != version {
			v.recordVersion(next, e.Index)
		}
		if v.leading && result.Err == nil {
			v.recordCommand(c)
		}
		v.decisionDue = true
	} else {
		v.kernel.Skip(e.Index)
		if e.Type == raftpb.EntryType_ENTRY_TYPE_MEMBER_CHANGE {
			v.logMembership()
		}
		if e.Type == raftpb.EntryType_ENTRY_TYPE_EMPTY {
			if st := v.core.Status(); st.Role == raft.Leader && st.Term == e.Term && !v.leading {
				v.startLeading(e.Term)
			}
		}
	}
	v.lastAppliedTerm = e.Term
	v.feed.add(update)
	v.proposals.finish(e.Index, e.Term, result)
	return nil
}

func (v *Voter) recordVersion(version, index uint64) {
	if v.leading {
		v.cfg.Record(timeline.Event{Kind: "configuration-accepted", Version: version})
		v.rollouts.add(version, index, v.now(), v.members.LiveIDs())
	}
}

// answerReads calls the callbacks of reads that failed, and of confirmed reads whose index is applied.
func (v *Voter) answerReads(reads []raft.ReadResult) {
	reads = append(v.unappliedReads, reads...)
	v.unappliedReads = nil
	for _, r := range reads {
		if !r.Failed && r.Index > v.kernel.Applied() {
			v.unappliedReads = append(v.unappliedReads, r)
			continue
		}
		if f, ok := v.readCallbacks[r.ID]; ok {
			delete(v.readCallbacks, r.ID)
			f(r)
		}
	}
}

// quorumRead calls f after a quorum confirmed the leadership of this voter in a round that began after the call. If the
// voter is not or no longer the leader, f gets a read with Failed set.
func (v *Voter) quorumRead(f func(raft.ReadResult)) {
	v.lastReadID++
	id := v.lastReadID
	v.readCallbacks[id] = f
	if err := v.core.ReadIndex(id); err != nil {
		delete(v.readCallbacks, id)
		f(raft.ReadResult{Failed: true})
	}
}

// confirmRenewals starts one quorum read for all renewals that arrived since the last tick.
func (v *Voter) confirmRenewals() {
	waiting := v.waitingRenewals
	if len(waiting) == 0 {
		return
	}
	v.waitingRenewals = nil
	v.quorumRead(func(r raft.ReadResult) {
		for _, f := range waiting {
			f(r)
		}
	})
}

// post sends f to the control loop. It fails if ctx ends first or the loop has stopped.
func (v *Voter) post(ctx context.Context, f func()) error {
	select {
	case v.events <- f:
		return nil
	case <-v.done:
		return peer.ErrUnreachable.New("the voter has stopped")
	case <-ctx.Done():
		return peer.ErrUnreachable.Wrap(ctx.Err(), "the control loop is busy")
	}
}
