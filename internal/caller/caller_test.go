package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/standin"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Guards against a request path that can't serve a single request from announcement to answer.
func TestServesOneRequest(t *testing.T) {
	v := view.New(view.Config{Configuration: &fleet.Configuration{
		Teams: []fleet.Team{{Name: "guest", Share: 1}}, Pools: []fleet.Pool{{Name: "web"}},
		Instances: []fleet.Instance{{Name: "i-1", Pool: "web", Slots: 8, Connections: 64}},
		Queues: []fleet.Queue{{
			Name: "plates", Pool: "web", Open: true, OpenTeam: "guest", MaxWaiting: 8,
			MaxRun: fleet.Duration(time.Second), MaxWait: fleet.Duration(time.Second),
		}},
	}})
	viewNow := func() (*view.View, error) { return v, nil }
	acquire := func(string) (func(), bool) { return func() {}, true }
	registry := endpoint.New(endpoint.Config{View: viewNow, TryAcquire: acquire, Log: logr.Discard()})
	announcements := httptest.NewServer(registry)
	defer announcements.Close()
	var e *standin.Endpoint
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) }))
	defer backend.Close()
	e = standin.New(standin.Config{
		Instance: "i-1", Address: strings.TrimPrefix(backend.URL, "http://"), Size: 10,
		Announce: []string{announcements.URL + "/announce"},
	})
	next, err := e.Announce(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, next > 900*time.Millisecond && next <= time.Second, "next announcement in %s", next)
	s := caller.New(caller.Config{
		View: viewNow, Registry: registry, TryAcquire: acquire, Log: logr.Discard(),
		Dispatcher: endpoint.NewDispatcher(endpoint.DispatcherConfig{}),
	})
	front := httptest.NewServer(s)
	defer front.Close()
	resp, err := http.Get(front.URL + "/queues/plates/stamp")
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, len(body), 10)
}
