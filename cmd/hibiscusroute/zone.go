package main

import (
	"context"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/platform"
)

func init() {
	register(command{
		path: "zone evacuate", short: "Start nothing in an availability zone any more, and move long-running tasks out of it",
		build: func(a *app) flags.Commander { return &zoneOrder{app: a} },
	})
	register(command{
		path: "zone restore", short: "Return an availability zone to service",
		build: func(a *app) flags.Commander { return &zoneOrder{app: a, restore: true} },
	})
}

type zoneOrder struct {
	app     *app
	restore bool

	Controls []string      `long:"control" env:"HIBISCUSROUTE_CONTROLS" env-delim:"," required:"yes" description:"host:port of a control process for operators; repeatable, comma-separated in the environment"`
	Deadline time.Duration `long:"deadline" env:"HIBISCUSROUTE_DEADLINE" default:"30s" description:"time for the order with all its repeats"`
	Args     struct {
		Zone string `positional-arg-name:"ZONE" description:"availability zone, as in the settings of the control processes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *zoneOrder) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.app.ctx, c.Deadline)
	defer cancel()
	action, done := "evacuate", "evacuated"
	if c.restore {
		action, done = "restore", "in service"
	}
	err := platform.OrderZone(ctx, c.Controls, c.Args.Zone, c.restore)
	switch {
	case errorx.IsOfType(err, platform.ErrNoAcknowledgement):
		return &operator.Error{
			Kind: operator.KindOutcomeUnknown,
			Message: errorx.Cast(err).Message() + "\nrun: hibiscusroute zone " + action + " --control " +
				strings.Join(c.Controls, " --control ") + " " + c.Args.Zone,
		}
	case err != nil:
		return err
	}
	result := struct {
		Zone  string `json:"zone"`
		State string `json:"state"`
	}{c.Args.Zone, done}
	return c.app.printResult(result, "zone %s is %s", c.Args.Zone, done)
}
