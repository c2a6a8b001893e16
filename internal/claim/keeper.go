package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
)

// Kinds of calls between processes.
const (
	KindClaim   = "claim"
	KindRelease = "claim-release"
	KindCopy    = "claim-copy"
)

const (
	// DefaultRetention is how long a claim is kept, counted from the time in its ID.
	DefaultRetention = time.Hour
	// MaxClockSkew is how far the time in an ID may be ahead of a voter's clock.
	MaxClockSkew = time.Minute
	// minFloorStep is the smallest step of the floor; it limits how often the floor is written.
	minFloorStep = time.Second
	// maxFloorRate is the highest speed of the floor relative to elapsed time. Without this limit, a clock that jumps
	// ahead would raise the floor permanently, and a transfer would pass that floor on to the new voter.
	maxFloorRate = 2
	// maxSegmentAge is the time until a segment is closed. It gives 30 segments at the default retention, and claims are
	// kept up to this time longer than needed.
	maxSegmentAge = 2 * time.Minute
	// maxGroupSize bounds the operations in one group commit and, together with maxTeamSize, the size of its record.
	maxGroupSize = 1024
	// earlyReleaseTTL is how long a release that arrived before its claim is remembered.
	earlyReleaseTTL = time.Minute
	// maxEarlyReleases bounds the remembered releases. A forgotten one can only block a request ID on one voter.
	maxEarlyReleases = 4096
)

// ErrUnusable is the type of errors of a keeper that stopped after a failed write or sync, or was closed.
var ErrUnusable = errorx.IllegalState.NewSubtype("claim-keeper-unusable")

// Config describes a Keeper.
type Config struct {
	// Directory is the directory of the journal, which contains nothing else.
	Directory string
	// Identity is the identity of this voter, which was generated when its data directory was created.
	Identity string
	// AllowNewJournal lets the keeper create a missing journal. It may be set only while the process has never been in a
	// membership; a journal that is missing later means that the disk was lost.
	AllowNewJournal bool
	// Retention is how long claims are kept; 0 means DefaultRetention.
	Retention time.Duration
	// Now returns the wall-clock time.
	Now func() time.Time
	// Elapsed returns the time of a monotonic clock with any origin.
	Elapsed func() time.Duration
	Log     logr.Logger

	open func(path string) (storage, error) // openDirectory unless a test replaces it
}

// Stats are figures about a keeper.
type Stats struct {
	// Claims is the number of request IDs in memory.
	Claims int
	// DiskBytes is the size of the journal.
	DiskBytes int64
	// Floor is the lowest time in an ID that is accepted.
	Floor time.Time
	// Epoch is the newest promised epoch, and Serving reports whether the keeper accepts claims of it.
	Epoch   uint64
	Serving bool
	// Syncs is the number of group commits that were written.
	Syncs uint64
}

// Keeper records claims on one voter. It is safe for concurrent use.
type Keeper struct {
	cfg Config
	log logr.Logger
	ops chan *operation
	// quit is closed by Close, and done is closed when commitLoop has returned.
	quit, done chan struct{}
	closeOnce  sync.Once

	journal *journal // used only by the goroutine of commitLoop after Open

	mu             sync.Mutex // guards the fields below; not held during writes and syncs
	claims         *table
	state          *claimpb.State
	earlyReleases  map[claimKey]earlyRelease
	failure        error
	syncs          uint64
	journalSize    int64         // size of the journal
	floorCheckedAt time.Duration // Elapsed at the last check of the floor
	rotatedAt      time.Duration // Elapsed at the last rotation
}

// earlyRelease is a release that arrived before its claim.
type earlyRelease struct {
	token     claimToken
	expiresAt time.Duration
}

// operation is a change that runs in a group commit. Its run function adds what must be written to the commit.
type operation struct {
	run  func(c *claimpb.Commit) error
	err  error
	done chan struct{}
}

// Open replays the journal and starts the keeper.
func Open(cfg Config) (*Keeper, error) {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.open == nil {
		cfg.open = openDirectory
	}
	st, err := cfg.open(cfg.Directory)
	if err != nil {
		return nil, err
	}
	k := &Keeper{
		cfg: cfg, log: cfg.Log, ops: make(chan *operation, maxGroupSize),
		quit: make(chan struct{}), done: make(chan struct{}),
		journal: newJournal(st, cfg.Directory), claims: newTable(), earlyReleases: map[claimKey]earlyRelease{},
		floorCheckedAt: cfg.Elapsed(),
	}
	if err := k.loadJournal(); err != nil {
		if closeErr := st.close(); closeErr != nil {
			k.log.Error(closeErr, "failed to close the claim journal")
		}
		return nil, err
	}
	go k.commitLoop()
	return k, nil
}

