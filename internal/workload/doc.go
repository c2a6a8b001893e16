// Package workload is the kernel plug-in that runs the jobs of client accounts on workers. The replicated state is in
// package ledger, the choice of workers in package schedule. This package holds what only the leader knows: sessions
// with workers, their leases and what runs, and it turns decisions into commands and orders.
package workload
