package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/control"
	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/key"
	"github.com/hibiscusroute/hibiscusroute/internal/member"
	"github.com/hibiscusroute/hibiscusroute/internal/member/memberpb"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/internal/voter"
)

const (
	// renewInterval allows several retries of a lost renewal within the duration of a lease.
	renewInterval = 500 * time.Millisecond
	// minRenewInterval limits how often demand above the allocations triggers an early renewal.
	minRenewInterval = 50 * time.Millisecond
	// retryDelay is the time after which a failed join or a lost view stream is retried.
	retryDelay = 100 * time.Millisecond
	// joinTimeout limits one attempt to become a member.
	joinTimeout = 3 * time.Second
)

// Config holds the settings of a follower.
type Config struct {
	Name             string
	PeerAddress      string
	AvailabilityZone string
	Client           *Client
	// OpenStream opens a stream to a peer.
	OpenStream func(ctx context.Context, address, kind string) (*peer.Stream, error)
	// RecordEvent adds an event to the time line; it may be nil.
	RecordEvent func(e timeline.Event)
	// OnViolation is called with each invariant violation; it may be nil.
	OnViolation func(plugin string, err error)
	Log         logr.Logger
}

// Follower keeps the view of one process up to date.
type Follower struct {
	cfg              Config
	startTime        time.Time
	holder           *quota.Holder
	latestView       atomic.Pointer[view.View]
	latestMembers    atomic.Pointer[[]*memberpb.Member]
	claimMemberships atomic.Pointer[[]*claimpb.Membership]
	// leaseUntil is when the configuration lease expires, in nanoseconds after startTime; 0 means that there was none.
	leaseUntil     atomic.Int64
	leaving        atomic.Bool
	appliedIndex   atomic.Uint64
	sharedMemberID atomic.Pointer[string] // memberID for other goroutines
	renewSignal    chan struct{}

	// The remaining fields belong to the goroutine of Run.
	kernel *kernel.Kernel
	// maxAppliedIndex is the highest index that was ever applied. An older snapshot is rejected.
	maxAppliedIndex    uint64
	memberID           string
	pendingGrants      []leaseGrant
	publishedRevisions viewRevisions
	fullReport         bool   // whether the next renewal reports all demands
	leaderTerm         uint64 // term of the leader at the last renewal
}

// viewRevisions identifies the state from which a view was built. A change of the configuration increments the revision
// of the pools, too.
type viewRevisions struct{ pools, keys uint64 }

// leaseGrant is a granted renewal, which takes effect when its index is applied.
type leaseGrant struct {
	index uint64
	until time.Duration
}

// New builds a follower. Run keeps it up to date.
func New(cfg Config) (*Follower, error) {
	if cfg.RecordEvent == nil {
		cfg.RecordEvent = func(timeline.Event) {}
	}
	f := &Follower{cfg: cfg, startTime: time.Now(), renewSignal: make(chan struct{}, 1)}
	f.holder = quota.NewHolder(quota.HolderConfig{HasLease: f.HasLease, Now: f.now, RequestReport: f.requestRenewal})
	if err := f.resetKernel(); err != nil {
		return nil, err
	}
	return f, nil
}

// QuotaHolder returns the holder of the quota allocations of this process.
func (f *Follower) QuotaHolder() *quota.Holder { return f.holder }

// HasLease reports whether the lease guarantees that the view is current enough to act on.
func (f *Follower) HasLease() bool {
	return !f.leaving.Load() && f.now() < time.Duration(f.leaseUntil.Load())
}

// View returns the newest view. It fails with view.ErrNoLease if the view may be outdated.
func (f *Follower) View() (*view.View, error) {
	// Check the lease before the view is loaded, so that the view is at least as new as the one to which the lease
	// applied. In the reverse order, a goroutine that is suspended in between could use an outdated view with a lease that
	// was renewed since.
	if !f.HasLease() {
		return nil, view.ErrNoLease.New("no fresh view of the control state")
	}
	return f.latestView.Load(), nil
}

// LatestView returns the newest view even if it may be outdated, or nil before the first one.
func (f *Follower) LatestView() *view.View { return f.latestView.Load() }

