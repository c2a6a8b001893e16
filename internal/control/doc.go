// Package control runs one voter of the control group. One goroutine, the control loop, owns the replicated log, the
// data directory and the kernel. All other goroutines send it functions to run.
package control
