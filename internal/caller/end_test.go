package caller_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/standin"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Guards against a request that keeps its permits beyond the maximum run time, after which other processes may use
// them.
func TestMaximumRunTime(t *testing.T) {
	h := newHarness(t, options{
		behavior: standin.Behavior{Size: 10, Delay: 400 * time.Millisecond},
		queue:    fleet.Queue{Name: "plates", Open: true, OpenTeam: "guest", MaxRun: fleet.Duration(100 * time.Millisecond)},
	})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		started := time.Now()
		a := h.send(method, "/queues/plates/x", nil, idHeader, newID())
		assert.NilError(t, a.err)
		assert.Equal(t, a.reason, "max-run")
		assert.Equal(t, a.outcome, "unknown")
		assert.Assert(t, time.Since(started) < 350*time.Millisecond)
		assert.Equal(t, h.quotas.permitsInUse(), 0)
	}
}

// Guards against permits that are not released when the caller disconnects while it waits, while an endpoint runs the
// request, or while a long response is streamed. The cleanup of the harness checks that all permits were released.
func TestCallerDisconnects(t *testing.T) {
	for _, tc := range []struct {
		name     string
		behavior standin.Behavior
		slots    int
		read     int64
	}{
		{"while waiting", standin.Behavior{}, 0, 0},
		{"while an endpoint runs the request", standin.Behavior{Delay: 200 * time.Millisecond}, 8, 0},
		{"during a long response", standin.Behavior{Size: 8 << 20}, 8, 300 << 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, options{behavior: tc.behavior})
			h.quotas.limit["slot/i-0"] = tc.slots
			timeout := 50 * time.Millisecond
			if tc.read > 0 {
				timeout = 5 * time.Second
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+"/queues/plates/x", nil)
			assert.NilError(t, err)
			resp, err := h.client.Do(req)
			if tc.read > 0 {
				assert.NilError(t, err)
				_, err = io.CopyN(io.Discard, resp.Body, tc.read)
				assert.NilError(t, err)
				cancel()
				assert.NilError(t, resp.Body.Close())
			} else {
				assert.Assert(t, err != nil)
			}
			for k := 0; h.quotas.permitsInUse() > 0; k++ {
				assert.Assert(t, k < 2000, "%d permits in use", h.quotas.permitsInUse())
				time.Sleep(time.Millisecond)
			}
			if tc.slots > 0 {
				assert.Equal(t, len(h.runs()), 1)
				assert.Equal(t, h.counter("hibiscusroute_truncated_responses_total"), uint64(0))
			}
		})
	}
}

// Guards against a Stop that does not return when its context ends, and one that then leaves waiting callers without an
// answer.
func TestStopEndsWithItsContext(t *testing.T) {
	h := newHarness(t, options{})
	h.quotas.limit["slot/i-0"] = 0
	done := make(chan answer)
	go func() { done <- h.send(http.MethodGet, "/queues/plates/x", nil) }()
	h.awaitDemand("team/guest", 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, h.server.Stop(ctx), "1 requests in progress")
	a := <-done
	assert.NilError(t, a.err)
	assert.Equal(t, a.reason, "stopping")
	assert.Equal(t, a.outcome, "not-run")
}
