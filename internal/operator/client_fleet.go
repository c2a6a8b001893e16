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

// Instances lists the instances.
func (c *Client) Instances(ctx context.Context) (list []Instance, err error) {
	return list, c.do(ctx, call{method: http.MethodGet, path: "/instances"}, decodeInto(&list))
}

// ChangeInstance moves, quarantines or releases an instance.
func (c *Client) ChangeInstance(ctx context.Context, ch InstanceChange) error {
	return c.post(ctx, "/instances", ch.OperationID, ch, nil)
}

// Waves lists the waves.
func (c *Client) Waves(ctx context.Context) (list []Wave, err error) {
	return list, c.do(ctx, call{method: http.MethodGet, path: "/waves"}, decodeInto(&list))
}

// ChangeWave controls a wave or decides about a stuck instance.
func (c *Client) ChangeWave(ctx context.Context, ch WaveChange) error {
	return c.post(ctx, "/waves", ch.OperationID, ch, nil)
}

// Jobs lists the jobs of a team, or of everyone when the team is empty; without all it leaves out those that ended.
func (c *Client) Jobs(ctx context.Context, team string, all bool) (list []Job, err error) {
	q := url.Values{}
	if team != "" {
		q.Set("team", team)
	}
	if all {
		q.Set("all", "true")
	}
	return list, c.do(ctx, call{method: http.MethodGet, path: "/jobs", query: q.Encode()}, decodeInto(&list))
}

// Job describes one job.
func (c *Client) Job(ctx context.Context, team, id string) (j Job, err error) {
	path := "/jobs/" + url.PathEscape(team) + "/" + url.PathEscape(id)
	return j, c.do(ctx, call{method: http.MethodGet, path: path}, decodeInto(&j))
}

// ChangeJob cancels a job and returns it as it is afterwards.
func (c *Client) ChangeJob(ctx context.Context, ch JobChange) (j Job, err error) {
	return j, c.post(ctx, "/jobs", ch.OperationID, ch, decodeInto(&j))
}

// Quotas says who holds the upper limit of a team, or of all teams when the team is empty.
func (c *Client) Quotas(ctx context.Context, team string) (list []Quota, err error) {
	q := url.Values{}
	if team != "" {
		q.Set("team", team)
	}
	return list, c.do(ctx, call{method: http.MethodGet, path: "/quotas", query: q.Encode()}, decodeInto(&list))
}

// Timelines asks each address once and returns a dump for each, in their order. A dump that failed is named after the
// address, because the name of its process is unknown.
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
	return c.do(ctx, call{method: http.MethodPost, path: path, body: body, operation: orNew(operationID)}, decode)
}
