package scenario

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/standin"
)

// runRecorder records all runs at all endpoints and the violations of invariants as they happen.
type runRecorder struct {
	mu      sync.Mutex
	runs    map[string][]time.Time // start times by request identifier
	running map[*run]bool
	faults  []string
}

// run is one request that runs at an endpoint.
type run struct {
	id, team string
	b        *backend
	written  atomic.Int64 // bytes of the response
}

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	k *run
}

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.k.written.Add(int64(n))
	return n, err
}

func (w countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func newRunRecorder() *runRecorder {
	return &runRecorder{runs: map[string][]time.Time{}, running: map[*run]bool{}}
}

func (l *runRecorder) startRun(b *backend, method, team, id string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.runs[id] = append(l.runs[id], now)
	if n := len(l.runs[id]); n > 1 && method == http.MethodPost {
		l.faults = append(l.faults, fmt.Sprintf("I8: non-idempotent request %s ran %d times", id, n))
	}
	if !b.leftAt.IsZero() && now.Sub(b.leftAt) > leaveBound {
		l.faults = append(l.faults,
			fmt.Sprintf("I9: %s got a request %v after it announced that it leaves", b.name, now.Sub(b.leftAt)))
	}
	k := &run{id: id, team: team, b: b}
	b.gotRequest = true
	l.running[k] = true
	n := 0
	for o := range l.running {
		if o.team == team {
			n++
		}
	}
	if limit, ok := upperLimits[team]; ok && n > limit {
		l.faults = append(l.faults, fmt.Sprintf("I5: team %s runs %d requests, its upper limit is %d", team, n, limit))
	}
	return k
}

func (l *runRecorder) endRun(k *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, k)
}

func (l *runRecorder) runCount(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[id])
}

// findRun returns the run in progress of a request identifier, or nil.
func (l *runRecorder) findRun(id string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.running {
		if k.id == id {
			return k
		}
	}
	return nil
}

func (l *runRecorder) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.faults) == 0 {
		return nil
	}
	return fmt.Errorf("%d violations at the endpoints:\n%s", len(l.faults), strings.Join(l.faults, "\n"))
}

// leaveBound is the time within which an endpoint stops receiving new requests after it announced that it leaves.
const leaveBound = 5 * time.Second

// backend is a stand-in endpoint whose runs are recorded.
type backend struct {
	name   string
	l      *runRecorder
	e      *standin.Endpoint
	srv    *http.Server
	ctx    context.Context // canceled when the endpoint is closed
	cancel context.CancelFunc

	// Guarded by the mutex of the recorder.
	leftAt     time.Time
	gotRequest bool // a request arrived
}

// addEndpoint starts a stand-in endpoint for an instance, and closes its previous one. The endpoint announces itself to
// one process and switches to the next after a failure.
func (w *world) addEndpoint(instance string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var urls []string
	for i := range w.processes {
		// Each endpoint starts with a different process.
		p := w.processes[(i+len(w.endpoints))%len(w.processes)]
		urls = append(urls, "http://"+p.ip+":9401/announce")
	}
	b := &backend{name: instance, l: w.recorder}
	b.e = standin.New(standin.Config{
		Instance: instance, Address: ln.Addr().String(), Announce: urls,
		Behavior: standin.Behavior{Size: responseSize, Identify: true},
	})
	b.srv = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.srv.Serve(ln) }() // returns when the server is closed
	b.ctx, b.cancel = context.WithCancel(context.Background())
	go b.e.Run(b.ctx)
	if old := w.endpoints[instance]; old != nil {
		old.close()
	}
	w.endpoints[instance] = b
	return nil
}

// ServeHTTP records the run and passes the request to the stand-in. The path of the request is the name of its team.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hibiscusroute-Request-Id")
	k := b.l.startRun(b, r.Method, strings.TrimPrefix(r.URL.Path, "/"), id)
	defer b.l.endRun(k)
	b.e.ServeHTTP(countingWriter{w, k}, r)
}

func (b *backend) leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	if err := b.e.Leave(ctx); err != nil {
		return err
	}
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	b.leftAt = time.Now()
	// Announces repeatedly that the endpoint is leaving, so that its announcement doesn't just expire.
	go func() {
		for i := 0; b.ctx.Err() == nil; i++ {
			_, _ = b.e.Announce(b.ctx, i) // a process may be down
			pause(b.ctx, 500*time.Millisecond)
		}
	}()
	return nil
}

// close breaks all connections and stops the announcements, as when the process of the endpoint ends.
func (b *backend) close() {
	b.cancel()
	_ = b.srv.Close()
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	for k := range b.l.running {
		if k.b == b {
			delete(b.l.running, k)
		}
	}
}
