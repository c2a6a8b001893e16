// Package schedule decides on the leader which waiting jobs start on which instances and which running jobs are
// preempted for them.
package schedule
