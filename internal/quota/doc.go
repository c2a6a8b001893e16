// Package quota is the kernel plug-in that divides the capacity of each resource (a team's upper limit, the slots of an
// instance) into allocations for the processes of hibiscusroute, and the holder with which a process uses its own.
package quota
