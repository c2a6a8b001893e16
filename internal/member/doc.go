// Package member is the kernel plug-in that holds the processes of hibiscusroute and decides when the configuration
// lease of one has ended.
package member
