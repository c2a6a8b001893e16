// Package quota implements the kernel plug-in that divides the capacity of each resource (a team's upper limit or the
// slots of an instance) into allocations for the processes of hibiscusroute. A Holder accounts for the units that one
// process uses of its allocations.
package quota
