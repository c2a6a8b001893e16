// Package operatortest provides a fake control group for tests of the operators' API: a single kernel whose changes and
// responses can be dropped.
package operatortest

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/key"
	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

// Failure describes how a proposed change fails; the zero value is a change that succeeds.
type Failure struct {
	// Dropped reports that the change is not applied; its outcome is unknown to the caller.
	Dropped bool
	// Unanswered reports that the change is applied, but its outcome is unknown to the caller.
	Unanswered bool
}

// Control is a fake control group; it is safe for concurrent use.
type Control struct {
	mu        sync.Mutex
	kernel    *kernel.Kernel
	index     uint64
	proposals int
	failures  func(n int) Failure
}

// New creates a control group without a configuration.
func New() (*Control, error) {
	k, err := kernel.New(kernel.Config{})
	if err != nil {
		return nil, err
	}
	return &Control{kernel: k, failures: func(int) Failure { return Failure{} }}, nil
}

// SetFailures sets the function that returns the failure of the nth proposed change; n starts at 1.
func (c *Control) SetFailures(failures func(n int) Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = failures
}

// Config returns the configuration of a server that uses the control group.
func (c *Control) Config() operator.Config {
	return operator.Config{Propose: c.propose, Query: c.query, Metrics: metrics.NewSet()}
}

func (c *Control) propose(_ context.Context, cmd kernel.Command) (kernel.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposals++
	failure := c.failures(c.proposals)
	var r kernel.Result
	if !failure.Dropped {
		c.index++
		r = c.kernel.Apply(c.index, cmd)
	}
	if failure.Unanswered || failure.Dropped {
		return kernel.Result{}, errorx.TimeoutElapsed.New("leader lost")
	}
	return r, nil
}

func (c *Control) query(_ context.Context, plugin string, req []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kernel.Query(plugin, req)
}

// Proposals returns the number of proposed changes, dropped ones included.
func (c *Control) Proposals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proposals
}

// Version returns the accepted configuration version.
func (c *Control) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, _ := kernel.Lookup[*configuration.State](c.kernel, configuration.Name)
	return state.Version()
}

// Keys returns the active keys by identifier.
func (c *Control) Keys() map[string]key.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, _ := kernel.Lookup[*key.State](c.kernel, key.Name)
	return state.Active()
}
