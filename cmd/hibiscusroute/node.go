package main

import (
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/node"
	"github.com/hibiscusroute/hibiscusroute/internal/setting"
)

func init() {
	register(command{
		path: "node", short: "Run a process until it is told to stop by SIGTERM or SIGINT",
		build: func(a *app) flags.Commander { return &nodeCommand{app: a} },
	})
}

// nodeGCPercent keeps a process within its memory limit. The heap is small, so frequent collections are cheap.
const nodeGCPercent = 40

type nodeCommand struct {
	setting.Node

	app *app
}

// Execute runs the process and logs to the standard error stream.
func (c *nodeCommand) Execute([]string) error {
	p, err := c.Load()
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(nodeGCPercent)
	}
	if p.MemoryMiB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(p.MemoryMiB) * (1 << 20)))
	}
	log, logOutput := startLog(c.app.err, 0, c.Log.Logger)
	defer logOutput.close()
	n, err := node.New(node.Config{Process: p, Log: log})
	if err != nil {
		return err
	}
	return n.Run(c.app.ctx)
}
