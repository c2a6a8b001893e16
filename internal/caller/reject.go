package caller

import (
	"encoding/json"
	"net/http"
)

const (
	headerRequestID = "Hibiscusroute-Request-Id"
	headerOutcome   = "Hibiscusroute-Outcome"

	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// Rejection is the JSON body of an error response.
type Rejection struct {
	// Outcome is not-run or unknown.
	Outcome string `json:"outcome"`
	// Reason is a fixed word in kebab case.
	Reason string `json:"reason"`
	// Message is text for people.
	Message string `json:"message"`
}

func reject(w http.ResponseWriter, status int, outcome, reason, message string) {
	w.Header().Set(headerOutcome, outcome)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status line is out; a failed write shows up as a broken connection at the caller.
	_ = json.NewEncoder(w).Encode(Rejection{Outcome: outcome, Reason: reason, Message: message})
}
