// Package ledger holds the replicated state of the workload plug-in: the configuration, jobs with their tasks, worker
// incarnations with the runs assigned to them, and maintenance waves. Commands are applied deterministically, so that
// all voters hold the same state.
package ledger