// loadJournal replays the journal, creates the first state if there is none and starts a new segment.
func (k *Keeper) loadJournal() error {
	if err := k.journal.load(k.replayCommit); err != nil {
		return err
	}
	switch {
	case k.state == nil && !k.cfg.AllowNewJournal:
		return errorx.IllegalState.New("claim journal %s is missing", k.cfg.Directory)
	case k.state == nil:
		k.state = &claimpb.State{Identity: k.cfg.Identity, Floor: k.targetFloor()}
	case k.state.Identity != k.cfg.Identity:
		return errorx.IllegalState.New("claim journal %s belongs to voter %s, not to %s",
			k.cfg.Directory, k.state.Identity, k.cfg.Identity)
	}
	k.claims.dropBelow(k.state.Floor)
	return k.rotateJournal()
}

// replayCommit applies one record of the journal to the state in memory.
func (k *Keeper) replayCommit(c *claimpb.Commit) error {
	if c.State != nil {
		if k.state != nil && c.State.Floor < k.state.Floor {
			return errorx.IllegalState.New("floor decreases from %d to %d", k.state.Floor, c.State.Floor)
		}
		k.state = c.State
	}
	k.state.Floor = max(k.state.Floor, c.Floor)
	for _, e := range c.Entries {
		key := k.claims.key(e.Team, requestID(e.Id))
		if e.Release {
			k.claims.remove(key, claimToken(e.Token))
		} else {
			k.claims.add(key, claimToken(e.Token))
		}
	}
	return nil
}

// targetFloor returns the wall-clock time minus the retention, in milliseconds since the Unix epoch.
func (k *Keeper) targetFloor() int64 { return k.cfg.Now().Add(-k.cfg.Retention).UnixMilli() }

