package platformtest

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/platform"
)

// Config holds the settings of a stand-in.
type Config struct {
	// Instances are the names of the workers.
	Instances []string
	// Now is the clock; nil uses the real one.
	Now func() time.Time
	// RunDuration returns how long a task runs; nil is 1 s.
	RunDuration func(m platform.StartRequest) time.Duration
	// RebootDuration is how long a reboot takes; 0 is 1 s.
	RebootDuration time.Duration
	// UsageDelay is how late usage samples are.
	UsageDelay time.Duration
	// DropResponse is asked after each call took effect; true aborts the connection without an answer. It may be nil.
	DropResponse func(path string) bool
}

// Platform is the stand-in; it is safe for concurrent use.
type Platform struct {
	cfg Config

	mu        sync.Mutex
	tasks     map[ref]*task
	highest   map[string]uint64
	instances map[string]*instance
	starts    map[string]int
	changes   uint64
	sampled   int // tasks passed over by the next usage call
}

type ref struct {
	job   string
	epoch uint64
}

type task struct {
	platform.Task
	request platform.StartRequest
	began   time.Time
	end     time.Time
	seen    platform.Task
	changed uint64
}

type instance struct {
	platform.Instance
	draining, failing, lost, stuck bool
	back                           time.Time
	seen                           platform.Instance
	changed                        uint64
}

// New returns a stand-in with all instances healthy.
func New(cfg Config) *Platform {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.RunDuration == nil {
		cfg.RunDuration = func(platform.StartRequest) time.Duration { return time.Second }
	}
	if cfg.RebootDuration == 0 {
		cfg.RebootDuration = time.Second
	}
	p := &Platform{
		cfg: cfg, tasks: map[ref]*task{}, highest: map[string]uint64{}, instances: map[string]*instance{},
		starts: map[string]int{},
	}
	for _, name := range cfg.Instances {
		p.instances[name] = &instance{Instance: platform.Instance{Instance: name, Healthy: true}}
	}
	return p
}

// SetFailing makes every task that starts on the instance fail, or ends that.
func (p *Platform) SetFailing(name string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[name].failing = on
}

// SetUnreachable makes an instance unreachable and its tasks lost, or brings it back.
func (p *Platform) SetUnreachable(name string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update()
	p.instances[name].lost = on
	if on {
		p.endTasks(name, platform.StateLost)
	}
}

// HangReboots makes reboots of the instance never end.
func (p *Platform) HangReboots(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[name].stuck = true
}

// StartCount returns how often tasks of the job were really run.
func (p *Platform) StartCount(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[job]
}

// ServeHTTP answers the calls of the protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, code := p.serve(r)
	if p.cfg.DropResponse != nil && p.cfg.DropResponse(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	if code != http.StatusOK {
		http.Error(w, http.StatusText(code), code)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a failed write shows as a lost answer
}

func (p *Platform) serve(r *http.Request) (answer any, code int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update()
	switch r.Method + " " + r.URL.Path {
	case "GET /tasks":
		return p.listTasks(r.FormValue("after")), http.StatusOK
	case "GET /instances":
		return p.listInstances(r.FormValue("after")), http.StatusOK
	case "GET /usage":
		n, _ := strconv.Atoi(r.FormValue("max"))
		return p.usage(n), http.StatusOK
	case "POST /tasks/start":
		var m platform.StartRequest
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			return nil, http.StatusBadRequest
		}
		return p.start(m)
	case "POST /tasks/checkpoint", "POST /tasks/throttle", "POST /tasks/stop":
		var m platform.TaskRequest
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			return nil, http.StatusBadRequest
		}
		return p.change(r.URL.Path, m)
	case "POST /instances/drain", "POST /instances/reboot", "POST /instances/resume":
		var m platform.InstanceRequest
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			return nil, http.StatusBadRequest
		}
		return p.maintain(r.URL.Path, m)
	}
	return nil, http.StatusNotFound
}

// update ends tasks whose time is over and reboots that are done.
func (p *Platform) update() {
	now := p.cfg.Now()
	busy := map[string]bool{}
	for _, t := range p.tasks {
		if t.State == platform.StateRunning && !now.Before(t.end) {
			t.State = platform.StateFinished
		}
		if t.State == platform.StateRunning {
			busy[t.request.Instance] = true
		}
	}
	for name, in := range p.instances {
		if !in.back.IsZero() && !now.Before(in.back) && !in.stuck {
			in.back, in.draining, in.Booted = time.Time{}, false, true
		}
		in.Healthy = !in.lost && in.back.IsZero()
		in.Drained = in.draining && !busy[name]
	}
}

func (p *Platform) endTasks(instance, state string) {
	for _, t := range p.tasks {
		if t.request.Instance == instance && t.State == platform.StateRunning {
			t.State = state
		}
	}
}

