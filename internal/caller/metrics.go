package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type serverMetrics struct {
	set                  *metrics.Set
	violations           *metrics.Counter
	retries              *metrics.Counter
	retriesWithoutBudget *metrics.Counter
	truncatedResponses   *metrics.Counter
	mismatchedResponses  *metrics.Counter
	refusedConns         *metrics.Counter
	addedLatency         *metrics.Histogram
	waitTime             *metrics.Histogram
}

func newServerMetrics(set *metrics.Set) serverMetrics {
	return serverMetrics{
		set:                  set,
		violations:           set.GetOrCreateCounter(`hibiscusroute_invariant_violations_total{package="caller"}`),
		retries:              set.GetOrCreateCounter("hibiscusroute_retries_total"),
		retriesWithoutBudget: set.GetOrCreateCounter("hibiscusroute_retries_without_budget_total"),
		truncatedResponses:   set.GetOrCreateCounter("hibiscusroute_truncated_responses_total"),
		mismatchedResponses:  set.GetOrCreateCounter("hibiscusroute_mismatched_responses_total"),
		refusedConns:         set.GetOrCreateCounter("hibiscusroute_refused_connections_total"),
		addedLatency:         set.GetOrCreateHistogram("hibiscusroute_added_latency_seconds"),
		waitTime:             set.GetOrCreateHistogram("hibiscusroute_wait_seconds"),
	}
}

// countRequest counts a request for a configured queue.
func (s *serverMetrics) countRequest(queue string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("hibiscusroute_requests_total{queue=%q}", queue)).Inc()
}

// countRejection counts an error response. The reason becomes a label, so it must be one of a fixed set.
func (s *serverMetrics) countRejection(reason, outcome string) {
	name := fmt.Sprintf("hibiscusroute_rejections_total{reason=%q,outcome=%q}", reason, outcome)
	s.set.GetOrCreateCounter(name).Inc()
}
