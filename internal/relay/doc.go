// Package relay lets the other control processes send the leader's requests to workers. The leader decides on every
// request; a relay sends it, and returns the answer, only while its permission from the leader is recent. Requests and
// answers share frames, so that the leader spends little processor time on each.
package relay
