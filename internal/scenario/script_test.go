package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

// scriptSlots limits the scripts that run concurrently: each starts five processes, and at most 12 may run.
var scriptSlots = make(chan struct{}, 2)

// Guards against failures that only show between real processes; the head of each script says which.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			scriptSlots <- struct{}{}
			env.Defer(func() { <-scriptSlots })
			w, err := newWorld(env.WorkDir)
			if err != nil {
				return err
			}
			env.Values["world"] = w
			for i := range 3 {
				env.Setenv(fmt.Sprintf("ID%d", i+1), newID())
			}
			env.Defer(func() {
				w.close()
				if err := w.checkLogs(); err != nil {
					env.T().Fatal(err)
				}
			})
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"group":      command(func(c *call) error { return c.w.startGroup() }),
			"endpoint":   command(endpointCommand),
			"submit":     command(submitCommand),
			"key":        command(keyCommand),
			"request":    command(requestCommand),
			"leader":     command(leaderCommand),
			"process":    command(processCommand),
			"load":       command(loadCommand),
			"mark":       command(markCommand),
			"hold":       command(holdCommand),
			"burst":      command(burstCommand),
			"refuses":    command(refusesCommand),
			"members":    command(membersCommand),
			"identity":   command(identityCommand),
			"race":       command(raceCommand),
			"changes":    command(changesCommand),
			"version":    command(versionCommand),
			"background": command(backgroundCommand),
		},
	})
}

// call is one call of a script command. Its arguments are words, and settings of the form name=value.
type call struct {
	ts      *testscript.TestScript
	w       *world
	neg     bool
	words   []string
	setting map[string]string
}

func command(f func(c *call) error) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		c := &call{ts: ts, w: ts.Value("world").(*world), neg: neg, setting: map[string]string{}}
		for _, a := range args {
			if name, value, ok := strings.Cut(a, "="); ok {
				c.setting[name] = value
			} else {
				c.words = append(c.words, a)
			}
		}
		if err := f(c); err != nil {
			for _, p := range c.w.processes {
				ts.Logf("end of the log of %s:\n%s", p.name, logTail(p))
			}
			ts.Fatalf("%v", err)
		}
	}
}

func logTail(p *process) string {
	data, _ := os.ReadFile(p.w.dir + "/" + p.name + ".log") // a missing log counts as empty
	return string(data[max(0, len(data)-1500):])
}

func (c *call) word(i int) string {
	if i >= len(c.words) {
		return ""
	}
	return c.words[i]
}

func (c *call) number(name string, fallback int) int {
	if c.setting[name] == "" {
		return fallback
	}
	n, err := strconv.Atoi(c.setting[name])
	c.ts.Check(err)
	return n
}

func (c *call) duration(name string, fallback time.Duration) time.Duration {
	if c.setting[name] == "" {
		return fallback
	}
	d, err := time.ParseDuration(c.setting[name])
	c.ts.Check(err)
	return d
}

// query returns the query of requests. Scripts write colons instead of equals signs, which separate the name of a
// setting from its value.
func (c *call) query() string { return strings.ReplaceAll(c.setting["query"], ":", "=") }

