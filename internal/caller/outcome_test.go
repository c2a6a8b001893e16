package caller_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/standin"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

const (
	idHeader = "Hibiscusroute-Request-Id"
	kilobyte = 1 << 10
)

// Guards against a request or response that is changed between caller and endpoint.
func TestServesRequestsUnchanged(t *testing.T) {
	for _, size := range []int{0, 1, 256*kilobyte - 1, 256 * kilobyte, 256*kilobyte + 1, 3 << 20} {
		for _, framing := range []string{"length", "chunked"} {
			t.Run(fmt.Sprintf("%d %s", size, framing), func(t *testing.T) {
				h := newHarness(t, options{})
				path := fmt.Sprintf("/queues/plates/a%%2Fb//c?size=%d&framing=%s", size, framing)
				for _, body := range [][]byte{nil, bytes.Repeat([]byte("b"), 2<<20)} {
					id := newID()
					a := h.send(http.MethodPost, path, body, idHeader, id)
					assert.NilError(t, a.err)
					assert.Equal(t, a.status, http.StatusOK, "%s", a.reason)
					assert.Assert(t, bytes.Equal(a.body, standin.Content(id, size)))
					assert.Equal(t, a.header.Get(idHeader), id)
					assert.Equal(t, h.runs()[id], 1)
				}
			})
		}
	}
}

// Guards against a rejection with a wrong outcome, and a truncated response that looks complete, at each point at which
// an attempt can fail.
func TestOutcomeOfFailures(t *testing.T) {
	for _, tc := range []struct {
		name     string
		behavior standin.Behavior
		dead     int
		outcome  string
		reason   string
	}{
		{"connection refused", standin.Behavior{}, 1, "not-run", "connect-failed"},
		{"reset before the body is read", standin.Behavior{Reset: "before"}, 0, "unknown", "endpoint-failed"},
		{"reset after the body was read", standin.Behavior{Reset: "after"}, 0, "unknown", "endpoint-failed"},
		{"cut at byte 0", standin.Behavior{Size: 100, Cut: 1}, 0, "unknown", "response-truncated"},
		{"cut in the middle", standin.Behavior{Size: 100, Cut: 50}, 0, "unknown", "response-truncated"},
		{"cut before the last byte", standin.Behavior{Size: 100, Cut: 100}, 0, "unknown", "response-truncated"},
		{
			"chunked without terminator", standin.Behavior{Size: 100, Cut: 101, Framing: "chunked"},
			0, "unknown", "response-truncated",
		},
		{"framed by close", standin.Behavior{Size: 100, Framing: "close"}, 0, "unknown", "response-truncated"},
		{"long, cut early", standin.Behavior{Size: 1 << 20, Cut: 1000}, 0, "unknown", "response-truncated"},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tc.name+" "+method, func(t *testing.T) {
				h := newHarness(t, options{behavior: tc.behavior, unreachable: tc.dead})
				id := newID()
				a := h.send(method, "/queues/plates/x", nil, idHeader, id)
				assert.NilError(t, a.err)
				assert.Equal(t, a.outcome, tc.outcome)
				assert.Equal(t, a.reason, tc.reason)
				assert.Assert(t, a.status >= 500)
				ran := h.runs()[id]
				assert.Assert(t, ran <= 1 && (tc.outcome != "not-run" || ran == 0), "ran %d times", ran)
				released := method == http.MethodPost && tc.outcome == "not-run"
				assert.Equal(t, h.claims.released[id] == 1, released)
			})
		}
	}
}

// Guards against a long response that is truncated after its beginning was written and looks complete to the caller.
func TestLongTruncatedAnswerAbortsConnection(t *testing.T) {
	for _, framing := range []string{"length", "chunked"} {
		h := newHarness(t, options{behavior: standin.Behavior{Size: 2 << 20, Cut: 1 << 20, Framing: framing}})
		a := h.send(http.MethodGet, "/queues/plates/x", nil)
		assert.Assert(t, a.err != nil, "%s: a truncated response of %d bytes looks complete", framing, len(a.body))
		assert.Equal(t, h.counter("hibiscusroute_truncated_responses_total"), uint64(1))
	}
}

