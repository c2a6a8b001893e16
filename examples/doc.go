// Package examples builds the configurations of the first two deployments with package fleet. The JSON files next to it
// are their print.
package examples
