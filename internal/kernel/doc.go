// Package kernel is the deterministic core that holds the control state. It has no clock, socket, disk or randomness:
// all input arrives as commands, events and ticks, and all output leaves as commands to replicate and actions to run.
// Plug-ins register themselves and hold one part of the state each.
package kernel
