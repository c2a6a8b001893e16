// Package node wires the parts of one process together, runs them and shuts them down gracefully.
package node
