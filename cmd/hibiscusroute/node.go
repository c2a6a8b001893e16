package main

import (
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
	n, err := node.New(node.Config{Process: p, Log: c.Log.Logger(c.app.err)})
	if err != nil {
		return err
	}
	return n.Run(c.app.ctx)
}
