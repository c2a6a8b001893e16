// Package control runs one voter of the control group. One goroutine, the control loop, owns the replicated log, the
// data directory and the kernel; everything else reaches it through events.
package control