// AppliedIndex returns the log index of the newest state.
func (f *Follower) AppliedIndex() uint64 { return f.appliedIndex.Load() }

// Members returns the processes of the newest view.
func (f *Follower) Members() []*memberpb.Member {
	if list := f.latestMembers.Load(); list != nil {
		return *list
	}
	return nil
}

// ClaimMemberships returns the memberships of the voters that record claims in the newest view, oldest first.
func (f *Follower) ClaimMemberships() []*claimpb.Membership {
	if list := f.claimMemberships.Load(); list != nil {
		return *list
	}
	return nil
}

func (f *Follower) now() time.Duration { return time.Since(f.startTime) }

// requestRenewal triggers an early renewal of the lease.
func (f *Follower) requestRenewal() {
	select {
	case f.renewSignal <- struct{}{}:
	default:
	}
}

// resetKernel replaces the state by an empty one. The next update rebuilds the view.
func (f *Follower) resetKernel() error {
	f.publishedRevisions = viewRevisions{}
	k, err := kernel.New(kernel.Config{ViewOnly: true, OnViolation: f.cfg.OnViolation, Log: f.cfg.Log})
	if err != nil {
		return err
	}
	f.kernel = k
	return nil
}

// Run follows the control group until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil && !f.leaving.Load() {
		if err := f.join(ctx); err != nil {
			f.cfg.Log.V(1).Info("cannot join the control group; retrying", "reason", err.Error())
			sleep(ctx, retryDelay)
			continue
		}
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Log.Info("lost membership; joining again", "reason", err.Error())
		}
	}
	return nil
}

// sleep waits for the given time or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// join joins as a new member. The allocations of an earlier member stay charged until it has certainly ended.
func (f *Follower) join(ctx context.Context) error {
	incarnation, err := uuid.NewRandom()
	if err != nil {
		return errorx.Decorate(err, "generate incarnation")
	}
	id := member.ID(f.cfg.Name, incarnation.String()[:8])
	cmd, err := member.JoinCommand(&memberpb.Member{
		Id: id, Name: f.cfg.Name, PeerAddress: f.cfg.PeerAddress, AvailabilityZone: f.cfg.AvailabilityZone,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	r, err := f.cfg.Client.Propose(ctx, cmd)
	if err != nil {
		return err
	}
	if r.Err != nil {
		return r.Err
	}
	f.memberID, f.fullReport, f.pendingGrants = id, true, nil
	f.sharedMemberID.Store(&id)
	f.holder.Reset(id)
	f.cfg.Log.Info("joined", "member", id)
	f.cfg.RecordEvent(timeline.Event{Kind: "joined", Text: id})
	return nil
}

// Leave ends the membership immediately. The work of the process must have ended, and Run must continue until Leave
// returns.
func (f *Follower) Leave(ctx context.Context) error {
	f.leaseUntil.Store(0)
	f.leaving.Store(true)
	id := f.sharedMemberID.Load()
	if id == nil {
		return nil
	}
	cmd, err := member.RemoveCommand(*id)
	if err != nil {
		return err
	}
	r, err := f.cfg.Client.Propose(ctx, cmd)
	if err != nil {
		return err
	}
	return r.Err
}

// renewalResult is the outcome of a request to renew the lease.
type renewalResult struct {
	sentAt time.Duration
	resp   *controlpb.RenewResponse
	err    error
}

// follow applies the view stream and renews the lease until ctx is done or the membership is lost.
func (f *Follower) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames := make(chan *controlpb.FollowFrame, 16)
	restartIndex := make(chan uint64, 1)
	go f.runStreams(ctx, frames, restartIndex, f.kernel.Applied())
	renewals := make(chan renewalResult, 1)
	renewing := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastRenewal time.Duration
	var snapshot []byte
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			if !renewing {
				renewing, lastRenewal = true, f.now()
				go f.sendRenewal(ctx, f.buildRenewRequest(), renewals)
			}
			timer.Reset(renewInterval)
		case <-f.renewSignal:
			if wait := lastRenewal + minRenewInterval - f.now(); !renewing {
				timer.Reset(max(wait, 0))
			} else {
				timer.Reset(max(wait, minRenewInterval))
			}
		case r := <-renewals:
			renewing = false
			if err := f.handleRenewal(r); err != nil {
				return err
			}
		case m := <-frames:
			var err error
			if snapshot, err = f.applyFrame(m, snapshot); err != nil {
				f.cfg.Log.Error(err, "view stream does not fit the state; starting from a snapshot")
				if err := f.resetKernel(); err != nil {
					return err
				}
				snapshot = nil
				restartIndex <- 0
			}
		}
	}
}

