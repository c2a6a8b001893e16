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

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
)

const (
	// defaultProposeTimeout covers an election of up to about 2 s and a second attempt after it.
	defaultProposeTimeout = 5 * time.Second
	// defaultInForceTimeout leaves room above the 6 s within which a change is in force everywhere.
	defaultInForceTimeout = 15 * time.Second
	maxHeaderBytes        = 16 << 10
	// maxMessage bounds the JSON bodies other than configurations.
	maxMessage = 16 << 10
	// maxCommand bounds an encoded command; frames between processes hold 1 MiB, and the rest is for their envelope.
	maxCommand = 1<<20 - 16<<10
	// maxSubmissions bounds how many submitted documents are read and checked at once, each of up to 8 MiB.
	maxSubmissions  = 2
	shutdownTimeout = 5 * time.Second
)

// Config holds what a server needs. Propose, Query and Metrics are mandatory; the paths of other functions that are nil
// answer 501.
type Config struct {
	// Propose commits a command; an error means that its outcome is unknown.
	Propose func(ctx context.Context, c kernel.Command) (kernel.Result, error)
	// Query reads the state of a plug-in after a quorum confirmed the leader.
	Query func(ctx context.Context, plugin string, req []byte) ([]byte, error)
	// WaitInForce waits until a version is in force and returns the time that took since it was accepted.
	WaitInForce func(ctx context.Context, version uint64) (time.Duration, error)
	// Status describes this process.
	Status func(ctx context.Context) (Status, error)
	// Members lists the control group.
	Members func(ctx context.Context) ([]Member, error)
	// ChangeMember changes the control group. Errors of the kernel's types are final; after any other error the outcome
	// is unknown. A repeated operation ID must not change anything again.
	ChangeMember func(ctx context.Context, ch MemberChange) error
	// Timeline writes the events of this process as JSON lines.
	Timeline func(ctx context.Context, w io.Writer) error
	// Ready returns nil while the process accepts work; nil means always.
	Ready func() error
	// Metrics is printed by GET /metrics and takes the metrics of the server.
	Metrics *metrics.Set
	// Key is the operators' bearer key. Without one, only loopback is served.
	Key string
	// ProposeTimeout bounds the wait for the outcome of a change and for a read.
	ProposeTimeout time.Duration
	// InForceTimeout bounds the wait until a version is in force.
	InForceTimeout time.Duration
	// Log receives changes and failed requests.
	Log logr.Logger
}

// Server serves the operators' API.
type Server struct {
	cfg         Config
	submissions chan struct{}
	handler     http.Handler
}

// New builds a server.
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
	s := &Server{cfg: cfg, submissions: make(chan struct{}, maxSubmissions)}
	s.handler = s.routes()
	return s, nil
}

// Handler returns the API with authentication.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve serves the API until ctx ends, then finishes running requests within 5 s. Without a key it refuses a listener
// that isn't on loopback.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if s.cfg.Key == "" && !isLoopback(ln.Addr().String()) {
		return errorx.IllegalArgument.New("operator API on %s needs an operator key; without one only loopback is served", ln.Addr())
	}
	srv := &http.Server{
		Handler:           s.handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		WriteTimeout:      s.cfg.ProposeTimeout + s.cfg.InForceTimeout + 30*time.Second,
		IdleTimeout:       time.Minute,
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	select {
	case err := <-done:
		return errorx.Decorate(err, "serve operator API")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
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

func (s *Server) count(route string, status int) {
	s.cfg.Metrics.GetOrCreateCounter(
		fmt.Sprintf(`hibiscusroute_operator_requests_total{route=%q,status="%d"}`, route, status)).Inc()
}
