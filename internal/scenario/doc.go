// Package scenario tests the wired system with real processes on loopback; testdata holds the scripts.
package scenario