func (p *Platform) start(m platform.StartRequest) (answer any, code int) {
	id := ref{m.Job, m.Epoch}
	if t, ok := p.tasks[id]; ok {
		return t.Task, http.StatusOK
	}
	if m.Epoch <= p.highest[m.Job] {
		return nil, http.StatusConflict
	}
	t := &task{Task: platform.Task{Job: m.Job, Epoch: m.Epoch, State: platform.StateRunning}, request: m, began: p.cfg.Now()}
	t.end = t.began.Add(p.cfg.RunDuration(m))
	in, ok := p.instances[m.Instance]
	if !ok || in.draining || !in.Healthy || m.InstanceEpoch < in.Epoch {
		t.State = platform.StateRefused
	} else {
		if old, ok := p.tasks[ref{m.Job, p.highest[m.Job]}]; ok && old.State == platform.StateRunning {
			old.State = platform.StateStopped
		}
		p.starts[m.Job]++
		if in.failing {
			t.State, t.Reason = platform.StateFailed, "the worker fails all tasks"
		}
	}
	p.tasks[id], p.highest[m.Job] = t, m.Epoch
	return t.Task, http.StatusOK
}

func (p *Platform) change(path string, m platform.TaskRequest) (answer any, code int) {
	if m.Epoch < p.highest[m.Job] {
		return nil, http.StatusConflict
	}
	t, ok := p.tasks[ref{m.Job, m.Epoch}]
	switch {
	case !ok && path == "/tasks/stop":
		t = &task{Task: platform.Task{Job: m.Job, Epoch: m.Epoch, State: platform.StateStopped}}
		p.tasks[ref{m.Job, m.Epoch}], p.highest[m.Job] = t, m.Epoch
	case !ok:
		return nil, http.StatusNotFound
	case t.State != platform.StateRunning:
	case path == "/tasks/stop":
		t.State = platform.StateStopped
	case path == "/tasks/checkpoint":
		t.State = platform.StateCheckpointed
	default:
		t.Throttled = m.On
	}
	return t.Task, http.StatusOK
}

func (p *Platform) maintain(path string, m platform.InstanceRequest) (answer any, code int) {
	in, ok := p.instances[m.Instance]
	if !ok {
		return nil, http.StatusNotFound
	}
	if m.Epoch < in.Epoch {
		return nil, http.StatusConflict
	}
	newer := m.Epoch > in.Epoch
	in.Epoch = m.Epoch
	if newer {
		in.Booted = false
	}
	switch path {
	case "/instances/drain":
		in.draining = in.draining || newer
	case "/instances/resume":
		in.draining = false
	case "/instances/reboot":
		if in.back.IsZero() && !in.Booted {
			in.back = p.cfg.Now().Add(p.cfg.RebootDuration)
			p.endTasks(m.Instance, platform.StateLost)
		}
	}
	p.update()
	return in.Instance, http.StatusOK
}

// number stamps what changed since the last call and returns the cursor as a number.
func (p *Platform) number(after string) uint64 {
	p.changes++
	for _, t := range p.tasks {
		if t.changed == 0 || t.seen != t.Task {
			t.seen, t.changed = t.Task, p.changes
		}
	}
	for _, in := range p.instances {
		if in.changed == 0 || in.seen != in.Instance {
			in.seen, in.changed = in.Instance, p.changes
		}
	}
	n, err := strconv.ParseUint(after, 10, 64)
	if err != nil || n > p.changes {
		return 0
	}
	return n
}

func (p *Platform) listTasks(after string) platform.Tasks {
	n := p.number(after)
	list := platform.Tasks{Cursor: strconv.FormatUint(p.changes, 10)}
	for _, t := range p.tasks {
		if t.changed > n {
			list.Tasks = append(list.Tasks, t.Task)
		}
	}
	return list
}

func (p *Platform) listInstances(after string) platform.Instances {
	n := p.number(after)
	list := platform.Instances{Cursor: strconv.FormatUint(p.changes, 10)}
	for _, name := range slices.Sorted(maps.Keys(p.instances)) {
		if in := p.instances[name]; in.changed > n {
			list.Instances = append(list.Instances, in.Instance)
		}
	}
	return list
}

// usage returns samples of up to n running tasks, and those of the following tasks on the next call.
func (p *Platform) usage(n int) platform.Usage {
	var running []*task
	at := p.cfg.Now().Add(-p.cfg.UsageDelay)
	for _, t := range p.tasks {
		if t.State == platform.StateRunning && at.After(t.began) {
			running = append(running, t)
		}
	}
	slices.SortFunc(running, func(a, b *task) int { return strings.Compare(a.Job, b.Job) })
	var list platform.Usage
	for i := range min(n, len(running)) {
		t := running[(p.sampled+i)%len(running)]
		list.Samples = append(list.Samples, platform.Sample{
			Job: t.Job, Epoch: t.Epoch, MilliProcessors: t.request.MilliProcessors, MemoryMiB: t.request.MemoryMiB,
			Accelerators: t.request.Accelerators, RanMs: at.Sub(t.began).Milliseconds(),
		})
	}
	p.sampled += n
	return list
}
