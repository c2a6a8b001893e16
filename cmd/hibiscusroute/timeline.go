package main

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	events "github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

func init() {
	register(command{
		path: "timeline", short: "Merge and print the events of all given processes and files",
		build: func(a *app) flags.Commander { return &timelineCommand{app: a} },
	})
}

type timelineCommand struct {
	app *app
	clientFlags
	Request  string `long:"request" env:"HIBISCUSROUTE_TIMELINE_REQUEST" description:"only events of this request"`
	Job      string `long:"job" env:"HIBISCUSROUTE_TIMELINE_JOB" description:"only events of this job, given as TEAM/JOB"`
	Instance string `long:"instance" env:"HIBISCUSROUTE_TIMELINE_INSTANCE" description:"only events of this instance"`
	Team     string `long:"team" env:"HIBISCUSROUTE_TEAM" description:"only events of this team"`
	Version  uint64 `long:"version" env:"HIBISCUSROUTE_TIMELINE_VERSION" description:"only events of this configuration version"`
	Kind     string `long:"kind" env:"HIBISCUSROUTE_TIMELINE_KIND" description:"only events of this kind"`
	Offline  bool   `long:"offline" env:"HIBISCUSROUTE_TIMELINE_OFFLINE" description:"read only the files, and ask no process"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" description:"events that were saved with --json and without filters"`
	} `positional-args:"yes"`
}

func (c *timelineCommand) Execute([]string) error {
	var dumps []events.Dump
	for _, name := range c.Args.Files {
		data, err := c.app.readInput(name)
		if err != nil {
			return err
		}
		entries, err := events.Decode(bytes.NewReader(data))
		if err != nil {
			return errorx.Decorate(err, "%s", name)
		}
		dumps = append(dumps, events.Dump{Process: name, Entries: entries})
	}
	failed := 0
	if !c.Offline {
		client, err := c.Client.Load()
		if err != nil {
			return err
		}
		fetched := client.Timelines(c.app.ctx)
		for _, d := range fetched {
			if d.Err != nil {
				failed++
			}
		}
		if failed == len(fetched) && len(dumps) == 0 {
			return errorx.Decorate(fetched[0].Err, "no process answered")
		}
		dumps = append(dumps, fetched...)
	}
	entries := events.Filter{
		Kind: c.Kind, Request: c.Request, Job: c.Job, Instance: c.Instance, Team: c.Team, Version: c.Version,
	}.Apply(events.Merge(dumps))
	if c.app.JSON {
		return events.Encode(c.app.out, entries)
	}
	rows := [][]any{{"TIME", "PROCESS", "KIND", "ABOUT", "TEXT"}}
	for i := range entries {
		rows = append(rows, timelineRow(&entries[i]))
	}
	return c.app.printTable(rows)
}

func formatVersion(v uint64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatUint(v, 10)
}

func timelineRow(e *events.Entry) []any {
	at := "-"
	if e.Stamp > 0 {
		at = events.StampTime(e.Stamp).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	var about []string
	for _, f := range []struct{ name, value string }{
		{"request", e.Request}, {"job", e.Job}, {"instance", e.Instance}, {"team", e.Team},
		{"version", formatVersion(e.Version)},
	} {
		if f.value != "" {
			about = append(about, f.name+"="+f.value)
		}
	}
	return []any{at, e.Process, e.Kind, orDash(strings.Join(about, " ")), orDash(e.Text)}
}
