// Package operatortest is a stand-in for the control group behind the operators' API: one kernel, whose changes and
// answers can be lost.
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

// Fate says what happens to a change.
type Fate struct {
	// Dropped changes are not applied.
	Dropped bool
	// Unanswered changes end with an unknown outcome.
	Unanswered bool
}

// Control is the stand-in; it is safe for concurrent use.
type Control struct {
	mu     sync.Mutex
	kernel *kernel.Kernel
	index  uint64
	calls  int
	fate   func(n int) Fate
}

// New builds a control group without a configuration.
func New() (*Control, error) {
	k, err := kernel.New(kernel.Config{})
	if err != nil {
		return nil, err
	}
	return &Control{kernel: k, fate: func(int) Fate { return Fate{} }}, nil
}

// SetFate sets what decides on the fate of changes; n counts them from 1.
func (c *Control) SetFate(fate func(n int) Fate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fate = fate
}

// Config returns the configuration of a server in front of the control group.
func (c *Control) Config() operator.Config {
	return operator.Config{Propose: c.propose, Query: c.query, Metrics: metrics.NewSet()}
}

func (c *Control) propose(_ context.Context, cmd kernel.Command) (kernel.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	fate := c.fate(c.calls)
	var r kernel.Result
	if !fate.Dropped {
		c.index++
		r = c.kernel.Apply(c.index, cmd)
	}
	if fate.Unanswered || fate.Dropped {
		return kernel.Result{}, errorx.TimeoutElapsed.New("leader lost")
	}
	return r, nil
}

func (c *Control) query(_ context.Context, plugin string, req []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kernel.Query(plugin, req)
}

// Calls returns the number of proposed changes.
func (c *Control) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
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
