// Package maintenance is the kernel plug-in that reboots the instances of a wave in the order of their failure domains
// and within the availability budgets of their pools. It grants permits only while the control group is fully
// redundant, and halts a wave on correlated failures.
package maintenance
