package node

import (
	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
)

func (n *Node) buildTraffic() {
	n.buildClaims()
	holder := n.follower.Holder()
	acquire := func(resource string) (func(), bool) {
		p, ok := holder.TryAcquire(resource)
		if !ok {
			return nil, false
		}
		return p.Release, true
	}
	n.registry = endpoint.New(endpoint.Config{
		Key: n.cfg.Process.EndpointKey, View: n.follower.View, TryAcquire: acquire, SetDemand: holder.SetDemand,
		Metrics: n.metrics, Log: n.cfg.Log,
	})
	dispatcher := endpoint.NewDispatcher(endpoint.DispatcherConfig{Processes: n.processes})
	n.caller = caller.New(caller.Config{
		View: n.follower.View, Registry: n.registry, Dispatcher: dispatcher,
		TryAcquire: acquire, SetDemand: holder.SetDemand, Changed: holder.Changed,
		Claim: n.claim, StopDelay: n.cfg.Process.ShutdownWait, Metrics: n.metrics, Log: n.cfg.Log,
	})
}

// processes returns the number of processes among which the connections of an instance are divided.
func (n *Node) processes() int {
	v := n.follower.Last()
	if v == nil {
		return 1
	}
	return max(v.Configuration().Processes, 1)
}
