package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

// Instances returns all instances.
func (c *Client) Instances(ctx context.Context) (list []Instance, err error) {
	return list, c.do(ctx, call{method: http.MethodGet, path: "/instances"}, decodeJSONInto(&list))
}

// ChangeInstance moves, quarantines or releases an instance.
func (c *Client) ChangeInstance(ctx context.Context, ch InstanceChange) error {
	return c.post(ctx, "/instances", ch.OperationID, ch, nil)
}

// Waves returns all maintenance waves.
func (c *Client) Waves(ctx context.Context) (list []Wave, err error) {
	return list, c.do(ctx, call{method: http.MethodGet, path: "/waves"}, decodeJSONInto(&list))
}

// ChangeWave starts, pauses, resumes or aborts a wave, or decides how to proceed with a stuck instance.
func (c *Client) ChangeWave(ctx context.Context, ch WaveChange) error {
	return c.post(ctx, "/waves", ch.OperationID, ch, nil)
}

// Jobs returns the jobs of a team, or of all teams if team is empty. Jobs that have ended are included only if all is
// set.
func (c *Client) Jobs(ctx context.Context, team string, all bool) (list []Job, err error) {
	q := url.Values{}
	if team != "" {
		q.Set("team", team)
	}
	if all {
		q.Set("all", "true")
	}
	return list, c.do(ctx, call{method: http.MethodGet, path: "/jobs", query: q.Encode()}, decodeJSONInto(&list))
}

// Job returns a job of a team.
func (c *Client) Job(ctx context.Context, team, id string) (j Job, err error) {
	path := "/jobs/" + url.PathEscape(team) + "/" + url.PathEscape(id)
	return j, c.do(ctx, call{method: http.MethodGet, path: path}, decodeJSONInto(&j))
}

// ChangeJob cancels a job and returns its new state.
func (c *Client) ChangeJob(ctx context.Context, ch JobChange) (j Job, err error) {
	return j, c.post(ctx, "/jobs", ch.OperationID, ch, decodeJSONInto(&j))
}

// Quotas returns how the upper limit of a team is allocated, or those of all teams if team is empty.
func (c *Client) Quotas(ctx context.Context, team string) (list []Quota, err error) {
	q := url.Values{}
	if team != "" {
		q.Set("team", team)
	}
	return list, c.do(ctx, call{method: http.MethodGet, path: "/quotas", query: q.Encode()}, decodeJSONInto(&list))
}

// Timelines requests the timeline from each address once and returns the dumps in the order of the addresses. A failed
// dump carries the address as its process name, because the name of the process is unknown.
func (c *Client) Timelines(ctx context.Context) []timeline.Dump {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	dumps := make([]timeline.Dump, len(c.urls))
	var group sync.WaitGroup
	for i := range c.urls {
		group.Go(func() {
			d := timeline.Dump{Process: c.cfg.Addresses[i]}
			_, d.Err = c.send(ctx, i, call{method: http.MethodGet, path: "/timeline"}, func(_ http.Header, body io.Reader) error {
				var err error
				d.Entries, err = timeline.Decode(body)
				return err
			})
			if len(d.Entries) > 0 {
				d.Process = d.Entries[0].Process
			}
			dumps[i] = d
		})
	}
	group.Wait()
	return dumps
}

func (c *Client) post(ctx context.Context, path, operationID string, change any, decode decoder) error {
	body, err := json.Marshal(change)
	if err != nil {
		return errorx.Decorate(err, "encode change")
	}
	return c.do(ctx, call{
		method: http.MethodPost, path: path, body: body, operationID: operationIDOrNew(operationID),
	}, decode)
}
