package view

import (
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/key"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Namespace is the errorx namespace of this package.
var Namespace = errorx.NewNamespace("view")

var (
	// ErrNoLease reports that this process has no lease, so its view may be outdated.
	ErrNoLease = Namespace.NewType("no-lease")
	// ErrUnauthorized reports a missing, unknown or revoked key.
	ErrUnauthorized = Namespace.NewType("unauthorized")
	// ErrForbidden reports a key whose team may not use the queue.
	ErrForbidden = Namespace.NewType("forbidden")
)

// Instance is an instance with its pool and state at the time of the view.
type Instance struct {
	fleet.Instance
	// AcceptsWork reports whether new work may be sent to the instance.
	AcceptsWork bool
}

// Config holds the content of a view.
type Config struct {
	// Version is the version of the configuration.
	Version       uint64
	Configuration *fleet.Configuration
	// Keys maps key IDs to active keys.
	Keys map[string]key.Key
	// PoolOf returns the pool of an instance and whether new work may be sent to it; nil uses the configuration.
	PoolOf func(instance string) (pool string, acceptsWork bool)
}

// View is an immutable snapshot of the control state.
type View struct {
	cfg       Config
	teams     map[string]fleet.Team
	queues    map[string]fleet.Queue
	instances map[string]Instance
	pools     map[string][]Instance
}

// New builds a view.
func New(cfg Config) *View {
	v := &View{
		cfg:       cfg,
		teams:     make(map[string]fleet.Team, len(cfg.Configuration.Teams)),
		queues:    make(map[string]fleet.Queue, len(cfg.Configuration.Queues)),
		instances: make(map[string]Instance, len(cfg.Configuration.Instances)),
		pools:     make(map[string][]Instance, len(cfg.Configuration.Pools)),
	}
	for _, t := range cfg.Configuration.Teams {
		v.teams[t.Name] = t
	}
	for _, q := range cfg.Configuration.Queues {
		v.queues[q.Name] = q
	}
	for _, in := range cfg.Configuration.Instances {
		i := Instance{Instance: in, AcceptsWork: true}
		if cfg.PoolOf != nil {
			i.Pool, i.AcceptsWork = cfg.PoolOf(in.Name)
		}
		v.instances[i.Name] = i
		v.pools[i.Pool] = append(v.pools[i.Pool], i)
	}
	return v
}

// Version returns the configuration version, 0 before the first submission.
func (v *View) Version() uint64 { return v.cfg.Version }

// Configuration returns the active configuration, which must not be modified.
func (v *View) Configuration() *fleet.Configuration { return v.cfg.Configuration }

// Team returns a team by name.
func (v *View) Team(name string) (fleet.Team, bool) {
	t, ok := v.teams[name]
	return t, ok
}

// Queue returns a queue by name.
func (v *View) Queue(name string) (fleet.Queue, bool) {
	q, ok := v.queues[name]
	return q, ok
}

// Instance returns an instance by name.
func (v *View) Instance(name string) (Instance, bool) {
	i, ok := v.instances[name]
	return i, ok
}

// PoolInstances returns the instances of a pool, which must not be modified.
func (v *View) PoolInstances(pool string) []Instance { return v.pools[pool] }

// Authorize returns the team to which work in the queue is charged. Only open queues accept an empty key; a key that is
// presented there must be valid, too. It fails with ErrUnauthorized or ErrForbidden.
func (v *View) Authorize(q fleet.Queue, presented string) (string, error) {
	if presented == "" {
		if q.Open {
			return q.OpenTeam, nil
		}
		return "", ErrUnauthorized.New("queue %s needs a key", q.Name)
	}
	team, err := v.Authenticate(presented)
	if err != nil {
		return "", err
	}
	if len(q.Teams) == 0 {
		return team, nil
	}
	for _, t := range q.Teams {
		if t == team {
			return team, nil
		}
	}
	return "", ErrForbidden.New("team %s may not use queue %s", team, q.Name)
}

// Authenticate returns the team of a presented key. It fails with ErrUnauthorized.
func (v *View) Authenticate(presented string) (string, error) {
	secret, err := key.ParseSecret(presented)
	if err != nil {
		return "", ErrUnauthorized.Wrap(err, "bad key")
	}
	k, ok := v.cfg.Keys[secret.ID()]
	// Compare the secret for unknown IDs, too, so that the response time doesn't reveal which IDs exist.
	if match := secret.Matches(k.Hash()); !ok || !match {
		return "", ErrUnauthorized.New("key is unknown or was revoked")
	}
	if _, ok := v.teams[k.Team()]; !ok {
		return "", ErrUnauthorized.New("team %s of the key is no longer configured", k.Team())
	}
	return k.Team(), nil
}
