// Package voter is the kernel plug-in that numbers the memberships of the control group, so that the at-most-once
// record can move from one set of voters to the next.
package voter
