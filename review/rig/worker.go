package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxListedEnds is how many ends a worker lists at once.
const maxListedEnds = 500

type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// worker is one life of a worker, as PROTOCOL.md describes it.
type worker struct {
	rig         *rig
	id, service string
	address     string
	labels      []string
	capacity    resources
	born        time.Time
	server      *http.Server
	// controls are the addresses that the worker calls in turn.
	controls []string

	// unanswered is called with each order to start a run; if it returns true, the order gets no answer. It may be nil.
	unanswered func(w *worker, o order) bool
	// unansweredHold is the same for each order to hold.
	unansweredHold func(w *worker, o order) bool

	mu        sync.Mutex
	up        bool
	cut       bool      // is partitioned from all control processes
	fails     bool      // fails all that it starts
	draining  time.Time // when the drain ends, zero if it doesn't drain
	sequence  int64
	token     uint64
	leaseEnd  time.Time
	runs      map[string]*taskRun
	highest   map[string]int
	ends      []end
	lastEnd   int
	changed   chan struct{} // closed when a run has ended
	nextIndex int
}

type taskRun struct {
	task   string
	run    int
	begun  time.Time // zero while a member of a gang waits for the others
	work   time.Duration
	timer  *time.Timer
	gang   *gang
	worker *worker
	saved  int
}

type end struct {
	number int
	task   string
	run    int
	how    string
	saved  string
}

// order is the body of a call of the system.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    int    `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
	Checkpoint   string `json:"checkpoint"`
	Percent      int    `json:"percent"`
}

// spec is the specification of the jobs of the scenarios. It tells the worker how long a subtask works.
type spec struct {
	WorkMS int64 `json:"workMs"`
	// Gang is the number of members of the gangs of the job, 0 if it has none.
	Gang int `json:"gang"`
	// Saves is set if the subtasks checkpoint their progress.
	Saves bool `json:"saves"`
}

// startWorker starts a worker and its heartbeats.
func (r *rig) startWorker(ctx context.Context, id string, n int, controls []string) (*worker, error) {
	w := &worker{rig: r, id: id, service: serviceName, address: fmt.Sprintf("%s.4.%d:0", r.network, n), controls: controls}
	return w, w.boot(ctx)
}

// bootAgain starts a worker that has ended under its ID and at its address. It holds and knows nothing of before.
func (w *worker) bootAgain(ctx context.Context) (*worker, error) {
	next := &worker{
		rig: w.rig, id: w.id, service: w.service, address: w.address, controls: w.controls, unanswered: w.unanswered, cut: w.isCut(),
	}
	return next, next.boot(ctx)
}

