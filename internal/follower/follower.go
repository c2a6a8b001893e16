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
	// renewInterval gives a lost renewal several further tries within a lease.
	renewInterval = 500 * time.Millisecond
	// earlyRenewal bounds how often demand above the allocations triggers a renewal before its time.
	earlyRenewal = 50 * time.Millisecond
	// retryPause is the time before a lost view stream is opened again.
	retryPause = 100 * time.Millisecond
	// joinTimeout bounds one try to become a member.
	joinTimeout = 3 * time.Second
)

// Config holds the settings of a follower.
type Config struct {
	Name             string
	PeerAddress      string
	AvailabilityZone string
	Client           *Client
	OpenStream       func(ctx context.Context, address, kind string) (*peer.Stream, error)
	// RecordEvent adds an event to the time line; it may be nil.
	RecordEvent func(e timeline.Event)
	// Violation is called with each violated invariant; it may be nil.
	Violation func(plugin string, err error)
	Log       logr.Logger
}

// Follower keeps the view of one process fresh.
type Follower struct {
	cfg     Config
	start   time.Time
	holder  *quota.Holder
	view    atomic.Pointer[view.View]
	members atomic.Pointer[[]*memberpb.Member]
	voters  atomic.Pointer[[]*claimpb.Membership]
	// leaseUntil is when the configuration lease ends, in nanoseconds after start; 0 means never leased.
	leaseUntil atomic.Int64
	leaving    atomic.Bool
	applied    atomic.Uint64
	current    atomic.Pointer[string]
	wake       chan struct{}

	// State of the follower's goroutine.
	kernel *kernel.Kernel
	// floor is the highest index ever applied; a state that is older is never acted on.
	floor   uint64
	id      string
	pending []grant
	shown   shown
	full    bool
	term    uint64 // of the leader that got the last full report
}

// shown identifies the state that a view was built from; a change of the configuration counts as one of the pools.
type shown struct{ pools, keys uint64 }

// grant is an answered renewal that counts once its index is applied.
type grant struct {
	index uint64
	until time.Duration
}

// New builds a follower; Run keeps it fresh.
func New(cfg Config) (*Follower, error) {
	if cfg.RecordEvent == nil {
		cfg.RecordEvent = func(timeline.Event) {}
	}
	f := &Follower{cfg: cfg, start: time.Now(), wake: make(chan struct{}, 1)}
	f.holder = quota.NewHolder(quota.HolderConfig{HasLease: f.HasLease, Now: f.now, RequestReport: f.renewSoon})
	if err := f.resetKernel(); err != nil {
		return nil, err
	}
	return f, nil
}

// QuotaHolder returns the allocations of this process.
func (f *Follower) QuotaHolder() *quota.Holder { return f.holder }

// HasLease reports whether the view is surely fresh enough to act on.
func (f *Follower) HasLease() bool {
	return !f.leaving.Load() && f.now() < time.Duration(f.leaseUntil.Load())
}

// View returns the newest view; it fails with view.ErrNoLease when that may be outdated.
func (f *Follower) View() (*view.View, error) {
	// The lease is checked first: what is loaded afterwards is at least as new as what the lease was valid for. The other
	// way round, a goroutine that paused in between could pair an outdated view with a lease that was renewed since.
	if !f.HasLease() {
		return nil, view.ErrNoLease.New("no fresh view of the control state")
	}
	return f.view.Load(), nil
}

// LatestView returns the newest view even when it may be outdated, nil before the first.
func (f *Follower) LatestView() *view.View { return f.view.Load() }

// AppliedIndex returns the log index of the newest state.
func (f *Follower) AppliedIndex() uint64 { return f.applied.Load() }

// Members returns the processes of the newest view.
func (f *Follower) Members() []*memberpb.Member {
	if list := f.members.Load(); list != nil {
		return *list
	}
	return nil
}

// ClaimMemberships returns the memberships of the at-most-once record in the newest view, oldest first.
func (f *Follower) ClaimMemberships() []*claimpb.Membership {
	if list := f.voters.Load(); list != nil {
		return *list
	}
	return nil
}

func (f *Follower) now() time.Duration { return time.Since(f.start) }

