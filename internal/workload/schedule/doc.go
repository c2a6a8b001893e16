// Package schedule decides which waiting subtasks start where. It is a pure function of the ledger and of what the
// leader knows about workers, so that a load can be played against it without a network or a clock.
package schedule
