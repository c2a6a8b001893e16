package node

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

// Guards against member changes that report success without an effect, and against repeated changes that have a further
// effect.
func TestMemberChanges(t *testing.T) {
	nodes := startGroup(t, nil, 3, 0)
	ctx := context.Background()
	client := nodes[0].operatorClient(t)
	leader := leaderOf(nodes)
	var other *testNode
	for _, n := range nodes {
		if n != leader {
			other = n
		}
	}
	identity := other.store.Identity()
	remove := operator.MemberChange{Action: operator.RemoveMember, Identity: identity}
	add := operator.MemberChange{
		Action: operator.AddMember, Identity: identity, Name: other.cfg.Process.Name, Address: other.transport.Address(),
		AvailabilityZone: "zone-1",
	}
	steps := []struct {
		name   string
		change operator.MemberChange
		voters int
	}{
		{"remove a voter", remove, 2},
		{"remove it again", remove, 2},
		{"add it", add, 3},
		{"add it again", add, 3},
		{"promote it", operator.MemberChange{Action: operator.PromoteMember, Identity: identity}, 3},
	}
	for _, s := range steps {
		eventually(t, "every voter is caught up", func() bool { return allCaughtUp(leader) })
		assert.NilError(t, client.ChangeMember(ctx, s.change), s.name)
		eventually(t, s.name, func() bool { return groupSize(leader, s.voters) })
	}
	err := client.ChangeMember(ctx, operator.MemberChange{Action: operator.PromoteMember, Identity: "unknown"})
	assert.ErrorContains(t, err, "no member unknown")
}

func allCaughtUp(n *testNode) bool {
	list, err := n.listMembers(context.Background())
	for _, m := range list {
		if !m.CaughtUp {
			return false
		}
	}
	return err == nil
}
