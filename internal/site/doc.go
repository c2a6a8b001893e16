// Package site wires the processes of an installation on an infrastructure: control processes, which hold the state and
// order the work, and entry processes, which pass the calls of clients on. What the infrastructure speaks is behind
// function fields.
package site
