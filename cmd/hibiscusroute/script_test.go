package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/operator/operatortest"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"hibiscusroute": main}) }

// fake is a control group; late makes the wait until a version is in force fail.
type fake struct {
	*operatortest.Control
	late atomic.Bool
	lose atomic.Int64
}

// fate loses the answers to the next changes.
func (f *fake) fate(int) operatortest.Failure {
	return operatortest.Failure{Unanswered: f.lose.Add(-1) >= 0}
}

func (f *fake) config() operator.Config {
	f.SetFailures(f.fate)
	cfg := f.Config()
	cfg.WaitInForce = func(context.Context, uint64) (time.Duration, error) {
		if f.late.Load() {
			return 0, errors.New("process entry-3 is late")
		}
		return 1200 * time.Millisecond, nil
	}
	cfg.Status = func(context.Context) (operator.Status, error) {
		return operator.Status{Process: "entry-1", Role: "leader", Halted: map[string]string{"quota": "sum is over"},
			Followers: []operator.Follower{{
				Process: "entry-2", AvailabilityZone: "zone-a", Version: 3, Applied: 7, HasLease: true, RenewedMs: 120,
			}},
			Rollouts: []operator.Rollout{{Version: 4, Waiting: []string{"entry-2"}}}}, nil
	}
	cfg.Members = func(context.Context) ([]operator.Member, error) {
		return []operator.Member{{Name: "entry-1", Identity: "a1", Role: "voter", IsLeader: true}}, nil
	}
	cfg.ChangeMember = func(_ context.Context, ch operator.MemberChange) error {
		if ch.Identity == "missing" {
			return kernel.ErrNotFound.New("no member %s", ch.Identity)
		}
		if f.fate(0).Unanswered {
			return errors.New("leader lost")
		}
		return nil
	}
	cfg.Timeline = func(_ context.Context, w io.Writer) error {
		_, err := fmt.Fprintln(w, `{"stamp":"65536000","process":"entry-1","incarnation":"a","sequence":1,"kind":"key-granted"}
{"stamp":"65601536","process":"entry-1","incarnation":"a","sequence":2,"kind":"request-rejected","request":"r1","text":"not-run"}`)
		return err
	}
	return cfg
}

// Guards against subcommands that print something else, end with another code, or don't say what to do next.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			ctl, err := operatortest.New()
			if err != nil {
				return err
			}
			f := &fake{Control: ctl}
			s, err := operator.New(f.config())
			if err != nil {
				return err
			}
			srv := httptest.NewServer(s.Handler())
			env.Defer(srv.Close)
			env.Values["fake"] = f
			env.Setenv("HIBISCUSROUTE_OPERATORS", srv.URL)
			env.Setenv("EXAMPLES", examples)
			// The race detector otherwise sleeps for 1 s at the end of each run of the program.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			// exits runs hibiscusroute and compares its exit code.
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				code := 0
				var exit *exec.ExitError
				if err := ts.Exec("hibiscusroute", args[1:]...); errors.As(err, &exit) {
					code = exit.ExitCode()
				} else {
					ts.Check(err)
				}
				if strconv.Itoa(code) != args[0] {
					ts.Fatalf("exit code is %d, want %s", code, args[0])
				}
			},
			// lose makes the outcomes of the next changes unknown, and late the wait until a version is in force fail.
			"lose": func(ts *testscript.TestScript, _ bool, args []string) {
				n, err := strconv.ParseInt(args[0], 10, 64)
				ts.Check(err)
				ts.Value("fake").(*fake).lose.Store(n)
			},
			"late": func(ts *testscript.TestScript, _ bool, _ []string) { ts.Value("fake").(*fake).late.Store(true) },
		},
	})
}

// Guards against flags without an environment variable or description, and flags that docs/command-line.md leaves out.
func TestFlagsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/command-line.md")
	assert.NilError(t, err)
	p, err := newParser(&app{})
	assert.NilError(t, err)
	var visit func(g *flags.Group)
	visit = func(g *flags.Group) {
		for _, o := range g.Options() {
			env := o.EnvKeyWithNamespace()
			assert.Assert(t, o.LongName == "help" || strings.HasPrefix(env, "HIBISCUSROUTE_") && o.Description != "", o.LongName)
			row := "| `--" + o.LongName + "` | `" + env + "` |"
			assert.Assert(t, o.LongName == "help" || strings.Contains(string(page), row), "docs/command-line.md lacks %s", row)
		}
		for _, sub := range g.Groups() {
			visit(sub)
		}
	}
	var each func(c *flags.Command)
	each = func(c *flags.Command) {
		visit(c.Group)
		for _, sub := range c.Commands() {
			each(sub)
		}
	}
	each(p.Command)
}
