// Package dispatch sends the orders of the workload engine to workers and to the platform, and reports their results to
// the control loop. It keeps no state beyond the term of a leader.
package dispatch
