package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// partition simulates a silent network partition: data sent to or from an isolated process is lost without an error.
type partition struct {
	mu       sync.Mutex
	names    map[string]string // by peer address
	isolated map[string]bool   // names of isolated processes
	conns    map[*partitionedConn]bool
}

func newPartition() *partition {
	return &partition{names: map[string]string{}, isolated: map[string]bool{}, conns: map[*partitionedConn]bool{}}
}

func (p *partition) register(n *testNode) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.names[n.transport.Address()] = n.cfg.Process.Name
}

// isolate cuts the connections of a process to all other processes.
func (p *partition) isolate(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated[name] = true
}

// heal ends the partition. It closes the connections that lost data, as the TCP keep-alive would.
func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if p.isCut(c) {
			_ = c.Close()
		}
	}
	p.isolated = map[string]bool{}
}

func (p *partition) isCut(c *partitionedConn) bool {
	return c.from != c.to && (p.isolated[c.from] || p.isolated[c.to])
}

func (p *partition) dial(from string) func(ctx context.Context, address string) (net.Conn, error) {
	if p == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		p.mu.Lock()
		c := &partitionedConn{p: p, from: from, to: p.names[address]}
		cut := p.isCut(c)
		p.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		c.Conn = conn
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns[c] = true
		return c, nil
	}
}

type partitionedConn struct {
	net.Conn
	p        *partition
	from, to string
}

func (c *partitionedConn) isCut() bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	return c.p.isCut(c)
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.isCut() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isCut() {
			return n, err
		}
	}
}

func leaderOf(nodes []*testNode) *testNode {
	for _, n := range nodes {
		if n.voter != nil && n.voter.Leading() {
			return n
		}
	}
	return nil
}

// Guards against a leader that stays leader while it is isolated, against an isolated process that serves a revoked
// key, and against a member that causes an election when it returns.
func TestSilentPartitionOfLeader(t *testing.T) {
	network := newPartition()
	nodes := startGroup(t, network, 3, 1)
	submit(t, nodes[3], testConfiguration(), 0)
	id, key := grantKey(t, nodes[3], "billing")
	oldLeader := leaderOf(nodes)
	startEndpoint(t, oldLeader, "worker-1")
	eventually(t, "answer at the leader", func() bool {
		return oldLeader.request(t, "GET", "/queues/plates/x", key, "").status == 200
	})
	network.isolate(oldLeader.cfg.Process.Name)
	var others []*testNode
	for _, n := range nodes {
		if n != oldLeader {
			others = append(others, n)
		}
	}
	eventually(t, "new leader", func() bool { return leaderOf(others) != nil })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, others[2].operatorClient(t).Revoke(ctx, "revoke-1", id))
	revoked := time.Now()
	eventually(t, "isolated process rejects requests", func() bool {
		r := oldLeader.request(t, "GET", "/queues/plates/x", key, "")
		return r.status == 503 && r.outcome == "not-run"
	})
	t.Logf("isolated process rejected requests %v after the revocation", time.Since(revoked))
	assert.Assert(t, !oldLeader.voter.Leading())
	leader := leaderOf(others)
	term := leader.term(t)
	network.heal()
	eventually(t, "lease after the partition", oldLeader.hasLease)
	assert.Equal(t, oldLeader.request(t, "GET", "/queues/plates/x", key, "").status, 401)
	assert.Equal(t, leader.term(t), term)
}

func (n *testNode) term(t testing.TB) uint64 {
	t.Helper()
	st, err := n.voter.Status(context.Background())
	assert.NilError(t, err)
	return st.Term
}
