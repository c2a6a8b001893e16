// Package rate counts events per second.
package rate
