package control

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/maintenance"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

const (
	// minVoters is the smallest number of voters that tolerates the loss of one.
	minVoters = 3
	// removeLearnerAfter is how long a learner has been silent before it leaves. It may be silent while it installs a
	// snapshot, and its removal gains nothing for the quorum.
	removeLearnerAfter = 5 * time.Second
)

// manageVoters promotes learners that have caught up and removes members that are lost.
func (v *Voter) manageVoters() {
	members := v.core.Status().Members
	v.kernel.Observe(v.now(), maintenance.Redundancy{Full: hasRedundancy(members)})
	v.trackLostMembers(members)
	switch ch := newMemberPolicy(v.cfg).chooseMemberChange(members, v.missingFor); {
	case ch == nil:
	case ch.Member.Id == v.core.Status().ID:
		v.transferLeadership() // A leader doesn't remove itself.
	default:
		v.proposeMemberChange(ch)
	}
}

// trackLostMembers records since when each voter has not been caught up and each learner has been silent.
func (v *Voter) trackLostMembers(members []raft.MemberStatus) {
	for _, m := range members {
		_, wasMissing := v.missingSince[m.Member.Id]
		switch missing := isMissing(m); {
		case missing && !wasMissing:
			v.missingSince[m.Member.Id] = v.now()
			v.cfg.Log.Info("member is missing", "member", m.Member.Id, "address", m.Member.Address, "voter", m.Member.Voter)
		case !missing && wasMissing:
			v.cfg.Log.Info("member is back", "member", m.Member.Id, "address", m.Member.Address, "voter", m.Member.Voter,
				"after", v.missingFor(m.Member.Id).String())
			delete(v.missingSince, m.Member.Id)
		}
	}
}

// isMissing reports whether a member is missing. A learner that the leader hears from may need long to catch up.
func isMissing(m raft.MemberStatus) bool {
	if m.Member.Voter {
		return !m.CaughtUp
	}
	return !m.Active
}

// missingFor returns how long a voter has not been caught up or a learner has been silent, as far as this leader knows.
func (v *Voter) missingFor(id string) time.Duration {
	if since, ok := v.missingSince[id]; ok {
		return v.now() - since
	}
	return 0
}

// memberPolicy decides about the members of the group.
type memberPolicy struct {
	// removeLostAfter is Config.RemoveLostAfter.
	removeLostAfter time.Duration
	// targetVoters is the number of voters that the group needs to tolerate losses; 0 if that is unknown.
	targetVoters int
}

func newMemberPolicy(cfg Config) memberPolicy {
	p := memberPolicy{removeLostAfter: cfg.RemoveLostAfter}
	if cfg.ToleratedLosses > 0 {
		p.targetVoters = 2*cfg.ToleratedLosses + 1
	}
	return p
}

// hasSurplus reports whether a group has more voters than it needs. Without a target, only an even one has, since its
// quorum is that of a group with one voter more.
func (p memberPolicy) hasSurplus(voters int) bool {
	if p.targetVoters == 0 {
		return voters > minVoters && voters%2 == 0
	}
	return voters > p.targetVoters
}

