package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		path: "status", short: "Print the state of the first process that answers, and the fleet as the leader sees it",
		build: func(a *app) flags.Commander { return &statusCommand{app: a} },
	})
}

type statusCommand struct {
	app *app
	clientFlags
}

func (c *statusCommand) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	s, err := client.Status(c.app.ctx)
	if err != nil || c.app.JSON {
		return c.app.printJSONUnlessError(s, err)
	}
	rows := [][]any{
		{"process", s.Process}, {"availability zone", s.AvailabilityZone}, {"role", s.Role}, {"leader", orDash(s.Leader)},
		{"term", s.Term}, {"commit", s.Commit}, {"applied", s.Applied}, {"configuration version", s.Version},
		{"lease held", s.HasLease},
	}
	for _, plugin := range sortedKeys(s.Halted) {
		rows = append(rows, []any{"halted " + plugin, s.Halted[plugin]})
	}
	if s.FleetError != "" {
		rows = append(rows, []any{"fleet", s.FleetError})
	}
	if err := c.app.printTable(rows); err != nil {
		return err
	}
	if len(s.Followers) > 0 {
		rows = [][]any{{"PROCESS", "ZONE", "LEASE", "VERSION", "APPLIED", "RENEWED MS AGO"}}
		for _, f := range s.Followers {
			rows = append(rows, []any{f.Process, orDash(f.AvailabilityZone), f.HasLease, f.Version, f.Applied, f.RenewedMs})
		}
		if err := c.app.printTable(rows); err != nil {
			return err
		}
	}
	if len(s.Rollouts) == 0 {
		return nil
	}
	rows = [][]any{{"VERSION", "IN FORCE AFTER", "WAITING FOR"}}
	for _, r := range s.Rollouts {
		after := "-"
		if r.InForceMs != nil {
			after = fmt.Sprintf("%d ms", *r.InForceMs)
		}
		rows = append(rows, []any{r.Version, after, orDash(strings.Join(r.Waiting, ", "))})
	}
	return c.app.printTable(rows)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
