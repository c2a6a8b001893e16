package operator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/operator"
	"github.com/hibiscusroute/hibiscusroute/internal/operator/operatortest"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

const operatorKey = "test-operator-key"

// testControl is a fake control group with servers whose logs and request bodies are recorded.
type testControl struct {
	*operatortest.Control
	log, requestBodies syncBuffer
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

func newControl(t *testing.T) *testControl {
	t.Helper()
	c, err := operatortest.New()
	assert.NilError(t, err)
	return &testControl{Control: c}
}

// serve starts a server of the control group and returns its URL. If configure isn't nil, it changes the configuration.
func (c *testControl) serve(t *testing.T, configure func(cfg *operator.Config)) string {
	t.Helper()
	cfg := c.Config()
	cfg.Key = operatorKey
	cfg.Log = funcr.New(func(_, args string) { _, _ = c.log.Write([]byte(args)) }, funcr.Options{Verbosity: 9})
	if configure != nil {
		configure(&cfg)
	}
	s, err := operator.New(cfg)
	assert.NilError(t, err)
	h := s.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = io.NopCloser(io.TeeReader(r.Body, &c.requestBodies))
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

func newClient(t *testing.T, addresses ...string) *operator.Client {
	return newClientWithTimeout(t, 20*time.Second, addresses...)
}

// shortTimeoutClient returns a client for calls that end only when their timeout expires.
func shortTimeoutClient(t *testing.T, addresses ...string) *operator.Client {
	return newClientWithTimeout(t, time.Second, addresses...)
}

func newClientWithTimeout(t *testing.T, timeout time.Duration, addresses ...string) *operator.Client {
	t.Helper()
	c, err := operator.NewClient(operator.ClientConfig{
		Addresses: addresses, Key: operatorKey, Timeout: timeout, RetryDelay: 5 * time.Millisecond,
	})
	assert.NilError(t, err)
	return c
}

func exampleDocument(t *testing.T) []byte {
	t.Helper()
	doc, err := os.ReadFile("../../examples/addis.json")
	assert.NilError(t, err)
	return doc
}

// errorKind returns the kind of an operator.Error, or the text of any other error.
func errorKind(err error) string {
	var e *operator.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return fmt.Sprint(err)
}

// Guards against a submission whose version or document is lost, and against a conflict that is reported without the
// newest version.
func TestSubmit(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	c := newClient(t, ctl.serve(t, func(cfg *operator.Config) {
		cfg.WaitInForce = func(_ context.Context, v uint64) (time.Duration, error) {
			if v > 1 {
				return 0, errors.New("process entry-3 is late")
			}
			return 1500 * time.Millisecond, nil
		}
	}))
	ctx := t.Context()
	version, doc, err := c.Configuration(ctx)
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(0))
	assert.Equal(t, len(doc), 0)
	a, err := c.Submit(ctx, operator.Submission{Document: exampleDocument(t), WaitInForce: true})
	assert.NilError(t, err)
	assert.Equal(t, *a.InForceMs, int64(1500))
	version, doc, err = c.Configuration(ctx)
	assert.NilError(t, err)
	assert.Equal(t, version, a.Version)
	assert.Equal(t, string(doc), string(exampleDocument(t)))
	_, err = c.Submit(ctx, operator.Submission{Document: exampleDocument(t)})
	assert.Equal(t, errorKind(err), operator.KindConflict)
	var e *operator.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, *e.NewestVersion, uint64(1))
	a, err = c.Submit(ctx, operator.Submission{Document: exampleDocument(t), BaseVersion: 1, WaitInForce: true})
	assert.NilError(t, err)
	assert.Equal(t, a.Version, uint64(2))
	assert.Equal(t, a.InForceError, "process entry-3 is late")
}

