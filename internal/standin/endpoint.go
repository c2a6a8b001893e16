package standin

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// Config configures a stand-in endpoint.
type Config struct {
	// Instance is the name under which the endpoint announces itself.
	Instance string
	// Address is the host:port at which the endpoint is reached.
	Address string
	// Announce lists the URLs of announcement listeners, such as http://127.0.0.1:7002/announce.
	Announce []string
	// Key is the bearer token for announcements; empty sends none.
	Key string
	// Behavior is the default behavior, which the query of a request can override.
	Behavior Behavior
	// Client sends announcements; nil uses a client with a timeout of 2 s.
	Client *http.Client
	// Now returns the time; nil uses time.Now.
	Now func() time.Time
}

// Endpoint is a stand-in endpoint; it is safe for concurrent use.
type Endpoint struct {
	cfg         Config
	incarnation uint64
	server      *http.Server
	running     atomic.Int64
	sequence    atomic.Uint64
	leaving     atomic.Bool

	mu          sync.Mutex
	behavior    Behavior
	runs        map[string]int
	peakRunning int
}

// New returns a stand-in endpoint that neither serves nor announces itself yet.
func New(cfg Config) *Endpoint {
	if cfg.Client == nil {
		cfg.Client = &http.Client{Timeout: 2 * time.Second}
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	e := &Endpoint{
		cfg: cfg, incarnation: uint64(cfg.Now().UnixNano()), behavior: cfg.Behavior, runs: map[string]int{},
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	return e
}

// SetBehavior replaces the default behavior.
func (e *Endpoint) SetBehavior(b Behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = b
}

// Runs returns the number of requests received per request identifier, whether they succeeded or not.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// PeakRunning returns the largest number of requests that ran concurrently.
func (e *Endpoint) PeakRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peakRunning
}

// Content returns the complete response body for a request: its identifier on each line, truncated to size bytes.
func Content(id string, size int) []byte {
	if id == "" {
		id = "none"
	}
	return []byte(strings.Repeat(id+"\n", size/(len(id)+1)+1)[:size])
}

// ServeHTTP responds to a request with the default behavior and the overrides in its query.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := int(e.running.Add(1))
	defer e.running.Add(-1)
	id := r.Header.Get("Hibiscusroute-Request-Id")
	e.mu.Lock()
	e.runs[id]++
	e.peakRunning = max(e.peakRunning, n)
	b := e.behavior
	e.mu.Unlock()
	b, err := b.applyQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.respond(w, r, id)
}

// Serve accepts connections on the listener until Stop is called.
func (e *Endpoint) Serve(l net.Listener) error {
	if err := e.server.Serve(l); err != http.ErrServerClosed {
		return errorx.Decorate(err, "serve stand-in endpoint")
	}
	return nil
}

// Stop announces that the endpoint is leaving, waits until no request has been running for the grace period and shuts
// the server down.
func (e *Endpoint) Stop(ctx context.Context, grace time.Duration) error {
	if err := e.Leave(ctx); err != nil {
		return err
	}
	for quiet := time.Duration(0); quiet < grace; {
		const step = 10 * time.Millisecond
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return errorx.Decorate(ctx.Err(), "stop with %d requests in progress", e.running.Load())
		}
		if quiet += step; e.running.Load() > 0 {
			quiet = 0
		}
	}
	if err := e.server.Shutdown(ctx); err != nil {
		return errorx.Decorate(err, "close stand-in endpoint")
	}
	return nil
}
