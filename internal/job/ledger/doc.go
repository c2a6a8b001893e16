// Package ledger holds the replicated state of the job plug-in: it applies commands, accounts for what jobs take, and
// asserts the invariants of jobs. What to do next is decided elsewhere.
package ledger
