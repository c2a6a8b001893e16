package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/platform"
)

func init() {
	register(command{
		path: "explain", short: "Tell where a job would go now and why, without submitting it",
		build: func(a *app) flags.Commander { return &explainJob{app: a} },
	})
}

type explainJob struct {
	app *app

	Controls []string      `long:"control" env:"HIBISCUSROUTE_CONTROLS" env-delim:"," required:"yes" description:"host:port of a control process for operators; repeatable, comma-separated in the environment"`
	Host     string        `long:"host" env:"HIBISCUSROUTE_EXPLAIN_HOST" required:"yes" description:"host of the queue"`
	Path     string        `long:"path" env:"HIBISCUSROUTE_EXPLAIN_PATH" required:"yes" description:"path prefix of the queue, as in the configuration"`
	KeyFile  string        `long:"client-key-file" env:"HIBISCUSROUTE_CLIENT_KEY_FILE" description:"file with a key of the client account; none for a public queue"`
	Deadline time.Duration `long:"deadline" env:"HIBISCUSROUTE_DEADLINE" default:"30s" description:"time for the call with all its repeats"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"job in JSON as clients submit it, - for the standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainJob) Execute([]string) error {
	job, err := c.app.readInput(c.Args.File)
	if err != nil {
		return err
	}
	q := platform.JobQuestion{Host: c.Host, Path: c.Path, Job: job}
	if c.KeyFile != "" {
		key, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return errorx.Decorate(err, "read the client key")
		}
		q.Key = strings.TrimSpace(string(key))
	}
	ctx, cancel := context.WithTimeout(c.app.ctx, c.Deadline)
	defer cancel()
	x, err := platform.Explain(ctx, c.Controls, q)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(x)
	}
	return x.WriteText(c.app.out)
}
