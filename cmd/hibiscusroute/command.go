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

// command is a subcommand. Each is registered by an init function in its own file.
type command struct {
	// path is the name, after the name of its group if it has one, such as "config check".
	path  string
	short string
	// build returns the struct of the command's flags, which has an Execute method.
	build func(a *app) flags.Commander
}

var commands []command

// groups describes the first words of two-word commands.
var groups = map[string]string{
	"config":   "Check, compare, submit and show the configuration",
	"instance": "List, move and quarantine instances",
	"job":      "List, show and cancel jobs",
	"quota":    "Show who holds the upper limits of teams",
	"wave":     "Control planned maintenance",
	"key":      "Grant, revoke and list the keys of teams",
	"member":   "List and change the members of the control group",
}

func register(c command) { commands = append(commands, c) }

// app is what subcommands share.
type app struct {
	streams
	ctx  context.Context
	JSON bool `long:"json" env:"HIBISCUSROUTE_JSON" description:"print JSON, errors included"`
}

// errUsage reports a command line that can't be run.
var errUsage = errorx.NewNamespace("command-line").NewType("usage")

// run runs the subcommand that args name and returns the exit code.
func run(ctx context.Context, args []string, s streams) int {
	a := &app{streams: s, ctx: ctx}
	p, err := newParser(a)
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		return a.finish(a.print("%s\n", usage.Message))
	}
	return a.finish(err)
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

// print writes human output.
func (a *app) print(format string, args ...any) error {
	_, err := fmt.Fprintf(a.out, format, args...)
	return err
}

// note writes what goes along with the output but isn't part of it.
func (a *app) note(format string, args ...any) error {
	_, err := fmt.Fprintf(a.err, format+"\n", args...)
	return err
}

func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// result prints v with --json and the text otherwise.
func (a *app) result(v any, format string, args ...any) error {
	if a.JSON {
		return a.printJSON(v)
	}
	return a.print(format+"\n", args...)
}

// maxInput bounds a document that is read, in bytes; larger ones are refused by the operators' API too.
const maxInput = 8 << 20

// read returns the content of a file, or of the standard input for "-".
func (a *app) read(name string) ([]byte, error) {
	in := a.in
	if name != "-" {
		file, err := os.Open(name) //nolint:gosec // The user names the file to read.
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }() // Nothing was written.
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxInput+1))
	if err != nil {
		return nil, errorx.Decorate(err, "read %s", name)
	}
	if len(data) > maxInput {
		return nil, errorx.IllegalArgument.New("%s has more than %d bytes", name, maxInput)
	}
	return data, nil
}

// change holds the flags of commands that change something.
type change struct {
	OperationID string `long:"operation-id" env:"HIBISCUSROUTE_OPERATION_ID" description:"idempotency key of an earlier attempt to repeat; empty draws a new one"`
}

// remote holds the flags of commands that call the operators' API.
type remote struct {
	Client setting.Client `group:"Operators' API"`
}
