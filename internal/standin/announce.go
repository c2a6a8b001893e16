package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
)

// retryDelay is the time after which a failed announcement is retried at the next listener.
const retryDelay = 100 * time.Millisecond

// Announce sends one announcement to the i-th announcement listener, modulo their number, and returns the time
// until the next one is due.
func (e *Endpoint) Announce(ctx context.Context, i int) (time.Duration, error) {
	a := endpoint.Announcement{
		Instance: e.cfg.Instance, Address: e.cfg.Address, Incarnation: e.incarnation,
		Sequence: e.sequence.Add(1), State: "ready", Running: int(e.running.Load()),
	}
	if e.leaving.Load() {
		a.State = "leaving"
	}
	body, err := json.Marshal(a)
	if err != nil {
		return 0, errorx.Decorate(err, "encode announcement")
	}
	url := e.cfg.Announce[i%len(e.cfg.Announce)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errorx.Decorate(err, "build announcement")
	}
	if e.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+e.cfg.Key)
	}
	resp, err := e.cfg.Client.Do(req)
	if err != nil {
		return 0, errorx.Decorate(err, "send announcement")
	}
	defer resp.Body.Close() //nolint:errcheck // an error cannot affect what was read
	if resp.StatusCode != http.StatusOK {
		return 0, errorx.ExternalError.New("announcement was rejected with status %d", resp.StatusCode)
	}
	var response endpoint.AnnouncementResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return 0, errorx.Decorate(err, "decode response to announcement")
	}
	return time.Duration(response.NextMs) * time.Millisecond, nil
}

// Run announces the endpoint periodically until the context ends or the endpoint leaves. After a failure it switches to
// the next announcement listener.
func (e *Endpoint) Run(ctx context.Context) {
	for i := 0; !e.leaving.Load(); {
		wait, err := e.Announce(ctx, i)
		if err != nil {
			i++
			wait = retryDelay
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// Leave announces that the endpoint takes no more work, and retries until a listener accepts the announcement.
func (e *Endpoint) Leave(ctx context.Context) error {
	e.leaving.Store(true)
	for i := 0; ; i++ {
		_, err := e.Announce(ctx, i)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return errorx.Decorate(err, "announce that the endpoint is leaving")
		}
	}
}
