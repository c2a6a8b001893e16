package caller

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

const (
	headerPrefix     = "Hibiscusroute-"
	headerRequestID  = "Hibiscusroute-Request-Id"
	headerOutcome    = "Hibiscusroute-Outcome"
	headerIdempotent = "Hibiscusroute-Idempotent"
	headerDeadline   = "Hibiscusroute-Deadline-Ms"

	// outcomeNotRun says that no byte of this sending of the request reached an endpoint.
	outcomeNotRun = "not-run"
	// outcomeUnknown says that the request may have run.
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

// reply writes the one answer of a request.
type reply struct {
	server    *Server
	w         http.ResponseWriter
	requestID string // request identifier, empty before it is known
	// presentedID is the identifier as the caller sent it, unchecked and for the time line only.
	presentedID string
	team        string // empty before the key is checked
	answered    bool
}

// markAnswered claims the right to answer; a second answer is a violation and is suppressed.
func (rp *reply) markAnswered() bool {
	if rp.answered {
		rp.server.reportViolation("one-outcome", "second outcome for request "+rp.requestID)
		return false
	}
	rp.answered = true
	return true
}

func (rp *reply) reject(status int, outcome, reason, message string) {
	if !rp.markAnswered() {
		return
	}
	rp.server.metrics.countRejection(reason, outcome)
	rp.server.cfg.Record(timeline.Event{
		Kind: "request-rejected", Request: cmp.Or(rp.requestID, rp.presentedID), Team: rp.team, Text: outcome + ", " + reason + ": " + message,
	})
	body, err := json.Marshal(Rejection{Outcome: outcome, Reason: reason, Message: message})
	if err != nil {
		rp.server.cfg.Log.Error(err, "encode rejection")
	}
	h := rp.w.Header()
	h.Set(headerOutcome, outcome)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if rp.requestID != "" {
		h.Set(headerRequestID, rp.requestID)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", "1")
	}
	rp.w.WriteHeader(status)
	_, _ = rp.w.Write(body) // a caller that is gone gets no answer
}

func (rp *reply) rejectNoLease(err error) {
	rp.reject(http.StatusServiceUnavailable, outcomeNotRun, "no-lease",
		"this process has no valid configuration lease: "+err.Error())
}

// hopByHopHeaders lists the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// copyHeader copies end-to-end headers, without those of hibiscusroute itself, so that neither side can forge them.
func copyHeader(dst, src http.Header) {
	var listed []string
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			listed = append(listed, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range src {
		if !strings.HasPrefix(name, headerPrefix) {
			dst[name] = append([]string(nil), values...)
		}
	}
	for _, name := range listed {
		delete(dst, name)
	}
	for _, name := range hopByHopHeaders {
		delete(dst, name)
	}
}
