package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/setting"
)

// command is a subcommand. The init function of the file that implements it registers it.
type command struct {
	// path is the name of the command, preceded by that of its group if it has one, such as "config check".
	path  string
	short string
	// build returns the struct of the command's flags, which has an Execute method.
	build func(a *app) flags.Commander
}

var commands []command

// groups maps the first word of two-word commands to its description.
var groups = map[string]string{
	"config":   "Check, compare, submit and show the configuration",
	"instance": "List, move and quarantine instances",
	"job":      "List, show and cancel jobs",
	"quota":    "Show who holds the upper limits of teams",
	"wave":     "Control planned maintenance",
	"key":      "Grant, revoke and list the keys of teams",
	"member":   "List and change the members of the control group",
	"zone":     "Evacuate availability zones and return them to service",
}

func register(c command) { commands = append(commands, c) }

// app holds the state and the output flags that all subcommands share.
type app struct {
	streams
	ctx  context.Context
	JSON bool `long:"json" env:"HIBISCUSROUTE_JSON" description:"print JSON, errors included"`
}

// errUsage reports an invalid command line.
var errUsage = errorx.NewNamespace("command-line").NewType("usage")

// run executes the subcommand that args name and returns the exit code.
func run(ctx context.Context, args []string, s streams) int {
	a := &app{streams: s, ctx: ctx}
	p, err := newParser(a)
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		return a.reportError(a.print("%s\n", usage.Message))
	}
	return a.reportError(err)
}

func newParser(a *app) (*flags.Parser, error) {
	p := flags.NewNamedParser("hibiscusroute", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "fleet capacity and maintenance manager"
	p.CommandHandler = func(c flags.Commander, args []string) error {
		if len(args) > 0 {
			return errUsage.New("unexpected argument %q", args[0])
		}
		return c.Execute(nil)
	}
	if _, err := p.AddGroup("Output", "", a); err != nil {
		return nil, err
	}
	sorted := slices.Clone(commands)
	slices.SortFunc(sorted, func(x, y command) int { return strings.Compare(x.path, y.path) })
	for _, c := range sorted {
		parent := p.Command
		group, name, nested := strings.Cut(c.path, " ")
		if !nested {
			name = group
		} else if parent = p.Find(group); parent == nil {
			var err error
			if parent, err = p.AddCommand(group, groups[group], "", &struct{}{}); err != nil {
				return nil, err
			}
		}
		if _, err := parent.AddCommand(name, c.short, "", c.build(a)); err != nil {
			return nil, errorx.Decorate(err, "set up command %s", c.path)
		}
	}
	return p, nil
}

// print writes human-readable output to the standard output.
func (a *app) print(format string, args ...any) error {
	_, err := fmt.Fprintf(a.out, format, args...)
	return err
}

// printNote writes a line that isn't part of the result to the standard error stream.
func (a *app) printNote(format string, args ...any) error {
	_, err := fmt.Fprintf(a.err, format+"\n", args...)
	return err
}

func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printResult prints v as JSON with --json, and the formatted text otherwise.
func (a *app) printResult(v any, format string, args ...any) error {
	if a.JSON {
		return a.printJSON(v)
	}
	return a.print(format+"\n", args...)
}

// maxInputBytes is the maximum size of an input document in bytes. The operators' API rejects larger ones too.
const maxInputBytes = 8 << 20

// readInput returns the content of the named file, or of the standard input if name is "-".
func (a *app) readInput(name string) ([]byte, error) {
	in := a.in
	if name != "-" {
		file, err := os.Open(name) //nolint:gosec // The user names the file to read.
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }() // Nothing was written.
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err != nil {
		return nil, errorx.Decorate(err, "read %s", name)
	}
	if len(data) > maxInputBytes {
		return nil, errorx.IllegalArgument.New("%s has more than %d bytes", name, maxInputBytes)
	}
	return data, nil
}

// changeFlags holds the flags of commands that change the state of the control group.
type changeFlags struct {
	OperationID string `long:"operation-id" env:"HIBISCUSROUTE_OPERATION_ID" description:"idempotency key of an earlier attempt to repeat; empty draws a new one"`
}

// clientFlags holds the flags of commands that call the operators' API.
type clientFlags struct {
	Client setting.Client `group:"Operators' API"`
}
