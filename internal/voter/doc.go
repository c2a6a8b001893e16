// Package voter is the kernel plug-in that stores the memberships of the control group with consecutive epochs, so that
// the at-most-once record can be transferred from one set of voters to the next.
package voter
