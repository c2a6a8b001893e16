package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
)

// Namespace is the errorx namespace of this package.
var Namespace = errorx.NewNamespace("caller")

// ClaimOutcome is the answer to a claim of a request identifier.
type ClaimOutcome int

const (
	// ClaimNotWon means that the claim was certainly not won, and no other is known.
	ClaimNotWon ClaimOutcome = iota
	// ClaimWon means that this process alone may send the request.
	ClaimWon
	// ClaimDuplicate means that another sending of the request holds the claim.
	ClaimDuplicate
	// ClaimExpired means that the identifier is older than the record reaches.
	ClaimExpired
)

// Claim is the result of claiming a request identifier.
type Claim struct {
	// Outcome says who holds the claim.
	Outcome ClaimOutcome
	// Release gives a won claim back; it is called only when certainly no byte was sent.
	Release func(ctx context.Context)
}

// Config holds the settings of a server for callers.
type Config struct {
	// View returns the control state; its error means that there is no lease.
	View func() (*view.View, error)
	// Registry selects endpoints.
	Registry *endpoint.Registry
	// Dispatcher sends attempts.
	Dispatcher *endpoint.Dispatcher
	// TryAcquire takes a permit of a quota resource such as team/<name>.
	TryAcquire func(resource string) (release func(), ok bool)
	// SetDemand reports how many permits of a resource this process could use; it may be nil.
	SetDemand func(resource string, n int)
	// Changed returns a channel that is closed when an allocation grew; it may be nil.
	Changed func() <-chan struct{}
	// Claim claims a request identifier of a team at the voters.
	Claim func(ctx context.Context, team, requestID string) (Claim, error)
	// SubmitJob, GetJob and CancelJob serve the job paths; the job identifier is the path value "id".
	SubmitJob, GetJob, CancelJob http.HandlerFunc
	// StopDelay is the time for which a stopping server still accepts work; 0 uses 5 s.
	StopDelay time.Duration
	// Now returns the time; nil uses time.Now.
	Now func() time.Time
	// Metrics receives counters, gauges and histograms; nil uses a set of its own.
	Metrics *metrics.Set
	// Log receives faults of requests.
	Log logr.Logger
}

// Server serves callers; it is safe for concurrent use.
type Server struct {
	cfg      Config
	mux      *http.ServeMux
	stopping atomic.Bool
}

// New builds a server.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("/queues/{queue}/{rest...}", s.serveQueue)
	s.mux.HandleFunc("GET /-/ready", s.serveReady)
	s.mux.HandleFunc("GET /-/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return s
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if _, err := s.cfg.View(); err != nil || s.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveQueue(w http.ResponseWriter, r *http.Request) {
	v, err := s.cfg.View()
	if err != nil {
		reject(w, http.StatusServiceUnavailable, outcomeNotRun, "no-lease", "this process has no configuration lease")
		return
	}
	q, ok := v.Queue(r.PathValue("queue"))
	if !ok {
		reject(w, http.StatusNotFound, outcomeNotRun, "unknown-queue", "no such queue")
		return
	}
	presented, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, err := v.Authorize(q, presented)
	if err != nil {
		reject(w, http.StatusForbidden, outcomeNotRun, "forbidden", err.Error())
		return
	}
	release, ok := s.cfg.TryAcquire("team/" + team)
	if !ok {
		reject(w, http.StatusTooManyRequests, outcomeNotRun, "team-limit", "no permit for the team")
		return
	}
	defer release()
	t, err := s.cfg.Registry.Pick(v, q.Name, nil)
	if err != nil {
		reject(w, http.StatusServiceUnavailable, outcomeNotRun, "no-endpoint", err.Error())
		return
	}
	defer t.Release()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		reject(w, http.StatusBadRequest, outcomeNotRun, "body", err.Error())
		return
	}
	url := "http://endpoint/" + r.PathValue("rest")
	//nolint:gosec // the dispatcher replaces the host by the address of the chosen endpoint
	out, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
	if err != nil {
		reject(w, http.StatusBadRequest, outcomeNotRun, "bad-request", err.Error())
		return
	}
	id := r.Header.Get(headerRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	out.Header.Set(headerRequestID, id)
	resp, state, err := s.cfg.Dispatcher.Do(r.Context(), t, out)
	if err != nil {
		outcome := outcomeUnknown
		if state == endpoint.NotSent {
			outcome = outcomeNotRun
		}
		reject(w, http.StatusBadGateway, outcome, "send-failed", err.Error())
		return
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read to its end
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		reject(w, http.StatusBadGateway, outcomeUnknown, "response-truncated", err.Error())
		return
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(data); err != nil {
		s.cfg.Log.V(1).Info("write to caller failed", "error", err.Error())
	}
}
