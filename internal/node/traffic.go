package node

import (
	"github.com/hibiscusroute/hibiscusroute/internal/caller"
	"github.com/hibiscusroute/hibiscusroute/internal/endpoint"
	"github.com/hibiscusroute/hibiscusroute/internal/endpoint/endpointpb"
)

func (n *Node) buildTraffic() {
	n.buildClaims()
	holder := n.follower.QuotaHolder()
	acquire := func(resource string) (func(), bool) {
		p, ok := holder.TryAcquire(resource)
		if !ok {
			return nil, false
		}
		return p.Release, true
	}
	n.registry = endpoint.New(endpoint.Config{
		Key: n.cfg.Process.EndpointKey, View: n.follower.View, TryAcquire: acquire, SetDemand: holder.SetDemand,
		Send: func(u *endpointpb.Update) { n.exchange.broadcast(u) }, Metrics: n.metrics, Log: n.cfg.Log,
	})
	n.exchange = newExchange(n)
	n.transport.Handle(announcementsKind, n.exchange.receiveUpdates)
	dispatcher := endpoint.NewDispatcher(endpoint.DispatcherConfig{})
	jobs := caller.NewJobs(caller.JobConfig{
		View: n.follower.View, Propose: n.client.Propose, Query: n.client.Query, Record: n.requests.Record,
	})
	n.caller = caller.New(caller.Config{
		View: n.follower.View, Registry: n.registry, Dispatcher: dispatcher,
		TryAcquire: acquire, SetDemand: holder.SetDemand, AllocationGrown: holder.AllocationGrown, Claim: n.claimRequest,
		SubmitJob: jobs.Submit, GetJob: jobs.Get, CancelJob: jobs.Cancel,
		Record: n.requests.Record, Inbound: n.inbound,
		StopDelay: n.cfg.Process.ShutdownWait, Metrics: n.metrics, Log: n.cfg.Log,
	})
}
