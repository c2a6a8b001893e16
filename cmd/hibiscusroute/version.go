package main

import (
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

func init() {
	register(command{
		path: "version", short: "Print the version of the program",
		build: func(a *app) flags.Commander { return &versionCommand{app: a} },
	})
}

type versionCommand struct {
	app *app
}

func (c *versionCommand) Execute([]string) error {
	v := struct {
		Version  string `json:"version"`
		Revision string `json:"revision"`
		Go       string `json:"go"`
		Format   int    `json:"configuration-format"`
	}{Version: "unknown", Revision: "unknown", Format: fleet.Format}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version, v.Go = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v.Revision = s.Value
			}
		}
	}
	return c.app.printResult(v, "hibiscusroute %s, revision %s, %s, configuration format %d",
		v.Version, v.Revision, v.Go, v.Format)
}
