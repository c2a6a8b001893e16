// Package ledger holds the replicated state of the job plug-in. It applies commands, accounts for the resources of jobs
// and verifies the invariants of jobs; it makes no decisions.
package ledger