// Guards against a request that is sent although it must be rejected, and a rejection with the wrong reason.
func TestRejectionsBeforeSending(t *testing.T) {
	v7 := newID()
	for _, tc := range []struct {
		name, method, path string
		headers            []string
		change             func(h *harness)
		status             int
		outcome, reason    string
	}{
		{"unknown path", "GET", "/x", nil, nil, 404, "not-run", "unknown-path"},
		{"unknown queue", "GET", "/queues/other/x", nil, nil, 404, "not-run", "unknown-queue"},
		{
			"no lease", "GET", "/queues/plates/x", nil,
			func(h *harness) { h.noLease.Store(true) }, 503, "not-run", "no-lease",
		},
		{
			"bad key", "GET", "/queues/plates/x",
			[]string{"Authorization", "Bearer hk-a-b"}, nil, 401, "not-run", "unauthorized",
		},
		{
			"other scheme", "GET", "/queues/plates/x",
			[]string{"Authorization", "Basic eA=="}, nil, 401, "not-run", "unauthorized",
		},
		{"no identifier", "POST", "/queues/plates/x", nil, nil, 400, "not-run", "bad-request-id"},
		{
			"identifier of another version", "POST", "/queues/plates/x",
			[]string{idHeader, "9f1c4cf5-6c5a-4f2e-9a0e-6f1d2b1c3d4e"}, nil, 400, "not-run", "bad-request-id",
		},
		{
			"long identifier", "GET", "/queues/plates/x",
			[]string{idHeader, strings.Repeat("x", 129)}, nil, 400, "not-run", "bad-request-id",
		},
		{
			"bad flag", "GET", "/queues/plates/x",
			[]string{"Hibiscusroute-Idempotent", "yes"}, nil, 400, "not-run", "bad-idempotent",
		},
		{
			"bad deadline", "GET", "/queues/plates/x",
			[]string{"Hibiscusroute-Deadline-Ms", "-1"}, nil, 400, "not-run", "bad-deadline",
		},
		{
			"upgrade", "GET", "/queues/plates/x",
			[]string{"Upgrade", "x", "Connection", "upgrade"}, nil, 501, "not-run", "unsupported",
		},
		{
			"duplicate", "POST", "/queues/plates/x", []string{idHeader, v7},
			func(h *harness) { h.claims.held[v7] = true }, 409, "unknown", "duplicate",
		},
		{
			"expired identifier", "POST", "/queues/plates/x", []string{idHeader, v7},
			func(h *harness) { h.claims.outcome = caller.ClaimExpired }, 409, "unknown", "request-id-expired",
		},
		{
			"claim unavailable", "POST", "/queues/plates/x", []string{idHeader, v7},
			func(h *harness) { h.claims.err = errors.New("no quorum") }, 503, "not-run", "claim-unavailable",
		},
		{
			"no team permit", "GET", "/queues/plates/x", []string{"Hibiscusroute-Deadline-Ms", "30"},
			func(h *harness) { h.quotas.limit["team/guest"] = 0 }, 504, "not-run", "deadline",
		},
		{
			"no slot", "GET", "/queues/plates/x", nil,
			func(h *harness) { h.quotas.limit["slot/i-0"] = 0 }, 503, "not-run", "max-wait",
		},
		{"no jobs", "POST", "/jobs", nil, nil, 501, "not-run", "no-jobs"},
		{"jobs method", "PUT", "/jobs/x", nil, nil, 405, "not-run", "bad-method"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, options{queue: fleet.Queue{
				Name: "plates", Open: true, OpenTeam: "guest", MaxWait: fleet.Duration(200 * time.Millisecond),
			}})
			if tc.change != nil {
				tc.change(h)
			}
			a := h.send(tc.method, tc.path, []byte("body"), tc.headers...)
			assert.NilError(t, a.err)
			assert.Equal(t, a.reason, tc.reason, "%s", a.body)
			assert.Equal(t, a.status, tc.status)
			assert.Equal(t, a.outcome, tc.outcome)
			assert.Equal(t, len(h.runs()), 0)
			assert.Equal(t, h.claims.released[v7], map[bool]int{true: 1}[tc.reason == "claim-unavailable"])
		})
	}
}

