package node

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/setting"
)

// Guards against a voter that lost its disk and was started with the bootstrap setting again: the group that it founds
// must not be taken for the one that holds the configuration.
func TestSecondGroupIsNotFollowed(t *testing.T) {
	nodes := startGroup(t, nil, 3, 1)
	submit(t, nodes[3], document(), 0)
	group, address := nodes[3].client.Group(), nodes[0].peerAddress()
	nodes[0].halt(t)
	p := setting.Process{
		Name: "node-1", Voter: true, Bootstrap: true, DataDirectory: t.TempDir() + "/data", Peer: address,
	}
	impostor := startNode(t, p, nil)
	eventually(t, "second group has a leader", func() bool { return impostor.client.Group() != "" })
	assert.Assert(t, impostor.client.Group() != group)
	rest := nodes[1:]
	eventually(t, "first group has a leader", func() bool { return leaderOf(rest) != nil })
	for _, n := range rest {
		// The address of the second group's leader is the first that was configured.
		_, err := n.client.Query(context.Background(), "member", nil)
		assert.NilError(t, err)
		assert.Equal(t, n.client.Group(), group)
		eventually(t, "lease of the first group", n.leased)
		assert.Equal(t, n.follower.Last().Version(), uint64(1))
	}
}
