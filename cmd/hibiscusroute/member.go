package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

func init() {
	register(command{
		path: "member list", short: "List the members of the control group",
		build: func(a *app) flags.Commander { return &memberList{app: a} },
	})
	register(command{
		path: "member add", short: "Add a member as a learner",
		build: func(a *app) flags.Commander { return &memberAdd{app: a} },
	})
	register(command{
		path: "member replace", short: "Add a member, promote it once it is caught up, and remove another",
		build: func(a *app) flags.Commander { return &memberReplace{memberAdd: memberAdd{app: a}} },
	})
	register(command{
		path: "member promote", short: "Make a learner that is caught up a voter",
		build: func(a *app) flags.Commander { return &memberChange{app: a, action: operator.PromoteMember} },
	})
	register(command{
		path: "member remove", short: "Remove a member",
		build: func(a *app) flags.Commander { return &memberChange{app: a, action: operator.RemoveMember} },
	})
}

type memberList struct {
	app *app
	clientFlags
}

func (c *memberList) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	list, err := client.Members(c.app.ctx)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(list)
	}
	rows := [][]any{{"IDENTITY", "NAME", "ZONE", "ADDRESS", "ROLE", "LEADER", "CAUGHT UP", "MATCH"}}
	for _, m := range list {
		rows = append(rows, []any{m.Identity, m.Name, m.AvailabilityZone, m.Address, m.Role, m.IsLeader, m.CaughtUp, m.Match})
	}
	return c.app.printTable(rows)
}

// memberArgs holds the argument of commands that change a member.
type memberArgs struct {
	Identity string `positional-arg-name:"IDENTITY" description:"identity of the member, which its data directory holds"`
}

type memberAdd struct {
	app *app
	clientFlags
	changeFlags
	Name             string     `long:"name" env:"HIBISCUSROUTE_MEMBER_NAME" description:"name of the process"`
	Address          string     `long:"address" env:"HIBISCUSROUTE_MEMBER_ADDRESS" description:"IP address and port of its peer listener"`
	AvailabilityZone string     `long:"availability-zone" env:"HIBISCUSROUTE_MEMBER_AVAILABILITY_ZONE" description:"its availability zone"`
	Args             memberArgs `positional-args:"yes" required:"yes"`
}

func (c *memberAdd) Execute([]string) error { return c.execute(operator.AddMember, "") }

func (c *memberAdd) execute(action operator.Action, replaces string) error {
	return c.app.changeMember(&c.clientFlags, &c.changeFlags, operator.MemberChange{
		Action: action, Identity: c.Args.Identity, Name: c.Name, Address: c.Address, AvailabilityZone: c.AvailabilityZone,
		Replaces: replaces,
	})
}

type memberReplace struct {
	memberAdd
	Replaces string `long:"replaces" env:"HIBISCUSROUTE_MEMBER_REPLACES" description:"identity of the member that is removed"`
}

func (c *memberReplace) Execute([]string) error { return c.execute(operator.ReplaceMember, c.Replaces) }

type memberChange struct {
	app    *app
	action operator.Action
	clientFlags
	changeFlags
	Args memberArgs `positional-args:"yes" required:"yes"`
}

func (c *memberChange) Execute([]string) error {
	return c.app.changeMember(&c.clientFlags, &c.changeFlags, operator.MemberChange{
		Action: c.action, Identity: c.Args.Identity,
	})
}

func (a *app) changeMember(r *clientFlags, c *changeFlags, ch operator.MemberChange) error {
	client, err := r.Client.Load()
	if err != nil {
		return err
	}
	ch.OperationID = c.operationID()
	if err := client.ChangeMember(a.ctx, ch); err != nil {
		return withRetryCommand(err, fmt.Sprintf("member %s --operation-id %s %s, with the same other flags", ch.Action,
			ch.OperationID, ch.Identity))
	}
	return a.printResult(ch, "%s of member %s is done", ch.Action, ch.Identity)
}
