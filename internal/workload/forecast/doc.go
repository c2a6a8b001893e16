// Package forecast predicts what pools will need when an instance that moves now arrives: from the rate at which work
// arrives and from the next steps of accepted jobs. Its results depend only on its arguments. It is meant for load that
// rises faster than instances can move.
package forecast
