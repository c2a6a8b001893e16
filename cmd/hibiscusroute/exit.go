package main

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/setting"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

// failure is the JSON form of an error, as printed with --json.
type failure struct {
	Kind          string        `json:"kind"`
	Message       string        `json:"message"`
	Faults        []fleet.Fault `json:"faults,omitempty"`
	NewestVersion *uint64       `json:"newest-version,omitempty"`
	ExitCode      int           `json:"exit-code"`
}

// describeError converts an error into the form that is printed, with its exit code.
func describeError(err error) failure {
	var answer *operator.Error
	var usage *flags.Error
	switch {
	case errors.As(err, &answer):
		f := failure{
			Kind: answer.Kind, Message: answer.Message, Faults: answer.Faults, NewestVersion: answer.NewestVersion,
			ExitCode: exitFailure,
		}
		switch answer.Kind {
		case operator.KindConflict:
			f.ExitCode = exitConflict
		case operator.KindOutcomeUnknown:
			f.ExitCode = exitUnknown
		case operator.KindUnauthorized:
			f.Message += "; name the file that holds it with --operator-key-file"
		}
		return f
	case errors.As(err, &usage):
		return failure{Kind: "usage", Message: usage.Message + "; see --help", ExitCode: exitUsage}
	case errorx.IsOfType(err, errUsage):
		return failure{Kind: "usage", Message: errorx.Cast(err).Message() + "; see --help", ExitCode: exitUsage}
	case errorx.IsOfType(err, setting.ErrFaults):
		return failure{Kind: "usage", Message: "settings have faults:\n" + errorx.Cast(err).Message(), ExitCode: exitUsage}
	}
	return failure{Kind: "failure", Message: err.Error(), ExitCode: exitFailure}
}

// reportError prints err, if any, and returns the exit code.
func (a *app) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	f := describeError(err)
	// If the standard error stream can't be written, the exit code alone reports the failure.
	if a.JSON {
		_ = json.NewEncoder(a.err).Encode(f)
		return f.ExitCode
	}
	lines := []string{"hibiscusroute: " + f.Message}
	for _, fault := range f.Faults {
		lines = append(lines, fault.String())
	}
	_ = a.printNote("%s", strings.Join(lines, "\n"))
	return f.ExitCode
}
