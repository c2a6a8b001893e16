package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// behavior is what the specification of a job tells the workers about its tasks.
type behavior struct {
	// WorkMS is how long a run works.
	WorkMS int `json:"workMs"`
	// FailRuns is the number of the first runs of each task that fail by the task's own fault.
	FailRuns int `json:"failRuns"`
	// Last is set for tasks that work until they are stopped, but for the runs that fail.
	Last bool `json:"last"`
	// GangSize is the number of members of a gang, 0 for other tasks.
	GangSize int `json:"gangSize"`
}

// run is a run of a task on a worker.
type run struct {
	task   string
	number int
	spec   behavior
	// arrivedAt is when the run was started, startsAt when it began to work: the members of a gang do so together.
	arrivedAt, startsAt time.Time
}

// endedRun is an entry of the list of ends.
type endedRun struct {
	n      int64
	task   string
	number int
	how    string
}

// start is a start that a worker carried out, for the checks.
type start struct {
	at     time.Duration
	task   string
	number int
	worker string
	pool   string
}

// end is the end of a run.
type end struct {
	at     time.Duration
	task   string
	number int
	worker string
	how    string
}

// worker is a stand-in for one life of a worker.
type worker struct {
	fleet                     *fleet
	id, machine, pool, zone   string
	rack, address             string
	born                      int64
	bootedAt                  time.Time
	cpu, memory               int
	server                    *http.Server
	stop                      context.CancelFunc
	mu                        sync.Mutex
	fence                     uint64
	leaseEnd                  int64 // on the worker's clock in milliseconds
	runs                      map[string]*run
	highest                   map[string]int // highest run that was stopped or has ended
	ends                      []endedRun
	lastEnd, cursor, sequence int64
	changed                   chan struct{}
	gone                      bool
	cutUntil                  time.Time // the machine is dark
}

// fleet holds the workers and what they have done.
type fleet struct {
	rec      *record
	sys      *system
	controls func() []string
	mu       sync.Mutex
	workers  map[string]*worker // by machine
	starts   []start
	ended    []end
	gangs    map[string]*gang
	boots    int
}

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gang is a run of a gang.
type gang struct {
	members map[string]*worker // by task
	number  int
	spec    behavior
	begunAt time.Time
}

func newFleet(rec *record, sys *system) *fleet {
	return &fleet{rec: rec, sys: sys, controls: sys.controlAddresses, workers: map[string]*worker{}, gangs: map[string]*gang{}}
}

// boot starts a worker on a machine. The number gives its address.
func (f *fleet) boot(number int, machine, pool, zone, rack string, cpu, memory int) error {
	f.mu.Lock()
	f.boots++
	id := fmt.Sprintf("i-%s-%d", machine, f.boots)
	f.mu.Unlock()
	w := &worker{
		fleet: f, id: id, machine: machine, pool: pool, zone: zone, rack: rack, cpu: cpu, memory: memory,
		address: net.JoinHostPort(f.sys.address(number), strconv.Itoa(workerPort)), born: time.Now().UnixMilli(),
		bootedAt: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	mux.HandleFunc("POST /pace", w.servePace)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		if err := w.server.Serve(ln); err != nil && err != http.ErrServerClosed {
			f.rec.add("worker %s: %v", w.id, err)
		}
	}()
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.work(ctx)
	go w.announce(ctx)
	f.mu.Lock()
	f.workers[machine] = w
	f.mu.Unlock()
	f.rec.add("worker %s of pool %s boots on %s", w.id, pool, machine)
	return nil
}

// end ends a worker at once, with everything that it runs.
func (w *worker) end() {
	w.stop()
	w.mu.Lock()
	w.gone = true
	var lost []string
	for task := range w.runs {
		lost = append(lost, task)
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	if err := w.server.Close(); err != nil {
		w.fleet.rec.add("worker %s: %v", w.id, err)
	}
	w.fleet.mu.Lock()
	if w.fleet.workers[w.machine] == w {
		delete(w.fleet.workers, w.machine)
	}
	w.fleet.mu.Unlock()
	w.fleet.rec.add("worker %s ended with %d runs", w.id, len(lost))
}

func (w *worker) clock() int64 { return time.Since(w.bootedAt).Milliseconds() }

// announce sends heartbeats to any control process.
func (w *worker) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for next := int(w.born); ctx.Err() == nil; {
		if w.isCut() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		w.mu.Lock()
		w.sequence++
		body := map[string]any{
			"service": w.pool, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": map[string]int{"cpu": w.cpu, "memMb": w.memory, "gpu": 0},
			"labels": []string{"a", w.rack}, "clockMs": w.clock(), "sequence": w.sequence, "born": w.born,
		}
		w.mu.Unlock()
		list := w.fleet.controls()
		for range list {
			url := "http://" + list[next%len(list)] + "/Instances.Heartbeat/" + w.id
			if status, _, err := call(ctx, client, http.MethodPost, url, nil, body); err == nil && status/100 == 2 {
				break
			}
			next++
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(w.fleet.sys.bounds.heartbeatMS) * time.Millisecond):
		}
	}
}

