package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

func init() {
	register(command{
		path: "config diff", short: "List the changes from a configuration to another and what they move",
		build: func(a *app) flags.Commander { return &configDiff{app: a} },
	})
}

type configDiff struct {
	app *app
	clientFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"newer document, or the older one when NEW is given; - for standard input" required:"yes"`
		New  string `positional-arg-name:"NEW" description:"newer document; when left out, FILE is compared with the accepted one"`
	} `positional-args:"yes"`
}

func (c *configDiff) Execute([]string) error {
	older, newer, err := c.configurations()
	if err != nil {
		return err
	}
	d := fleet.Diff(older, newer)
	if c.app.JSON {
		return c.app.printJSON(d)
	}
	if len(d.Changes) == 0 {
		return c.app.print("no changes\n")
	}
	return c.app.print("%s", d)
}

// configurations returns the two configurations to compare.
func (c *configDiff) configurations() (older, newer *fleet.Configuration, err error) {
	first, _, err := c.app.readConfiguration(c.Args.File)
	if err != nil {
		return nil, nil, err
	}
	if c.Args.New == "" {
		older, err = c.acceptedConfiguration()
		return older, first, err
	}
	newer, _, err = c.app.readConfiguration(c.Args.New)
	return first, newer, err
}

// acceptedConfiguration returns the configuration that was accepted last, or an empty one before the first submission.
func (c *configDiff) acceptedConfiguration() (*fleet.Configuration, error) {
	client, err := c.Client.Load()
	if err != nil {
		return nil, err
	}
	version, doc, err := client.Configuration(c.app.ctx)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return &fleet.Configuration{Format: fleet.Format},
			c.app.printNote("no configuration was submitted yet; submit with --base 0")
	}
	cfg, err := fleet.Parse(doc)
	if err != nil {
		return nil, err
	}
	return cfg, c.app.printNote("compared with version %d; submit with --base %d", version, version)
}