// Guards against a resent change that is applied twice, and against an unknown outcome that is reported as known.
func TestResend(t *testing.T) {
	t.Parallel()
	const (
		refusingAddress = "127.0.0.1:1"
		// unansweredProposals is how often a change is sent to the two processes until its caller gives up.
		unansweredProposals = 3
	)
	for _, tt := range []struct {
		name     string
		failures func(n int) operatortest.Failure
		refused  bool
		kind     string
		version  uint64
	}{
		{"first response lost", func(n int) operatortest.Failure { return operatortest.Failure{Unanswered: n == 1} }, false,
			"<nil>", 1},
		{"first command lost", func(n int) operatortest.Failure { return operatortest.Failure{Dropped: n == 1} }, false,
			"<nil>", 1},
		{"every response lost", func(int) operatortest.Failure { return operatortest.Failure{Unanswered: true} }, false,
			operator.KindOutcomeUnknown, 1},
		{"every command lost", func(int) operatortest.Failure { return operatortest.Failure{Dropped: true} }, false,
			operator.KindOutcomeUnknown, 0},
		{"first process refuses connections", func(int) operatortest.Failure { return operatortest.Failure{} }, true,
			"<nil>", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctl := newControl(t)
			addresses := []string{ctl.serve(t, nil), ctl.serve(t, nil)}
			if tt.refused {
				addresses[0] = refusingAddress
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ctl.SetFailures(func(n int) operatortest.Failure {
				if tt.kind == operator.KindOutcomeUnknown && n == unansweredProposals {
					cancel()
				}
				return tt.failures(n)
			})
			c := newClient(t, addresses...)
			_, err := c.Submit(ctx, operator.Submission{Document: exampleDocument(t)})
			assert.Equal(t, errorKind(err), tt.kind)
			assert.Equal(t, ctl.Version(), tt.version)
		})
	}
	_, err := shortTimeoutClient(t, refusingAddress).Submit(t.Context(), operator.Submission{Document: exampleDocument(t)})
	assert.Equal(t, errorKind(err), operator.KindUnavailable)
	assert.ErrorContains(t, err, "the change was not applied")
}

// Guards against concurrent submissions with the same base version that are both accepted or both rejected.
func TestRacingSubmissions(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	c := newClient(t, ctl.serve(t, nil), ctl.serve(t, nil))
	doc, kinds := exampleDocument(t), make(chan string)
	const n = 6
	for range n {
		go func() {
			_, err := c.Submit(t.Context(), operator.Submission{Document: doc})
			kinds <- errorKind(err)
		}()
	}
	count := map[string]int{}
	for range n {
		count[<-kinds]++
	}
	assert.DeepEqual(t, count, map[string]int{"<nil>": 1, operator.KindConflict: n - 1})
	assert.Equal(t, ctl.Version(), uint64(1))
}

// Guards against a change that may have been applied and is reported as failed because another process rejects the key.
func TestRejectionAfterUnknownOutcome(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	ctl.SetFailures(func(int) operatortest.Failure { return operatortest.Failure{Unanswered: true} })
	other := ctl.serve(t, func(cfg *operator.Config) { cfg.Key = "another-key" })
	_, err := shortTimeoutClient(t, ctl.serve(t, nil), other).
		Submit(t.Context(), operator.Submission{Document: exampleDocument(t)})
	assert.Equal(t, errorKind(err), operator.KindOutcomeUnknown)
	_, err = newClient(t, other).Submit(t.Context(), operator.Submission{Document: exampleDocument(t)})
	assert.Equal(t, errorKind(err), operator.KindUnauthorized)
}

// Guards against an operation ID that is reused for a second document and gets the response to the first.
func TestOperationIDCoversContent(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	c := newClient(t, ctl.serve(t, nil))
	s := operator.Submission{OperationID: uuid.NewString(), Document: exampleDocument(t)}
	for range 2 {
		a, err := c.Submit(t.Context(), s)
		assert.NilError(t, err)
		assert.Equal(t, a.Version, uint64(1))
	}
	s.Document = bytes.Replace(s.Document, []byte(`"processes": 9`), []byte(`"processes": 8`), 1)
	_, err := c.Submit(t.Context(), s)
	assert.Equal(t, errorKind(err), operator.KindConflict)
}

// Guards against a secret that is sent to the server or logged, and against a key that doesn't match its hash.
func TestKeys(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	c := newClient(t, ctl.serve(t, nil))
	ctx := t.Context()
	_, err := c.Grant(ctx, "", "audit")
	assert.Equal(t, errorKind(err), operator.KindNotFound)
	_, err = c.Submit(ctx, operator.Submission{Document: exampleDocument(t)})
	assert.NilError(t, err)
	secret, err := c.Grant(ctx, "", "audit")
	assert.NilError(t, err)
	assert.Assert(t, secret.Matches(ctl.Keys()[secret.ID()].Hash()))
	part := strings.TrimPrefix(secret.String(), "hk-"+secret.ID()+"-")
	assert.Assert(t, !strings.Contains(ctl.requestBodies.String()+ctl.log.String(), part))
	assert.Assert(t, !strings.Contains(ctl.log.String(), operatorKey))
	for range 2 {
		assert.NilError(t, c.Revoke(ctx, "", secret.ID()))
	}
	assert.Equal(t, errorKind(c.Revoke(ctx, "", "missing")), operator.KindNotFound)
	list, err := c.Keys(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Team, "audit")
	assert.Assert(t, list[0].RevokedAt != nil)
}

