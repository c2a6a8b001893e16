// Package member is the kernel plug-in that holds the processes of hibiscusroute as members and decides when their
// configuration leases expire.
package member
