package node

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/member"
	"github.com/hibiscusroute/hibiscusroute/internal/platform"
	"github.com/hibiscusroute/hibiscusroute/internal/platform/platformtest"
)

// BenchmarkSilentFailover measures the time from the silent isolation of the leader until an entry process gets a
// quorum read from another leader, and how often the lease of the entry process expired meanwhile.
func BenchmarkSilentFailover(b *testing.B) {
	network := newPartition()
	nodes := startGroup(b, network, 3, 1)
	entry := nodes[3]
	var total, longest time.Duration
	expiredLeases, rounds := 0, 0
	for b.Loop() {
		for _, n := range nodes[:3] {
			if n.voter.Leading() {
				network.isolate(n.cfg.Process.Name)
			}
		}
		started := time.Now()
		_, err := entry.client.Query(b.Context(), member.Name, nil)
		assert.NilError(b, err)
		gap := time.Since(started)
		if !entry.hasLease() {
			expiredLeases++
		}
		total += gap
		longest = max(longest, gap)
		rounds++
		network.heal()
		for _, n := range nodes {
			eventually(b, "lease", n.hasLease)
		}
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(rounds), "mean-gap-ms")
	b.ReportMetric(float64(longest.Milliseconds()), "longest-gap-ms")
	b.ReportMetric(float64(expiredLeases), "leases-lost")
}

// BenchmarkJobStart measures the time from the submission of a job until the platform is asked to start it, while the
// processes hold all units of its team and all slots of its pool without using them.
func BenchmarkJobStart(b *testing.B) {
	doc := testConfiguration()
	fake := platformtest.New(platformtest.Config{
		Instances: []string{"worker-1", "worker-2"}, Now: time.Now, RebootDuration: time.Second, UsageDelay: time.Second,
		RunDuration: func(platform.StartRequest) time.Duration { return 50 * time.Millisecond },
	})
	srv := httptest.NewServer(fake)
	defer srv.Close()
	nodes := startPlatformGroup(b, srv.URL)
	submit(b, nodes[0], doc, 0)
	_, key := grantKey(b, nodes[0], "billing")
	var longest time.Duration
	for b.Loop() {
		b.StopTimer()
		time.Sleep(3 * time.Second) // the processes get the units of the previous job back
		b.StartTimer()
		start := time.Now()
		id := submitJob(b, nodes[1], key)
		eventually(b, "start", func() bool { return fake.StartCount("billing/"+id) == 1 })
		longest = max(longest, time.Since(start))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}
