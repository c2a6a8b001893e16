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
		build: func(a *app) flags.Commander { return &runNode{app: a} },
	})
}

// gcPercent keeps a process within its memory limit; the heap is small, so that collecting it more often costs little.
const gcPercent = 40

type runNode struct {
	setting.Node

	app *app
}

// Execute runs the process; the log goes to the standard error stream.
func (c *runNode) Execute([]string) error {
	p, err := c.Load()
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	n, err := node.New(node.Config{Process: p, Log: c.Log.Logger(c.app.err)})
	if err != nil {
		return err
	}
	return n.Run(c.app.ctx)
}
