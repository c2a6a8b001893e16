package raft

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// sortedMembers returns the members ordered by ID.
func sortedMembers(members []*raftpb.Member) []*raftpb.Member {
	list := slices.Clone(members)
	slices.SortFunc(list, func(a, b *raftpb.Member) int { return strings.Compare(a.Id, b.Id) })
	return list
}

func findMember(members []*raftpb.Member, id string) *raftpb.Member {
	for _, m := range members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

func isMemberChange(e *raftpb.Entry) bool { return e.Type == raftpb.EntryType_ENTRY_TYPE_MEMBER_CHANGE }

// Quorum returns how many voters of a group decide.
func Quorum(voters int) int { return voters/2 + 1 }

// voterSets returns the sets of voters of which a quorum is needed each: the voters, and two sets while one of them is being
// replaced.
func voterSets(members []*raftpb.Member) [][]*raftpb.Member {
	var former, next []*raftpb.Member
	for _, m := range members {
		if m.Voter && !m.Joining {
			former = append(former, m)
		}
		if m.Voter && !m.Leaving {
			next = append(next, m)
		}
	}
	if findReplaced(members) == nil {
		return [][]*raftpb.Member{next}
	}
	return [][]*raftpb.Member{former, next}
}

// findReplaced returns the voter that is being replaced, nil if there is none.
func findReplaced(members []*raftpb.Member) *raftpb.Member {
	if i := slices.IndexFunc(members, func(m *raftpb.Member) bool { return m.Leaving }); i >= 0 {
		return members[i]
	}
	return nil
}

// isQuorum reports whether the members that a condition holds for are a quorum of each set of voters.
func isQuorum(members []*raftpb.Member, holds func(id string) bool) bool {
	for _, set := range voterSets(members) {
		if countMembers(set, holds) < Quorum(len(set)) {
			return false
		}
	}
	return true
}

func countMembers(members []*raftpb.Member, holds func(id string) bool) int {
	n := 0
	for _, m := range members {
		if holds(m.Id) {
			n++
		}
	}
	return n
}

// applyMemberChange returns the membership after the change, and leaves members as it is.
func applyMemberChange(members []*raftpb.Member, ch *raftpb.MemberChange) []*raftpb.Member {
	id := ch.Member.GetId()
	removed := findMember(members, id)
	endsReplacement := ch.Kind == raftpb.ChangeKind_CHANGE_KIND_REMOVE && (removed.GetJoining() || removed.GetLeaving())
	list := make([]*raftpb.Member, 0, len(members)+1)
	for _, m := range members {
		m = proto.CloneOf(m)
		if endsReplacement {
			m.Joining, m.Leaving = false, false
		}
		if m.Id != id {
			m.Leaving = m.Leaving || ch.Kind == raftpb.ChangeKind_CHANGE_KIND_REPLACE && m.Id == ch.Replaced
			list = append(list, m)
			continue
		}
		switch ch.Kind {
		case raftpb.ChangeKind_CHANGE_KIND_REMOVE:
			continue
		case raftpb.ChangeKind_CHANGE_KIND_PROMOTE:
			m.Voter = true
		case raftpb.ChangeKind_CHANGE_KIND_REPLACE:
			m.Voter, m.Joining = true, true
		case raftpb.ChangeKind_CHANGE_KIND_UPDATE:
			m.Name, m.Address, m.AvailabilityZone = ch.Member.Name, ch.Member.Address, ch.Member.AvailabilityZone
		}
		list = append(list, m)
	}
	if ch.Kind == raftpb.ChangeKind_CHANGE_KIND_ADD_LEARNER && findMember(members, id) == nil {
		m := proto.CloneOf(ch.Member)
		m.Voter, m.Joining, m.Leaving = false, false, false
		list = append(list, m)
	}
	return sortedMembers(list)
}

// membersAt returns the membership after the entry at index, which must not precede the base of the log.
func (c *Core) membersAt(index uint64) []*raftpb.Member {
	members := c.baseMembership
	for _, e := range c.log.entries {
		if e.Index > index {
			break
		}
		if isMemberChange(e) {
			ch := &raftpb.MemberChange{}
			if proto.Unmarshal(e.Data, ch) == nil { // checkEntry rejects entries that don't decode
				members = applyMemberChange(members, ch)
			}
		}
	}
	return members
}

// updateMembership recomputes the membership from the log. A change takes effect as soon as its entry is in the log,
// before it is committed.
func (c *Core) updateMembership() {
	c.members = c.membersAt(c.log.lastIndex())
	c.lastChangeIndex = 0
	for _, e := range c.log.entries {
		if isMemberChange(e) {
			c.lastChangeIndex = e.Index
		}
	}
	if c.role == Leader {
		c.updateProgress()
	}
}

// updateProgress adds the progress of new members and deletes that of removed ones.
func (c *Core) updateProgress() {
	for _, m := range c.members {
		if c.progress[m.Id] == nil {
			c.progress[m.Id] = &progress{nextIndex: c.log.lastIndex() + 1, lastHeardTick: c.tickCount}
		}
	}
	for id := range c.progress {
		if findMember(c.members, id) == nil {
			delete(c.progress, id)
		}
	}
	c.progress[c.cfg.ID].matchIndex = c.log.lastSynced
}

// ProposeMemberChange appends a membership change to the log of the leader, one at a time: it returns ErrBusy until the
// earlier ones are known to be committed.
func (c *Core) ProposeMemberChange(ch *raftpb.MemberChange) (index uint64, err error) {
	if err := c.checkAcceptsProposals(); err != nil {
		return 0, err
	}
	if c.commitIndex < c.termStartIndex || c.lastChangeIndex > c.commitIndex {
		return 0, ErrBusy.New("an earlier membership change may be uncommitted")
	}
	if err := c.checkMemberChange(ch); err != nil {
		return 0, err
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(ch)
	if err != nil {
		return 0, ErrInvalid.Wrap(err, "encode membership change")
	}
	return c.appendEntry(raftpb.EntryType_ENTRY_TYPE_MEMBER_CHANGE, data), nil
}

func (c *Core) checkMemberChange(ch *raftpb.MemberChange) error {
	id := ch.GetMember().GetId()
	m := findMember(c.members, id)
	if id == "" || m == nil && ch.Kind != raftpb.ChangeKind_CHANGE_KIND_ADD_LEARNER {
		return ErrInvalid.New("no member %q", id)
	}
	if findReplaced(c.members) != nil && changesVoters(m, ch) && !m.Joining && !m.Leaving {
		return ErrBusy.New("a voter is being replaced")
	}
	switch ch.Kind {
	case raftpb.ChangeKind_CHANGE_KIND_ADD_LEARNER:
		if m != nil {
			return ErrInvalid.New("member %s is already part of the group", id)
		}
	case raftpb.ChangeKind_CHANGE_KIND_REPLACE:
		return c.checkReplacement(m, ch)
	case raftpb.ChangeKind_CHANGE_KIND_PROMOTE:
		if m.Voter {
			return ErrInvalid.New("member %s is already a voter", id)
		}
		if !c.isCaughtUp(id) {
			return ErrNotCaughtUp.New("learner %s is not caught up", id)
		}
	case raftpb.ChangeKind_CHANGE_KIND_REMOVE:
		return c.checkRemoval(m, ch.Force)
	case raftpb.ChangeKind_CHANGE_KIND_UPDATE:
	default:
		return ErrInvalid.New("unknown membership change %d", ch.Kind)
	}
	return nil
}

// changesVoters reports whether a change of a member is one of the voters.
func changesVoters(m *raftpb.Member, ch *raftpb.MemberChange) bool {
	switch ch.Kind {
	case raftpb.ChangeKind_CHANGE_KIND_PROMOTE, raftpb.ChangeKind_CHANGE_KIND_REPLACE:
		return true
	case raftpb.ChangeKind_CHANGE_KIND_REMOVE:
		return m.Voter
	}
	return false
}

func (c *Core) checkReplacement(m *raftpb.Member, ch *raftpb.MemberChange) error {
	replaced := findMember(c.members, ch.Replaced)
	switch {
	case m.Voter:
		return ErrInvalid.New("member %s is already a voter", m.Id)
	case replaced == nil || !replaced.Voter:
		return ErrInvalid.New("no voter %q", ch.Replaced)
	case replaced.Id == c.cfg.ID:
		return ErrInvalid.New("member %s leads; transfer the leadership before its replacement", replaced.Id)
	case !c.isCaughtUp(m.Id) || !isQuorum(applyMemberChange(c.members, ch), c.isCaughtUp):
		return ErrNotCaughtUp.New("too few voters are caught up to replace %s by %s", replaced.Id, m.Id)
	}
	return nil
}

func (c *Core) checkRemoval(m *raftpb.Member, force bool) error {
	if !m.Voter {
		return nil
	}
	// A leader that removes itself would have to lead a group without being a member of it.
	if m.Id == c.cfg.ID {
		return ErrInvalid.New("member %s leads; transfer the leadership before its removal", m.Id)
	}
	if force {
		return nil
	}
	caughtUp, remaining := 0, 0
	for _, other := range c.members {
		if !other.Voter || other.Id == m.Id {
			continue
		}
		remaining++
		// The leader counts as caught up, but entries may be committed that its own disk lacks.
		if c.isCaughtUp(other.Id) && (other.Id != c.cfg.ID || c.log.lastSynced >= c.commitIndexAtHeartbeat) {
			caughtUp++
		}
	}
	// The removal of a voter that is missing itself never costs redundancy, as long as the others have a quorum. The same holds for
	// one that ends a replacement, which leaves one set of voters of two.
	required := remaining
	if !c.isCaughtUp(m.Id) || m.Joining || m.Leaving {
		required = remaining/2 + 1
	}
	if caughtUp < required {
		return ErrNotCaughtUp.New("%d of %d other voters are caught up, so the removal of %s could cost the quorum",
			caughtUp, remaining, m.Id)
	}
	return nil
}

// isCaughtUp reports whether the leader heard from the member within the minimum election timeout and the member has
// synced all entries that were committed at the last periodic heartbeat.
func (c *Core) isCaughtUp(id string) bool {
	if id == c.cfg.ID {
		return true
	}
	return c.isActive(id) && c.progress[id].matchIndex >= c.commitIndexAtHeartbeat
}

// isActive reports whether the leader heard from the member within the minimum election timeout.
func (c *Core) isActive(id string) bool {
	if id == c.cfg.ID {
		return true
	}
	p := c.progress[id]
	return p != nil && c.tickCount-p.lastHeardTick < uint64(c.cfg.ElectionTicks)
}
