package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/inbound"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
)

func newError(status int, kind, message string) *Error {
	return &Error{Status: status, Kind: kind, Message: message}
}

// outcomeUnknownError returns the error for a change that may or may not have been applied.
func outcomeUnknownError(operationID string) *Error {
	return newError(http.StatusGatewayTimeout, KindOutcomeUnknown,
		"the outcome of operation "+operationID+" is unknown; resend it with the same operation ID, which applies it at most once")
}

// commandError converts the error of an applied command to an error response.
func commandError(err error) *Error {
	text := err.Error()
	if e := errorx.Cast(err); e != nil {
		text = e.Message()
	}
	switch {
	case errorx.IsOfType(err, kernel.ErrInvalid):
		return newError(http.StatusUnprocessableEntity, KindInvalid, text)
	case errorx.IsOfType(err, kernel.ErrConflict):
		return newError(http.StatusConflict, KindConflict, text)
	case errorx.IsOfType(err, kernel.ErrNotFound):
		return newError(http.StatusNotFound, KindNotFound, text)
	}
	return newError(http.StatusInternalServerError, KindInternal, text)
}

func isCommandError(err error) bool {
	return errorx.IsOfType(err, kernel.ErrInvalid) || errorx.IsOfType(err, kernel.ErrConflict) ||
		errorx.IsOfType(err, kernel.ErrNotFound) || errorx.IsOfType(err, kernel.ErrHalted)
}

// unavailableError returns the error for a failed read, which can always be retried.
func unavailableError(what string, err error) error {
	if isCommandError(err) {
		return commandError(err)
	}
	return newError(http.StatusServiceUnavailable, KindUnavailable, what+" is not available now, retry: "+err.Error())
}

// asError converts err to an error response.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	switch status, _ := inbound.Status(err); status {
	case http.StatusRequestEntityTooLarge:
		return newError(status, KindTooLarge, "the body is too large: "+err.Error())
	case http.StatusServiceUnavailable:
		return newError(status, KindUnavailable, "read body: "+err.Error()+"; resend with the same operation ID")
	case http.StatusRequestTimeout:
		return newError(status, KindMalformed, "read body: "+err.Error())
	}
	return newError(http.StatusInternalServerError, KindInternal, err.Error())
}

func writeError(_ context.Context, err error, w http.ResponseWriter) {
	e := asError(err)
	w.Header().Set("Content-Type", "application/json")
	if e.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if e.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(e.Status)
	// Encoding fails only if the connection is broken; the client then sees a truncated response.
	_ = json.NewEncoder(w).Encode(e)
}
