// Package examples builds the configurations of the first two deployments with package fleet. The JSON files in this
// directory are their printed form.
package examples
