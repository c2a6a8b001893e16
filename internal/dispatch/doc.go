// Package dispatch carries out the orders of the workload engine through a port to the infrastructure, and reports how
// they ended. It holds no state that outlives a term of leadership.
package dispatch