// submit runs an operation in the next group commit and returns after the sync. An operation sees the effects of all
// earlier ones.
func (k *Keeper) submit(ctx context.Context, run func(c *claimpb.Commit) error) error {
	op := &operation{run: run, done: make(chan struct{})}
	select {
	case k.ops <- op:
	case <-k.done:
		return k.unusableError()
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-op.done:
		return op.err
	case <-k.done:
		// The operation may have completed just before commitLoop returned.
		select {
		case <-op.done:
			return op.err
		default:
			return k.unusableError()
		}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unusableError returns an ErrUnusable that says why the keeper stopped.
func (k *Keeper) unusableError() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failure != nil {
		return ErrUnusable.New("claim keeper stopped: %v", k.failure)
	}
	return ErrUnusable.New("claim keeper is closed")
}

// commitLoop runs queued operations in groups, with one sync for each group, until the keeper is closed or fails.
func (k *Keeper) commitLoop() {
	defer close(k.done)
	defer func() {
		if err := k.journal.storage.close(); err != nil {
			k.log.Error(err, "failed to close the claim journal")
		}
	}()
	for {
		select {
		case op := <-k.ops:
			if err := k.commitGroup(k.collectGroup(op)); err != nil {
				k.mu.Lock()
				k.failure = err
				k.mu.Unlock()
				k.log.Error(err, "claim keeper stopped")
				return
			}
		case <-k.quit:
			return
		}
	}
}

// collectGroup returns the first operation with the operations that are queued behind it, at most maxGroupSize.
func (k *Keeper) collectGroup(first *operation) []*operation {
	group := []*operation{first}
	for len(group) < maxGroupSize {
		select {
		case op := <-k.ops:
			group = append(group, op)
		default:
			return group
		}
	}
	return group
}

// commitGroup applies the operations of a group and syncs their changes before it completes any of them. It returns
// only errors of the journal. After an error the state in memory may be ahead of the disk and must not be used.
func (k *Keeper) commitGroup(group []*operation) error {
	c := &claimpb.Commit{}
	k.mu.Lock()
	k.advanceFloor(c)
	for _, op := range group {
		op.err = op.run(c)
	}
	mustRotate := k.cfg.Elapsed()-k.rotatedAt >= maxSegmentAge || k.journal.activeSize >= maxSegmentSize
	k.mu.Unlock()
	if len(c.Entries) > 0 || c.Floor != 0 || c.State != nil {
		if err := k.journal.writeCommit(c); err != nil {
			return err
		}
		k.mu.Lock()
		k.syncs++
		k.journalSize = k.journal.totalSize
		k.mu.Unlock()
	}
	if mustRotate {
		if err := k.rotateJournal(); err != nil {
			return err
		}
	}
	for _, op := range group {
		close(op.done)
	}
	return nil
}

// advanceFloor moves the floor toward targetFloor, at most maxFloorRate times as fast as time passes. The floor never
// moves back.
func (k *Keeper) advanceFloor(c *claimpb.Commit) {
	target := k.targetFloor()
	if target < k.state.Floor+minFloorStep.Milliseconds() {
		return
	}
	now := k.cfg.Elapsed()
	allowed := k.state.Floor + maxFloorRate*(now-k.floorCheckedAt).Milliseconds()
	k.floorCheckedAt = now
	if floor := min(target, allowed); floor > k.state.Floor {
		k.setFloor(c, floor)
	}
}

// setFloor sets the floor and drops the buckets of claims below it.
func (k *Keeper) setFloor(c *claimpb.Commit, floor int64) {
	k.state.Floor, c.Floor = floor, floor
	k.claims.dropBelow(floor)
}

// rotateJournal starts a new segment of the journal with the current state.
func (k *Keeper) rotateJournal() error {
	k.mu.Lock()
	s := proto.CloneOf(k.state)
	k.mu.Unlock()
	if err := k.journal.rotate(s); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.journalSize, k.rotatedAt = k.journal.totalSize, k.cfg.Elapsed()
	return nil
}

// Claim records a claim unless another claim holds the request ID, and returns all holders after they are synced.
func (k *Keeper) Claim(ctx context.Context, req *claimpb.ClaimRequest) (*claimpb.ClaimResponse, error) {
	id, token, err := decodeClaim(req.Team, req.Id, req.Token)
	if err != nil {
		return nil, err
	}
	resp := &claimpb.ClaimResponse{}
	err = k.submit(ctx, func(c *claimpb.Commit) error {
		k.recordClaim(c, resp, req, id, token)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// recordClaim decides on a claim, adds it to the commit if it is granted and fills in the response.
func (k *Keeper) recordClaim(
	c *claimpb.Commit, resp *claimpb.ClaimResponse, req *claimpb.ClaimRequest, id requestID, token claimToken,
) {
	resp.Epoch = k.state.Promised
	if !k.servesEpoch(req.Epoch) {
		resp.Status = claimpb.Status_STATUS_REFUSED
		return
	}
	if id.unixMilli() < k.state.Floor {
		resp.Status = claimpb.Status_STATUS_EXPIRED
		return
	}
	if id.unixMilli() > k.cfg.Now().Add(MaxClockSkew).UnixMilli() {
		resp.Status = claimpb.Status_STATUS_AHEAD
		return
	}
	key := k.claims.key(req.Team, id)
	if e, ok := k.earlyReleases[key]; ok && e.token == token {
		resp.Status = claimpb.Status_STATUS_RELEASED
		return
	}
	resp.Status = claimpb.Status_STATUS_HELD
	holders := k.claims.holders(key)
	if len(holders) == 0 {
		k.claims.add(key, token)
		c.Entries = append(c.Entries, &claimpb.Entry{Team: req.Team, Id: req.Id, Token: req.Token})
		holders = []claimToken{token}
	}
	for _, h := range holders {
		resp.Holders = append(resp.Holders, h[:])
	}
}

// Release removes a claim on behalf of its owner. A release that arrives before its claim is remembered in memory, so
// that the late claim is rejected. After a restart it is forgotten, and then the late claim can only block the request
// ID on this voter.
func (k *Keeper) Release(ctx context.Context, req *claimpb.ReleaseRequest) (*claimpb.ReleaseResponse, error) {
	id, token, err := decodeClaim(req.Team, req.Id, req.Token)
	if err != nil {
		return nil, err
	}
	err = k.submit(ctx, func(c *claimpb.Commit) error {
		key := k.claims.key(req.Team, id)
		if k.claims.remove(key, token) {
			c.Entries = append(c.Entries, &claimpb.Entry{Team: req.Team, Id: req.Id, Token: req.Token, Release: true})
			return nil
		}
		k.rememberRelease(key, token)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &claimpb.ReleaseResponse{}, nil
}

// rememberRelease remembers a release that arrived before its claim, unless too many are remembered already.
func (k *Keeper) rememberRelease(key claimKey, token claimToken) {
	now := k.cfg.Elapsed()
	if len(k.earlyReleases) >= maxEarlyReleases {
		for other, e := range k.earlyReleases {
			if e.expiresAt <= now {
				delete(k.earlyReleases, other)
			}
		}
	}
	if len(k.earlyReleases) < maxEarlyReleases {
		k.earlyReleases[key] = earlyRelease{token: token, expiresAt: now + earlyReleaseTTL}
	}
}

// Tick advances the floor and removes old segments, also while no claims arrive. It must be called periodically.
func (k *Keeper) Tick(ctx context.Context) error {
	return k.submit(ctx, func(*claimpb.Commit) error { return nil })
}

// Stats returns the current figures of the keeper.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Stats{
		Claims: k.claims.count, DiskBytes: k.journalSize, Floor: time.UnixMilli(k.state.Floor),
		Epoch: k.state.Promised, Serving: k.failure == nil && k.servesEpoch(k.state.Promised), Syncs: k.syncs,
	}
}

// Close stops the keeper. Operations that are not synced by then fail.
func (k *Keeper) Close() {
	k.closeOnce.Do(func() { close(k.quit) })
	<-k.done
}
