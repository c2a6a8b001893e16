package main

import "github.com/jessevdk/go-flags"

func init() {
	register(command{
		path: "timeline", short: "Print the events of the first process that answers as JSON lines",
		build: func(a *app) flags.Commander { return &timeline{app: a} },
	})
}

type timeline struct {
	app *app
	remote
}

func (c *timeline) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	return client.Timeline(c.app.ctx, c.app.out)
}
