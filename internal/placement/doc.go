// Package placement holds the pure functions that choose where jobs run and how a full pool is shared, and the
// estimator that corrects declared sizes and run times.
package placement
