package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/inbound"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
)

const (
	// defaultProposeTimeout allows for an election of up to about 2 s and a second attempt after it.
	defaultProposeTimeout = 5 * time.Second
	// defaultInForceTimeout leaves headroom above the 6 s within which a change is in force in all processes.
	defaultInForceTimeout = 15 * time.Second
	// maxBodyBytes limits request bodies other than configurations.
	maxBodyBytes = 16 << 10
	// maxCommandBytes limits an encoded command: frames between processes hold 1 MiB, of which 16 KiB are reserved for the
	// envelope.
	maxCommandBytes = 1<<20 - 16<<10
	// maxConcurrentSubmissions limits how many submissions, each of up to 8 MiB, are checked at once.
	maxConcurrentSubmissions = 2
	shutdownTimeout          = 5 * time.Second
)

// Config configures a Server. Propose, Query and Metrics are required. Paths of other functions that are nil respond
// with status 501.
type Config struct {
	// Propose commits and applies a command; an error means that its outcome is unknown.
	Propose func(ctx context.Context, c kernel.Command) (kernel.Result, error)
	// Query reads the state of a plug-in after a quorum has confirmed the leader.
	Query func(ctx context.Context, plugin string, req []byte) ([]byte, error)
	// WaitInForce waits until a version is in force and returns the time from its acceptance until then.
	WaitInForce func(ctx context.Context, version uint64) (time.Duration, error)
	// Status returns the status of this process.
	Status func(ctx context.Context) (Status, error)
	// Members returns the members of the control group.
	Members func(ctx context.Context) ([]Member, error)
	// ChangeMember changes the control group. Errors of the kernel's types are final; after any other error the outcome
	// is unknown. It must apply an operation ID at most once.
	ChangeMember func(ctx context.Context, ch MemberChange) error
	// Timeline writes the events of this process as JSON lines.
	Timeline func(ctx context.Context, w io.Writer) error
	// Ready returns nil while the process accepts work. If Ready is nil, the process is always ready.
	Ready func() error
	// Inbound limits what operators occupy; nil sets no limit.
	Inbound *inbound.Gate
	// Metrics is the set that GET /metrics writes and in which the server registers its own metrics.
	Metrics *metrics.Set
	// Key is the operators' bearer key. If empty, only loopback clients are served.
	Key string
	// ProposeTimeout limits a change and a read; the default is 5 s.
	ProposeTimeout time.Duration
	// InForceTimeout limits the wait until a version is in force; the default is 15 s.
	InForceTimeout time.Duration
	// Log is the logger for changes and failed requests.
	Log logr.Logger
}

// Server serves the operators' API.
type Server struct {
	cfg             Config
	submissionSlots chan struct{}
	handler         http.Handler
}

// New creates a server; it fails if a required field of cfg is missing.
func New(cfg Config) (*Server, error) {
	if cfg.Propose == nil || cfg.Query == nil || cfg.Metrics == nil {
		return nil, errorx.IllegalArgument.New("operator API needs Propose, Query and Metrics")
	}
	if cfg.ProposeTimeout <= 0 {
		cfg.ProposeTimeout = defaultProposeTimeout
	}
	if cfg.InForceTimeout <= 0 {
		cfg.InForceTimeout = defaultInForceTimeout
	}
	s := &Server{cfg: cfg, submissionSlots: make(chan struct{}, maxConcurrentSubmissions)}
	s.handler = s.routes()
	return s, nil
}

// Handler returns the HTTP handler of the API, which authenticates requests.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve serves the API until ctx is done, then waits up to 5 s for running requests. If no key is set, it fails for a
// listener that isn't on loopback.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if s.cfg.Key == "" && !isLoopback(ln.Addr().String()) {
		return errorx.IllegalArgument.New("operator API on %s needs an operator key; without one only loopback is served", ln.Addr())
	}
	srv := &http.Server{
		Handler:           s.handler,
		MaxHeaderBytes:    inbound.MaxHeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		WriteTimeout:      s.cfg.ProposeTimeout + s.cfg.InForceTimeout + 30*time.Second,
		IdleTimeout:       time.Minute,
	}
	if s.cfg.Inbound != nil {
		s.cfg.Inbound.Protect(srv, 0) // ReadTimeout limits bodies too
		ln = s.cfg.Inbound.Listener(ln)
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	select {
	case err := <-done:
		return errorx.Decorate(err, "serve operator API")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		return errors.Join(errorx.Decorate(err, "shut down operator API"), srv.Close())
	}
	return nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func (s *Server) countRequest(route string, status int) {
	s.cfg.Metrics.GetOrCreateCounter(
		fmt.Sprintf(`hibiscusroute_operator_requests_total{route=%q,status="%d"}`, route, status)).Inc()
}
