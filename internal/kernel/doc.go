// Package kernel is the deterministic core that holds the control state. It has no clock, socket, disk or randomness:
// its input consists of commands, events and ticks, and its output of commands to replicate and actions to run.
// Each registered plug-in holds one part of the state.
package kernel
