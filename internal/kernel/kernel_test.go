package kernel_test

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/key"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

func newKernel(t *testing.T) *kernel.Kernel {
	t.Helper()
	k, err := kernel.New(kernel.Config{Log: logr.Discard()})
	assert.NilError(t, err)
	return k
}

func submit(t *testing.T, id string, base uint64) kernel.Command {
	t.Helper()
	f := fleet.New(fleet.Config{Processes: 1})
	f.AddPool(fleet.Pool{Name: "spare", Spare: true})
	c, err := f.Build()
	assert.NilError(t, err)
	doc, err := c.Print()
	assert.NilError(t, err)
	cmd, err := configuration.SubmitCommand(id, base, doc)
	assert.NilError(t, err)
	return cmd
}

// Guards against a retried operation that is applied twice or gets a different answer after a leader change.
func TestRepeatedOperationGetsStoredResult(t *testing.T) {
	k := newKernel(t)
	first := k.Apply(1, submit(t, "op-1", 0))
	conflicting := k.Apply(2, submit(t, "op-2", 0))
	assert.NilError(t, first.Err)
	assert.Assert(t, errorx.IsOfType(conflicting.Err, kernel.ErrConflict))
	snapshot, err := k.Snapshot(false)
	assert.NilError(t, err)
	other := newKernel(t)
	assert.NilError(t, other.Restore(snapshot))
	for _, replica := range []*kernel.Kernel{k, other} {
		again := replica.Apply(3, submit(t, "op-1", 0))
		assert.Equal(t, again.Index, first.Index)
		assert.DeepEqual(t, again.Body, first.Body)
		assert.Assert(t, errorx.IsOfType(replica.Apply(4, submit(t, "op-2", 0)).Err, kernel.ErrConflict))
	}
}

// Guards against a restore that reverts the state to an older index.
func TestRestoreRejectsOlderSnapshot(t *testing.T) {
	k := newKernel(t)
	k.Apply(1, submit(t, "op-1", 0))
	old, err := k.Snapshot(false)
	assert.NilError(t, err)
	k.Apply(2, submit(t, "op-2", 1))
	assert.Assert(t, k.Restore(old) != nil)
	state, ok := kernel.Lookup[*configuration.State](k, configuration.Name)
	assert.Assert(t, ok)
	assert.Equal(t, state.Version(), uint64(2))
}

// Guards against a revoked key that is granted again under its identifier.
func TestRevokedKeyStaysRevoked(t *testing.T) {
	k := newKernel(t)
	c := &fleet.Configuration{Format: fleet.Format, Teams: []fleet.Team{{Name: "billing"}}}
	state, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
	*state.Current() = *c // bypasses the validation of the document
	secret, err := key.NewSecret()
	assert.NilError(t, err)
	grant, err := key.GrantCommand("op-2", "billing", secret)
	assert.NilError(t, err)
	revoke, err := key.RevokeCommand("op-3", secret.ID())
	assert.NilError(t, err)
	regrant, err := key.GrantCommand("op-4", "billing", secret)
	assert.NilError(t, err)
	assert.NilError(t, k.Apply(1, grant).Err)
	assert.NilError(t, k.Apply(2, revoke).Err)
	assert.Assert(t, errorx.IsOfType(k.Apply(3, regrant).Err, kernel.ErrConflict))
	keys, _ := kernel.Lookup[*key.State](k, key.Name)
	assert.Equal(t, len(keys.Active()), 0)
}
