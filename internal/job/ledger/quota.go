package ledger

import "github.com/hibiscusroute/hibiscusroute/internal/quota"

// Quota accounts for running jobs against the upper limits of teams and the slots of instances, which jobs share with
// requests. Reserve and Unreserve are called while commands are applied and must be deterministic.
type Quota struct {
	// Reserve takes one unit of the resource, or returns false if none is free.
	Reserve func(resource string) bool
	// Unreserve returns one unit.
	Unreserve func(resource string)
	// SetDemand reports the demand of all running and waiting jobs by resource on the leader; it may be nil.
	SetDemand func(demand map[string]int)
}

// quotaFor returns the accounting by the quota plug-in, which keeps the reservations in its own snapshots.
func quotaFor(q *quota.State) Quota {
	return Quota{Reserve: q.Reserve, Unreserve: q.Unreserve, SetDemand: q.SetJobDemand}
}

// reserveQuota takes one unit of the team's upper limit and one slot of the instance, or neither.
func (s *State) reserveQuota(team, instance string) bool {
	limit := s.quota.Reserve(quota.TeamResource(team))
	slot := s.quota.Reserve(quota.SlotResource(instance))
	if limit && slot {
		delete(s.slotShortage, instance)
		return true
	}
	if limit {
		s.quota.Unreserve(quota.TeamResource(team))
	}
	if slot {
		s.quota.Unreserve(quota.SlotResource(instance))
	} else {
		// Requests hold all slots. QuotaDemand asks for one of them while jobs wait.
		s.slotShortage[instance] = true
	}
	s.quotaShortage = true
	return false
}

// TakeQuotaShortage reports whether a start has lacked quota since the last call. If so, the leader reports the demand
// at once instead of with the next periodic update.
func (s *State) TakeQuotaShortage() bool {
	shortage := s.quotaShortage
	s.quotaShortage = false
	return shortage
}

// QuotaDemand returns the demand of all running and waiting jobs by quota resource.
func (s *State) QuotaDemand() map[string]int {
	demand := map[string]int{}
	for team, n := range s.runningByTeam {
		demand[quota.TeamResource(team)] = n
	}
	waiting := 0
	for _, list := range s.waitingByQueue {
		for _, j := range list {
			demand[quota.TeamResource(j.Submit.Team)]++
			waiting++
		}
	}
	for instance, a := range s.allocations {
		demand[quota.SlotResource(instance)] = len(a.jobs)
	}
	if waiting == 0 {
		clear(s.slotShortage)
	}
	for instance := range s.slotShortage {
		demand[quota.SlotResource(instance)]++
	}
	return demand
}

// SetQuota replaces the accounting. It must be called before any command is applied.
func (s *State) SetQuota(q Quota) { s.quota = q }

// Quota returns the accounting of running jobs.
func (s *State) Quota() Quota { return s.quota }
