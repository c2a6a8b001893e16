package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case, below the 120 seconds that it may take.
const maxDuration = 110 * time.Second

// errBroken reports that a rule was broken.
var errBroken = errors.New("rule broken")

// scenarios holds the scenarios by name. Each of them returns errBroken if the rule was broken, another error if the case
// could not run, and nil if the rule held.
var scenarios = map[string]func(ctx context.Context, r *rig) error{
	"unconfirmed-deregistration": runUnconfirmedDeregistration,
	"late-start":                 runLateStart,
	"gang-on-failing-workers":    runGangOnFailingWorkers,
	"lost-worker":                runLostWorker,
	"dark-voter":                 runDarkVoter,
	"late-acknowledgement":       runLateAcknowledgement,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 5 || scenarios[os.Args[1]] == nil || os.Args[4] != "0" && os.Args[4] != "1" {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO PROGRAM RECORD 0|1 (1: with the disruption)")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		rec.printf("cannot run: %v", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		rec.printf("cannot run: %v", err)
		return exitNotRun
	}
	r := newRig(rec, program, dir, os.Args[4] == "1")
	rec.printf("scenario %s, trouble %t", os.Args[1], r.trouble)
	err = scenarios[os.Args[1]](ctx, r)
	r.stop()
	if keep := os.Getenv("RIG_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir)) // best effort, for whoever looks into a run
	}
	switch {
	case errors.Is(err, errBroken):
		rec.printf("RESULT: %v", err)
		return exitBroken
	case err != nil:
		rec.printf("RESULT: the case could not run: %v", err)
		return exitNotRun
	}
	rec.printf("RESULT: the rule held")
	return exitHeld
}
