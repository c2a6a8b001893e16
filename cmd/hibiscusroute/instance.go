package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

func init() {
	register(command{
		path: "instance list", short: "List the instances with their pools and conditions",
		build: func(a *app) flags.Commander { return &instanceList{app: a} },
	})
	register(command{
		path: "instance move", short: "Move an instance to a pool",
		build: func(a *app) flags.Commander { return &instanceMove{app: a} },
	})
	register(command{
		path: "instance quarantine", short: "Stop or, with --off, allow new work on an instance",
		build: func(a *app) flags.Commander { return &instanceQuarantine{app: a} },
	})
}

type instanceList struct {
	app *app
	clientFlags
}

func (c *instanceList) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	list, err := client.Instances(c.app.ctx)
	if err != nil || c.app.JSON {
		return c.app.printJSONUnlessError(list, err)
	}
	rows := [][]any{{"INSTANCE", "POOL", "CONDITION", "MOVE", "REQUESTED", "LOSSES", "REASON"}}
	for _, in := range list {
		move := in.Move
		if in.To != "" {
			move += " to " + in.To
		}
		rows = append(rows, []any{
			in.Instance, in.Pool, in.Condition, orDash(move), orDash(in.Requested), in.Losses, orDash(in.Reason),
		})
	}
	return c.app.printTable(rows)
}

// printJSONUnlessError prints v as JSON, or returns err if it isn't nil.
func (a *app) printJSONUnlessError(v any, err error) error {
	if err != nil {
		return err
	}
	return a.printJSON(v)
}

// orDash returns s, or a dash if s is empty, so that no table cell is blank.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

type instanceMove struct {
	app *app
	clientFlags
	changeFlags
	Args struct {
		Instance string `positional-arg-name:"INSTANCE" description:"name of the instance"`
		Pool     string `positional-arg-name:"POOL" description:"pool to which it moves; its present pool cancels a move"`
	} `positional-args:"yes" required:"yes"`
}

func (c *instanceMove) Execute([]string) error {
	return c.app.changeInstance(&c.clientFlags, &c.changeFlags, operator.InstanceChange{
		Action: operator.MoveInstance, Instance: c.Args.Instance, Pool: c.Args.Pool,
	}, "move --operation-id %s "+c.Args.Instance+" "+c.Args.Pool)
}

type instanceQuarantine struct {
	app *app
	clientFlags
	changeFlags
	Off    bool   `long:"off" env:"HIBISCUSROUTE_QUARANTINE_OFF" description:"allow new work again"`
	Reason string `long:"reason" env:"HIBISCUSROUTE_QUARANTINE_REASON" description:"why, for the list of instances and the time line"`
	Args   struct {
		Instance string `positional-arg-name:"INSTANCE" description:"name of the instance"`
	} `positional-args:"yes" required:"yes"`
}

func (c *instanceQuarantine) Execute([]string) error {
	action := operator.QuarantineInstance
	if c.Off {
		action = operator.ReleaseInstance
	}
	return c.app.changeInstance(&c.clientFlags, &c.changeFlags, operator.InstanceChange{
		Action: action, Instance: c.Args.Instance, Reason: c.Reason,
	}, "quarantine --operation-id %s "+c.Args.Instance+", with the same other flags")
}

// changeInstance sends a change; retryArgs is the format of the arguments that retry it, with the operation ID as verb.
func (a *app) changeInstance(r *clientFlags, c *changeFlags, ch operator.InstanceChange, retryArgs string) error {
	client, err := r.Client.Load()
	if err != nil {
		return err
	}
	ch.OperationID = c.operationID()
	if err := client.ChangeInstance(a.ctx, ch); err != nil {
		return withRetryCommand(err, "instance "+fmt.Sprintf(retryArgs, ch.OperationID))
	}
	return a.printResult(ch, "%s of instance %s is accepted", ch.Action, ch.Instance)
}
