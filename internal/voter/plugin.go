package voter

import (
	"cmp"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/voter/voterpb"
)

const (
	// Name identifies the plug-in in commands and snapshots.
	Name = "voter"
	// maxMemberships bounds the memberships that are kept. A voter that missed older ones accepts no claims until the
	// next membership, for which it must copy the claims.
	maxMemberships = 32
)

// State holds the newest memberships. Only the goroutine that owns the kernel may use it.
type State struct {
	memberships []*claimpb.Membership
	group       string
}

func init() {
	kernel.Register(Name, nil, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	s := &State{}
	k.Provide(Name, s)
	return kernel.Plugin{InView: true, Apply: s.apply, Snapshot: s.encode, Restore: s.restore, Check: s.check}
}

// Memberships returns the newest memberships, oldest first. The caller must not change them.
func (s *State) Memberships() []*claimpb.Membership { return s.memberships }

// NewestMembership returns the newest membership, or nil before the first.
func (s *State) NewestMembership() *claimpb.Membership {
	if len(s.memberships) == 0 {
		return nil
	}
	return s.memberships[len(s.memberships)-1]
}

// Group returns the identity of the voter that founded the control group. It is empty before the first membership.
func (s *State) Group() string { return s.group }

// NewSetCommand returns the command that adds a membership with the given voters. The command changes nothing if they
// are the voters of the newest membership.
func NewSetCommand(voters []*claimpb.Voter) (kernel.Command, error) {
	return kernel.NewCommand(Name, "", &voterpb.Set{Voters: voters})
}

// Equal reports whether a and b, both ordered by identity, hold the same voters.
func Equal(a, b []*claimpb.Voter) bool {
	return slices.EqualFunc(a, b, func(x, y *claimpb.Voter) bool { return proto.Equal(x, y) })
}

func (s *State) apply(c kernel.Command) ([]byte, error) {
	m := &voterpb.Set{}
	if err := proto.Unmarshal(c.Body, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode voters: %v", err)
	}
	if len(m.Voters) == 0 {
		return nil, kernel.ErrInvalid.New("a membership needs voters")
	}
	slices.SortFunc(m.Voters, func(a, b *claimpb.Voter) int { return cmp.Compare(a.Identity, b.Identity) })
	newest := s.NewestMembership()
	if Equal(newest.GetVoters(), m.Voters) {
		return nil, nil
	}
	if s.group == "" {
		s.group = m.Voters[0].Identity
	}
	// Views share the old list, so it is copied rather than changed.
	s.memberships = append(slices.Clone(s.memberships), &claimpb.Membership{
		Epoch: newest.GetEpoch() + 1, Voters: m.Voters,
	})
	if n := len(s.memberships) - maxMemberships; n > 0 {
		s.memberships = s.memberships[n:]
	}
	return nil, nil
}

func (s *State) check() error {
	for i, m := range s.memberships {
		if i > 0 && m.Epoch != s.memberships[i-1].Epoch+1 {
			return errorx.IllegalState.New("membership %d follows membership %d", m.Epoch, s.memberships[i-1].Epoch)
		}
	}
	return nil
}

func (s *State) encode() ([]byte, error) {
	return proto.Marshal(&voterpb.State{Chain: s.memberships, Group: s.group})
}

func (s *State) restore(data []byte) error {
	m := &voterpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode voters")
	}
	s.memberships, s.group = m.Chain, m.Group
	return nil
}
