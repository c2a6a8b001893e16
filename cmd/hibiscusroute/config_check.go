package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

func init() {
	register(command{
		path: "config check", short: "Check a configuration and list every fault",
		build: func(a *app) flags.Commander { return &configCheck{app: a} },
	})
}

type configCheck struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE" description:"document to check, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (c *configCheck) Execute([]string) error {
	cfg, _, err := c.app.readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	return c.app.printResult(map[string]int{
		"pools": len(cfg.Pools), "instances": len(cfg.Instances), "teams": len(cfg.Teams), "queues": len(cfg.Queues),
	}, "no faults: %d pools, %d instances, %d teams, %d queues",
		len(cfg.Pools), len(cfg.Instances), len(cfg.Teams), len(cfg.Queues))
}

// readConfiguration reads, parses and validates a configuration. It also returns the content as read.
func (a *app) readConfiguration(name string) (*fleet.Configuration, []byte, error) {
	data, err := a.readInput(name)
	if err != nil {
		return nil, nil, err
	}
	cfg, err := fleet.Parse(data)
	if err != nil {
		return nil, nil, &operator.Error{Kind: operator.KindMalformed, Message: name + ": " + err.Error()}
	}
	if faults := cfg.Check(); len(faults) > 0 {
		return nil, nil, &operator.Error{
			Kind: operator.KindInvalid, Message: name + " has faults; correct these:", Faults: faults,
		}
	}
	return cfg, data, nil
}
