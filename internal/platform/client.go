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
	// ErrUnreachable reports a call that got no usable response in any attempt; it may have had an effect.
	ErrUnreachable = Namespace.NewType("unreachable")
	// ErrRefused reports a call that the platform rejected without any effect, such as one with a stale epoch.
	ErrRefused = Namespace.NewType("refused")
	// ErrNotFound reports a task or an instance that the platform doesn't know.
	ErrNotFound = Namespace.NewType("not-found")
)

const maxResponseBytes = 4 << 20

// ClientConfig holds the settings of a client.
type ClientConfig struct {
	// Address is the base address, such as "http://127.0.0.1:9000".
	Address string
	// Token is sent as a bearer token when it isn't empty.
	Token string
	// HTTPClient sends the requests; nil uses a client with default settings.
	HTTPClient *http.Client
	// AttemptTimeout bounds one attempt; 0 selects 500 ms, so that three attempts end before the kernel issues the
	// action again.
	AttemptTimeout time.Duration
	// MaxAttempts bounds the attempts of a call; 0 selects 3.
	MaxAttempts int
	// Backoff is the delay before the second attempt, doubled for each further one; 0 selects 50 ms.
	Backoff time.Duration
	// Sleep waits between attempts; nil uses a timer.
	Sleep func(ctx context.Context, d time.Duration)
}

// Client calls the platform; it is safe for concurrent use.
type Client struct{ cfg ClientConfig }

// NewClient returns a client that applies the defaults of ClientConfig.
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
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Start starts a task; ErrRefused means that the task did not and will never run with this epoch.
func (c *Client) Start(ctx context.Context, m StartRequest) (Task, error) {
	return post[Task](ctx, c, "/tasks/start", m)
}

// Checkpoint saves the progress of a task and then ends the task.
func (c *Client) Checkpoint(ctx context.Context, m TaskRequest) (Task, error) {
	return post[Task](ctx, c, "/tasks/checkpoint", m)
}

// Throttle halves the processors of a task, or restores them, depending on m.On.
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

// Drain stops an instance from accepting new tasks until Resume or Reboot is called.
func (c *Client) Drain(ctx context.Context, m InstanceRequest) (Instance, error) {
	return post[Instance](ctx, c, "/instances/drain", m)
}

// Reboot reboots an instance at most once for each epoch.
func (c *Client) Reboot(ctx context.Context, m InstanceRequest) (Instance, error) {
	return post[Instance](ctx, c, "/instances/reboot", m)
}

// Resume lets an instance accept new tasks again.
func (c *Client) Resume(ctx context.Context, m InstanceRequest) (Instance, error) {
	return post[Instance](ctx, c, "/instances/resume", m)
}

// Usage returns at most n usage samples; successive calls rotate through the tasks.
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

// call retries a request until a final response or the last attempt; all calls of the protocol are idempotent.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var response T
	wait := c.cfg.Backoff
	for attempt := 1; ; attempt++ {
		retry, err := c.attempt(ctx, method, path, body, &response)
		if err == nil {
			return response, nil
		}
		if !retry || attempt >= c.cfg.MaxAttempts || ctx.Err() != nil {
			return response, err
		}
		c.cfg.Sleep(ctx, wait)
		wait *= 2
	}
}

func (c *Client) attempt(ctx context.Context, method, path string, body []byte, response any) (retry bool, err error) {
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
	defer func() { _ = resp.Body.Close() }() // an error here doesn't affect the data already read
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return true, ErrUnreachable.Wrap(err, "read response of platform")
	}
	switch code := resp.StatusCode; {
	case code == http.StatusTooManyRequests || code >= http.StatusInternalServerError:
		return true, ErrUnreachable.New("platform answered %s with status %d", path, code)
	case code == http.StatusNotFound:
		return false, ErrNotFound.New("platform does not know the target of %s", path)
	case code == http.StatusConflict || code == http.StatusUnprocessableEntity:
		return false, ErrRefused.New("platform refused %s: %s", path, strings.TrimSpace(string(data[:min(len(data), 200)])))
	case code != http.StatusOK:
		return false, ErrUnreachable.New("platform answered %s with status %d", path, code)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return true, ErrUnreachable.Wrap(err, "decode response of platform to %s", path)
	}
	return false, nil
}
