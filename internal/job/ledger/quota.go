package ledger

import "github.com/hibiscusroute/hibiscusroute/internal/quota"

// Quota accounts for running jobs against the upper limit of teams and the slots of instances, together with requests.
// Reserve and Unreserve are called while commands are applied and must be deterministic.
type Quota struct {
	// Reserve takes one unit of the resource, or reports false when none is free.
	Reserve func(resource string) bool
	// Unreserve returns one unit.
	Unreserve func(resource string)
	// SetDemand tells the leader's whole demand by resource, running and waiting jobs together; it may be nil.
	SetDemand func(wants map[string]int)
}

// quotaFor returns the accounting of the quota plug-in, whose own snapshots hold the reservations.
func quotaFor(q *quota.State) Quota {
	return Quota{Reserve: q.Reserve, Unreserve: q.Unreserve, SetDemand: q.SetWants}
}

// reserve takes one unit of the team's limit and one slot, or nothing.
func (s *State) reserve(team, instance string) bool {
	limit := s.quota.Reserve(quota.TeamResource(team))
	slot := s.quota.Reserve(quota.SlotResource(instance))
	if limit && slot {
		delete(s.short, instance)
		return true
	}
	if limit {
		s.quota.Unreserve(quota.TeamResource(team))
	}
	if slot {
		s.quota.Unreserve(quota.SlotResource(instance))
	} else {
		// Requests hold all slots; the leader asks for one back while jobs wait.
		s.short[instance] = true
	}
	s.unmet = true
	return false
}

// TakeQuotaShortage reports whether a start lacked quota since the last call, so that its demand need not wait for the next
// sweep.
func (s *State) TakeQuotaShortage() bool {
	unmet := s.unmet
	s.unmet = false
	return unmet
}

// QuotaDemand returns the demand of jobs by quota resource, running and waiting ones together.
func (s *State) QuotaDemand() map[string]int {
	wants := map[string]int{}
	for team, n := range s.runningByTeam {
		wants[quota.TeamResource(team)] = n
	}
	waiting := 0
	for _, list := range s.waitingByQueue {
		for _, j := range list {
			wants[quota.TeamResource(j.Submit.Team)]++
			waiting++
		}
	}
	for instance, u := range s.allocations {
		wants[quota.SlotResource(instance)] = len(u.jobs)
	}
	if waiting == 0 {
		clear(s.short)
	}
	for instance := range s.short {
		wants[quota.SlotResource(instance)]++
	}
	return wants
}

// SetQuota replaces the accounting; it is called while the kernel is built, before any command.
func (s *State) SetQuota(q Quota) { s.quota = q }

// Quota returns the accounting.
func (s *State) Quota() Quota { return s.quota }
