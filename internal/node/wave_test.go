package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/maintenancepb"
	"github.com/hibiscusroute/hibiscusroute/internal/platform"
	"github.com/hibiscusroute/hibiscusroute/internal/platform/platformtest"
	"github.com/hibiscusroute/hibiscusroute/internal/setting"
	"github.com/hibiscusroute/hibiscusroute/internal/standin"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// startPlatformGroup starts three voters that use the fake platform at the URL.
func startPlatformGroup(t testing.TB, platformURL string) []*testNode {
	t.Helper()
	u, err := url.Parse(platformURL)
	assert.NilError(t, err)
	var nodes []*testNode
	for i := range 3 {
		p := setting.Process{
			Name: fmt.Sprintf("node-%d", i+1), Voter: true, Bootstrap: i == 0, DataDirectory: t.TempDir() + "/data", Platform: u,
		}
		if i > 0 {
			p.Join = []netip.AddrPort{nodes[0].peerAddress()}
		}
		nodes = append(nodes, startNode(t, p, nil))
		eventually(t, "voter joins", func() bool { return groupSize(nodes[0], i+1) })
	}
	for _, n := range nodes {
		eventually(t, "lease", n.hasLease)
	}
	return nodes
}

// load sends idempotent and non-idempotent requests to all processes until it is stopped, and counts the answers.
type load struct {
	stop     context.CancelFunc
	group    sync.WaitGroup
	answered atomic.Int64
	mu       sync.Mutex
	failures []response
}

func startLoad(t *testing.T, nodes []*testNode, key string) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel}
	t.Cleanup(func() { l.stopAndWait() })
	for i := range 2 * len(nodes) {
		l.group.Go(func() {
			for ctx.Err() == nil {
				method, id := http.MethodGet, ""
				if i%2 == 0 {
					method, id = http.MethodPost, uuid.Must(uuid.NewV7()).String()
				}
				a := nodes[i/2].request(t, method, "/queues/plates/x?delay=20ms", key, id)
				if a.status == http.StatusOK {
					l.answered.Add(1)
					continue
				}
				l.mu.Lock()
				l.failures = append(l.failures, a)
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *load) stopAndWait() []response {
	l.stop()
	l.group.Wait()
	return l.failures
}

// Guards against a maintenance wave that interrupts or rejects a request, sends work to a stopped instance or skips an
// instance, and against a job that does not reach the platform.
func TestWaveUnderLoadCostsNoRequest(t *testing.T) {
	doc := testConfiguration()
	doc.Instances, doc.Pools[1].MinInstances = nil, 1
	var names []string
	for i := range 3 {
		name := fmt.Sprintf("worker-%d", i+1)
		names = append(names, name)
		doc.Instances = append(doc.Instances, fleet.Instance{
			Name: name, AvailabilityZone: "zone-1", Rack: "rack-1", Pool: "wash",
			Processors: 16, MemoryMiB: 65536, Slots: 8, Connections: 64,
		})
	}
	doc.Waves = []fleet.Wave{{
		Name: "reboot", Pools: []string{"wash"}, Order: []string{"zone-1"}, MaxParallel: 1,
		DrainDeadline: fleet.Duration(time.Minute),
	}}
	fake := platformtest.New(platformtest.Config{
		Instances: names, Now: time.Now, RebootDuration: 500 * time.Millisecond, UsageDelay: time.Second,
		RunDuration: func(platform.StartRequest) time.Duration { return 500 * time.Millisecond },
	})
	srv := httptest.NewServer(fake)
	defer srv.Close()
	nodes := startPlatformGroup(t, srv.URL)
	submit(t, nodes[0], doc, 0)
	_, key := grantKey(t, nodes[0], "billing")
	endpoints := map[string]*standin.Endpoint{}
	for _, name := range names {
		endpoints[name] = startEndpoint(t, nodes[1], name)
	}
	eventually(t, "first answers", func() bool {
		for _, n := range nodes {
			if n.request(t, http.MethodGet, "/queues/plates/x", key, "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
	runJob(t, nodes[2], key, fake)

	l := startLoad(t, nodes, key)
	ctx := context.Background()
	// After a lost response, the same ID gets the result of the first command; a rejected command needs another one.
	operationID := uuid.NewString()
	eventually(t, "wave starts", func() bool {
		c, err := maintenance.ControlCommand(operationID, "reboot", maintenancepb.Verb_VERB_START)
		assert.NilError(t, err)
		r, err := nodes[0].client.Propose(ctx, c)
		if err == nil && r.Err != nil {
			operationID = uuid.NewString()
		}
		return err == nil && r.Err == nil
	})
	var wave *maintenancepb.Wave
	runsWhenStopped := map[string]int{}
	// Two of the three instances are enough, because each returns to service gradually over 30 s.
	waitWithin(t, 90*time.Second, "second instance returns", func() bool {
		body, err := nodes[0].client.Query(ctx, maintenance.Name, nil)
		if err != nil {
			return false
		}
		waves, err := maintenance.DecodeState(body)
		assert.NilError(t, err)
		wave = waves[0]
		for _, p := range wave.Permits {
			if p.Stage != maintenancepb.Stage_STAGE_REBOOTING {
				continue
			}
			runs := len(endpoints[p.Instance].Runs())
			if before, ok := runsWhenStopped[p.Instance]; ok {
				assert.Equal(t, runs, before, "%s got work while it was stopped", p.Instance)
			}
			runsWhenStopped[p.Instance] = runs
		}
		returning := len(wave.Permits) == 1 && wave.Permits[0].Stage == maintenancepb.Stage_STAGE_RETURNING
		return len(wave.Maintained) == 1 && returning || wave.Reason != ""
	})
	assert.Equal(t, len(runsWhenStopped), 2)
	failures := l.stopAndWait()
	t.Logf("%d requests answered during the wave", l.answered.Load())
	assert.Equal(t, wave.Reason, "")
	assert.Equal(t, len(failures), 0, "%v", failures)
	for name, e := range endpoints {
		for id, runs := range e.Runs() {
			assert.Assert(t, runs <= 1, "request %s ran %d times on %s", id, runs, name)
		}
	}
}

// submitJob submits the same non-idempotent job twice; both submissions must be accepted, as one job.
func submitJob(t testing.TB, n *testNode, key string) (id string) {
	t.Helper()
	id = uuid.Must(uuid.NewV7()).String()
	body, err := json.Marshal(caller.JobRequest{
		ID: id, Queue: "plates", Processors: 1, MemoryMiB: 256, ExpectedRun: "1s", Payload: []byte("plate"),
	})
	assert.NilError(t, err)
	for range 2 {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, n.url("/jobs"), bytes.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	}
	return id
}

// runJob submits a job, waits until it has finished and checks that it was started once.
func runJob(t testing.TB, n *testNode, key string, fake *platformtest.Platform) {
	t.Helper()
	id := submitJob(t, n, key)
	var st caller.JobStatus
	waitWithin(t, 30*time.Second, "job finishes", func() bool {
		a := n.request(t, http.MethodGet, "/jobs/"+id, key, "")
		assert.NilError(t, json.Unmarshal([]byte(a.body), &st), a.body)
		return st.State == "finished"
	})
	assert.Equal(t, fake.StartCount("billing/"+id), 1)
}
