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

// ledger sees all work at all endpoints and notes what an invariant forbids at the moment it happens.
type ledger struct {
	mu      sync.Mutex
	runs    map[string][]time.Time // start times by request identifier
	running map[*work]bool
	faults  []string
}

// work is one request that runs at an endpoint.
type work struct {
	id, team string
	b        *backend
	written  atomic.Int64 // bytes of the answer
}

// countingWriter counts the bytes of an answer.
type countingWriter struct {
	http.ResponseWriter
	k *work
}

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.k.written.Add(int64(n))
	return n, err
}

func (w countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func newLedger() *ledger {
	return &ledger{runs: map[string][]time.Time{}, running: map[*work]bool{}}
}

func (l *ledger) begin(b *backend, method, team, id string) *work {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.runs[id] = append(l.runs[id], now)
	if n := len(l.runs[id]); n > 1 && method == http.MethodPost {
		l.faults = append(l.faults, fmt.Sprintf("I8: non-idempotent request %s ran %d times", id, n))
	}
	if !b.left.IsZero() && now.Sub(b.left) > leaveBound {
		l.faults = append(l.faults, fmt.Sprintf("I9: %s got work %v after it announced to leave", b.name, now.Sub(b.left)))
	}
	k := &work{id: id, team: team, b: b}
	b.worked = true
	l.running[k] = true
	n := 0
	for o := range l.running {
		if o.team == team {
			n++
		}
	}
	if limit, ok := limits[team]; ok && n > limit {
		l.faults = append(l.faults, fmt.Sprintf("I5: team %s runs %d requests, its upper limit is %d", team, n, limit))
	}
	return k
}

func (l *ledger) end(k *work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, k)
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[id])
}

// find returns the work that runs for a request identifier.
func (l *ledger) find(id string) *work {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.running {
		if k.id == id {
			return k
		}
	}
	return nil
}

func (l *ledger) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.faults) == 0 {
		return nil
	}
	return fmt.Errorf("%d violations at the endpoints:\n%s", len(l.faults), strings.Join(l.faults, "\n"))
}

// leaveBound is the time after which a leaving endpoint gets no new work.
const leaveBound = 5 * time.Second

// backend is a stand-in endpoint.
type backend struct {
	name   string
	l      *ledger
	e      *standin.Endpoint
	srv    *http.Server
	ctx    context.Context // until the endpoint is closed
	cancel context.CancelFunc

	// The ledger guards these.
	left   time.Time
	worked bool // it got work
}

// addEndpoint starts a stand-in endpoint on an instance; it announces itself to one process after the other.
func (w *world) addEndpoint(instance string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var urls []string
	for i := range w.processes {
		// Endpoints start at different processes.
		p := w.processes[(i+len(w.endpoints))%len(w.processes)]
		urls = append(urls, "http://"+p.ip+":9401/announce")
	}
	b := &backend{name: instance, l: w.ledger}
	b.e = standin.New(standin.Config{
		Instance: instance, Address: ln.Addr().String(), Announce: urls,
		Behavior: standin.Behavior{Size: answerSize, Identify: true},
	})
	b.srv = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.srv.Serve(ln) }() // ends with the close of the server
	b.ctx, b.cancel = context.WithCancel(context.Background())
	go b.e.Run(b.ctx)
	if old := w.endpoints[instance]; old != nil {
		old.close()
	}
	w.endpoints[instance] = b
	return nil
}

// ServeHTTP notes the work, whose path is the name of its team, and answers as the stand-in does.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hibiscusroute-Request-Id")
	k := b.l.begin(b, r.Method, strings.TrimPrefix(r.URL.Path, "/"), id)
	defer b.l.end(k)
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
	b.left = time.Now()
	// The endpoint goes on to announce that it is leaving, so that it isn't just forgotten when its announcement expires.
	go func() {
		for i := 0; b.ctx.Err() == nil; i++ {
			_, _ = b.e.Announce(b.ctx, i) // a process may be down
			pause(b.ctx, 500*time.Millisecond)
		}
	}()
	return nil
}

// close breaks all connections and stops the announcements, as the end of the endpoint's process does.
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
