package ledger

import (
	"strings"
	"time"
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

// TeamResource and SlotResource return the names under which jobs are accounted.
func TeamResource(team string) string { return "team/" + team }

// SlotResource returns the resource of the slots of an instance.
func SlotResource(instance string) string { return "slot/" + instance }

// countingQuota counts jobs on their own against the configuration; requests that run at the same time are not seen.
func countingQuota(s *State) Quota {
	held := map[string]int{}
	return Quota{
		Reserve: func(resource string) bool {
			if held[resource] >= s.limit(resource) {
				return false
			}
			held[resource]++
			return true
		},
		Unreserve: func(resource string) {
			if held[resource]--; held[resource] <= 0 {
				delete(held, resource)
			}
		},
		Restored: func(now map[string]int) { held = now },
	}
}

// limit returns the configured capacity of a resource.
func (s *State) limit(resource string) int {
	if team, ok := strings.CutPrefix(resource, "team/"); ok {
		return s.Index().Teams[team].UpperLimit
	}
	if in := s.pools.Instance(strings.TrimPrefix(resource, "slot/")); in != nil {
		return in.Slots
	}
	return 0
}

// reserve takes one unit of the team's limit and one slot, or nothing.
func (s *State) reserve(team, instance string) bool {
	if !s.quota.Reserve(TeamResource(team)) {
		return false
	}
	if !s.quota.Reserve(SlotResource(instance)) {
		s.quota.Unreserve(TeamResource(team))
		return false
	}
	return true
}

// SetQuota replaces the accounting; it is called while the kernel is built, before any command.
func (s *State) SetQuota(q Quota) { s.quota = q }

// Quota returns the accounting.
func (s *State) Quota() Quota { return s.quota }
