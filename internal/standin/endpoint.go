package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
)

// Config holds the settings of a stand-in endpoint.
type Config struct {
	// Instance is the name under which the endpoint announces itself.
	Instance string
	// Address is the host:port under which Handler is served.
	Address string
	// Announce lists the URLs of announcement listeners, such as http://127.0.0.1:7002/announce.
	Announce []string
	// Key is the bearer key for announcements.
	Key string
	// Size is the length of an answer in bytes when the request doesn't give one.
	Size int
	// Client sends announcements; nil uses http.DefaultClient.
	Client *http.Client
	// Now returns the time; nil uses time.Now.
	Now func() time.Time
}

// Endpoint is a stand-in endpoint.
type Endpoint struct {
	cfg         Config
	incarnation uint64
	sequence    atomic.Uint64
	running     atomic.Int64
	leaving     atomic.Bool

	mu   sync.Mutex
	runs map[string]int
}

// New builds a stand-in endpoint.
func New(cfg Config) *Endpoint {
	if cfg.Client == nil {
		cfg.Client = http.DefaultClient
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Endpoint{cfg: cfg, incarnation: uint64(cfg.Now().UnixNano()), runs: map[string]int{}}
}

// Runs returns how often each request identifier ran.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// ServeHTTP answers one request with a whole response.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	id := r.Header.Get("Hibiscusroute-Request-Id")
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	size := e.cfg.Size
	if n, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && n >= 0 {
		size = n
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if _, err := w.Write(bytes.Repeat([]byte{'a'}, size)); err != nil {
		return
	}
}

// Announce sends one announcement to the i-th announcement listener and returns the time until the next.
func (e *Endpoint) Announce(ctx context.Context, i int) (time.Duration, error) {
	state := "ready"
	if e.leaving.Load() {
		state = "leaving"
	}
	body, err := json.Marshal(endpoint.Announcement{
		Instance: e.cfg.Instance, Address: e.cfg.Address, Incarnation: e.incarnation,
		Sequence: e.sequence.Add(1), State: state, Running: int(e.running.Load()),
	})
	if err != nil {
		return 0, errorx.Decorate(err, "encode announcement")
	}
	url := e.cfg.Announce[i%len(e.cfg.Announce)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errorx.Decorate(err, "build announcement")
	}
	if e.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+e.cfg.Key)
	}
	resp, err := e.cfg.Client.Do(req)
	if err != nil {
		return 0, errorx.Decorate(err, "send announcement")
	}
	defer resp.Body.Close() //nolint:errcheck // nothing is left to read
	if resp.StatusCode != http.StatusOK {
		return 0, errorx.ExternalError.New("announcement was refused with status %d", resp.StatusCode)
	}
	var answer endpoint.Answer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return 0, errorx.Decorate(err, "decode answer to announcement")
	}
	return time.Duration(answer.NextMs) * time.Millisecond, nil
}
