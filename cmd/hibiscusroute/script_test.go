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
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jessevdk/go-flags"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"hibiscusroute": main}) }

// fake is a control group of one kernel that loses the outcomes of the next changes.
type fake struct {
	mu     sync.Mutex
	kernel *kernel.Kernel
	index  uint64
	lose   int
	late   bool
}

// lost must be called with the lock held.
func (f *fake) lost() error {
	if f.lose > 0 {
		f.lose--
		return errors.New("leader lost")
	}
	return nil
}

func (f *fake) config() operator.Config {
	return operator.Config{
		Metrics: metrics.NewSet(),
		Propose: func(_ context.Context, c kernel.Command) (kernel.Result, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.index++
			return f.kernel.Apply(f.index, c), f.lost()
		},
		Query: func(_ context.Context, plugin string, req []byte) ([]byte, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.kernel.Query(plugin, req)
		},
		InForce: func(context.Context, uint64) (time.Duration, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.late {
				return 0, errors.New("process entry-3 is late")
			}
			return 1200 * time.Millisecond, nil
		},
		Status: func(context.Context) (operator.Status, error) {
			return operator.Status{Process: "entry-1", Role: "leader", Halted: map[string]string{"quota": "sum is over"},
				Followers: []operator.Follower{{Process: "entry-2", Applied: 7, RenewedMs: 120}}}, nil
		},
		Members: func(context.Context) ([]operator.Member, error) {
			return []operator.Member{{Name: "entry-1", Identity: "a1", Role: "voter", Leader: true}}, nil
		},
		ChangeMember: func(_ context.Context, ch operator.MemberChange) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			if ch.Identity == "missing" {
				return kernel.ErrNotFound.New("no member %s", ch.Identity)
			}
			return f.lost()
		},
		Timeline: func(_ context.Context, w io.Writer) error {
			_, err := fmt.Fprintln(w, `{"kind":"key-granted"}`)
			return err
		},
	}
}

// Guards against subcommands that print something else, end with another code, or don't say what to do next.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			k, err := kernel.New(kernel.Config{})
			if err != nil {
				return err
			}
			f := &fake{kernel: k}
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
				f := ts.Value("fake").(*fake)
				f.mu.Lock()
				defer f.mu.Unlock()
				n, err := strconv.Atoi(args[0])
				ts.Check(err)
				f.lose = n
			},
			"late": func(ts *testscript.TestScript, _ bool, _ []string) {
				f := ts.Value("fake").(*fake)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.late = true
			},
		},
	})
}

// Guards against flags without an environment variable or description, and flags that docs/command-line.md leaves out.
func TestFlagsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/command-line.md")
	assert.NilError(t, err)
	p, err := newParser(&app{})
	assert.NilError(t, err)
	var visit func(c *flags.Command)
	visit = func(c *flags.Command) {
		var groups func(g *flags.Group)
		groups = func(g *flags.Group) {
			for _, o := range g.Options() {
				if o.LongName == "help" {
					continue
				}
				env := o.EnvKeyWithNamespace()
				assert.Assert(t, strings.HasPrefix(env, "HIBISCUSROUTE_") && o.Description != "", "%s --%s", c.Name, o.LongName)
				row := "| `--" + o.LongName + "` | `" + env + "` |"
				assert.Assert(t, strings.Contains(string(page), row), "docs/command-line.md lacks %s", row)
			}
			for _, sub := range g.Groups() {
				groups(sub)
			}
		}
		groups(c.Group)
		for _, sub := range c.Commands() {
			visit(sub)
		}
	}
	visit(p.Command)
}
