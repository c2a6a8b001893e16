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

// Kinds of the calls between processes.
const (
	KindClaim   = "claim"
	KindRelease = "claim-release"
	KindCopy    = "claim-copy"
)

const (
	// DefaultRetention is how long after its ID's time a claim is kept.
	DefaultRetention = time.Hour
	// MaxClockSkew is how far an ID's time may be ahead of a voter's clock.
	MaxClockSkew = time.Minute
	// floorStep limits how often the floor is written.
	floorStep = time.Second
	// floorRate bounds how fast the floor may catch up with the clock, in terms of elapsed time. A clock that jumps
	// ahead would otherwise raise the floor for good, and a transfer would hand that floor to the new voter.
	floorRate = 2
	// segmentSpan makes 30 segments at the default retention; up to one span of claims is kept longer than needed.
	segmentSpan = 2 * time.Minute
	// maxBatch bounds the operations in one group commit, and with maxTeam the size of its record.
	maxBatch = 1024
	// earlyRelease is how long a release that came before its claim is remembered.
	earlyRelease = time.Minute
	// maxEarlyReleases bounds their memory; a forgotten one only blocks a request ID on one voter.
	maxEarlyReleases = 4096
)

// ErrUnusable reports a keeper that stopped after a failed write or sync, or was closed.
var ErrUnusable = errorx.IllegalState.NewSubtype("claim-keeper-unusable")

// Config describes a Keeper.
type Config struct {
	// Directory holds the journal and nothing else.
	Directory string
	// Identity of this voter, drawn when its data directory was created.
	Identity string
	// AllowNewJournal allows to start without a journal. It may be set only while the process has never been in a membership;
	// a journal that is missing later is a lost disk.
	AllowNewJournal bool
	// Retention is DefaultRetention when 0.
	Retention time.Duration
	// Now is the wall clock.
	Now func() time.Time
	// Elapsed is a monotonic clock with any origin.
	Elapsed func() time.Duration
	Log     logr.Logger

	open func(path string) (storage, error) // replaced in tests
}

// Stats describes what a keeper holds.
type Stats struct {
	// Claims is the number of request IDs in memory.
	Claims int
	// DiskBytes is the size of the journal.
	DiskBytes int64
	// Floor is the lowest ID time that is accepted.
	Floor time.Time
	// Epoch is the newest epoch that was promised; Serving is true when claims of it are served.
	Epoch   uint64
	Serving bool
	// Syncs counts group commits that were written.
	Syncs uint64
}

// Keeper records claims on one voter; it is safe for concurrent use.
type Keeper struct {
	cfg Config
	log logr.Logger
	ops chan *operation
	// quit is closed by Close and done when the committing goroutine has ended.
	quit, done chan struct{}
	closing    sync.Once

	journal *journal // used by the committing goroutine only

	mu       sync.Mutex // guards all below and is not held during writes and syncs
	claims   *table
	state    *claimpb.State
	early    map[claimKey]earlyClaim
	failure  error
	syncs    uint64
	bytes    int64         // size of the journal
	floorSet time.Duration // Elapsed at the last check of the floor
	rotated  time.Duration // Elapsed at the last rotation
}

type earlyClaim struct {
	token claimToken
	until time.Duration
}

type operation struct {
	run  func(c *claimpb.Commit) error
	err  error
	done chan struct{}
}

// Open replays the journal and starts to answer.
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
		cfg: cfg, log: cfg.Log, ops: make(chan *operation, maxBatch),
		quit: make(chan struct{}), done: make(chan struct{}),
		journal: newJournal(st, cfg.Directory), claims: newTable(), early: map[claimKey]earlyClaim{},
		floorSet: cfg.Elapsed(),
	}
	if err := k.load(); err != nil {
		if closeErr := st.close(); closeErr != nil {
			k.log.Error(closeErr, "close claim journal")
		}
		return nil, err
	}
	go k.commitAll()
	return k, nil
}

func (k *Keeper) load() error {
	if err := k.journal.load(k.replay); err != nil {
		return err
	}
	switch {
	case k.state == nil && !k.cfg.AllowNewJournal:
		return errorx.IllegalState.New("claim journal %s is missing", k.cfg.Directory)
	case k.state == nil:
		k.state = &claimpb.State{Identity: k.cfg.Identity, Floor: k.target()}
	case k.state.Identity != k.cfg.Identity:
		return errorx.IllegalState.New("claim journal %s belongs to voter %s, not to %s",
			k.cfg.Directory, k.state.Identity, k.cfg.Identity)
	}
	k.claims.drop(k.state.Floor)
	return k.rotate()
}

