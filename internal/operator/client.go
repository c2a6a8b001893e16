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
	defaultDeadline = 30 * time.Second
	// defaultAttempt is longer than a server waits for an outcome, so that its answer arrives.
	defaultAttempt = defaultProposeTimeout + 3*time.Second
	maxAnswer      = 16 << 20
)

// ClientConfig holds the settings of a client.
type ClientConfig struct {
	// Addresses are operator listeners, "host:port" or URLs; they are tried in turn.
	Addresses []string
	// Key is the operators' bearer key, empty on loopback.
	Key string
	// Timeout bounds a call with all its resends; the default is 30 s.
	Timeout time.Duration
	// AttemptTimeout bounds one request; the default is 8 s.
	AttemptTimeout time.Duration
	// RetryDelay is the first pause after all addresses failed, doubled up to eight times; the default is 200 ms.
	RetryDelay time.Duration
}

// Client calls the operators' API.
type Client struct {
	cfg  ClientConfig
	urls []*url.URL
	http *http.Client
}

// NewClient builds a client.
func NewClient(cfg ClientConfig) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, errorx.IllegalArgument.New("client needs at least one operator address")
	}
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{{&cfg.Timeout, defaultDeadline}, {&cfg.AttemptTimeout, defaultAttempt}, {&cfg.RetryDelay, 200 * time.Millisecond}} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	c := &Client{cfg: cfg, http: &http.Client{
		// No proxy: the operator key goes to the given addresses only. Connections are not reused, because the transport
		// resends some requests by itself after a reused connection broke, which would hide that one may have arrived.
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

// NewOperationID draws an operation ID.
func NewOperationID() string { return uuid.NewString() }

// Submission is a configuration to submit.
type Submission struct {
	// OperationID is the idempotency key; empty draws one.
	OperationID string
	// BaseVersion is the version that the document replaces, 0 for the first one.
	BaseVersion uint64
	// Document is the JSON document.
	Document []byte
	// WaitInForce waits until the version is in force everywhere.
	WaitInForce bool
}

// Submit submits a configuration. A conflict is an Error of KindConflict, faults one of KindInvalid.
func (c *Client) Submit(ctx context.Context, s Submission) (Accepted, error) {
	r := call{
		method: http.MethodPut, path: "/configuration", body: s.Document, operation: orNew(s.OperationID),
		header: map[string]string{HeaderBaseVersion: strconv.FormatUint(s.BaseVersion, 10)},
	}
	if s.WaitInForce {
		r.query, r.extra = "wait=in-force", defaultInForceTimeout
	}
	var a Accepted
	err := c.do(ctx, r, decodeInto(&a))
	return a, err
}

// Configuration returns the version and the document in force, version 0 and none before the first submission.
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

// Grant draws a key for a team and sends its hash; the secret never leaves the client. When the outcome is unknown it
// returns the key with the error, so that its identifier can be looked up and revoked.
func (c *Client) Grant(ctx context.Context, operationID, team string) (key.Secret, error) {
	secret, err := key.NewSecret()
	if err != nil {
		return key.Secret{}, err
	}
	body, err := json.Marshal(Grant{ID: secret.ID(), Team: team, Hash: secret.Hash()})
	if err != nil {
		return key.Secret{}, errorx.Decorate(err, "encode grant")
	}
	return secret, c.do(ctx, call{method: http.MethodPost, path: "/keys", body: body, operation: orNew(operationID)}, nil)
}

// Revoke revokes a key by its identifier; revoking a revoked key succeeds.
func (c *Client) Revoke(ctx context.Context, operationID, keyID string) error {
	path := "/keys/" + url.PathEscape(keyID)
	return c.do(ctx, call{method: http.MethodDelete, path: path, operation: orNew(operationID)}, nil)
}

// Keys lists all keys, revoked ones included.
func (c *Client) Keys(ctx context.Context) ([]Key, error) {
	var list []Key
	err := c.do(ctx, call{method: http.MethodGet, path: "/keys"}, decodeInto(&list))
	return list, err
}

// Status describes the first process that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, call{method: http.MethodGet, path: "/status"}, decodeInto(&s))
	return s, err
}

// Members lists the control group.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	var list []Member
	err := c.do(ctx, call{method: http.MethodGet, path: "/members"}, decodeInto(&list))
	return list, err
}

// ChangeMember changes the control group.
func (c *Client) ChangeMember(ctx context.Context, ch MemberChange) error {
	body, err := json.Marshal(ch)
	if err != nil {
		return errorx.Decorate(err, "encode member change")
	}
	return c.do(ctx, call{method: http.MethodPost, path: "/members", body: body, operation: orNew(ch.OperationID)}, nil)
}

// Timeline copies the events of the first process that answers to w as JSON lines.
func (c *Client) Timeline(ctx context.Context, w io.Writer) error {
	return c.do(ctx, call{method: http.MethodGet, path: "/timeline"}, func(_ http.Header, body io.Reader) error {
		// Read whole first, so that a resend after a broken answer doesn't repeat lines.
		var buf bytes.Buffer
		if _, err := buf.ReadFrom(body); err != nil {
			return err
		}
		_, err := buf.WriteTo(w)
		return err
	})
}

func orNew(operationID string) string {
	if operationID == "" {
		return NewOperationID()
	}
	return operationID
}

func decodeInto(v any) decoder {
	return func(_ http.Header, body io.Reader) error { return json.NewDecoder(body).Decode(v) }
}
