// Package forecast predicts what pools will need when an instance that moves now arrives: from the rate at which work
// arrives, from the next steps of accepted jobs, and from the rhythm in which pools have been busy. Its results depend only
// on its arguments. It is meant for load that rises faster than instances can move.
package forecast