// buildRenewRequest returns the next renewal, with all demands if a full report is due.
func (f *Follower) buildRenewRequest() *controlpb.RenewRequest {
	demands, returned := f.holder.Report(f.fullReport)
	f.fullReport = false
	req := &controlpb.RenewRequest{Id: f.memberID, Applied: f.kernel.Applied(), Demands: demands, Returned: returned}
	if v := f.latestView.Load(); v != nil {
		req.Version = v.Version()
	}
	return req
}

func (f *Follower) sendRenewal(ctx context.Context, req *controlpb.RenewRequest, out chan<- renewalResult) {
	r := renewalResult{sentAt: f.now(), resp: &controlpb.RenewResponse{}}
	callCtx, cancel := context.WithTimeout(ctx, member.LeaseDuration)
	defer cancel()
	// sentAt is the time of the first attempt, also when a later one is answered, so the lease never ends too late.
	r.err = f.cfg.Client.call(callCtx, control.RenewKind, req, r.resp, false)
	select {
	case out <- r:
	case <-ctx.Done():
	}
}

func (f *Follower) handleRenewal(r renewalResult) error {
	if r.err != nil {
		f.fullReport = true
		f.cfg.Log.V(1).Info("configuration lease was not renewed", "reason", r.err.Error())
		return nil
	}
	if r.resp.Rejoin {
		f.leaseUntil.Store(0)
		return errorx.IllegalState.New("membership of %s has expired", f.memberID)
	}
	if r.resp.Term != f.leaderTerm {
		// A new leader, or one that lost its leadership and regained it, doesn't know the demands.
		f.leaderTerm, f.fullReport = r.resp.Term, true
	}
	f.cfg.Client.updateVoters(r.resp.Voters)
	f.holder.SetRecalls(r.resp.Recalls)
	f.pendingGrants = append(f.pendingGrants, leaseGrant{index: r.resp.Commit, until: r.sentAt + member.LeaseDuration})
	f.extendLease()
	return nil
}

// extendLease extends the lease by the granted renewals whose index is applied.
func (f *Follower) extendLease() {
	applied := f.kernel.Applied()
	f.maxAppliedIndex = max(f.maxAppliedIndex, applied)
	f.appliedIndex.Store(applied)
	pending := f.pendingGrants[:0]
	for _, g := range f.pendingGrants {
		switch {
		case g.index <= applied:
			if int64(g.until) > f.leaseUntil.Load() {
				f.leaseUntil.Store(int64(g.until))
			}
		case g.until > f.now():
			pending = append(pending, g)
		}
	}
	f.pendingGrants = pending
}

// runStreams opens view streams that start after index, one after the other, and passes on their frames. A value on
// restartIndex opens a new stream that starts after that index.
func (f *Follower) runStreams(
	ctx context.Context, frames chan<- *controlpb.FollowFrame, restartIndex <-chan uint64, index uint64,
) {
	for ctx.Err() == nil {
		next, err := f.receiveFrames(ctx, frames, restartIndex, index)
		if err != nil {
			f.cfg.Log.V(1).Info("view stream ended", "reason", err.Error())
		}
		index = next
		sleep(ctx, retryDelay)
	}
}

