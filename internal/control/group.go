package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
	"github.com/hibiscusroute/hibiscusroute/internal/voter"
)

// serveJoin adds a voter as a learner, which manageVoters promotes once it has caught up.
func (v *Voter) serveJoin(ctx context.Context, _ string, req *controlpb.JoinRequest) (proto.Message, error) {
	return runInLoop(ctx, v, func(answer func(proto.Message, error)) {
		if !v.leading {
			answer(&controlpb.JoinResponse{Redirect: v.redirect()}, nil)
			return
		}
		m := req.Member
		if m == nil || m.Id == "" || m.Name == "" || m.Address == "" {
			answer(nil, kernel.ErrInvalid.New("a voter needs an identity, a name and an address"))
			return
		}
		for _, ms := range v.core.Status().Members {
			if ms.Member.Id != m.Id {
				continue
			}
			if ms.Member.Address != m.Address || ms.Member.Name != m.Name {
				v.proposeMemberChange(&raftpb.MemberChange{Kind: raftpb.ChangeKind_CHANGE_KIND_UPDATE, Member: m})
			}
			answer(&controlpb.JoinResponse{Voter: ms.Member.Voter, Group: v.voters.Group()}, nil)
			return
		}
		m.Voter = false
		v.proposeMemberChange(&raftpb.MemberChange{Kind: raftpb.ChangeKind_CHANGE_KIND_ADD_LEARNER, Member: m})
		answer(&controlpb.JoinResponse{Group: v.voters.Group()}, nil)
	})
}

func (v *Voter) serveRemove(ctx context.Context, _ string, req *controlpb.RemoveRequest) (proto.Message, error) {
	return runInLoop(ctx, v, func(answer func(proto.Message, error)) {
		if !v.leading {
			answer(&controlpb.RemoveResponse{Redirect: v.redirect()}, nil)
			return
		}
		ch := &raftpb.MemberChange{
			Kind: raftpb.ChangeKind_CHANGE_KIND_REMOVE, Member: &raftpb.Member{Id: req.Id}, Force: req.Force,
		}
		if req.Stopping {
			if !newMemberPolicy(v.cfg).mayLeave(v.core.Status().Members, req.Id) {
				answer(&controlpb.RemoveResponse{Group: v.voters.Group()}, nil)
				return
			}
			// It stops in any case, so the others need a quorum only; not all of them have to be caught up.
			ch.Force = true
		}
		if _, err := v.core.ProposeMemberChange(ch); err != nil {
			answer(nil, kernel.ErrConflict.New("%v", err))
			return
		}
		answer(&controlpb.RemoveResponse{Group: v.voters.Group()}, nil)
	})
}

// TransferLeadership hands leadership to the voter with the most complete log, if this voter leads.
func (v *Voter) TransferLeadership(ctx context.Context) error {
	return v.post(ctx, v.transferLeadership)
}

func (v *Voter) transferLeadership() {
	st := v.core.Status()
	if st.Role != raft.Leader {
		return
	}
	var best raft.MemberStatus
	for _, m := range st.Members {
		if m.Member.Id != st.ID && m.Member.Voter && m.CaughtUp && (best.Member == nil || m.MatchIndex > best.MatchIndex) {
			best = m
		}
	}
	if best.Member == nil {
		return
	}
	if err := v.core.TransferLeadership(best.Member.Id); err != nil {
		v.cfg.Log.Info("cannot transfer leadership", "reason", err.Error())
	}
}

// proposeMemberChange proposes a membership change. A rejected change is proposed again when manageVoters runs next or
// the voter asks again to join.
func (v *Voter) proposeMemberChange(ch *raftpb.MemberChange) {
	if _, err := v.core.ProposeMemberChange(ch); err != nil {
		v.cfg.Log.V(1).Info("cannot propose membership change yet", "kind", ch.Kind.String(), "reason", err.Error())
		return
	}
	v.cfg.Log.Info("proposed membership change of the control group", "kind", ch.Kind.String(), "member", ch.Member.Id)
	v.cfg.Record(timeline.Event{Kind: "member-change", Text: ch.Kind.String() + " " + ch.Member.Id})
}

// memberAddresses returns the peer addresses of the members, the silent ones last, as processes that search for the
// leader ask the members in this order.
func (v *Voter) memberAddresses() []string {
	st := v.core.Status()
	now := v.now()
	var list, silent []string
	for _, m := range st.Members {
		if m.Member.Id == st.ID || v.heardLately(m.Member.Id, now) {
			list = append(list, m.Member.Address)
		} else {
			silent = append(silent, m.Member.Address)
		}
	}
	return append(list, silent...)
}

// publishVoters proposes the voters as the next membership of the at-most-once record if they have changed.
func (v *Voter) publishVoters(members []raft.MemberStatus) {
	var voters []*claimpb.Voter
	for _, m := range members {
		if m.Member.Voter {
			voters = append(voters, &claimpb.Voter{Identity: m.Member.Id, Address: m.Member.Address})
		}
	}
	if voter.Equal(voters, v.voters.NewestMembership().GetVoters()) || voter.Equal(voters, v.proposedVoters) {
		return
	}
	c, err := voter.NewSetCommand(voters)
	if err == nil {
		_, err = v.appendCommand(c)
	}
	if err != nil {
		v.cfg.Log.Info("cannot propose the membership of the at-most-once record yet", "reason", err.Error())
		return
	}
	v.proposedVoters = voters
}
