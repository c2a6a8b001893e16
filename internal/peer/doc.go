// Package peer connects the processes of hibiscusroute: yamux sessions over TCP that carry calls and long streams of
// length-prefixed protobuf frames. It knows addresses only; which processes exist is decided elsewhere.
package peer