// work ends the runs that are done, and all runs when the lease has expired.
func (w *worker) work(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.runs {
			switch {
			case w.clock() > w.leaseEnd:
				w.finish(r, "lapsed")
			case r.spec.GangSize > 0 && r.startsAt.IsZero():
				if now.Sub(r.arrivedAt) > gangTimeout {
					w.finish(r, "alone")
				}
			case r.spec.Last && r.number > r.spec.FailRuns || r.spec.GangSize > 0:
			case now.Sub(r.startsAt) >= time.Duration(r.spec.WorkMS)*time.Millisecond:
				if r.number <= r.spec.FailRuns {
					w.finish(r, "failed")
				} else {
					w.finish(r, "done")
				}
			}
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// finish lists the end of a run; w.mu is held.
func (w *worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, endedRun{w.lastEnd, r.task, r.number, how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.fleet.rec.add("end   %s run %d on %s: %s", r.task, r.number, w.id, how)
	w.fleet.mu.Lock()
	w.fleet.ended = append(w.fleet.ended, end{w.fleet.rec.since(), r.task, r.number, w.id, how})
	w.fleet.mu.Unlock()
}

// request is the body of any request to a worker.
type request struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

// crash ends everything that runs on a worker. Nothing reaches its machine for a while, and nothing comes from it.
func (w *worker) crash(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutUntil = time.Now().Add(d)
	w.fleet.rec.add("worker %s crashes silently, with %d runs; its machine is dark for %s", w.id, len(w.runs), d)
	w.runs = map[string]*run{}
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.cutUntil)
}

// drop holds a request or its answer back while the machine is dark, and then loses it.
func (w *worker) drop(r *http.Request) {
	if !w.isCut() {
		return
	}
	await(time.Minute, func() bool { return !w.isCut() || r.Context().Err() != nil })
	panic(http.ErrAbortHandler)
}

// decode reads a request and answers one that the worker doesn't take. It locks w.mu if the request is taken.
func (w *worker) decode(rw http.ResponseWriter, r *http.Request) (*request, bool) {
	m := &request{}
	data, err := io.ReadAll(r.Body)
	w.drop(r)
	if err != nil || json.Unmarshal(data, m) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	if r.Header.Get("X-Hibiscusroute-Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	w.mu.Lock()
	if m.FencingToken < w.fence {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, "fence")
		return nil, false
	}
	w.fence = m.FencingToken
	return m, true
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clockMs": w.clock(), "born": w.born}
	if reason != "" {
		body["reason"] = reason
	}
	reply(rw, status, body)
}

func reply(rw http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data) // The caller may have gone.
}

// extend extends the lease; w.mu is held.
func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+int64(w.fleet.sys.bounds.holdMaxMS)))
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.decode(rw, r)
	if !ok {
		return
	}
	status, reason := http.StatusOK, ""
	present := w.runs[m.Task]
	switch {
	case present != nil && present.number == m.Run:
		w.extend(m.DeadlineMS)
	case m.Run <= w.highest[m.Task] || present != nil && m.Run < present.number:
		w.extend(m.DeadlineMS)
		status, reason = http.StatusConflict, "old"
	case max(m.DeadlineMS, w.leaseEnd) <= w.clock():
		status, reason = http.StatusConflict, "late"
	default:
		w.extend(m.DeadlineMS)
		w.begin(m)
	}
	w.mu.Unlock()
	w.answer(rw, status, reason)
}

