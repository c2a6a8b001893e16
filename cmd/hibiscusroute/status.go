package main

import (
	"maps"
	"slices"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		path: "status", short: "Print the state of the first process that answers",
		build: func(a *app) flags.Commander { return &status{app: a} },
	})
}

type status struct {
	app *app
	remote
}

func (c *status) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	s, err := client.Status(c.app.ctx)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(s)
	}
	rows := [][]any{
		{"process", s.Process}, {"availability zone", s.AvailabilityZone}, {"role", s.Role}, {"leader", s.Leader},
		{"term", s.Term}, {"commit", s.Commit}, {"applied", s.Applied}, {"configuration version", s.Version},
		{"lease held", s.Lease},
	}
	for _, plugin := range slices.Sorted(maps.Keys(s.Halted)) {
		rows = append(rows, []any{"halted " + plugin, s.Halted[plugin]})
	}
	if err := c.app.table(rows); err != nil || len(s.Followers) == 0 {
		return err
	}
	rows = [][]any{{"FOLLOWER", "APPLIED", "RENEWED MS AGO"}}
	for _, f := range s.Followers {
		rows = append(rows, []any{f.Process, f.Applied, f.RenewedMs})
	}
	return c.app.table(rows)
}
