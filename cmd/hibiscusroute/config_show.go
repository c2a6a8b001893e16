package main

import (
	"encoding/json"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		path: "config show", short: "Print the configuration that was accepted last and its version",
		build: func(a *app) flags.Commander { return &configShow{app: a} },
	})
}

type configShow struct {
	app *app
	clientFlags
}

func (c *configShow) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	version, doc, err := client.Configuration(c.app.ctx)
	if err != nil {
		return err
	}
	if c.app.JSON {
		shown := struct {
			Version  uint64          `json:"version"`
			Document json.RawMessage `json:"document"`
		}{Version: version, Document: doc}
		if version == 0 {
			shown.Document = json.RawMessage("null")
		}
		return c.app.printJSON(shown)
	}
	if version == 0 {
		return c.app.printNote("no configuration was submitted yet; submit one with --base 0")
	}
	if err := c.app.printNote("version %d", version); err != nil {
		return err
	}
	return c.app.print("%s", doc)
}
