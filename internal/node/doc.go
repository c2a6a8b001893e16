// Package node builds the components of one process, runs them and shuts them down gracefully.
package node
