package caller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/inbound"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
)

// Namespace is the errorx namespace of this package.
var Namespace = errorx.NewNamespace("caller")

// ClaimOutcome is the answer to a claim of a request identifier.
type ClaimOutcome int

const (
	// ClaimNotWon means that the claim certainly failed and no other claim of the identifier is known.
	ClaimNotWon ClaimOutcome = iota
	// ClaimWon means that this process alone may send the request.
	ClaimWon
	// ClaimDuplicate means that the identifier has been claimed before.
	ClaimDuplicate
	// ClaimExpired means that the identifier is older than the record of requests.
	ClaimExpired
)

// Claim is the result of claiming a request identifier.
type Claim struct {
	// Outcome says who holds the claim.
	Outcome ClaimOutcome
	// Release releases the claim; it is called only when certainly no byte of the request was sent. It may be nil.
	Release func(ctx context.Context)
}

// Config holds the settings of a Server.
type Config struct {
	// View returns the current control state, or an error when this process holds no lease.
	View func() (*view.View, error)
	// Registry selects endpoints.
	Registry *endpoint.Registry
	// Dispatcher sends attempts.
	Dispatcher *endpoint.Dispatcher
	// TryAcquire acquires a permit of a quota resource such as team/<name>.
	TryAcquire func(resource string) (release func(), ok bool)
	// SetDemand sets how many permits of a resource this process could use; it may be nil.
	SetDemand func(resource string, n int)
	// AllocationGrown returns a channel that is closed when an allocation of this process grows; it may be nil.
	AllocationGrown func() <-chan struct{}
	// Claim claims a request identifier of a team at the voters.
	Claim func(ctx context.Context, team, requestID string) (Claim, error)
	// SubmitJob, GetJob and CancelJob serve the job paths; the job identifier is the path value "id".
	SubmitJob, GetJob, CancelJob http.HandlerFunc
	// Record adds an event to the timeline; it may be nil.
	Record func(e timeline.Event)

	// MaxBodyBytes is the maximum size of a request's body; 0 uses 64 MiB.
	MaxBodyBytes int64
	// Inbound limits what callers occupy; nil uses a gate with 64 MiB for what they send.
	Inbound *inbound.Gate
	// MaxRequests is the maximum number of requests in the process, waiting ones included; 0 uses 4,096.
	MaxRequests int
	// MaxConnections is the maximum number of connections from callers; 0 uses 8,192.
	MaxConnections int
	// BodyTimeout is the maximum time to read the buffered part of a body; 0 uses 30 s.
	BodyTimeout time.Duration
	// HeaderTimeout is the maximum time to read the headers of a request; 0 uses 5 s.
	HeaderTimeout time.Duration
	// WriteTimeout is the maximum time for one write of a response to a caller; 0 uses 30 s.
	WriteTimeout time.Duration
	// StopDelay is the time for which a stopping server still accepts requests; 0 uses 5 s.
	StopDelay time.Duration
	// Now returns the current time; nil uses time.Now.
	Now func() time.Time
	// Metrics is the set in which the metrics are registered; nil uses a new set.
	Metrics *metrics.Set
	// Log receives violated invariants, faulty responses and write errors.
	Log logr.Logger
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxBodyBytes, 64<<20)
	setDefault(&c.MaxRequests, 4096)
	setDefault(&c.MaxConnections, 8192)
	setDefault(&c.BodyTimeout, 30*time.Second)
	setDefault(&c.HeaderTimeout, 5*time.Second)
	setDefault(&c.WriteTimeout, 30*time.Second)
	setDefault(&c.StopDelay, 5*time.Second)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Inbound == nil {
		c.Inbound = inbound.New(inbound.Config{Limits: inbound.Limits{Bytes: 64 << 20}, Metrics: c.Metrics, Log: c.Log})
	}
	if c.Record == nil {
		c.Record = func(timeline.Event) {}
	}
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Server serves callers; it is safe for concurrent use.
type Server struct {
	cfg         Config
	metrics     serverMetrics
	scheduler   *scheduler
	retryBudget *retryBudget
	server      *http.Server

	stopping  atomic.Bool // the readiness check fails
	rejecting atomic.Bool // new requests are rejected

	mu          sync.Mutex
	active      int // requests in handlers and detached attempts
	idle        chan struct{}
	unusedConns map[net.Conn]struct{}
}

