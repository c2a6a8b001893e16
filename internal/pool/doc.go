// Package pool is the kernel plug-in that assigns instances to pools. It holds the fencing epoch and the condition of
// each instance, moves instances between pools and enforces the availability budgets of the pools.
package pool
