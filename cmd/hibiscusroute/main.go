// Command hibiscusroute runs a process of hibiscusroute and operates running ones; docs/command-line.md describes it.
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
