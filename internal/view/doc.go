// Package view holds the immutable picture of the control state that traffic goroutines read.
package view
