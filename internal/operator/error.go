package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
)

func fail(status int, kind, message string) *Error {
	return &Error{Status: status, Kind: kind, Message: message}
}

// unknown is the answer to a change that may or may not be applied.
func unknown(operationID string) *Error {
	return fail(http.StatusGatewayTimeout, KindOutcomeUnknown,
		"the outcome of operation "+operationID+" is unknown; resend it with the same operation ID, which applies it at most once")
}

// commandError translates the error of an applied command.
func commandError(err error) *Error {
	text := err.Error()
	if e := errorx.Cast(err); e != nil {
		text = e.Message()
	}
	switch {
	case errorx.IsOfType(err, kernel.ErrInvalid):
		return fail(http.StatusUnprocessableEntity, KindInvalid, text)
	case errorx.IsOfType(err, kernel.ErrConflict):
		return fail(http.StatusConflict, KindConflict, text)
	case errorx.IsOfType(err, kernel.ErrNotFound):
		return fail(http.StatusNotFound, KindNotFound, text)
	}
	return fail(http.StatusInternalServerError, KindInternal, text)
}

func isCommandError(err error) bool {
	return errorx.IsOfType(err, kernel.ErrInvalid) || errorx.IsOfType(err, kernel.ErrConflict) ||
		errorx.IsOfType(err, kernel.ErrNotFound) || errorx.IsOfType(err, kernel.ErrHalted)
}

// unavailable is the answer to a read that failed; reads can always be repeated.
func unavailable(what string, err error) error {
	if isCommandError(err) {
		return commandError(err)
	}
	return fail(http.StatusServiceUnavailable, KindUnavailable, what+" is not available now, retry: "+err.Error())
}

// asError returns the error as an answer.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fail(http.StatusRequestEntityTooLarge, KindTooLarge, "the body is too large: "+err.Error())
	}
	return fail(http.StatusInternalServerError, KindInternal, err.Error())
}

func writeError(_ context.Context, err error, w http.ResponseWriter) {
	e := asError(err)
	w.Header().Set("Content-Type", "application/json")
	if e.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(e.Status)
	// The connection is broken when this fails; the caller sees a truncated answer.
	_ = json.NewEncoder(w).Encode(e) // nobody is left to tell when its receiver is gone
}
