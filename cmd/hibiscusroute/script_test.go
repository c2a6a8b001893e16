package main

import (
	"context"
	"encoding/json"
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

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/operator/operatortest"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/explanation"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
	"github.com/hibiscusroute/hibiscusroute/platform"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"hibiscusroute": main}) }

// fakeControl simulates a control group.
type fakeControl struct {
	*operatortest.Control
	// isInForceLate makes waits until a version is in force fail.
	isInForceLate atomic.Bool
	// lostAnswers is the number of further changes that get no answer.
	lostAnswers atomic.Int64
}

// nextFailure drops the answer to a change while lostAnswers is positive.
func (f *fakeControl) nextFailure(int) operatortest.Failure {
	return operatortest.Failure{Unanswered: f.lostAnswers.Add(-1) >= 0}
}

func (f *fakeControl) config() operator.Config {
	f.SetFailures(f.nextFailure)
	cfg := f.Config()
	cfg.WaitInForce = func(context.Context, uint64) (time.Duration, error) {
		if f.isInForceLate.Load() {
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
		if f.nextFailure(0).Unanswered {
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

// Guards against subcommands whose output, exit code or advice to the operator changes by accident.
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
			f := &fakeControl{Control: ctl}
			s, err := operator.New(f.config())
			if err != nil {
				return err
			}
			srv := httptest.NewServer(s.Handler())
			env.Defer(srv.Close)
			env.Values["fake"] = f
			env.Setenv("HIBISCUSROUTE_OPERATORS", srv.URL)
			env.Setenv("EXAMPLES", examples)
			execute := func(_ context.Context, m *workloadpb.Command) (*workloadpb.Response, bool, error) {
				if q := m.GetExplain().GetJob(); q != nil {
					x := explanation.Explanation{Queue: q.Host + q.Path, Pool: "glass", Account: q.Key, Steps: []explanation.Step{{
						Tasks: int(q.Steps[0].Count), Starting: 1, StartsOn: []explanation.Count{{Name: "w-1", Count: 1}},
						Workers: []explanation.Count{{Name: "no-capacity", Count: 2}}, WaitsFor: []string{explanation.Capacity},
					}}}
					body, err := json.Marshal(x)
					return &workloadpb.Response{Explanation: body}, false, err
				}
				return &workloadpb.Response{}, false, nil
			}
			zones := httptest.NewServer((&platform.ControlServer{
				Zones: []string{"zone-b"}, Execute: execute, Log: logr.Discard(),
			}).Handler())
			env.Defer(zones.Close)
			env.Setenv("CONTROL", strings.TrimPrefix(zones.URL, "http://"))
			// The race detector otherwise sleeps for 1 s at the end of each run of the program.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			// exits runs hibiscusroute and checks its exit code.
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
			// lose leaves the outcomes of the next changes unknown; late makes waits until a version is in force fail.
			"lose": func(ts *testscript.TestScript, _ bool, args []string) {
				n, err := strconv.ParseInt(args[0], 10, 64)
				ts.Check(err)
				ts.Value("fake").(*fakeControl).lostAnswers.Store(n)
			},
			"late": func(ts *testscript.TestScript, _ bool, _ []string) {
				ts.Value("fake").(*fakeControl).isInForceLate.Store(true)
			},
		},
	})
}

// Guards against flags without an environment variable or description, and flags missing in docs/command-line.md.
func TestFlagsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/command-line.md")
	assert.NilError(t, err)
	p, err := newParser(&app{})
	assert.NilError(t, err)
	var checkGroup func(g *flags.Group)
	checkGroup = func(g *flags.Group) {
		for _, o := range g.Options() {
			env := o.EnvKeyWithNamespace()
			assert.Assert(t, o.LongName == "help" || strings.HasPrefix(env, "HIBISCUSROUTE_") && o.Description != "", o.LongName)
			row := "| `--" + o.LongName + "` | `" + env + "` |"
			assert.Assert(t, o.LongName == "help" || strings.Contains(string(page), row), "docs/command-line.md lacks %s", row)
		}
		for _, sub := range g.Groups() {
			checkGroup(sub)
		}
	}
	var checkCommand func(c *flags.Command)
	checkCommand = func(c *flags.Command) {
		checkGroup(c.Group)
		for _, sub := range c.Commands() {
			checkCommand(sub)
		}
	}
	checkCommand(p.Command)
}