func (w *worker) boot(ctx context.Context) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	r := w.rig
	w.address, w.labels, w.capacity, w.born, w.up = l.Addr().String(), []string{"a", "r1-1"}, resources{CPU: 16000, MemMB: 65536}, time.Now(), true
	w.runs, w.highest, w.changed = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.startRun))
	mux.HandleFunc("POST /run-stop", w.handle(w.stopRun))
	mux.HandleFunc("POST /pace", w.handle(func(order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }() // returns when the worker closes it
	go w.expire()
	r.mu.Lock()
	r.workers = append(r.workers, w)
	r.mu.Unlock()
	r.rec.printf("%s boots at %s, born %d", w.id, w.address, w.born.UnixMilli())
	go w.beat(ctx)
	return nil
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// setCut begins or ends the partition of the worker from all control processes.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.rig.rec.printf("%s is cut off: %t", w.id, cut)
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// beat sends heartbeats until the worker ends.
func (w *worker) beat(ctx context.Context) {
	for w.isUp() {
		begin := time.Now()
		for range w.controls {
			if w.report(ctx) {
				break
			}
		}
		if sleep(ctx, max(heartbeat-time.Since(begin), 10*time.Millisecond)) != nil {
			return
		}
	}
}

// report sends a heartbeat to the next control process and reports whether it was confirmed.
func (w *worker) report(ctx context.Context) bool {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return true
	}
	if w.cut {
		w.mu.Unlock()
		return sleep(ctx, time.Second) != nil // No answer comes.
	}
	w.sequence++
	body := w.description()
	address := w.controls[w.nextIndex%len(w.controls)]
	w.mu.Unlock()
	status, _, err := call(ctx, http.MethodPost, "http://"+address+"/Instances.Heartbeat/"+w.id, nil, body, time.Second)
	if err == nil && status < 300 {
		return true
	}
	w.mu.Lock()
	w.nextIndex++
	w.mu.Unlock()
	return false
}

// description returns what the worker says of itself. The caller must hold w.mu.
func (w *worker) description() map[string]any {
	body := map[string]any{
		"service": w.service, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": w.capacity, "labels": w.labels, "clockMs": w.clock(), "sequence": w.sequence,
		"born": w.born.UnixMilli(),
	}
	if !w.draining.IsZero() {
		body["state"], body["drainRemainingMs"] = "draining", max(time.Until(w.draining), 0).Milliseconds()
	}
	return body
}

// drain announces that the worker leaves, and returns once that is confirmed.
func (w *worker) drain(ctx context.Context) error {
	w.mu.Lock()
	w.draining = time.Now().Add(drainTime)
	w.mu.Unlock()
	return until(ctx, 10*time.Second, func() bool { return w.report(ctx) })
}

// deregister sends a deregistration to a control process and reports whether it was confirmed within a second.
func (w *worker) deregister(ctx context.Context, address string) bool {
	w.mu.Lock()
	w.sequence++
	body := w.description()
	w.mu.Unlock()
	w.rig.rec.printf("%s sends its deregistration to %s", w.id, address)
	status, _, err := call(ctx, http.MethodPost, "http://"+address+"/Instances.Deregister/"+w.id, nil, body, time.Second)
	w.rig.rec.printf("%s: deregistration answered with %d, error %v", w.id, status, err)
	return err == nil && status < 300
}

// end ends the worker, and with it all that runs on it.
func (w *worker) end(reason string) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	for _, r := range w.runs {
		r.timer.Stop()
		w.rig.watch.ended(w.id, r.task, r.run, "worker ended")
		if r.gang != nil {
			go r.gang.leave(r, "worker ended")
		}
	}
	clear(w.runs)
	w.mu.Unlock()
	w.rig.rec.printf("%s ends: %s", w.id, reason)
	_ = w.server.Close() // Nobody waits for its answers.
}

// goDark ends the worker for good, and with it all that runs on it. Nothing answers at its address from then on.
func (w *worker) goDark() {
	w.rig.onStop(func() { _ = w.server.Close() }) // Nobody waits for its answers.
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut, w.up = true, false
	for _, r := range w.runs {
		r.timer.Stop()
		w.rig.watch.ended(w.id, r.task, r.run, "worker lost")
	}
	clear(w.runs)
	w.rig.rec.printf("%s is lost for good, and silent", w.id)
}

