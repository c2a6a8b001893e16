package view_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel/kerneltest"
	"github.com/hibiscusroute/hibiscusroute/internal/key"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Guards against work that is charged to another team than that of its key, and against accepted keys that are unknown,
// revoked or belong to a removed team.
func TestAuthorize(t *testing.T) {
	shape := kerneltest.FleetShape{Pools: 1, PerPool: 3, Teams: 2, Processors: 4, MemoryMiB: 1024}
	cfg := shape.Configuration()
	r := kerneltest.New(t, nil)
	r.Configure(cfg)
	secrets := map[string]key.Secret{}
	grant := func(name, team string) {
		s, err := key.NewSecret()
		assert.NilError(t, err)
		secrets[name] = s
		r.MustApply(key.GrantCommand(name, team, s))
	}
	first, second := cfg.Teams[0].Name, cfg.Teams[1].Name
	grant("first", first)
	grant("second", second)
	grant("revoked", first)
	r.MustApply(key.RevokeCommand("r", secrets["revoked"].ID()))
	keys, _ := kernel.Lookup[*key.State](r.Kernel, key.Name)
	configurationState, _ := kernel.Lookup[*configuration.State](r.Kernel, configuration.Name)
	v := view.New(view.Config{Version: 1, Configuration: configurationState.Current(), Keys: keys.Active()})
	closed := fleet.Queue{Name: "closed"}
	restricted := fleet.Queue{Name: "restricted", Teams: []string{second}}
	open := fleet.Queue{Name: "open", Open: true, OpenTeam: second}
	wrongSecret := secrets["first"].String()
	wrongSecret = wrongSecret[:len(wrongSecret)-1] + "_"
	for _, tc := range []struct {
		name      string
		queue     fleet.Queue
		presented string
		team      string
		want      *errorx.Type
	}{
		{"key of any team", closed, secrets["first"].String(), first, nil},
		{"no key", closed, "", "", view.ErrUnauthorized},
		{"malformed key", closed, "hk-x", "", view.ErrUnauthorized},
		{"wrong secret", closed, wrongSecret, "", view.ErrUnauthorized},
		{"revoked key", closed, secrets["revoked"].String(), "", view.ErrUnauthorized},
		{"team not admitted", restricted, secrets["first"].String(), "", view.ErrForbidden},
		{"team admitted", restricted, secrets["second"].String(), second, nil},
		{"open queue without key", open, "", second, nil},
		{"open queue with key", open, secrets["first"].String(), first, nil},
		{"open queue with revoked key", open, secrets["revoked"].String(), "", view.ErrUnauthorized},
	} {
		t.Run(tc.name, func(t *testing.T) {
			team, err := v.Authorize(tc.queue, tc.presented)
			assert.Equal(t, team, tc.team)
			assert.Assert(t, tc.want == nil && err == nil || tc.want != nil && errorx.IsOfType(err, tc.want), "%v", err)
		})
	}
	withoutFirstTeam := *configurationState.Current()
	withoutFirstTeam.Teams = withoutFirstTeam.Teams[1:]
	_, err := view.New(view.Config{Configuration: &withoutFirstTeam, Keys: keys.Active()}).
		Authorize(closed, secrets["first"].String())
	assert.Assert(t, errorx.IsOfType(err, view.ErrUnauthorized))
}
