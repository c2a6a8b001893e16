package platform_test

import (
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/platform"
	"github.com/hibiscusroute/hibiscusroute/internal/platform/platformtest"
)

// Guards against an action that is dropped because it is issued again while its outcome is being observed.
func TestReissueOnOutcome(t *testing.T) {
	server := httptest.NewServer(platformtest.New(platformtest.Config{Instances: []string{"a"}}))
	defer server.Close()
	startTask := job.StartTask{Job: "team/1", Epoch: 1, Instance: "a"}
	const reissues = 3
	observed := make(chan struct{}, reissues+1)
	var d *platform.Driver
	d = platform.NewDriver(platform.DriverConfig{
		Client: platform.NewClient(platform.ClientConfig{Address: server.URL}),
		Observe: func(ev kernel.Event) {
			if _, ok := ev.(job.TaskReport); !ok {
				return
			}
			observed <- struct{}{}
			if len(observed) <= reissues {
				d.Enqueue(startTask)
			}
		},
		Log: logr.Discard(),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	assert.Assert(t, d.Enqueue(startTask))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(observed); n <= reissues {
			return poll.Continue("%d outcomes", n)
		}
		return poll.Success()
	})
}