// Guards against accepted requests that lack the key, are too large or malformed, or have unknown fields.
func TestRejectedRequests(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	url := ctl.serve(t, func(cfg *operator.Config) {
		cfg.ChangeMember = func(context.Context, operator.MemberChange) error { return nil }
	})
	auth := []string{"Authorization", "Bearer " + operatorKey}
	change := append([]string{operator.HeaderOperationID, "op-1"}, auth...)
	submit := append([]string{operator.HeaderBaseVersion, "0"}, change...)
	for _, tt := range []struct {
		name, method, path string
		header             []string
		body               string
		status             int
		want               string
	}{
		{"no key", "GET", "/keys", nil, "", 401, "operator key"},
		{"wrong key", "GET", "/keys", []string{"Authorization", "Bearer x"}, "", 401, "operator key"},
		{"other scheme", "GET", "/metrics", []string{"Authorization", operatorKey}, "", 401, "operator key"},
		{"other path", "GET", "/nothing", auth, "", 404, "no such path"},
		{"other method", "PATCH", "/keys", auth, "", 404, "no such path or method"},
		{"no operation ID", "PUT", "/configuration", auth, "{}", 400, operator.HeaderOperationID},
		{"long operation ID", "DELETE", "/keys/a", append([]string{operator.HeaderOperationID, strings.Repeat("a", 65)}, auth...),
			"", 400, operator.HeaderOperationID},
		{"no base version", "PUT", "/configuration", change, "{}", 400, operator.HeaderBaseVersion},
		{"other wait", "PUT", "/configuration?wait=ever", submit, "{}", 400, "wait must be"},
		{"wait not served", "PUT", "/configuration?wait=in-force", submit, string(exampleDocument(t)), 501, "wait=in-force"},
		{"malformed document", "PUT", "/configuration", submit, "{", 400, "unexpected EOF"},
		{"unknown field", "PUT", "/configuration", submit, `{"pool": 1}`, 400, `unknown field`},
		{"oversized document", "PUT", "/configuration", submit, strings.Repeat(" ", configuration.MaxDocumentBytes+1), 413, "too-large"},
		{"faults", "PUT", "/configuration", submit, `{"processes": 1}`, 422, `{"path":"format","message":"must be 1, is 0"}`},
		{"oversized grant", "POST", "/keys", change, strings.Repeat(" ", 20<<10), 413, "too-large"},
		{"unknown field of grant", "POST", "/keys", change, `{"secret": "a"}`, 400, "unknown field"},
		{"trailing data", "POST", "/keys", change, `{} {}`, 400, "data after the object"},
		{"grant without hash", "POST", "/keys", change, `{"id": "a", "team": "b"}`, 400, "SHA-256"},
		{"unknown member action", "POST", "/members", change, `{"action": "boot", "identity": "a"}`, 422, `"path":"action"`},
		{"member without address", "POST", "/members", change, `{"action": "add", "identity": "a"}`, 422, `"path":"address"`},
		{"replacement by itself", "POST", "/members", change,
			`{"action":"replace","identity":"a","replaces":"a","name":"a","availability-zone":"z","address":"127.0.0.1:1"}`,
			422, `"path":"replaces"`},
		{"members not served", "GET", "/members", auth, "", 501, "members"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), tt.method, url+tt.path, strings.NewReader(tt.body))
			assert.NilError(t, err)
			for i := 0; i < len(tt.header); i += 2 {
				req.Header.Set(tt.header[i], tt.header[i+1])
			}
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, errors.Join(err, resp.Body.Close()))
			assert.Equal(t, resp.StatusCode, tt.status, "%s", body)
			assert.Assert(t, strings.Contains(string(body), tt.want), "%s", body)
		})
	}
	assert.Equal(t, ctl.Proposals(), 0)
}

type remoteListener struct{ net.Listener }

func (remoteListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1), Port: 80} }

// Guards against an API that serves clients that aren't on loopback although no key is set.
func TestWithoutKeyOnlyLoopback(t *testing.T) {
	ctl := newControl(t)
	s, err := operator.New(ctl.Config())
	assert.NilError(t, err)
	assert.ErrorContains(t, s.Serve(t.Context(), remoteListener{}), "needs an operator key")
	for _, tt := range []struct {
		remote, host string
		status       int
	}{
		{"127.0.0.1:5", "127.0.0.1:80", 200}, {"[::1]:5", "localhost", 200},
		{"192.0.2.1:5", "127.0.0.1", 403}, {"127.0.0.1:5", "rebound.example:80", 403},
	} {
		r := httptest.NewRequest(http.MethodGet, "/metrics", nil)
		r.RemoteAddr, r.Host = tt.remote, tt.host
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		assert.Equal(t, w.Code, tt.status, "%s %s", tt.remote, tt.host)
	}
}

