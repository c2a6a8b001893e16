// Package backlog decides whether a new job can still end while its result is of use, given the work that is accepted. It is a
// pure computation without network, clock or randomness.
package backlog