// Guards against a request that is sent although the lease ended or the authorization was revoked while it waited.
func TestRechecksAfterWaiting(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(h *harness)
		reason string
	}{
		{"lease", func(h *harness) { h.noLease.Store(true) }, "no-lease"},
		{"queue closed to callers without a key", func(h *harness) {
			c := *h.view.Load().Configuration()
			c.Queues = []fleet.Queue{c.Queues[0]}
			c.Queues[0].Open = false
			h.view.Store(view.New(view.Config{Configuration: &c}))
		}, "unauthorized"},
	} {
		h := newHarness(t, options{})
		h.quotas.limit["team/guest"] = 0
		done := make(chan answer)
		go func() { done <- h.send(http.MethodGet, "/queues/plates/x", nil) }()
		h.awaitDemand("team/guest", 1)
		tc.change(h)
		h.quotas.mu.Lock()
		h.quotas.limit["team/guest"] = 1
		h.quotas.mu.Unlock()
		a := <-done
		assert.Equal(t, a.outcome, "not-run", tc.name)
		assert.Equal(t, a.reason, tc.reason, tc.name)
		assert.Equal(t, len(h.runs()), 0)
	}
}

// Guards against hop-by-hop headers, reserved headers and forged outcomes that pass through.
func TestHeadersAreFiltered(t *testing.T) {
	h := newHarness(t, options{})
	var got http.Header
	h.replaceEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("Hibiscusroute-Outcome", "not-run")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
		w.WriteHeader(http.StatusTeapot)
	})
	a := h.send(http.MethodGet, "/queues/plates/x", nil, "Connection", "X-Hop, close", "X-Hop", "1", "X-End", "1",
		"Te", "trailers", "Hibiscusroute-Deadline-Ms", "5000", "Hibiscusroute-Other", "1")
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusTeapot)
	assert.Equal(t, a.outcome, "")
	assert.Equal(t, a.header.Get("X-Hop")+a.header.Get("X-End"), "1")
	assert.Equal(t, got.Get("X-Hop")+got.Get("X-End")+got.Get("Te")+got.Get("Hibiscusroute-Other"), "1")
	assert.Equal(t, got.Get(idHeader), a.header.Get(idHeader))
	left, err := time.ParseDuration(got.Get("Hibiscusroute-Deadline-Ms") + "ms")
	assert.NilError(t, err)
	assert.Assert(t, left > 4*time.Second && left <= 5*time.Second)
}

// replaceEndpoint announces a new incarnation of i-0, which the handler serves.
func (h *harness) replaceEndpoint(t *testing.T, handler http.HandlerFunc) {
	t.Helper()
	backend := startServer(t, &http.Server{ReadHeaderTimeout: time.Second, Handler: handler})
	body := fmt.Sprintf(`{"instance":"i-0","address":%q,"incarnation":18000000000000000000,"sequence":1,"state":"ready",`+
		`"running":0}`, strings.TrimPrefix(backend, "http://"))
	w := httptest.NewRecorder()
	h.registry.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(body)))
	assert.Equal(t, w.Code, http.StatusOK)
}

// Guards against a response to another request that reaches a caller.
func TestMismatchedResponseIsRejected(t *testing.T) {
	h := newHarness(t, options{})
	h.replaceEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(idHeader, newID()) })
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		a := h.send(method, "/queues/plates/x", nil, idHeader, newID())
		assert.NilError(t, a.err)
		assert.Equal(t, a.reason, "response-mismatch")
		assert.Equal(t, a.outcome, "unknown")
	}
}

// Guards against a readiness check that ignores the lease, and job paths that don't reach their handlers.
func TestHealthAndJobPaths(t *testing.T) {
	var jobs []string
	recordCall := func(what string) http.HandlerFunc {
		return func(_ http.ResponseWriter, r *http.Request) { jobs = append(jobs, what+" "+r.PathValue("id")) }
	}
	h := newHarness(t, options{config: func(c *caller.Config) {
		c.SubmitJob, c.GetJob, c.CancelJob = recordCall("submit"), recordCall("get"), recordCall("cancel")
	}})
	for _, tc := range []struct {
		noLease      bool
		method, path string
		status       int
	}{
		{false, "GET", "/-/ready", 204},
		{true, "GET", "/-/ready", 503},
		{true, "GET", "/-/live", 204},
		{true, "POST", "/jobs", 503},
		{false, "POST", "/jobs", 200},
		{false, "GET", "/jobs/a", 200},
		{false, "DELETE", "/jobs/b", 200},
	} {
		h.noLease.Store(tc.noLease)
		a := h.send(tc.method, tc.path, nil)
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, tc.status, "%s %s", tc.method, tc.path)
	}
	assert.DeepEqual(t, jobs, []string{"submit ", "get a", "cancel b"})
}
