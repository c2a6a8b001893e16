// Package pool is the kernel plug-in that holds to which pool each instance belongs, with a fencing epoch, and whether
// the instance may take new work. It moves instances between pools and accounts for availability budgets.
package pool
