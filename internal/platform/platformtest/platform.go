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

// Config holds the settings of a fake platform.
type Config struct {
	// Instances are the names of the instances.
	Instances []string
	// Now returns the current time; nil selects time.Now.
	Now func() time.Time
	// RunDuration returns how long a task runs; nil selects 1 s for every task.
	RunDuration func(m platform.StartRequest) time.Duration
	// RebootDuration is how long a reboot takes; 0 selects 1 s.
	RebootDuration time.Duration
	// UsageDelay is the delay with which usage samples become visible.
	UsageDelay time.Duration
	// DropResponse is called after each request has taken effect; if it returns true, the connection is aborted without
	// a response. It may be nil.
	DropResponse func(path string) bool
}

// Platform is a fake platform; it is safe for concurrent use.
type Platform struct {
	cfg Config

	mu           sync.Mutex
	tasks        map[taskKey]*task
	highestEpoch map[string]uint64
	instances    map[string]*instance
	startCounts  map[string]int
	version      uint64
	sampleOffset int // number of running tasks that the next usage request skips
}

type taskKey struct {
	job   string
	epoch uint64
}

type task struct {
	platform.Task
	request        platform.StartRequest
	startedAt      time.Time
	endsAt         time.Time
	reported       platform.Task
	changedVersion uint64
}

type instance struct {
	platform.Instance
	draining, failing, unreachable, rebootHangs bool
	rebootEndsAt                                time.Time
	reported                                    platform.Instance
	changedVersion                              uint64
}

// New returns a fake platform whose instances are all healthy.
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
		cfg: cfg, tasks: map[taskKey]*task{}, highestEpoch: map[string]uint64{}, instances: map[string]*instance{},
		startCounts: map[string]int{},
	}
	for _, name := range cfg.Instances {
		p.instances[name] = &instance{Instance: platform.Instance{Instance: name, Healthy: true}}
	}
	return p
}

// SetFailing sets whether every task that starts on the instance fails.
func (p *Platform) SetFailing(name string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[name].failing = on
}

// SetUnreachable sets whether an instance is unreachable; the running tasks of an unreachable instance are lost.
func (p *Platform) SetUnreachable(name string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.instances[name].unreachable = on
	if on {
		p.endTasksOn(name, platform.StateLost)
	}
}

// HangReboots makes reboots of the instance never finish.
func (p *Platform) HangReboots(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[name].rebootHangs = true
}

// StartCount returns how many times a task of the job was started, without repeated and refused requests.
func (p *Platform) StartCount(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCounts[job]
}

// ServeHTTP implements http.Handler with the calls of the protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, code := p.serve(r)
	if p.cfg.DropResponse != nil && p.cfg.DropResponse(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	if code != http.StatusOK {
		http.Error(w, http.StatusText(code), code)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // to the client, a failed write is a lost response
}

func (p *Platform) serve(r *http.Request) (response any, code int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	switch r.Method + " " + r.URL.Path {
	case "GET /tasks":
		return p.listTasks(r.FormValue("after")), http.StatusOK
	case "GET /instances":
		return p.listInstances(r.FormValue("after")), http.StatusOK
	case "GET /usage":
		n, _ := strconv.Atoi(r.FormValue("max"))
		return p.usageSamples(n), http.StatusOK
	case "POST /tasks/start":
		var m platform.StartRequest
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			return nil, http.StatusBadRequest
		}
		return p.startTask(m)
	case "POST /tasks/checkpoint", "POST /tasks/throttle", "POST /tasks/stop":
		var m platform.TaskRequest
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			return nil, http.StatusBadRequest
		}
		return p.changeTask(r.URL.Path, m)
	case "POST /instances/drain", "POST /instances/reboot", "POST /instances/resume":
		var m platform.InstanceRequest
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			return nil, http.StatusBadRequest
		}
		return p.maintainInstance(r.URL.Path, m)
	}
	return nil, http.StatusNotFound
}

// advance ends the tasks and reboots whose end time has passed, and updates the state of the instances.
func (p *Platform) advance() {
	now := p.cfg.Now()
	busy := map[string]bool{}
	for _, t := range p.tasks {
		if t.State == platform.StateRunning && !now.Before(t.endsAt) {
			t.State = platform.StateFinished
		}
		if t.State == platform.StateRunning {
			busy[t.request.Instance] = true
		}
	}
	for name, in := range p.instances {
		if !in.rebootEndsAt.IsZero() && !now.Before(in.rebootEndsAt) && !in.rebootHangs {
			in.rebootEndsAt, in.draining, in.Booted = time.Time{}, false, true
		}
		in.Healthy = !in.unreachable && in.rebootEndsAt.IsZero()
		in.Drained = in.draining && !busy[name]
	}
}

