package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/standin"
)

// BenchmarkAddedLatency compares requests through the caller server with requests sent directly to a fake endpoint, and
// reports the difference of the medians as the added latency.
func BenchmarkAddedLatency(b *testing.B) {
	for _, parallel := range []int{1, 16} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			b.Run(fmt.Sprintf("%s/parallel=%d", method, parallel), func(b *testing.B) {
				const size = 1 << 10
				h := newHarness(b, options{endpoints: 4, behavior: standin.Behavior{Size: size}})
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(b, err)
				e := standin.New(standin.Config{Behavior: standin.Behavior{Size: size}})
				go e.Serve(l)   //nolint:errcheck // ends with the benchmark
				defer l.Close() //nolint:errcheck // nothing depends on it
				var median [2]time.Duration
				b.ResetTimer()
				for k, url := range []string{"http://" + l.Addr().String() + "/x", h.url + "/queues/plates/x"} {
					started := time.Now()
					median[k] = measureMedianLatency(b, h.client, method, url, parallel)
					b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), []string{"direct-req/s", "path-req/s"}[k])
				}
				b.ReportMetric(float64(median[0].Microseconds()), "direct-p50-us")
				b.ReportMetric(float64(median[1].Microseconds()), "path-p50-us")
				b.ReportMetric(float64((median[1] - median[0]).Microseconds()), "added-p50-us")
			})
		}
	}
}

// measureMedianLatency sends b.N requests from parallel callers and returns their median latency.
func measureMedianLatency(b *testing.B, client *http.Client, method, url string, parallel int) time.Duration {
	b.Helper()
	times := make([]time.Duration, b.N)
	var wg sync.WaitGroup
	for p := range parallel {
		wg.Go(func() {
			for k := p; k < b.N; k += parallel {
				started := time.Now()
				req, err := http.NewRequest(method, url, http.NoBody)
				if err != nil {
					b.Error(err)
					return
				}
				req.Header.Set(idHeader, newID())
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					b.Errorf("status %d, %v", resp.StatusCode, err)
				}
				_ = resp.Body.Close()
				times[k] = time.Since(started)
			}
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times[len(times)/2]
}