// expire ends all runs once the lease has expired.
func (w *worker) expire() {
	for w.isUp() {
		w.mu.Lock()
		if time.Now().After(w.leaseEnd) {
			for _, r := range w.runs {
				w.endRun(r, "lapsed")
			}
		}
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// endRun ends a run and lists its end. The caller must hold w.mu.
func (w *worker) endRun(r *taskRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.run, how, r.checkpoint()})
	w.rig.watch.ended(w.id, r.task, r.run, how)
	if r.gang != nil {
		go r.gang.leave(r, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// finish ends the runs of a job as done.
func (w *worker) finish(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, job) {
			w.endRun(r, "done")
		}
	}
}

// decode reads the body of a call that is meant for this worker.
func (w *worker) decode(rw http.ResponseWriter, r *http.Request) (order, bool) {
	o := order{}
	if w.isCut() {
		<-r.Context().Done() // The call doesn't arrive.
		return o, false
	}
	if r.Header.Get("X-Hibiscusroute-Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// handle returns the handler of a call that is answered at once.
func (w *worker) handle(f func(o order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		o, ok := w.decode(rw, r)
		if !ok {
			return
		}
		if r.URL.Path == "/run-start" && w.unanswered != nil && w.unanswered(w, o) {
			<-r.Context().Done()
			return
		}
		w.mu.Lock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if w.accept(o) {
			status, body = f(o)
		}
		body["clockMs"], body["born"] = w.clock(), w.born.UnixMilli()
		w.mu.Unlock()
		writeJSON(rw, status, body)
	}
}

// setFails makes the worker fail all that it starts, or ends that.
func (w *worker) setFails(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails = fails
	w.rig.rec.printf("%s fails all that it starts: %t", w.id, fails)
}

func (w *worker) isFailing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fails
}

// carryOutLate carries out a start that got no answer.
func (w *worker) carryOutLate(o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status, body := http.StatusConflict, map[string]any{"reason": "fence"}
	if w.accept(o) {
		status, body = w.startRun(o)
	}
	w.rig.rec.printf("%s carries out the late start of %s run %d, token %d: %d %v", w.id, o.Task, o.Run, o.FencingToken, status, body)
}

// carryOutHoldLate carries out an order to hold that got no answer.
func (w *worker) carryOutHoldLate(o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rig.rec.printf("%s carries out a late hold, ackCursor %d, token %d", w.id, o.AckCursor, o.FencingToken)
	if w.accept(o) {
		w.forget(o.AckCursor)
	}
}

// forget drops the ends up to a number, which are taken note of. The caller must hold w.mu.
func (w *worker) forget(cursor int) {
	for len(w.ends) > 0 && w.ends[0].number <= cursor {
		e := w.ends[0]
		w.ends = w.ends[1:]
		if e.how == "done" {
			w.rig.watch.takeNote(w.id, e.task, e.run)
		}
	}
}

// accept takes the fencing token and the lease of a call. It returns false if the token is lower than one before. The caller
// must hold w.mu.
func (w *worker) accept(o order) bool {
	if o.FencingToken < w.token {
		return false
	}
	w.token = o.FencingToken
	until := time.Now().Add(min(time.Duration(o.DeadlineMS-w.clock())*time.Millisecond, maxLease))
	if o.DeadlineMS > 0 && until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
	return true
}

func (w *worker) startRun(o order) (int, map[string]any) {
	if o.DeadlineMS < w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= w.highest[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	s := spec{}
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r := &taskRun{task: o.Task, run: o.Run, work: time.Duration(s.WorkMS) * time.Millisecond, worker: w, timer: time.NewTimer(0)}
	w.runs[o.Task], w.highest[o.Task] = r, o.Run
	w.rig.watch.started(w.id, o.Task, o.Run)
	if s.Gang > 0 {
		r.gang = w.rig.joinGang(r, s.Gang, o.Checkpoint)
		return http.StatusOK, map[string]any{}
	}
	r.begun = time.Now()
	r.timer = time.AfterFunc(r.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endRun(r, "done")
	})
	return http.StatusOK, map[string]any{}
}

func (w *worker) stopRun(o order) (int, map[string]any) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
		w.endRun(r, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

// hold renews the lease and answers with the lists of runs.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.decode(rw, r)
	if !ok {
		return
	}
	if w.unansweredHold != nil && w.unansweredHold(w, o) {
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	if !w.accept(o) {
		body := map[string]any{"reason": "fence", "clockMs": w.clock(), "born": w.born.UnixMilli()}
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, body)
		return
	}
	w.forget(o.AckCursor)
	changed, waits := w.changed, o.WaitMS > 0 && len(w.ends) == 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second)):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	running, ended := []any{}, []any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.run, r.checkpoint(), 100, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	body := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}
