package node

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

// memberPollInterval is the time between two status requests while a member catches up.
const memberPollInterval = 100 * time.Millisecond

// inForcePollInterval is the time between two status requests while a version rolls out.
const inForcePollInterval = 50 * time.Millisecond

// leaderStatusTimeout bounds the wait for the leader's part of a status, so that a status is answered without a leader
// too. It is longer than a failover.
const leaderStatusTimeout = 3 * time.Second

func (n *Node) buildOperator() error {
	var err error
	n.operator, err = operator.New(operator.Config{
		Propose: n.client.Propose, Query: n.client.Query, WaitInForce: n.awaitInForce, Status: n.status,
		Members: n.listMembers, ChangeMember: n.changeMember, Ready: n.checkReady, Timeline: n.dumpTimeline,
		Inbound: n.inbound, Metrics: n.metrics, Key: n.cfg.Process.OperatorKey, Log: n.cfg.Log,
	})
	return err
}

func (n *Node) checkReady() error {
	_, err := n.follower.View()
	return err
}

// awaitInForce waits until the leader reports a version as in force on every process, and returns how long that took.
func (n *Node) awaitInForce(ctx context.Context, version uint64) (time.Duration, error) {
	for {
		st, err := n.client.Status(ctx)
		if err != nil {
			return 0, err
		}
		for _, r := range st.Rollouts {
			if r.Version == version && r.InForceAfter > 0 {
				return time.Duration(r.InForceAfter), nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, peer.ErrInterrupted.Wrap(ctx.Err(), "version %d is not known to be in force yet", version)
		case <-time.After(inForcePollInterval):
		}
	}
}

func (n *Node) status(ctx context.Context) (operator.Status, error) {
	s := operator.Status{
		Process: n.cfg.Process.Name, AvailabilityZone: n.cfg.Process.AvailabilityZone, Role: "entry",
		HasLease: n.follower.HasLease(),
	}
	if v := n.follower.LatestView(); v != nil {
		s.Version, s.Applied = v.Version(), n.follower.AppliedIndex()
	}
	if n.voter != nil {
		if err := n.addVoterStatus(ctx, &s); err != nil {
			return s, err
		}
	}
	n.addLeaderStatus(ctx, &s)
	return s, nil
}

func (n *Node) addVoterStatus(ctx context.Context, s *operator.Status) error {
	st, err := n.voter.Status(ctx)
	if err != nil {
		return err
	}
	s.Role, s.Term, s.Commit, s.Applied, s.Halted = st.Role, st.Term, st.Commit, st.Applied, st.Halted
	for _, m := range st.Voters {
		if m.Member.Id == st.Leader {
			s.Leader = m.Member.Name
		}
	}
	return nil
}

// addLeaderStatus adds the leader's information about the followers and rollouts. If the leader can't be reached, the
// status holds the state of this process only.
func (n *Node) addLeaderStatus(ctx context.Context, s *operator.Status) {
	ctx, cancel := context.WithTimeout(ctx, leaderStatusTimeout)
	defer cancel()
	st, err := n.client.Status(ctx)
	if err != nil {
		s.FleetError = "the leader didn't answer: " + err.Error()
		return
	}
	s.Leader, s.Term = st.Name, st.Term
	for plugin, text := range st.Halted {
		if s.Halted == nil {
			s.Halted = map[string]string{}
		}
		s.Halted[plugin] = text
	}
	for _, p := range st.Processes {
		f := operator.Follower{
			Process: p.Id, AvailabilityZone: p.AvailabilityZone, Version: p.Version, Applied: p.Applied, HasLease: !p.Expired,
			RenewedMs: -1,
		}
		if p.Renewed >= 0 {
			f.RenewedMs = time.Duration(p.Renewed).Milliseconds()
		}
		s.Followers = append(s.Followers, f)
	}
	for _, r := range st.Rollouts {
		item := operator.Rollout{Version: r.Version, AcceptedAt: time.Unix(0, r.AcceptedAt).UTC(), Waiting: r.Waiting}
		if r.InForceAfter > 0 {
			ms := time.Duration(r.InForceAfter).Milliseconds()
			item.InForceMs = &ms
		}
		s.Rollouts = append(s.Rollouts, item)
	}
}

func (n *Node) listMembers(ctx context.Context) ([]operator.Member, error) {
	st, err := n.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	var list []operator.Member
	for _, m := range st.Voters {
		role := "learner"
		if m.Member.Voter {
			role = "voter"
		}
		list = append(list, operator.Member{
			Name: m.Member.Name, Identity: m.Member.Id, Address: m.Member.Address,
			AvailabilityZone: m.Member.AvailabilityZone, Role: role, IsLeader: m.Member.Id == st.Leader,
			Match: m.Match, CaughtUp: m.CaughtUp,
		})
	}
	return list, nil
}

// changeMember changes the control group. Each change is idempotent by the identity that it names. The leader promotes
// a learner by itself once it has caught up, so the promote action only waits for that.
func (n *Node) changeMember(ctx context.Context, ch operator.MemberChange) error {
	switch ch.Action {
	case operator.AddMember:
		return n.addMember(ctx, ch)
	case operator.PromoteMember:
		return n.awaitVoter(ctx, ch.Identity)
	case operator.ReplaceMember:
		if err := n.addMember(ctx, ch); err != nil {
			return err
		}
		if err := n.awaitVoter(ctx, ch.Identity); err != nil {
			return err
		}
		// The replaced member is known to be lost, so it is removed even while another voter is not caught up.
		return n.removeMember(ctx, ch.Replaces, true)
	case operator.RemoveMember:
		return n.removeMember(ctx, ch.Identity, false)
	}
	return kernel.ErrInvalid.New("unknown action %q", ch.Action)
}

func (n *Node) addMember(ctx context.Context, ch operator.MemberChange) error {
	_, err := n.client.AddVoter(ctx, &raftpb.Member{
		Id: ch.Identity, Name: ch.Name, Address: ch.Address, AvailabilityZone: ch.AvailabilityZone,
	})
	return err
}

// awaitVoter waits until a member is a voter.
func (n *Node) awaitVoter(ctx context.Context, identity string) error {
	for {
		list, err := n.listMembers(ctx)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(list, func(m operator.Member) bool { return m.Identity == identity })
		if i < 0 {
			return kernel.ErrNotFound.New("no member %s in the control group", identity)
		}
		if list[i].Role == "voter" {
			return nil
		}
		select {
		case <-ctx.Done():
			return peer.ErrInterrupted.Wrap(ctx.Err(), "member %s has not caught up yet", identity)
		case <-time.After(memberPollInterval):
		}
	}
}

// removeMember removes a member; removing an unknown member succeeds, so that a repeated command does too.
func (n *Node) removeMember(ctx context.Context, identity string, force bool) error {
	list, err := n.listMembers(ctx)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(list, func(m operator.Member) bool { return m.Identity == identity }) {
		return nil
	}
	return n.client.RemoveVoter(ctx, identity, force)
}

// dumpTimeline writes the recorded events of this process.
func (n *Node) dumpTimeline(_ context.Context, w io.Writer) error {
	return timeline.Encode(w, append(n.timeline.Dump(), n.requests.Dump()...))
}
