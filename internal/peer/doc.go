// Package peer connects the processes of hibiscusroute by yamux sessions over TCP. The sessions carry calls and
// long-lived streams of length-prefixed protobuf frames. Callers pass addresses; the package keeps no list of
// processes.
package peer
