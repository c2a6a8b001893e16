// Package placement chooses instances for jobs, divides a full pool between teams, and corrects declared resources and
// run times of jobs by what was observed.
package placement
