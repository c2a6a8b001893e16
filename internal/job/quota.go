package job

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
)

// Quota accounts for running jobs against the upper limit of teams and the slots of instances, together with requests.
// Reserve and Unreserve are called while commands are applied and must be deterministic.
type Quota struct {
	// Reserve takes one unit of the resource, or reports false when none is free.
	Reserve func(resource string) bool
	// Unreserve returns one unit.
	Unreserve func(resource string)
	// Want tells the leader's demand, running and waiting jobs together; it may be nil.
	Want func(now time.Duration, resource string, n int)
	// Restored is called with the number of units held by resource after a snapshot was restored; it may be nil.
	Restored func(held map[string]int)
}

// quotaFor returns the accounting of a new kernel. Its snapshots hold the reservations, so nothing is restored here.
func quotaFor(k *kernel.Kernel) Quota {
	q, _ := kernel.Lookup[*quota.State](k, quota.Name)
	return Quota{Reserve: q.Reserve, Unreserve: q.Unreserve, Want: q.Want}
}

// reserve takes one unit of the team's limit and one slot, or nothing.
func (s *State) reserve(team, instance string) bool {
	if !s.quota.Reserve(quota.TeamResource(team)) {
		return false
	}
	if !s.quota.Reserve(quota.SlotResource(instance)) {
		s.quota.Unreserve(quota.TeamResource(team))
		// Requests hold all slots; the leader asks for one back while jobs wait.
		s.soft.short[instance] = true
		return false
	}
	delete(s.soft.short, instance)
	return true
}

// SetQuota replaces the accounting; it is called while the kernel is built, before any command.
func (s *State) SetQuota(q Quota) { s.quota = q }
