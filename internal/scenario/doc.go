// Package scenario holds integration tests that run real processes on loopback addresses; testdata holds the scripts.
package scenario
