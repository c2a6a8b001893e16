package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type statistics struct {
	set        *metrics.Set
	violations *metrics.Counter
	retries    *metrics.Counter
	noBudget   *metrics.Counter
	truncated  *metrics.Counter
	mismatched *metrics.Counter
	refused    *metrics.Counter
	added      *metrics.Histogram
	waited     *metrics.Histogram
}

func newStatistics(set *metrics.Set) statistics {
	return statistics{
		set:        set,
		violations: set.GetOrCreateCounter(`hibiscusroute_invariant_violations_total{package="caller"}`),
		retries:    set.GetOrCreateCounter("hibiscusroute_retries_total"),
		noBudget:   set.GetOrCreateCounter("hibiscusroute_retries_without_budget_total"),
		truncated:  set.GetOrCreateCounter("hibiscusroute_truncated_responses_total"),
		mismatched: set.GetOrCreateCounter("hibiscusroute_mismatched_responses_total"),
		refused:    set.GetOrCreateCounter("hibiscusroute_refused_connections_total"),
		added:      set.GetOrCreateHistogram("hibiscusroute_added_latency_seconds"),
		waited:     set.GetOrCreateHistogram("hibiscusroute_wait_seconds"),
	}
}

// request counts a request for a configured queue.
func (s *statistics) request(queue string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("hibiscusroute_requests_total{queue=%q}", queue)).Inc()
}

// rejection counts an error response; reasons are a fixed set.
func (s *statistics) rejection(reason, outcome string) {
	name := fmt.Sprintf("hibiscusroute_rejections_total{reason=%q,outcome=%q}", reason, outcome)
	s.set.GetOrCreateCounter(name).Inc()
}
