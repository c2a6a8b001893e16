// Package inbound keeps what clients send to a process within the memory and the descriptors of its machine. A Gate holds
// one budget of bytes and one of connections for all listeners of a process. If a budget is used up, the gate closes the
// connections of the slowest and largest senders, or rejects their requests. Listen bounds what the kernel keeps for
// connections that the process has not accepted or read.
package inbound
