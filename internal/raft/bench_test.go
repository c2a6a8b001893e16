package raft

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// BenchmarkProposeCommit measures the time from a proposal until the leader has applied it, without a disk.
func BenchmarkProposeCommit(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newNetwork(b, size)
			l := w.waitForLeader()
			data := make([]byte, 256)
			b.ReportAllocs()
			for b.Loop() {
				index, err := l.Propose(data)
				if err != nil {
					b.Fatal(err)
				}
				for l.lastApplied < index {
					for _, id := range w.ids {
						n := w.nodes[id]
						for rd, ok := n.core.Ready(); ok; rd, ok = n.core.Ready() {
							messages := rd.Messages
							if rd.Save != nil {
								n.core.Saved(rd.Save)
								messages = append(messages, rd.Save.Messages...)
							}
							n.core.Advance(rd)
							for _, m := range messages {
								_ = w.nodes[m.To].core.Step(m)
							}
						}
					}
				}
				if l.lastApplied%1000 == 0 {
					for _, id := range w.ids {
						c := w.nodes[id].core
						if err := c.Compact(c.lastApplied, nil); err != nil {
							b.Fatal(err)
						}
					}
				}
			}
		})
	}
}

// FuzzStep guards against messages that make a member panic or leave its state inconsistent.
func FuzzStep(f *testing.F) {
	seed := newNetwork(f, 3)
	seed.drop = func(m *raftpb.Message) bool {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data, data)
		return false
	}
	seed.propose("a")
	seed.tick(2)
	f.Fuzz(func(t *testing.T, first, second []byte) {
		net := newNetwork(t, 3)
		n := net.nodes["m2"]
		for _, data := range [][]byte{first, second, first} {
			m := &raftpb.Message{}
			if proto.Unmarshal(data, m) != nil {
				continue
			}
			m.To = "m2"
			commit := n.core.commitIndex
			_ = n.core.Step(m)
			n.core.Tick()
			for rd, ok := n.core.Ready(); ok; rd, ok = n.core.Ready() {
				if rd.Save != nil {
					n.core.Saved(rd.Save)
				}
				n.core.Advance(rd)
			}
			if n.core.commitIndex < commit || n.core.commitIndex > n.core.log.lastIndex() ||
				n.core.lastApplied != n.core.commitIndex {
				t.Fatalf("commit index %d, last applied %d, last index %d after commit index %d", n.core.commitIndex,
					n.core.lastApplied, n.core.log.lastIndex(), commit)
			}
		}
	})
}
