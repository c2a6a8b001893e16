package main

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

func init() {
	register(command{
		path: "key grant", short: "Draw a key for a team and print it",
		build: func(a *app) flags.Commander { return &keyGrant{app: a} },
	})
	register(command{
		path: "key revoke", short: "Revoke a key by its identifier",
		build: func(a *app) flags.Commander { return &keyRevoke{app: a} },
	})
	register(command{
		path: "key list", short: "List the keys, revoked ones included",
		build: func(a *app) flags.Commander { return &keyList{app: a} },
	})
}

type keyGrant struct {
	app *app
	clientFlags
	Args struct {
		Team string `positional-arg-name:"TEAM" description:"team for which the key is granted"`
	} `positional-args:"yes" required:"yes"`
}

func (c *keyGrant) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	secret, err := client.Grant(c.app.ctx, "", c.Args.Team)
	var e *operator.Error
	if errors.As(err, &e) && e.Kind == operator.KindOutcomeUnknown {
		// The secret isn't printed, so the key can't be used even if it was granted. A retry with the same operation ID
		// would therefore be useless; the operator grants another key instead.
		return &operator.Error{
			Kind: e.Kind,
			Message: fmt.Sprintf("it is unknown whether key %s was granted: if key list shows it, "+
				"run key revoke %s, then grant another one", secret.ID(), secret.ID()),
		}
	}
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(map[string]string{"id": secret.ID(), "team": c.Args.Team, "key": secret.String()})
	}
	if err := c.app.printNote(
		"key %s for team %s; store it now, it can't be shown again", secret.ID(), c.Args.Team,
	); err != nil {
		return err
	}
	return c.app.print("%s\n", secret)
}

type keyRevoke struct {
	app *app
	clientFlags
	changeFlags
	Args struct {
		ID string `positional-arg-name:"ID" description:"identifier of the key"`
	} `positional-args:"yes" required:"yes"`
}

func (c *keyRevoke) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	id := c.operationID()
	if err := client.Revoke(c.app.ctx, id, c.Args.ID); err != nil {
		return withRetryCommand(err, fmt.Sprintf("key revoke --operation-id %s %s", id, c.Args.ID))
	}
	return c.app.printResult(map[string]string{"revoked": c.Args.ID}, "revoked key %s", c.Args.ID)
}

type keyList struct {
	app *app
	clientFlags
}

func (c *keyList) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	list, err := client.Keys(c.app.ctx)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(list)
	}
	rows := [][]any{{"ID", "TEAM", "GRANTED", "REVOKED"}}
	for _, k := range list {
		revoked := "-"
		if k.RevokedAt != nil {
			revoked = k.RevokedAt.Format(time.RFC3339)
		}
		rows = append(rows, []any{k.ID, k.Team, k.GrantedAt.Format(time.RFC3339), revoked})
	}
	return c.app.printTable(rows)
}

// printTable prints rows with aligned columns.
func (a *app) printTable(rows [][]any) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			separator := "\t"
			if i == len(row)-1 {
				separator = "\n"
			}
			if _, err := fmt.Fprint(w, cell, separator); err != nil {
				return err
			}
		}
	}
	return w.Flush()
}
