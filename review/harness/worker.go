package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// worker is a stand-in of a worker, which may have several lives under the same ID and address.
type worker struct {
	d        *deployment
	name, id string
	address  string
	number   int
	capacity resources
	controls []int // the order in which it calls the processes that serve control

	mu      sync.Mutex
	life    *life
	lives   int
	history []*run
	// state is that of its machine; empty means up, "none" that there is no such machine yet.
	state string
	// sheds makes the worker unhealthy: it answers starts with 503 and does nothing.
	sheds bool
	// fails makes all runs that it starts fail shortly after.
	fails bool
}

// life is one boot of a worker.
type life struct {
	w        *worker
	number   int
	born     time.Time
	server   *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	fence    uint64
	leaseMs  int64
	running  map[string]*run
	highest  map[string]int
	ended    []*run
	lastEnd  int64
	cursor   int64
	sequence uint64
	changed  chan struct{}
}

// run is one run of a subtask.
type run struct {
	worker  string
	life    int
	task    string
	number  int
	spec    string
	start   time.Time
	end     time.Time // zero while it runs
	how     string
	listed  int64
	noted   bool
	stopper *time.Timer
}

func (w *worker) labels() []string { return []string{"a", "r1-1"} }

func (w *worker) setSheds(sheds bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sheds = sheds
	w.d.rec.logf("worker %s sheds starts: %v", w.name, sheds)
}

func (w *worker) setFails(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails = fails
	w.d.rec.logf("worker %s fails all that it starts: %v", w.name, fails)
}

// machine returns the row of its machine in the platform's list, nil if there is none.
func (w *worker) machine() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == "none" {
		return nil
	}
	row := map[string]any{
		"machine": "m-" + w.name, "pool": w.d.pool, "state": "up", "zone": "bole", "labels": w.labels(),
		"capacity": w.capacity, "id": w.id,
	}
	if w.state != "" {
		row["state"], row["id"] = w.state, ""
	}
	return row
}

func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// bootAnew starts a life with another ID, and its machine is up.
func (w *worker) bootAnew() {
	w.mu.Lock()
	w.id, w.state = "i-"+newID()[:10], ""
	w.mu.Unlock()
	if err := w.boot(); err != nil {
		w.d.rec.logf("%v", err)
	}
}

// boot starts a life of the worker. It first listens and then reports itself.
func (w *worker) boot() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.lives++
	ctx, cancel := context.WithCancel(context.Background())
	f := &life{
		w: w, number: w.lives, born: time.Now(), ctx: ctx, cancel: cancel, running: map[string]*run{},
		highest: map[string]int{}, changed: make(chan struct{}),
	}
	w.life = f
	w.mu.Unlock()
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: 3 * time.Second}
	w.d.rec.logf("worker %s: life %d begins, id %s, born %d", w.name, f.number, w.id, f.born.UnixMilli())
	go func() { _ = f.server.Serve(l) }() // It ends with the life.
	go f.sendHeartbeats()
	go f.expire()
	return nil
}

// crash ends the life of the worker without notice.
func (w *worker) crash() {
	w.mu.Lock()
	f := w.life
	w.life = nil
	if f != nil {
		for _, r := range f.running {
			r.stopper.Stop()
			r.end, r.how = time.Now(), "crashed"
		}
		f.cancel()
		close(f.changed)
		f.changed = make(chan struct{})
		w.d.rec.logf("worker %s: life %d crashes with %d runs", w.name, f.number, len(f.running))
	}
	w.mu.Unlock()
	if f != nil {
		_ = f.server.Close()
	}
}

// deadlySpec is the spec of a subtask that crashes each worker that starts it.
const deadlySpec = "deadly"

// crashAndReturn crashes a life of the worker. The next life begins two seconds later, with another ID and address.
func (w *worker) crashAndReturn(f *life) {
	w.mu.Lock()
	current := w.life == f
	w.mu.Unlock()
	if !current {
		return
	}
	w.crash()
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	w.id = "i-" + newID()[:10]
	w.address = fmt.Sprintf("%s.3.%d:%d", w.d.network, 20*w.lives+w.number, w.d.port)
	w.mu.Unlock()
	if err := w.boot(); err != nil {
		w.d.rec.logf("%v", err)
	}
}

func (f *life) clock() int64 { return time.Since(f.born).Milliseconds() }

// expire kills everything that runs when the lease has expired.
func (f *life) expire() {
	for f.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		f.w.mu.Lock()
		if f.w.life == f && f.clock() > f.leaseMs {
			for _, r := range f.running {
				f.finish(r, "lapsed")
			}
		}
		f.w.mu.Unlock()
	}
}

// finish ends a run. The caller holds the lock of the worker.
func (f *life) finish(r *run, how string) {
	if f.running[r.task] != r {
		return
	}
	r.stopper.Stop()
	delete(f.running, r.task)
	f.lastEnd++
	r.end, r.how, r.listed = time.Now(), how, f.lastEnd
	f.ended = append(f.ended, r)
	f.w.d.rec.logf("worker %s life %d: run %s#%d ends %s", f.w.name, f.number, r.task, r.number, how)
	close(f.changed)
	f.changed = make(chan struct{})
}

// heartbeat returns the body of a heartbeat.
func (f *life) heartbeat() map[string]any {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.sequence++
	return map[string]any{
		"service": f.w.d.pool, "address": f.w.address, "zone": "bole", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": f.w.capacity, "labels": f.w.labels(), "clockMs": f.clock(),
		"sequence": f.sequence, "born": f.born.UnixMilli(),
	}
}