func (f *Follower) renewSoon() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// resetKernel starts over from an empty state, whose next view is built anew.
func (f *Follower) resetKernel() error {
	f.shown = shown{}
	k, err := kernel.New(kernel.Config{ViewOnly: true, OnViolation: f.cfg.Violation, Log: f.cfg.Log})
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
			f.cfg.Log.V(1).Info("can't join the control group yet", "reason", err.Error())
			pause(ctx, retryPause)
			continue
		}
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Log.Info("lost membership; joining again", "reason", err.Error())
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// join becomes a new member, because whatever an earlier one held is charged until it has surely ended.
func (f *Follower) join(ctx context.Context) error {
	incarnation, err := uuid.NewRandom()
	if err != nil {
		return errorx.Decorate(err, "draw incarnation")
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
	f.id, f.full, f.pending = id, true, nil
	f.current.Store(&id)
	f.holder.Reset(id)
	f.cfg.Log.Info("joined", "member", id)
	f.cfg.RecordEvent(timeline.Event{Kind: "joined", Text: id})
	return nil
}

// Leave ends the membership at once; the process must have ended all its work. Until it returns, Run must go on.
func (f *Follower) Leave(ctx context.Context) error {
	f.leaseUntil.Store(0)
	f.leaving.Store(true)
	id := f.current.Load()
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

type renewal struct {
	sent time.Duration
	resp *controlpb.RenewResponse
	err  error
}

// follow applies the view stream and renews the lease until the membership is lost.
func (f *Follower) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames := make(chan *controlpb.FollowFrame, 16)
	restart := make(chan uint64, 1)
	go f.stream(ctx, frames, restart, f.kernel.Applied())
	renewals := make(chan renewal, 1)
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
				go f.renew(ctx, f.request(), renewals)
			}
			timer.Reset(renewInterval)
		case <-f.wake:
			if wait := lastRenewal + earlyRenewal - f.now(); !renewing {
				timer.Reset(max(wait, 0))
			} else {
				timer.Reset(max(wait, earlyRenewal))
			}
		case r := <-renewals:
			renewing = false
			if err := f.renewed(r); err != nil {
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
				restart <- 0
			}
		}
	}
}

func (f *Follower) request() *controlpb.RenewRequest {
	demands, returned := f.holder.Report(f.full)
	f.full = false
	req := &controlpb.RenewRequest{Id: f.id, Applied: f.kernel.Applied(), Demands: demands, Returned: returned}
	if v := f.view.Load(); v != nil {
		req.Version = v.Version()
	}
	return req
}

func (f *Follower) renew(ctx context.Context, req *controlpb.RenewRequest, out chan<- renewal) {
	r := renewal{sent: f.now(), resp: &controlpb.RenewResponse{}}
	tctx, cancel := context.WithTimeout(ctx, member.LeaseDuration)
	defer cancel()
	// Each try counts from the send time of the first one, which is the earliest.
	r.err = f.cfg.Client.call(tctx, control.RenewKind, req, r.resp, false)
	select {
	case out <- r:
	case <-ctx.Done():
	}
}

func (f *Follower) renewed(r renewal) error {
	if r.err != nil {
		f.full = true
		f.cfg.Log.V(1).Info("configuration lease was not renewed", "reason", r.err.Error())
		return nil
	}
	if r.resp.Rejoin {
		f.leaseUntil.Store(0)
		return errorx.IllegalState.New("the control group counts %s as expired", f.id)
	}
	if r.resp.Term != f.term {
		// A new leader knows no demands, and neither does one that lost its leadership and regained it.
		f.term, f.full = r.resp.Term, true
	}
	f.cfg.Client.learn(r.resp.Voters)
	f.holder.SetRecalls(r.resp.Recalls)
	f.pending = append(f.pending, grant{index: r.resp.Commit, until: r.sent + member.LeaseDuration})
	f.extendLease()
	return nil
}

// extendLease takes the answered renewals whose index is applied.
func (f *Follower) extendLease() {
	applied := f.kernel.Applied()
	f.floor = max(f.floor, applied)
	f.applied.Store(applied)
	rest := f.pending[:0]
	for _, g := range f.pending {
		switch {
		case g.index <= applied:
			if int64(g.until) > f.leaseUntil.Load() {
				f.leaseUntil.Store(int64(g.until))
			}
		case g.until > f.now():
			rest = append(rest, g)
		}
	}
	f.pending = rest
}

