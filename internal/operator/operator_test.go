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

// control is a stand-in with servers whose logs and request bodies are recorded.
type control struct {
	*operatortest.Control
	log, bodies record
}

// record is a buffer for concurrent use.
type record struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (r *record) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.data.Write(p)
}

func (r *record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.data.String()
}

func newControl(t *testing.T) *control {
	t.Helper()
	c, err := operatortest.New()
	assert.NilError(t, err)
	return &control{Control: c}
}

func (c *control) serve(t *testing.T, change func(cfg *operator.Config)) string {
	t.Helper()
	cfg := c.Config()
	cfg.Key = operatorKey
	cfg.Log = funcr.New(func(_, args string) { _, _ = c.log.Write([]byte(args)) }, funcr.Options{Verbosity: 9})
	if change != nil {
		change(&cfg)
	}
	s, err := operator.New(cfg)
	assert.NilError(t, err)
	h := s.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = io.NopCloser(io.TeeReader(r.Body, &c.bodies))
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

func client(t *testing.T, addresses ...string) *operator.Client {
	return clientFor(t, 20*time.Second, addresses...)
}

// hasty returns a client for calls that end only with their deadline.
func hasty(t *testing.T, addresses ...string) *operator.Client {
	return clientFor(t, time.Second, addresses...)
}

func clientFor(t *testing.T, deadline time.Duration, addresses ...string) *operator.Client {
	t.Helper()
	c, err := operator.NewClient(operator.ClientConfig{
		Addresses: addresses, Key: operatorKey, Timeout: deadline, RetryDelay: 5 * time.Millisecond,
	})
	assert.NilError(t, err)
	return c
}

func example(t *testing.T) []byte {
	t.Helper()
	doc, err := os.ReadFile("../../examples/addis.json")
	assert.NilError(t, err)
	return doc
}

func kindOf(err error) string {
	var e *operator.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return fmt.Sprint(err)
}

// Guards against a submission that loses its version, its document or the version that won a conflict.
func TestSubmit(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	c := client(t, ctl.serve(t, func(cfg *operator.Config) {
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
	a, err := c.Submit(ctx, operator.Submission{Document: example(t), WaitInForce: true})
	assert.NilError(t, err)
	assert.Equal(t, *a.InForceMs, int64(1500))
	version, doc, err = c.Configuration(ctx)
	assert.NilError(t, err)
	assert.Equal(t, version, a.Version)
	assert.Equal(t, string(doc), string(example(t)))
	_, err = c.Submit(ctx, operator.Submission{Document: example(t)})
	assert.Equal(t, kindOf(err), operator.KindConflict)
	var e *operator.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, *e.NewestVersion, uint64(1))
	a, err = c.Submit(ctx, operator.Submission{Document: example(t), BaseVersion: 1, WaitInForce: true})
	assert.NilError(t, err)
	assert.Equal(t, a.Version, uint64(2))
	assert.Equal(t, a.InForceError, "process entry-3 is late")
}

// Guards against a resent change that is applied twice, and against an unknown outcome that is reported as known.
func TestResend(t *testing.T) {
	t.Parallel()
	const refused = "127.0.0.1:1"
	for _, tt := range []struct {
		name    string
		fate    func(n int) operatortest.Failure
		refused bool
		kind    string
		version uint64
	}{
		{"first answer lost", func(n int) operatortest.Failure { return operatortest.Failure{Unanswered: n == 1} }, false,
			"<nil>", 1},
		{"first command lost", func(n int) operatortest.Failure { return operatortest.Failure{Dropped: n == 1} }, false,
			"<nil>", 1},
		{"every answer lost", func(int) operatortest.Failure { return operatortest.Failure{Unanswered: true} }, false,
			operator.KindOutcomeUnknown, 1},
		{"every command lost", func(int) operatortest.Failure { return operatortest.Failure{Dropped: true} }, false,
			operator.KindOutcomeUnknown, 0},
		{"first process refuses connections", func(int) operatortest.Failure { return operatortest.Failure{} }, true,
			"<nil>", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctl := newControl(t)
			ctl.SetFailures(tt.fate)
			addresses := []string{ctl.serve(t, nil), ctl.serve(t, nil)}
			if tt.refused {
				addresses[0] = refused
			}
			c := client(t, addresses...)
			if tt.kind == operator.KindOutcomeUnknown {
				c = hasty(t, addresses...)
			}
			_, err := c.Submit(t.Context(), operator.Submission{Document: example(t)})
			assert.Equal(t, kindOf(err), tt.kind)
			assert.Equal(t, ctl.Version(), tt.version)
		})
	}
	_, err := hasty(t, refused).Submit(t.Context(), operator.Submission{Document: example(t)})
	assert.Equal(t, kindOf(err), operator.KindUnavailable)
	assert.ErrorContains(t, err, "the change was not applied")
}

// Guards against two submissions with the same base version that are both accepted, or both refused.
func TestRacingSubmissions(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	c := client(t, ctl.serve(t, nil), ctl.serve(t, nil))
	doc, kinds := example(t), make(chan string)
	const n = 6
	for range n {
		go func() {
			_, err := c.Submit(t.Context(), operator.Submission{Document: doc})
			kinds <- kindOf(err)
		}()
	}
	count := map[string]int{}
	for range n {
		count[<-kinds]++
	}
	assert.DeepEqual(t, count, map[string]int{"<nil>": 1, operator.KindConflict: n - 1})
	assert.Equal(t, ctl.Version(), uint64(1))
}

// Guards against a refusal by another process that is taken for the outcome of a change that may have been applied.
func TestRefusalAfterUnknownOutcome(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	ctl.SetFailures(func(int) operatortest.Failure { return operatortest.Failure{Unanswered: true} })
	other := ctl.serve(t, func(cfg *operator.Config) { cfg.Key = "another-key" })
	_, err := hasty(t, ctl.serve(t, nil), other).Submit(t.Context(), operator.Submission{Document: example(t)})
	assert.Equal(t, kindOf(err), operator.KindOutcomeUnknown)
	_, err = client(t, other).Submit(t.Context(), operator.Submission{Document: example(t)})
	assert.Equal(t, kindOf(err), operator.KindUnauthorized)
}

// Guards against an operation ID that is used for a second document and gets the answer to the first.
func TestOperationIDCoversContent(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	c := client(t, ctl.serve(t, nil))
	s := operator.Submission{OperationID: uuid.NewString(), Document: example(t)}
	for range 2 {
		a, err := c.Submit(t.Context(), s)
		assert.NilError(t, err)
		assert.Equal(t, a.Version, uint64(1))
	}
	s.Document = bytes.Replace(s.Document, []byte(`"processes": 9`), []byte(`"processes": 8`), 1)
	_, err := c.Submit(t.Context(), s)
	assert.Equal(t, kindOf(err), operator.KindConflict)
}

// Guards against a secret that reaches the server or its log, and a key that doesn't match its hash.
func TestKeys(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	c := client(t, ctl.serve(t, nil))
	ctx := t.Context()
	_, err := c.Grant(ctx, "", "audit")
	assert.Equal(t, kindOf(err), operator.KindNotFound)
	_, err = c.Submit(ctx, operator.Submission{Document: example(t)})
	assert.NilError(t, err)
	secret, err := c.Grant(ctx, "", "audit")
	assert.NilError(t, err)
	assert.Assert(t, secret.Matches(ctl.Keys()[secret.ID()].Hash()))
	part := strings.TrimPrefix(secret.String(), "hk-"+secret.ID()+"-")
	assert.Assert(t, !strings.Contains(ctl.bodies.String()+ctl.log.String(), part))
	assert.Assert(t, !strings.Contains(ctl.log.String(), operatorKey))
	for range 2 {
		assert.NilError(t, c.Revoke(ctx, "", secret.ID()))
	}
	assert.Equal(t, kindOf(c.Revoke(ctx, "", "missing")), operator.KindNotFound)
	list, err := c.Keys(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Team, "audit")
	assert.Assert(t, list[0].RevokedAt != nil)
}

// Guards against requests that are let through without a key, too large, malformed, or with fields that are ignored.
func TestRefusals(t *testing.T) {
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
		{"wait not served", "PUT", "/configuration?wait=in-force", submit, string(example(t)), 501, "wait=in-force"},
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

// Guards against an API without a key that others than loopback clients reach.
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

// Guards against faults of a document that only the replicas find and that lose their paths, and against reads that end
// at the first process that can't confirm them.
func TestAnswersOfOtherProcesses(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	strict := ctl.serve(t, func(cfg *operator.Config) {
		cfg.Propose = func(context.Context, kernel.Command) (kernel.Result, error) {
			return kernel.Result{Err: kernel.ErrInvalid.New("pools[0].name: too short\ntoo many weights")}, nil
		}
		cfg.Query = func(context.Context, string, []byte) ([]byte, error) { return nil, errors.New("no quorum") }
	})
	_, err := client(t, strict).Submit(t.Context(), operator.Submission{Document: example(t)})
	var e *operator.Error
	assert.Assert(t, errors.As(err, &e))
	assert.DeepEqual(t, e.Faults, []fleet.Fault{{Path: "pools[0].name", Message: "too short"}, {Message: "too many weights"}})
	_, _, err = client(t, strict, ctl.serve(t, nil)).Configuration(t.Context())
	assert.NilError(t, err)
	_, _, err = hasty(t, strict).Configuration(t.Context())
	assert.Equal(t, kindOf(err), operator.KindUnavailable)
}

// Guards against a shutdown that cuts a running change, and against headers without a bound.
func TestServe(t *testing.T) {
	t.Parallel()
	ctl := newControl(t)
	started, release := make(chan struct{}), make(chan struct{})
	cfg := ctl.Config()
	cfg.Key = operatorKey
	propose := cfg.Propose
	cfg.Propose = func(ctx context.Context, c kernel.Command) (kernel.Result, error) {
		close(started)
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
	c, doc := client(t, ln.Addr().String()), example(t)
	go func() {
		_, err := c.Submit(t.Context(), operator.Submission{Document: doc})
		submitted <- err
	}()
	<-started
	cancel()
	close(release)
	assert.NilError(t, <-submitted)
	assert.NilError(t, <-served)
}

// Guards against functions that the API doesn't reach, and member changes that lose their operation ID or outcome.
func TestDelegates(t *testing.T) {
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
	c := client(t, url)
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
	assert.Equal(t, kindOf(c.ChangeMember(ctx, ch)), operator.KindConflict)
	outcome = errors.New("leader lost")
	assert.Equal(t, kindOf(hasty(t, url).ChangeMember(ctx, ch)), operator.KindOutcomeUnknown)
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
