// Package fleet builds, checks, compares and prints the configuration that operators submit to hibiscusroute: fleets
// of instances, the pools they belong to, teams with shares and upper limits, queues, availability budgets and
// maintenance waves.
package fleet