// receiveFrames follows one view stream and returns the index after which the next one starts.
func (f *Follower) receiveFrames(
	ctx context.Context, frames chan<- *controlpb.FollowFrame, restartIndex <-chan uint64, index uint64,
) (uint64, error) {
	leader := f.cfg.Client.Leader()
	if leader == "" {
		return index, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := f.cfg.OpenStream(ctx, leader, control.FollowKind)
	if err != nil {
		return index, err
	}
	defer func() { _ = s.Close() }() // the stream is not used again
	if err := s.Send(&controlpb.FollowRequest{Applied: index, Group: f.cfg.Client.Group()}); err != nil {
		return index, err
	}
	go f.watchLeader(ctx, cancel, leader)
	for {
		m := &controlpb.FollowFrame{}
		if err := s.Receive(m); err != nil {
			return index, err
		}
		if m.Redirect != nil {
			return index, nil
		}
		select {
		case frames <- m:
		case index = <-restartIndex:
			return index, nil
		case <-ctx.Done():
			return index, ctx.Err()
		}
		if m.Update != nil {
			index = m.Update.Index
		}
	}
}

// watchLeader cancels a stream when another voter becomes the leader, because an unreachable former leader sends no
// updates.
func (f *Follower) watchLeader(ctx context.Context, cancel context.CancelFunc, leader string) {
	ticker := time.NewTicker(retryDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if l := f.cfg.Client.Leader(); l != "" && l != leader {
				cancel()
				return
			}
		}
	}
}

// applyFrame applies a frame of the view stream and returns the part of a snapshot that has been received so far.
func (f *Follower) applyFrame(m *controlpb.FollowFrame, snapshot []byte) ([]byte, error) {
	if m.Update == nil {
		snapshot = append(snapshot, m.Chunk...)
		if uint64(len(snapshot)) < m.Size {
			return snapshot, nil
		}
		if err := f.kernel.Restore(snapshot); err != nil {
			return nil, err
		}
		if f.kernel.Applied() < f.maxAppliedIndex {
			return nil, errorx.IllegalState.New(
				"snapshot at %d is older than the state at %d", f.kernel.Applied(), f.maxAppliedIndex)
		}
		f.publishState()
		return nil, nil
	}
	u := m.Update
	if u.Index <= f.kernel.Applied() {
		return nil, nil
	}
	if u.Index != f.kernel.Applied()+1 {
		return nil, errorx.IllegalState.New("update %d does not follow index %d", u.Index, f.kernel.Applied())
	}
	if u.Command != nil {
		f.kernel.Apply(u.Index, control.CommandFromProto(u.Command))
	} else {
		f.kernel.Skip(u.Index)
	}
	if err := f.kernel.Merge(u.Changes); err != nil {
		return nil, err
	}
	if u.Command != nil || len(u.Changes) > 0 {
		f.publishState()
	} else {
		f.extendLease()
	}
	return nil, nil
}

// publishState makes the state available to the goroutines that serve traffic.
func (f *Follower) publishState() {
	cfg, _ := kernel.Lookup[*configuration.State](f.kernel, configuration.Name)
	keys, _ := kernel.Lookup[*key.State](f.kernel, key.Name)
	members, _ := kernel.Lookup[*member.State](f.kernel, member.Name)
	quotas, _ := kernel.Lookup[*quota.State](f.kernel, quota.Name)
	pools, _ := kernel.Lookup[*pool.State](f.kernel, pool.Name)
	voters, _ := kernel.Lookup[*voter.State](f.kernel, voter.Name)
	previous := f.latestView.Load()
	// Most updates change only quotas, and rebuilding the maps of the view would take most of the time of an update.
	if revisions := (viewRevisions{pools.Revision(), keys.Revision()}); previous == nil ||
		revisions != f.publishedRevisions {
		f.publishedRevisions = revisions
		f.latestView.Store(view.New(view.Config{
			Version: cfg.Version(), Configuration: cfg.Current(), Keys: keys.Active(), PoolOf: pools.PoolOf,
		}))
	}
	memberships := voters.Memberships()
	f.claimMemberships.Store(&memberships)
	list := members.Members()
	f.latestMembers.Store(&list)
	f.holder.Update(quotas)
	f.extendLease()
	if previous == nil || previous.Version() != cfg.Version() {
		f.cfg.RecordEvent(timeline.Event{Kind: "configuration-applied", Version: cfg.Version()})
		// Tell the leader immediately that this process has applied the version.
		f.requestRenewal()
	}
}
