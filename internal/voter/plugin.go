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
	// Name is the plug-in name in commands and snapshots.
	Name = "voter"
	// chainLength is how many memberships are kept. A voter that missed more of them needs copies for the next one.
	chainLength = 32
)

// State holds the newest memberships; it is owned by the kernel's goroutine.
type State struct {
	chain []*claimpb.Membership
	group string
}

func init() {
	kernel.Register(Name, nil, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	s := &State{}
	k.Provide(Name, s)
	return kernel.Plugin{View: true, Apply: s.apply, Snapshot: s.encode, Restore: s.restore, Check: s.check}
}

// Chain returns the newest memberships, oldest first; they must not be changed.
func (s *State) Chain() []*claimpb.Membership { return s.chain }

// Newest returns the newest membership, nil before the first.
func (s *State) Newest() *claimpb.Membership {
	if len(s.chain) == 0 {
		return nil
	}
	return s.chain[len(s.chain)-1]
}

// Group identifies the control group by the voter that founded it; empty before the first membership.
func (s *State) Group() string { return s.group }

// SetCommand returns the command that makes a set of voters the next membership. With the voters of the newest
// membership it changes nothing.
func SetCommand(voters []*claimpb.Voter) (kernel.Command, error) {
	return kernel.NewCommand(Name, "", &voterpb.Set{Voters: voters})
}

// Same reports whether two lists, ordered by identity, hold the same voters.
func Same(a, b []*claimpb.Voter) bool {
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
	newest := s.Newest()
	if Same(newest.GetVoters(), m.Voters) {
		return nil, nil
	}
	if s.group == "" {
		s.group = m.Voters[0].Identity
	}
	// The list is copied, because views share it.
	s.chain = append(slices.Clone(s.chain), &claimpb.Membership{Epoch: newest.GetEpoch() + 1, Voters: m.Voters})
	if n := len(s.chain) - chainLength; n > 0 {
		s.chain = s.chain[n:]
	}
	return nil, nil
}

func (s *State) check() error {
	for i, m := range s.chain {
		if i > 0 && m.Epoch != s.chain[i-1].Epoch+1 {
			return errorx.IllegalState.New("membership %d follows membership %d", m.Epoch, s.chain[i-1].Epoch)
		}
	}
	return nil
}

func (s *State) encode() ([]byte, error) {
	return proto.Marshal(&voterpb.State{Chain: s.chain, Group: s.group})
}

func (s *State) restore(data []byte) error {
	m := &voterpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode voters")
	}
	s.chain, s.group = m.Chain, m.Group
	return nil
}