// replay applies one record of the journal.
func (k *Keeper) replay(c *claimpb.Commit) error {
	if c.State != nil {
		if k.state != nil && c.State.Floor < k.state.Floor {
			return errorx.IllegalState.New("floor goes back from %d to %d", k.state.Floor, c.State.Floor)
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

// target is the clock minus the retention in milliseconds since the Unix epoch.
func (k *Keeper) target() int64 { return k.cfg.Now().Add(-k.cfg.Retention).UnixMilli() }

// do runs an operation in the next group commit and returns once that is synced. Operations see all earlier ones.
func (k *Keeper) do(ctx context.Context, run func(c *claimpb.Commit) error) error {
	op := &operation{run: run, done: make(chan struct{})}
	select {
	case k.ops <- op:
	case <-k.done:
		return k.unusable()
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-op.done:
		return op.err
	case <-k.done:
		// The operation may have been answered just before the goroutine ended.
		select {
		case <-op.done:
			return op.err
		default:
			return k.unusable()
		}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *Keeper) unusable() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failure != nil {
		return ErrUnusable.New("claim keeper stopped: %v", k.failure)
	}
	return ErrUnusable.New("claim keeper is closed")
}

// commitAll runs waiting operations in groups, with one sync for each group, until the keeper is closed or fails.
func (k *Keeper) commitAll() {
	defer close(k.done)
	defer func() {
		if err := k.journal.st.close(); err != nil {
			k.log.Error(err, "close claim journal")
		}
	}()
	for {
		select {
		case op := <-k.ops:
			if err := k.commit(k.gather(op)); err != nil {
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

func (k *Keeper) gather(first *operation) []*operation {
	group := []*operation{first}
	for len(group) < maxBatch {
		select {
		case op := <-k.ops:
			group = append(group, op)
		default:
			return group
		}
	}
	return group
}

// commit applies a group and syncs what it changed before any of the group is answered. An error is one of the journal,
// after which the state in memory may be ahead of the disk: nothing is answered from it any more.
func (k *Keeper) commit(group []*operation) error {
	c := &claimpb.Commit{}
	k.mu.Lock()
	k.advance(c)
	for _, op := range group {
		op.err = op.run(c)
	}
	due := k.cfg.Elapsed()-k.rotated >= segmentSpan || k.journal.size >= maxSegment
	k.mu.Unlock()
	if len(c.Entries) > 0 || c.Floor != 0 || c.State != nil {
		if err := k.journal.write(c); err != nil {
			return err
		}
		k.mu.Lock()
		k.syncs++
		k.bytes = k.journal.bytes
		k.mu.Unlock()
	}
	if due {
		if err := k.rotate(); err != nil {
			return err
		}
	}
	for _, op := range group {
		close(op.done)
	}
	return nil
}

// advance moves the floor to the clock minus the retention. It never moves back, and when the clock jumped ahead it
// follows at floorRate.
func (k *Keeper) advance(c *claimpb.Commit) {
	target := k.target()
	if target < k.state.Floor+floorStep.Milliseconds() {
		return
	}
	now := k.cfg.Elapsed()
	allowed := k.state.Floor + floorRate*(now-k.floorSet).Milliseconds()
	k.floorSet = now
	if floor := min(target, allowed); floor > k.state.Floor {
		k.setFloor(c, floor)
	}
}

func (k *Keeper) setFloor(c *claimpb.Commit, floor int64) {
	k.state.Floor, c.Floor = floor, floor
	k.claims.drop(floor)
}

func (k *Keeper) rotate() error {
	k.mu.Lock()
	s := proto.CloneOf(k.state)
	k.mu.Unlock()
	if err := k.journal.rotate(s); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bytes, k.rotated = k.journal.bytes, k.cfg.Elapsed()
	return nil
}

// Claim records a claim unless the request ID has a holder, and answers with the holders after they are synced.
func (k *Keeper) Claim(ctx context.Context, req *claimpb.ClaimRequest) (*claimpb.ClaimResponse, error) {
	id, token, err := decodeClaim(req.Team, req.Id, req.Token)
	if err != nil {
		return nil, err
	}
	resp := &claimpb.ClaimResponse{}
	err = k.do(ctx, func(c *claimpb.Commit) error {
		k.claim(c, resp, req, id, token)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

func (k *Keeper) claim(c *claimpb.Commit, resp *claimpb.ClaimResponse, req *claimpb.ClaimRequest, id requestID, token claimToken) {
	resp.Epoch = k.state.Promised
	if !k.serves(req.Epoch) {
		resp.Status = claimpb.Status_STATUS_REFUSED
		return
	}
	if id.time() < k.state.Floor {
		resp.Status = claimpb.Status_STATUS_EXPIRED
		return
	}
	if id.time() > k.cfg.Now().Add(MaxClockSkew).UnixMilli() {
		resp.Status = claimpb.Status_STATUS_AHEAD
		return
	}
	key := k.claims.key(req.Team, id)
	if e, ok := k.early[key]; ok && e.token == token {
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

// Release removes a claim of its owner. A release that comes before its claim makes the late claim fail; that memory is
// lost in a restart, which can only leave a claim behind that blocks the request ID on this voter.
func (k *Keeper) Release(ctx context.Context, req *claimpb.ReleaseRequest) (*claimpb.ReleaseResponse, error) {
	id, token, err := decodeClaim(req.Team, req.Id, req.Token)
	if err != nil {
		return nil, err
	}
	err = k.do(ctx, func(c *claimpb.Commit) error {
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

func (k *Keeper) rememberRelease(key claimKey, token claimToken) {
	now := k.cfg.Elapsed()
	if len(k.early) >= maxEarlyReleases {
		for other, e := range k.early {
			if e.until <= now {
				delete(k.early, other)
			}
		}
	}
	if len(k.early) < maxEarlyReleases {
		k.early[key] = earlyClaim{token: token, until: now + earlyRelease}
	}
}

// Tick moves the floor and drops old segments while no claims arrive; it is called every few seconds.
func (k *Keeper) Tick(ctx context.Context) error {
	return k.do(ctx, func(*claimpb.Commit) error { return nil })
}

// Stats returns what the keeper holds.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Stats{
		Claims: k.claims.count, DiskBytes: k.bytes, Floor: time.UnixMilli(k.state.Floor),
		Epoch: k.state.Promised, Serving: k.failure == nil && k.serves(k.state.Promised), Syncs: k.syncs,
	}
}

// Close stops the keeper; operations that are not synced by then fail.
func (k *Keeper) Close() {
	k.closing.Do(func() { close(k.quit) })
	<-k.done
}
