package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/key"
)

const (
	defaultTimeout = 30 * time.Second
	// defaultAttemptTimeout exceeds the time that a server waits for an outcome, so that its response arrives.
	defaultAttemptTimeout = defaultProposeTimeout + 3*time.Second
	maxResponseBytes      = 16 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are the operator listeners, as "host:port" or URLs, in the order in which they are tried.
	Addresses []string
	// Key is the operators' bearer key. It may be empty on loopback.
	Key string
	// Timeout limits a call including its retries; the default is 30 s.
	Timeout time.Duration
	// AttemptTimeout limits one request; the default is 8 s.
	AttemptTimeout time.Duration
	// RetryDelay is the initial delay after all addresses failed. It doubles up to eight times its initial value; the
	// default is 200 ms.
	RetryDelay time.Duration
}

// Client calls the operators' API.
type Client struct {
	cfg  ClientConfig
	urls []*url.URL
	http *http.Client
}

// NewClient creates a client; it fails if no address is given or an address is malformed.
func NewClient(cfg ClientConfig) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, errorx.IllegalArgument.New("client needs at least one operator address")
	}
	for _, duration := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&cfg.Timeout, defaultTimeout}, {&cfg.AttemptTimeout, defaultAttemptTimeout},
		{&cfg.RetryDelay, 200 * time.Millisecond},
	} {
		if *duration.value <= 0 {
			*duration.value = duration.fallback
		}
	}
	c := &Client{cfg: cfg, http: &http.Client{
		// A proxy isn't used, so that the operator key is sent only to the given addresses. Connections aren't reused: the
		// transport silently resends some requests when a reused connection breaks, although the first one may have arrived.
		Transport:     &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for _, a := range cfg.Addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, errorx.IllegalArgument.New("operator address %q must be host:port or a URL", a)
		}
		c.urls = append(c.urls, u)
	}
	return c, nil
}

// NewOperationID returns a random operation ID.
func NewOperationID() string { return uuid.NewString() }

// Submission is a configuration to submit.
type Submission struct {
	// OperationID is the idempotency key; if empty, a random one is used.
	OperationID string
	// BaseVersion is the version that the document replaces, 0 for the first one.
	BaseVersion uint64
	// Document is the configuration as JSON.
	Document []byte
	// WaitInForce makes the server wait until the version is in force in all processes.
	WaitInForce bool
}

// Submit submits a configuration. It returns an Error of KindConflict if another version was accepted first, and one of
// KindInvalid if the document has faults.
func (c *Client) Submit(ctx context.Context, s Submission) (Accepted, error) {
	r := call{
		method: http.MethodPut, path: "/configuration", body: s.Document, operationID: operationIDOrNew(s.OperationID),
		header: map[string]string{HeaderBaseVersion: strconv.FormatUint(s.BaseVersion, 10)},
	}
	if s.WaitInForce {
		r.query, r.extraTimeout = "wait=in-force", defaultInForceTimeout
	}
	var a Accepted
	err := c.do(ctx, r, decodeJSONInto(&a))
	return a, err
}

// Configuration returns the newest accepted version and its document. Before the first submission, it returns version 0
// and no document.
func (c *Client) Configuration(ctx context.Context) (version uint64, doc []byte, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/configuration"}, func(header http.Header, body io.Reader) error {
		var err error
		if version, err = strconv.ParseUint(header.Get(HeaderVersion), 10, 64); err != nil {
			return errorx.IllegalFormat.New("answer has no header %s", HeaderVersion)
		}
		doc, err = io.ReadAll(body)
		return err
	})
	return version, doc, err
}

// Grant generates a key for a team and sends its hash; the secret never leaves the client. If the outcome is unknown,
// it returns the key with the error, so that the key can be looked up by its identifier and revoked.
func (c *Client) Grant(ctx context.Context, operationID, team string) (key.Secret, error) {
	secret, err := key.NewSecret()
	if err != nil {
		return key.Secret{}, err
	}
	body, err := json.Marshal(Grant{ID: secret.ID(), Team: team, Hash: secret.Hash()})
	if err != nil {
		return key.Secret{}, errorx.Decorate(err, "encode grant")
	}
	return secret, c.do(ctx, call{
		method: http.MethodPost, path: "/keys", body: body, operationID: operationIDOrNew(operationID),
	}, nil)
}

// Revoke revokes a key by its identifier. Revoking a key that is already revoked succeeds.
func (c *Client) Revoke(ctx context.Context, operationID, keyID string) error {
	path := "/keys/" + url.PathEscape(keyID)
	return c.do(ctx, call{method: http.MethodDelete, path: path, operationID: operationIDOrNew(operationID)}, nil)
}

// Keys returns all keys, including revoked ones.
func (c *Client) Keys(ctx context.Context) ([]Key, error) {
	var list []Key
	err := c.do(ctx, call{method: http.MethodGet, path: "/keys"}, decodeJSONInto(&list))
	return list, err
}

// Status returns the status of the first process that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, call{method: http.MethodGet, path: "/status"}, decodeJSONInto(&s))
	return s, err
}

// Members returns the members of the control group.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	var list []Member
	err := c.do(ctx, call{method: http.MethodGet, path: "/members"}, decodeJSONInto(&list))
	return list, err
}

// ChangeMember adds, promotes, removes or replaces a member of the control group.
func (c *Client) ChangeMember(ctx context.Context, ch MemberChange) error {
	body, err := json.Marshal(ch)
	if err != nil {
		return errorx.Decorate(err, "encode member change")
	}
	return c.do(ctx, call{
		method: http.MethodPost, path: "/members", body: body, operationID: operationIDOrNew(ch.OperationID),
	}, nil)
}

// Timeline writes the events of the first process that responds to w as JSON lines.
func (c *Client) Timeline(ctx context.Context, w io.Writer) error {
	return c.do(ctx, call{method: http.MethodGet, path: "/timeline"}, func(_ http.Header, body io.Reader) error {
		// The body is buffered, so that a retry after a truncated response doesn't write lines twice.
		var buf bytes.Buffer
		if _, err := buf.ReadFrom(body); err != nil {
			return err
		}
		_, err := buf.WriteTo(w)
		return err
	})
}

func operationIDOrNew(operationID string) string {
	if operationID == "" {
		return NewOperationID()
	}
	return operationID
}

func decodeJSONInto(v any) decoder {
	return func(_ http.Header, body io.Reader) error { return json.NewDecoder(body).Decode(v) }
}
