package node

import "github.com/hibiscusroute/hibiscusroute/internal/view"

// registerMetrics registers the gauges that show whether this process acts on fresh state, and how much traffic the
// control plane causes.
func (n *Node) registerMetrics() {
	gauge := func(name string, f func() float64) { n.metrics.NewGauge(name, f) }
	gauge("hibiscusroute_lease", func() float64 {
		if n.follower.HasLease() {
			return 1
		}
		return 0
	})
	gauge("hibiscusroute_configuration_version", n.viewGauge(func(v *view.View) float64 { return float64(v.Version()) }))
	gauge("hibiscusroute_applied_index", func() float64 { return float64(n.follower.AppliedIndex()) })
	gauge("hibiscusroute_processes", func() float64 { return float64(len(n.follower.Members())) })
	gauge("hibiscusroute_peer_sent_bytes", func() float64 {
		sent, _ := n.transport.Bytes()
		return float64(sent)
	})
	gauge("hibiscusroute_peer_received_bytes", func() float64 {
		_, received := n.transport.Bytes()
		return float64(received)
	})
	gauge("hibiscusroute_leading", func() float64 {
		if n.voter != nil && n.voter.Leading() {
			return 1
		}
		return 0
	})
	if n.voter == nil {
		return
	}
	gauge("hibiscusroute_claims_held", func() float64 { return float64(n.keeper.Stats().Claims) })
}

// viewGauge returns a gauge function that reads a number from the latest view, or 0 if there is none yet.
func (n *Node) viewGauge(f func(v *view.View) float64) func() float64 {
	return func() float64 {
		if v := n.follower.LatestView(); v != nil {
			return f(v)
		}
		return 0
	}
}
