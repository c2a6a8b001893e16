package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

func init() {
	register(command{
		path: "config submit", short: "Submit a configuration in place of a version",
		build: func(a *app) flags.Commander { return &configSubmit{app: a} },
	})
}

type configSubmit struct {
	app *app
	clientFlags
	changeFlags
	// Base has no default: defaulting to the newest version would overwrite a concurrent submission of another operator.
	Base *uint64 `long:"base" env:"HIBISCUSROUTE_BASE" description:"version that the document replaces, as config show prints it; 0 for the first one"`
	Wait bool    `long:"wait" env:"HIBISCUSROUTE_WAIT" description:"wait until the version is in force everywhere"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"document to submit, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (c *configSubmit) Execute([]string) error {
	if c.Base == nil {
		return errUsage.New("--base is missing: give the version that the document replaces")
	}
	_, data, err := c.app.readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	id := c.operationID()
	a, err := client.Submit(c.app.ctx, operator.Submission{
		OperationID: id, BaseVersion: *c.Base, Document: data, WaitInForce: c.Wait,
	})
	if err != nil {
		return withRetryCommand(err, fmt.Sprintf("config submit --base %d --operation-id %s %s", *c.Base, id, c.Args.File))
	}
	if a.InForceError != "" {
		return fmt.Errorf("version %d is accepted, so don't submit it again, but it is not known to be in force everywhere: "+
			"%s; see status", a.Version, a.InForceError)
	}
	if a.InForceMs != nil {
		took := time.Duration(*a.InForceMs) * time.Millisecond
		return c.app.printResult(a, "accepted as version %d; in force everywhere after %v", a.Version, took)
	}
	return c.app.printResult(a, "accepted as version %d", a.Version)
}

// operationID returns the given operation ID, or a new one if none was given.
func (c *changeFlags) operationID() string {
	if c.OperationID == "" {
		return operator.NewOperationID()
	}
	return c.OperationID
}

// withRetryCommand adds the command that retries the operation to an error with an unknown outcome.
func withRetryCommand(err error, text string) error {
	var e *operator.Error
	if !errors.As(err, &e) || e.Kind != operator.KindOutcomeUnknown {
		return err
	}
	repeated := *e
	repeated.Message += "\nrun: hibiscusroute " + text
	return &repeated
}