// sendHeartbeats sends a heartbeat at once and then one in each interval, to the next process if one doesn't
// acknowledge it within a second.
func (f *life) sendHeartbeats() {
	at := 0
	for f.ctx.Err() == nil {
		body := f.heartbeat()
		for range 2 * len(f.w.controls) {
			n := f.w.controls[at%len(f.w.controls)]
			status, err := postJSON(f.ctx, "http://"+f.w.d.controlAddress(n)+"/Instances.Heartbeat/"+f.w.id, body)
			if err == nil && status/100 == 2 {
				break
			}
			if f.ctx.Err() != nil {
				return
			}
			f.w.d.rec.logf("worker %s life %d: heartbeat %v to core-%d: status %d, %v", f.w.name, f.number,
				body["sequence"], n+1, status, err)
			at++
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

// postJSON sends a body and returns the status; it waits a second for the answer.
func postJSON(ctx context.Context, url string, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data)) //nolint:gosec // A loopback address.
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req) //nolint:gosec // A loopback address.
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, nil
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (f *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := f.w
	if r.Header.Get("X-Hibiscusroute-Target-Instance") != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": f.clock(), "born": f.born.UnixMilli()})
		return
	}
	o := &order{}
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.life != f {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if w.sheds && r.URL.Path == "/run-start" {
		w.mu.Unlock()
		writeJSON(rw, http.StatusServiceUnavailable, map[string]any{"clockMs": f.clock(), "born": f.born.UnixMilli()})
		return
	}
	if o.FencingToken < f.fence {
		w.mu.Unlock()
		f.reject(rw, "fence")
		return
	}
	f.fence = o.FencingToken
	f.leaseMs = max(f.leaseMs, min(o.DeadlineMS, f.clock()+6000))
	switch r.URL.Path {
	case "/run-start":
		f.startRun(rw, o)
	case "/run-stop":
		f.highest[o.Task] = max(f.highest[o.Task], o.Run)
		if x := f.running[o.Task]; x != nil && x.number <= o.Run {
			w.d.rec.logf("worker %s life %d: told to stop %s#%d", w.name, f.number, o.Task, o.Run)
			f.finish(x, "stopped")
		}
		w.mu.Unlock()
		f.accept(rw)
	case "/pace":
		w.mu.Unlock()
		f.accept(rw)
	case "/hold":
		f.hold(rw, r, o)
	default:
		w.mu.Unlock()
		rw.WriteHeader(http.StatusBadRequest)
	}
}

func (f *life) accept(rw http.ResponseWriter) {
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": f.clock(), "born": f.born.UnixMilli()})
}

func (f *life) reject(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": f.clock(), "born": f.born.UnixMilli(), "reason": reason})
}

// startRun starts a run. The caller holds the lock of the worker, which it releases.
func (f *life) startRun(rw http.ResponseWriter, o *order) {
	w := f.w
	x := f.running[o.Task]
	switch {
	case x != nil && x.number == o.Run:
		w.mu.Unlock()
		f.accept(rw)
		return
	case o.Run <= f.highest[o.Task]:
		w.mu.Unlock()
		f.reject(rw, "old")
		return
	case o.DeadlineMS < f.clock():
		w.mu.Unlock()
		f.reject(rw, "late")
		return
	}
	f.highest[o.Task] = o.Run
	n := &run{worker: w.name, life: f.number, task: o.Task, number: o.Run, spec: o.Spec, start: time.Now()}
	f.running[o.Task] = n
	w.history = append(w.history, n)
	w.d.rec.logf("worker %s life %d: starts %s#%d, token %d, lease to %d at clock %d", w.name, f.number, o.Task, o.Run,
		o.FencingToken, o.DeadlineMS, f.clock())
	duration, how := specDuration(o.Spec), "done"
	if o.Spec == deadlySpec {
		n.stopper = time.AfterFunc(100*time.Millisecond, func() { w.crashAndReturn(f) })
		w.mu.Unlock()
		f.accept(rw)
		return
	}
	if w.fails {
		duration, how = 100*time.Millisecond, "failed"
	}
	n.stopper = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == f {
			f.finish(n, how)
		}
	})
	w.mu.Unlock()
	f.accept(rw)
}

// specDuration returns how long a subtask with a spec of the form "ms=N" works.
func specDuration(spec string) time.Duration {
	n, err := strconv.Atoi(strings.TrimPrefix(spec, "ms="))
	if err != nil {
		return time.Second
	}
	return time.Duration(n) * time.Millisecond
}

// hold answers with the lists of runs. The caller holds the lock of the worker, which it releases.
func (f *life) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	w := f.w
	if o.AckCursor > f.cursor {
		f.cursor = o.AckCursor
		for len(f.ended) > 0 && f.ended[0].listed <= o.AckCursor {
			f.ended[0].noted = true
			w.d.rec.logf("worker %s life %d: end of %s#%d (%s) is taken note of", w.name, f.number, f.ended[0].task,
				f.ended[0].number, f.ended[0].how)
			f.ended = f.ended[1:]
		}
	}
	deadline := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(f.ended) == 0; {
		changed := f.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
		if w.life != f {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range f.running {
		running = append(running, []any{x.task, x.number, "", 50, 100})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i]) < fmt.Sprint(running[j]) })
	for _, x := range f.ended[:min(len(f.ended), 500)] {
		ended = append(ended, []any{x.listed, x.task, x.number, x.how, ""})
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{
		"clockMs": f.clock(), "born": f.born.UnixMilli(), "running": running, "ended": ended,
	})
}