// processes returns the processes that the setting names, or all if it is missing.
func (c *call) processes(name string) ([]*process, error) {
	if c.setting[name] == "" {
		return c.w.processes, nil
	}
	var list []*process
	for n := range strings.SplitSeq(c.setting[name], ",") {
		p, err := c.w.process(n)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// operator returns a client for the processes that the setting via names, or for all if it is missing.
func (c *call) operator() (*operator.Client, error) {
	if via := c.setting["via"]; via != "" {
		return c.w.operator(strings.Split(via, ",")...)
	}
	return c.w.operator()
}

// submit base=N [version=N] [op=ID] [via=NAMES] [mark=N] [wait=no] submits a configuration. With ! it must end as a
// conflict.
func submitCommand(c *call) error {
	base := c.number("base", 0)
	doc, err := document(c.number("mark", base))
	if err != nil {
		return err
	}
	client, err := c.operator()
	if err != nil {
		return err
	}
	a, err := client.Submit(context.Background(), operator.Submission{
		OperationID: c.setting["op"], BaseVersion: uint64(base), Document: doc,
		WaitInForce: !c.neg && c.setting["wait"] != "no",
	})
	var apiErr *operator.Error
	if c.neg && errors.As(err, &apiErr) && apiErr.Kind == operator.KindConflict {
		return nil
	}
	if err != nil || c.neg {
		return fmt.Errorf("submission with base %d ended as version %d, %w", base, a.Version, err)
	}
	if a.InForceError != "" {
		return errors.New(a.InForceError)
	}
	if want := c.number("version", base+1); a.Version != uint64(want) {
		return fmt.Errorf("submission resulted in version %d, want %d", a.Version, want)
	}
	return nil
}

// key grant|revoke TEAM grants a key to the team or revokes its current key.
func keyCommand(c *call) error {
	client, err := c.operator()
	if err != nil {
		return err
	}
	team := c.word(1)
	if c.word(0) == "revoke" {
		secret, _ := c.w.key(team)
		return client.Revoke(context.Background(), operator.NewOperationID(), secret.ID())
	}
	secret, err := client.Grant(context.Background(), operator.NewOperationID(), team)
	c.w.setKey(team, secret)
	return err
}

// request PROCESS METHOD TEAM want=STATUS[/OUTCOME] [id=ID] [within=BOUND] [query=...] sends a request. With a bound it
// is repeated, with new identifiers unless one is given, until the response is the wanted one.
func requestCommand(c *call) error {
	p, err := c.w.process(c.word(0))
	if err != nil {
		return err
	}
	status, outcome, _ := strings.Cut(c.setting["want"], "/")
	var last response
	got := func() bool {
		id := c.setting["id"]
		if id == "" {
			id = newID()
		}
		last = c.w.send(p, c.word(1), c.word(2), id, c.query())
		return last.err == nil && strconv.Itoa(last.status) == status && last.outcome == outcome
	}
	if err := c.w.waitFor("wanted response", c.duration("within", 0), got); err != nil {
		return fmt.Errorf("%w: last response: %v, ran %d times", err, last, last.ran)
	}
	return c.w.recorder.check()
}

// leader VARIABLE [within=BOUND] [not=NAME] waits for a leader and sets the variable to its name.
func leaderCommand(c *call) error {
	return c.w.waitFor("leader", c.duration("within", startBound), func() bool {
		p := c.w.leader()
		if p == nil || p.name == c.setting["not"] {
			return false
		}
		c.ts.Setenv(c.word(0), p.name)
		return true
	})
}

var signals = map[string]syscall.Signal{"stop": syscall.SIGSTOP, "continue": syscall.SIGCONT, "term": syscall.SIGTERM}

// process ACTION NAMES... applies an action to the named processes: kill, stop, continue, term, await, start, ready,
// lose-data, isolate or rejoin.
func processCommand(c *call) error {
	var group sync.WaitGroup
	errs := make([]error, len(c.words))
	for i, name := range c.words[1:] {
		p, err := c.w.process(name)
		if err != nil {
			return err
		}
		group.Go(func() { errs[i] = c.applyAction(p) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (c *call) applyAction(p *process) error {
	switch action := c.word(0); action {
	case "kill":
		return p.kill()
	case "await":
		return p.await(stopBound)
	case "start":
		return p.start(false)
	case "ready":
		return c.w.waitFor(p.name+" is ready", c.duration("within", startBound), p.ready)
	case "lose-data":
		return os.RemoveAll(p.dataDirectory())
	case "isolate":
		return p.isolate()
	case "rejoin":
		return p.rejoin()
	default:
		sig, ok := signals[action]
		if !ok {
			return fmt.Errorf("unknown action %q", action)
		}
		return p.signal(sig)
	}
}

// load start [to=NAMES] [workers=N] [query=...], load await served=N, load stop [served=N] [aborted=N] [no-lease=N]
// [at=NAMES]. aborted and no-lease limit the number of such responses of the processes that at names, or of all.
func loadCommand(c *call) error {
	w := c.w
	switch c.word(0) {
	case "start":
		targets, err := c.processes("to")
		if err != nil {
			return err
		}
		w.startLoad(targets, c.number("workers", 8), c.query())
		return nil
	case "await":
		start := w.load.count(served)
		want := c.number("served", 1)
		err := w.waitFor(fmt.Sprintf("%d more served requests", want), c.duration("within", startBound), func() bool {
			return w.load.count(served) >= start+want
		})
		if err != nil {
			return fmt.Errorf("%w; %s", err, w.load.summary())
		}
		return nil
	}
	w.load.stop()
	c.ts.Logf("load: %s", w.load.summary())
	if want, n := c.number("served", 1), w.load.count(served); n < want {
		return fmt.Errorf("%d requests were served, want at least %d", n, want)
	}
	for name, match := range map[string]func(response) bool{
		"aborted":  aborted,
		"no-lease": func(a response) bool { return a.reason == "no-lease" },
	} {
		at := func(a response) bool {
			return match(a) && (c.setting["at"] == "" || strings.Contains(c.setting["at"], a.process))
		}
		if n := w.load.count(at); c.setting[name] != "" && n > c.number(name, 0) {
			return fmt.Errorf("%d responses are %s, want at most %s; %s", n, name, c.setting[name], w.load.summary())
		}
	}
	return w.load.check()
}
