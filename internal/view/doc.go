// Package view provides the immutable snapshot of the control state that the goroutines which serve traffic read.
package view
