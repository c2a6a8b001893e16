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

	// outcomeNotRun means that no byte of the request reached an endpoint this time.
	outcomeNotRun = "not-run"
	// outcomeUnknown means that the request may have run.
	outcomeUnknown = "unknown"
)

// Rejection is the JSON body of an error response.
type Rejection struct {
	// Outcome is not-run or unknown.
	Outcome string `json:"outcome"`
	// Reason is one of a fixed set of identifiers in kebab case.
	Reason string `json:"reason"`
	// Message describes the reason to people.
	Message string `json:"message"`
}

// reply writes the only answer to a request.
type reply struct {
	server    *Server
	w         http.ResponseWriter
	requestID string // empty before it is known
	// presentedID is the request identifier as the caller sent it; it is not validated and goes to the timeline only.
	presentedID string
	team        string // empty before the key is checked
	answered    bool
}

// markAnswered marks the request as answered and reports false when it was answered before; that is a violation, and
// the second answer must not be written.
func (rp *reply) markAnswered() bool {
	if rp.answered {
		rp.server.reportViolation("one-outcome", "second outcome for request "+rp.requestID)
		return false
	}
	rp.answered = true
	return true
}

// reject answers with an error response, counts it and records it in the timeline.
func (rp *reply) reject(status int, outcome, reason, message string) {
	if !rp.markAnswered() {
		return
	}
	rp.server.metrics.countRejection(reason, outcome)
	rp.server.cfg.Record(timeline.Event{
		Kind: "request-rejected", Request: cmp.Or(rp.requestID, rp.presentedID), Team: rp.team,
		Text: outcome + ", " + reason + ": " + message,
	})
	body, err := json.Marshal(Rejection{Outcome: outcome, Reason: reason, Message: message})
	if err != nil {
		rp.server.cfg.Log.Error(err, "failed to encode the body of a rejection")
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
	_, _ = rp.w.Write(body) // fails only when the caller has disconnected
}

func (rp *reply) rejectNoLease(err error) {
	rp.reject(http.StatusServiceUnavailable, outcomeNotRun, "no-lease",
		"this process has no valid configuration lease: "+err.Error())
}

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// copyHeader copies the end-to-end headers. It leaves out those of hibiscusroute itself, so that neither side can forge
// them.
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
