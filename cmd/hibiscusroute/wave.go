package main

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

func init() {
	register(command{
		path: "wave list", short: "List the waves with their permits",
		build: func(a *app) flags.Commander { return &waveList{app: a} },
	})
	for _, v := range []struct {
		action operator.Action
		short  string
	}{
		{operator.StartWave, "Start a wave"},
		{operator.PauseWave, "Grant no further permits of a wave"},
		{operator.ResumeWave, "Continue a wave that was paused or that halted"},
		{operator.AbortWave, "End a wave; permits in use run to their end"},
	} {
		register(command{
			path: "wave " + string(v.action), short: v.short,
			build: func(a *app) flags.Commander { return &waveControl{app: a, action: v.action} },
		})
	}
	register(command{
		path: "wave decide", short: "Decide what happens to an instance that is stuck",
		build: func(a *app) flags.Commander { return &waveDecide{app: a} },
	})
}

type waveList struct {
	app *app
	clientFlags
}

func (c *waveList) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	list, err := client.Waves(c.app.ctx)
	if err != nil || c.app.JSON {
		return c.app.printJSONUnlessError(list, err)
	}
	rows := [][]any{{"WAVE", "PHASE", "MAINTAINED", "PENDING", "PERMITS", "REASON"}}
	for _, w := range list {
		var permits []string
		for _, p := range w.Permits {
			text := p.Instance + " " + p.Stage
			if p.Stuck {
				text += " (stuck)"
			}
			permits = append(permits, text)
		}
		rows = append(rows, []any{
			w.Wave, w.Phase, len(w.Maintained), len(w.Pending), orDash(strings.Join(permits, ", ")), orDash(w.Reason),
		})
	}
	return c.app.printTable(rows)
}

type waveControl struct {
	app    *app
	action operator.Action
	clientFlags
	changeFlags
	Args struct {
		Wave string `positional-arg-name:"WAVE" description:"name of the wave in the configuration"`
	} `positional-args:"yes" required:"yes"`
}

func (c *waveControl) Execute([]string) error {
	return c.app.changeWave(&c.clientFlags, &c.changeFlags, operator.WaveChange{
		Action: c.action, Wave: c.Args.Wave,
	}, c.Args.Wave)
}

type waveDecide struct {
	app *app
	clientFlags
	changeFlags
	Args struct {
		Instance string `positional-arg-name:"INSTANCE" description:"name of the stuck instance"`
		Choice   string `positional-arg-name:"CHOICE" description:"wait, force or give-up"`
	} `positional-args:"yes" required:"yes"`
}

func (c *waveDecide) Execute([]string) error {
	return c.app.changeWave(&c.clientFlags, &c.changeFlags, operator.WaveChange{
		Action: operator.DecideWave, Instance: c.Args.Instance, Choice: c.Args.Choice,
	}, c.Args.Instance+" "+c.Args.Choice)
}

func (a *app) changeWave(r *clientFlags, c *changeFlags, ch operator.WaveChange, args string) error {
	client, err := r.Client.Load()
	if err != nil {
		return err
	}
	ch.OperationID = c.operationID()
	if err := client.ChangeWave(a.ctx, ch); err != nil {
		return withRetryCommand(err, fmt.Sprintf("wave %s --operation-id %s %s", ch.Action, ch.OperationID, args))
	}
	return a.printResult(ch, "%s %s is accepted", ch.Action, args)
}