// stream receives view frames; a number on restart opens a new stream after that index.
func (f *Follower) stream(ctx context.Context, frames chan<- *controlpb.FollowFrame, restart <-chan uint64, at uint64) {
	for ctx.Err() == nil {
		next, err := f.receive(ctx, frames, restart, at)
		if err != nil {
			f.cfg.Log.V(1).Info("view stream ended", "reason", err.Error())
		}
		at = next
		pause(ctx, retryPause)
	}
}

func (f *Follower) receive(
	ctx context.Context, frames chan<- *controlpb.FollowFrame, restart <-chan uint64, at uint64,
) (uint64, error) {
	leader := f.cfg.Client.Leader()
	if leader == "" {
		return at, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := f.cfg.OpenStream(ctx, leader, control.FollowKind)
	if err != nil {
		return at, err
	}
	defer func() { _ = s.Close() }() // it is given up
	if err := s.Send(&controlpb.FollowRequest{Applied: at, Group: f.cfg.Client.Group()}); err != nil {
		return at, err
	}
	go f.watchLeader(ctx, cancel, leader)
	for {
		m := &controlpb.FollowFrame{}
		if err := s.Receive(m); err != nil {
			return at, err
		}
		if m.Redirect != nil {
			return at, nil
		}
		select {
		case frames <- m:
		case at = <-restart:
			return at, nil
		case <-ctx.Done():
			return at, ctx.Err()
		}
		if m.Update != nil {
			at = m.Update.Index
		}
	}
}

// watchLeader ends a stream when another voter leads, because a voter that was cut off sends nothing new.
func (f *Follower) watchLeader(ctx context.Context, cancel context.CancelFunc, leader string) {
	ticker := time.NewTicker(retryPause)
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

// applyFrame applies one frame and returns the part of a snapshot that was received so far.
func (f *Follower) applyFrame(m *controlpb.FollowFrame, snapshot []byte) ([]byte, error) {
	if m.Update == nil {
		snapshot = append(snapshot, m.Chunk...)
		if uint64(len(snapshot)) < m.Size {
			return snapshot, nil
		}
		if err := f.kernel.Restore(snapshot); err != nil {
			return nil, err
		}
		if f.kernel.Applied() < f.floor {
			return nil, errorx.IllegalState.New("snapshot at %d is older than the state at %d", f.kernel.Applied(), f.floor)
		}
		f.publish()
		return nil, nil
	}
	u := m.Update
	if u.Index <= f.kernel.Applied() {
		return nil, nil
	}
	if u.Index != f.kernel.Applied()+1 {
		return nil, errorx.IllegalState.New("update %d follows %d", u.Index, f.kernel.Applied())
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
		f.publish()
	} else {
		f.extendLease()
	}
	return nil, nil
}

// publish makes the state visible to the goroutines that serve traffic.
func (f *Follower) publish() {
	cfg, _ := kernel.Lookup[*configuration.State](f.kernel, configuration.Name)
	keys, _ := kernel.Lookup[*key.State](f.kernel, key.Name)
	members, _ := kernel.Lookup[*member.State](f.kernel, member.Name)
	quotas, _ := kernel.Lookup[*quota.State](f.kernel, quota.Name)
	pools, _ := kernel.Lookup[*pool.State](f.kernel, pool.Name)
	voters, _ := kernel.Lookup[*voter.State](f.kernel, voter.Name)
	before := f.view.Load()
	// Most updates change quotas only; building the maps of a view again would cost most of the time of an update.
	if now := (shown{pools.Revision(), keys.Revision()}); before == nil || now != f.shown {
		f.shown = now
		f.view.Store(view.New(view.Config{
			Version: cfg.Version(), Configuration: cfg.Current(), Keys: keys.Active(), PoolOf: pools.PoolOf,
		}))
	}
	chain := voters.Memberships()
	f.voters.Store(&chain)
	list := members.Members()
	f.members.Store(&list)
	f.holder.Update(quotas)
	f.extendLease()
	if before == nil || before.Version() != cfg.Version() {
		f.cfg.RecordEvent(timeline.Event{Kind: "configuration-applied", Version: cfg.Version()})
		// The leader learns at once that this process has applied the version.
		f.renewSoon()
	}
}
