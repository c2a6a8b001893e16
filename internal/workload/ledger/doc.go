// Package ledger is the replicated state of the workload plug-in: configuration, jobs with their subtasks, boots of
// workers with what is assigned to them, and waves. Every change is deterministic, so that all voters hold the same state.
package ledger