// Guards against faults that only the replicas find and that are reported without their paths, and against reads that
// aren't retried at another process when the first one has no quorum.
func TestResponsesOfOtherProcesses(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	rejecting := ctl.serve(t, func(cfg *operator.Config) {
		cfg.Propose = func(context.Context, kernel.Command) (kernel.Result, error) {
			return kernel.Result{Err: kernel.ErrInvalid.New("pools[0].name: too short\ntoo many weights")}, nil
		}
		cfg.Query = func(context.Context, string, []byte) ([]byte, error) { return nil, errors.New("no quorum") }
	})
	_, err := newClient(t, rejecting).Submit(t.Context(), operator.Submission{Document: exampleDocument(t)})
	var e *operator.Error
	assert.Assert(t, errors.As(err, &e))
	assert.DeepEqual(t, e.Faults, []fleet.Fault{{Path: "pools[0].name", Message: "too short"}, {Message: "too many weights"}})
	_, _, err = newClient(t, rejecting, ctl.serve(t, nil)).Configuration(t.Context())
	assert.NilError(t, err)
	_, _, err = shortTimeoutClient(t, rejecting).Configuration(t.Context())
	assert.Equal(t, errorKind(err), operator.KindUnavailable)
}

// Guards against a shutdown that interrupts a running change, and against headers of unlimited size.
func TestServe(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	proposing, release := make(chan struct{}), make(chan struct{})
	cfg := ctl.Config()
	cfg.Key = operatorKey
	propose := cfg.Propose
	cfg.Propose = func(ctx context.Context, c kernel.Command) (kernel.Result, error) {
		close(proposing)
		<-release
		return propose(ctx, c)
	}
	s, err := operator.New(cfg)
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served, submitted := make(chan error, 1), make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String()+"/status", nil)
	assert.NilError(t, err)
	req.Header.Set("X-Long", strings.Repeat("a", 32<<10))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	c, doc := newClient(t, ln.Addr().String()), exampleDocument(t)
	go func() {
		_, err := c.Submit(t.Context(), operator.Submission{Document: doc})
		submitted <- err
	}()
	<-proposing
	cancel()
	close(release)
	assert.NilError(t, <-submitted)
	assert.NilError(t, <-served)
}

// Guards against functions of the Config that the API doesn't call, and against member changes whose operation ID or
// outcome is lost.
func TestConfigFunctions(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	var got operator.MemberChange
	outcome, ready := error(nil), error(nil)
	url := ctl.serve(t, func(cfg *operator.Config) {
		cfg.Status = func(context.Context) (operator.Status, error) { return operator.Status{Process: "entry-1"}, nil }
		cfg.Members = func(context.Context) ([]operator.Member, error) { return []operator.Member{{Name: "entry-1"}}, nil }
		cfg.ChangeMember = func(_ context.Context, ch operator.MemberChange) error { got = ch; return outcome }
		cfg.Timeline = func(_ context.Context, w io.Writer) error { _, err := fmt.Fprintln(w, "{}"); return err }
		cfg.Ready = func() error { return ready }
	})
	c := newClient(t, url)
	ctx := t.Context()
	status, err := c.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.Process, "entry-1")
	members, err := c.Members(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, members, []operator.Member{{Name: "entry-1"}})
	var events bytes.Buffer
	assert.NilError(t, c.Timeline(ctx, &events))
	assert.Equal(t, events.String(), "{}\n")
	ch := operator.MemberChange{Action: operator.RemoveMember, Identity: "a1", OperationID: "op-7"}
	assert.NilError(t, c.ChangeMember(ctx, ch))
	assert.DeepEqual(t, got, ch)
	outcome = kernel.ErrConflict.New("another change runs")
	assert.Equal(t, errorKind(c.ChangeMember(ctx, ch)), operator.KindConflict)
	outcome = errors.New("leader lost")
	assert.Equal(t, errorKind(shortTimeoutClient(t, url).ChangeMember(ctx, ch)), operator.KindOutcomeUnknown)
	for _, tt := range []struct {
		path   string
		err    error
		status int
	}{{"/-/live", nil, 200}, {"/-/ready", nil, 200}, {"/-/ready", errors.New("no lease"), 503}} {
		ready = tt.err
		resp, err := http.Get(url + tt.path)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, tt.status)
	}
}
