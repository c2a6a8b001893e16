// Command hibiscusroute runs a hibiscusroute process or sends commands to running ones. See docs/command-line.md.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr})
	stop()
	os.Exit(code)
}

// streams are the standard streams of the process.
type streams struct {
	in       io.Reader
	out, err io.Writer
}