// chooseMemberChange returns the next membership change, or nil. A lost voter leaves once a learner has taken its place, or if
// the group has more voters than its target, as beside a replacement. Otherwise it stays, so that entries are committed by as
// many voters as the group needs to tolerate the loss of disks. The learner takes the place of the lost voter in one change: the
// voter may only be dark, and another voter, or the learner, may just have lost its disk, so neither a group without the lost
// voter nor one with both may be left without a quorum for good. A removeLostAfter of 0 keeps all lost members, except voters
// that joined again under the same name.
func (p memberPolicy) chooseMemberChange(
	members []raft.MemberStatus, missingFor func(id string) time.Duration,
) *raftpb.MemberChange {
	if ch := p.chooseEndOfReplacement(members, missingFor); ch != nil {
		return ch
	}
	learner := findCaughtUpLearner(members)
	voters := 0
	var lost *raftpb.Member     // the voter that has been missing for the longest time
	var replaced *raftpb.Member // a voter that joined again under the same name
	for _, m := range members {
		if !m.Member.Voter {
			continue
		}
		voters++
		if m.CaughtUp {
			continue
		}
		if replaced == nil && hasSuccessor(members, m.Member) {
			replaced = m.Member
		}
		if lost == nil || missingFor(m.Member.Id) > missingFor(lost.Id) {
			lost = m.Member
		}
	}
	even := voters%2 == 0
	if learner != nil && (p.removeLostAfter == 0 && replaced == nil || lost == nil || even) {
		return &raftpb.MemberChange{Kind: raftpb.ChangeKind_CHANGE_KIND_PROMOTE, Member: learner}
	}
	if replaced != nil {
		return removal(replaced)
	}
	if p.removeLostAfter > 0 && lost != nil && missingFor(lost.Id) >= p.removeLostAfter {
		switch {
		case p.hasSurplus(voters):
			return removal(lost)
		case learner != nil:
			return &raftpb.MemberChange{
				Kind: raftpb.ChangeKind_CHANGE_KIND_REPLACE, Member: learner, Replaced: lost.Id,
			}
		}
	}
	return p.chooseLearnerRemoval(members, missingFor)
}

// chooseEndOfReplacement returns the removal that ends the replacement of a voter, nil if none is being replaced: of that voter,
// or of its successor if that one is lost and the voter is back.
func (p memberPolicy) chooseEndOfReplacement(
	members []raft.MemberStatus, missingFor func(id string) time.Duration,
) *raftpb.MemberChange {
	var joining, leaving raft.MemberStatus
	for _, m := range members {
		switch {
		case m.Member.Joining:
			joining = m
		case m.Member.Leaving:
			leaving = m
		}
	}
	switch {
	case leaving.Member == nil:
		return nil
	case joining.Member != nil && leaving.CaughtUp && missingFor(joining.Member.Id) >= p.removeLostAfter:
		return removal(joining.Member)
	}
	return removal(leaving.Member)
}

// chooseLearnerRemoval returns the removal of a learner that is lost, or nil.
func (p memberPolicy) chooseLearnerRemoval(
	members []raft.MemberStatus, missingFor func(id string) time.Duration,
) *raftpb.MemberChange {
	for _, m := range members {
		if p.removeLostAfter > 0 && !m.Member.Voter && missingFor(m.Member.Id) >= removeLearnerAfter {
			return removal(m.Member)
		}
	}
	return nil
}

// mayLeave reports whether a voter that is about to stop leaves the group: there is a surplus, and the others have a quorum.
func (p memberPolicy) mayLeave(members []raft.MemberStatus, id string) bool {
	voters, caughtUpOthers, member := 0, 0, false
	for _, m := range members {
		if !m.Member.Voter || m.Member.Leaving {
			continue
		}
		voters++
		if m.Member.Id == id {
			member = true
		} else if m.CaughtUp {
			caughtUpOthers++
		}
	}
	return member && p.hasSurplus(voters) && caughtUpOthers >= raft.Quorum(voters-1)
}

func removal(m *raftpb.Member) *raftpb.MemberChange {
	return &raftpb.MemberChange{Kind: raftpb.ChangeKind_CHANGE_KIND_REMOVE, Member: m}
}

func findCaughtUpLearner(members []raft.MemberStatus) *raftpb.Member {
	for _, m := range members {
		if !m.Member.Voter && m.CaughtUp {
			return m.Member
		}
	}
	return nil
}

// hasSuccessor reports whether the process of a voter has lost its disk and caught up again under a new identity.
func hasSuccessor(members []raft.MemberStatus, old *raftpb.Member) bool {
	for _, m := range members {
		if m.Member.Name == old.Name && m.Member.Id != old.Id && m.CaughtUp {
			return true
		}
	}
	return false
}

// hasRedundancy reports whether the group can lose a voter now: it has at least three members, and all of them are
// caught-up voters.
func hasRedundancy(members []raft.MemberStatus) bool {
	voters := 0
	for _, m := range members {
		if !m.Member.Voter || !m.CaughtUp {
			return false
		}
		voters++
	}
	return voters >= minVoters
}
