// Package timeline holds the events of a process.
package timeline

// Event is one event of a process.
type Event struct {
	Kind, Request, Job, Instance, Team string
	Version                            uint64
	Text                               string
}
