// Package maintenance is the kernel plug-in that reboots the instances of a wave: in the order of their failure
// domains, within the availability budgets of their pools, and only as long as nothing else is at risk.
package maintenance
