package key

import (
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/key/keypb"
)

// Name is the plug-in name in commands and snapshots.
const Name = "key"

// Key is a key that was granted and has not been revoked.
type Key struct {
	team string
	hash []byte
}

// Team returns the team for which the key was granted.
func (k Key) Team() string { return k.team }

// Hash returns the SHA-256 hash of the secret part of the key.
func (k Key) Hash() []byte { return k.hash }

// State holds all keys; it is owned by the kernel's goroutine.
type State struct {
	cfg    *configuration.State
	keys   map[string]*keypb.Key
	active map[string]Key
	// revision counts the changes, so that views are rebuilt only when needed.
	revision uint64
}

func init() {
	kernel.Register(Name, []string{configuration.Name}, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	cfg, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
	s := &State{cfg: cfg, keys: map[string]*keypb.Key{}, active: map[string]Key{}}
	k.Provide(Name, s)
	return kernel.Plugin{
		InView:   true,
		Apply:    s.apply,
		Query:    func([]byte) ([]byte, error) { return s.encode() },
		Snapshot: s.encode,
		Restore:  s.restore,
	}
}

// Active returns the keys that are not revoked, by identifier. The map is replaced on each change and must not be
// modified.
func (s *State) Active() map[string]Key { return s.active }

// Revision returns the number of changes of the keys. Equal revisions mean equal keys.
func (s *State) Revision() uint64 { return s.revision }

// GrantCommand returns the command that adds a key for a team.
func GrantCommand(id, team string, secret Secret) (kernel.Command, error) {
	return GrantHashCommand(id, team, secret.ID(), secret.Hash())
}

// GrantHashCommand returns the command that adds a key of which only the identifier and the SHA-256 hash are known.
func GrantHashCommand(id, team, keyID string, hash []byte) (kernel.Command, error) {
	grant := &keypb.Grant{Id: keyID, Team: team, Hash: hash}
	return kernel.NewCommand(Name, id, &keypb.Command{Change: &keypb.Command_Grant{Grant: grant}})
}

// RevokeCommand returns the command that revokes a key by its identifier.
func RevokeCommand(id, keyID string) (kernel.Command, error) {
	revoke := &keypb.Revoke{Id: keyID}
	return kernel.NewCommand(Name, id, &keypb.Command{Change: &keypb.Command_Revoke{Revoke: revoke}})
}

// DecodeState decodes the answer to a query into all keys, including revoked ones, ordered by identifier.
func DecodeState(body []byte) ([]*keypb.Key, error) {
	m := &keypb.State{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errorx.Decorate(err, "decode keys")
	}
	return m.Keys, nil
}

func (s *State) apply(c kernel.Command) ([]byte, error) {
	m := &keypb.Command{}
	if err := proto.Unmarshal(c.Body, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode key command: %v", err)
	}
	switch change := m.Change.(type) {
	case *keypb.Command_Grant:
		return nil, s.grant(change.Grant, c.At)
	case *keypb.Command_Revoke:
		return nil, s.revoke(change.Revoke, c.At)
	}
	return nil, kernel.ErrInvalid.New("empty key command")
}

func (s *State) grant(m *keypb.Grant, at time.Duration) error {
	if m.Id == "" || len(m.Hash) != sha256.Size {
		return kernel.ErrInvalid.New("key needs an identifier and a SHA-256 hash")
	}
	if _, ok := s.keys[m.Id]; ok {
		return kernel.ErrConflict.New("key %s exists", m.Id)
	}
	if !s.hasTeam(m.Team) {
		return kernel.ErrNotFound.New("no team %q in the configuration", m.Team)
	}
	s.keys[m.Id] = &keypb.Key{Id: m.Id, Team: m.Team, Hash: m.Hash, GrantedAt: int64(at)}
	s.replaceActive()
	return nil
}

func (s *State) hasTeam(name string) bool {
	for _, t := range s.cfg.Current().Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}

func (s *State) revoke(m *keypb.Revoke, at time.Duration) error {
	k, ok := s.keys[m.Id]
	if !ok {
		return kernel.ErrNotFound.New("no key %q", m.Id)
	}
	if !k.Revoked {
		k.Revoked, k.RevokedAt, k.Hash = true, int64(at), nil
		s.replaceActive()
	}
	return nil
}

// replaceActive builds a new map of the active keys instead of modifying the old one, because views refer to it.
func (s *State) replaceActive() {
	active := make(map[string]Key, len(s.keys))
	for id, k := range s.keys {
		if !k.Revoked {
			active[id] = Key{team: k.Team, hash: k.Hash}
		}
	}
	s.active = active
	s.revision++
}

func (s *State) encode() ([]byte, error) {
	m := &keypb.State{}
	for _, id := range slices.Sorted(maps.Keys(s.keys)) {
		m.Keys = append(m.Keys, s.keys[id])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func (s *State) restore(data []byte) error {
	m := &keypb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode keys")
	}
	s.keys = make(map[string]*keypb.Key, len(m.Keys))
	for _, k := range m.Keys {
		s.keys[k.Id] = k
	}
	s.replaceActive()
	return nil
}
