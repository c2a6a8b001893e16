package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the small deployment.
const (
	heartbeat   = 1500 * time.Millisecond
	drainTime   = 2 * time.Second
	maxLease    = 6 * time.Second
	stopTimeout = 200 * time.Millisecond
)

// rig holds the processes and the stand-ins.
type rig struct {
	rec           *record
	program, dir  string
	trouble       bool
	network       string // the first two octets of all addresses
	controls      []*process
	fronts        []*process
	added         *process // joined the group later, nil if none did
	cloudListener net.Listener
	watch         *watch

	mu      sync.Mutex
	workers []*worker
	closers []func()

	// gangMu guards gangs. A worker that holds its own lock takes it.
	gangMu sync.Mutex
	gangs  map[string]*gang
}

func newRig(rec *record, program, dir string, trouble bool) *rig {
	return &rig{rec: rec, program: program, dir: dir, trouble: trouble, watch: newWatch(rec), gangs: map[string]*gang{}}
}

func (r *rig) cloudAddress() string { return fmt.Sprintf("%s.3.1:%d", r.network, cloudPort) }

// onStop adds a function that stop calls.
func (r *rig) onStop(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// findNetwork chooses loopback addresses that no other program uses.
func (r *rig) findNetwork() error {
	for range 200 {
		//nolint:gosec // The random number only separates runs at the same time.
		r.network = fmt.Sprintf("127.%d", 16+rand.IntN(230))
		l, err := net.Listen("tcp", r.cloudAddress())
		if err != nil {
			continue
		}
		first, err := net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", r.network, controlPort))
		if err != nil {
			_ = l.Close() // not used
			continue
		}
		r.cloudListener = l
		return first.Close()
	}
	return fmt.Errorf("no free loopback addresses")
}

// startDeployment starts three control processes, two front processes and the cloud, and sends a configuration.
func (r *rig) startDeployment(ctx context.Context, configuration any) error {
	if err := r.findNetwork(); err != nil {
		return err
	}
	r.serveCloud()
	for i := 1; i <= 3; i++ {
		p, err := r.newProcess(fmt.Sprintf("control-%d", i), i, true)
		if err != nil {
			return err
		}
		r.controls = append(r.controls, p)
	}
	for i := 1; i <= 2; i++ {
		p, err := r.newProcess(fmt.Sprintf("front-%d", i), i, false)
		if err != nil {
			return err
		}
		r.fronts = append(r.fronts, p)
	}
	for _, p := range r.processes() {
		if err := r.start(p, true); err != nil {
			return err
		}
	}
	if err := r.sendConfiguration(ctx, configuration); err != nil {
		return err
	}
	for _, p := range r.fronts {
		url := "http://" + p.address(readyPort) + "/ready"
		if err := until(ctx, 20*time.Second, func() bool {
			status, _, err := call(ctx, http.MethodGet, url, nil, nil, time.Second)
			return err == nil && status == http.StatusOK
		}); err != nil {
			return fmt.Errorf("%s is not ready: %w", p.name, err)
		}
	}
	return nil
}

func (r *rig) processes() []*process {
	list := append(append([]*process{}, r.controls...), r.fronts...)
	if r.added != nil {
		list = append(list, r.added)
	}
	return list
}

// stop ends everything that was started.
func (r *rig) stop() {
	r.mu.Lock()
	closers, workers := r.closers, r.workers
	r.mu.Unlock()
	for _, f := range closers {
		f()
	}
	for _, w := range workers {
		w.end("the case is over")
	}
	var group sync.WaitGroup
	for _, p := range r.processes() {
		group.Go(p.stop)
	}
	group.Wait()
	if r.cloudListener != nil {
		_ = r.cloudListener.Close() // closed at the end of the program in any case
	}
}

// sendConfiguration sends a configuration to the control processes in turn until one accepts it.
func (r *rig) sendConfiguration(ctx context.Context, configuration any) error {
	n := 0
	return until(ctx, 20*time.Second, func() bool {
		p := r.controls[n%len(r.controls)]
		n++
		status, _, err := call(ctx, http.MethodPost, "http://"+p.address(controlPort)+"/Config.Replace", nil, configuration, time.Second)
		if err == nil && status == http.StatusOK {
			r.rec.printf("operator: configuration accepted by %s", p.name)
			return true
		}
		return false
	})
}

// until calls f every 100 ms until it returns true.
func until(ctx context.Context, limit time.Duration, f func() bool) error {
	for end := time.Now().Add(limit); ; {
		if f() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not reached within %s", limit)
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// call sends a request on a connection of its own.
func call(
	ctx context.Context, method, url string, header map[string]string, body any, timeout time.Duration,
) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reader := io.Reader(http.NoBody)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = strings.NewReader(string(data))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader) //nolint:gosec // All addresses are loopback ones.
	if err != nil {
		return 0, nil, err
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		if k == "Host" {
			req.Host = v
			continue
		}
		req.Header.Set(k, v)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// serveCloud serves the list of machines. The deployment has no spare pool, so nothing is moved.
func (r *rig) serveCloud() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		list := []any{}
		r.mu.Lock()
		for _, k := range r.workers {
			if k.isUp() {
				list = append(list, map[string]any{
					"machine": "m-" + k.id, "pool": k.service, "state": "up", "zone": "z1", "labels": k.labels,
					"capacity": k.capacity, "id": k.id,
				})
			}
		}
		r.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": ""})
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	l := r.cloudListener
	go func() { _ = srv.Serve(l) }() // returns when the listener is closed
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails if the caller has gone
}