// begin begins a run; w.mu is held.
func (w *worker) begin(m *request) {
	nr := &run{task: m.Task, number: m.Run, arrivedAt: time.Now()}
	if err := json.Unmarshal([]byte(m.Spec), &nr.spec); err != nil {
		w.fleet.rec.add("specification of %s: %v", m.Task, err)
	}
	if nr.spec.GangSize == 0 {
		nr.startsAt = nr.arrivedAt
	}
	w.runs[m.Task] = nr
	w.fleet.rec.add("start %s run %d on %s", m.Task, m.Run, w.id)
	w.fleet.mu.Lock()
	w.fleet.starts = append(w.fleet.starts, start{w.fleet.rec.since(), m.Task, m.Run, w.id, w.pool})
	if nr.spec.GangSize > 0 {
		key := fmt.Sprintf("%s/%d", m.Task[:strings.LastIndexByte(m.Task, '.')], m.Run)
		g := w.fleet.gangs[key]
		if g == nil {
			g = &gang{members: map[string]*worker{}, number: m.Run, spec: nr.spec}
			w.fleet.gangs[key] = g
		}
		g.members[m.Task] = w
	}
	w.fleet.mu.Unlock()
}

// advanceGangs begins the gangs of which all members are present, and ends those that are done or lack a member.
func (f *fleet) advanceGangs(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		list := maps.Clone(f.gangs)
		f.mu.Unlock()
		for key, g := range list {
			if f.advanceGang(g) {
				f.mu.Lock()
				delete(f.gangs, key)
				f.mu.Unlock()
			}
		}
	}
}

// advanceGang reports whether the run of the gang has ended.
func (f *fleet) advanceGang(g *gang) (ended bool) {
	f.mu.Lock()
	members := maps.Clone(g.members)
	f.mu.Unlock()
	present := map[string]*worker{}
	for task, w := range members {
		w.mu.Lock()
		if r := w.runs[task]; r != nil && r.number == g.number {
			present[task] = w
		}
		w.mu.Unlock()
	}
	each := func(apply func(w *worker, r *run)) {
		for task, w := range present {
			w.mu.Lock()
			if r := w.runs[task]; r != nil && r.number == g.number {
				apply(w, r)
			}
			w.mu.Unlock()
		}
	}
	switch {
	case len(present) == 0:
		return true
	case g.begunAt.IsZero() && len(present) < g.spec.GangSize:
		return false
	case g.begunAt.IsZero():
		g.begunAt = time.Now()
		each(func(_ *worker, r *run) { r.startsAt = g.begunAt })
		return false
	case len(present) < g.spec.GangSize:
		each(func(w *worker, r *run) { w.finish(r, "broken") })
		return true
	case time.Since(g.begunAt) < time.Duration(g.spec.WorkMS)*time.Millisecond:
		return false
	}
	how := "done"
	if g.number <= g.spec.FailRuns {
		how = "failed"
	}
	each(func(w *worker, r *run) {
		w.finish(r, how)
		if how == "failed" {
			how = "broken" // Only one member fails by its own fault.
		}
	})
	return true
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.decode(rw, r)
	if !ok {
		return
	}
	if present := w.runs[m.Task]; present != nil && present.number == m.Run {
		w.finish(present, "stopped")
	}
	w.highest[m.Task] = max(w.highest[m.Task], m.Run)
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, "")
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.decode(rw, r); ok {
		w.mu.Unlock()
		w.answer(rw, http.StatusOK, "")
	}
}

// maxListedEnds is how many ends a list holds.
const maxListedEnds = 500

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.extend(m.DeadlineMS)
	if m.AckCursor > w.cursor {
		w.cursor = m.AckCursor
		w.ends = slices.DeleteFunc(w.ends, func(e endedRun) bool { return e.n <= m.AckCursor })
	}
	changed, listed := w.changed, len(w.ends) > 0
	w.mu.Unlock()
	if m.WaitMS > 0 && !listed {
		select {
		case <-changed:
		case <-time.After(time.Duration(m.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.drop(r)
	w.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for _, n := range w.runs {
		running = append(running, []any{n.task, n.number, "", 100, 0})
	}
	for _, n := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{n.n, n.task, n.number, n.how, ""})
	}
	body := map[string]any{"clockMs": w.clock(), "born": w.born, "running": running, "ended": ended}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// call sends a request and returns the status and the body of the response.
func call(
	ctx context.Context, client *http.Client, method, url string, header map[string]string, body any,
) (int, []byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		if strings.EqualFold(k, "Host") {
			req.Host = v
			continue
		}
		req.Header.Set(k, v)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}