func (p *Platform) endTasksOn(instance, state string) {
	for _, t := range p.tasks {
		if t.request.Instance == instance && t.State == platform.StateRunning {
			t.State = state
		}
	}
}

func (p *Platform) startTask(m platform.StartRequest) (response any, code int) {
	id := taskKey{m.Job, m.Epoch}
	if t, ok := p.tasks[id]; ok {
		return t.Task, http.StatusOK
	}
	if m.Epoch <= p.highestEpoch[m.Job] {
		return nil, http.StatusConflict
	}
	t := &task{
		Task:    platform.Task{Job: m.Job, Epoch: m.Epoch, State: platform.StateRunning},
		request: m, startedAt: p.cfg.Now(),
	}
	t.endsAt = t.startedAt.Add(p.cfg.RunDuration(m))
	in, ok := p.instances[m.Instance]
	if !ok || in.draining || !in.Healthy || m.InstanceEpoch < in.Epoch {
		t.State = platform.StateRefused
	} else {
		if old, ok := p.tasks[taskKey{m.Job, p.highestEpoch[m.Job]}]; ok && old.State == platform.StateRunning {
			old.State = platform.StateStopped
		}
		p.startCounts[m.Job]++
		if in.failing {
			t.State, t.Reason = platform.StateFailed, "the worker fails all tasks"
		}
	}
	p.tasks[id], p.highestEpoch[m.Job] = t, m.Epoch
	return t.Task, http.StatusOK
}

func (p *Platform) changeTask(path string, m platform.TaskRequest) (response any, code int) {
	if m.Epoch < p.highestEpoch[m.Job] {
		return nil, http.StatusConflict
	}
	t, ok := p.tasks[taskKey{m.Job, m.Epoch}]
	switch {
	case !ok && path == "/tasks/stop":
		t = &task{Task: platform.Task{Job: m.Job, Epoch: m.Epoch, State: platform.StateStopped}}
		p.tasks[taskKey{m.Job, m.Epoch}], p.highestEpoch[m.Job] = t, m.Epoch
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

func (p *Platform) maintainInstance(path string, m platform.InstanceRequest) (response any, code int) {
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
		if in.rebootEndsAt.IsZero() && !in.Booted {
			in.rebootEndsAt = p.cfg.Now().Add(p.cfg.RebootDuration)
			p.endTasksOn(m.Instance, platform.StateLost)
		}
	}
	p.advance()
	return in.Instance, http.StatusOK
}

// recordChanges assigns a new version to the tasks and instances that changed since the last call, and parses the
// cursor; 0 selects all.
func (p *Platform) recordChanges(after string) uint64 {
	p.version++
	for _, t := range p.tasks {
		if t.changedVersion == 0 || t.reported != t.Task {
			t.reported, t.changedVersion = t.Task, p.version
		}
	}
	for _, in := range p.instances {
		if in.changedVersion == 0 || in.reported != in.Instance {
			in.reported, in.changedVersion = in.Instance, p.version
		}
	}
	n, err := strconv.ParseUint(after, 10, 64)
	if err != nil || n > p.version {
		return 0
	}
	return n
}

func (p *Platform) listTasks(after string) platform.Tasks {
	n := p.recordChanges(after)
	list := platform.Tasks{Cursor: strconv.FormatUint(p.version, 10)}
	for _, t := range p.tasks {
		if t.changedVersion > n {
			list.Tasks = append(list.Tasks, t.Task)
		}
	}
	return list
}

func (p *Platform) listInstances(after string) platform.Instances {
	n := p.recordChanges(after)
	list := platform.Instances{Cursor: strconv.FormatUint(p.version, 10)}
	for _, name := range slices.Sorted(maps.Keys(p.instances)) {
		if in := p.instances[name]; in.changedVersion > n {
			list.Instances = append(list.Instances, in.Instance)
		}
	}
	return list
}

// usageSamples returns samples of up to n running tasks; the next call continues with the tasks after them.
func (p *Platform) usageSamples(n int) platform.Usage {
	var running []*task
	at := p.cfg.Now().Add(-p.cfg.UsageDelay)
	for _, t := range p.tasks {
		if t.State == platform.StateRunning && at.After(t.startedAt) {
			running = append(running, t)
		}
	}
	slices.SortFunc(running, func(a, b *task) int { return strings.Compare(a.Job, b.Job) })
	var list platform.Usage
	for i := range min(n, len(running)) {
		t := running[(p.sampleOffset+i)%len(running)]
		list.Samples = append(list.Samples, platform.Sample{
			Job: t.Job, Epoch: t.Epoch, MilliProcessors: t.request.MilliProcessors, MemoryMiB: t.request.MemoryMiB,
			Accelerators: t.request.Accelerators, RanMs: at.Sub(t.startedAt).Milliseconds(),
		})
	}
	p.sampleOffset += n
	return list
}
