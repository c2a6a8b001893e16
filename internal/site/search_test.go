package site_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/site"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// silentAddresses returns addresses on which nobody answers, like those of machines that are gone.
func silentAddresses(t *testing.T, n int) []string {
	t.Helper()
	var list []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, ln.Close()) })
		list = append(list, ln.Addr().String())
	}
	return list
}

// Guards against processes that never find the leader because the settings list machines that are gone before it.
func TestLeaderIsFoundBehindSilentSeeds(t *testing.T) {
	g := newControlGroup(t, founders+1)
	t.Run("control-process-joins", func(t *testing.T) {
		cfg := g.cfg
		cfg.Name, cfg.PeerAddress, cfg.DataDirectory = "core-3", g.addresses[founders], g.dirs[founders]
		cfg.Seeds = append(silentAddresses(t, 2), g.addresses[:founders]...)
		c, err := site.NewControl(cfg)
		assert.NilError(t, err)
		runUntilEnd(t, c.Run)
		awaitVoter(t, c)
	})
	t.Run("entry-process-calls", func(t *testing.T) {
		e, err := site.NewEntry(site.EntryConfig{
			Name: "front", PeerAddress: freeAddress(t), Seeds: append(silentAddresses(t, 4), g.addresses[:founders]...),
			Log: logr.Discard(),
		})
		assert.NilError(t, err)
		runUntilEnd(t, e.Run)
		executeUntilAnswered(t, e.Execute, &workloadpb.Command{Change: &workloadpb.Command_Inspect{
			Inspect: &workloadpb.Inspect{},
		}})
	})
}

// runUntilEnd runs a process until the test ends.
func runUntilEnd(t *testing.T, run func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { assert.Check(t, run(ctx)) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}