// New returns a Server and starts its scheduler, which Stop ends.
func New(cfg Config) *Server {
	cfg.setDefaults()
	s := &Server{
		cfg: cfg, retryBudget: newRetryBudget(), idle: make(chan struct{}, 1), unusedConns: map[net.Conn]struct{}{},
	}
	s.metrics = newServerMetrics(cfg.Metrics)
	s.scheduler = newScheduler(schedulerConfig{
		view: cfg.View, pick: cfg.Registry.Pick, reportDemand: cfg.Registry.ReportDemand, endpointsChanged: cfg.Registry.Changed,
		tryAcquire: cfg.TryAcquire, setDemand: cfg.SetDemand, allocationGrown: cfg.AllocationGrown, now: cfg.Now,
		metrics: cfg.Metrics, reportViolation: s.reportViolation,
	})
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: cfg.HeaderTimeout, IdleTimeout: idleTimeout, ConnState: s.trackUnusedConn,
	}
	cfg.Inbound.Protect(s.server, cfg.BodyTimeout)
	return s
}

const (
	// idleTimeout is longer than the usual idle timeouts of load balancers, so that the load balancer closes an idle
	// connection first.
	idleTimeout = 75 * time.Second
)

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	path := r.URL.EscapedPath()
	switch path {
	case "/-/ready":
		s.serveReady(w)
		return
	case "/-/live":
		w.WriteHeader(http.StatusNoContent)
		return
	}
	rp := &reply{server: s, w: w, presentedID: r.Header.Get(headerRequestID)}
	if !s.tryAddActive() {
		rp.reject(http.StatusServiceUnavailable, outcomeNotRun, "overloaded", "too many requests in this process")
		return
	}
	defer s.removeActive()
	if s.rejecting.Load() {
		rp.reject(http.StatusServiceUnavailable, outcomeNotRun, "stopping", "this process is stopping")
		return
	}
	switch queuePath, ok := strings.CutPrefix(path, "/queues/"); {
	case ok:
		s.serveQueue(rp, r, queuePath)
	case path == "/jobs" || strings.HasPrefix(path, "/jobs/"):
		s.serveJob(rp, r)
	default:
		rp.reject(http.StatusNotFound, outcomeNotRun, "unknown-path", "paths are /queues/<queue>/<rest> and /jobs")
	}
}

func (s *Server) serveReady(w http.ResponseWriter) {
	if _, err := s.cfg.View(); err != nil || s.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveJob(rp *reply, r *http.Request) {
	id := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, "/jobs"), "/")
	var h http.HandlerFunc
	switch {
	case id == "" && r.Method == http.MethodPost:
		h = s.cfg.SubmitJob
	case id != "" && r.Method == http.MethodGet:
		h = s.cfg.GetJob
	case id != "" && r.Method == http.MethodDelete:
		h = s.cfg.CancelJob
	default:
		rp.reject(http.StatusMethodNotAllowed, outcomeNotRun, "bad-method", "use POST /jobs, GET or DELETE /jobs/<id>")
		return
	}
	if h == nil {
		rp.reject(http.StatusNotImplemented, outcomeNotRun, "no-jobs", "this process takes no jobs")
		return
	}
	if _, err := s.cfg.View(); err != nil {
		rp.rejectNoLease(err)
		return
	}
	r.SetPathValue("id", id)
	rp.answered = true // by the job handler
	h(rp.w, r)
}

// tryAddActive counts a new request and reports false when the maximum is reached.
func (s *Server) tryAddActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.cfg.MaxRequests {
		return false
	}
	s.active++
	return true
}

// addActive counts a detached attempt. It must be called while its request is still counted.
func (s *Server) addActive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

// removeActive uncounts a request or a detached attempt and signals idle after the last one.
func (s *Server) removeActive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.active == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// reportViolation counts and logs the violation of an invariant.
func (s *Server) reportViolation(name, text string) {
	s.metrics.violations.Inc()
	s.cfg.Log.Error(errorx.AssertionFailed.New("%s", text), "invariant violated", "invariant", name)
}
