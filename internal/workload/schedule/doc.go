// Package schedule assigns waiting tasks to workers. Its results depend only on the ledger and on what the leader knows
// about workers, so that workloads can be simulated without a network or a clock.
package schedule
