// Package workload is the kernel plug-in that runs the jobs of client accounts on workers. Package ledger holds the
// replicated state, and package schedule chooses the workers. This package holds the state that only the leader has,
// such as sessions with workers, their leases and their runs, and decides on commands for the log and on requests to
// workers and to the platform.
package workload
