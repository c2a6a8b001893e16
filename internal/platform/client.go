package platform

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

	"github.com/joomcode/errorx"
)

// Namespace is the errorx namespace of this package.
var Namespace = errorx.NewNamespace("platform")

var (
	// ErrUnreachable reports a call without an answer after all attempts; it may have had an effect.
	ErrUnreachable = Namespace.NewType("unreachable")
	// ErrRefused reports a call that certainly had no effect, such as one with a stale epoch.
	ErrRefused = Namespace.NewType("refused")
	// ErrNotFound reports a task or an instance that the platform doesn't know.
	ErrNotFound = Namespace.NewType("not-found")
)

// maxResponseBytes bounds an answer in bytes.
const maxResponseBytes = 4 << 20

// ClientConfig holds the settings of a client.
type ClientConfig struct {
	// Address is the base address, such as "http://127.0.0.1:9000".
	Address string
	// Token is sent as a bearer token when it isn't empty.
	Token string
	// HTTPClient sends the requests; nil uses a client with default settings.
	HTTPClient *http.Client
	// AttemptTimeout bounds one attempt; 0 is 500 ms, so that three attempts end before the kernel issues the action again.
	AttemptTimeout time.Duration
	// MaxAttempts is the number of attempts; 0 is 3.
	MaxAttempts int
	// Backoff is the wait before the second attempt and doubles after each; 0 is 50 ms.
	Backoff time.Duration
	// Sleep waits between attempts; nil uses a timer.
	Sleep func(ctx context.Context, d time.Duration)
}

// Client calls the platform; it is safe for concurrent use.
type Client struct{ cfg ClientConfig }

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = &http.Client{}
	}
	if cfg.AttemptTimeout == 0 {
		cfg.AttemptTimeout = 500 * time.Millisecond
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = 3
	}
	if cfg.Backoff == 0 {
		cfg.Backoff = 50 * time.Millisecond
	}
	if cfg.Sleep == nil {
		cfg.Sleep = sleep
	}
	cfg.Address = strings.TrimSuffix(cfg.Address, "/")
	return &Client{cfg: cfg}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Start starts a task; ErrRefused means that it was not and never will be run with this epoch.
func (c *Client) Start(ctx context.Context, m StartRequest) (Task, error) {
	return post[Task](ctx, c, "/tasks/start", m)
}

// Checkpoint saves the progress of a task and ends it.
func (c *Client) Checkpoint(ctx context.Context, m TaskRequest) (Task, error) {
	return post[Task](ctx, c, "/tasks/checkpoint", m)
}

// Throttle halves the processors of a task, or gives them back.
func (c *Client) Throttle(ctx context.Context, m TaskRequest) (Task, error) {
	return post[Task](ctx, c, "/tasks/throttle", m)
}

// Stop ends a task.
func (c *Client) Stop(ctx context.Context, m TaskRequest) (Task, error) {
	return post[Task](ctx, c, "/tasks/stop", m)
}

// Tasks lists the tasks that changed after the cursor, or all when it is empty.
func (c *Client) Tasks(ctx context.Context, after string) (Tasks, error) {
	return call[Tasks](ctx, c, http.MethodGet, "/tasks?after="+url.QueryEscape(after), nil)
}

// Instances lists the instances that changed after the cursor, or all when it is empty.
func (c *Client) Instances(ctx context.Context, after string) (Instances, error) {
	return call[Instances](ctx, c, http.MethodGet, "/instances?after="+url.QueryEscape(after), nil)
}

// Drain keeps new tasks off an instance until Resume or Reboot.
func (c *Client) Drain(ctx context.Context, m InstanceRequest) (Instance, error) {
	return post[Instance](ctx, c, "/instances/drain", m)
}

// Reboot reboots an instance, once for each epoch.
func (c *Client) Reboot(ctx context.Context, m InstanceRequest) (Instance, error) {
	return post[Instance](ctx, c, "/instances/reboot", m)
}

// Resume allows tasks on an instance again.
func (c *Client) Resume(ctx context.Context, m InstanceRequest) (Instance, error) {
	return post[Instance](ctx, c, "/instances/resume", m)
}

// Usage returns at most n usage samples, of other tasks each time.
func (c *Client) Usage(ctx context.Context, n int) (Usage, error) {
	return call[Usage](ctx, c, http.MethodGet, "/usage?max="+strconv.Itoa(n), nil)
}

func post[T any](ctx context.Context, c *Client, path string, m any) (T, error) {
	body, err := json.Marshal(m)
	if err != nil {
		var zero T
		return zero, errorx.Decorate(err, "encode request to platform")
	}
	return call[T](ctx, c, http.MethodPost, path, body)
}

// call sends a request until it is answered; every call of the protocol may be repeated.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var answer T
	wait := c.cfg.Backoff
	for attempt := 1; ; attempt++ {
		retry, err := c.attempt(ctx, method, path, body, &answer)
		if err == nil {
			return answer, nil
		}
		if !retry || attempt >= c.cfg.MaxAttempts || ctx.Err() != nil {
			return answer, err
		}
		c.cfg.Sleep(ctx, wait)
		wait *= 2
	}
}

func (c *Client) attempt(ctx context.Context, method, path string, body []byte, answer any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return false, errorx.Decorate(err, "build request to platform")
	}
	req.Header.Set("Content-Type", "application/json")
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		return true, ErrUnreachable.Wrap(err, "call platform")
	}
	defer func() { _ = resp.Body.Close() }() // its content was read or is not wanted
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return true, ErrUnreachable.Wrap(err, "read answer of platform")
	}
	switch code := resp.StatusCode; {
	case code == http.StatusTooManyRequests || code >= http.StatusInternalServerError:
		return true, ErrUnreachable.New("platform answered %s with status %d", path, code)
	case code == http.StatusNotFound:
		return false, ErrNotFound.New("platform knows nothing of this call to %s", path)
	case code == http.StatusConflict || code == http.StatusUnprocessableEntity:
		return false, ErrRefused.New("platform refused %s: %s", path, strings.TrimSpace(string(data[:min(len(data), 200)])))
	case code != http.StatusOK:
		return false, ErrUnreachable.New("platform answered %s with status %d", path, code)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return true, ErrUnreachable.Wrap(err, "decode answer of platform to %s", path)
	}
	return false, nil
}
